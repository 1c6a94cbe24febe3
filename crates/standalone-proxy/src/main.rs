//! Standalone HTTP load balancing proxy, without a control plane. All load balancing decisions are made by the
//! [`load_balancing`] crate.
//!
//! The process is single-threaded. I/O tasks report events to the engine and execute its actions; only the engine
//! accesses the load balancer. The configuration is a file that is read at startup and again on SIGHUP. The list of
//! upstreams comes from discovery; while discovery is unavailable, the last list stays in use. On SIGTERM, the process
//! exits after it has answered all accepted requests.

mod api;
mod config;
mod discovery;
mod error;

use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use data_plane::abort_on_drop::AbortOnDrop;
use data_plane::engine::{Engine, EngineConfig, EngineHandle};
use data_plane::listener::{self, Listener};
use data_plane::runtime::disconnect_slow_readers_on_shortage;
use data_plane::upstream_pool::UpstreamPool;
use load_balancing::interface::MembershipKind;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};

use api::Api;
use config::Config;
use discovery::{DiscoveryWatch, SiteNames};
use error::StartError;

/// The load balancer's deadline is earlier than the client's by this much, so that a response at the deadline still
/// arrives in time, despite network latency and scheduling delays.
const DEADLINE_HEADROOM: Duration = Duration::from_millis(15);
/// The last request to a draining upstream is sent this long before the end of its drain grace.
const DRAIN_MARGIN: Duration = Duration::from_millis(100);
/// Index of the only service of the engine.
const SERVICE: usize = 0;

fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .init();
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standalone-proxy: {error}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), StartError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::Runtime)?;
    LocalSet::new().block_on(&runtime, run())
}

async fn run() -> Result<(), StartError> {
    // The handlers are installed first, because without a handler SIGHUP ends the process.
    let hangup = signal(SignalKind::hangup()).map_err(StartError::Hangup)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(StartError::Terminate)?;
    let config = Config::read()?;
    let listen_error = |cause| StartError::Listen {
        address: config.listen,
        cause,
    };
    let listener = listener::bind(config.listen).map_err(listen_error)?;
    let pool = UpstreamPool::new(config.pool_config());
    let (engine, handle, watch) = start_engine(&config, pool.clone())?;
    let engine = spawn_local(engine.run());
    // Logs the bound address rather than the configured one: with port 0, nothing else shows the actual port.
    let bound = listener.local_addr().map_err(listen_error)?;
    tracing::info!(node = config.name, "listening on {bound}");
    let _reloads = AbortOnDrop(spawn_local(reload_on_hangup(hangup, watch.address_changes)));
    let api = Rc::new(Api::new(&config, handle));
    let limits = config.listener_limits(api.longest_deadline());
    let server = Listener::new(api, limits);
    disconnect_slow_readers_on_shortage(&pool, &server);
    let serve = server.serve(listener, async move {
        terminate.recv().await;
    });
    tokio::select! {
        () = serve => Ok(()),
        // Without the engine, no request can be served; exiting allows a restart.
        _ = engine => Err(StartError::EngineStopped),
    }
}

/// The task that watches discovery. It is aborted on drop.
struct WatchTask {
    _task: AbortOnDrop,
    /// Sends a new address of discovery to the task.
    address_changes: mpsc::UnboundedSender<std::net::SocketAddr>,
}

/// Creates the engine with the configured settings and upstreams, and starts the watch that updates the upstreams.
fn start_engine(
    config: &Config,
    pool: Rc<UpstreamPool>,
) -> Result<(Engine, EngineHandle, WatchTask), StartError> {
    let settings = config.site.to_settings();
    let is_watch_on_demand = settings.membership_by_request;
    let drain_grace = Duration::from_micros(settings.rules.drain_grace.0.max(0) as u64);
    let (subscribe, subscriptions) = mpsc::unbounded_channel();
    let engine_config = EngineConfig {
        seed: config.seed,
        headroom: DEADLINE_HEADROOM,
        drain_grace: drain_grace.saturating_sub(DRAIN_MARGIN),
        timer_granularity: Duration::ZERO,
        subscribe: Some(subscribe),
    };
    let (mut engine, handle) = Engine::new(engine_config, pool);
    engine.apply_settings(SERVICE, settings)?;
    let names = SiteNames {
        zones: config.site.zones.clone(),
        machine_types: config.site.machine_types.clone(),
    };
    let known = names.listed_upstreams(&config.last_known_upstreams);
    engine.update_membership(SERVICE, MembershipKind::Restored, &known);
    let watch = DiscoveryWatch::new(
        config.discovery,
        config.last_known_upstreams.revision,
        is_watch_on_demand,
        names,
        handle.event_sender(),
    );
    let (address_changes, address_receiver) = mpsc::unbounded_channel();
    let watch = WatchTask {
        _task: AbortOnDrop(spawn_local(watch.run(subscriptions, address_receiver))),
        address_changes,
    };
    Ok((engine, handle, watch))
}

/// Reads the configuration again on each SIGHUP. Only a change of the discovery address is applied.
async fn reload_on_hangup(
    mut hangup: Signal,
    address_changes: mpsc::UnboundedSender<std::net::SocketAddr>,
) {
    while hangup.recv().await.is_some() {
        // An invalid file must not interrupt the running service.
        match Config::read() {
            // If the watch has ended, the address is no longer needed.
            Ok(new) => drop(address_changes.send(new.discovery)),
            Err(error) => {
                tracing::error!(%error, "configuration rejected on reload, keeping the old one");
            }
        }
    }
}
