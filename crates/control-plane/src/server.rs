//! One control process: its Raft node, the replicated state, the sessions of the data plane, the zones' upstreams, and
//! the other control processes.
//!
//! **State.** All state is in `state::State`, divided by owner; that module documents who may change what. The modules
//! next to it implement [`ControlServer`] by concern: `log_driver` (steps of the Raft node and their effects),
//! `contact` (quorum contact, reads, leadership), `commands` and `acknowledgement` (operators' commands), `membership`,
//! `peers`, `sessions`, `zones`, `keys`.
//!
//! **Threads.** Everything runs on a single thread. The state is in one [`RefCell`], which is never borrowed across an
//! `await` or a call of `ControlServer::notify_changed`. Tasks that wait for changes use
//! [`ControlServer::watch_changes`].
//!
//! **Guarantees.** A command's outcome is returned only after its entry is committed by a majority and applied here.
//! Replicated state is read and served only in quorum contact.
//!
//! **Failures.** The sessions of a peer that is silent for 3 s are dropped, and it has to reconnect. A peer that
//! restarts with a wiped disk has a new id and is treated as a new peer. Without a leader, commands end as
//! [`Indeterminate`].

mod acknowledgement;
mod clock;
mod commands;
mod contact;
mod keys;
mod log_driver;
mod membership;
mod peers;
mod sessions;
mod state;
mod zones;

use std::cell::RefCell;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc as std_mpsc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use data_plane::change_notifier::{ChangeNotifier, ChangeWatcher};
use protocol::settings::Settings;
use protocol::wire::{ControlNode, PeerMessage};
use raft::{Members, NodeId, RaftNode, Timing};
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

pub use self::acknowledgement::Acknowledgement;
pub use self::commands::CALLER_WAIT;
pub use self::contact::ConfirmedLeadership;
pub use self::keys::ShardedServices;
pub use self::membership::LogStatus;
pub use self::state::SessionId;
pub use self::zones::KnownUpstream;

use self::clock::Clock;
use self::state::{
    KeyLoadCounts, PeerRegistry, PendingCommands, QuorumContact, ReadRequests, ReplicatedLog,
    SessionRegistry, State, ZoneCommands, ZoneRegistry,
};
use crate::store::DiskRequest;

/// The interval between the Raft leader's heartbeats. They cross regions, where traffic is billed by the byte.
const HEARTBEAT_INTERVAL_MS: u64 = 200;
/// A member that receives nothing from a leader for a random time between this and twice this starts an election. It
/// allows for two lost or late heartbeats.
pub const ELECTION_TIMEOUT_MS: u64 = 600;
const TIMING: Timing = Timing {
    heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
    election_timeout_ms: ELECTION_TIMEOUT_MS,
};
/// The interval at which a process that is not a member of the log asks to join: it counts as lost until it is a
/// member.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// The longest time between two ticks of the Raft node.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The log is compacted when it has more entries than this.
pub(crate) const COMPACT_AFTER_ENTRIES: usize = 256;
/// The log is compacted when the commands applied since the last compaction have more bytes than this, because a few
/// large configurations could otherwise fill the disk before the log has [`COMPACT_AFTER_ENTRIES`] entries.
pub(crate) const COMPACT_AFTER_BYTES: usize = 2 << 20;
/// The interval at which control processes send each other [`PeerMessage::Heartbeat`], and all their sessions to peers
/// that missed changes. These heartbeats are independent of those of the Raft leader.
pub const SESSION_SYNC_INTERVAL: Duration = Duration::from_millis(1000);

/// A request to connect to a peer.
pub struct DialRequest {
    /// The address on which the peer listens for other control processes.
    pub address: SocketAddr,
    /// The messages to send to it, in order.
    pub messages: mpsc::Receiver<PeerMessage>,
    /// Notified when the peer has connected to this process.
    pub connected: Rc<Notify>,
}

/// Channels through which a [`ControlServer`] requests work from its host.
pub struct Channels {
    /// Writes for the disk, in order.
    pub disk: std_mpsc::Sender<DiskRequest>,
    /// Peers to connect to.
    pub dial: mpsc::UnboundedSender<DialRequest>,
    /// Errors after which this process can't continue.
    pub fatal_errors: mpsc::UnboundedSender<FatalError>,
}

/// Why a control process can't continue: its log contains something that this build can't read and must not skip.
#[derive(Debug, thiserror::Error)]
pub enum FatalError {
    /// The snapshot of the replicated state can't be read.
    #[error(transparent)]
    UnreadableSnapshot(#[from] crate::snapshot::SnapshotError),
    /// A committed entry can't be read; it may have been written by a later build.
    #[error("failed to decode log entry {index}: {source}")]
    UnreadableEntry {
        /// The entry's index.
        index: u64,
        /// The decoding error.
        source: ciborium::de::Error<std::io::Error>,
    },
}

/// What a [`ControlServer`] gets from its machine apart from settings, disk and network.
pub struct Environment {
    /// The token that precedes the first read token. It is random, so that a late answer to an earlier run of this
    /// process is not taken for an answer to this one.
    pub first_token: u64,
    /// Returns Unix time in milliseconds. It may jump forwards and backwards.
    pub wall_clock: Box<dyn Fn() -> u64>,
}

impl Environment {
    /// Returns the environment of the machine on which this process runs.
    pub fn of_machine() -> Self {
        let wall_clock = || {
            let unix = SystemTime::now().duration_since(UNIX_EPOCH);
            unix.unwrap_or_default().as_millis() as u64
        };
        let first_token = RandomState::new().build_hasher().finish();
        Self {
            first_token,
            wall_clock: Box::new(wall_clock),
        }
    }
}

/// One control process.
pub struct ControlServer {
    /// The settings, as read when the process started.
    pub settings: Settings,
    /// This process's id in the log.
    pub id: NodeId,
    /// How this process introduces itself to peers and balancers.
    pub control_node: ControlNode,
    clock: Clock,
    state: RefCell<State>,
    disk: std_mpsc::Sender<DiskRequest>,
    fatal_errors: mpsc::UnboundedSender<FatalError>,
    changes: ChangeNotifier,
}

/// Why the outcome of a command is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Indeterminate {
    /// This process does not lead. Contains the address at which the leader listens for peers, if known.
    NotLeader(Option<SocketAddr>),
    /// No majority answered in time. The command may or may not have been applied.
    NoMajority,
}

impl ControlServer {
    /// Creates a control process that continues from the state on its disk. It does nothing on its own: the host runs
    /// [`Self::run_clock`] and [`Self::run_disk_events`], and serves `channels`.
    pub fn new(
        settings: Settings,
        id: NodeId,
        stored: raft::PersistentState,
        channels: Channels,
        environment: Environment,
    ) -> Rc<Self> {
        let clock = Clock::new(environment.wall_clock);
        let mut node = RaftNode::new(id, TIMING, id, stored, Members::default());
        node.set_membership_policy(membership::policy(&settings));
        let control_node = ControlNode {
            internal_addr: settings.internal_addr(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            has_disk: settings.data_dir.is_some(),
        };
        let state = State {
            log: ReplicatedLog::new(node),
            pending_commands: PendingCommands::default(),
            reads: ReadRequests::new(environment.first_token),
            contact: QuorumContact::new(Instant::now()),
            peers: PeerRegistry::new(control_node.internal_addr, channels.dial),
            sessions: SessionRegistry::default(),
            zones: ZoneRegistry::default(),
            zone_commands: ZoneCommands::default(),
            key_load: KeyLoadCounts::default(),
        };
        let server = Rc::new(Self {
            settings,
            id,
            control_node,
            clock,
            state: RefCell::new(state),
            disk: channels.disk,
            fatal_errors: channels.fatal_errors,
            changes: ChangeNotifier::default(),
        });
        server.add_seeds(&server.settings.seeds);
        // Carries out what the Raft node requests on startup.
        server.with_raft_node(|_| {});
        server
    }

    /// Returns a watcher that is notified of every change that may affect the data plane, the directory or the status.
    pub fn watch_changes(&self) -> ChangeWatcher {
        self.changes.watch()
    }

    fn notify_changed(&self) {
        self.changes.notify();
    }

    /// Returns the milliseconds since this process started.
    pub fn uptime_ms(&self) -> u64 {
        self.clock.uptime_ms()
    }
}
