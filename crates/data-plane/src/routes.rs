//! The routes in force: which service a request goes to and as what class, and what the engine has to know for that.
//!
//! Modules in the order in which a request meets them, then in that of a watch update:
//!
//! - `request`: the way of a request, from its head to its response.
//! - `route_table`: the route by host and longest prefix, and the service by weight.
//! - `client_deadline`: how much time a client gives, and whether it has been elsewhere before.
//! - `watch_updates`: what the control plane sent, by version, and what is requested of it.
//! - `configuration`: a configuration comes into force; the settings of each service.
//! - `services`: services and their request classes, by indexes that stay.
//! - `membership`: upstreams and key ranges as the engine is told of them.
//!
//! Owns what a balancer holds of the replicated state, a cache of the control plane's; nothing of it is stored. It is
//! changed by watch updates alone.
//!
//! **Promises.** A configuration is in force whole or not at all, and never an older one than before. Each request that
//! has a route is counted with its outcome.
//!
//! **Neighbours down.** Without the control plane all stays as last received. A balancer that has received nothing yet
//! refuses requests with advice to come again.

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
use crate::body::BodyBudget;
use crate::change_notifier::ChangeNotifier;
use crate::engine::EngineHandle;
use crate::metrics::Metrics;

/// The bodies of requests, while they are read or held, may take this part of the memory together.
const BODY_MEMORY_DIVISOR: usize = 4;

/// No time in a configuration counts as longer than a day: a clock to which a longer one is added may overflow.
const MAX_DURATION_MS: u64 = 24 * 60 * 60 * 1000;

/// Zones and regions of the system, and where this balancer stands among them. Fixed for the life of the process.
struct Topology {
    /// Zone names in order: the engine knows a zone by its place here.
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

    /// The engine's number of a zone; one that is not in the settings comes behind all that are.
    fn zone_number(&self, zone: &str) -> u32 {
        let known = self.zones.iter().position(|z| z == zone);
        known.unwrap_or(self.zones.len()) as u32
    }

    /// The numbers of the zones in these regions.
    fn zones_in(&self, regions: &[String]) -> Vec<u32> {
        let zones = self.regions.iter().enumerate();
        zones
            .filter(|(_, region)| regions.contains(region))
            .map(|(number, _)| number as u32)
            .collect()
    }

    /// The distance of each zone: 0 within the own region, 1 beyond it.
    fn distances(&self) -> Vec<Span> {
        let distance = |region: &String| Span(i64::from(*region != self.own_region));
        self.regions.iter().map(distance).collect()
    }
}

/// The routes in force, and the handler of clients' requests.
pub struct Routes {
    engine: EngineHandle,
    topology: Topology,
    /// Figures of the users' rules.
    bounds: Bounds,
    body_budget: BodyBudget,
    control_state: RefCell<ControlState>,
    route_table: RouteTable,
    services: RefCell<ServiceTable>,
    membership: Membership,
    draining: Cell<bool>,
    /// Wakes the sessions with the control plane when there is something new to send.
    changes: ChangeNotifier,
    metrics: Metrics,
    /// Holds the listener to the limits of the configuration.
    on_limits: Box<dyn Fn(&RequestLimits)>,
}

impl Routes {
    /// No routes yet. `on_limits` is called with the limits of each configuration that comes into force.
    pub fn new(
        settings: &Settings,
        engine: EngineHandle,
        on_limits: Box<dyn Fn(&RequestLimits)>,
    ) -> Rc<Self> {
        let metrics = Metrics::new(engine.abandoned_attempts());
        let memory_bytes = settings.limits.mem_mb << 20;
        Rc::new(Self {
            engine,
            topology: Topology::new(settings),
            bounds: settings.bounds.clone(),
            body_budget: BodyBudget::new(memory_bytes / BODY_MEMORY_DIVISOR),
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

    /// Whether it can serve: it has a configuration and somewhere to send to, and is not about to end.
    pub fn is_ready(&self) -> bool {
        !self.draining.get() && self.control_state.borrow().has_config() && self.engine.is_ready()
    }

    /// What was counted, in the OpenMetrics text form.
    pub fn metrics_text(&self) -> String {
        self.metrics.upstreams.set(self.membership.len() as i64);
        let fleet = self.control_state.borrow().fleet;
        let balancers = fleet.map_or(0, |fleet| fleet.balancers);
        self.metrics.balancers.set(i64::from(balancers));
        self.metrics.text()
    }

    /// The process is about to end: from now on the control plane sends clients elsewhere.
    pub fn start_draining(&self) {
        self.draining.set(true);
        self.changes.notify();
    }
}

/// A time of a configuration, in milliseconds, of which no more than a day counts.
fn bounded_duration(ms: u64) -> Duration {
    Duration::from_millis(ms.min(MAX_DURATION_MS))
}

#[cfg(test)]
mod tests;
