//! Assembles a control process from its parts, runs it and shuts it down.
//!
//! **State.** The tasks of one thread and the channels between them. Persistent state is in `store`.
//!
//! **Guarantees.** A process that is asked to stop hands over leadership first, then closes its callers' connections
//! gracefully. A damaged file on disk is never read again: the machine joins as a new member.
//!
//! **Failures.** At startup, opening the store is retried until the disk works. A disk that fails permanently later
//! ends the process.

use std::collections::BTreeMap;
use std::future::Future;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::mpsc as std_mpsc;
use std::time::Duration;

use data_plane::client_connections::ClientTimeouts;
use data_plane::listener::{FINAL_REQUEST_WAIT, Listener, ListenerLimits, RequestHandler};
use data_plane::request_budget::RequestMemoryLimits;
use data_plane::request_memory::RequestMemory;
use load_balancing::settings::stable_hash;
use protocol::settings::Settings;
use raft::{Members, NodeId, PersistentState};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

use crate::http_api::{DirectoryApi, OperatorApi};
use crate::server::{Channels, ControlServer, ELECTION_TIMEOUT_MS, Environment, FatalError};
use crate::store::{DiskRequest, Store, StoreError, WRITE_RETRY_INTERVAL, quarantine};
use crate::{connections, discovery, key_leases};

/// The maximum size of a request's headers. Calls of operators and of the directory have small ones.
const MAX_HEADER_BYTES: usize = 16 << 10;
/// The timeouts of connections to `ctl` and `dir`: for receiving a request's headers, and for staying idle.
const CLIENT_TIMEOUTS: ClientTimeouts = ClientTimeouts {
    header: Duration::from_secs(3),
    idle: Duration::from_secs(15),
};
/// How long calls in progress may take to complete when the process shuts down.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a leader that shuts down tries to hand over leadership. A hand-over takes a few round trips; without one,
/// an election takes at least this long.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(ELECTION_TIMEOUT_MS);
/// File descriptors reserved for purposes other than callers' connections.
const RESERVED_FDS: usize = 300;
/// The lower bound of the number of file descriptors available to callers.
const MIN_CALLER_FDS: usize = 16;
/// The number of file descriptors available to callers is divided by this to get the connection limit of each of the
/// listeners `ctl` and `dir`.
const LISTENER_FD_DIVISOR: usize = 4;

/// The memory of a machine divided by this is the maximum for a parsed configuration.
const PARSED_CONFIGURATION_MEMORY_DIVISOR: usize = 4;

/// An error that prevents a control process from starting or ends it.
#[derive(Debug, thiserror::Error)]
pub enum RuntimeError {
    /// Listening on an address failed.
    #[error("cannot listen on {address} for `{listener}`: {source}")]
    Bind {
        /// The listener: `peers`, `ctl` or `dir`.
        listener: &'static str,
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The store was written by another build, in a format that this one does not support.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The disk thread can't be started.
    #[error("cannot start the disk thread: {0}")]
    DiskThread(std::io::Error),
    /// A write has failed permanently.
    #[error("writing to the disk failed permanently")]
    DiskFailed,
    /// The log contains data that this build can't read.
    #[error(transparent)]
    Log(#[from] FatalError),
}

/// The open store, with this machine's node id and the persistent Raft state that was loaded from it.
struct OpenStore {
    store: Store,
    id: NodeId,
    stored: PersistentState,
}

/// This machine's node id and persistent Raft state, and the channels to the disk thread.
struct Persistence {
    id: NodeId,
    stored: PersistentState,
    disk: std_mpsc::Sender<DiskRequest>,
    /// Sequence numbers of synced writes. The channel closes when the disk fails.
    synced: mpsc::UnboundedReceiver<u64>,
    /// Keeps `synced` open in a process without a disk, where nothing is ever synced.
    _synced_sender: Option<mpsc::UnboundedSender<u64>>,
}

/// The listeners of a process. Those that are not in the settings are `None`.
struct Listeners {
    peers: Option<TcpListener>,
    operators: Option<TcpListener>,
    directory: Option<TcpListener>,
}

/// Returns a random id for a new node.
fn random_id() -> NodeId {
    RandomState::new().build_hasher().finish()
}

/// Writes this machine's identity to a new store. The founders of the log are the seeds of the very first start, which
/// are the same on all machines; their ids are derived from their addresses, so each founder knows those of the others.
/// A machine that joins later, or returns without its disk (`is_replacement`), gets a new id.
fn initialize_store(
    store: &Store,
    settings: &Settings,
    is_replacement: bool,
) -> Result<(), StoreError> {
    let founder_id = |address: SocketAddr| stable_hash(&address.to_string());
    let is_seed = |own| settings.seeds.contains(&own);
    let is_founder =
        settings.bootstrap && !is_replacement && settings.listen.ctl.is_some_and(is_seed);
    let mut founders = Members::default();
    let mut id = random_id();
    if is_founder {
        id = founder_id(settings.internal_addr());
        let seeds = settings.internal_seeds();
        founders.voters = seeds
            .map(|address| (founder_id(address), address.to_string()))
            .collect::<BTreeMap<_, _>>();
    }
    store.initialize(id, &founders)
}

/// Opens the store, and initializes it if it is new. Retries until the disk works. A damaged file is quarantined and
/// replaced by a new one.
async fn open_store(settings: &Settings, dir: &Path) -> Result<OpenStore, StoreError> {
    let mut is_replacement = false;
    loop {
        let error = match Store::open(dir) {
            Ok((store, Some((id, stored)))) => return Ok(OpenStore { store, id, stored }),
            Ok((store, None)) => match initialize_store(&store, settings, is_replacement) {
                Ok(()) => continue,
                Err(error) => error,
            },
            Err(error) => error,
        };
        if matches!(error, StoreError::UnsupportedFormat { .. }) {
            return Err(error);
        }
        if error.is_corrupted() {
            tracing::error!(
                %error,
                "the stored file is damaged: quarantining it and joining as a new member"
            );
            is_replacement = true;
            if quarantine(dir).is_ok() {
                continue;
            }
        }
        tracing::warn!(%error, "opening the store failed; retrying");
        sleep(WRITE_RETRY_INTERVAL).await;
    }
}

impl Persistence {
    /// Opens the store and starts the thread that writes it.
    async fn open(settings: &Settings, dir: &Path) -> Result<Self, RuntimeError> {
        let OpenStore { store, id, stored } = open_store(settings, dir).await?;
        let (disk, synced) = store.spawn_writer().map_err(RuntimeError::DiskThread)?;
        Ok(Self {
            id,
            stored,
            disk,
            synced,
            _synced_sender: None,
        })
    }

    /// Creates the substitute for a process without a disk, where nothing is written. Such a process is not a member of
    /// the log, and redirects callers to its members.
    fn none() -> Self {
        let (disk, _) = std_mpsc::channel();
        let (synced_sender, synced) = mpsc::unbounded_channel();
        Self {
            id: random_id(),
            stored: PersistentState::default(),
            disk,
            synced,
            _synced_sender: Some(synced_sender),
        }
    }
}

/// Binds a listener, if it has an address.
fn bind(
    listener: &'static str,
    address: Option<SocketAddr>,
) -> Result<Option<TcpListener>, RuntimeError> {
    let Some(address) = address else {
        return Ok(None);
    };
    data_plane::listener::bind(address)
        .map(Some)
        .map_err(|source| RuntimeError::Bind {
            listener,
            address,
            source,
        })
}

impl Listeners {
    fn bind(settings: &Settings) -> Result<Self, RuntimeError> {
        Ok(Self {
            peers: bind("peers", Some(settings.internal_addr()))?,
            operators: bind("ctl", settings.listen.ctl)?,
            directory: bind("dir", settings.listen.dir)?,
        })
    }
}

/// Runs a control process until `stop` completes, then shuts it down gracefully. `reloads` receives the settings each
/// time their file is reloaded; only their seeds are used.
///
/// # Errors
/// Returns an error if the process can't start or can't continue.
pub async fn run(
    settings: Settings,
    reloads: mpsc::UnboundedReceiver<Settings>,
    stop: impl Future<Output = ()>,
) -> Result<(), RuntimeError> {
    let listeners = Listeners::bind(&settings)?;
    tokio::pin!(stop);
    let persistence = match settings.data_dir.clone() {
        Some(dir) => tokio::select! {
            opened = Persistence::open(&settings, &dir) => opened?,
            () = &mut stop => return Ok(()),
        },
        None => Persistence::none(),
    };
    let (dial, dial_requests) = mpsc::unbounded_channel();
    let (fatal, mut fatal_errors) = mpsc::unbounded_channel();
    let channels = Channels {
        disk: persistence.disk,
        dial,
        fatal_errors: fatal,
    };
    let (id, stored) = (persistence.id, persistence.stored);
    let server = ControlServer::new(settings, id, stored, channels, Environment::of_machine());
    tracing::info!(
        node = server.settings.node,
        id = format!("{id:016x}"),
        "control process started"
    );
    spawn_local(connections::dial_peers(server.clone(), dial_requests));
    spawn_tasks(&server, listeners.peers, reloads);
    let apis = Apis::start(&server, listeners.operators, listeners.directory);
    let disk_failed = server.clone().run_disk_events(persistence.synced);
    tokio::pin!(disk_failed);
    tokio::select! {
        () = &mut stop => {}
        Some(error) = fatal_errors.recv() => return Err(error.into()),
        () = &mut disk_failed => return Err(RuntimeError::DiskFailed),
    }
    tokio::select! {
        () = server.shut_down(HAND_OVER_TIMEOUT) => {}
        () = &mut disk_failed => return Err(RuntimeError::DiskFailed),
    }
    apis.stop().await;
    Ok(())
}

/// Starts the tasks that run for the whole lifetime of the process.
fn spawn_tasks(
    server: &Rc<ControlServer>,
    peers: Option<TcpListener>,
    mut reloads: mpsc::UnboundedReceiver<Settings>,
) {
    spawn_local(server.clone().run_clock());
    spawn_local(discovery::run(server.clone()));
    spawn_local(key_leases::run(server.clone()));
    if let Some(listener) = peers {
        spawn_local(connections::accept_connections(server.clone(), listener));
    }
    let server = server.clone();
    spawn_local(async move {
        while let Some(settings) = reloads.recv().await {
            server.add_seeds(&settings.seeds);
        }
    });
}

/// Returns the limits for each of the listeners `ctl` and `dir`.
fn listener_limits(settings: &Settings) -> ListenerLimits {
    let caller_fds = settings.limits.max_fds.saturating_sub(RESERVED_FDS);
    let max_connections = caller_fds.max(MIN_CALLER_FDS) / LISTENER_FD_DIVISOR;
    ListenerLimits {
        max_connections,
        idle_eviction_threshold: max_connections / 2,
        max_header_bytes: MAX_HEADER_BYTES,
        timeouts: CLIENT_TIMEOUTS,
        accept_grace: Duration::ZERO,
        drain_timeout: DRAIN_TIMEOUT,
        final_request_wait: FINAL_REQUEST_WAIT,
    }
}

/// The HTTP interfaces of a process, while they are served.
struct Apis {
    stop_sender: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Apis {
    /// Starts serving the interfaces that have a listener.
    fn start(
        server: &Rc<ControlServer>,
        operators: Option<TcpListener>,
        directory: Option<TcpListener>,
    ) -> Self {
        let limits = listener_limits(&server.settings);
        let (stop_sender, stopping) = watch::channel(false);
        let mut tasks = Vec::new();
        if let Some(listener) = operators {
            let memory_bytes = server.settings.limits.mem_mb << 20;
            let api = OperatorApi {
                server: server.clone(),
                request_memory: RequestMemory::new(RequestMemoryLimits::of_machine(memory_bytes)),
                max_parsed_bytes: memory_bytes / PARSED_CONFIGURATION_MEMORY_DIVISOR,
            };
            tasks.push(serve_api(api, limits, listener, stopping.clone()));
        }
        if let Some(listener) = directory {
            let api = DirectoryApi::new(server.clone());
            tasks.push(serve_api(api, limits, listener, stopping));
        }
        Self { stop_sender, tasks }
    }

    /// Stops the interfaces gracefully. Calls in progress get their responses if they complete within
    /// [`DRAIN_TIMEOUT`].
    async fn stop(self) {
        // Sending fails only if there is no interface to stop.
        let _ = self.stop_sender.send(true);
        for task in self.tasks {
            // A task that panicked has stopped as well.
            let _ = task.await;
        }
    }
}

/// Starts serving an interface, until `stopping` becomes true.
fn serve_api<H: RequestHandler>(
    handler: H,
    limits: ListenerLimits,
    listener: TcpListener,
    mut stopping: watch::Receiver<bool>,
) -> JoinHandle<()> {
    let stop = async move {
        // An error means that `Apis` was dropped, so serving stops as well.
        let _ = stopping.wait_for(|stopping| *stopping).await;
    };
    spawn_local(Listener::new(Rc::new(handler), limits).serve(listener, stop))
}

#[cfg(test)]
mod tests;
