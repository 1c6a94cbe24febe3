//! What one control balancer knows: its member of the log, the agreed state, sessions, the zones' upstreams,
//! and the other control balancers. Everything runs on one thread; whoever waits for news waits on
//! [`Cell::changes`].

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

use data_plane::changes::{Changes, Watcher};
use protocol::compact::CompactConfig;
use protocol::settings::Settings;
use protocol::wire::{Control, Session, Tell};
use protocol::zones::ZoneList;
use raft::{Core, Members, NodeId, Timing};
use rustc_hash::FxHashMap;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::Instant;

pub use self::membership::LogStatus;
pub use self::orders::{Acknowledgement, LISTENS};

use self::contact::Reader;
use self::peers::Peer;
use crate::configuration::{Agreed, Verdict};
use crate::evacuations::OrderId;
use crate::store::Order;

/// A leader says something this often. Heartbeats cross regions, and their bytes are paid for.
const HEARTBEAT: u64 = 200;
/// Without a leader's word for so long, up to twice as long, a member campaigns: two heartbeats may be
/// lost or late first.
pub const ELECTION: u64 = 600;
const TIMING: Timing = Timing { heartbeat: HEARTBEAT, election: ELECTION };
/// A process that has no place in the log asks for one this often: it counts as lost until it has one.
const JOIN: Duration = Duration::from_millis(250);
/// The log's clock.
const TICK: Duration = Duration::from_millis(50);
/// The log is cut after so many entries, or bytes of orders in them: large configurations must not fill the
/// disk before there are many.
pub(crate) const COMPACT: usize = 256;
pub(crate) const COMPACT_BYTES: usize = 2 << 20;
/// Control balancers tell each other their sessions this often, changed or not.
pub const TELL: Duration = Duration::from_millis(1000);

/// A peer to be dialled.
pub struct DialRequest {
    pub at: SocketAddr,
    /// What it is to be told.
    pub queue: mpsc::Receiver<Tell>,
    /// Wakes when it has connected itself.
    pub connected: Rc<Notify>,
}

/// Where a cell sends what it wants done.
pub struct Channels {
    pub disk: disk::Sender<Order>,
    /// Peers to be dialled.
    pub dial: mpsc::UnboundedSender<DialRequest>,
    /// Why this member can't go on.
    pub breaks: mpsc::UnboundedSender<String>,
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
        Self { first_token, wall_clock: Box::new(wall_clock) }
    }
}

struct Inner {
    core: Core,
    agreed: Agreed,
    /// The configuration as balancers are told it, and the place in the log that it is of.
    compact: Option<(u64, Arc<CompactConfig>)>,
    applied: u64,
    /// Bytes of the orders that the log holds.
    logged: usize,
    /// Orders under way, by their place in the log, with the term they were written in.
    orders: BTreeMap<u64, (u64, oneshot::Sender<Verdict>)>,
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
    controls: Vec<Control>,
    zones: BTreeMap<String, ZoneList>,
    /// When each order of zones was last taken or acknowledged here.
    order_times: FxHashMap<OrderId, Instant>,
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
pub struct Cell {
    pub settings: Settings,
    pub id: NodeId,
    pub me: Control,
    start: Instant,
    inner: RefCell<Inner>,
    channels: Channels,
    wall_clock: Box<dyn Fn() -> u64>,
    version: Changes,
    next_session: Plain<u64>,
    next_token: Plain<u64>,
    /// It has begun to lead, and says so at once.
    announces: Plain<bool>,
    /// When the leader was asked for contact last.
    contact_asked: Plain<Instant>,
}

/// Why an order got no verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unclear {
    /// Somebody else leads.
    NotLeader(Option<SocketAddr>),
    /// No majority answered in time; it may be taken or not.
    NoMajority,
}

impl Cell {
    pub fn new(
        settings: Settings,
        id: NodeId,
        stored: raft::Stored,
        channels: Channels,
        environment: Environment,
    ) -> Rc<Self> {
        let mut core = Core::new(id, TIMING, id, stored, Members::default());
        core.set_membership_policy(membership::policy(&settings));
        let me = Control {
            inner: settings.inner(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            disk: settings.data_dir.is_some(),
        };
        let cell = Rc::new(Self {
            id,
            me,
            start: Instant::now(),
            inner: RefCell::new(Inner {
                core,
                agreed: Agreed::default(),
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
            version: Changes::default(),
            next_session: Plain::new(0),
            next_token: Plain::new(environment.first_token),
            announces: Plain::new(false),
            contact_asked: Plain::new(Instant::now()),
            settings,
        });
        cell.seeds(&cell.settings.seeds);
        cell.with_core(|_| {});
        cell
    }

    /// Other machines that serve control, as the settings file names them by now.
    pub fn seeds(&self, seeds: &[SocketAddr]) {
        for seed in seeds {
            self.meet(self.settings.inner_of(*seed), None);
        }
    }

    /// Wakes with every change of what the data plane or the directory may want to know.
    pub fn changes(&self) -> Watcher {
        self.version.watch()
    }

    fn changed(&self) {
        self.version.note();
    }
}
