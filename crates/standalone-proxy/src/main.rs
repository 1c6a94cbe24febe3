//! One balancer on real sockets, without a control plane: clients in front, upstreams behind, every decision in
//! [`load_balancing`].
//!
//! Everything runs on one thread. The tasks that do I/O tell the engine what happened and carry out its actions; only
//! the engine touches the balancer. The configuration is a file, read at the start and again on SIGHUP; the list of
//! upstreams comes from discovery. While discovery is silent, the last list stays in use. SIGTERM ends the process
//! once the requests that were accepted have their answers.

mod api;
mod config;
mod discovery;
mod error;

use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use data_plane::abort_on_drop::AbortOnDrop;
use data_plane::engine::{Engine, EngineConfig, EngineHandle};
use data_plane::listener::Listener;
use data_plane::upstream_pool::UpstreamPool;
use load_balancing::interface::MembershipKind;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};

use api::Api;
use config::Config;
use discovery::{DiscoveryWatch, Names};
use error::StartError;

/// The balancer works to this much less than the client's deadline, so that an answer at the deadline still arrives:
/// the way to the client, and a busy moment here.
const DEADLINE_HEADROOM: Duration = Duration::from_millis(15);
/// Sends to a draining upstream end this much before its grace does.
const DRAIN_MARGIN: Duration = Duration::from_millis(100);
/// The engine serves one service.
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
    // Before all else: until there is a handler, the signal ends the process.
    let hangup = signal(SignalKind::hangup()).map_err(StartError::Hangup)?;
    let mut terminate = signal(SignalKind::terminate()).map_err(StartError::Terminate)?;
    let config = Config::read()?;
    let listen_error = |cause| StartError::Listen {
        address: config.listen,
        cause,
    };
    let listener = TcpListener::bind(config.listen)
        .await
        .map_err(listen_error)?;
    let (engine, handle, watch) = start_engine(&config)?;
    let engine = spawn_local(engine.run());
    // The bound address, not the wanted one: with port 0 nothing else tells where clients connect.
    let bound = listener.local_addr().map_err(listen_error)?;
    tracing::info!(node = config.name, "listening on {bound}");
    let _reloads = AbortOnDrop(spawn_local(reload_on_hangup(hangup, watch.moves)));
    let api = Rc::new(Api::new(&config, handle));
    let limits = config.listener_limits(api.longest_deadline());
    let serve = Listener::new(api, limits).serve(listener, async move {
        terminate.recv().await;
    });
    tokio::select! {
        () = serve => Ok(()),
        // Without it nothing is ever answered well again; a restart is better.
        _ = engine => Err(StartError::EngineEnded),
    }
}

/// The task that watches discovery, which ends when this is dropped.
struct WatchTask {
    _task: AbortOnDrop,
    /// Tells it of another address.
    moves: mpsc::UnboundedSender<std::net::SocketAddr>,
}

/// An engine that knows the configuration and the upstreams that it lists, and the watch that tells it of others.
fn start_engine(config: &Config) -> Result<(Engine, EngineHandle, WatchTask), StartError> {
    let settings = config.site.to_settings();
    let is_watch_requested = settings.membership_by_request;
    let drain_grace = Duration::from_micros(settings.rules.drain_grace.0.max(0) as u64);
    let (subscribe, subscriptions) = mpsc::unbounded_channel();
    let engine_config = EngineConfig {
        seed: config.seed,
        headroom: DEADLINE_HEADROOM,
        drain_grace: drain_grace.saturating_sub(DRAIN_MARGIN),
        timer_granularity: Duration::ZERO,
        subscribe: Some(subscribe),
    };
    let (mut engine, handle) = Engine::new(engine_config, UpstreamPool::new(config.pool_config()));
    engine.apply_settings(SERVICE, settings)?;
    let names = Names {
        zones: config.site.zones.clone(),
        kinds: config.site.machine_types.clone(),
    };
    let known = names.listed_upstreams(&config.known);
    engine.update_membership(SERVICE, MembershipKind::Restored, &known);
    let watch = DiscoveryWatch::new(
        config.discovery,
        config.known.revision,
        is_watch_requested,
        names,
        handle.event_sender(),
    );
    let (moves, moved) = mpsc::unbounded_channel();
    let watch = WatchTask {
        _task: AbortOnDrop(spawn_local(watch.run(subscriptions, moved))),
        moves,
    };
    Ok((engine, handle, watch))
}

/// Reads the configuration again on each SIGHUP. Only the address of discovery is followed.
async fn reload_on_hangup(mut hangup: Signal, moves: mpsc::UnboundedSender<std::net::SocketAddr>) {
    while hangup.recv().await.is_some() {
        // A file that can't be used must not cost the service that runs.
        match Config::read() {
            // Without the watch nobody needs to know.
            Ok(new) => drop(moves.send(new.discovery)),
            Err(error) => {
                tracing::error!(%error, "configuration rejected on reload, keeping the old one");
            }
        }
    }
}
