//! A configuration as balancers are told it: rows without field names, names that recur once. About a sixth of the
//! operator's text, so that a link of 1 Mbit/s carries a thousand routes in a third of a second. What balancers have
//! no use for is left out; the whole text stays with the control plane.

use serde::{Deserialize, Serialize};

use crate::config::{Config, Kind, Limits, Part, Route, Service};

/// A configuration in rows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CompactConfig(u64, Limits, Vec<ServiceRow>, Vec<String>, Vec<RouteRow>);

/// Name, health path, connections, length of a cold spell and requests a second in it, whether its keys are divided.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ServiceRow(String, String, u32, f64, f64, bool);

/// Name, place of the host among all hosts, prefix, whether it may be repeated, deadline and target in milliseconds,
/// priority, services by their places with their weights, tries, regions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct RouteRow(String, usize, String, bool, u64, u64, u32, Parts, u32, Vec<String>);

/// A service, or those that share a route, by their places among all services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
enum Parts {
    One(usize),
    Split(Vec<(usize, u32)>),
}

impl CompactConfig {
    /// The version of the configuration.
    pub fn rev(&self) -> u64 {
        self.0
    }

    /// The rows of a valid configuration; what names a service that is not there is left out.
    pub fn of(config: &Config) -> Self {
        let service = |name: &str| config.services.iter().position(|s| s.name == name);
        let mut hosts: Vec<String> = config.routes.iter().map(|r| r.host.clone()).collect();
        hosts.sort_unstable();
        hosts.dedup();
        let row = |r: &Route| {
            let parts = match (&r.split, &r.svc) {
                (Some(parts), _) => {
                    let known = |p: &Part| Some((service(&p.svc)?, p.weight));
                    Parts::Split(parts.iter().filter_map(known).collect())
                }
                (None, svc) => Parts::One(service(svc.as_deref()?)?),
            };
            let host = hosts.binary_search(&r.host).ok()?;
            let (name, prefix, regions) =
                (r.name.clone(), r.path_prefix.clone(), r.home_regions.clone());
            let repeatable = r.kind == Kind::Idempotent;
            Some(RouteRow(
                name,
                host,
                prefix,
                repeatable,
                r.deadline_ms,
                r.target_ms,
                r.prio,
                parts,
                r.tries,
                regions,
            ))
        };
        let routes = config.routes.iter().filter_map(row).collect();
        let row = |s: &Service| {
            let (name, path) = (s.name.clone(), s.health_path.clone());
            ServiceRow(name, path, s.max_conns, s.warmup_s, s.warmup_per_s, s.sharded)
        };
        let services = config.services.iter().map(row).collect();
        Self(config.rev, config.limits, services, hosts, routes)
    }

    /// The configuration that it was made of; a row that points nowhere is left out.
    pub fn config(&self) -> Config {
        let Self(rev, limits, services, hosts, routes) = self;
        let name = |place: usize| services.get(place).map(|s| s.0.clone());
        let route = |row: &RouteRow| {
            let RouteRow(
                own,
                host,
                prefix,
                repeatable,
                deadline,
                target,
                prio,
                parts,
                tries,
                homes,
            ) = row;
            let (svc, split) = match parts {
                Parts::One(place) => (Some(name(*place)?), None),
                Parts::Split(parts) => {
                    let part = |(place, weight): &(usize, u32)| {
                        Some(Part { svc: name(*place)?, weight: *weight })
                    };
                    (None, Some(parts.iter().filter_map(part).collect()))
                }
            };
            Some(Route {
                name: own.clone(),
                host: hosts.get(*host)?.clone(),
                path_prefix: prefix.clone(),
                kind: if *repeatable { Kind::Idempotent } else { Kind::Mutating },
                deadline_ms: *deadline,
                target_ms: *target,
                prio: *prio,
                svc,
                split,
                tries: *tries,
                home_regions: homes.clone(),
            })
        };
        let service = |ServiceRow(name, path, most, cold, per_s, sharded): &ServiceRow| Service {
            name: name.clone(),
            health_path: path.clone(),
            max_conns: *most,
            warmup_s: *cold,
            warmup_per_s: *per_s,
            sharded: *sharded,
        };
        Config {
            rev: *rev,
            routes: routes.iter().filter_map(route).collect(),
            services: services.iter().map(service).collect(),
            limits: *limits,
        }
    }
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;
    use crate::wire::{frame, parse};

    /// A configuration as operators send it, with as many routes, every kind of each field among them.
    fn text(routes: usize) -> String {
        let route = |n: usize| {
            let mut route = json!({"name": format!("r-{n:07x}"), "type": "mutating",
                "host": format!("host{}.example", n % 40), "path_prefix": format!("/p{n}/"),
                "deadline_ms": 2500 + n, "target_ms": u64::MAX - n as u64, "prio": n % 3,
                "svc": format!("s{}", n % 4), "tries": 2, "home_regions": []});
            if n.is_multiple_of(3) {
                route["type"] = json!("idempotent");
                route["home_regions"] = json!(["perth", "kalgoorlie"]);
            }
            if n.is_multiple_of(5) {
                route["svc"] = json!(null);
                route["split"] =
                    json!([{"svc": "s0", "weight": 0}, {"svc": "s3", "weight": u32::MAX}]);
            }
            route
        };
        let service = |n: usize| {
            json!({"name": format!("s{n}"), "health_path": "/health", "max_conns": 140 + n,
                "protocol": "h1", "tls": false, "warmup_s": 3.5, "warmup_per_s": 0.1, "sharded": n == 2})
        };
        let routes: Vec<_> = (0..routes).map(route).collect();
        let services: Vec<_> = (0..4).map(service).collect();
        let limits = json!({"max_header_bytes": 1, "max_body_bytes": 2, "header_timeout_ms": 3,
            "idle_timeout_ms": 4});
        json!({"rev": u64::MAX, "routes": routes, "services": services, "limits": limits})
            .to_string()
    }

    #[test]
    fn a_configuration_comes_back_whole_and_takes_a_third_of_its_text_at_most() {
        for routes in [0, 1, 7, 1500] {
            let text = text(routes);
            let config: Config = serde_json::from_str(&text).expect("valid");
            let frame = frame(&CompactConfig::of(&config)).expect("a frame");
            let told: CompactConfig = parse(&frame[4..]).expect("rows");
            assert_eq!(told.config(), config, "{routes} routes");
            assert_eq!(told.rev(), config.rev);
            let least = routes < 1000 || 3 * frame.len() < text.len();
            assert!(least, "{} bytes for {}", frame.len(), text.len());
            assert!(routes < 1000 || frame.len() < 80 * routes, "{} bytes", frame.len());
        }
    }
}
