//! Tests of the status report.

use serde_json::json;

use super::*;

#[test]
fn leader_is_called_if_it_has_not_responded() {
    let called: [SocketAddr; 1] = ["10.0.0.1:70".parse().expect("an address")];
    let follower = json!({"leader": "10.0.0.9:7000", "members": null});
    let leader = json!({"leader": "10.0.0.9:7000", "members": []});
    let found = uncalled_leader(std::slice::from_ref(&follower), &called);
    assert_eq!(found, "10.0.0.9:70".parse().ok());
    assert_eq!(uncalled_leader(&[follower, leader], &called), None);
}

#[test]
fn members_are_shown_as_the_leader_reports_them() {
    let member = |address: &str, voter: bool, in_contact: bool, silence_ms: u64| {
        json!({"address": address, "voter": voter, "in_contact": in_contact,
            "silence_ms": silence_ms, "behind": 3})
    };
    let members = [
        member("a:1", true, true, 20),
        member("b:1", false, false, 7000),
    ];
    let leader = json!({"leader": "a:1", "losses_borne": 1, "members": members});
    let text = format_members(&leader);
    assert_eq!(
        text.lines().collect::<Vec<_>>(),
        [
            "leader a:1; 1 more voters can be lost",
            "MEMBER  KIND     CONTACT  SILENT MS  BEHIND",
            "a:1     voter    yes      20         3",
            "b:1     learner  NO       7000       3",
        ]
    );
    let follower = json!({"leader": "a:1", "members": null, "voters": ["a:1"], "learners": []});
    assert!(format_members(&follower).contains("voters a:1; learners ;"));
}
