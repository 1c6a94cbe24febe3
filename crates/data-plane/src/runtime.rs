//! A data-plane balancer as a process: composes its parts, serves until it is told to stop, and ends in order.
//!
//! `compose` is the one place in which the parts meet. `shutdown` holds the times between SIGTERM and the end,
//! `readiness` answers the platform's checks.
//!
//! **Promises.** What clients sent up to 3 s after the stop is answered before the process ends. **Neighbours down.**
//! Without the control plane it serves what it last received; if the engine ends the process does too, since nothing
//! would be answered any more and a restart is better.

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
use crate::client_connections::ClientTimeouts;
use crate::control_client::{CONNECT_TIMEOUT, ControlClient};
use crate::engine::{Engine, EngineConfig, EngineEvent};
use crate::listener::{Listener, ListenerLimits};
use crate::routes::Routes;
use crate::upstream_pool::{
    LoadReportFormat, PoolConfig, UpstreamPool, UpstreamProtocol, implies_not_run,
};

/// Descriptors that are neither a client's nor an upstream's.
const RESERVED_FDS: usize = 264;
/// Descriptors for clients and upstreams, whatever the settings say.
const MIN_CONNECTION_FDS: usize = 32;
/// The decision modules work to this much less than the client's deadline, so that a response at the deadline still
/// arrives: the way to the client, and a busy moment here.
const RESPONSE_HEADROOM: Duration = Duration::from_millis(30);
/// Timers fire on multiples of this, so that those of many services fire together.
const TIMER_GRANULARITY: Duration = Duration::from_millis(25);
/// An upstream that does not say how long it keeps idle connections keeps them for so long at least.
const DEFAULT_UPSTREAM_KEEPALIVE: Duration = Duration::from_secs(8);
/// Responses that are read, or not yet written to their clients, may take this part of the memory together.
const RESPONSE_MEMORY_DIVISOR: usize = 4;

/// Why a data plane ended before it was told to.
#[derive(Debug, thiserror::Error)]
pub enum RuntimeError {
    /// The settings do not say where to serve.
    #[error("`listen.http` is not set")]
    NoHttpAddress,
    /// An address of the settings cannot be listened on.
    #[error("{setting} on {address}: {source}")]
    Bind {
        /// The key below `listen`.
        setting: &'static str,
        /// Its value.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The engine's task ended; nothing would be answered any more.
    #[error("the engine ended")]
    EngineEnded,
}

/// What upstreams say, in the words of the users' protocol.
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

fn client_timeouts(limits: &RequestLimits) -> ClientTimeouts {
    ClientTimeouts {
        header: Duration::from_millis(limits.header_timeout_ms.max(1)),
        idle: Duration::from_millis(limits.idle_timeout_ms.max(1)),
    }
}

/// Clients' connections, and as many to upstreams.
fn max_connections(settings: &Settings) -> usize {
    let fds = settings.limits.max_fds.saturating_sub(RESERVED_FDS);
    fds.max(MIN_CONNECTION_FDS) / 2
}

/// The parts of a data plane in the order in which a request meets them.
struct DataPlane {
    listener: Rc<Listener<Routes>>,
    routes: Rc<Routes>,
    engine: JoinHandle<()>,
    /// Tells the engine something from outside a request.
    send_event: Box<dyn Fn(EngineEvent)>,
}

/// Composes the parts of the data plane, from the one that a request meets last.
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
    let (engine, handle) = Engine::new(config, pool);
    let engine = spawn_local(engine.run());
    let send_event = Box::new(handle.event_sender());
    // The routes hold the listener to the configuration's limits, and the listener hands its requests to the routes.
    let limited: Rc<OnceCell<Weak<Listener<Routes>>>> = Rc::default();
    let on_limits = {
        let limited = limited.clone();
        move |limits: &RequestLimits| {
            if let Some(listener) = limited.get().and_then(Weak::upgrade) {
                listener.set_limits(limits.max_header_bytes, client_timeouts(limits));
            }
        }
    };
    let routes = Routes::new(settings, handle, Box::new(on_limits));
    let listener = Listener::new(routes.clone(), limits);
    limited.get_or_init(|| Rc::downgrade(&listener));
    DataPlane {
        listener,
        routes,
        engine,
        send_event,
    }
}

async fn bind(setting: &'static str, address: SocketAddr) -> Result<TcpListener, RuntimeError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|source| RuntimeError::Bind {
        setting,
        address,
        source,
    })
}

/// Keeps sessions with the control plane for the life of the process, with the seeds of each reload of the settings.
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

/// Serves until `stop`, then finishes what was taken. Takes the seeds of settings that are reloaded meanwhile; the rest
/// of them holds from the next start on.
///
/// # Errors
///
/// The settings have no address to serve on, one cannot be listened on, or the engine ended.
pub async fn run(
    settings: Settings,
    reloads: mpsc::UnboundedReceiver<Settings>,
    stop: impl Future<Output = ()>,
) -> Result<(), RuntimeError> {
    let http = settings.listen.http.ok_or(RuntimeError::NoHttpAddress)?;
    let socket = bind("http", http).await?;
    let readiness_socket = match settings.listen.readiness {
        Some(address) => Some(bind("readiness", address).await?),
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
