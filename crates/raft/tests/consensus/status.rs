//! Tests the status that a member reports.

use raft::Role;

/// The control plane's status page shows the role, and operators' tools parse it.
#[test]
fn role_text_is_stable() {
    let texts = [
        Role::Follower,
        Role::PreCandidate,
        Role::Candidate,
        Role::Leader,
    ]
    .map(|role| role.to_string());
    assert_eq!(
        texts,
        [
            "follower",
            "candidate { pre: true }",
            "candidate { pre: false }",
            "leader"
        ]
    );
}
