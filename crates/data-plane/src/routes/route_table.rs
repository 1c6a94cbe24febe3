//! The routes by host and prefix. Replaced whole with each configuration; a request that has its route keeps it.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::client_deadline::MaxDeadline;
use crate::metrics::RouteMetrics;

/// The golden ratio as a fraction of 2³²: steps of it spread evenly over the range, however many are taken.
const GOLDEN_RATIO_STEP: u32 = 0x9e37_79b9;

/// A route in force.
pub(super) struct ActiveRoute {
    pub(super) prefix: String,
    pub(super) deadline: Duration,
    pub(super) splits: Vec<Split>,
    /// A client whose deadline is this much shorter than the longest was elsewhere before.
    pub(super) resent_margin: Duration,
    pub(super) max_recent_deadline: MaxDeadline,
    pub(super) metrics: Rc<RouteMetrics>,
}

/// One of the services that share a route.
#[derive(Clone, Copy)]
pub(super) struct Split {
    /// Index in the service table.
    pub(super) service: usize,
    /// The route's class in that service.
    pub(super) class: usize,
    pub(super) weight: u32,
}

/// The routes in force.
#[derive(Default)]
pub(super) struct RouteTable {
    /// By host in lower case; for each the longest prefix first.
    routes_by_host: RefCell<FxHashMap<String, Vec<Rc<ActiveRoute>>>>,
    split_turn: Cell<u32>,
}

impl RouteTable {
    /// Puts these routes, each with its host, in the place of all that were in force.
    pub(super) fn replace<'a>(&self, routes: impl Iterator<Item = (&'a str, ActiveRoute)>) {
        let mut by_host: FxHashMap<String, Vec<Rc<ActiveRoute>>> = FxHashMap::default();
        for (host, route) in routes {
            let of_host = by_host.entry(host.to_ascii_lowercase()).or_default();
            of_host.push(Rc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| Reverse(r.prefix.len()));
        }
        self.routes_by_host.replace(by_host);
    }

    /// The route with the longest prefix of this path, for a host with or without a port.
    pub(super) fn find(&self, host: &str, path: &str) -> Option<Rc<ActiveRoute>> {
        let host = without_port(host);
        let by_host = self.routes_by_host.borrow();
        let routes = match by_host.get(host) {
            Some(routes) => routes,
            // Only a host that isn't in lower case costs an allocation.
            None => by_host.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|r| path.starts_with(&r.prefix)).cloned()
    }

    /// Which of a route's services takes the next request: by weight, evenly spread; none without a weight.
    pub(super) fn next_split(&self, route: &ActiveRoute) -> Option<Split> {
        let total: u64 = route.splits.iter().map(|s| u64::from(s.weight)).sum();
        if total == 0 {
            return None;
        }
        let turn = self.split_turn.get();
        self.split_turn.set(turn.wrapping_add(GOLDEN_RATIO_STEP));
        // Weights may add up to more than one of them can be.
        let mut at = ((u128::from(turn) * u128::from(total)) >> 32) as u64;
        for split in &route.splits {
            if at < u64::from(split.weight) {
                return Some(*split);
            }
            at -= u64::from(split.weight);
        }
        None
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}
