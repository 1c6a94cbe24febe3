//! A simulated cluster: real control servers over a seeded network and disks that sync, on paused time. Shared by the
//! tests of several control processes.
#![allow(dead_code, reason = "no test program uses all of it")]

pub(crate) mod balancers;
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
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Voters of a cluster made by [`Cluster::new`].
pub(crate) const VOTERS: usize = 5;
/// A further control server, without a disk; not started at first.
pub(crate) const DISKLESS: usize = 20;
const MAX_SERVERS: usize = DISKLESS + 1;
/// How long a server may take over a command.
pub(crate) const COMMAND_TIMEOUT: Duration = Duration::from_millis(950);
/// How long a write takes to be synced.
const SYNC_TIME: Duration = Duration::from_millis(2);
/// A link without a message for so long looks whether the connection has to come up anew.
const LINK_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A caller pauses for so long between two tries.
const CALLER_PAUSE: Duration = Duration::from_millis(40);

/// Runs a test on a thread of its own time, which passes at once where everything waits.
pub(crate) fn run_on_paused_time<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test)
}

/// The settings of server `i`.
pub(crate) fn settings(i: usize) -> Settings {
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

/// How long a message takes from one server to another.
type Delay = Box<dyn Fn(usize, usize) -> Duration>;

/// The cluster, its disks and what connects it.
pub(crate) struct Cluster {
    pub(crate) size: usize,
    first_id: NodeId,
    delay: Delay,
    servers: RefCell<Vec<Option<Rc<ControlServer>>>>,
    stored: RefCell<Vec<PersistentState>>,
    tasks: RefCell<Vec<Vec<AbortOnDrop>>>,
    freezers: RefCell<Vec<Freezer>>,
    /// Ordered pairs that do not reach each other.
    pub(crate) blocked_links: RefCell<BTreeSet<(usize, usize)>>,
    /// Changes with every healed cut and restart: connections come up anew.
    pub(crate) connection_epoch: Plain<u64>,
}

/// A message on its way, or nothing but a look at the connection.
struct InFlight {
    arrives_at: Instant,
    message: Option<PeerMessage>,
}

fn spawn(task: impl Future<Output = ()> + 'static) -> AbortOnDrop {
    AbortOnDrop(spawn_local(task))
}

fn write(stored: &mut PersistentState, request: DiskRequest) {
    match request {
        DiskRequest::Persist(request) => stored.apply(request),
        DiskRequest::Compact(snapshot) => stored.compact(snapshot),
    }
}

impl Cluster {
    /// A cluster of the usual size in one place.
    pub(crate) fn new() -> Rc<Self> {
        Self::with_delays(VOTERS, 1, Box::new(|_, _| Duration::from_millis(3)))
    }

    /// A cluster of so many voters, with ids from `first_id` on, and these delays between them.
    pub(crate) fn with_delays(size: usize, first_id: NodeId, delay: Delay) -> Rc<Self> {
        let address = |i: usize| settings(i).internal_addr().to_string();
        let voters = (0..size)
            .map(|i| (first_id + i as NodeId, address(i)))
            .collect();
        let snapshot = Some(Snapshot::initial(Members {
            voters,
            ..Members::default()
        }));
        let stored = PersistentState {
            snapshot,
            ..PersistentState::default()
        };
        let cluster = Rc::new(Self {
            size,
            first_id,
            delay,
            servers: RefCell::new(vec![None; MAX_SERVERS]),
            stored: RefCell::new(vec![stored; size]),
            tasks: RefCell::new((0..MAX_SERVERS).map(|_| Vec::new()).collect()),
            freezers: RefCell::new((0..MAX_SERVERS).map(|_| Freezer::default()).collect()),
            blocked_links: RefCell::default(),
            connection_epoch: Plain::new(0),
        });
        (0..size).for_each(|i| cluster.start(i));
        cluster
    }

    /// Starts a server on its disk.
    pub(crate) fn start(self: &Rc<Self>, i: usize) {
        let (to_disk, disk_requests) = disk::channel();
        let (dial, mut dial_requests) = mpsc::unbounded_channel::<DialRequest>();
        let (fatal_errors, _) = mpsc::unbounded_channel();
        let stored = self.stored.borrow().get(i).cloned().unwrap_or_default();
        let channels = Channels {
            disk: to_disk,
            dial,
            fatal_errors,
        };
        let id = self.first_id + i as NodeId;
        let server =
            ControlServer::new(settings(i), id, stored, channels, Environment::of_machine());
        self.servers.borrow_mut()[i] = Some(server.clone());
        self.connection_epoch.set(self.connection_epoch.get() + 1);
        let (report_synced, synced) = mpsc::unbounded_channel();
        let (freezer, running) = Freezer::new();
        freezer.spawn(server.clone().run_disk_events(synced));
        freezer.spawn(server.run_clock());
        freezer.spawn(self.clone().run_disk(i, disk_requests, report_synced));
        let cluster = self.clone();
        let dials = spawn(async move {
            let mut links = Vec::new();
            while let Some(request) = dial_requests.recv().await {
                links.push(spawn(cluster.clone().send_over_link(i, request)));
            }
        });
        self.freezers.borrow_mut()[i] = freezer;
        self.tasks.borrow_mut()[i] = vec![spawn(running), dials];
    }

    /// The disk of server `i`.
    async fn run_disk(
        self: Rc<Self>,
        i: usize,
        requests: disk::Receiver<DiskRequest>,
        report_synced: mpsc::UnboundedSender<u64>,
    ) {
        loop {
            for request in requests.try_iter() {
                let sequence = match &request {
                    DiskRequest::Persist(request) => Some(request.sequence),
                    DiskRequest::Compact(_) => None,
                };
                write(&mut self.stored.borrow_mut()[i], request);
                if let Some(sequence) = sequence {
                    let _ = report_synced.send(sequence);
                }
            }
            sleep(SYNC_TIME).await;
        }
    }

    /// A server's process stands still, or goes on; what arrives meanwhile waits.
    pub(crate) fn freeze(&self, i: usize, frozen: bool) {
        self.freezers.borrow()[i].freeze(frozen);
    }

    /// Cuts a server off from all others, or joins it again.
    pub(crate) fn isolate(&self, i: usize, cut: bool) {
        self.split(&[i], cut);
    }

    /// Cuts these servers off from the others, or joins them again.
    pub(crate) fn split(&self, side: &[usize], cut: bool) {
        for other in (0..MAX_SERVERS).filter(|i| !side.contains(i)) {
            for pair in side.iter().flat_map(|i| [(*i, other), (other, *i)]) {
                if cut {
                    self.blocked_links.borrow_mut().insert(pair);
                } else {
                    self.blocked_links.borrow_mut().remove(&pair);
                }
            }
        }
        self.connection_epoch.set(self.connection_epoch.get() + 1);
    }

    /// Ends a server; its disk keeps what was synced.
    pub(crate) fn kill(&self, i: usize) {
        self.servers.borrow_mut()[i] = None;
        self.tasks.borrow_mut()[i].clear();
    }

    /// Server `i`, if it is up.
    pub(crate) fn server(&self, i: usize) -> Option<Rc<ControlServer>> {
        self.servers.borrow()[i].clone()
    }

    /// Carries what one server sends to another.
    async fn send_over_link(self: Rc<Self>, from: usize, mut request: DialRequest) {
        let to = (0..MAX_SERVERS)
            .find(|i| settings(*i).internal_addr() == request.address)
            .expect("one of them");
        let (sent, arrivals) = mpsc::unbounded_channel();
        let _deliveries = spawn(self.clone().deliver(from, to, arrivals));
        loop {
            let message = timeout(LINK_POLL_INTERVAL, request.messages.recv()).await;
            let _ = sent.send(InFlight {
                arrives_at: Instant::now() + (self.delay)(from, to),
                message: message.ok().flatten(),
            });
        }
    }

    async fn deliver(
        self: Rc<Self>,
        from: usize,
        to: usize,
        mut arrivals: mpsc::UnboundedReceiver<InFlight>,
    ) {
        // When the connection came up; none while it is down.
        let mut connected_epoch = None;
        while let Some(InFlight {
            arrives_at,
            message,
        }) = arrivals.recv().await
        {
            sleep_until(arrives_at).await;
            let freezer = self.freezers.borrow()[to].clone();
            freezer.running().await;
            let (Some(sender), Some(receiver)) = (self.server(from), self.server(to)) else {
                continue;
            };
            if self.blocked_links.borrow().contains(&(from, to)) {
                connected_epoch = None;
                continue;
            }
            let address = sender.control_node.internal_addr;
            if connected_epoch != Some(self.connection_epoch.get()) {
                connected_epoch = Some(self.connection_epoch.get());
                receiver.on_peer_connected(sender.id, sender.control_node.clone());
                for introduction in sender.introduction_messages() {
                    receiver.handle_peer_message(address, introduction);
                }
            }
            if message.is_some_and(|message| !receiver.handle_peer_message(address, message)) {
                connected_epoch = None;
            }
        }
    }

    /// Sends an operator's command until there is a definite answer: whether it was acknowledged.
    pub(crate) async fn submit(
        &self,
        side: &[usize],
        command: &Command,
        until: Instant,
    ) -> Option<bool> {
        let (mut next, all) = (0, (0..self.size).collect::<Vec<_>>());
        while Instant::now() < until {
            let side = if self.blocked_links.borrow().is_empty() {
                &all
            } else {
                side
            };
            let asked = side[next % side.len()];
            next += 1;
            let answer = match self.server(asked) {
                Some(server) => server.submit_command(command, COMMAND_TIMEOUT).await,
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
                    next = self.position_of(leader, side).unwrap_or(next);
                }
            }
            sleep(CALLER_PAUSE).await;
        }
        None
    }

    fn position_of(&self, leader: Option<SocketAddr>, side: &[usize]) -> Option<usize> {
        side.iter()
            .position(|i| Some(settings(*i).internal_addr()) == leader)
    }

    /// Who believes that it leads.
    pub(crate) fn leader(&self) -> Option<usize> {
        (0..self.size).find(|i| self.server(*i).is_some_and(|server| server.is_leader()))
    }
}

/// A configuration of one route, told apart by its target.
pub(crate) fn change(base: u64, revision: u64, target_ms: u64) -> Command {
    let body = format!(
        r#"{{"rev": {revision}, "services": [{{"name": "s"}}], "routes": [{{"name": "r", "host": "h",
            "path_prefix": "/a/", "type": "mutating", "deadline_ms": 100, "target_ms": {target_ms},
            "svc": "s", "tries": 2}}]}}"#
    );
    Command::Replace { base, body }
}
