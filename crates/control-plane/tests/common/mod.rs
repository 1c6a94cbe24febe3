//! A simulated cluster of real control servers with a simulated network and disks, on paused time. Shared by the tests
//! that run several control servers.
#![allow(dead_code, reason = "no test program uses all helpers")]

pub(crate) mod balancers;
mod freezer;

use std::cell::{Cell, RefCell};
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

/// The number of voters in a cluster made by [`Cluster::new`].
pub(crate) const VOTERS: usize = 5;
/// The index of a control server without a disk, which is not started initially.
pub(crate) const DISKLESS: usize = 20;
const MAX_SERVERS: usize = DISKLESS + 1;
/// How long a server may take to answer a command.
pub(crate) const COMMAND_TIMEOUT: Duration = Duration::from_millis(950);
/// The interval at which a disk syncs what was written.
const SYNC_TIME: Duration = Duration::from_millis(2);
/// After this time without a message, a link checks whether its connection must be re-established.
const LINK_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long a caller waits between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(40);

/// Runs a test on a runtime with paused time, which advances at once when all tasks are waiting.
pub(crate) fn run_on_paused_time<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test)
}

/// Returns the settings of server `i`.
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
    Settings::parse(Path::new("boot.json"), text.as_bytes()).expect("valid settings")
}

/// Returns the delay of a message from one server to another.
type Delay = Box<dyn Fn(usize, usize) -> Duration>;

/// Control servers with their disks and the network between them.
pub(crate) struct Cluster {
    pub(crate) size: usize,
    first_id: NodeId,
    delay: Delay,
    servers: RefCell<Vec<Option<Rc<ControlServer>>>>,
    stored: RefCell<Vec<PersistentState>>,
    tasks: RefCell<Vec<Vec<AbortOnDrop>>>,
    freezers: RefCell<Vec<Freezer>>,
    /// Pairs `(from, to)` of servers between which messages are dropped.
    pub(crate) blocked_links: RefCell<BTreeSet<(usize, usize)>>,
    /// Incremented whenever a partition heals or a server starts, so that connections are re-established.
    pub(crate) connection_epoch: Cell<u64>,
}

/// A message in flight, or only a check of the connection if there is no message.
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
    /// Starts a cluster of the default size in one location.
    pub(crate) fn new() -> Rc<Self> {
        Self::with_delays(VOTERS, 1, Box::new(|_, _| Duration::from_millis(3)))
    }

    /// Starts a cluster of `size` voters with ids from `first_id` on and the given message delays.
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
            connection_epoch: Cell::new(0),
        });
        (0..size).for_each(|i| cluster.start(i));
        cluster
    }

    /// Starts a server from the state on its disk.
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

    /// Runs the disk of server `i`.
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

    /// Freezes or resumes a server's process. Messages that arrive while it is frozen wait.
    pub(crate) fn freeze(&self, i: usize, frozen: bool) {
        self.freezers.borrow()[i].freeze(frozen);
    }

    /// Disconnects a server from all others, or reconnects it.
    pub(crate) fn isolate(&self, i: usize, disconnect: bool) {
        self.split(&[i], disconnect);
    }

    /// Disconnects the given servers from the others, or reconnects them.
    pub(crate) fn split(&self, side: &[usize], disconnect: bool) {
        for other in (0..MAX_SERVERS).filter(|i| !side.contains(i)) {
            for pair in side.iter().flat_map(|i| [(*i, other), (other, *i)]) {
                if disconnect {
                    self.blocked_links.borrow_mut().insert(pair);
                } else {
                    self.blocked_links.borrow_mut().remove(&pair);
                }
            }
        }
        self.connection_epoch.set(self.connection_epoch.get() + 1);
    }

    /// Kills a server. Its disk keeps the synced state.
    pub(crate) fn kill(&self, i: usize) {
        self.servers.borrow_mut()[i] = None;
        self.tasks.borrow_mut()[i].clear();
    }

    /// Returns server `i` if it is up.
    pub(crate) fn server(&self, i: usize) -> Option<Rc<ControlServer>> {
        self.servers.borrow()[i].clone()
    }

    /// Carries the messages from one server to another.
    async fn send_over_link(self: Rc<Self>, from: usize, mut request: DialRequest) {
        let to = (0..MAX_SERVERS)
            .find(|i| settings(*i).internal_addr() == request.address)
            .expect("the address of a server");
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
        // The epoch in which the connection was established; none while it is down.
        let mut connected_epoch = None;
        while let Some(InFlight {
            arrives_at,
            message,
        }) = arrivals.recv().await
        {
            sleep_until(arrives_at).await;
            let freezer = self.freezers.borrow()[to].clone();
            freezer.wait_until_running().await;
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

    /// Sends an operator's command until there is a definite answer or `until` has passed. Returns whether the command
    /// was acknowledged, or `None` without a definite answer. While links are blocked, only servers in `side` are
    /// asked.
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
            sleep(RETRY_PAUSE).await;
        }
        None
    }

    fn position_of(&self, leader: Option<SocketAddr>, side: &[usize]) -> Option<usize> {
        side.iter()
            .position(|i| Some(settings(*i).internal_addr()) == leader)
    }

    /// Returns a server that believes it is the leader.
    pub(crate) fn leader(&self) -> Option<usize> {
        (0..self.size).find(|i| self.server(*i).is_some_and(|server| server.is_leader()))
    }
}

/// Returns a command that replaces the configuration by one with a single route, identified by its `target_ms`.
pub(crate) fn change(base: u64, revision: u64, target_ms: u64) -> Command {
    let body = format!(
        r#"{{"rev": {revision}, "services": [{{"name": "s"}}], "routes": [{{"name": "r", "host": "h",
            "path_prefix": "/a/", "type": "mutating", "deadline_ms": 100, "target_ms": {target_ms},
            "svc": "s", "tries": 2}}]}}"#
    );
    Command::Replace { base, body }
}
