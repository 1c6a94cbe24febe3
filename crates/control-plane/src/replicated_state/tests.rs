//! Tests of the replicated state: which changes are accepted, and which are detected as resent.

use serde_json::json;

use super::*;

fn route(name: &str, service: &str) -> Value {
    json!({"name": name, "host": "h", "path_prefix": format!("/{name}/"), "type": "mutating",
        "deadline_ms": 100, "target_ms": 10, "svc": service, "tries": 2, "of_later": [1]})
}

fn configuration(rev: u64, routes: &[Value]) -> Value {
    json!({"rev": rev, "routes": routes, "services": [{"name": "s"}, {"name": "t"}]})
}

fn replace(base: u64, body: &Value) -> Command {
    Command::Replace {
        base,
        body: body.to_string(),
    }
}

fn state_at_revision_5() -> ReplicatedState {
    let mut state = ReplicatedState::default();
    let body = configuration(5, &[route("a", "s")]);
    assert_eq!(state.apply(1, &replace(0, &body)), CommandOutcome::Applied);
    state
}

#[test]
fn resent_replace_is_applied_once() {
    let mut state = state_at_revision_5();
    let body = configuration(5, &[route("a", "s")]);
    assert_eq!(
        state.apply(2, &replace(0, &body)),
        CommandOutcome::AlreadyApplied
    );
    let next = configuration(9, &[route("a", "t")]);
    assert_eq!(state.apply(3, &replace(5, &next)), CommandOutcome::Applied);
    assert_eq!((state.revision, state.config_index), (9, 3));
    // A late copy of the first change is acknowledged, but does not restore the old configuration.
    assert_eq!(
        state.apply(4, &replace(0, &body)),
        CommandOutcome::AlreadyApplied
    );
    assert_eq!(state.revision, 9);
    assert!(
        state.config.contains("of_later"),
        "fields that this build does not know are kept"
    );
}

#[test]
fn concurrent_changes_on_one_base_conflict() {
    let mut state = state_at_revision_5();
    let (one, other) = (
        configuration(7, &[route("a", "t")]),
        configuration(7, &[route("b", "t")]),
    );
    assert_eq!(state.apply(2, &replace(5, &one)), CommandOutcome::Applied);
    assert_eq!(
        state.apply(3, &replace(5, &other)),
        CommandOutcome::RevisionMismatch { current: 7 }
    );
    let amend = Command::Amend {
        base: 5,
        body: json!({"rev": 8}).to_string(),
    };
    assert_eq!(
        state.apply(4, &amend),
        CommandOutcome::RevisionMismatch { current: 7 }
    );
}

#[test]
fn amend_upserts_and_removes_by_name() {
    let mut state = state_at_revision_5();
    let change = json!({"rev": 6, "upsert": {"routes": [route("a", "t"), route("b", "s")]},
        "remove": {"routes": ["never-was"]}});
    let amend = |base, body: &Value| Command::Amend {
        base,
        body: body.to_string(),
    };
    assert_eq!(state.apply(2, &amend(5, &change)), CommandOutcome::Applied);
    let config: Value = serde_json::from_str(&state.config).expect("JSON");
    assert_eq!(config["rev"], 6);
    assert_eq!(config["routes"][0]["svc"], "t");
    assert_eq!(config["routes"].as_array().map(Vec::len), Some(2));
    let change = json!({"rev": 8, "remove": {"routes": ["a"]}});
    assert_eq!(state.apply(3, &amend(6, &change)), CommandOutcome::Applied);
    assert_eq!(
        state.apply(4, &amend(6, &change)),
        CommandOutcome::AlreadyApplied
    );
    let config: Value = serde_json::from_str(&state.config).expect("JSON");
    assert_eq!(config["routes"].as_array().map(Vec::len), Some(1));
    // A service can't be removed while a route refers to it.
    let change = json!({"rev": 9, "remove": {"services": ["s"]}});
    assert!(matches!(
        state.check(&amend(8, &change)),
        CommandOutcome::Invalid(_)
    ));
}

#[test]
fn invalid_configuration_changes_nothing() {
    let with = |change: &dyn Fn(&mut Value)| {
        let mut body = configuration(7, &[route("a", "s"), route("b", "s")]);
        change(&mut body);
        body.to_string()
    };
    let bodies = [
        with(&|b| b["routes"][0]["svc"] = json!("unknown")),
        with(&|b| b["routes"][1]["path_prefix"] = json!("/a/")),
        with(&|b| b["routes"][1]["name"] = json!("a")),
        with(&|b| b["routes"][0]["deadline_ms"] = json!(0)),
        with(&|b| b["routes"][0]["deadline_ms"] = json!("100")),
        with(&|b| b["routes"][0]["svc"] = Value::Null),
        with(&|b| b["routes"][0]["split"] = json!([{"svc": "s", "weight": 1}])),
        with(&|b| {
            b["routes"][0]["svc"] = Value::Null;
            b["routes"][0]["split"] = json!([{"svc": "s", "weight": 0}, {"svc": "t", "weight": 0}]);
        }),
        with(&|b| b["services"][1]["name"] = json!("s")),
        with(&|b| b["rev"] = json!(5)),
        with(&|b| b["rev"] = json!(-1)),
        with(&|_| {}).replace("]}", "]"),
        "[]".to_string(),
        String::new(),
    ];
    for body in bodies {
        let mut state = state_at_revision_5();
        let before = state.clone();
        let outcome = state.apply(
            2,
            &Command::Replace {
                base: 5,
                body: body.clone(),
            },
        );
        assert!(
            matches!(outcome, CommandOutcome::Invalid(_)),
            "{outcome:?}: {body}"
        );
        assert_eq!(state, before);
    }
}

#[test]
fn legacy_zone_commands_are_applied() {
    let mut state = state_at_revision_5();
    let begin = |state: &mut ReplicatedState, index, zone: &str| {
        let expected_index = state.evacuations_index;
        state.apply(
            index,
            &Command::LegacyEvacuate {
                zone: zone.into(),
                expected_index,
            },
        )
    };
    let finish = |state: &mut ReplicatedState, index, zone: &str| {
        let expected_index = state.evacuations_index;
        state.apply(
            index,
            &Command::LegacyReturn {
                zone: zone.into(),
                expected_index,
            },
        )
    };
    assert_eq!(begin(&mut state, 2, "a"), CommandOutcome::Applied);
    assert_eq!(begin(&mut state, 3, "b"), CommandOutcome::Applied);
    assert_eq!(begin(&mut state, 4, "a"), CommandOutcome::Applied);
    assert_eq!(finish(&mut state, 5, "a"), CommandOutcome::Applied);
    assert_eq!(state.evacuation_count("a"), 1, "one evacuation remains");
    assert_eq!(finish(&mut state, 6, "a"), CommandOutcome::Applied);
    assert_eq!(
        state.evacuated_zones().collect::<Vec<_>>(),
        [(&"b".to_string(), 1)]
    );
    assert_eq!(finish(&mut state, 7, "a"), CommandOutcome::AlreadyApplied);
    assert_eq!((state.evacuations_index, state.config_index), (6, 1));
    // Decided on an outdated state, so it has no effect.
    let late = Command::LegacyEvacuate {
        zone: "b".into(),
        expected_index: 5,
    };
    assert_eq!(state.apply(8, &late), CommandOutcome::Conflict);
    assert_eq!(state.evacuation_count("b"), 1);
}

#[test]
fn accepted_command_is_never_rejected_later() {
    let mut state = ReplicatedState::default();
    let body = |n: u64| json!({"rev": 2 * n + 3, "routes": [], "services": []});
    let change = |n: u64| replace(if n == 0 { 0 } else { 2 * n + 1 }, &body(n));
    let all = MAX_REMEMBERED_REVISIONS as u64 + 3;
    for n in 0..all {
        assert_eq!(state.apply(n + 1, &change(n)), CommandOutcome::Applied);
    }
    for n in 0..all {
        let expected = if n < 3 {
            CommandOutcome::Expired
        } else {
            CommandOutcome::AlreadyApplied
        };
        assert_eq!(state.check(&change(n)), expected, "change {n}");
    }
    // A change that can't have been accepted is rejected, even if its revision has expired.
    let stale = replace(7, &json!({"rev": 5, "routes": [], "services": []}));
    assert_eq!(
        state.check(&stale),
        CommandOutcome::RevisionMismatch {
            current: state.revision
        }
    );
    let other = replace(2 * all - 1, &json!({"rev": 2 * all + 1, "routes": []}));
    assert_eq!(
        state.check(&other),
        CommandOutcome::RevisionMismatch {
            current: state.revision
        }
    );
    let restored = crate::snapshot::decode(&crate::snapshot::encode(&state).expect("written"));
    assert_eq!(
        restored.expect("read"),
        state,
        "unchanged by a snapshot round trip"
    );
    let size = crate::snapshot::encode(&state).map_or(0, |data| data.len());
    assert!(size < 50_000, "{size} bytes");
}

#[test]
fn early_rejection_is_permanent() {
    let mut state = state_at_revision_5();
    let early = replace(7, &configuration(9, &[route("a", "t")]));
    let outcome = state.check(&early);
    assert_eq!(outcome, CommandOutcome::RevisionMismatch { current: 5 });
    assert!(
        !state.is_final(&early, &outcome),
        "the rejection must be written to the log"
    );
    assert_eq!(state.apply(2, &early), outcome);
    assert!(state.is_final(&early, &outcome));
    assert_eq!(
        state.apply(3, &replace(5, &configuration(7, &[]))),
        CommandOutcome::Applied
    );
    assert_eq!(
        state.apply(4, &early),
        CommandOutcome::RevisionMismatch { current: 7 },
        "a late copy"
    );
    let another = replace(7, &configuration(10, &[route("a", "t")]));
    assert_eq!(state.apply(5, &another), CommandOutcome::Applied);
    assert!(
        state.rejected_commands.is_empty(),
        "dropped because its base is outdated"
    );
}

#[test]
fn late_amend_is_a_revision_mismatch() {
    let mut state = state_at_revision_5();
    let remove = |rev: u64, service: &str| {
        let body = json!({"rev": rev, "remove": {"services": [service]}});
        Command::Amend {
            base: 5,
            body: body.to_string(),
        }
    };
    let uses = json!({"rev": 7, "upsert": {"routes": [route("b", "t")]}});
    let uses = Command::Amend {
        base: 5,
        body: uses.to_string(),
    };
    assert_eq!(state.apply(2, &uses), CommandOutcome::Applied);
    assert_eq!(
        state.apply(3, &remove(8, "t")),
        CommandOutcome::RevisionMismatch { current: 7 }
    );
}

#[test]
fn concurrent_key_assignments_conflict() {
    use protocol::key_ranges::{LeaseHolder, Ownership};
    let mut state = state_at_revision_5();
    let assign = |expected_token: u64, id: &str| {
        let addr = std::net::SocketAddr::from(([10, 0, 0, 1], 80));
        let ownership = Ownership::Assigned(
            LeaseHolder {
                id: id.into(),
                addr,
            },
            None,
        );
        let changes = vec![KeyRangeChange {
            first: 0,
            last: u16::MAX,
            expected_token,
            ownership,
        }];
        Command::AssignKeys {
            service: "s".into(),
            changes,
        }
    };
    assert_eq!(state.apply(7, &assign(0, "a")), CommandOutcome::Applied);
    assert_eq!(
        state.apply(8, &assign(0, "b")),
        CommandOutcome::Conflict,
        "expects an outdated fencing token"
    );
    assert_eq!(state.keys_index, 7);
    assert_eq!(state.apply(9, &assign(1, "b")), CommandOutcome::Applied);
    assert_eq!((state.keys_index, state.config_index), (9, 1));
    let holder = state.keys["s"]
        .get(0)
        .and_then(|s| s.ownership.holder())
        .map(|h| h.id.as_str());
    assert_eq!(holder, Some("b"));
}
