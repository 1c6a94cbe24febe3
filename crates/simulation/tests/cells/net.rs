//! Real cells over a seeded network and disks, on paused time.

use std::cell::{Cell as Plain, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::mpsc as disk;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use control_plane::connections::serve_connection;
use control_plane::server::{Channels, ControlServer, DialRequest, Environment};
use control_plane::store::DiskRequest;
use data_plane::abort_on_drop::AbortOnDrop;
use oorandom::Rand64;
use protocol::settings::Settings;
use raft::{Members, NodeId, PersistentState, Snapshot};
use tokio::io::DuplexStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

/// What a message takes on its way.
const DELAY: Duration = Duration::from_millis(3);
/// Unix time at the beginning, in milliseconds.
const EPOCH: u64 = 1_700_000_000_000;
/// A machine's time of day is off by so many milliseconds at the most.
const MOST_CLOCK_OFF: u64 = 5000;

pub fn settings(octet: u8, has_disk: bool) -> Settings {
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
    Settings::parse(Path::new("boot.json"), text.as_bytes()).expect("good")
}

/// Whether a machine stands still; whoever runs on it waits here.
#[derive(Default)]
pub struct Frozen {
    frozen: Plain<bool>,
    wakers: RefCell<Vec<Waker>>,
}

impl Frozen {
    pub fn set(&self, frozen: bool) {
        self.frozen.set(frozen);
        if !frozen {
            self.wakers.take().into_iter().for_each(Waker::wake);
        }
    }
}

/// A task of a machine: it goes on only while the machine does.
pub struct On<F> {
    machine: Rc<Frozen>,
    task: Pin<Box<F>>,
}

impl<F: Future> Future for On<F> {
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context) -> Poll<F::Output> {
        if self.machine.frozen.get() {
            self.machine
                .wakers
                .borrow_mut()
                .push(context.waker().clone());
            return Poll::Pending;
        }
        self.task.as_mut().poll(context)
    }
}

pub struct Machine {
    pub id: NodeId,
    pub octet: u8,
    /// Without a disk it takes no part in the log, and its troubles are none of the core.
    pub has_disk: bool,
    pub cell: Option<Rc<ControlServer>>,
    pub frozen: Rc<Frozen>,
    stored: PersistentState,
    stalled: Instant,
    /// Milliseconds beyond the world's own time of day, less [`MOST_CLOCK_OFF`].
    clock_off: Rc<Plain<u64>>,
    tasks: Vec<AbortOnDrop>,
}

pub struct Net {
    pub machines: RefCell<Vec<Machine>>,
    /// Ordered pairs that do not reach each other.
    pub cut: RefCell<BTreeSet<(usize, usize)>>,
    /// Changes with every healed cut and restart: connections come up anew.
    round: Plain<u64>,
    next: Plain<u64>,
    began: Instant,
    /// When a fault last began or ended.
    pub disturbed: Plain<Instant>,
    rng: RefCell<Rand64>,
}

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
    /// So many machines of the core, and so many that serve control without a disk.
    pub fn new(seed: u64, core: usize, diskless: usize) -> Rc<Self> {
        let size = core + diskless;
        let at = |i: usize| settings(i as u8 + 1, true).internal_addr().to_string();
        let voters: BTreeMap<u64, String> = (0..core).map(|i| (i as u64 + 1, at(i))).collect();
        let snapshot = Some(Snapshot::initial(Members {
            voters,
            ..Members::default()
        }));
        let machine = |i: usize| Machine {
            id: i as u64 + 1,
            octet: i as u8 + 1,
            has_disk: i < core,
            cell: None,
            frozen: Rc::default(),
            stored: PersistentState {
                snapshot: snapshot.clone().filter(|_| i < core),
                ..PersistentState::default()
            },
            stalled: Instant::now(),
            clock_off: Rc::new(Plain::new(MOST_CLOCK_OFF)),
            tasks: Vec::new(),
        };
        let net = Rc::new(Self {
            machines: RefCell::new((0..size).map(machine).collect()),
            cut: RefCell::default(),
            round: Plain::new(0),
            next: Plain::new(100),
            began: Instant::now(),
            disturbed: Plain::new(Instant::now()),
            rng: RefCell::new(Rand64::new(u128::from(seed) ^ 0xce11)),
        });
        (0..size).for_each(|i| net.start(i));
        net
    }

    pub fn size(&self) -> usize {
        self.machines.borrow().len()
    }

    pub fn below(&self, n: u64) -> u64 {
        self.rng.borrow_mut().rand_range(0..n)
    }

    pub fn disturb(&self) {
        self.disturbed.set(Instant::now());
    }

    /// Something happens to a machine; it unsettles the core if that is one of it.
    fn disturb_by(&self, i: usize) {
        if self.machines.borrow()[i].has_disk {
            self.disturb();
        }
    }

    /// Runs something on a machine: it stands still when the machine does.
    pub fn on<F: Future>(&self, i: usize, task: F) -> On<F> {
        On {
            machine: self.machines.borrow()[i].frozen.clone(),
            task: Box::pin(task),
        }
    }

    /// A machine's own, drawn from the seed: its wall clock goes with the paused one, and a little off.
    fn environment(&self, i: usize) -> Environment {
        let (first_token, began) = (self.rng.borrow_mut().rand_u64(), self.began);
        let off = self.machines.borrow()[i].clock_off.clone();
        let wall_clock = move || EPOCH + began.elapsed().as_millis() as u64 + off.get();
        Environment {
            first_token,
            wall_clock: Box::new(wall_clock),
        }
    }

    /// The time of day steps on a machine, either way.
    pub fn step_clock(&self, i: usize) {
        self.disturb_by(i);
        let off = self.below(2 * MOST_CLOCK_OFF);
        self.machines.borrow()[i].clock_off.set(off);
    }

    pub fn start(self: &Rc<Self>, i: usize) {
        self.disturb_by(i);
        let (to_disk, orders) = disk::channel();
        let (dial, mut requests) = mpsc::unbounded_channel::<DialRequest>();
        let (breaks, _) = mpsc::unbounded_channel();
        let (id, settings, stored) = {
            let m = &self.machines.borrow()[i];
            (m.id, settings(m.octet, m.has_disk), m.stored.clone())
        };
        let channels = Channels {
            disk: to_disk,
            dial,
            fatal_errors: breaks,
        };
        let environment = self.environment(i);
        let cell = ControlServer::new(settings, id, stored, channels, environment);
        cell.add_seeds(&self.addresses());
        self.reconnect();
        let (done, saved) = mpsc::unbounded_channel();
        let (net, calls) = (self.clone(), self.clone());
        let follows = spawn(self.on(i, cell.clone().run_disk_events(saved)));
        let time = spawn(self.on(i, cell.clone().run_clock()));
        let disk = spawn(self.on(i, async move {
            loop {
                let stalled = net.machines.borrow()[i].stalled;
                tokio::time::sleep_until(stalled).await;
                for order in orders.try_iter() {
                    let seq = if let DiskRequest::Persist(save) = &order {
                        Some(save.sequence)
                    } else {
                        None
                    };
                    write(&mut net.machines.borrow_mut()[i].stored, order);
                    if let Some(seq) = seq {
                        let _ = done.send(seq);
                    }
                }
                sleep(Duration::from_millis(2)).await;
            }
        }));
        let dials = spawn(async move {
            let mut links = Vec::new();
            while let Some(request) = requests.recv().await {
                links.push(spawn(calls.clone().link(i, request)));
            }
        });
        let m = &mut self.machines.borrow_mut()[i];
        (m.cell, m.tasks) = (Some(cell), vec![follows, time, disk, dials]);
    }

    /// The process ends; its disk is kept.
    pub fn kill(&self, i: usize) {
        self.disturb_by(i);
        let m = &mut self.machines.borrow_mut()[i];
        m.cell = None;
        m.tasks.clear();
        m.frozen.set(false);
    }

    /// The disk is gone: whoever starts next is a new member, at this address or another one.
    pub fn lose_disk(&self, i: usize, elsewhere: bool) {
        self.kill(i);
        self.next.set(self.next.get() + 1);
        let m = &mut self.machines.borrow_mut()[i];
        m.id = self.next.get();
        m.stored = PersistentState::default();
        if elsewhere {
            m.octet = self.next.get() as u8;
        }
    }

    pub fn freeze(&self, i: usize, frozen: bool) {
        self.disturb_by(i);
        let machine = self.machines.borrow()[i].frozen.clone();
        machine.set(frozen);
    }

    /// Its disk answers nothing for a while. That does not unsettle the core.
    pub fn stall_disk(&self, i: usize, lasts: Duration) {
        self.machines.borrow_mut()[i].stalled = Instant::now() + lasts;
    }

    pub fn cell(&self, i: usize) -> Option<Rc<ControlServer>> {
        self.machines.borrow()[i].cell.clone()
    }

    pub fn is_frozen(&self, i: usize) -> bool {
        self.machines.borrow()[i].frozen.frozen.get()
    }

    /// The addresses of all machines.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.machines
            .borrow()
            .iter()
            .map(|m| settings(m.octet, m.has_disk).internal_addr())
            .collect()
    }

    /// A balancer of the data plane connects to a machine.
    pub fn accept(&self, to: usize, stream: DuplexStream) -> io::Result<()> {
        let cell = self.cell(to).ok_or(io::ErrorKind::ConnectionRefused)?;
        let session = spawn(self.on(to, async move {
            let _ = serve_connection(cell, stream).await;
        }));
        let tasks = &mut self.machines.borrow_mut()[to].tasks;
        tasks.retain(|task| !task.0.is_finished());
        tasks.push(session);
        Ok(())
    }

    pub fn place(&self, at: SocketAddr) -> Option<usize> {
        let machines = self.machines.borrow();
        machines
            .iter()
            .position(|m| settings(m.octet, m.has_disk).internal_addr() == at)
    }

    pub fn heal(&self) {
        self.disturb();
        self.cut.borrow_mut().clear();
        self.reconnect();
    }

    fn reconnect(&self) {
        self.round.set(self.round.get() + 1);
    }

    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut.borrow().contains(&(from, to))
    }

    /// Carries what one cell says to another.
    async fn link(self: Rc<Self>, from: usize, mut request: DialRequest) {
        let mut round = u64::MAX;
        loop {
            let message = timeout(Duration::from_millis(50), request.messages.recv()).await;
            let Some(to) = self.place(request.address) else {
                continue;
            };
            let (Some(near), Some(far)) = (self.cell(from), self.cell(to)) else {
                continue;
            };
            if self.is_cut(from, to) {
                round = u64::MAX;
                continue;
            }
            sleep(DELAY).await;
            if self.is_frozen(from) {
                continue;
            }
            if round != self.round.get() {
                round = self.round.get();
                self.on(to, async {
                    far.on_peer_connected(near.id, near.control_node.clone());
                    near.introduction_messages().into_iter().for_each(|t| {
                        far.handle_peer_message(near.control_node.internal_addr, t);
                    });
                })
                .await;
            }
            if let Ok(Some(message)) = message
                && !self
                    .on(to, async {
                        far.handle_peer_message(near.control_node.internal_addr, message)
                    })
                    .await
            {
                // It was silent for too long: it has to introduce itself again.
                round = u64::MAX;
            }
        }
    }
}
