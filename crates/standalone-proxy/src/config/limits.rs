//! Connection, memory and time limits derived from the configuration.

use std::time::Duration;

use data_plane::client_connections::ClientTimeouts;
use data_plane::listener::ListenerLimits;
use data_plane::upstream_pool::{LoadReportFormat, PoolConfig, UpstreamProtocol};
use hyper::StatusCode;
use hyper::header::HeaderName;
use load_balancing::settings::LoadReportField;

use super::Config;

/// Descriptors reserved for uses other than client and upstream connections: standard streams, the event queue, the
/// listener, the discovery watch and signals.
const RESERVED_DESCRIPTORS: usize = 24;
/// Minimum number of descriptors; fewer leave too few connections to serve requests.
pub(super) const MIN_DESCRIPTORS: usize = 4 * RESERVED_DESCRIPTORS;
/// Time for which connections are still accepted after SIGTERM. The system that directs clients to this process needs
/// time to notice the shutdown.
const ACCEPT_GRACE: Duration = Duration::from_millis(500);
/// Timeout for a request head, from the start of the connection or, on a kept-alive connection, from the first byte of
/// the head. Together with the body timeout it is below the 3 s within which an incomplete request has to be answered.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which an idle kept-alive connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum size of a request head.
const MAX_HEADER_BYTES: usize = 16 << 10;
/// Responses that are being received, or not yet written to their clients, may together use the process's memory limit
/// divided by this.
const RESPONSE_MEMORY_DIVISOR: usize = 4;
/// Keepalive of upstream connections if the site configures none.
const DEFAULT_KEEPALIVE_MS: f64 = 5000.0;
/// Connect timeout for upstreams if the site configures none.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;
/// Configured times of this length or more are ignored.
const MAX_CONFIGURED_MS: f64 = 1e7;

impl Config {
    /// Returns the maximum number of connections to clients, and likewise to upstreams: half of the available
    /// descriptors each. Every attempt belongs to a client's request, so as long as clients are limited to their half,
    /// upstreams never need more than theirs.
    fn connections_per_side(&self) -> usize {
        (self.max_descriptors - RESERVED_DESCRIPTORS) / 2
    }

    /// Returns the limits of the listener. Idle connections are closed once clients use more than a quarter of the
    /// descriptors. Draining takes up to `longest_deadline`, so that the last accepted request has its full deadline.
    pub(crate) fn listener_limits(&self, longest_deadline: Duration) -> ListenerLimits {
        ListenerLimits {
            max_connections: self.connections_per_side(),
            idle_eviction_threshold: self.max_descriptors / 4,
            max_header_bytes: MAX_HEADER_BYTES,
            timeouts: ClientTimeouts {
                header: HEAD_TIMEOUT,
                idle: IDLE_TIMEOUT,
            },
            accept_grace: ACCEPT_GRACE,
            drain_timeout: longest_deadline,
            // A request accepted during such a wait would not have its full deadline.
            final_request_wait: Duration::ZERO,
        }
    }

    /// Returns the limits of upstream connections and the upstream protocol.
    pub(crate) fn pool_config(&self) -> PoolConfig {
        let limits = &self.site.policy_limits;
        let report_names = self.site.stats.names.iter();
        PoolConfig {
            max_connections: self.connections_per_side(),
            keepalive: duration_or_default(limits.keepalive, DEFAULT_KEEPALIVE_MS),
            connect_timeout: duration_or_default(
                limits.connect_timeout,
                DEFAULT_CONNECT_TIMEOUT_MS,
            ),
            max_response_bytes: self.max_memory_bytes / RESPONSE_MEMORY_DIVISOR,
            protocol: UpstreamProtocol {
                deadline_header: HeaderName::from_static("x-deadline-ms"),
                target_header: None,
                not_run_header: HeaderName::from_static("x-not-run"),
                not_run_statuses: &[StatusCode::SERVICE_UNAVAILABLE, StatusCode::GATEWAY_TIMEOUT],
                request_id_header: None,
                seal_header: None,
                is_served: |status| status == StatusCode::OK,
                forwards_errors: false,
                load_report: LoadReportFormat::Named(
                    report_names
                        .map(|name| (name.clone(), LoadReportField::from_name(name)))
                        .collect(),
                ),
            },
        }
    }
}

/// Returns the configured time, or the default if none is configured.
fn duration_or_default(configured_ms: f64, default_ms: f64) -> Duration {
    let ms = if configured_ms > 0.0 && configured_ms < MAX_CONFIGURED_MS {
        configured_ms
    } else {
        default_ms
    };
    Duration::from_secs_f64(ms / 1000.0)
}
