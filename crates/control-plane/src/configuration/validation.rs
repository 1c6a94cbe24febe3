//! The rules that a complete configuration has to keep.

use std::collections::BTreeSet;

use protocol::config::{Config, Route, Service};
use serde::Deserialize;
use serde_json::Value;

/// Why a configuration is invalid. Operators read the texts.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigurationError {
    /// A field is missing, or is not of its type.
    #[error("{reason}")]
    Malformed {
        /// What the parser says; it names the field.
        reason: String,
    },
    /// Two services have one name.
    #[error("service `{service}` stands twice")]
    DuplicateService {
        /// Their name.
        service: String,
    },
    /// `warmup_s` (seconds) or `warmup_per_s` (requests a second) is negative, infinite or no number.
    #[error("service `{service}`: `warmup_s` and `warmup_per_s` are 0 or more")]
    InvalidWarmup {
        /// The service.
        service: String,
    },
    /// A route breaks a rule.
    #[error("route `{route}`: {source}")]
    Route {
        /// The route.
        route: String,
        /// The rule.
        source: RouteError,
    },
}

/// Which rule a route breaks.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// Two routes have one name.
    #[error("stands twice")]
    Duplicate,
    /// Two routes have one host (whatever its case) and prefix: it could not be told which of them is meant.
    #[error("another route has its host and prefix")]
    DuplicateMatch,
    /// `path_prefix` has no slash at its begin or end.
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
    /// It has both `svc` and `split`, or neither.
    #[error("expected either `svc` or `split`")]
    ServiceOrSplit,
    /// No service of its `split` would get a request.
    #[error("its weights add up to 0")]
    ZeroWeight,
    /// It names a service that the configuration does not have.
    #[error("names the unknown service `{service}`")]
    UnknownService {
        /// That name.
        service: String,
    },
}

/// Reads a complete configuration and checks it against all rules.
///
/// # Errors
///
/// The first rule that is broken, in the order in which services and routes stand.
pub fn validate(config: &Value) -> Result<Config, ConfigurationError> {
    let config = Config::deserialize(config).map_err(|e| ConfigurationError::Malformed {
        reason: e.to_string(),
    })?;
    let services = validate_services(&config.services)?;
    validate_routes(&config.routes, &services)?;
    Ok(config)
}

/// Checks the services and gives their names.
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

/// Checks what a route says for itself.
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
    // A service of weight 0 has to be known too: its weight may rise later.
    if let Some((unknown, _)) = weighted.iter().find(|(name, _)| !services.contains(name)) {
        return Err(RouteError::UnknownService {
            service: (*unknown).to_string(),
        });
    }
    Ok(())
}
