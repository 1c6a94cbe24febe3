//! Applies a configuration: its routes and services, the limits for clients, and the settings of each service's
//! balancer.

use std::time::Duration;

use load_balancing::interface::{Effect, RequestClass, Settings as ServiceSettings, Span};
use protocol::config::{Config, RequestKind, Route};
use protocol::wire::FleetView;

use super::class_table::RouteKey;
use super::client_deadline::MaxDeadline;
use super::route_table::{ActiveRoute, Split};
use super::services::{Service, ServiceTable};
use super::{MAX_DURATION_MS, Routes, bounded_duration};
use crate::engine::EngineEvent;

/// The minimum interval of the periodic work of each service's balancer, which limits the CPU use: a process may have
/// only a fifth of a core.
const MIN_TICK: Duration = Duration::from_millis(25);
/// The number of attempts that no request exceeds; the limit of its route is at most as high.
const MAX_ATTEMPTS: usize = u32::MAX as usize;
/// The value of a late response. It is worth less than a timely one, but the requirements don't specify how much less.
const LATE_VALUE: f64 = 0.3;
/// The route's latency target divided by this is the margin by which a deadline has to be shorter than the longest one
/// for the request to count as sent before. Connecting takes less time than this margin.
const RESENT_TARGET_DIVISOR: u32 = 4;

impl Routes {
    /// Applies the configuration at this log index. [`Self::send_settings`] passes it to the engine.
    pub(super) fn apply_config(&self, index: u64, config: &Config) {
        tracing::info!(
            revision = config.revision,
            index,
            routes = config.routes.len(),
            services = config.services.len(),
            "configuration applied"
        );
        {
            let mut services = self.services.borrow_mut();
            services.update(config);
            let routes = config.routes.iter();
            self.route_table
                .replace(routes.map(|r| (r.host.as_str(), self.active_route(r, &mut services))));
        }
        let names = config.routes.iter().map(|r| r.name.as_str());
        self.metrics.retain_routes(names);
        let revision = i64::try_from(config.revision).unwrap_or(i64::MAX);
        self.metrics.configuration_revision.set(revision);
        let mut control_state = self.control_state.borrow_mut();
        (control_state.config_index, control_state.limits) = (index, config.limits);
        (self.on_limits)(&config.limits);
    }

    /// Returns the entry of a route for the route table, and activates its request class in each of its services.
    fn active_route(&self, route: &Route, services: &mut ServiceTable) -> ActiveRoute {
        let class = self.request_class(route);
        let key = RouteKey::of(route);
        let mut splits = Vec::new();
        for (name, weight) in route.weighted_services() {
            let Some(service) = services.index_of(name) else {
                continue;
            };
            let state = services.get_mut(service);
            splits.push(Split {
                service,
                class: state.classes.set(&key, &class),
                is_sharded: state.is_sharded,
                weight,
            });
        }
        ActiveRoute {
            prefix: route.path_prefix.clone(),
            deadline: bounded_duration(route.deadline_ms),
            splits,
            resent_margin: Duration::from_millis(route.target_ms) / RESENT_TARGET_DIVISOR,
            max_recent_deadline: MaxDeadline::default(),
            metrics: self.metrics.route(&route.name),
        }
    }

    /// Returns the request class of a route as the balancers of its services use it.
    fn request_class(&self, route: &Route) -> RequestClass {
        let span = |ms: u64| Span(ms.min(MAX_DURATION_MS) as i64 * 1000);
        let homes = &route.home_regions;
        RequestClass {
            value: 1.0 / f64::from(1 + route.priority.min(1000)),
            late_value: LATE_VALUE,
            effect: match route.kind {
                RequestKind::Idempotent => Effect::Safe,
                RequestKind::Mutating => Effect::Unsafe,
            },
            zones: (!homes.is_empty()).then(|| self.topology.zones_in(homes)),
            max_attempts: Some(route.max_attempts as usize),
            ..RequestClass::safe(span(route.target_ms), span(route.deadline_ms))
        }
    }

    /// Returns the settings of a service's balancer in a fleet of this size.
    fn service_settings(&self, service: &Service, fleet: FleetView) -> ServiceSettings {
        let classes = service.classes.classes();
        let longest_deadline = classes.iter().map(|c| c.deadline).max();
        let mut settings = ServiceSettings::basic(classes.iter().cloned());
        settings.balancers = fleet.balancers;
        settings.position = fleet.position;
        settings.zones = self.topology.zones.len() as u32;
        settings.zone = self.topology.own_zone;
        settings.zone_distances = self.topology.distances();
        settings.tick = Span(MIN_TICK.as_micros() as i64);
        settings.limits.max_attempts = MAX_ATTEMPTS;
        settings.limits.hedging = true;
        settings.limits.cancel = true;
        settings.limits.retry_after = true;
        settings.limits.max_retry_after = longest_deadline.unwrap_or(Span(0));
        settings.rules.slow_start_duration = Span(service.slow_start.as_micros() as i64);
        settings.rules.slow_start_rate_per_s = service.slow_start_rate_per_s;
        settings.rules.slow_start_credit_ttl = self.slow_start_credit_ttl(service);
        let retry_window_s = self.bounds.retry_window_s.clamp(0.0, 3600.0);
        settings.rules.retry_window = Span((retry_window_s * 1e6) as i64);
        settings.rules.retry_ratio = self.bounds.retry_ratio;
        settings.rules.retry_allowance = self.bounds.retry_slack;
        settings.prices.cross_zone = 1.0;
        settings
    }

    /// Returns how long unused credit of an upstream in slow start remains valid. Within one second, the fleet can send
    /// the credit earned in that second and in this period. Half of the allowed slack is kept for requests that arrive
    /// at the same time.
    fn slow_start_credit_ttl(&self, service: &Service) -> Span {
        let (excess, slack) = (self.bounds.warmup_excess, self.bounds.warmup_slack);
        let rate_per_s = service.slow_start_rate_per_s.max(0.1);
        let wait_s = (excess - 1.0).max(0.0) + slack / 2.0 / rate_per_s;
        Span((wait_s.min(60.0) * 1e6) as i64)
    }

    /// Sends the engine the settings of all services.
    pub(super) fn send_settings(&self) {
        let fleet = self.control_state.borrow().fleet.unwrap_or(FleetView {
            balancers: 1,
            position: 0,
        });
        for (index, service) in self.services.borrow().iter().enumerate() {
            let mut settings = self.service_settings(service, fleet);
            if settings.classes.is_empty() {
                // No route has used the service yet, but the settings need a class.
                let placeholder = RequestClass::safe(Span(1_000_000), Span(1_000_000));
                settings.classes.push(placeholder.into());
            }
            self.engine.send_event(EngineEvent::SettingsChanged {
                service: index,
                settings: Box::new(settings),
            });
        }
    }
}
