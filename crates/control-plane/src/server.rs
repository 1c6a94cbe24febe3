//! One control process: its member of the log, the replicated state, the sessions of the data plane, the zones'
//! upstreams, and the other control processes.
//!
//! **State.** All of it is in `state::State`, divided by owner; that module says who may change what. The modules
//! beside it hold what [`ControlServer`] does by concern: `log_driver` (steps of the log, and what follows from them),
//! `contact` (quorum contact, reads, who leads), `commands` and `acknowledgement` (operators' commands), `membership`,
//! `peers`, `sessions`, `zones`, `keys`.
//!
//! **Threads.** Everything runs on one thread. The state is behind one [`RefCell`]: a borrow never lasts across an
//! `await`, nor across `ControlServer::notify_changed`. Whoever waits for changes waits on
//! [`ControlServer::watch_changes`].
//!
//! **Promises.** A command's outcome is returned only after its entry is committed by a majority and applied here. What is
//! agreed on is read and handed out only in quorum contact.
//!
//! **Neighbours.** A peer that is silent for 3 s loses its sessions here and has to introduce itself again; a peer that
//! comes back wiped has another id and is met as a new one. Without a leader, commands end as [`Indeterminate`].

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
use std::sync::mpsc as disk;
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

/// A leader sends heartbeats this often. They cross regions, and their bytes are paid for.
const HEARTBEAT_INTERVAL_MS: u64 = 200;
/// A member that hears nothing of a leader for so long, up to twice as long, campaigns: two heartbeats may be lost or
/// late first.
pub const ELECTION_TIMEOUT_MS: u64 = 600;
const TIMING: Timing = Timing {
    heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
    election_timeout_ms: ELECTION_TIMEOUT_MS,
};
/// A process that is no member of the log asks to become one this often: it counts as lost until it is.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// The longest time between two ticks of the log.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The log is compacted after so many entries.
pub(crate) const COMPACT_AFTER_ENTRIES: usize = 256;
/// The log is compacted after so many bytes of commands: large configurations must not fill the disk before there are
/// many entries.
pub(crate) const COMPACT_AFTER_BYTES: usize = 2 << 20;
/// Control processes send each other heartbeats this often, and all sessions to those that missed changes.
pub const SESSION_SYNC_INTERVAL: Duration = Duration::from_millis(1000);

/// A peer to be dialled.
pub struct DialRequest {
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// What it is to be sent, in order.
    pub messages: mpsc::Receiver<PeerMessage>,
    /// Wakes when the peer has connected to this process itself.
    pub connected: Rc<Notify>,
}

/// Where a [`ControlServer`] sends what it wants done.
pub struct Channels {
    /// What the disk is to write, in order.
    pub disk: disk::Sender<DiskRequest>,
    /// Peers to be dialled.
    pub dial: mpsc::UnboundedSender<DialRequest>,
    /// Why this process can't go on.
    pub fatal_errors: mpsc::UnboundedSender<FatalError>,
}

/// Why a control process can't go on: its log holds what this build can't read, and must not pass over.
#[derive(Debug, thiserror::Error)]
pub enum FatalError {
    /// A snapshot of the replicated state.
    #[error(transparent)]
    UnreadableSnapshot(#[from] crate::snapshot::SnapshotError),
    /// A committed entry, maybe of a later build.
    #[error("entry {index} can't be read: {source}")]
    UnreadableEntry {
        /// Its index.
        index: u64,
        /// What is wrong with it.
        source: ciborium::de::Error<std::io::Error>,
    },
}

/// What a [`ControlServer`] takes from its machine besides settings, disk and network.
pub struct Environment {
    /// Where tokens of reads begin: drawn at random, because an answer to an earlier life of this process must not pass
    /// for one to this.
    pub first_token: u64,
    /// Milliseconds of Unix time. It may step either way.
    pub wall_clock: Box<dyn Fn() -> u64>,
}

impl Environment {
    /// That of the machine on which this process runs.
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
    /// As read when the process began.
    pub settings: Settings,
    /// Its name in the log.
    pub id: NodeId,
    /// How it introduces itself to peers and balancers.
    pub control_node: ControlNode,
    clock: Clock,
    state: RefCell<State>,
    disk: disk::Sender<DiskRequest>,
    fatal_errors: mpsc::UnboundedSender<FatalError>,
    changes: ChangeNotifier,
}

/// Why a command has no outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Indeterminate {
    /// Another process leads; its address for peers, where known.
    NotLeader(Option<SocketAddr>),
    /// No majority answered in time: the command may be applied or not.
    NoMajority,
}

impl ControlServer {
    /// A control process that goes on from what its disk holds. Nothing happens by itself: its host runs
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
        // Carries out what the member of the log wants from its start.
        server.with_raft_node(|_| {});
        server
    }

    /// Wakes with every change that the data plane, the directory or the status may show.
    pub fn watch_changes(&self) -> ChangeWatcher {
        self.changes.watch()
    }

    fn notify_changed(&self) {
        self.changes.notify();
    }

    /// Milliseconds since this process began.
    pub fn uptime_ms(&self) -> u64 {
        self.clock.uptime_ms()
    }
}
