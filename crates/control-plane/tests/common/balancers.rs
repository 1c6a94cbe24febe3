//! Data-plane balancers that keep sessions with the control servers of a [`Cluster`]: what they were sent, and when.

use std::cell::{Cell as Plain, RefCell};
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

/// Until a connection is up.
const CONNECT_TIME: Duration = Duration::from_millis(30);

/// A configuration that a balancer was sent.
pub(crate) struct ReceivedConfig {
    /// Where it stands in the log.
    pub(crate) index: u64,
    /// What tells it apart.
    pub(crate) text: String,
}

/// What a balancer has, and the configurations that it was sent.
pub(crate) struct SimulatedBalancer {
    pub(crate) node: String,
    pub(crate) received: RefCell<Vec<ReceivedConfig>>,
    pub(crate) fleet_size: Plain<u32>,
    /// The servers that it dialled, in order.
    pub(crate) dialled: RefCell<Vec<usize>>,
    changes: ChangeNotifier,
}

impl SimulatedBalancer {
    /// The index of the configuration that it has; 0 for none: it is not ready.
    pub(crate) fn config(&self) -> u64 {
        self.received
            .borrow()
            .last()
            .map_or(0, |received| received.index)
    }

    /// Whether the configuration that it has contains this.
    pub(crate) fn has(&self, text: &str) -> bool {
        self.received
            .borrow()
            .last()
            .is_some_and(|received| received.text.contains(text))
    }
}

impl UpdateHandler for SimulatedBalancer {
    fn watch_request(&self) -> WatchRequest {
        let bank = Some(FleetView {
            balancers: self.fleet_size.get(),
            position: 0,
        });
        let bank = bank.filter(|bank| bank.balancers > 0);
        WatchRequest {
            config_index: self.config(),
            ready: self.config() > 0,
            fleet: bank,
            ..WatchRequest::default()
        }
    }

    fn handle_update(&self, news: &WatchUpdate) -> bool {
        if let Some(Indexed {
            index,
            value: config,
        }) = &news.config
        {
            assert!(!news.out_of_contact, "told without contact");
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

    fn handle_fleet_view(&self, bank: FleetView) {
        self.fleet_size.set(bank.balancers);
    }

    fn watch_changes(&self) -> ChangeWatcher {
        self.changes.watch()
    }

    fn wake_sessions(&self) {
        self.changes.notify();
    }
}

/// The servers that a balancer may dial.
fn dialable_servers() -> impl Iterator<Item = usize> {
    (0..VOTERS).chain([DISKLESS])
}

/// The network as one balancer sees it.
struct BalancerNetwork {
    cluster: Rc<Cluster>,
    balancer: Rc<SimulatedBalancer>,
    /// The servers that it reaches.
    reaches: Vec<usize>,
}

impl Network for BalancerNetwork {
    type Stream = DuplexStream;

    async fn connect(&self, at: SocketAddr) -> io::Result<DuplexStream> {
        let i = dialable_servers()
            .find(|i| settings(*i).internal_addr() == at)
            .ok_or(io::ErrorKind::NotFound)?;
        self.balancer.dialled.borrow_mut().push(i);
        let Some(server) = self.cluster.server(i).filter(|_| self.reaches.contains(&i)) else {
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

/// Starts a balancer that dials `first`, in that order, before any other server, and reaches `reaches`.
pub(crate) fn balancer(
    cluster: &Rc<Cluster>,
    name: &str,
    first: &[usize],
    reaches: &[usize],
) -> (Rc<SimulatedBalancer>, AbortOnDrop) {
    // Servers are dialled in an order of each balancer's own, by its name: one is looked for that has the wanted order.
    let at = |i: usize| settings(i).internal_addr();
    let place =
        |node: &str, i: usize| load_balancing::settings::stable_hash(&format!("{}{node}", at(i)));
    let chosen = |node: &String| {
        let mut order: Vec<usize> = (0..VOTERS).collect();
        order.sort_by_key(|i| place(node, *i));
        order.starts_with(first)
    };
    let named = |n: u32| format!("{name}-{n}");
    let node = (0..).map(named).find(chosen).expect("some name");
    let balancer = Rc::new(SimulatedBalancer {
        node: node.clone(),
        received: RefCell::default(),
        fleet_size: Plain::new(0),
        dialled: RefCell::default(),
        changes: ChangeNotifier::default(),
    });
    let (zone, region, http) = ("a".into(), "r".into(), at(first[0]));
    let me = Balancer {
        node,
        zone,
        region,
        http_addr: http,
    };
    let network = BalancerNetwork {
        cluster: cluster.clone(),
        balancer: balancer.clone(),
        reaches: reaches.to_vec(),
    };
    let client = ControlClient::with_network(network, me, balancer.clone());
    client.add_seeds(
        dialable_servers()
            .filter(|i| *i < VOTERS || reaches.contains(i))
            .map(at),
    );
    (balancer, spawn(client.run()))
}

/// Waits until `holds`, for `within` at most. Returns whether it came to that.
pub(crate) async fn wait_until(within: Duration, holds: impl Fn() -> bool) -> bool {
    let end = Instant::now() + within;
    while Instant::now() < end {
        if holds() {
            return true;
        }
        sleep(Duration::from_millis(10)).await;
    }
    holds()
}
