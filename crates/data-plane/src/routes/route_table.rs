//! The routes by host and prefix. Each configuration replaces the whole table; requests that already have a route keep
//! it.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::rc::Rc;
use std::time::Duration;

use rustc_hash::FxHashMap;

use super::class_table::IndexedClass;
use super::client_deadline::MaxDeadline;
use crate::metrics::RouteMetrics;

/// The golden ratio as a fraction of 2³². Multiples of it, modulo 2³², are evenly distributed for any number of steps.
const GOLDEN_RATIO_STEP: u32 = 0x9e37_79b9;

/// A route of the active configuration.
pub(super) struct ActiveRoute {
    pub(super) prefix: String,
    pub(super) deadline: Duration,
    pub(super) splits: Vec<Split>,
    /// A request whose deadline is shorter than the longest one by more than this has probably been sent before.
    pub(super) resent_margin: Duration,
    pub(super) max_recent_deadline: MaxDeadline,
    pub(super) metrics: Rc<RouteMetrics>,
}

/// One of the services that share a route.
pub(super) struct Split {
    /// The index in the service table.
    pub(super) service: usize,
    /// The route's class in that service, as of this configuration.
    pub(super) class: IndexedClass,
    /// Whether the service is sharded in this configuration.
    pub(super) is_sharded: bool,
    pub(super) weight: u32,
}

/// The routes of the active configuration.
#[derive(Default)]
pub(super) struct RouteTable {
    /// The routes by lower-case host, longest prefix first.
    routes_by_host: RefCell<FxHashMap<String, Vec<Rc<ActiveRoute>>>>,
    /// The position of the next request in the sequence that distributes requests over splits.
    split_position: Cell<u32>,
}

impl RouteTable {
    /// Replaces all routes by these, each given with its host.
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

    /// Returns the route of this host with the longest prefix of `path`. Ignores a port in `host`.
    pub(super) fn find(&self, host: &str, path: &str) -> Option<Rc<ActiveRoute>> {
        let host = without_port(host);
        let by_host = self.routes_by_host.borrow();
        let routes = match by_host.get(host) {
            Some(routes) => routes,
            // Allocates only for hosts that are not in lower case, or unknown.
            None => by_host.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|r| path.starts_with(&r.prefix)).cloned()
    }

    /// Selects the service of a route for the next request. Requests are distributed evenly according to the weights.
    /// Returns `None` if all weights are 0.
    pub(super) fn next_split<'a>(&self, route: &'a ActiveRoute) -> Option<&'a Split> {
        let total: u64 = route.splits.iter().map(|s| u64::from(s.weight)).sum();
        if total == 0 {
            return None;
        }
        let position = self.split_position.get();
        self.split_position
            .set(position.wrapping_add(GOLDEN_RATIO_STEP));
        // The sum of the weights may exceed 32 bits.
        let mut at = ((u128::from(position) * u128::from(total)) >> 32) as u64;
        for split in &route.splits {
            if at < u64::from(split.weight) {
                return Some(split);
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
