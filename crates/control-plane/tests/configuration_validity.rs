//! Compares the validation of configurations with an independent implementation of the rules. Up to two fields of a
//! valid configuration are replaced at random; the result is sent as a complete configuration and as an amendment, sent
//! again, and sent on top of a base that another change has replaced.

use std::cell::Cell;

use control_plane::configuration::{Command, CommandOutcome, ReplicatedState};
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::{Config as Runs, RngAlgorithm, TestRng, TestRunner};
use protocol::compact_config::CompactConfig;
use protocol::config::Config;
use serde_json::{Map, Value, json};

const BASE: u64 = 5;
const CASES: u32 = 3000;

fn route(name: &str, service: &str) -> Value {
    json!({"name": name, "host": "h.example", "path_prefix": format!("/{name}/"), "type": "mutating",
        "deadline_ms": 100, "target_ms": 10, "prio": 1, "svc": service, "tries": 2, "home_regions": []})
}

fn valid_configuration(rev: u64) -> Value {
    let mut split = route("c", "s");
    split["svc"] = Value::Null;
    split["split"] = json!([{"svc": "s", "weight": 3}, {"svc": "t", "weight": 0}]);
    let service = |name: &str| {
        json!({"name": name, "health_path": "/health", "max_conns": 9, "warmup_s": 3.0,
        "warmup_per_s": 4.2, "protocol": "h1"})
    };
    json!({"rev": rev, "routes": [route("a", "s"), route("b", "t"), split],
        "services": [service("s"), service("t")],
        "limits": {"max_header_bytes": 1, "max_body_bytes": 2, "header_timeout_ms": 3, "idle_timeout_ms": 4}})
}

/// JSON pointers to the fields that may be replaced.
const POINTERS: [&str; 23] = [
    "/rev",
    "/routes",
    "/services",
    "/routes/0",
    "/routes/0/name",
    "/routes/0/host",
    "/routes/0/path_prefix",
    "/routes/0/type",
    "/routes/0/deadline_ms",
    "/routes/0/target_ms",
    "/routes/0/prio",
    "/routes/0/svc",
    "/routes/0/tries",
    "/routes/0/home_regions",
    "/routes/2/split",
    "/routes/2/split/0/svc",
    "/routes/2/split/0/weight",
    "/routes/2/split/1/svc",
    "/routes/2/split/1/weight",
    "/services/0",
    "/services/0/name",
    "/services/0/warmup_s",
    "/services/0/warmup_per_s",
];

/// Returns the replacement values; `None` removes the field.
fn replacements() -> Vec<Option<Value>> {
    let values = [
        json!(null),
        json!(0),
        json!(1),
        json!(-1),
        json!(0.5),
        json!(7),
        json!(5),
        json!(1e300),
        json!(u64::MAX),
        json!(u64::from(u32::MAX)),
        json!(u64::from(u32::MAX) + 1),
        json!(true),
        json!("1"),
        json!(""),
        json!("a"),
        json!("b"),
        json!("s"),
        json!("t"),
        json!("unknown"),
        json!("H.EXAMPLE"),
        json!("/b/"),
        json!("/B/"),
        json!("/b"),
        json!("b/"),
        json!("/"),
        json!("idempotent"),
        json!("Mutating"),
        json!([]),
        json!({}),
        json!(["perth"]),
        json!([1]),
        json!([{"svc": "s", "weight": 1}]),
        json!([{"svc": "s"}]),
    ];
    values.into_iter().map(Some).chain([None]).collect()
}

fn replace_at(config: &mut Value, pointer: &str, replacement: &Option<Value>) {
    let Some((parent, field)) = pointer.rsplit_once('/') else {
        return;
    };
    let Some(parent) = config.pointer_mut(parent) else {
        return;
    };
    match (parent, field.parse::<usize>(), replacement) {
        (Value::Object(fields), _, Some(value)) => drop(fields.insert(field.into(), value.clone())),
        (Value::Object(fields), _, None) => drop(fields.remove(field)),
        (Value::Array(items), Ok(at), Some(value)) if at < items.len() => items[at] = value.clone(),
        (Value::Array(items), Ok(at), None) if at < items.len() => drop(items.remove(at)),
        _ => {}
    }
}

// ------------------------------------------- independent implementation of the rules

fn text<'a>(of: &'a Map<String, Value>, field: &str) -> Option<&'a str> {
    of.get(field)?.as_str()
}

/// Returns an integer field of at most `max`, or `default` if the field is missing.
fn number(of: &Map<String, Value>, field: &str, max: u64, default: Option<u64>) -> Option<u64> {
    match of.get(field) {
        None => default,
        Some(value) => value.as_u64().filter(|n| *n <= max),
    }
}

fn valid_service(service: &Value) -> Option<&str> {
    let service = service.as_object()?;
    for field in ["warmup_s", "warmup_per_s"] {
        let is_valid = service
            .get(field)
            .is_none_or(|v| v.as_f64().is_some_and(|v| v >= 0.0));
        is_valid.then_some(())?;
    }
    text(service, "name")
}

/// Returns the services of a route with their weights.
fn weighted_services(route: &Map<String, Value>) -> Option<Vec<(&str, u64)>> {
    let given = |field| route.get(field).filter(|v| !v.is_null());
    match (given("svc"), given("split")) {
        (Some(service), None) => Some(vec![(service.as_str()?, 1)]),
        (None, Some(split)) => {
            let part = |part: &'_ Value| part.as_object().cloned();
            let all = split.as_array()?.iter();
            all.map(|p| {
                let weight = number(&part(p)?, "weight", u64::from(u32::MAX), None)?;
                Some((p.get("svc")?.as_str()?, weight))
            })
            .collect()
        }
        _ => None,
    }
}

/// Returns the name of a valid route, and the host and path prefix that identify its requests.
fn valid_route<'a>(route: &'a Value, services: &[&str]) -> Option<(&'a str, (String, &'a str))> {
    let route = route.as_object()?;
    let max_u32 = u64::from(u32::MAX);
    (number(route, "deadline_ms", u64::MAX, None)? > 0).then_some(())?;
    (number(route, "target_ms", u64::MAX, None)? > 0).then_some(())?;
    (number(route, "tries", max_u32, Some(1))? > 0).then_some(())?;
    number(route, "prio", max_u32, Some(0))?;
    ["mutating", "idempotent"]
        .contains(&text(route, "type")?)
        .then_some(())?;
    let homes = route
        .get("home_regions")
        .map_or(Some(&[][..]), |v| v.as_array().map(Vec::as_slice))?;
    homes.iter().all(Value::is_string).then_some(())?;
    let parts = weighted_services(route)?;
    parts
        .iter()
        .all(|(service, _)| services.contains(service))
        .then_some(())?;
    parts.iter().any(|(_, weight)| *weight > 0).then_some(())?;
    let (host, prefix) = (text(route, "host")?, text(route, "path_prefix")?);
    (!host.is_empty() && prefix.starts_with('/') && prefix.ends_with('/')).then_some(())?;
    Some((text(route, "name")?, (host.to_lowercase(), prefix)))
}

fn distinct<T: Ord>(mut all: Vec<T>) -> bool {
    all.sort();
    all.windows(2).all(|pair| pair[0] != pair[1])
}

/// Returns whether a complete configuration is valid on top of [`BASE`]. `None` means invalid too.
fn is_valid(config: &Value) -> Option<bool> {
    let rev = config.get("rev")?.as_u64()?;
    let services = config
        .get("services")?
        .as_array()?
        .iter()
        .map(valid_service);
    let services: Vec<&str> = services.collect::<Option<_>>()?;
    let routes = config
        .get("routes")?
        .as_array()?
        .iter()
        .map(|r| valid_route(r, &services));
    let (names, matches): (Vec<_>, Vec<_>) =
        routes.collect::<Option<Vec<_>>>()?.into_iter().unzip();
    Some(rev > BASE && distinct(services) && distinct(names) && distinct(matches))
}

// ----------------------------------------------------------------------------- test

fn state_at_base() -> ReplicatedState {
    let mut state = ReplicatedState::default();
    let first = Command::Replace {
        base: 0,
        body: valid_configuration(BASE).to_string(),
    };
    assert_eq!(state.apply(1, &first), CommandOutcome::Applied);
    state
}

/// Returns the amendment that turns the first configuration into this one, or `None` if no amendment can.
fn amendment(config: &Value) -> Option<String> {
    let list = |name: &str| Some(json!(config.get(name)?.as_array()?));
    let all = json!({"routes": ["a", "b", "c"], "services": ["s", "t"]});
    let upsert = json!({"routes": list("routes")?, "services": list("services")?});
    // Amendments identify items by name, so they cannot express lists with duplicate or missing names.
    let names = |list: &Value| {
        let names = list.as_array()?.iter().map(|i| i.get("name")?.as_str());
        let names: Vec<&str> = names.collect::<Option<_>>()?;
        distinct(names).then_some(())
    };
    names(&upsert["routes"])?;
    names(&upsert["services"])?;
    Some(json!({"rev": config.get("rev")?, "remove": all, "upsert": upsert}).to_string())
}

fn check(command: &Command, valid: bool) -> Result<(), TestCaseError> {
    let mut state = state_at_base();
    let before = state.clone();
    let outcome = state.apply(2, command);
    if !valid {
        prop_assert!(
            matches!(outcome, CommandOutcome::Invalid(_)),
            "{:?}",
            outcome
        );
        prop_assert_eq!(&state, &before, "a rejected command changes the state");
        prop_assert_eq!(
            state.apply(3, command),
            outcome,
            "the command is sent again"
        );
        return Ok(());
    }
    prop_assert_eq!(outcome, CommandOutcome::Applied);
    prop_assert_eq!(
        state.apply(3, command),
        CommandOutcome::AlreadyApplied,
        "the command is sent again"
    );
    let config: Config = serde_json::from_str(&state.config).expect("a valid configuration");
    prop_assert_eq!(
        CompactConfig::from_config(&config).to_config(),
        config,
        "the compact form sent to balancers"
    );
    // A command whose base another change has replaced is stale and must have no effect.
    let mut raced = state_at_base();
    let other = Command::Replace {
        base: BASE,
        body: valid_configuration(BASE + 1).to_string(),
    };
    prop_assert_eq!(raced.apply(2, &other), CommandOutcome::Applied);
    if raced.check(command) != CommandOutcome::AlreadyApplied {
        let current = raced.clone();
        prop_assert_eq!(
            raced.apply(3, command),
            CommandOutcome::RevisionMismatch { current: BASE + 1 }
        );
        prop_assert_eq!(raced, current);
    }
    Ok(())
}

#[test]
fn validation_agrees_with_an_independent_implementation() {
    let runs = Runs {
        cases: CASES,
        failure_persistence: None,
        ..Runs::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[22; 32]);
    let change = || (select(POINTERS.to_vec()), select(replacements()));
    let changes = prop::collection::vec(change(), 0..3);
    let (valid, amended) = (Cell::new(0), Cell::new(0));
    let result = TestRunner::new_with_rng(runs, rng).run(&changes, |changes| {
        let mut config = valid_configuration(BASE + 2);
        changes
            .iter()
            .for_each(|(pointer, replacement)| replace_at(&mut config, pointer, replacement));
        let is_valid = is_valid(&config).unwrap_or(false);
        valid.set(valid.get() + u32::from(is_valid));
        check(
            &Command::Replace {
                base: BASE,
                body: config.to_string(),
            },
            is_valid,
        )?;
        if let Some(body) = amendment(&config) {
            amended.set(amended.get() + 1);
            check(&Command::Amend { base: BASE, body }, is_valid)?;
        }
        Ok(())
    });
    result.unwrap_or_else(|e| panic!("{e}"));
    let (valid, amended) = (valid.get(), amended.get());
    assert!(
        valid > CASES / 10 && valid < CASES / 2 && amended > CASES / 3,
        "{valid} valid configurations and {amended} amendments of {CASES} cases"
    );
}
