//! A control process: puts the parts together, and ends in order.
//!
//! **State.** Tasks of one thread and the channels between them; what lasts is in `store`. **Promises.** A process that is
//! told to stop hands leadership over first, then ends its callers' connections in order. A disk whose file is damaged is
//! never read again: the machine joins as a new member. **Neighbours.** A disk that does not answer is tried for good
//! before the process serves, and ends it afterwards.

use std::collections::BTreeMap;
use std::future::Future;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::mpsc as disk;
use std::time::Duration;

use data_plane::client_connections::ClientTimeouts;
use data_plane::listener::{FINAL_REQUEST_WAIT, Listener, ListenerLimits, RequestHandler};
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

/// Heads of operators' and directory's calls are small.
const MAX_HEADER_BYTES: usize = 16 << 10;
/// Callers of `ctl` and `dir` may take and stay idle for so long.
const CLIENT_TIMEOUTS: ClientTimeouts = ClientTimeouts {
    header: Duration::from_secs(3),
    idle: Duration::from_secs(15),
};
/// Calls that are under way when the process ends may take so long.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// A leader that ends hands over within round trips; an election in its place takes as long as this at least.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(ELECTION_TIMEOUT_MS);
/// File descriptors that are no caller's.
const RESERVED_FDS: usize = 300;
/// Callers' descriptors are taken for this many at least.
const MIN_CALLER_FDS: usize = 16;
/// Each of the two listeners takes this part of the callers' descriptors at most.
const LISTENER_FD_SHARE: usize = 4;

/// Why a control process ends, or can't start.
#[derive(Debug, thiserror::Error)]
pub enum RuntimeError {
    /// An address can't be listened on.
    #[error("{listener} on {address}: {source}")]
    Bind {
        /// What was to listen: `peers`, `ctl` or `dir`.
        listener: &'static str,
        /// Where.
        address: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
    /// What is on the disk is of another build.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The thread that writes can't be started.
    #[error("disk thread: {0}")]
    DiskThread(std::io::Error),
    /// A write has failed for good.
    #[error("the disk failed")]
    DiskFailed,
    /// The log holds what this build can't read.
    #[error(transparent)]
    Log(#[from] FatalError),
}

/// The open store, with who this machine is in the log and what it has promised there.
struct OpenStore {
    store: Store,
    id: NodeId,
    stored: PersistentState,
}

/// This machine's place in the log, and the way to its disk.
struct Persistence {
    id: NodeId,
    stored: PersistentState,
    disk: disk::Sender<DiskRequest>,
    /// Sequence numbers of writes that are synced; ends when the disk fails.
    synced: mpsc::UnboundedReceiver<u64>,
    /// Without a disk nothing is ever synced, and `synced` must not end.
    _keeps_open: Option<mpsc::UnboundedSender<u64>>,
}

/// The listeners of a process; those that the settings don't name are absent.
struct Listeners {
    peers: Option<TcpListener>,
    operators: Option<TcpListener>,
    directory: Option<TcpListener>,
}

fn random_id() -> NodeId {
    RandomState::new().build_hasher().finish()
}

/// Makes this machine a member on its disk. The founders of the log are the seeds of the very first start, the same on
/// all machines; each knows the others' ids by their addresses. Whoever comes later, or comes back without its disk
/// (`is_replacement`), is new.
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

/// Opens the store, and initializes it where it is new. Tries until the disk gives an answer; a damaged file is set
/// aside, and a new one is begun.
async fn open_store(settings: &Settings, folder: &Path) -> Result<OpenStore, StoreError> {
    let mut is_replacement = false;
    loop {
        let error = match Store::open(folder) {
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
                "the stored file is damaged: it is set aside, and this machine joins as a new member"
            );
            is_replacement = true;
            if quarantine(folder).is_ok() {
                continue;
            }
        }
        tracing::warn!(%error, "the disk refused; trying again");
        sleep(WRITE_RETRY_INTERVAL).await;
    }
}

impl Persistence {
    /// Opens the store and starts the thread that writes it.
    async fn open(settings: &Settings, folder: &Path) -> Result<Self, RuntimeError> {
        let OpenStore { store, id, stored } = open_store(settings, folder).await?;
        let (disk, synced) = store.spawn_writer().map_err(RuntimeError::DiskThread)?;
        Ok(Self {
            id,
            stored,
            disk,
            synced,
            _keeps_open: None,
        })
    }

    /// Without a disk the process is no member of the log: it redirects callers to those that are.
    fn none() -> Self {
        let (disk, _) = disk::channel();
        let (keeps_open, synced) = mpsc::unbounded_channel();
        Self {
            id: random_id(),
            stored: PersistentState::default(),
            disk,
            synced,
            _keeps_open: Some(keeps_open),
        }
    }
}

async fn bind(
    listener: &'static str,
    address: Option<SocketAddr>,
) -> Result<Option<TcpListener>, RuntimeError> {
    let Some(address) = address else {
        return Ok(None);
    };
    let bound = TcpListener::bind(address).await;
    bound.map(Some).map_err(|source| RuntimeError::Bind {
        listener,
        address,
        source,
    })
}

impl Listeners {
    async fn bind(settings: &Settings) -> Result<Self, RuntimeError> {
        Ok(Self {
            peers: bind("peers", Some(settings.internal_addr())).await?,
            operators: bind("ctl", settings.listen.ctl).await?,
            directory: bind("dir", settings.listen.dir).await?,
        })
    }
}

/// Serves until `stop`, then ends in order. `reloads` brings the settings each time that their file was read anew; of
/// these only the seeds count.
///
/// # Errors
/// Where the process can't start or can't go on.
pub async fn run(
    settings: Settings,
    reloads: mpsc::UnboundedReceiver<Settings>,
    stop: impl Future<Output = ()>,
) -> Result<(), RuntimeError> {
    let listeners = Listeners::bind(&settings).await?;
    tokio::pin!(stop);
    let persistence = match settings.data_dir.clone() {
        Some(folder) => tokio::select! {
            opened = Persistence::open(&settings, &folder) => opened?,
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

/// Starts what runs for as long as the process does.
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

fn listener_limits(settings: &Settings) -> ListenerLimits {
    let caller_fds = settings.limits.max_fds.saturating_sub(RESERVED_FDS);
    let max_connections = caller_fds.max(MIN_CALLER_FDS) / LISTENER_FD_SHARE;
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

/// The HTTP interfaces of a process.
struct Apis {
    ending: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Apis {
    /// Serves those that there is a listener for.
    fn start(
        server: &Rc<ControlServer>,
        operators: Option<TcpListener>,
        directory: Option<TcpListener>,
    ) -> Self {
        let limits = listener_limits(&server.settings);
        let (ending, ended) = watch::channel(false);
        let mut tasks = Vec::new();
        if let Some(listener) = operators {
            let api = OperatorApi {
                server: server.clone(),
            };
            tasks.push(serve_api(api, limits, listener, ended.clone()));
        }
        if let Some(listener) = directory {
            let api = DirectoryApi::new(server.clone());
            tasks.push(serve_api(api, limits, listener, ended));
        }
        Self { ending, tasks }
    }

    /// Ends them in order: callers whose calls are under way get their answers, for a while.
    async fn stop(self) {
        // Without a receiver there is no interface that would have to end.
        let _ = self.ending.send(true);
        for task in self.tasks {
            // One that panicked has ended too.
            let _ = task.await;
        }
    }
}

/// Serves an interface until `ended` says so.
fn serve_api<H: RequestHandler>(
    handler: H,
    limits: ListenerLimits,
    listener: TcpListener,
    mut ended: watch::Receiver<bool>,
) -> JoinHandle<()> {
    let stop = async move {
        // An error says that the process has ended without a word: stop as well.
        let _ = ended.wait_for(|ended| *ended).await;
    };
    spawn_local(Listener::new(Rc::new(handler), limits).serve(listener, stop))
}

#[cfg(test)]
mod tests;
