//! The rules that a complete configuration must satisfy.

use std::collections::BTreeSet;

use protocol::config::{Config, Route, Service};
use serde::Deserialize;
use serde_json::Value;

/// Why a configuration is invalid. The messages are shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigurationError {
    /// A field is missing or has the wrong type.
    #[error("{reason}")]
    Malformed {
        /// The parser's message, which names the field.
        reason: String,
    },
    /// Two services have the same name.
    #[error("service `{service}` stands twice")]
    DuplicateService {
        /// The name that both services have.
        service: String,
    },
    /// `warmup_s` (seconds) or `warmup_per_s` (requests per second) is negative, infinite or NaN.
    #[error("service `{service}`: `warmup_s` and `warmup_per_s` are 0 or more")]
    InvalidWarmup {
        /// Name of the service.
        service: String,
    },
    /// A route violates a rule.
    #[error("route `{route}`: {source}")]
    Route {
        /// Name of the route.
        route: String,
        /// The rule that the route violates.
        source: RouteError,
    },
}

/// The rule that a route violates.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// Two routes have the same name.
    #[error("stands twice")]
    Duplicate,
    /// Two routes have the same host (ignoring case) and prefix, so a request would match both.
    #[error("another route has its host and prefix")]
    DuplicateMatch,
    /// `path_prefix` does not begin and end with a slash.
    #[error("`path_prefix` begins and ends with a slash")]
    PathPrefix,
    /// `host` is empty.
    #[error("`host` is empty")]
    EmptyHost,
    /// `deadline_ms` is 0.
    #[error("`deadline_ms` is 0")]
    ZeroDeadline,
    /// `target_ms` is 0.
    #[error("`target_ms` is 0")]
    ZeroTarget,
    /// `tries` is 0.
    #[error("`tries` is 0")]
    ZeroTries,
    /// Both `svc` and `split` are set, or neither is.
    #[error("expected either `svc` or `split`")]
    ServiceOrSplit,
    /// All weights of `split` are 0, so no service would get a request.
    #[error("its weights add up to 0")]
    ZeroWeight,
    /// The route names a service that the configuration doesn't contain.
    #[error("names the unknown service `{service}`")]
    UnknownService {
        /// Name of the unknown service.
        service: String,
    },
}

/// Parses a complete configuration and checks it against all rules.
///
/// # Errors
///
/// Returns the first violated rule. Services are checked before routes, each in the order of the configuration.
pub fn validate(config: &Value) -> Result<Config, ConfigurationError> {
    let config = Config::deserialize(config).map_err(|e| ConfigurationError::Malformed {
        reason: e.to_string(),
    })?;
    let services = validate_services(&config.services)?;
    validate_routes(&config.routes, &services)?;
    Ok(config)
}

/// Checks the services and returns their names.
fn validate_services(services: &[Service]) -> Result<BTreeSet<&str>, ConfigurationError> {
    let mut names = BTreeSet::new();
    for service in services {
        if !names.insert(service.name.as_str()) {
            return Err(ConfigurationError::DuplicateService {
                service: service.name.clone(),
            });
        }
        let finite = service.warmup_s.is_finite() && service.warmup_per_s.is_finite();
        if !finite || service.warmup_s < 0.0 || service.warmup_per_s < 0.0 {
            return Err(ConfigurationError::InvalidWarmup {
                service: service.name.clone(),
            });
        }
    }
    Ok(names)
}

fn validate_routes(routes: &[Route], services: &BTreeSet<&str>) -> Result<(), ConfigurationError> {
    let (mut names, mut matches) = (BTreeSet::new(), BTreeSet::new());
    for route in routes {
        let host_and_prefix = (route.host.to_ascii_lowercase(), route.path_prefix.as_str());
        let checked = if !names.insert(route.name.as_str()) {
            Err(RouteError::Duplicate)
        } else if !matches.insert(host_and_prefix) {
            Err(RouteError::DuplicateMatch)
        } else {
            validate_route(route, services)
        };
        checked.map_err(|source| ConfigurationError::Route {
            route: route.name.clone(),
            source,
        })?;
    }
    Ok(())
}

/// Checks the rules that concern a single route.
fn validate_route(route: &Route, services: &BTreeSet<&str>) -> Result<(), RouteError> {
    if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
        return Err(RouteError::PathPrefix);
    }
    if route.host.is_empty() {
        return Err(RouteError::EmptyHost);
    }
    if route.deadline_ms == 0 {
        return Err(RouteError::ZeroDeadline);
    }
    if route.target_ms == 0 {
        return Err(RouteError::ZeroTarget);
    }
    if route.max_attempts == 0 {
        return Err(RouteError::ZeroTries);
    }
    if route.service.is_some() == route.split.is_some() {
        return Err(RouteError::ServiceOrSplit);
    }
    let weighted = route.weighted_services();
    if weighted
        .iter()
        .map(|(_, weight)| u64::from(*weight))
        .sum::<u64>()
        == 0
    {
        return Err(RouteError::ZeroWeight);
    }
    // A service of weight 0 must be known too, because its weight may be raised later.
    if let Some((unknown, _)) = weighted.iter().find(|(name, _)| !services.contains(name)) {
        return Err(RouteError::UnknownService {
            service: (*unknown).to_string(),
        });
    }
    Ok(())
}
