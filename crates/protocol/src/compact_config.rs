//! A configuration as balancers are told it: rows without field names, names that recur once. About a sixth of the
//! operator's text, so that a link of 1 Mbit/s carries a thousand routes in a third of a second. What balancers have
//! no use for is left out; the whole text stays with the control plane.

use serde::{Deserialize, Serialize};

use crate::config::{Config, RequestKind, RequestLimits, Route, Service, TrafficSplit};

/// A configuration in rows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CompactConfig(
    u64,
    RequestLimits,
    Vec<ServiceRow>,
    Vec<String>,
    Vec<RouteRow>,
);

/// Name, health path, connections, length of a cold spell and requests a second in it, whether its keys are divided.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ServiceRow(String, String, u32, f64, f64, bool);

/// Name, place of the host among all hosts, prefix, whether it may be repeated, deadline and target in milliseconds,
/// priority, services by their places with their weights, tries, regions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct RouteRow(
    String,
    usize,
    String,
    bool,
    u64,
    u64,
    u32,
    Parts,
    u32,
    Vec<String>,
);

/// A service, or those that share a route, by their places among all services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
enum Parts {
    One(usize),
    Split(Vec<(usize, u32)>),
}

impl CompactConfig {
    /// The version of the configuration.
    pub fn revision(&self) -> u64 {
        self.0
    }

    /// The rows of a valid configuration; what names a service that is not there is left out.
    pub fn from_config(config: &Config) -> Self {
        let service = |name: &str| config.services.iter().position(|s| s.name == name);
        let mut hosts: Vec<String> = config.routes.iter().map(|r| r.host.clone()).collect();
        hosts.sort_unstable();
        hosts.dedup();
        let row = |r: &Route| {
            let parts = match (&r.split, &r.service) {
                (Some(parts), _) => {
                    let known = |p: &TrafficSplit| Some((service(&p.service)?, p.weight));
                    Parts::Split(parts.iter().filter_map(known).collect())
                }
                (None, svc) => Parts::One(service(svc.as_deref()?)?),
            };
            let host = hosts.binary_search(&r.host).ok()?;
            let (name, prefix, regions) = (
                r.name.clone(),
                r.path_prefix.clone(),
                r.home_regions.clone(),
            );
            let repeatable = r.kind == RequestKind::Idempotent;
            Some(RouteRow(
                name,
                host,
                prefix,
                repeatable,
                r.deadline_ms,
                r.target_ms,
                r.priority,
                parts,
                r.max_attempts,
                regions,
            ))
        };
        let routes = config.routes.iter().filter_map(row).collect();
        let row = |s: &Service| {
            let (name, path) = (s.name.clone(), s.health_path.clone());
            ServiceRow(
                name,
                path,
                s.max_conns,
                s.warmup_s,
                s.warmup_per_s,
                s.sharded,
            )
        };
        let services = config.services.iter().map(row).collect();
        Self(config.revision, config.limits, services, hosts, routes)
    }

    /// The configuration that it was made of; a row that points nowhere is left out.
    pub fn to_config(&self) -> Config {
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
                        Some(TrafficSplit {
                            service: name(*place)?,
                            weight: *weight,
                        })
                    };
                    (None, Some(parts.iter().filter_map(part).collect()))
                }
            };
            Some(Route {
                name: own.clone(),
                host: hosts.get(*host)?.clone(),
                path_prefix: prefix.clone(),
                kind: if *repeatable {
                    RequestKind::Idempotent
                } else {
                    RequestKind::Mutating
                },
                deadline_ms: *deadline,
                target_ms: *target,
                priority: *prio,
                service: svc,
                split,
                max_attempts: *tries,
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
            revision: *rev,
            routes: routes.iter().filter_map(route).collect(),
            services: services.iter().map(service).collect(),
            limits: *limits,
        }
    }
}

#[cfg(test)]
#[path = "compact_tests.rs"]
mod tests;
