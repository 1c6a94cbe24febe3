//! Tests the exact messages for rejected configurations, with one case per rule. Operators read these messages, and
//! every control server must reach the same result.
//!
//! `SHOREFRONT_WRITE_FIXTURES=1 cargo test -p control-plane --test configuration_messages` rewrites the expected files.
//! Without the variable, a missing file is a failure.

use std::fmt::Write as _;
use std::path::PathBuf;

use control_plane::configuration::{Command, CommandOutcome, ReplicatedState, validate};
use serde_json::{Value, json};

const BASE: u64 = 5;

fn assert_golden(name: &str, text: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name);
    if std::env::var("SHOREFRONT_WRITE_FIXTURES").is_ok_and(|value| value == "1") {
        std::fs::write(&path, text).expect("written");
    }
    let golden = std::fs::read_to_string(&path);
    let golden = golden.unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    assert_eq!(text, golden, "{name}");
}

fn route(name: &str) -> Value {
    json!({"name": name, "host": "h.example", "path_prefix": format!("/{name}/"), "type": "mutating",
        "deadline_ms": 100, "target_ms": 10, "svc": "s", "tries": 2})
}

fn valid_configuration(rev: u64) -> Value {
    json!({"rev": rev, "routes": [route("a"), route("b")],
        "services": [{"name": "s", "warmup_s": 3.0, "warmup_per_s": 4.0}, {"name": "t"}]})
}

/// Returns a valid configuration with the value at a JSON pointer replaced.
fn configuration_with(pointer: &str, value: Value) -> Value {
    let mut configuration = valid_configuration(BASE + 1);
    let (parent, field) = pointer.rsplit_once('/').expect("a pointer");
    configuration.pointer_mut(parent).expect("a parent")[field] = value;
    configuration
}

fn configuration_without(pointer: &str) -> Value {
    let mut configuration = valid_configuration(BASE + 1);
    let (parent, field) = pointer.rsplit_once('/').expect("a pointer");
    let parent = configuration
        .pointer_mut(parent)
        .and_then(Value::as_object_mut)
        .expect("an object");
    parent.remove(field).expect("a field");
    configuration
}

type Case = (&'static str, Value);

fn malformed_and_services() -> Vec<Case> {
    vec![
        ("no rev", configuration_without("/rev")),
        ("no routes", configuration_without("/routes")),
        ("no services", configuration_without("/services")),
        (
            "a route without a name",
            configuration_without("/routes/1/name"),
        ),
        (
            "an unknown type of route",
            configuration_with("/routes/1/type", json!("other")),
        ),
        (
            "a negative deadline",
            configuration_with("/routes/1/deadline_ms", json!(-1)),
        ),
        (
            "a service that stands twice",
            configuration_with("/services", json!([{"name": "s"}, {"name": "s"}])),
        ),
        (
            "a negative warm-up",
            configuration_with("/services", json!([{"name": "s", "warmup_s": -1.0}])),
        ),
        (
            "a negative pace of warm-up",
            configuration_with("/services", json!([{"name": "s", "warmup_per_s": -1.0}])),
        ),
    ]
}

fn routes() -> Vec<Case> {
    let both = json!([{"svc": "s", "weight": 1}]);
    let mut weightless = configuration_without("/routes/1/svc");
    weightless["routes"][1]["split"] = json!([{"svc": "s", "weight": 0}]);
    vec![
        (
            "a route that stands twice",
            configuration_with("/routes/1/name", json!("a")),
        ),
        (
            "a place that is taken",
            configuration_with("/routes/1/path_prefix", json!("/a/")),
        ),
        (
            "a prefix without a slash",
            configuration_with("/routes/1/path_prefix", json!("/b")),
        ),
        (
            "an empty host",
            configuration_with("/routes/1/host", json!("")),
        ),
        (
            "no deadline",
            configuration_with("/routes/1/deadline_ms", json!(0)),
        ),
        (
            "no target",
            configuration_with("/routes/1/target_ms", json!(0)),
        ),
        ("no tries", configuration_with("/routes/1/tries", json!(0))),
        (
            "neither service nor split",
            configuration_without("/routes/1/svc"),
        ),
        (
            "both service and split",
            configuration_with("/routes/1/split", both),
        ),
        ("no weight", weightless),
        (
            "an unknown service",
            configuration_with("/routes/1/svc", json!("unknown")),
        ),
    ]
}

#[test]
fn messages_for_invalid_configurations_are_unchanged() {
    let mut text = String::new();
    for (case, configuration) in malformed_and_services().into_iter().chain(routes()) {
        let reason = validate(&configuration).expect_err(case);
        let _ = writeln!(text, "{case}: {reason}");
    }
    assert_golden("invalid-configurations.txt", &text);
}

#[test]
fn messages_for_invalid_commands_are_unchanged() {
    let mut state = ReplicatedState::default();
    let first = Command::Replace {
        base: 0,
        body: valid_configuration(BASE).to_string(),
    };
    assert_eq!(state.apply(1, &first), CommandOutcome::Applied);
    let replace = |body: &str| Command::Replace {
        base: BASE,
        body: body.into(),
    };
    let amend = |body: Value| Command::Amend {
        base: BASE,
        body: body.to_string(),
    };
    let cases = [
        ("not JSON", replace("{\"rev\"")),
        ("no rev", replace("{}")),
        (
            "a rev that is not newer",
            replace(&valid_configuration(BASE - 1).to_string()),
        ),
        (
            "a part that is no object",
            amend(json!({"rev": 6, "upsert": []})),
        ),
        ("an unknown part", amend(json!({"rev": 6, "insert": {}}))),
        (
            "an unknown list",
            amend(json!({"rev": 6, "remove": {"hosts": ["a"]}})),
        ),
        (
            "removed names that are no list",
            amend(json!({"rev": 6, "remove": {"routes": "a"}})),
        ),
        (
            "added items that are no list",
            amend(json!({"rev": 6, "upsert": {"routes": {}}})),
        ),
        (
            "an item without a name",
            amend(json!({"rev": 6, "upsert": {"services": [{}]}})),
        ),
        (
            "a service still in use",
            amend(json!({"rev": 6, "remove": {"services": ["s"]}})),
        ),
    ];
    let mut text = String::new();
    for (case, command) in cases {
        match state.check(&command) {
            CommandOutcome::Invalid(reason) => drop(writeln!(text, "{case}: {reason}")),
            other => panic!("{case}: {other:?}"),
        }
    }
    assert_golden("invalid-orders.txt", &text);
}
