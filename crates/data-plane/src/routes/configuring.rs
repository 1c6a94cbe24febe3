//! Takes a configuration in: the routes by host, and the settings of each service's decision module.

use super::*;

impl Routes {
    pub(super) fn configure(&self, index: u64, config: &Config) {
        tracing::info!(
            rev = config.revision,
            index,
            routes = config.routes.len(),
            "in force"
        );
        {
            let mut services = self.services.borrow_mut();
            for s in &config.services {
                let warmup = Duration::from_secs_f64(s.warmup_s.clamp(0.0, 86_400.0));
                let (warmup_per_s, sharded) = (s.warmup_per_s, s.sharded);
                if let Some(known) = services.iter_mut().find(|k| k.name == s.name) {
                    (known.warmup, known.warmup_per_s) = (warmup, warmup_per_s);
                    known.sharded = sharded;
                    continue;
                }
                services.push(Service {
                    name: s.name.clone(),
                    classes: Vec::new(),
                    class_of: FxHashMap::default(),
                    warmup,
                    warmup_per_s,
                    sharded,
                });
            }
            let known = services.iter_mut().flat_map(|s| &mut s.classes);
            known.for_each(|class| class.retired = true);
            let mut by_host: FxHashMap<String, Vec<Rc<Open>>> = FxHashMap::default();
            for route in &config.routes {
                let class = self.class(route);
                let mut parts = Vec::new();
                for (name, weight) in route.weighted_services() {
                    let Some(s) = services.iter().position(|s| s.name == name) else {
                        continue;
                    };
                    parts.push((s, services[s].take_class(&route.name, &class), weight));
                }
                let deadline = Duration::from_millis(route.deadline_ms.min(LONGEST_MS));
                let lost = Duration::from_millis(route.target_ms) / LOST_OF_TARGET;
                let (prefix, longest) = (route.path_prefix.clone(), Longest::default());
                let counted = self.metrics.route(&route.name);
                let open = Open {
                    prefix,
                    deadline,
                    parts,
                    lost,
                    longest,
                    counted,
                };
                by_host
                    .entry(route.host.to_ascii_lowercase())
                    .or_default()
                    .push(Rc::new(open));
            }
            for routes in by_host.values_mut() {
                routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
            }
            *self.by_host.borrow_mut() = by_host;
        }
        self.metrics
            .retain_routes(config.routes.iter().map(|r| r.name.as_str()));
        self.metrics
            .version
            .set(i64::try_from(config.revision).unwrap_or(i64::MAX));
        let mut told = self.told.borrow_mut();
        (told.config_index, told.limits) = (index, config.limits);
        (self.limited)(&config.limits);
    }

    pub(super) fn class(&self, route: &Route) -> d::RequestClass {
        let ms = |ms: u64| Span(ms.min(LONGEST_MS) as i64 * 1000);
        let home = |r: &String| route.home_regions.contains(r);
        let zones = (!route.home_regions.is_empty()).then(|| {
            let homes = self.regions.iter().enumerate().filter(|(_, r)| home(r));
            homes.map(|(z, _)| z as u32).collect()
        });
        d::RequestClass {
            value: 1.0 / f64::from(1 + route.priority.min(1000)),
            late_value: LATE_WORTH,
            effect: match route.kind {
                RequestKind::Idempotent => d::Effect::Safe,
                RequestKind::Mutating => d::Effect::Unsafe,
            },
            zones,
            max_attempts: Some(route.max_attempts as usize),
            ..d::RequestClass::safe(ms(route.target_ms), ms(route.deadline_ms))
        }
    }

    pub(super) fn settings(&self, service: &Service, bank: FleetView) -> d::Settings {
        let classes = service.classes.clone();
        let tries = classes
            .iter()
            .filter_map(|c| c.max_attempts)
            .max()
            .unwrap_or(1);
        let longest = classes.iter().map(|c| c.deadline).max().unwrap_or(Span(0));
        let mut settings = d::Settings::basic(classes);
        settings.balancers = bank.balancers;
        settings.position = bank.position;
        settings.zones = self.zones.len() as u32;
        settings.zone = self.zone;
        let distance = |region: &String| i64::from(*region != self.region);
        settings.zone_distances = self.regions.iter().map(|r| Span(distance(r))).collect();
        settings.tick = Span(TICK.as_micros() as i64);
        settings.limits.max_attempts = tries;
        settings.limits.hedging = true;
        settings.limits.cancel = true;
        settings.limits.retry_after = true;
        settings.limits.max_retry_after = longest;
        settings.rules.slow_start_duration = Span(service.warmup.as_micros() as i64);
        settings.rules.slow_start_rate_per_s = service.warmup_per_s;
        // In one second a bank sends what it earns in that and in the wait. Half of the slack is left for
        // sends that arrive together.
        let (excess, slack) = (self.bounds.warmup_excess, self.bounds.warmup_slack);
        let wait = (excess - 1.0).max(0.0) + slack / 2.0 / service.warmup_per_s.max(0.1);
        settings.rules.slow_start_credit_ttl = Span((wait.min(60.0) * 1e6) as i64);
        settings.rules.retry_window =
            Span((self.bounds.retry_window_s.clamp(0.0, 3600.0) * 1e6) as i64);
        settings.rules.retry_ratio = self.bounds.retry_ratio;
        settings.rules.retry_allowance = self.bounds.retry_slack;
        settings.prices.cross_zone = 1.0;
        settings
    }

    /// Tells the engine what holds for all services by now.
    pub(super) fn tell_settings(&self) {
        let bank = self.told.borrow().bank.unwrap_or(FleetView {
            balancers: 1,
            position: 0,
        });
        for (i, service) in self.services.borrow().iter().enumerate() {
            let mut settings = self.settings(service, bank);
            if settings.classes.is_empty() {
                // No route yet; the index is taken all the same.
                let any = d::RequestClass::safe(Span(1_000_000), Span(1_000_000));
                settings.classes.push(any);
            }
            self.engine.send_event(EngineEvent::SettingsChanged {
                service: i,
                settings: Box::new(settings),
            });
        }
    }
}
