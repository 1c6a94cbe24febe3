//! The platform's list of upstreams and the servers that poll it. The list is slightly outdated. Upstreams drain, are
//! removed, and are replaced by new ones.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use protocol::upstream_list::Upstream;
use tokio::time::{Instant, sleep};

use crate::deployment::Deployment;

const ZONES: [&str; 2] = ["a", "b"];
const UPSTREAMS_PER_ZONE: usize = 4;
/// The list may be outdated by up to this time.
const MAX_LAG: Duration = Duration::from_millis(800);
/// How long an upstream is listed as draining before it is removed.
const DRAIN_TIME: Duration = Duration::from_millis(4500);
/// The time within which a balancer in contact has to learn that an upstream is draining.
pub(crate) const DRAIN_NOTICE_TIME: Duration = Duration::from_millis(4000);
/// The interval at which a server polls the list.
const POLL_INTERVAL: Duration = Duration::from_millis(400);

/// An upstream in the list.
struct ListedUpstream {
    upstream: Upstream,
    /// When the upstream began to drain, if it has.
    draining_since: Option<Instant>,
}

/// All upstreams, by zone.
pub(crate) struct Platform {
    deployment: Rc<Deployment>,
    next_number: Cell<u32>,
    zones: RefCell<BTreeMap<String, Vec<ListedUpstream>>>,
    /// All upstreams that ever began to drain, and when.
    draining_since: RefCell<BTreeMap<String, Instant>>,
}

impl Platform {
    pub(crate) fn new(deployment: Rc<Deployment>) -> Rc<Self> {
        let platform = Self {
            deployment,
            next_number: Cell::new(0),
            zones: RefCell::default(),
            draining_since: RefCell::default(),
        };
        for zone in ZONES {
            let upstreams = (0..UPSTREAMS_PER_ZONE).map(|_| platform.new_upstream());
            let upstreams = upstreams.collect();
            platform
                .zones
                .borrow_mut()
                .insert(zone.to_string(), upstreams);
        }
        Rc::new(platform)
    }

    fn new_upstream(&self) -> ListedUpstream {
        let number = self.next_number.replace(self.next_number.get() + 1);
        let upstream = Upstream {
            id: format!("i-{number}"),
            service: "s".into(),
            addr: SocketAddr::from(([10, 1, (number / 250) as u8, (number % 250) as u8], 80)),
            slots: 4,
            draining: false,
            warmup_remaining_ms: 0,
        };
        ListedUpstream {
            upstream,
            draining_since: None,
        }
    }

    /// Returns the upstreams that were certainly listed as draining by this time.
    pub(crate) fn draining_by(&self, at: Instant) -> Vec<String> {
        let draining_since = self.draining_since.borrow();
        draining_since
            .iter()
            .filter(|(_, since)| **since + MAX_LAG <= at)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Returns the list of a zone as the platform reports it, which may be outdated by up to [`MAX_LAG`].
    fn list(&self, zone: &str) -> Vec<Upstream> {
        let lag_ms = self.deployment.random_below(MAX_LAG.as_millis() as u64);
        let lag = Duration::from_millis(lag_ms);
        let as_of = Instant::now().checked_sub(lag).unwrap_or_else(Instant::now);
        let as_listed = |listed: &ListedUpstream| Upstream {
            draining: listed.draining_since.is_some_and(|since| since <= as_of),
            ..listed.upstream.clone()
        };
        self.zones
            .borrow()
            .get(zone)
            .map_or_else(Vec::new, |all| all.iter().map(as_listed).collect())
    }

    /// Repeatedly drains and replaces upstreams, and removes those that have drained.
    pub(crate) async fn change_upstreams(self: Rc<Self>) {
        loop {
            let pause_ms = 300 + self.deployment.random_below(2500);
            sleep(Duration::from_millis(pause_ms)).await;
            let zone = ZONES[self.deployment.random_below(ZONES.len() as u64) as usize];
            let now = Instant::now();
            let mut zones = self.zones.borrow_mut();
            let all = zones.entry(zone.to_string()).or_default();
            all.retain(|listed| {
                listed
                    .draining_since
                    .is_none_or(|since| now < since + DRAIN_TIME)
            });
            let index = self.deployment.random_below(all.len() as u64) as usize;
            if all[index].draining_since.is_none() && all.len() < 2 * UPSTREAMS_PER_ZONE {
                all[index].draining_since = Some(now);
                let id = all[index].upstream.id.clone();
                self.draining_since.borrow_mut().insert(id, now);
                all.push(self.new_upstream());
            }
        }
    }

    /// Repeatedly passes the lists of the zones that a machine's server manages to the server.
    pub(crate) async fn poll_zones(self: Rc<Self>, machine: usize) {
        loop {
            sleep(POLL_INTERVAL).await;
            let server = self.deployment.server(machine);
            let Some(server) = server.filter(|_| !self.deployment.is_paused(machine)) else {
                continue;
            };
            for zone in server.managed_zones() {
                server.set_platform_list(&zone, self.list(&zone));
            }
        }
    }
}
