//! Data-plane balancers with the real control client, connected to the real session server of each control process. A
//! balancer's state is lost with its process.

use std::cell::{Cell, RefCell};
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

use crate::deployment::Deployment;
use crate::history::{CONTACT_TIME, History};
use crate::platform::{DRAIN_NOTICE_TIME, Platform};

/// The number of control server addresses that a balancer starts with, as in its settings file.
const SEED_ADDRESSES: usize = 3;
/// The time needed to establish a connection.
const ROUND_TRIP_TIME: Duration = Duration::from_millis(6);
/// The size of the buffer of a connection in each direction.
const CONNECTION_BUFFER_BYTES: usize = 1 << 20;
/// The interval between checks of all balancers.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The state of a balancer's process.
struct BalancerState {
    history: Rc<History>,
    started: Instant,
    config_index: Cell<u64>,
    revision: Cell<u64>,
    zones: RefCell<BTreeMap<String, UpstreamList>>,
    /// Zones for which an update arrived that is based on a version this balancer does not have.
    incomplete: RefCell<BTreeSet<String>>,
    /// Upstreams that were observed to be draining.
    drained: RefCell<BTreeSet<String>>,
    fleet: Cell<Option<FleetView>>,
    changes: ChangeNotifier,
}

impl BalancerState {
    fn new(history: Rc<History>) -> Rc<Self> {
        Rc::new(Self {
            history,
            started: Instant::now(),
            config_index: Cell::new(0),
            revision: Cell::new(0),
            zones: RefCell::default(),
            incomplete: RefCell::default(),
            drained: RefCell::default(),
            fleet: Cell::default(),
            changes: ChangeNotifier::default(),
        })
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Returns all upstreams by id, and whether each of them is draining.
    fn upstreams(&self) -> BTreeMap<String, bool> {
        let (zones, now_ms) = (self.zones.borrow(), self.now_ms());
        zones
            .values()
            .flat_map(|z| z.upstreams(now_ms))
            .map(|u| (u.id, u.draining))
            .collect()
    }

    /// Applies a configuration, and checks that it never replaces one with a newer revision.
    fn apply_config(&self, index: u64, config: &Config) {
        self.config_index.set(index);
        let id = config.routes.first().map_or(0, |route| route.target_ms);
        self.history.on_configuration(index, id);
        let revision = config.revision;
        let before = self.revision.replace(revision);
        self.history.require(revision >= before, || {
            format!("the revision of a balancer went back from {before} to {revision}")
        });
    }

    /// Applies the zone updates of a message. Returns whether any of them is based on a version this balancer does not
    /// have.
    fn apply_zone_updates(&self, update: &WatchUpdate) -> bool {
        let mut is_base_missing = false;
        for (zone, zone_update) in &update.zone_updates {
            let mut zones = self.zones.borrow_mut();
            let list = zones.entry(zone.clone()).or_default();
            match list.apply_update(zone_update, self.now_ms()) {
                UpdateOutcome::MissingBase => {
                    self.incomplete.borrow_mut().insert(zone.clone());
                    is_base_missing = true;
                }
                UpdateOutcome::Stale(_) | UpdateOutcome::Applied(_) => {
                    self.incomplete.borrow_mut().remove(zone);
                }
            }
        }
        let mut drained = self.drained.borrow_mut();
        for (id, is_draining) in self.upstreams() {
            let holds = is_draining || !drained.contains(&id);
            self.history.require(holds, || {
                format!("upstream {id} was draining and is in use again")
            });
            if is_draining {
                drained.insert(id);
            }
        }
        is_base_missing
    }
}

impl UpdateHandler for BalancerState {
    fn watch_request(&self) -> WatchRequest {
        let (zones, incomplete) = (self.zones.borrow(), self.incomplete.borrow());
        let version = |(zone, list): (&String, &UpstreamList)| {
            let is_complete = !incomplete.contains(zone);
            let version = if is_complete { list.version() } else { 0 };
            (zone.clone(), version)
        };
        WatchRequest {
            config_index: self.config_index.get(),
            ready: self.config_index.get() > 0,
            zone_versions: zones.iter().map(version).collect(),
            fleet: self.fleet.get(),
            ..WatchRequest::default()
        }
    }

    fn handle_update(&self, update: &WatchUpdate) -> bool {
        if let Some(Indexed {
            index,
            value: config,
        }) = &update.config
        {
            self.history.require(!update.out_of_contact, || {
                "a server without quorum contact sent a configuration".into()
            });
            if *index > self.config_index.get() {
                self.apply_config(*index, &config.to_config());
            }
        }
        let is_base_missing = self.apply_zone_updates(update);
        self.wake_sessions();
        is_base_missing
    }

    fn take_key_load(&self) -> KeyLoadReport {
        KeyLoadReport::new()
    }

    fn handle_fleet_view(&self, fleet: FleetView) {
        self.fleet.set(Some(fleet));
    }

    fn watch_changes(&self) -> ChangeWatcher {
        self.changes.watch()
    }

    fn wake_sessions(&self) {
        self.changes.notify();
    }
}

/// The network between balancers and control servers.
struct SimulatedNetwork(Rc<Deployment>);

impl Network for SimulatedNetwork {
    type Stream = DuplexStream;

    async fn connect(&self, at: SocketAddr) -> io::Result<DuplexStream> {
        let Some(to) = self.0.machine_at(at) else {
            sleep(CONNECT_TIMEOUT).await;
            return Err(io::ErrorKind::TimedOut.into());
        };
        sleep(ROUND_TRIP_TIME).await;
        let (client_end, server_end) = duplex(CONNECTION_BUFFER_BYTES);
        self.0.accept(to, server_end)?;
        Ok(client_end)
    }
}

/// A running balancer.
struct BalancerProcess {
    state: Rc<BalancerState>,
    _client: AbortOnDrop,
}

/// All balancers.
pub(crate) struct Fleet {
    deployment: Rc<Deployment>,
    platform: Rc<Platform>,
    history: Rc<History>,
    processes: RefCell<Vec<BalancerProcess>>,
}

impl Fleet {
    /// Starts `size` balancers.
    pub(crate) fn new(
        deployment: Rc<Deployment>,
        platform: Rc<Platform>,
        history: Rc<History>,
        size: usize,
    ) -> Rc<Self> {
        let fleet = Self {
            deployment,
            platform,
            history,
            processes: RefCell::default(),
        };
        let processes = (0..size).map(|i| fleet.start(i)).collect();
        fleet.processes.replace(processes);
        Rc::new(fleet)
    }

    /// Starts the process of a balancer, with randomly chosen control servers as its first ones.
    fn start(&self, balancer: usize) -> BalancerProcess {
        let state = BalancerState::new(self.history.clone());
        let identity = Balancer {
            node: format!("b{balancer}"),
            zone: "a".into(),
            region: "r".into(),
            http_addr: SocketAddr::from(([10, 0, 1, balancer as u8], 80)),
        };
        let network = SimulatedNetwork(self.deployment.clone());
        let client = ControlClient::with_network(network, identity, state.clone());
        // Like a settings file, names only a few of the control servers, with or without a disk.
        let mut seeds = self.deployment.addresses();
        while seeds.len() > SEED_ADDRESSES {
            let index = self.deployment.random_below(seeds.len() as u64) as usize;
            seeds.remove(index);
        }
        client.add_seeds(seeds.into_iter());
        BalancerProcess {
            state,
            _client: AbortOnDrop(spawn_local(client.run())),
        }
    }

    /// Restarts a balancer without any state.
    pub(crate) fn restart(&self, balancer: usize) {
        let process = self.start(balancer);
        self.processes.borrow_mut()[balancer] = process;
    }

    /// Repeatedly checks all balancers that have been in contact with control servers for long enough.
    pub(crate) async fn check_balancers(self: Rc<Self>) {
        loop {
            sleep(CHECK_INTERVAL).await;
            let now = Instant::now();
            if now < self.deployment.last_disturbance() + CONTACT_TIME {
                continue;
            }
            let draining = self.platform.draining_by(now - DRAIN_NOTICE_TIME);
            for (i, process) in self.processes.borrow().iter().enumerate() {
                let state = &process.state;
                if now < state.started + CONTACT_TIME {
                    continue;
                }
                self.history
                    .on_balancer_checked(&format!("b{i}"), state.revision.get());
                let known = state.upstreams();
                for id in &draining {
                    let is_drain_known = known.get(id).is_none_or(|is_draining| *is_draining);
                    self.history.require(is_drain_known, || {
                        format!("balancer b{i} does not know that upstream {id} is draining")
                    });
                }
            }
        }
    }
}
