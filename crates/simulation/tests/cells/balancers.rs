//! Balancers of the data plane with the real watch, over connections to the real session server of each cell. Their
//! memory ends with their lives.

use std::cell::{Cell as Plain, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use data_plane::abort_on_drop::AbortOnDrop;
use data_plane::change_notifier::{ChangeNotifier, ChangeWatcher};
use data_plane::control_client::{CONNECT_TIMEOUT, ControlClient, Network, UpdateHandler};
use protocol::config::Config;
use protocol::key_load::KeyLoadReport;
use protocol::upstream_list::{UpdateOutcome, UpstreamList};
use protocol::wire::{Balancer, FleetView, Indexed, WatchRequest, WatchUpdate};
use tokio::io::{DuplexStream, duplex};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::history::{CONTACT, History};
use crate::net::Net;
use crate::platform::{DRAIN, Platform};

/// Addresses in a settings file.
const SEEDS: usize = 3;
/// Until a connection is up.
const ROUND_TRIP: Duration = Duration::from_millis(6);
/// Bytes under way on a connection.
const IN_FLIGHT: usize = 1 << 20;

/// What a balancer knows in one life.
pub struct Memory {
    history: Rc<History>,
    born: Instant,
    config: Plain<u64>,
    rev: Plain<u64>,
    zones: RefCell<BTreeMap<String, UpstreamList>>,
    /// Zones of which a difference built on something else.
    incomplete: RefCell<BTreeSet<String>>,
    drained: RefCell<BTreeSet<String>>,
    bank: Plain<Option<FleetView>>,
    changes: ChangeNotifier,
}

impl Memory {
    fn new(history: Rc<History>) -> Rc<Self> {
        Rc::new(Self {
            history,
            born: Instant::now(),
            config: Plain::new(0),
            rev: Plain::new(0),
            zones: RefCell::default(),
            incomplete: RefCell::default(),
            drained: RefCell::default(),
            bank: Plain::default(),
            changes: ChangeNotifier::default(),
        })
    }

    fn now(&self) -> u64 {
        self.born.elapsed().as_millis() as u64
    }

    /// Where requests may go, and what drains, by id.
    fn upstreams(&self) -> BTreeMap<String, bool> {
        let (zones, now) = (self.zones.borrow(), self.now());
        zones
            .values()
            .flat_map(|z| z.upstreams(now))
            .map(|u| (u.id, u.draining))
            .collect()
    }

    fn take_config(&self, index: u64, config: &Config) {
        self.config.set(index);
        self.history.in_force(
            index,
            config.routes.first().map_or(0, |route| route.target_ms),
        );
        let rev = config.revision;
        let before = self.rev.replace(rev);
        let went_back = || format!("a balancer went back from {before} to {rev}");
        self.history.require(rev >= before, went_back);
    }

    fn take_zones(&self, news: &WatchUpdate) -> bool {
        let mut has_gap = false;
        for (zone, told) in &news.zone_updates {
            let mut zones = self.zones.borrow_mut();
            match zones
                .entry(zone.clone())
                .or_default()
                .apply_update(told, self.now())
            {
                UpdateOutcome::MissingBase => {
                    self.incomplete.borrow_mut().insert(zone.clone());
                    has_gap = true;
                }
                UpdateOutcome::Stale(_) | UpdateOutcome::Applied(_) => {
                    self.incomplete.borrow_mut().remove(zone);
                }
            }
        }
        let mut drained = self.drained.borrow_mut();
        for (id, draining) in self.upstreams() {
            let back = || format!("{id} drained, and is in use again");
            self.history
                .require(draining || !drained.contains(&id), back);
            if draining {
                drained.insert(id);
            }
        }
        has_gap
    }
}

impl UpdateHandler for Memory {
    fn watch_request(&self) -> WatchRequest {
        let (zones, incomplete) = (self.zones.borrow(), self.incomplete.borrow());
        let version = |(zone, list): (&String, &UpstreamList)| {
            (
                zone.clone(),
                if incomplete.contains(zone) {
                    0
                } else {
                    list.version()
                },
            )
        };
        WatchRequest {
            config_index: self.config.get(),
            ready: self.config.get() > 0,
            zone_versions: zones.iter().map(version).collect(),
            fleet: self.bank.get(),
            ..WatchRequest::default()
        }
    }

    fn handle_update(&self, news: &WatchUpdate) -> bool {
        if let Some(Indexed {
            index,
            value: config,
        }) = &news.config
        {
            self.history
                .require(!news.out_of_contact, || "told without contact".into());
            if *index > self.config.get() {
                self.take_config(*index, &config.to_config());
            }
        }
        let has_gap = self.take_zones(news);
        self.wake_sessions();
        has_gap
    }

    fn take_key_load(&self) -> KeyLoadReport {
        KeyLoadReport::new()
    }

    fn handle_fleet_view(&self, bank: FleetView) {
        self.bank.set(Some(bank));
    }

    fn watch_changes(&self) -> ChangeWatcher {
        self.changes.watch()
    }

    fn wake_sessions(&self) {
        self.changes.notify();
    }
}

/// The way from a balancer to the cells.
struct Path(Rc<Net>);

impl Network for Path {
    type Stream = DuplexStream;

    async fn connect(&self, at: SocketAddr) -> io::Result<DuplexStream> {
        let Some(to) = self.0.place(at) else {
            sleep(CONNECT_TIMEOUT).await;
            return Err(io::ErrorKind::TimedOut.into());
        };
        sleep(ROUND_TRIP).await;
        let (near, far) = duplex(IN_FLIGHT);
        self.0.accept(to, far)?;
        Ok(near)
    }
}

struct Life {
    memory: Rc<Memory>,
    _watch: AbortOnDrop,
}

pub struct Fleet {
    net: Rc<Net>,
    platform: Rc<Platform>,
    history: Rc<History>,
    lives: RefCell<Vec<Life>>,
}

impl Fleet {
    pub fn new(
        net: Rc<Net>,
        platform: Rc<Platform>,
        history: Rc<History>,
        size: usize,
    ) -> Rc<Self> {
        let fleet = Self {
            net,
            platform,
            history,
            lives: RefCell::default(),
        };
        let lives = (0..size).map(|i| fleet.start(i)).collect();
        fleet.lives.replace(lives);
        Rc::new(fleet)
    }

    fn start(&self, balancer: usize) -> Life {
        let memory = Memory::new(self.history.clone());
        let http = SocketAddr::from(([10, 0, 1, balancer as u8], 80));
        let node = format!("b{balancer}");
        let me = Balancer {
            node,
            zone: "a".into(),
            region: "r".into(),
            http_addr: http,
        };
        let watch = ControlClient::with_network(Path(self.net.clone()), me, memory.clone());
        // Three at first, as a settings file names them: of the core, or any others that serve control.
        let mut seeds = self.net.addresses();
        while seeds.len() > SEEDS {
            seeds.remove(self.net.below(seeds.len() as u64) as usize);
        }
        watch.add_seeds(seeds.into_iter());
        Life {
            memory,
            _watch: AbortOnDrop(spawn_local(watch.run())),
        }
    }

    /// A balancer ends, and starts with nothing.
    pub fn restart(&self, balancer: usize) {
        let life = self.start(balancer);
        self.lives.borrow_mut()[balancer] = life;
    }

    /// Looks at every balancer that has been in touch for long enough.
    pub async fn watch(self: Rc<Self>) {
        loop {
            sleep(Duration::from_millis(500)).await;
            let now = Instant::now();
            if now < self.net.disturbed.get() + CONTACT {
                continue;
            }
            let owed = self.platform.drained_before(now - DRAIN);
            for (i, life) in self.lives.borrow().iter().enumerate() {
                let Memory { born, rev, .. } = &*life.memory;
                if now < *born + CONTACT {
                    continue;
                }
                self.history.balancer(&format!("b{i}"), rev.get());
                let known = life.memory.upstreams();
                for id in &owed {
                    let drains = known.get(id).is_none_or(|draining| *draining);
                    self.history
                        .require(drains, || format!("b{i} missed that {id} leaves"));
                }
            }
        }
    }
}
