//! The limits that follow from the configuration: of connections, memory and time.

use std::time::Duration;

use data_plane::client_connections::ClientTimeouts;
use data_plane::listener::ListenerLimits;
use data_plane::upstream_pool::{LoadReportFormat, PoolConfig, UpstreamProtocol};
use hyper::StatusCode;
use hyper::header::HeaderName;
use load_balancing::settings::LoadReportField;

use super::Config;

/// Descriptors that are neither a client's nor an upstream's: standard streams, the event queue, the listener, the
/// discovery watch, signals.
const RESERVED_SOCKETS: usize = 24;
/// With fewer descriptors there is nothing to serve with.
pub(super) const MIN_SOCKETS: usize = 4 * RESERVED_SOCKETS;
/// How long connections are still accepted after SIGTERM: whoever sends clients here needs a moment to hear of it.
const ACCEPT_GRACE: Duration = Duration::from_millis(500);
/// A head must be complete this long after its connection came up, or after its first byte on a kept one. With a
/// body's own limit it stays under the 3 s within which whoever sends an incomplete request is owed an answer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// A kept connection is closed once it has idled for so long.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// A client's head may be this large.
const MAX_HEADER_BYTES: usize = 16 << 10;
/// Answers that are read, or not yet written to their clients, may take one part in so many of the memory together.
const MEMORY_PER_ANSWERS: usize = 4;
/// Where the site states no limit.
const DEFAULT_KEEPALIVE_MS: f64 = 5000.0;
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 250.0;
/// No stated time of this or more is taken for one.
const MAX_STATED_MS: f64 = 1e7;

impl Config {
    /// Half the descriptors for each side. Every attempt belongs to a client's request, so while clients keep to
    /// their half, upstreams can never need more than theirs.
    fn sockets_per_side(&self) -> usize {
        (self.max_sockets - RESERVED_SOCKETS) / 2
    }

    /// What the listener keeps to. Idle clients give way once a quarter of the descriptors is in use. What is accepted
    /// last before the end has its whole deadline, `longest_deadline` at most.
    pub(crate) fn listener_limits(&self, longest_deadline: Duration) -> ListenerLimits {
        ListenerLimits {
            max_connections: self.sockets_per_side(),
            idle_eviction_threshold: self.max_sockets / 4,
            max_header_bytes: MAX_HEADER_BYTES,
            timeouts: ClientTimeouts {
                header: HEAD_TIMEOUT,
                idle: IDLE_TIMEOUT,
            },
            accept_grace: ACCEPT_GRACE,
            drain_timeout: longest_deadline,
            // A request that began later would not have its whole deadline.
            final_request_wait: Duration::ZERO,
        }
    }

    /// What connections to upstreams keep to, and the protocol that upstreams speak.
    pub(crate) fn pool_config(&self) -> PoolConfig {
        let limits = &self.site.policy_limits;
        let report_names = self.site.stats.names.iter();
        PoolConfig {
            max_connections: self.sockets_per_side(),
            keepalive: stated_or(limits.keepalive, DEFAULT_KEEPALIVE_MS),
            connect_timeout: stated_or(limits.connect_timeout, DEFAULT_CONNECT_TIMEOUT_MS),
            max_response_bytes: self.max_memory_bytes / MEMORY_PER_ANSWERS,
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

/// A time that the site states in milliseconds, or the default where it states none.
fn stated_or(stated_ms: f64, default_ms: f64) -> Duration {
    let ms = if stated_ms > 0.0 && stated_ms < MAX_STATED_MS {
        stated_ms
    } else {
        default_ms
    };
    Duration::from_secs_f64(ms / 1000.0)
}
