//! Real cells over a seeded network and disks that sync, on paused time: shared by the tests of the whole core.
#![allow(dead_code, reason = "no test program uses all of it")]

pub mod balancers;
mod freezer;

use std::cell::{Cell as Plain, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::mpsc as disk;
use std::time::Duration;

use control_plane::configuration::{Command, CommandOutcome};
use control_plane::server::{Channels, ControlServer, DialRequest, Environment, Indeterminate};
use control_plane::store::DiskRequest;
use data_plane::abort_on_drop::AbortOnDrop;
use freezer::Freezer;
use protocol::settings::Settings;
use protocol::wire::PeerMessage;
use raft::{Members, NodeId, PersistentState, Snapshot};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Cells of the core.
pub const SIZE: usize = 5;
/// A further control balancer, without a disk; not started at first.
pub const DISKLESS: usize = 20;
const MOST: usize = DISKLESS + 1;
/// How long a cell may take over an order.
pub const ORDER: Duration = Duration::from_millis(950);

pub fn settings(i: usize) -> Settings {
    let ip = format!("10.0.0.{}", i + 1);
    let disk = if i == DISKLESS {
        ""
    } else {
        r#", "data_dir": "/none""#
    };
    let text = format!(
        r#"{{"node": "n{i}", "ip": "{ip}", "zone": "a", "region": "r", "zone_map": {{"a": "r"}},
            "seeds": ["10.0.0.1:70"], "listen": {{"ctl": "{ip}:70"}},
            "port_range": [7000, 7010]{disk}}}"#
    );
    Settings::parse(Path::new("boot.json"), text.as_bytes()).expect("good")
}

/// How long a message takes from one cell to another.
type Delay = Box<dyn Fn(usize, usize) -> Duration>;

/// The core, its disks and what connects it.
pub struct Net {
    pub size: usize,
    first_id: NodeId,
    delay: Delay,
    cells: RefCell<Vec<Option<Rc<ControlServer>>>>,
    stored: RefCell<Vec<PersistentState>>,
    tasks: RefCell<Vec<Vec<AbortOnDrop>>>,
    freezers: RefCell<Vec<Freezer>>,
    /// Ordered pairs that do not reach each other.
    pub cut: RefCell<BTreeSet<(usize, usize)>>,
    /// Changes with every healed cut and restart: connections come up anew.
    pub round: Plain<u64>,
}

/// What is on its way, and when it arrives.
type Arrivals = mpsc::UnboundedReceiver<(Instant, Option<PeerMessage>)>;

fn spawn(task: impl Future<Output = ()> + 'static) -> AbortOnDrop {
    AbortOnDrop(spawn_local(task))
}

fn write(stored: &mut PersistentState, order: DiskRequest) {
    match order {
        DiskRequest::Persist(save) => stored.apply(save),
        DiskRequest::Compact(snapshot) => stored.compact(snapshot),
    }
}

impl Net {
    pub fn new() -> Rc<Self> {
        Self::of(SIZE, 1, Box::new(|_, _| Duration::from_millis(3)))
    }

    /// A core of so many cells, with ids from `first_id` on, and these ways between them.
    pub fn of(size: usize, first_id: NodeId, delay: Delay) -> Rc<Self> {
        let at = |i: usize| settings(i).internal_addr().to_string();
        let voters = (0..size).map(|i| (first_id + i as NodeId, at(i))).collect();
        let snapshot = Some(Snapshot::initial(Members {
            voters,
            ..Members::default()
        }));
        let stored = PersistentState {
            snapshot,
            ..PersistentState::default()
        };
        let net = Rc::new(Self {
            size,
            first_id,
            delay,
            cells: RefCell::new(vec![None; MOST]),
            stored: RefCell::new(vec![stored; size]),
            tasks: RefCell::new((0..MOST).map(|_| Vec::new()).collect()),
            freezers: RefCell::new((0..MOST).map(|_| Freezer::default()).collect()),
            cut: RefCell::default(),
            round: Plain::new(0),
        });
        (0..size).for_each(|i| net.start(i));
        net
    }

    /// Starts a cell on its disk.
    pub fn start(self: &Rc<Self>, i: usize) {
        let (to_disk, orders) = disk::channel();
        let (dial, mut requests) = mpsc::unbounded_channel::<DialRequest>();
        let (breaks, _) = mpsc::unbounded_channel();
        let stored = self.stored.borrow().get(i).cloned().unwrap_or_default();
        let channels = Channels {
            disk: to_disk,
            dial,
            fatal_errors: breaks,
        };
        let id = self.first_id + i as NodeId;
        let cell = ControlServer::new(settings(i), id, stored, channels, Environment::of_machine());
        self.cells.borrow_mut()[i] = Some(cell.clone());
        self.round.set(self.round.get() + 1);
        let (done, saved) = mpsc::unbounded_channel();
        let (net, calls) = (self.clone(), self.clone());
        let (freezer, running) = Freezer::new();
        freezer.spawn(cell.clone().run_disk_events(saved));
        freezer.spawn(cell.run_clock());
        freezer.spawn(async move {
            loop {
                for order in orders.try_iter() {
                    let seq = if let DiskRequest::Persist(save) = &order {
                        Some(save.sequence)
                    } else {
                        None
                    };
                    write(&mut net.stored.borrow_mut()[i], order);
                    if let Some(seq) = seq {
                        let _ = done.send(seq);
                    }
                }
                sleep(Duration::from_millis(2)).await;
            }
        });
        let dials = spawn(async move {
            let mut links = Vec::new();
            while let Some(request) = requests.recv().await {
                links.push(spawn(calls.clone().link(i, request)));
            }
        });
        self.freezers.borrow_mut()[i] = freezer;
        self.tasks.borrow_mut()[i] = vec![spawn(running), dials];
    }

    /// A cell's processes stand still, or go on; what arrives meanwhile waits.
    pub fn freeze(&self, i: usize, frozen: bool) {
        self.freezers.borrow()[i].freeze(frozen);
    }

    /// Cuts a cell off from all others, or joins it again.
    pub fn cut_off(&self, i: usize, cut: bool) {
        self.split(&[i], cut);
    }

    /// Cuts these cells off from the others, or joins them again.
    pub fn split(&self, side: &[usize], cut: bool) {
        for other in (0..MOST).filter(|i| !side.contains(i)) {
            for pair in side.iter().flat_map(|i| [(*i, other), (other, *i)]) {
                if cut {
                    self.cut.borrow_mut().insert(pair);
                } else {
                    self.cut.borrow_mut().remove(&pair);
                }
            }
        }
        self.round.set(self.round.get() + 1);
    }

    /// Ends a cell; its disk keeps what was synced.
    pub fn kill(&self, i: usize) {
        self.cells.borrow_mut()[i] = None;
        self.tasks.borrow_mut()[i].clear();
    }

    pub fn cell(&self, i: usize) -> Option<Rc<ControlServer>> {
        self.cells.borrow()[i].clone()
    }

    /// Carries what one cell says to another.
    async fn link(self: Rc<Self>, from: usize, mut request: DialRequest) {
        let to = (0..MOST)
            .find(|i| settings(*i).internal_addr() == request.address)
            .expect("one of them");
        let (sent, arrives) = mpsc::unbounded_channel();
        let _arrivals = spawn(self.clone().deliver(from, to, arrives));
        loop {
            let tell = timeout(Duration::from_millis(50), request.messages.recv()).await;
            let _ = sent.send((Instant::now() + (self.delay)(from, to), tell.ok().flatten()));
        }
    }

    async fn deliver(self: Rc<Self>, from: usize, to: usize, mut arrives: Arrivals) {
        let mut round = u64::MAX;
        while let Some((at, tell)) = arrives.recv().await {
            sleep_until(at).await;
            let freezer = self.freezers.borrow()[to].clone();
            freezer.running().await;
            let (Some(near), Some(far)) = (self.cell(from), self.cell(to)) else {
                continue;
            };
            if self.cut.borrow().contains(&(from, to)) {
                round = u64::MAX;
                continue;
            }
            if round != self.round.get() {
                round = self.round.get();
                far.on_peer_connected(near.id, near.control_node.clone());
                near.introduction_messages().into_iter().for_each(|tell| {
                    far.handle_peer_message(near.control_node.internal_addr, tell);
                });
            }
            if tell
                .is_some_and(|tell| !far.handle_peer_message(near.control_node.internal_addr, tell))
            {
                round = u64::MAX;
            }
        }
    }

    /// An operator's order, sent until there is a clear answer: whether it was acknowledged.
    pub async fn order(&self, side: &[usize], command: &Command, until: Instant) -> Option<bool> {
        let (mut at, all) = (0, (0..self.size).collect::<Vec<_>>());
        while Instant::now() < until {
            let side = if self.cut.borrow().is_empty() {
                &all
            } else {
                side
            };
            let asked = side[at % side.len()];
            at += 1;
            let answer = match self.cell(asked) {
                Some(cell) => cell.submit_command(command, ORDER).await,
                None => Err(Indeterminate::NoMajority),
            };
            match answer {
                Ok(CommandOutcome::Applied | CommandOutcome::AlreadyApplied) => return Some(true),
                Ok(CommandOutcome::RevisionMismatch { .. } | CommandOutcome::Invalid(_)) => {
                    return Some(false);
                }
                Ok(CommandOutcome::Conflict | CommandOutcome::Expired)
                | Err(Indeterminate::NoMajority) => {}
                Err(Indeterminate::NotLeader(leader)) => {
                    at = self.place(leader, side).unwrap_or(at)
                }
            }
            sleep(Duration::from_millis(40)).await;
        }
        None
    }

    fn place(&self, leader: Option<SocketAddr>, side: &[usize]) -> Option<usize> {
        side.iter()
            .position(|i| Some(settings(*i).internal_addr()) == leader)
    }

    /// Who believes that it leads.
    pub fn leader(&self) -> Option<usize> {
        (0..self.size).find(|i| self.cell(*i).is_some_and(|c| c.is_leader()))
    }
}

/// A configuration of one route, told apart by its target.
pub fn change(base: u64, rev: u64, target: u64) -> Command {
    let body = format!(
        r#"{{"rev": {rev}, "services": [{{"name": "s"}}], "routes": [{{"name": "r", "host": "h",
            "path_prefix": "/a/", "type": "mutating", "deadline_ms": 100, "target_ms": {target},
            "svc": "s", "tries": 2}}]}}"#
    );
    Command::Replace { base, body }
}
