//! Routing under a sequence of configurations, and the deadlines of clients.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Weak};

use load_balancing::interface::{Effect, RequestClass};
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
    let observe = |after_s: u64, deadline_ms: u64| {
        let now = start + Duration::from_secs(after_s);
        max_deadline
            .observe(now, Duration::from_millis(deadline_ms))
            .as_millis()
    };
    assert_eq!(observe(0, 4000), 4000);
    assert_eq!(observe(1, 12_000), 12_000);
    assert_eq!(observe(2, 10_500), 12_000, "from the current window");
    assert_eq!(observe(31, 4000), 12_000, "from the previous window");
    assert_eq!(observe(62, 4000), 4000, "the longest has expired");
}

/// Returns routes without any connection to upstreams.
fn routes() -> Rc<Routes> {
    let text = r#"{"node": "n", "ip": "127.0.0.1", "zone": "a", "region": "r", "zone_map": {"a": "r"},
        "listen": {}, "port_range": [7000, 7010]}"#;
    let settings =
        Settings::parse(std::path::Path::new("boot.json"), text.as_bytes()).expect("valid");
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

/// Returns a random configuration. Over several configurations, services and routes are removed and added again under
/// the same name, and routes move between services, are split over two, and are renamed.
fn random_config(rng: &mut oorandom::Rand64, rev: u64) -> Config {
    let mut below = |limit: u64| rng.rand_range(0..limit) as usize;
    let service = |n: usize| Service {
        name: format!("s{n}"),
        ..Service::default()
    };
    let services: Vec<_> = (0..1 + below(6)).map(service).collect();
    let mut routes = Vec::new();
    for place in (0..40).filter(|_| below(3) > 0).collect::<Vec<_>>() {
        let mut split = || TrafficSplit {
            service: services[below(services.len() as u64)].name.clone(),
            weight: 1,
        };
        let (one, other) = (split(), split());
        let is_split = one.service != other.service && below(3) == 0;
        routes.push(Route {
            name: format!("r{}-{place}", below(3)),
            host: format!("Host{}.example", place % 4),
            // Some prefixes are prefixes of others.
            path_prefix: format!("/{}", "p/".repeat(1 + place / 4)),
            kind: RequestKind::Idempotent,
            deadline_ms: 1 + place as u64,
            target_ms: 1,
            priority: 0,
            service: (!is_split).then(|| one.service.clone()),
            split: is_split.then(|| vec![one, other]),
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

/// Returns the deadline of the expected route and its services, computed directly from the configuration.
fn expected<'a>(config: &'a Config, host: &str, path: &str) -> Option<(u64, Vec<&'a str>)> {
    let matches =
        |r: &&Route| r.host.eq_ignore_ascii_case(host) && path.starts_with(&r.path_prefix);
    let route = config
        .routes
        .iter()
        .filter(matches)
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
async fn configuration_replaces_any_previous_one_completely() {
    let test = async {
        let (routes, mut rng) = (routes(), oorandom::Rand64::new(22));
        let mut current = Config::default();
        let mut most_active = BTreeMap::new();
        for round in 1..=300 {
            // Some configurations arrive late, after a newer one, and must be ignored.
            let late = round > 5 && rng.rand_range(0..4) == 0;
            let config = random_config(&mut rng, round);
            let compact = Arc::new(CompactConfig::from_config(&config));
            let index = if late { round - 5 } else { 10 * round };
            routes.receive_configuration(index, compact);
            if !late {
                current = config;
            }
            let classes = |s: &services::Service| s.classes.classes().to_vec();
            let active = |s: &services::Service| {
                let classes = s.classes.classes().iter();
                classes.filter(|class| !class.retired).count()
            };
            for service in routes.services.borrow().iter() {
                let most: &mut usize = most_active.entry(service.name.clone()).or_default();
                *most = active(service).max(*most);
                let is_flat = classes(service).len() == *most;
                assert!(is_flat, "round {round}: an index of a gone route is free");
            }
            let splits: usize = current
                .routes
                .iter()
                .map(|r| r.weighted_services().len())
                .sum();
            let active: usize = routes.services.borrow().iter().map(active).sum();
            assert_eq!(
                active, splits,
                "round {round}: one active class per split and no others"
            );
            for place in 0..44 {
                let (host, path) = (format!("hOST{}.example:80", place % 4), "/p/".to_string());
                let path = path + &"p/".repeat(place / 4) + "file";
                let found = routes.route_table.find(&host, &path);
                let services = routes.services.borrow();
                let actual = found.as_ref().map(|route| {
                    let name = |split: &Split| {
                        let service = services.get(split.service);
                        let class = &service.classes.classes()[split.class.index];
                        assert!(!class.retired, "the class is active");
                        assert!(Arc::ptr_eq(class, &split.class.class));
                        service.name.as_str()
                    };
                    let names = route.splits.iter().map(name).collect();
                    (route.deadline.as_millis() as u64, names)
                });
                let host = host.trim_end_matches(":80");
                assert_eq!(
                    actual,
                    expected(&current, host, &path),
                    "round {round}, {host}{path}"
                );
            }
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Guards against memory that grows with each change of a route's type while requests are open, and against requests
/// that take over a change: of the type, or of whether the service is sharded. Also against estimates that follow the
/// name of a route, though it is given to another one.
#[tokio::test]
async fn open_request_keeps_its_route_and_a_replaced_class_is_freed_with_the_last_one() {
    const OPEN_REQUESTS: usize = 5;
    let test = async {
        let routes = routes();
        let mut rng = oorandom::Rand64::new(22);
        let mut config = random_config(&mut rng, 1);
        let path = config.routes[0].path_prefix.clone();
        let mut open_requests = VecDeque::new();
        let mut classes: Vec<Weak<RequestClass>> = Vec::new();
        let mut first_id = None;
        for round in 1..=300 {
            config.revision = round;
            for (place, route) in config.routes.iter_mut().enumerate() {
                // Names move on by one place, as an operator's tool may number them.
                route.name = format!("r-{}", place as u64 + round);
                route.kind = match route.kind {
                    RequestKind::Idempotent => RequestKind::Mutating,
                    RequestKind::Mutating => RequestKind::Idempotent,
                };
            }
            let is_sharded = round % 3 == 0;
            for service in &mut config.services {
                service.sharded = is_sharded;
            }
            let compact = CompactConfig::from_config(&config);
            routes.receive_configuration(round, Arc::new(compact));
            let found = routes.route_table.find(&config.routes[0].host, &path);
            let route = found.expect("a route");
            let id = route.splits[0].class.class.id;
            assert_eq!(id, *first_id.get_or_insert(id), "the estimates are kept");
            classes.push(Arc::downgrade(&route.splits[0].class.class));
            open_requests.push_back((route, config.routes[0].kind, is_sharded));
            if open_requests.len() > OPEN_REQUESTS {
                open_requests.pop_front();
            }
            for (route, kind, is_sharded) in &open_requests {
                let split = &route.splits[0];
                let is_safe = split.class.class.effect == Effect::Safe;
                assert_eq!(is_safe, *kind == RequestKind::Idempotent);
                assert_eq!(split.is_sharded, *is_sharded);
            }
        }
        let kept = classes.iter().filter(|class| class.strong_count() > 0);
        assert_eq!(kept.count(), OPEN_REQUESTS);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

impl Routes {
    /// Processes a configuration as if a session had received it.
    fn receive_configuration(&self, index: u64, config: Arc<CompactConfig>) {
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
