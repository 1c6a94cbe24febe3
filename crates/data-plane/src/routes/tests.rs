//! Which route and service a request goes to, under every configuration that comes; and what time its client has.

use std::sync::Arc;

use protocol::compact_config::CompactConfig;
use protocol::config::{Config, RequestKind, Route, Service, TrafficSplit};
use protocol::wire::{Indexed, WatchUpdate};
use tokio::time::Instant;

use super::client_deadline::MaxDeadline;
use super::route_table::Split;
use super::*;
use crate::control_client::UpdateHandler;
use crate::engine::{Engine, EngineConfig};
use crate::runtime::upstream_protocol;
use crate::upstream_pool::{PoolConfig, UpstreamPool};

#[test]
fn max_deadline_is_that_of_the_last_two_windows() {
    let (max_deadline, start) = (MaxDeadline::default(), Instant::now());
    let seen = |after_s: u64, told_ms: u64| {
        let now = start + Duration::from_secs(after_s);
        max_deadline
            .observe(now, Duration::from_millis(told_ms))
            .as_millis()
    };
    assert_eq!(seen(0, 4000), 4000);
    assert_eq!(seen(1, 12_000), 12_000);
    assert_eq!(seen(2, 10_500), 12_000, "it came before");
    assert_eq!(seen(31, 4000), 12_000, "of the window before");
    assert_eq!(seen(62, 4000), 4000, "clients have less time by now");
}

/// Routes without a connection anywhere.
fn routes() -> Rc<Routes> {
    let text = r#"{"node": "n", "ip": "127.0.0.1", "zone": "a", "region": "r", "zone_map": {"a": "r"},
        "listen": {}, "port_range": [7000, 7010]}"#;
    let settings =
        Settings::parse(std::path::Path::new("boot.json"), text.as_bytes()).expect("good");
    let pool = UpstreamPool::new(PoolConfig {
        max_connections: 1,
        keepalive: Duration::from_secs(5),
        connect_timeout: Duration::from_millis(250),
        max_response_bytes: 1 << 20,
        protocol: upstream_protocol(),
    });
    let config = EngineConfig {
        seed: 1,
        headroom: Duration::ZERO,
        drain_grace: Duration::ZERO,
        timer_granularity: Duration::from_millis(1),
        subscribe: None,
    };
    let (_, handle) = Engine::new(config, pool);
    Routes::new(&settings, handle, Box::new(|_| {}))
}

/// A configuration drawn by lot: services and routes come and go, and come again under their names; routes move
/// between services, share two, and are renamed where they stand.
fn random_config(rng: &mut oorandom::Rand64, rev: u64) -> Config {
    let mut below = |most: u64| rng.rand_range(0..most) as usize;
    let service = |n: usize| Service {
        name: format!("s{n}"),
        ..Service::default()
    };
    let services: Vec<_> = (0..1 + below(6)).map(service).collect();
    let mut routes = Vec::new();
    for place in (0..40).filter(|_| below(3) > 0).collect::<Vec<_>>() {
        let mut part = || TrafficSplit {
            service: services[below(services.len() as u64)].name.clone(),
            weight: 1,
        };
        let (one, other) = (part(), part());
        let shared = one.service != other.service && below(3) == 0;
        routes.push(Route {
            name: format!("r{}-{place}", below(3)),
            host: format!("Host{}.example", place % 4),
            // One prefix is the beginning of another.
            path_prefix: format!("/{}", "p/".repeat(1 + place / 4)),
            kind: RequestKind::Idempotent,
            deadline_ms: 1 + place as u64,
            target_ms: 1,
            priority: 0,
            service: (!shared).then(|| one.service.clone()),
            split: shared.then(|| vec![one, other]),
            max_attempts: 1,
            home_regions: Vec::new(),
        });
    }
    Config {
        revision: rev,
        routes,
        services,
        limits: RequestLimits::default(),
    }
}

/// The route for a path, and its services, as the configuration says.
fn expected<'a>(config: &'a Config, host: &str, path: &str) -> Option<(u64, Vec<&'a str>)> {
    let fits = |r: &&Route| r.host.eq_ignore_ascii_case(host) && path.starts_with(&r.path_prefix);
    let route = config
        .routes
        .iter()
        .filter(fits)
        .max_by_key(|r| r.path_prefix.len())?;
    Some((
        route.deadline_ms,
        route
            .weighted_services()
            .into_iter()
            .map(|(name, _)| name)
            .collect(),
    ))
}

#[tokio::test]
async fn configuration_is_in_force_whole_whatever_was_before_it() {
    let test = async {
        let (routes, mut rng) = (routes(), oorandom::Rand64::new(22));
        let mut current = Config::default();
        for round in 1..=300 {
            // At times one comes late that is older than what is in force.
            let late = round > 5 && rng.rand_range(0..4) == 0;
            let config = random_config(&mut rng, round);
            let compact = Arc::new(CompactConfig::from_config(&config));
            let index = if late { round - 5 } else { 10 * round };
            routes.take_configuration(index, compact);
            if !late {
                current = config;
            }
            let in_force = |s: &services::Service| s.classes.iter().filter(|c| !c.retired).count();
            let parts: usize = current
                .routes
                .iter()
                .map(|r| r.weighted_services().len())
                .sum();
            let classes: usize = routes.services.borrow().iter().map(in_force).sum();
            assert_eq!(
                classes, parts,
                "round {round}: those of its routes and no others"
            );
            for place in 0..44 {
                let (host, path) = (format!("hOST{}.example:80", place % 4), "/p/".to_string());
                let path = path + &"p/".repeat(place / 4) + "file";
                let found = routes.route_table.find(&host, &path);
                let services = routes.services.borrow();
                let parts = found.as_ref().map(|route| {
                    let name = |split: &Split| {
                        let service = services.get(split.service);
                        assert!(!service.classes[split.class].retired, "a class in force");
                        service.name.as_str()
                    };
                    let names = route.splits.iter().map(name).collect();
                    (route.deadline.as_millis() as u64, names)
                });
                let host = host.trim_end_matches(":80");
                assert_eq!(
                    parts,
                    expected(&current, host, &path),
                    "round {round}, {host}{path}"
                );
            }
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

impl Routes {
    /// Takes in what a session brings.
    fn take_configuration(&self, index: u64, config: Arc<CompactConfig>) {
        let update = WatchUpdate {
            config: Some(Indexed {
                index,
                value: config,
            }),
            ..WatchUpdate::default()
        };
        UpdateHandler::handle_update(self, &update);
    }
}
