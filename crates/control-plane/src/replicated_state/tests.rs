//! Tests of the replicated state: which changes are accepted, which are recognized when they are sent again.

use serde_json::json;

use super::*;

fn route(name: &str, service: &str) -> Value {
    json!({"name": name, "host": "h", "path_prefix": format!("/{name}/"), "type": "mutating",
        "deadline_ms": 100, "target_ms": 10, "svc": service, "tries": 2, "of_later": [1]})
}

fn whole(rev: u64, routes: Vec<Value>) -> Value {
    json!({"rev": rev, "routes": routes, "services": [{"name": "s"}, {"name": "t"}]})
}

fn replace(base: u64, body: &Value) -> Command {
    Command::Replace {
        base,
        body: body.to_string(),
    }
}

fn first() -> ReplicatedState {
    let mut agreed = ReplicatedState::default();
    let body = whole(5, vec![route("a", "s")]);
    assert_eq!(agreed.apply(1, &replace(0, &body)), CommandOutcome::Applied);
    agreed
}

#[test]
fn a_version_is_taken_once_and_acknowledged_as_often_as_it_is_sent() {
    let mut agreed = first();
    let body = whole(5, vec![route("a", "s")]);
    assert_eq!(
        agreed.apply(2, &replace(0, &body)),
        CommandOutcome::AlreadyApplied
    );
    let next = whole(9, vec![route("a", "t")]);
    assert_eq!(agreed.apply(3, &replace(5, &next)), CommandOutcome::Applied);
    assert_eq!((agreed.revision, agreed.config_index), (9, 3));
    // The first one, sent again late, was taken; it does not come back into force.
    assert_eq!(
        agreed.apply(4, &replace(0, &body)),
        CommandOutcome::AlreadyApplied
    );
    assert_eq!(agreed.revision, 9);
    assert!(
        agreed.config.contains("of_later"),
        "what is not known is kept"
    );
}

#[test]
fn of_two_changes_on_one_base_one_wins() {
    let mut agreed = first();
    let (one, other) = (
        whole(7, vec![route("a", "t")]),
        whole(7, vec![route("b", "t")]),
    );
    assert_eq!(agreed.apply(2, &replace(5, &one)), CommandOutcome::Applied);
    assert_eq!(
        agreed.apply(3, &replace(5, &other)),
        CommandOutcome::RevisionMismatch { current: 7 }
    );
    let amend = Command::Amend {
        base: 5,
        body: json!({"rev": 8}).to_string(),
    };
    assert_eq!(
        agreed.apply(4, &amend),
        CommandOutcome::RevisionMismatch { current: 7 }
    );
}

#[test]
fn named_items_are_added_replaced_and_removed() {
    let mut agreed = first();
    let change = json!({"rev": 6, "upsert": {"routes": [route("a", "t"), route("b", "s")]},
        "remove": {"routes": ["never-was"]}});
    let amend = |base, body: &Value| Command::Amend {
        base,
        body: body.to_string(),
    };
    assert_eq!(agreed.apply(2, &amend(5, &change)), CommandOutcome::Applied);
    let config: Value = serde_json::from_str(&agreed.config).expect("JSON");
    assert_eq!(config["rev"], 6);
    assert_eq!(config["routes"][0]["svc"], "t");
    assert_eq!(config["routes"].as_array().map(Vec::len), Some(2));
    let change = json!({"rev": 8, "remove": {"routes": ["a"]}});
    assert_eq!(agreed.apply(3, &amend(6, &change)), CommandOutcome::Applied);
    assert_eq!(
        agreed.apply(4, &amend(6, &change)),
        CommandOutcome::AlreadyApplied
    );
    let config: Value = serde_json::from_str(&agreed.config).expect("JSON");
    assert_eq!(config["routes"].as_array().map(Vec::len), Some(1));
    // A service that a route still names can't go.
    let change = json!({"rev": 9, "remove": {"services": ["s"]}});
    assert!(matches!(
        agreed.check(&amend(8, &change)),
        CommandOutcome::Invalid(_)
    ));
}

#[test]
fn what_makes_no_sense_is_invalid_and_changes_nothing() {
    let with = |change: &dyn Fn(&mut Value)| {
        let mut body = whole(7, vec![route("a", "s"), route("b", "s")]);
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
        let mut agreed = first();
        let before = agreed.clone();
        let verdict = agreed.apply(
            2,
            &Command::Replace {
                base: 5,
                body: body.clone(),
            },
        );
        assert!(
            matches!(verdict, CommandOutcome::Invalid(_)),
            "{verdict:?}: {body}"
        );
        assert_eq!(agreed, before);
    }
}

#[test]
fn orders_of_zones_that_a_former_build_wrote_count_as_they_did() {
    let mut agreed = first();
    let begin = |agreed: &mut ReplicatedState, index, zone: &str| {
        let expected_index = agreed.evacuations_index;
        agreed.apply(
            index,
            &Command::LegacyEvacuate {
                zone: zone.into(),
                expected_index,
            },
        )
    };
    let finish = |agreed: &mut ReplicatedState, index, zone: &str| {
        let expected_index = agreed.evacuations_index;
        agreed.apply(
            index,
            &Command::LegacyReturn {
                zone: zone.into(),
                expected_index,
            },
        )
    };
    assert_eq!(begin(&mut agreed, 2, "a"), CommandOutcome::Applied);
    assert_eq!(begin(&mut agreed, 3, "b"), CommandOutcome::Applied);
    assert_eq!(begin(&mut agreed, 4, "a"), CommandOutcome::Applied);
    assert_eq!(finish(&mut agreed, 5, "a"), CommandOutcome::Applied);
    assert_eq!(agreed.evacuation_count("a"), 1, "another order holds it");
    assert_eq!(finish(&mut agreed, 6, "a"), CommandOutcome::Applied);
    assert_eq!(
        agreed.evacuated_zones().collect::<Vec<_>>(),
        [(&"b".to_string(), 1)]
    );
    assert_eq!(finish(&mut agreed, 7, "a"), CommandOutcome::AlreadyApplied);
    assert_eq!((agreed.evacuations_index, agreed.config_index), (6, 1));
    // Decided before the last one came: neither counts twice.
    let late = Command::LegacyEvacuate {
        zone: "b".into(),
        expected_index: 5,
    };
    assert_eq!(agreed.apply(8, &late), CommandOutcome::Conflict);
    assert_eq!(agreed.evacuation_count("b"), 1);
}

#[test]
fn an_order_that_was_taken_is_never_refused_however_old() {
    let mut agreed = ReplicatedState::default();
    let body = |n: u64| json!({"rev": 2 * n + 3, "routes": [], "services": []});
    let order = |n: u64| replace(if n == 0 { 0 } else { 2 * n + 1 }, &body(n));
    let all = MAX_REMEMBERED_REVISIONS as u64 + 3;
    for n in 0..all {
        assert_eq!(agreed.apply(n + 1, &order(n)), CommandOutcome::Applied);
    }
    for n in 0..all {
        let known = if n < 3 {
            CommandOutcome::Expired
        } else {
            CommandOutcome::AlreadyApplied
        };
        assert_eq!(agreed.check(&order(n)), known, "order {n}");
    }
    // What can't have been taken is refused, also where its number is forgotten.
    let stale = replace(7, &json!({"rev": 5, "routes": [], "services": []}));
    assert_eq!(
        agreed.check(&stale),
        CommandOutcome::RevisionMismatch {
            current: agreed.revision
        }
    );
    let other = replace(2 * all - 1, &json!({"rev": 2 * all + 1, "routes": []}));
    assert_eq!(
        agreed.check(&other),
        CommandOutcome::RevisionMismatch {
            current: agreed.revision
        }
    );
    let restored = crate::snapshot::decode(&crate::snapshot::encode(&agreed).expect("written"));
    assert_eq!(restored.expect("read"), agreed, "kept through a snapshot");
    let size = crate::snapshot::encode(&agreed).map_or(0, |data| data.len());
    assert!(size < 50_000, "{size} bytes");
}

#[test]
fn what_was_refused_before_its_base_came_stays_refused() {
    let mut agreed = first();
    let early = replace(7, &whole(9, vec![route("a", "t")]));
    let verdict = agreed.check(&early);
    assert_eq!(verdict, CommandOutcome::RevisionMismatch { current: 5 });
    assert!(
        !agreed.is_final(&early, &verdict),
        "it has to stand in the log"
    );
    assert_eq!(agreed.apply(2, &early), verdict);
    assert!(agreed.is_final(&early, &verdict));
    assert_eq!(
        agreed.apply(3, &replace(5, &whole(7, vec![]))),
        CommandOutcome::Applied
    );
    assert_eq!(
        agreed.apply(4, &early),
        CommandOutcome::RevisionMismatch { current: 7 },
        "a copy of it, late"
    );
    let another = replace(7, &whole(10, vec![route("a", "t")]));
    assert_eq!(agreed.apply(5, &another), CommandOutcome::Applied);
    assert!(agreed.rejected_commands.is_empty(), "stale by now");
}

#[test]
fn an_amendment_that_lost_its_race_is_stale_whatever_it_would_lead_to_now() {
    let mut agreed = first();
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
    assert_eq!(agreed.apply(2, &uses), CommandOutcome::Applied);
    assert_eq!(
        agreed.apply(3, &remove(8, "t")),
        CommandOutcome::RevisionMismatch { current: 7 }
    );
}

#[test]
fn of_two_leaders_that_place_the_same_keys_one_is_heard() {
    use protocol::key_ranges::{LeaseHolder, Ownership};
    let mut agreed = first();
    let place = |was: u64, id: &str| {
        let addr = std::net::SocketAddr::from(([10, 0, 0, 1], 80));
        let owned = Ownership::Assigned(
            LeaseHolder {
                id: id.into(),
                addr,
            },
            None,
        );
        let changes = vec![KeyRangeChange {
            first: 0,
            last: u16::MAX,
            expected_token: was,
            ownership: owned,
        }];
        Command::AssignKeys {
            service: "s".into(),
            changes,
        }
    };
    assert_eq!(agreed.apply(7, &place(0, "a")), CommandOutcome::Applied);
    assert_eq!(
        agreed.apply(8, &place(0, "b")),
        CommandOutcome::Conflict,
        "decided on what was before"
    );
    assert_eq!(agreed.keys_index, 7);
    assert_eq!(agreed.apply(9, &place(1, "b")), CommandOutcome::Applied);
    assert_eq!((agreed.keys_index, agreed.config_index), (9, 1));
    let holder = agreed.keys["s"]
        .get(0)
        .and_then(|s| s.ownership.holder())
        .map(|h| h.id.as_str());
    assert_eq!(holder, Some("b"));
}
