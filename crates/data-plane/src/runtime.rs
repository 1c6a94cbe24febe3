//! A data-plane balancer as a process: puts the parts together, and ends in order.

use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::HeaderName;
use hyper::{Request, StatusCode};
use protocol::config::RequestLimits;
use protocol::settings::Settings;
use protocol::wire::Balancer;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use crate::client_connections::ClientTimeouts;
use crate::control_client::{CONNECT_TIMEOUT, ControlClient};
use crate::engine::{self, Engine, EngineEvent};
use crate::headers::{ClientResponse, empty_response};
use crate::listener::{FINAL_REQUEST_WAIT, Listener, ListenerLimits, RequestHandler};
use crate::metrics;
use crate::routes::Routes;
use crate::upstream_pool::{
    LoadReportFormat, PoolConfig, UpstreamPool, UpstreamProtocol, implies_not_run,
};

/// Descriptors that are neither a client's nor an upstream's.
const RESERVED: usize = 264;
/// The modules work to this much less than the client's deadline, so that an answer at the deadline still
/// arrives: the way to the client, and a busy moment here.
const HEADROOM: Duration = Duration::from_millis(30);
/// Timers fire on multiples of this, so that those of many services fire together.
const GRID: Duration = Duration::from_millis(25);
/// An upstream that does not say how long it keeps idle connections keeps them for so long at least.
const KEEPALIVE: Duration = Duration::from_secs(8);
/// Answers that are read, or not yet written to their clients, may take this part of the memory together.
const ANSWERS_OF_MEMORY: usize = 4;
/// The platform's checks are few.
const CHECKS: usize = 16;
/// This part of the time from SIGTERM to the end goes to new connections at the most: clients need it to hear of it.
const LINGER_OF_GRACE: f64 = 0.5;
/// Nothing is taken later than this after SIGTERM. Failure: a request that was taken after 4.4 s of 10 was sent on
/// twice, and the process ended while its upstream was at work. The platform asks for an answer to whatever a client
/// sent later than 3 s after the signal.
const TAKES: Duration = Duration::from_millis(2800);
/// This much is left at the end.
const SPARE: Duration = Duration::from_millis(500);
/// What has not run by then is refused so long before the last answers have to be out.
const REFUSES_BEFORE: Duration = Duration::from_millis(300);

/// What upstreams say, in the words of this protocol.
pub fn upstream_protocol() -> UpstreamProtocol {
    UpstreamProtocol {
        deadline_header: HeaderName::from_static("deadline-ms"),
        target_header: Some(HeaderName::from_static("target-instance")),
        not_run_header: HeaderName::from_static("not-run"),
        not_run_statuses: &[
            StatusCode::SERVICE_UNAVAILABLE,
            StatusCode::TOO_MANY_REQUESTS,
        ],
        request_id_header: Some(HeaderName::from_static("attempt-id")),
        seal_header: Some(HeaderName::from_static("upstream-seal")),
        // Whatever else an upstream says is its answer; these would be promises that it did not make.
        is_served: |status| !status.is_server_error() && !implies_not_run(status),
        forwards_errors: true,
        load_report: LoadReportFormat::Slots(HeaderName::from_static("upstream-load")),
    }
}

/// Answers the platform's checks, and whoever watches what is counted.
struct Readiness {
    routes: Rc<Routes>,
}

impl RequestHandler for Readiness {
    async fn answer(&self, request: Request<Incoming>, _: Instant, _: bool) -> ClientResponse {
        match request.uri().path() {
            "/-/ready" if self.routes.is_ready() => empty_response(StatusCode::OK),
            "/-/ready" => empty_response(StatusCode::SERVICE_UNAVAILABLE),
            "/-/metrics" => metrics::metrics_response(self.routes.metrics_text()),
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }
}

fn times(limits: &RequestLimits) -> ClientTimeouts {
    ClientTimeouts {
        head: Duration::from_millis(limits.header_timeout_ms.max(1)),
        idle: Duration::from_millis(limits.idle_timeout_ms.max(1)),
    }
}

/// What the clients' side holds to, with so many connections and so much time from SIGTERM to the end.
fn client_bounds(connections: usize, grace: Duration) -> ListenerLimits {
    let limits = RequestLimits::default();
    let linger = grace
        .mul_f64(LINGER_OF_GRACE)
        .min(TAKES - FINAL_REQUEST_WAIT);
    ListenerLimits {
        max_connections: connections,
        idle_eviction_threshold: connections / 2,
        max_header_bytes: limits.max_header_bytes,
        timeouts: times(&limits),
        accept_grace: linger,
        drain_timeout: grace.saturating_sub(linger).saturating_sub(SPARE),
        final_request_wait: FINAL_REQUEST_WAIT,
    }
}

/// When, after SIGTERM, what was not sent to an upstream is refused.
fn refuses_after(bounds: &ListenerLimits) -> Duration {
    (bounds.accept_grace + bounds.drain_timeout).saturating_sub(REFUSES_BEFORE)
}

/// Serves until `stop`, then finishes what was taken.
pub async fn run(
    settings: Settings,
    mut reloads: mpsc::UnboundedReceiver<Settings>,
    stop: impl Future<Output = ()>,
) -> Result<(), String> {
    let http = settings.listen.http.ok_or("`listen.http` is not set")?;
    let bind = async |what: &str, at: SocketAddr| {
        TcpListener::bind(at)
            .await
            .map_err(|e| format!("{what} on {at}: {e}"))
    };
    let listener = bind("http", http).await?;
    let checks = match settings.listen.readiness {
        Some(at) => Some(bind("readiness", at).await?),
        None => None,
    };
    let half = settings.limits.max_fds.saturating_sub(RESERVED).max(32) / 2;
    let pool = UpstreamPool::new(PoolConfig {
        max_connections: half,
        keepalive: KEEPALIVE,
        connect_timeout: CONNECT_TIMEOUT,
        max_response_bytes: (settings.limits.mem_mb << 20) / ANSWERS_OF_MEMORY,
        protocol: upstream_protocol(),
    });
    let terms = engine::EngineConfig {
        seed: load_balancing::settings::stable_hash(&settings.node),
        headroom: HEADROOM,
        drain_grace: Duration::ZERO,
        timer_granularity: GRID,
        subscribe: None,
    };
    let (engine, handle) = Engine::new(terms, pool);
    let engine = tokio::task::spawn_local(engine.run());
    let tell = handle.event_sender();
    let bounds = client_bounds(half, settings.grace_period());
    let refuses_after = refuses_after(&bounds);
    // The routes hold the front to the configuration's limits, and the front asks the routes.
    let slot: Rc<RefCell<Weak<Listener<Routes>>>> = Rc::default();
    let limited = slot.clone();
    let routes = Routes::new(
        &settings,
        handle,
        Box::new(move |limits| {
            if let Some(front) = limited.borrow().upgrade() {
                front.set_limits(limits.max_header_bytes, times(limits));
            }
        }),
    );
    let clients = Listener::new(routes.clone(), bounds);
    *slot.borrow_mut() = Rc::downgrade(&clients);
    if let Some(checks) = checks {
        let gate = Rc::new(Readiness {
            routes: routes.clone(),
        });
        let bounds = ListenerLimits {
            max_connections: CHECKS,
            idle_eviction_threshold: CHECKS,
            ..bounds
        };
        tokio::task::spawn_local(Listener::new(gate, bounds).serve(checks, std::future::pending()));
    }
    let me = Balancer {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        http_addr: http,
    };
    let watch = ControlClient::new(me, routes.clone());
    watch.add_seeds(settings.internal_seeds());
    tokio::task::spawn_local(watch.clone().run());
    tokio::task::spawn_local(async move {
        while let Some(settings) = reloads.recv().await {
            watch.add_seeds(settings.internal_seeds());
        }
    });
    tracing::info!(node = settings.node, %http, "data plane");
    let leaves = routes.clone();
    let serve = clients.serve(listener, async move {
        stop.await;
        leaves.start_draining();
        tokio::task::spawn_local(async move {
            sleep(refuses_after).await;
            tell(EngineEvent::ShutdownStarted);
        });
    });
    tokio::select! {
        () = serve => Ok(()),
        // Without it nothing is ever answered well again; a restart is better.
        _ = engine => Err("the engine ended".to_string()),
    }
}

#[cfg(test)]
#[path = "node_tests.rs"]
mod tests;
