//! The services and their request classes. The index of a service is never reused during the life of the process: the
//! engine identifies services by it, and a response may arrive after the configuration has been replaced.

use std::time::Duration;

use protocol::config;
use rustc_hash::FxHashSet;

use super::class_table::{ClassTable, RouteKey};

/// The maximum duration of a service's slow start, in seconds: one day.
const MAX_SLOW_START_S: f64 = 86_400.0;

/// A service with one request class per route.
pub(super) struct Service {
    pub(super) name: String,
    pub(super) classes: ClassTable,
    pub(super) slow_start: Duration,
    pub(super) slow_start_rate_per_s: f64,
    /// Whether the service is sharded: each of its keys is owned by certain upstreams.
    pub(super) is_sharded: bool,
}

impl Service {
    fn new(name: String) -> Self {
        Self {
            name,
            classes: ClassTable::default(),
            slow_start: Duration::ZERO,
            slow_start_rate_per_s: 0.0,
            is_sharded: false,
        }
    }
}

/// All services that were ever configured, by index.
#[derive(Default)]
pub(super) struct ServiceTable(Vec<Service>);

impl ServiceTable {
    /// Applies the services of a configuration. Services that it does not contain are kept. The classes of routes that
    /// a service no longer has are retired.
    pub(super) fn update(&mut self, config: &config::Config) {
        for settings in &config.services {
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
        let mut active = vec![FxHashSet::default(); self.0.len()];
        for route in &config.routes {
            let services = route.weighted_services().into_iter();
            for service in services.filter_map(|(name, _)| self.index_of(name)) {
                active[service].insert(RouteKey::of(route));
            }
        }
        for (service, active) in self.0.iter_mut().zip(&active) {
            service.classes.retire_all_but(active);
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
