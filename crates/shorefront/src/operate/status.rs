//! `shorefront status`: how things stand, as the asked control balancers and their leader say.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use control_plane::operator_client::{OperatorClient, OperatorRequest};
use serde_json::Value;

use super::{Ended, Form, UNCLEAR, Whom, asked, table, word};

/// What one control balancer each says; balancers and zones as the first that answers sees them.
pub(super) async fn run(whom: &Whom) -> Result<String, Ended> {
    let (mut all, mut silent) = (Vec::new(), Vec::new());
    let OperatorClient {
        addresses,
        timeout: patience,
    } = whom.operator()?;
    for at in &addresses {
        match status_of(*at, patience).await {
            Ok(said) => all.push(said),
            Err(Ended(_, why)) => silent.push((*at, why)),
        }
    }
    if let Some(leader) = unasked_leader(&all, &addresses)
        && let Ok(said) = status_of(leader, patience).await
    {
        all.push(said);
    }
    let Some(first) = all.first() else {
        let why: Vec<_> = silent
            .iter()
            .map(|(at, why)| format!("{at}: {why}"))
            .collect();
        return Err(Ended(UNCLEAR, why.join("; ")));
    };
    if matches!(whom.output, Form::Json) {
        return Ok(Value::Array(all).to_string());
    }
    let newest = all
        .iter()
        .filter_map(|s| s["commit"].as_u64())
        .max()
        .unwrap_or(0);
    let mut rows = vec![["CONTROL", "ROLE", "TERM", "COMMIT", "BEHIND", "REV"].map(String::from)];
    for s in &all {
        let behind = newest - s["commit"].as_u64().unwrap_or(0);
        rows.push([
            word(&s["node"]),
            word(&s["role"]),
            word(&s["term"]),
            word(&s["commit"]),
            behind.to_string(),
            word(&s["rev"]),
        ]);
    }
    let mut shown = table(&rows);
    for (at, why) in &silent {
        let _ = writeln!(shown, "{at}: {why}");
    }
    // Only the leader knows how each member stands.
    let leading = all.iter().find(|s| !s["members"].is_null());
    shown += &log_members(leading.unwrap_or(first));
    for (zone, holds) in first["evacuated"].as_object().into_iter().flatten() {
        let _ = writeln!(shown, "zone {zone} is evacuated ({holds} times)");
    }
    for (service, keys) in first["keys"].as_object().into_iter().flatten() {
        let holders = keys["held"].as_object().map_or(0, serde_json::Map::len);
        let _ = writeln!(
            shown,
            "keys of {service}: {} slices at {holders} upstreams, {} on their way",
            keys["slices"], keys["leaving"]
        );
    }
    let mut rows = vec![["BALANCER", "ZONE", "HTTP", "STATE"].map(String::from)];
    for b in first["balancers"].as_array().into_iter().flatten() {
        let state = match (b["leaving"].as_bool(), b["ready"].as_bool()) {
            (Some(true), _) => "leaving",
            (_, Some(true)) => "ready",
            _ => "not ready",
        };
        rows.push([
            word(&b["node"]),
            word(&b["zone"]),
            word(&b["http"]),
            state.into(),
        ]);
    }
    Ok(shown + "\n" + &table(&rows))
}

async fn status_of(at: SocketAddr, patience: Duration) -> Result<Value, Ended> {
    asked(
        &OperatorClient {
            addresses: vec![at],
            timeout: patience,
        },
        &OperatorRequest::get("/-/Status"),
    )
    .await
}

/// The `ctl` address of the leader that was named, where no leader has answered: only it knows how each member
/// stands. Ports are alike on all machines.
fn unasked_leader(answers: &[Value], asked: &[SocketAddr]) -> Option<SocketAddr> {
    if answers.iter().any(|s| !s["members"].is_null()) {
        return None;
    }
    let leader = answers
        .iter()
        .find_map(|s| s["leader"].as_str()?.parse::<SocketAddr>().ok())?;
    Some(SocketAddr::new(leader.ip(), asked.first()?.port()))
}

/// The members of the log: how each stands, as the leader knows; else only who they are.
fn log_members(status: &Value) -> String {
    let mut shown = String::new();
    let Some(members) = status["members"].as_array() else {
        let list = |v: &Value| {
            v.as_array()
                .map(|l| l.iter().map(word).collect::<Vec<_>>().join(" "))
        };
        let _ = writeln!(
            shown,
            "leader {}; voters {}; learners {}; the leader was not asked: how they stand is not known",
            word(&status["leader"]),
            list(&status["voters"]).unwrap_or_default(),
            list(&status["learners"]).unwrap_or_default()
        );
        return shown;
    };
    let (leader, borne) = (word(&status["leader"]), word(&status["losses_borne"]));
    let _ = writeln!(shown, "leader {leader}; {borne} more voters can be lost");
    let mut rows = vec![["MEMBER", "KIND", "CONTACT", "SILENT MS", "BEHIND"].map(String::from)];
    for m in members {
        let kind = if m["voter"] == true {
            "voter"
        } else {
            "learner"
        };
        let contact = if m["in_contact"] == true { "yes" } else { "NO" };
        rows.push([
            word(&m["address"]),
            kind.into(),
            contact.into(),
            word(&m["silence_ms"]),
            word(&m["behind"]),
        ]);
    }
    shown + &table(&rows)
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;

    #[test]
    fn the_leader_is_asked_where_none_has_answered() {
        let asked: [SocketAddr; 1] = ["10.0.0.1:70".parse().expect("an address")];
        let follower = json!({"leader": "10.0.0.9:7000", "members": null});
        let leading = json!({"leader": "10.0.0.9:7000", "members": []});
        let found = unasked_leader(std::slice::from_ref(&follower), &asked);
        assert_eq!(found, "10.0.0.9:70".parse().ok());
        assert_eq!(unasked_leader(&[follower, leading], &asked), None);
    }

    #[test]
    fn members_are_shown_as_the_leader_knows_them() {
        let member = |address: &str, voter: bool, in_contact: bool, silence_ms: u64| {
            json!({"address": address, "voter": voter, "in_contact": in_contact,
                "silence_ms": silence_ms, "behind": 3})
        };
        let members = [
            member("a:1", true, true, 20),
            member("b:1", false, false, 7000),
        ];
        let leading = json!({"leader": "a:1", "losses_borne": 1, "members": members});
        let shown = log_members(&leading);
        assert_eq!(
            shown.lines().collect::<Vec<_>>(),
            [
                "leader a:1; 1 more voters can be lost",
                "MEMBER  KIND     CONTACT  SILENT MS  BEHIND",
                "a:1     voter    yes      20         3",
                "b:1     learner  NO       7000       3",
            ]
        );
        let follower = json!({"leader": "a:1", "members": null, "voters": ["a:1"], "learners": []});
        assert!(log_members(&follower).contains("voters a:1; learners ;"));
    }
}
