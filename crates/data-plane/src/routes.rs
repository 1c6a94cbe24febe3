//! Routing: determines the service and the request class of each request, and keeps the engine up to date with the
//! configuration.
//!
//! Submodules, first in the order in which they process a request, then in the order in which they process an update:
//!
//! - `request`: processes a request, from its head to its response.
//! - `route_table`: finds the route by host and longest prefix, and the service by weight.
//! - `client_deadline`: determines the client's deadline and whether the client has probably sent the request before.
//! - `watch_updates`: the state received from the control plane, with its versions.
//! - `configuration`: applies a configuration and derives the settings of each service.
//! - `services`: services, with stable indexes, and `class_table`: their request classes.
//! - `membership`: sends upstreams and key ranges to the engine.
//!
//! **State.** The balancer's copy of the replicated state. It is kept only in memory and changed only by watch updates.
//!
//! **Guarantees.** A configuration is applied completely or not at all, and is never replaced by an older one. Each
//! request that has a route is counted with its outcome.
//!
//! **Failures.** Without the control plane, the state stays as last received. A balancer that has received nothing yet
//! refuses requests with a `Retry-After`.

mod class_table;
mod client_deadline;
mod configuration;
mod membership;
mod request;
mod route_table;
mod services;
mod watch_updates;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use load_balancing::interface::Span;
use protocol::config::RequestLimits;
use protocol::settings::{Bounds, Settings};

use self::membership::Membership;
use self::route_table::RouteTable;
use self::services::ServiceTable;
use self::watch_updates::ControlState;
use crate::change_notifier::ChangeNotifier;
use crate::engine::EngineHandle;
use crate::metrics::Metrics;
use crate::request_budget::RequestMemoryLimits;
use crate::request_memory::RequestMemory;

/// The maximum duration in a configuration, one day; longer ones are reduced to it. Adding a longer duration to a clock
/// might overflow.
const MAX_DURATION_MS: u64 = 24 * 60 * 60 * 1000;

/// The zones and regions of the system, and the location of this balancer. Fixed for the life of the process.
struct Topology {
    /// Zone names in order; the engine identifies a zone by its index here.
    zones: Vec<String>,
    /// The region of each zone, in the same order.
    regions: Vec<String>,
    own_zone: u32,
    own_region: String,
}

impl Topology {
    fn new(settings: &Settings) -> Self {
        let zones: Vec<String> = settings.zone_map.keys().cloned().collect();
        let own_zone = zones.iter().position(|z| *z == settings.zone).unwrap_or(0);
        Self {
            zones,
            regions: settings.zone_map.values().cloned().collect(),
            own_zone: own_zone as u32,
            own_region: settings.region.clone(),
        }
    }

    /// Returns the number by which the engine identifies a zone. All zones that are not in the settings share the
    /// number after the last one.
    fn zone_number(&self, zone: &str) -> u32 {
        let known = self.zones.iter().position(|z| z == zone);
        known.unwrap_or(self.zones.len()) as u32
    }

    /// Returns the numbers of the zones in these regions.
    fn zones_in(&self, regions: &[String]) -> Vec<u32> {
        let zones = self.regions.iter().enumerate();
        zones
            .filter(|(_, region)| regions.contains(region))
            .map(|(number, _)| number as u32)
            .collect()
    }

    /// Returns the distance of each zone: 0 in this balancer's region, 1 in any other.
    fn distances(&self) -> Vec<Span> {
        let distance = |region: &String| Span(i64::from(*region != self.own_region));
        self.regions.iter().map(distance).collect()
    }
}

/// The active routes; handles the requests of clients.
pub struct Routes {
    engine: EngineHandle,
    topology: Topology,
    /// The limits that the settings prescribe, such as the one on retries.
    bounds: Bounds,
    request_memory: RequestMemory,
    control_state: RefCell<ControlState>,
    route_table: RouteTable,
    services: RefCell<ServiceTable>,
    membership: Membership,
    draining: Cell<bool>,
    /// Wakes the sessions with the control plane when the watch request has changed.
    changes: ChangeNotifier,
    metrics: Metrics,
    /// Applies the limits of the configuration to the listener.
    on_limits: Box<dyn Fn(&RequestLimits)>,
}

impl Routes {
    /// Creates an empty set of routes. `on_limits` is called with the limits of each configuration that is applied.
    pub fn new(
        settings: &Settings,
        engine: EngineHandle,
        on_limits: Box<dyn Fn(&RequestLimits)>,
    ) -> Rc<Self> {
        let memory_limits = RequestMemoryLimits::of_data_plane(settings.limits.mem_mb << 20);
        let request_memory = RequestMemory::new(memory_limits);
        let metrics = Metrics::new(engine.abandoned_attempts(), &request_memory);
        Rc::new(Self {
            engine,
            topology: Topology::new(settings),
            bounds: settings.bounds.clone(),
            request_memory,
            control_state: RefCell::default(),
            route_table: RouteTable::default(),
            services: RefCell::default(),
            membership: Membership::default(),
            draining: Cell::new(false),
            changes: ChangeNotifier::default(),
            metrics,
            on_limits,
        })
    }

    /// Returns whether the balancer can serve: it has a configuration, the engine is ready, and it is not draining.
    pub fn is_ready(&self) -> bool {
        !self.draining.get() && self.control_state.borrow().has_config() && self.engine.is_ready()
    }

    /// Returns the metrics in the OpenMetrics text format.
    pub fn metrics_text(&self) -> String {
        self.metrics.upstreams.set(self.membership.len() as i64);
        let fleet = self.control_state.borrow().fleet;
        let balancers = fleet.map_or(0, |fleet| fleet.balancers);
        self.metrics.balancers.set(i64::from(balancers));
        self.metrics.text()
    }

    /// Reports to the control plane that the process is shutting down, so that it directs clients to other balancers.
    pub fn start_draining(&self) {
        self.draining.set(true);
        self.changes.notify();
    }
}

/// Converts a duration of a configuration from milliseconds; at most one day.
fn bounded_duration(ms: u64) -> Duration {
    Duration::from_millis(ms.min(MAX_DURATION_MS))
}

#[cfg(test)]
mod tests;
