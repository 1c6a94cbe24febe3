//! The data-plane process: creates its components, serves until it is stopped, and shuts down gracefully.
//!
//! `compose` creates and connects the components. `shutdown` computes the times between SIGTERM and exit; `readiness`
//! responds to the platform's readiness checks.
//!
//! **Guarantees.** Requests that clients sent up to 3 s after the stop signal get a response before the process exits.
//!
//! **Failures.** Without the control plane, the last received configuration stays in use. If the engine ends, the
//! process exits, since no request would get a response anymore and a restart is better.

mod readiness;
mod shutdown;

use std::cell::OnceCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use hyper::StatusCode;
use hyper::header::HeaderName;
use protocol::config::RequestLimits;
use protocol::settings::Settings;
use protocol::wire::Balancer;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

use self::readiness::{MAX_READINESS_CONNECTIONS, ReadinessHandler};
use self::shutdown::{client_limits, reject_unsent_after};
use crate::body::RESPONSE_MEMORY_DIVISOR;
use crate::client_connections::ClientTimeouts;
use crate::control_client::{CONNECT_TIMEOUT, ControlClient};
use crate::engine::{Engine, EngineConfig, EngineEvent};
use crate::listener::{self, Listener, ListenerLimits, RequestHandler};
use crate::routes::Routes;
use crate::upstream_pool::{
    LoadReportFormat, PoolConfig, UpstreamPool, UpstreamProtocol, implies_not_run,
};

/// File descriptors that are used neither for clients nor for upstreams.
const RESERVED_FDS: usize = 264;
/// The minimum number of file descriptors for clients and upstreams, regardless of the settings.
const MIN_CONNECTION_FDS: usize = 32;
/// The deadline that the services' balancers use is this much earlier than the client's, so that a response at that
/// deadline still arrives in time despite the network latency to the client and a delay in this process.
const RESPONSE_HEADROOM: Duration = Duration::from_millis(30);
/// Timers fire on multiples of this, so that timers of many services fire together.
const TIMER_GRANULARITY: Duration = Duration::from_millis(25);
/// The assumed idle timeout of upstreams that don't announce one.
const DEFAULT_UPSTREAM_KEEPALIVE: Duration = Duration::from_secs(8);

/// Why the data plane failed to start or ended unexpectedly.
#[derive(Debug, thiserror::Error)]
pub enum RuntimeError {
    /// The settings contain no address for the HTTP listener.
    #[error("`listen.http` is not set")]
    NoHttpAddress,
    /// Binding to an address of the settings failed.
    #[error("{setting} on {address}: {source}")]
    Bind {
        /// The setting under `listen` that contains the address.
        setting: &'static str,
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The engine's task ended, so that no request would get a response anymore.
    #[error("the engine ended")]
    EngineEnded,
}

/// Returns the headers and statuses of the protocol between the data plane and its upstreams.
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
        // Any other status counts as the upstream's response. A status that implies that the request has not run would
        // give the client a guarantee that the upstream did not make.
        is_served: |status| !status.is_server_error() && !implies_not_run(status),
        forwards_errors: true,
        load_report: LoadReportFormat::Slots(HeaderName::from_static("upstream-load")),
    }
}

fn client_timeouts(limits: &RequestLimits) -> ClientTimeouts {
    ClientTimeouts {
        header: Duration::from_millis(limits.header_timeout_ms.max(1)),
        idle: Duration::from_millis(limits.idle_timeout_ms.max(1)),
    }
}

/// Returns the maximum number of client connections, which is also that of upstream connections.
fn max_connections(settings: &Settings) -> usize {
    let fds = settings.limits.max_fds.saturating_sub(RESERVED_FDS);
    fds.max(MIN_CONNECTION_FDS) / 2
}

/// The components of the data plane in the order in which a request passes through them.
struct DataPlane {
    listener: Rc<Listener<Routes>>,
    routes: Rc<Routes>,
    engine: JoinHandle<()>,
    /// Sends an event that does not belong to a request to the engine.
    send_event: Box<dyn Fn(EngineEvent)>,
}

/// Creates the components of the data plane, starting with the one that a request reaches last.
fn compose(settings: &Settings, limits: ListenerLimits) -> DataPlane {
    let pool = UpstreamPool::new(PoolConfig {
        max_connections: max_connections(settings),
        keepalive: DEFAULT_UPSTREAM_KEEPALIVE,
        connect_timeout: CONNECT_TIMEOUT,
        max_response_bytes: (settings.limits.mem_mb << 20) / RESPONSE_MEMORY_DIVISOR,
        protocol: upstream_protocol(),
    });
    let config = EngineConfig {
        seed: load_balancing::settings::stable_hash(&settings.node),
        headroom: RESPONSE_HEADROOM,
        drain_grace: Duration::ZERO,
        timer_granularity: TIMER_GRANULARITY,
        subscribe: None,
    };
    let (engine, handle) = Engine::new(config, pool.clone());
    let engine = spawn_local(engine.run());
    let send_event = Box::new(handle.event_sender());
    // Set below, since listener and routes refer to each other: the listener passes requests to the routes, and the
    // routes apply the configuration's limits to the listener.
    let limited_listener: Rc<OnceCell<Weak<Listener<Routes>>>> = Rc::default();
    let on_limits = {
        let limited_listener = limited_listener.clone();
        move |limits: &RequestLimits| {
            if let Some(listener) = limited_listener.get().and_then(Weak::upgrade) {
                listener.set_limits(limits.max_header_bytes, client_timeouts(limits));
            }
        }
    };
    let routes = Routes::new(settings, handle, Box::new(on_limits));
    let listener = Listener::new(routes.clone(), limits);
    limited_listener.get_or_init(|| Rc::downgrade(&listener));
    disconnect_slow_readers_on_shortage(&pool, &listener);
    DataPlane {
        listener,
        routes,
        engine,
        send_event,
    }
}

/// Lets the listener disconnect clients that leave their responses unread, where the memory for responses is short.
pub fn disconnect_slow_readers_on_shortage<H: RequestHandler>(
    pool: &UpstreamPool,
    listener: &Rc<Listener<H>>,
) {
    let listener = Rc::downgrade(listener);
    pool.set_response_shortage_handler(move || {
        if let Some(listener) = listener.upgrade() {
            listener.evict_slow_reader();
        }
    });
}

fn bind(setting: &'static str, address: SocketAddr) -> Result<TcpListener, RuntimeError> {
    listener::bind(address).map_err(|source| RuntimeError::Bind {
        setting,
        address,
        source,
    })
}

/// Starts the control client, and adds the seeds of reloaded settings to it.
fn start_control_client(
    balancer: Balancer,
    routes: Rc<Routes>,
    settings: &Settings,
    mut reloads: mpsc::UnboundedReceiver<Settings>,
) {
    let client = ControlClient::new(balancer, routes);
    client.add_seeds(settings.internal_seeds());
    spawn_local(client.clone().run());
    spawn_local(async move {
        while let Some(settings) = reloads.recv().await {
            client.add_seeds(settings.internal_seeds());
        }
    });
}

/// Serves until `stop` completes, then shuts down gracefully. Of settings that are reloaded meanwhile, only the seeds
/// are applied; all others require a restart.
///
/// # Errors
///
/// The settings contain no HTTP address, binding to an address fails, or the engine ends.
pub async fn run(
    settings: Settings,
    reloads: mpsc::UnboundedReceiver<Settings>,
    stop: impl Future<Output = ()>,
) -> Result<(), RuntimeError> {
    let http = settings.listen.http.ok_or(RuntimeError::NoHttpAddress)?;
    let socket = bind("http", http)?;
    let readiness_socket = match settings.listen.readiness {
        Some(address) => Some(bind("readiness", address)?),
        None => None,
    };
    let limits = client_limits(max_connections(&settings), settings.grace_period());
    let reject_after = reject_unsent_after(&limits);
    let DataPlane {
        listener,
        routes,
        engine,
        send_event,
    } = compose(&settings, limits);
    if let Some(socket) = readiness_socket {
        let handler = Rc::new(ReadinessHandler::new(routes.clone()));
        let limits = ListenerLimits {
            max_connections: MAX_READINESS_CONNECTIONS,
            idle_eviction_threshold: MAX_READINESS_CONNECTIONS,
            ..limits
        };
        spawn_local(Listener::new(handler, limits).serve(socket, std::future::pending()));
    }
    let balancer = Balancer {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        http_addr: http,
    };
    start_control_client(balancer, routes.clone(), &settings, reloads);
    tracing::info!(node = settings.node, zone = settings.zone, %http, "data plane is serving");
    let serve = listener.serve(socket, async move {
        stop.await;
        routes.start_draining();
        spawn_local(async move {
            sleep(reject_after).await;
            send_event(EngineEvent::ShutdownStarted);
        });
    });
    tokio::select! {
        () = serve => Ok(()),
        _ = engine => Err(RuntimeError::EngineEnded),
    }
}

#[cfg(test)]
mod tests;
