//! The services and their request classes. Indexes are never reused during the life of the process: the engine
//! identifies services and classes by them, and a response may arrive after the configuration has been replaced.

use std::time::Duration;

use load_balancing::interface::RequestClass;
use protocol::config;
use rustc_hash::FxHashMap;

/// The maximum duration of a service's slow start, in seconds: one day.
const MAX_SLOW_START_S: f64 = 86_400.0;

/// A service with one request class per route.
pub(super) struct Service {
    pub(super) name: String,
    /// A class for each route that the service ever had; retired while the route is not active.
    pub(super) classes: Vec<RequestClass>,
    class_by_route: FxHashMap<String, usize>,
    pub(super) slow_start: Duration,
    pub(super) slow_start_rate_per_s: f64,
    /// Whether the service is sharded: each of its keys is owned by certain upstreams.
    pub(super) is_sharded: bool,
}

impl Service {
    fn new(name: String) -> Self {
        Self {
            name,
            classes: Vec::new(),
            class_by_route: FxHashMap::default(),
            slow_start: Duration::ZERO,
            slow_start_rate_per_s: 0.0,
            is_sharded: false,
        }
    }

    /// Sets the class of a route and returns its index.
    pub(super) fn set_class(&mut self, route: &str, class: &RequestClass) -> usize {
        if let Some(&known) = self.class_by_route.get(route) {
            self.classes[known].clone_from(class);
            return known;
        }
        let index = self.classes.len();
        self.classes.push(class.clone());
        self.class_by_route.insert(route.to_string(), index);
        index
    }
}

/// All services that were ever configured, by index.
#[derive(Default)]
pub(super) struct ServiceTable(Vec<Service>);

impl ServiceTable {
    /// Applies the services of a configuration. Services that it does not contain are kept. All classes are retired
    /// until [`Service::set_class`] sets them again.
    pub(super) fn update(&mut self, services: &[config::Service]) {
        for settings in services {
            let index = self.index_of(&settings.name).unwrap_or_else(|| {
                self.0.push(Service::new(settings.name.clone()));
                self.0.len() - 1
            });
            let service = &mut self.0[index];
            let slow_start_s = settings.warmup_s.clamp(0.0, MAX_SLOW_START_S);
            service.slow_start = Duration::from_secs_f64(slow_start_s);
            service.slow_start_rate_per_s = settings.warmup_per_s;
            service.is_sharded = settings.sharded;
        }
        for service in &mut self.0 {
            for class in &mut service.classes {
                class.retired = true;
            }
        }
    }

    pub(super) fn index_of(&self, name: &str) -> Option<usize> {
        self.0.iter().position(|s| s.name == name)
    }

    pub(super) fn by_name(&self, name: &str) -> Option<&Service> {
        self.0.iter().find(|s| s.name == name)
    }

    /// Returns the service at an index of this table.
    pub(super) fn get(&self, index: usize) -> &Service {
        &self.0[index]
    }

    /// Returns the service at an index of this table.
    pub(super) fn get_mut(&mut self, index: usize) -> &mut Service {
        &mut self.0[index]
    }

    /// Iterates over all services in the order of their indexes.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Service> {
        self.0.iter()
    }

    pub(super) fn len(&self) -> usize {
        self.0.len()
    }
}
