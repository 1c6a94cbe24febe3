//! The platform's list of upstreams, which lags, and the cells' calls for it. Upstreams drain and leave, and others
//! come in their place.

use std::cell::{Cell as Plain, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use protocol::upstream_list::Upstream;
use tokio::time::{Instant, sleep};

use crate::net::Net;

pub const ZONES: [&str; 2] = ["a", "b"];
/// Upstreams of a zone.
const OF_ZONE: usize = 4;
/// The list shows what is so much older, at the most.
const LAG: Duration = Duration::from_millis(800);
/// An upstream is listed as draining for so long before it is gone.
const LEAVES_AFTER: Duration = Duration::from_millis(4500);
/// A balancer in touch knows of a drain after so long.
pub const DRAIN: Duration = Duration::from_millis(4000);
/// Between two calls of a cell.
const ASKS: Duration = Duration::from_millis(400);

struct Listed {
    upstream: Upstream,
    /// When it began to drain.
    drains: Option<Instant>,
}

/// All upstreams, by zone.
pub struct Platform {
    net: Rc<Net>,
    next: Plain<u32>,
    zones: RefCell<BTreeMap<String, Vec<Listed>>>,
    /// Everything that ever drained, and since when.
    drained: RefCell<BTreeMap<String, Instant>>,
}

impl Platform {
    pub fn new(net: Rc<Net>) -> Rc<Self> {
        let (zones, drained) = (RefCell::default(), RefCell::default());
        let platform = Self {
            net,
            next: Plain::new(0),
            zones,
            drained,
        };
        for zone in ZONES {
            let upstreams = (0..OF_ZONE).map(|_| platform.started()).collect();
            platform
                .zones
                .borrow_mut()
                .insert(zone.to_string(), upstreams);
        }
        Rc::new(platform)
    }

    fn started(&self) -> Listed {
        let number = self.next.replace(self.next.get() + 1);
        let upstream = Upstream {
            id: format!("i-{number}"),
            service: "s".into(),
            addr: SocketAddr::from(([10, 1, (number / 250) as u8, (number % 250) as u8], 80)),
            slots: 4,
            draining: false,
            warmup_remaining_ms: 0,
        };
        Listed {
            upstream,
            drains: None,
        }
    }

    /// Those that were listed as draining before this.
    pub fn drained_before(&self, at: Instant) -> Vec<String> {
        let drained = self.drained.borrow();
        drained
            .iter()
            .filter(|(_, since)| **since + LAG <= at)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// A zone as the platform shows it: as of a moment ago.
    fn list(&self, zone: &str) -> Vec<Upstream> {
        let lag = Duration::from_millis(self.net.below(LAG.as_millis() as u64));
        let as_of = Instant::now().checked_sub(lag).unwrap_or_else(Instant::now);
        let shown = |listed: &Listed| Upstream {
            draining: listed.drains.is_some_and(|since| since <= as_of),
            ..listed.upstream.clone()
        };
        self.zones
            .borrow()
            .get(zone)
            .map_or_else(Vec::new, |all| all.iter().map(shown).collect())
    }

    /// Upstreams come and go, for good.
    pub async fn change(self: Rc<Self>) {
        loop {
            sleep(Duration::from_millis(300 + self.net.below(2500))).await;
            let zone = ZONES[self.net.below(ZONES.len() as u64) as usize];
            let now = Instant::now();
            let mut zones = self.zones.borrow_mut();
            let all = zones.entry(zone.to_string()).or_default();
            all.retain(|listed| listed.drains.is_none_or(|since| now < since + LEAVES_AFTER));
            let one = self.net.below(all.len() as u64) as usize;
            if all[one].drains.is_none() && all.len() < 2 * OF_ZONE {
                all[one].drains = Some(now);
                self.drained
                    .borrow_mut()
                    .insert(all[one].upstream.id.clone(), now);
                let started = self.started();
                all.push(started);
            }
        }
    }

    /// The calls of a machine for the zones that its cell keeps, for good.
    pub async fn follow(self: Rc<Self>, machine: usize) {
        loop {
            sleep(ASKS).await;
            let Some(cell) = self
                .net
                .cell(machine)
                .filter(|_| !self.net.is_frozen(machine))
            else {
                continue;
            };
            for zone in cell.managed_zones() {
                cell.set_platform_list(&zone, self.list(&zone));
            }
        }
    }
}
