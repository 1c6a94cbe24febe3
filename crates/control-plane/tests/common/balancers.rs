//! Simulated data-plane balancers that keep sessions with the control servers of a [`Cluster`] and record the
//! configurations they receive.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use control_plane::connections::serve_connection;
use data_plane::abort_on_drop::AbortOnDrop;
use data_plane::change_notifier::{ChangeNotifier, ChangeWatcher};
use data_plane::control_client::{CONNECT_TIMEOUT, ControlClient, Network, UpdateHandler};
use protocol::key_load::KeyLoadReport;
use protocol::wire::{Balancer, FleetView, Indexed, WatchRequest, WatchUpdate};
use tokio::io::{DuplexStream, duplex};
use tokio::time::{Instant, sleep};

use super::{Cluster, DISKLESS, VOTERS, settings, spawn};

/// How long it takes to establish a connection.
const CONNECT_TIME: Duration = Duration::from_millis(30);

/// A configuration that a balancer has received.
pub(crate) struct ReceivedConfig {
    /// Its index in the log.
    pub(crate) index: u64,
    /// The text fragment by which the tests identify it.
    pub(crate) text: String,
}

/// The state of a simulated balancer.
pub(crate) struct SimulatedBalancer {
    pub(crate) node: String,
    pub(crate) received: RefCell<Vec<ReceivedConfig>>,
    pub(crate) fleet_size: Cell<u32>,
    /// The servers that it dialled, in order.
    pub(crate) dialled: RefCell<Vec<usize>>,
    changes: ChangeNotifier,
}

impl SimulatedBalancer {
    /// Returns the index of the current configuration, or 0 if there is none and the balancer is not ready.
    pub(crate) fn config(&self) -> u64 {
        self.received
            .borrow()
            .last()
            .map_or(0, |received| received.index)
    }

    /// Returns whether the current configuration contains the text.
    pub(crate) fn has(&self, text: &str) -> bool {
        self.received
            .borrow()
            .last()
            .is_some_and(|received| received.text.contains(text))
    }
}

impl UpdateHandler for SimulatedBalancer {
    fn watch_request(&self) -> WatchRequest {
        let fleet = Some(FleetView {
            balancers: self.fleet_size.get(),
            position: 0,
        });
        let fleet = fleet.filter(|fleet| fleet.balancers > 0);
        WatchRequest {
            config_index: self.config(),
            ready: self.config() > 0,
            fleet,
            ..WatchRequest::default()
        }
    }

    fn handle_update(&self, update: &WatchUpdate) -> bool {
        if let Some(Indexed {
            index,
            value: config,
        }) = &update.config
        {
            assert!(
                !update.out_of_contact,
                "a server out of contact sent a configuration"
            );
            if *index > self.config() {
                let config = config.to_config();
                let target = config.routes.first().map_or(0, |route| route.target_ms);
                self.received.borrow_mut().push(ReceivedConfig {
                    index: *index,
                    text: format!("\"target_ms\":{target},"),
                });
                self.wake_sessions();
            }
        }
        false
    }

    fn take_key_load(&self) -> KeyLoadReport {
        KeyLoadReport::new()
    }

    fn handle_fleet_view(&self, fleet: FleetView) {
        self.fleet_size.set(fleet.balancers);
    }

    fn watch_changes(&self) -> ChangeWatcher {
        self.changes.watch()
    }

    fn wake_sessions(&self) {
        self.changes.notify();
    }
}

/// Returns the servers that a balancer may dial.
fn dialable_servers() -> impl Iterator<Item = usize> {
    (0..VOTERS).chain([DISKLESS])
}

/// The network as seen by one balancer.
struct BalancerNetwork {
    cluster: Rc<Cluster>,
    balancer: Rc<SimulatedBalancer>,
    /// The servers that the balancer can reach.
    reachable: Vec<usize>,
}

impl Network for BalancerNetwork {
    type Stream = DuplexStream;

    async fn connect(&self, at: SocketAddr) -> io::Result<DuplexStream> {
        let i = dialable_servers()
            .find(|i| settings(*i).internal_addr() == at)
            .ok_or(io::ErrorKind::NotFound)?;
        self.balancer.dialled.borrow_mut().push(i);
        let Some(server) = self
            .cluster
            .server(i)
            .filter(|_| self.reachable.contains(&i))
        else {
            sleep(CONNECT_TIMEOUT).await;
            return Err(io::ErrorKind::TimedOut.into());
        };
        sleep(CONNECT_TIME).await;
        let (near, far) = duplex(1 << 20);
        self.cluster.freezers.borrow()[i].spawn(async move {
            let _ = serve_connection(server, far).await;
        });
        Ok(near)
    }
}

/// Starts a balancer that can reach the servers in `reachable` and dials those in `first` before any other, in that
/// order.
pub(crate) fn balancer(
    cluster: &Rc<Cluster>,
    name: &str,
    first: &[usize],
    reachable: &[usize],
) -> (Rc<SimulatedBalancer>, AbortOnDrop) {
    // Each balancer dials the servers in an order derived from its name, so a name with the wanted order is searched.
    let at = |i: usize| settings(i).internal_addr();
    let rank =
        |node: &str, i: usize| load_balancing::settings::stable_hash(&format!("{}{node}", at(i)));
    let has_wanted_order = |node: &String| {
        let mut order: Vec<usize> = (0..VOTERS).collect();
        order.sort_by_key(|i| rank(node, *i));
        order.starts_with(first)
    };
    let named = |n: u32| format!("{name}-{n}");
    let node = (0..)
        .map(named)
        .find(has_wanted_order)
        .expect("a name with the wanted order");
    let balancer = Rc::new(SimulatedBalancer {
        node: node.clone(),
        received: RefCell::default(),
        fleet_size: Cell::new(0),
        dialled: RefCell::default(),
        changes: ChangeNotifier::default(),
    });
    let (zone, region, http) = ("a".into(), "r".into(), at(first[0]));
    let identity = Balancer {
        node,
        zone,
        region,
        http_addr: http,
    };
    let network = BalancerNetwork {
        cluster: cluster.clone(),
        balancer: balancer.clone(),
        reachable: reachable.to_vec(),
    };
    let client = ControlClient::with_network(network, identity, balancer.clone());
    client.add_seeds(
        dialable_servers()
            .filter(|i| *i < VOTERS || reachable.contains(i))
            .map(at),
    );
    (balancer, spawn(client.run()))
}

/// Waits until the condition holds, but no longer than `within`. Returns whether it holds.
pub(crate) async fn wait_until(within: Duration, condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + within;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        sleep(Duration::from_millis(10)).await;
    }
    condition()
}
