//! What one control balancer knows: its member of the log, the agreed state, sessions, the zones' upstreams,
//! and the other control balancers. Everything runs on one thread; whoever waits for news waits on
//! [`ControlServer::watch_changes`].

mod contact;
mod keys;
mod log;
mod membership;
mod orders;
mod peers;
mod sessions;
mod zones;

use std::cell::{Cell as Plain, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::mpsc as disk;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use data_plane::change_notifier::{ChangeNotifier, ChangeWatcher};
use protocol::compact_config::CompactConfig;
use protocol::settings::Settings;
use protocol::upstream_list::UpstreamList;
use protocol::wire::{ControlNode, PeerMessage, Session};
use raft::{Members, NodeId, RaftNode, Timing};
use rustc_hash::FxHashMap;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::Instant;

pub use self::membership::LogStatus;
pub use self::orders::{Acknowledgement, CALLER_WAIT};

use self::contact::Reader;
use self::peers::Peer;
use crate::configuration::{CommandOutcome, ReplicatedState};
use crate::evacuations::CommandId;
use crate::store::DiskRequest;

/// A leader says something this often. Heartbeats cross regions, and their bytes are paid for.
const HEARTBEAT_INTERVAL_MS: u64 = 200;
/// Without a leader's word for so long, up to twice as long, a member campaigns: two heartbeats may be
/// lost or late first.
pub const ELECTION_TIMEOUT_MS: u64 = 600;
const TIMING: Timing = Timing {
    heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
    election_timeout_ms: ELECTION_TIMEOUT_MS,
};
/// A process that has no place in the log asks for one this often: it counts as lost until it has one.
const JOIN_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// The log's clock.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The log is cut after so many entries, or bytes of orders in them: large configurations must not fill the
/// disk before there are many.
pub(crate) const COMPACT_AFTER_ENTRIES: usize = 256;
pub(crate) const COMPACT_AFTER_BYTES: usize = 2 << 20;
/// Control balancers tell each other their sessions this often, changed or not.
pub const SESSION_SYNC_INTERVAL: Duration = Duration::from_millis(1000);

/// A peer to be dialled.
pub struct DialRequest {
    pub address: SocketAddr,
    /// What it is to be told.
    pub messages: mpsc::Receiver<PeerMessage>,
    /// Wakes when it has connected itself.
    pub connected: Rc<Notify>,
}

/// Where a cell sends what it wants done.
pub struct Channels {
    pub disk: disk::Sender<DiskRequest>,
    /// Peers to be dialled.
    pub dial: mpsc::UnboundedSender<DialRequest>,
    /// Why this member can't go on.
    pub fatal_errors: mpsc::UnboundedSender<String>,
}

/// What a cell takes from its machine besides settings, disk and network.
pub struct Environment {
    /// Begins anywhere: an answer to an earlier life of this process must not pass for one to this.
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

struct Inner {
    core: RaftNode,
    agreed: ReplicatedState,
    /// The configuration as balancers are told it, and the place in the log that it is of.
    compact: Option<(u64, Arc<CompactConfig>)>,
    applied: u64,
    /// Bytes of the orders that the log holds.
    logged: usize,
    /// Orders under way, by their place in the log, with the term they were written in.
    orders: BTreeMap<u64, (u64, oneshot::Sender<CommandOutcome>)>,
    reads: FxHashMap<u64, Reader>,
    /// The moment of this process's life up to which a read has proven that all that was acknowledged is
    /// applied here, and whether that was lately enough when it was looked at last.
    proven: Option<u64>,
    contact: bool,
    peers: BTreeMap<SocketAddr, Peer>,
    ids: FxHashMap<NodeId, SocketAddr>,
    /// Who led when it was last written down.
    led: Option<NodeId>,
    local: BTreeMap<String, (u64, Session)>,
    /// Nodes whose sessions here are other than was told last.
    moved: BTreeSet<String>,
    /// All sessions that stand anywhere, by node; gone when they may be other.
    roll: Option<Rc<Vec<Session>>>,
    /// What was told of who serves control.
    controls: Vec<ControlNode>,
    zones: BTreeMap<String, UpstreamList>,
    /// When each order of zones was last taken or acknowledged here.
    order_times: FxHashMap<CommandId, Instant>,
    /// Acknowledgements that this one tried.
    attempts: u64,
    /// Those under way, or written and not known yet to be read or lost, by zone.
    settling: BTreeMap<String, usize>,
    /// The last step of each zone's orders that this one put into the log: its term and place.
    zone_steps: FxHashMap<String, (u64, u64)>,
    /// What balancers counted of requests for keys, on its way to the leader.
    work: BTreeMap<String, BTreeMap<u16, u16>>,
}

/// One control balancer.
pub struct ControlServer {
    pub settings: Settings,
    pub id: NodeId,
    pub control_node: ControlNode,
    start: Instant,
    inner: RefCell<Inner>,
    channels: Channels,
    wall_clock: Box<dyn Fn() -> u64>,
    version: ChangeNotifier,
    next_session: Plain<u64>,
    next_token: Plain<u64>,
    /// It has begun to lead, and says so at once.
    announces: Plain<bool>,
    /// When the leader was asked for contact last.
    contact_asked: Plain<Instant>,
}

/// Why an order got no verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Indeterminate {
    /// Somebody else leads.
    NotLeader(Option<SocketAddr>),
    /// No majority answered in time; it may be taken or not.
    NoMajority,
}

impl ControlServer {
    pub fn new(
        settings: Settings,
        id: NodeId,
        stored: raft::PersistentState,
        channels: Channels,
        environment: Environment,
    ) -> Rc<Self> {
        let mut core = RaftNode::new(id, TIMING, id, stored, Members::default());
        core.set_membership_policy(membership::policy(&settings));
        let me = ControlNode {
            internal_addr: settings.internal_addr(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            has_disk: settings.data_dir.is_some(),
        };
        let cell = Rc::new(Self {
            id,
            control_node: me,
            start: Instant::now(),
            inner: RefCell::new(Inner {
                core,
                agreed: ReplicatedState::default(),
                compact: None,
                applied: 0,
                logged: 0,
                orders: BTreeMap::new(),
                reads: FxHashMap::default(),
                proven: None,
                contact: false,
                peers: BTreeMap::new(),
                ids: FxHashMap::default(),
                led: None,
                local: BTreeMap::new(),
                moved: BTreeSet::new(),
                roll: None,
                controls: Vec::new(),
                zones: BTreeMap::new(),
                order_times: FxHashMap::default(),
                attempts: 0,
                settling: BTreeMap::new(),
                zone_steps: FxHashMap::default(),
                work: BTreeMap::new(),
            }),
            channels,
            wall_clock: environment.wall_clock,
            version: ChangeNotifier::default(),
            next_session: Plain::new(0),
            next_token: Plain::new(environment.first_token),
            announces: Plain::new(false),
            contact_asked: Plain::new(Instant::now()),
            settings,
        });
        cell.add_seeds(&cell.settings.seeds);
        cell.with_core(|_| {});
        cell
    }

    /// Other machines that serve control, as the settings file names them by now.
    pub fn add_seeds(&self, seeds: &[SocketAddr]) {
        for seed in seeds {
            self.add_peer(self.settings.internal_addr_of(*seed), None);
        }
    }

    /// Wakes with every change of what the data plane or the directory may want to know.
    pub fn watch_changes(&self) -> ChangeWatcher {
        self.version.watch()
    }

    fn notify_changed(&self) {
        self.version.notify();
    }
}
