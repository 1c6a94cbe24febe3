//! Compatibility of snapshots: a fixture for each supported form.

use std::net::SocketAddr;

use protocol::key_ranges::{KeyRangeChange, LeaseHolder, Ownership};

use super::*;
use crate::evacuations::AcknowledgementAttempt;

#[path = "../../tests/golden/fixture.rs"]
mod fixture;

const CONFIG: &str = r#"{"rev":9,"routes":[],"services":[{"name":"s"}]}"#;

fn digest(n: u8) -> [u8; 32] {
    std::array::from_fn(|i| n.wrapping_add(i as u8))
}

/// Returns key ranges with each kind of ownership.
fn key_ranges() -> KeyRangeMap {
    let holder = |n: u8| {
        let addr = SocketAddr::from(([10, 0, 0, n], 8080));
        LeaseHolder {
            id: format!("u{n}"),
            addr,
        }
    };
    let ownerships = [
        Ownership::Unowned,
        Ownership::Assigned(holder(1), None),
        Ownership::Assigned(holder(2), Some("handover".into())),
        Ownership::Releasing(holder(3)),
    ];
    let mut ranges = KeyRangeMap::default();
    for (n, ownership) in (0..).zip(ownerships) {
        match ownership {
            // A new variant must be added to the list above.
            Ownership::Unowned | Ownership::Assigned(..) | Ownership::Releasing(_) => {}
        }
        let change = KeyRangeChange {
            first: n * 1000,
            last: n * 1000 + 999,
            expected_token: 0,
            ownership,
        };
        assert!(ranges.apply(40 + u64::from(n), &change));
    }
    ranges
}

/// Returns evacuations and returns with each state of an acknowledgement.
fn zone_evacuations() -> ZoneEvacuations {
    let sent = AcknowledgementState::Sent(AcknowledgementAttempt {
        term: 3,
        number: 70_000,
    });
    let states = [
        AcknowledgementState::NotSent,
        sent,
        AcknowledgementState::ConnectionBroken,
        AcknowledgementState::Unknown,
    ];
    for state in states {
        match state {
            // A new variant must be added to the list above.
            AcknowledgementState::NotSent
            | AcknowledgementState::Sent(_)
            | AcknowledgementState::ConnectionBroken
            | AcknowledgementState::Unknown => {}
        }
    }
    ZoneEvacuations {
        evacuations: (20..).zip(states).collect(),
        returns: (300..).zip(states).collect(),
    }
}

fn state() -> ReplicatedState {
    ReplicatedState {
        revision: 9,
        config_index: 30,
        config: CONFIG.into(),
        zone_evacuations: BTreeMap::from([("a".into(), zone_evacuations())]),
        evacuations_index: 303,
        keys: BTreeMap::from([("s".into(), key_ranges())]),
        keys_index: 43,
        accepted_revisions: [7, 9]
            .map(|rev| (rev, CommandDigest::from_leading_bytes(&digest(rev as u8))))
            .into(),
        last_expired_revision: 5,
        rejected_commands: [11, 12]
            .map(|base| (base, CommandDigest::from_leading_bytes(&digest(base as u8))))
            .into(),
    }
}

fn state_before_form_4() -> StateBeforeForm4 {
    StateBeforeForm4 {
        rev: 9,
        config_index: 30,
        config: CONFIG.into(),
        evacuated: BTreeMap::from([("a".into(), 2), ("b".into(), 1)]),
        evacuated_index: 25,
        keys: BTreeMap::from([("s".into(), key_ranges())]),
        keys_index: 43,
        taken: [7, 9].map(|rev| (rev, digest(rev as u8))).into(),
    }
}

/// The state in form 2, which has no keys.
#[derive(Serialize)]
struct StateOfForm2 {
    rev: u64,
    config_index: u64,
    config: Arc<str>,
    evacuated: BTreeMap<String, u32>,
    evacuated_index: u64,
    taken: BTreeMap<u64, [u8; 32]>,
}

#[derive(Serialize)]
struct Sample<T> {
    form: u32,
    agreed: T,
}

fn state_of_form_2() -> StateOfForm2 {
    let StateBeforeForm4 {
        rev,
        config_index,
        config,
        evacuated,
        evacuated_index,
        taken,
        ..
    } = state_before_form_4();
    StateOfForm2 {
        rev,
        config_index,
        config,
        evacuated,
        evacuated_index,
        taken,
    }
}

/// Checks that a snapshot of an earlier form is decoded as the state in the form 4 fixture.
fn check_earlier_form(name: &str, sample: &[u8], as_form_4: &str) {
    let fixture = fixture::bytes(name, sample);
    assert_eq!(sample, fixture, "{name}: encoded");
    let state = decode(&fixture).expect(name);
    let encoded = encode(&state).expect("encoded");
    assert_eq!(
        encoded,
        fixture::bytes(as_form_4, &encoded),
        "{name}: as form 4"
    );
    assert_eq!(decode(&encoded).expect("decoded"), state);
}

#[test]
fn form_4_keeps_its_bytes() {
    let name = "snapshot_form_4.cbor";
    let sample = encode(&state()).expect("encoded");
    let fixture = fixture::bytes(name, &sample);
    assert_eq!(sample, fixture, "encoded");
    let decoded = decode(&fixture).expect("readable");
    assert_eq!(decoded, state(), "decoded");
    assert_eq!(encode(&decoded).expect("encoded"), fixture, "encoded again");
}

#[test]
fn form_3_is_read_as_form_4() {
    let sample = Sample {
        form: FORM_WITH_EVACUATION_COUNTS,
        agreed: state_before_form_4(),
    };
    let sample = fixture::encode(&sample);
    check_earlier_form("snapshot_form_3.cbor", &sample, "snapshot_form_3_as_4.cbor");
}

#[test]
fn form_2_is_read_as_form_4() {
    let sample = Sample {
        form: FORM_WITHOUT_KEYS,
        agreed: state_of_form_2(),
    };
    let sample = fixture::encode(&sample);
    check_earlier_form("snapshot_form_2.cbor", &sample, "snapshot_form_2_as_4.cbor");
}
