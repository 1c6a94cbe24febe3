//! Real control servers with a simulated network and simulated disks, on tokio's paused clock.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::mpsc as disk;
use std::time::Duration;

use control_plane::connections::serve_connection;
use control_plane::server::{Channels, ControlServer, DialRequest, Environment};
use control_plane::store::DiskRequest;
use data_plane::abort_on_drop::AbortOnDrop;
use oorandom::Rand64;
use protocol::settings::Settings;
use raft::{Members, NodeId, PersistentState, Snapshot};
use simulation::disk::apply_request;
use tokio::io::DuplexStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::pause::{Pausable, PauseSwitch};

/// The delay of a message.
const MESSAGE_DELAY: Duration = Duration::from_millis(3);
/// The time between two transactions of a disk.
const DISK_INTERVAL: Duration = Duration::from_millis(2);
/// The interval at which an idle connection checks whether both machines are still up and connected.
const CONNECTION_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The Unix time at the beginning of a run.
const EPOCH_MS: u64 = 1_700_000_000_000;
/// The largest difference between a machine's wall clock and the actual time, in either direction.
const MAX_CLOCK_OFFSET_MS: u64 = 5000;
/// Members that join later have ids above this.
const FOUNDER_ID_LIMIT: u64 = 100;

fn settings(octet: u8, has_disk: bool) -> Settings {
    let ip = format!("10.0.0.{octet}");
    let disk = if has_disk {
        r#", "data_dir": "/none""#
    } else {
        ""
    };
    let text = format!(
        r#"{{"node": "n{octet}", "ip": "{ip}", "zone": "a", "region": "r",
            "zone_map": {{"a": "r", "b": "r"}}, "listen": {{"ctl": "{ip}:70"}},
            "port_range": [7000, 7010]{disk}}}"#
    );
    Settings::parse(Path::new("boot.json"), text.as_bytes()).expect("the settings are valid")
}

/// A slot of the deployment and the machine in it.
struct Machine {
    id: NodeId,
    /// The last octet of its address.
    octet: u8,
    /// A machine without a disk is not a member of the log, and its faults do not affect the core.
    has_disk: bool,
    /// `None` while the machine is down.
    server: Option<Rc<ControlServer>>,
    pause_switch: Rc<PauseSwitch>,
    persisted: PersistentState,
    disk_stalled_until: Instant,
    /// The offset of the wall clock in milliseconds: [`MAX_CLOCK_OFFSET_MS`] stands for no offset.
    clock_offset_ms: Rc<Cell<u64>>,
    /// Tasks of the process, which end with it.
    tasks: Vec<AbortOnDrop>,
}

impl Machine {
    fn address(&self) -> SocketAddr {
        settings(self.octet, self.has_disk).internal_addr()
    }
}

/// All control machines and the network between them.
pub(crate) struct Deployment {
    machines: RefCell<Vec<Machine>>,
    /// Pairs of machines of which the first does not reach the second.
    partitioned: RefCell<BTreeSet<(usize, usize)>>,
    /// Incremented when a partition is healed and when a process starts: all connections are established again.
    connection_generation: Cell<u64>,
    last_id: Cell<u64>,
    began: Instant,
    /// When a fault of the core last began or ended.
    last_disturbance: Cell<Instant>,
    rng: RefCell<Rand64>,
}

fn spawn(task: impl Future<Output = ()> + 'static) -> AbortOnDrop {
    AbortOnDrop(spawn_local(task))
}

impl Deployment {
    /// Starts `core` machines with a disk and `diskless` machines without one.
    pub(crate) fn new(seed: u64, core: usize, diskless: usize) -> Rc<Self> {
        let size = core + diskless;
        let address = |i: usize| settings(i as u8 + 1, true).internal_addr().to_string();
        let voters: BTreeMap<u64, String> = (0..core).map(|i| (i as u64 + 1, address(i))).collect();
        let snapshot = Some(Snapshot::initial(Members {
            voters,
            ..Members::default()
        }));
        let machine = |i: usize| Machine {
            id: i as u64 + 1,
            octet: i as u8 + 1,
            has_disk: i < core,
            server: None,
            pause_switch: Rc::default(),
            persisted: PersistentState {
                snapshot: snapshot.clone().filter(|_| i < core),
                ..PersistentState::default()
            },
            disk_stalled_until: Instant::now(),
            clock_offset_ms: Rc::new(Cell::new(MAX_CLOCK_OFFSET_MS)),
            tasks: Vec::new(),
        };
        let deployment = Rc::new(Self {
            machines: RefCell::new((0..size).map(machine).collect()),
            partitioned: RefCell::default(),
            connection_generation: Cell::new(0),
            last_id: Cell::new(FOUNDER_ID_LIMIT),
            began: Instant::now(),
            last_disturbance: Cell::new(Instant::now()),
            rng: RefCell::new(Rand64::new(u128::from(seed) ^ 0xce11)),
        });
        (0..size).for_each(|i| deployment.start(i));
        deployment
    }

    /// Returns the number of machines.
    pub(crate) fn size(&self) -> usize {
        self.machines.borrow().len()
    }

    /// Returns a random number below `n`, drawn from the seed.
    pub(crate) fn random_below(&self, n: u64) -> u64 {
        self.rng.borrow_mut().rand_range(0..n)
    }

    /// Returns when a fault of the core last began or ended.
    pub(crate) fn last_disturbance(&self) -> Instant {
        self.last_disturbance.get()
    }

    /// Records that a fault of the core begins or ends.
    pub(crate) fn disturb(&self) {
        self.last_disturbance.set(Instant::now());
    }

    /// Records that a fault of a machine begins or ends, if the machine belongs to the core.
    fn disturb_by(&self, i: usize) {
        if self.machines.borrow()[i].has_disk {
            self.disturb();
        }
    }

    /// Returns the server of a machine, or `None` while the machine is down.
    pub(crate) fn server(&self, i: usize) -> Option<Rc<ControlServer>> {
        self.machines.borrow()[i].server.clone()
    }

    /// Returns whether a machine is paused.
    pub(crate) fn is_paused(&self, i: usize) -> bool {
        self.machines.borrow()[i].pause_switch.is_paused()
    }

    /// Returns the addresses of all machines.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.machines
            .borrow()
            .iter()
            .map(Machine::address)
            .collect()
    }

    /// Returns the machine at an address.
    pub(crate) fn machine_at(&self, address: SocketAddr) -> Option<usize> {
        let machines = self.machines.borrow();
        machines.iter().position(|m| m.address() == address)
    }

    /// Runs a task on a machine. The task is paused while the machine is.
    pub(crate) fn run_on<F: Future>(&self, i: usize, task: F) -> Pausable<F> {
        Pausable::new(self.machines.borrow()[i].pause_switch.clone(), task)
    }

    // ------------------------------------------------------------- processes

    /// Starts a machine's process from the state on its disk.
    pub(crate) fn start(self: &Rc<Self>, i: usize) {
        self.disturb_by(i);
        let (to_disk, disk_requests) = disk::channel();
        let (dial, dial_requests) = mpsc::unbounded_channel();
        let (fatal_errors, _) = mpsc::unbounded_channel();
        let channels = Channels {
            disk: to_disk,
            dial,
            fatal_errors,
        };
        let (id, settings, persisted) = {
            let m = &self.machines.borrow()[i];
            (m.id, settings(m.octet, m.has_disk), m.persisted.clone())
        };
        let environment = self.environment(i);
        let server = ControlServer::new(settings, id, persisted, channels, environment);
        server.add_seeds(&self.addresses());
        self.reconnect();
        let (to_server, disk_events) = mpsc::unbounded_channel();
        let tasks = vec![
            spawn(self.run_on(i, server.clone().run_disk_events(disk_events))),
            spawn(self.run_on(i, server.clone().run_clock())),
            spawn(self.run_on(i, self.clone().run_disk(i, disk_requests, to_server))),
            spawn(self.clone().run_dialler(i, dial_requests)),
        ];
        let m = &mut self.machines.borrow_mut()[i];
        (m.server, m.tasks) = (Some(server), tasks);
    }

    /// Returns the environment of a machine: a token drawn from the seed, and a wall clock that follows the paused
    /// clock with the offset of the machine.
    fn environment(&self, i: usize) -> Environment {
        let (first_token, began) = (self.rng.borrow_mut().rand_u64(), self.began);
        let offset_ms = self.machines.borrow()[i].clock_offset_ms.clone();
        let wall_clock = move || EPOCH_MS + began.elapsed().as_millis() as u64 + offset_ms.get();
        Environment {
            first_token,
            wall_clock: Box::new(wall_clock),
        }
    }

    /// Runs the disk of a machine: applies the requests and reports them to the server as synced.
    async fn run_disk(
        self: Rc<Self>,
        i: usize,
        requests: disk::Receiver<DiskRequest>,
        events: mpsc::UnboundedSender<u64>,
    ) {
        loop {
            let stalled_until = self.machines.borrow()[i].disk_stalled_until;
            sleep_until(stalled_until).await;
            for request in requests.try_iter() {
                let sequence = match &request {
                    DiskRequest::Persist(persist) => Some(persist.sequence),
                    DiskRequest::Compact(_) => None,
                };
                apply_request(&mut self.machines.borrow_mut()[i].persisted, request);
                if let Some(sequence) = sequence {
                    // Nobody receives this if the server has ended.
                    let _ = events.send(sequence);
                }
            }
            sleep(DISK_INTERVAL).await;
        }
    }

    /// Opens the connections to other servers that a machine's server asks for. They end with its process.
    async fn run_dialler(
        self: Rc<Self>,
        i: usize,
        mut requests: mpsc::UnboundedReceiver<DialRequest>,
    ) {
        let mut connections = Vec::new();
        while let Some(request) = requests.recv().await {
            connections.push(spawn(self.clone().run_connection(i, request)));
        }
    }

    // ------------------------------------------------------------- faults

    /// Ends a process. Its disk is kept.
    pub(crate) fn kill(&self, i: usize) {
        self.disturb_by(i);
        let m = &mut self.machines.borrow_mut()[i];
        m.server = None;
        m.tasks.clear();
        m.pause_switch.resume();
    }

    /// Ends a process and erases its disk. The next process of the slot is a new member, at the same address or a new
    /// one.
    pub(crate) fn lose_disk(&self, i: usize, has_new_address: bool) {
        self.kill(i);
        self.last_id.set(self.last_id.get() + 1);
        let m = &mut self.machines.borrow_mut()[i];
        m.id = self.last_id.get();
        m.persisted = PersistentState::default();
        if has_new_address {
            m.octet = self.last_id.get() as u8;
        }
    }

    /// Pauses a machine.
    pub(crate) fn pause(&self, i: usize) {
        self.disturb_by(i);
        self.machines.borrow()[i].pause_switch.pause();
    }

    /// Resumes a paused machine.
    pub(crate) fn resume(&self, i: usize) {
        self.disturb_by(i);
        let switch = self.machines.borrow()[i].pause_switch.clone();
        switch.resume();
    }

    /// Stalls the disk of a machine for a while. This does not count as a fault of the core.
    pub(crate) fn stall_disk(&self, i: usize, duration: Duration) {
        self.machines.borrow_mut()[i].disk_stalled_until = Instant::now() + duration;
    }

    /// Sets the wall clock of a machine to a random offset in either direction.
    pub(crate) fn step_clock(&self, i: usize) {
        self.disturb_by(i);
        let offset_ms = self.random_below(2 * MAX_CLOCK_OFFSET_MS);
        self.machines.borrow()[i].clock_offset_ms.set(offset_ms);
    }

    /// Blocks messages from one machine to another, but not in the opposite direction.
    pub(crate) fn partition_one_way(&self, from: usize, to: usize) {
        self.partitioned.borrow_mut().insert((from, to));
    }

    /// Ends all network partitions.
    pub(crate) fn heal(&self) {
        self.disturb();
        self.partitioned.borrow_mut().clear();
        self.reconnect();
    }

    // ------------------------------------------------------------- connections

    /// Accepts the connection of a data-plane balancer to a machine.
    pub(crate) fn accept(&self, to: usize, stream: DuplexStream) -> io::Result<()> {
        let server = self.server(to).ok_or(io::ErrorKind::ConnectionRefused)?;
        let session = spawn(self.run_on(to, async move {
            // The balancer notices the end of the connection, whatever its cause.
            let _ = serve_connection(server, stream).await;
        }));
        let tasks = &mut self.machines.borrow_mut()[to].tasks;
        tasks.retain(|task| !task.0.is_finished());
        tasks.push(session);
        Ok(())
    }

    /// Makes all servers establish their connections again.
    fn reconnect(&self) {
        self.connection_generation
            .set(self.connection_generation.get() + 1);
    }

    /// Delivers the messages of one server to another.
    async fn run_connection(self: Rc<Self>, from: usize, mut request: DialRequest) {
        // The connection generation in which the servers introduced themselves, if they have.
        let mut introduced = None;
        loop {
            let message = timeout(CONNECTION_CHECK_INTERVAL, request.messages.recv()).await;
            let Some(to) = self.machine_at(request.address) else {
                continue;
            };
            let (Some(sender), Some(receiver)) = (self.server(from), self.server(to)) else {
                continue;
            };
            if self.partitioned.borrow().contains(&(from, to)) {
                introduced = None;
                continue;
            }
            sleep(MESSAGE_DELAY).await;
            if self.is_paused(from) {
                continue;
            }
            let sender_address = sender.control_node.internal_addr;
            if introduced != Some(self.connection_generation.get()) {
                introduced = Some(self.connection_generation.get());
                self.run_on(to, async {
                    receiver.on_peer_connected(sender.id, sender.control_node.clone());
                    for message in sender.introduction_messages() {
                        receiver.handle_peer_message(sender_address, message);
                    }
                })
                .await;
            }
            if let Ok(Some(message)) = message {
                let handled = async { receiver.handle_peer_message(sender_address, message) };
                if !self.run_on(to, handled).await {
                    // The sender was silent for too long and has to introduce itself again.
                    introduced = None;
                }
            }
        }
    }
}
