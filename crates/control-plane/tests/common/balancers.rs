//! Data-plane balancers that keep their sessions with the cells of a [`Net`]: what they were told, and when.

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

use super::{DISKLESS, Net, SIZE, settings, spawn};

/// Until a connection is up.
const ROUND_TRIP: Duration = Duration::from_millis(30);

/// What a balancer has, and the versions of the configuration that it was told, each with the time.
pub struct Told {
    pub node: String,
    pub versions: RefCell<Vec<(Instant, u64, String)>>,
    pub bank: Plain<u32>,
    /// The cells that it called, in order.
    pub dialled: RefCell<Vec<usize>>,
    changes: ChangeNotifier,
}

impl Told {
    /// The place in the log of the configuration that it has; 0 for none: it is not ready.
    pub fn config(&self) -> u64 {
        self.versions
            .borrow()
            .last()
            .map_or(0, |(_, index, _)| *index)
    }

    pub fn has(&self, text: &str) -> bool {
        self.versions
            .borrow()
            .last()
            .is_some_and(|(_, _, config)| config.contains(text))
    }
}

impl UpdateHandler for Told {
    fn ask(&self) -> WatchRequest {
        let bank = Some(FleetView {
            balancers: self.bank.get(),
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

    fn take(&self, news: &WatchUpdate) -> bool {
        if let Some(Indexed {
            index,
            value: config,
        }) = &news.config
        {
            assert!(!news.out_of_contact, "told without contact");
            if *index > self.config() {
                let config = config.to_config();
                let target = config.routes.first().map_or(0, |route| route.target_ms);
                let told = (Instant::now(), *index, format!("\"target_ms\":{target},"));
                self.versions.borrow_mut().push(told);
                self.wake();
            }
        }
        false
    }

    fn work(&self) -> KeyLoadReport {
        KeyLoadReport::new()
    }

    fn bank(&self, bank: FleetView) {
        self.bank.set(bank.balancers);
    }

    fn changes(&self) -> ChangeWatcher {
        self.changes.watch()
    }

    fn wake(&self) {
        self.changes.notify();
    }
}

/// The cells that a balancer may call.
fn callable() -> impl Iterator<Item = usize> {
    (0..SIZE).chain([DISKLESS])
}

/// The way from one balancer to the cells.
struct Way {
    net: Rc<Net>,
    told: Rc<Told>,
    /// Those that it reaches.
    reaches: Vec<usize>,
}

impl Network for Way {
    type Stream = DuplexStream;

    async fn dial(&self, at: SocketAddr) -> io::Result<DuplexStream> {
        let i = callable()
            .find(|i| settings(*i).internal_addr() == at)
            .ok_or(io::ErrorKind::NotFound)?;
        self.told.dialled.borrow_mut().push(i);
        let Some(cell) = self.net.cell(i).filter(|_| self.reaches.contains(&i)) else {
            sleep(CONNECT_TIMEOUT).await;
            return Err(io::ErrorKind::TimedOut.into());
        };
        sleep(ROUND_TRIP).await;
        let (near, far) = duplex(1 << 20);
        self.net.freezers.borrow()[i].spawn(async move {
            let _ = serve_connection(cell, far).await;
        });
        Ok(near)
    }
}

/// A balancer that calls `first`, in that order, before any other cell, and reaches these.
pub fn balancer(
    net: &Rc<Net>,
    name: &str,
    first: &[usize],
    reaches: &[usize],
) -> (Rc<Told>, AbortOnDrop) {
    // Cells are taken in an order of each balancer's own, by its name.
    let at = |i: usize| settings(i).internal_addr();
    let place =
        |node: &str, i: usize| load_balancing::settings::stable_hash(&format!("{}{node}", at(i)));
    let chosen = |node: &String| {
        let mut order: Vec<usize> = (0..SIZE).collect();
        order.sort_by_key(|i| place(node, *i));
        order.starts_with(first)
    };
    let named = |n: u32| format!("{name}-{n}");
    let node = (0..).map(named).find(chosen).expect("some name");
    let told = Rc::new(Told {
        node: node.clone(),
        versions: RefCell::default(),
        bank: Plain::new(0),
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
    let way = Way {
        net: net.clone(),
        told: told.clone(),
        reaches: reaches.to_vec(),
    };
    let watch = ControlClient::with_network(way, me, told.clone());
    watch.add_seeds(
        callable()
            .filter(|i| *i < SIZE || reaches.contains(i))
            .map(at),
    );
    (told, spawn(watch.run()))
}

/// Waits until it holds, for so long at most; whether it came to that.
pub async fn until(within: Duration, holds: impl Fn() -> bool) -> bool {
    let end = Instant::now() + within;
    while Instant::now() < end {
        if holds() {
            return true;
        }
        sleep(Duration::from_millis(10)).await;
    }
    holds()
}
