//! Compatibility of snapshots: fixtures of each form that is read, and of the one that is written.

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

/// Ranges with each kind of ownership.
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
            // A new variant needs a range above.
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

/// Evacuations and returns with each state of acknowledgement.
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
            // A new variant needs a state above.
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

/// The state of form 2, as it was written: without keys.
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

fn without_keys() -> StateOfForm2 {
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

/// A snapshot of an earlier form is read as the state that the form-4 fixture holds.
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
        form: FORM_OF_COUNTS,
        agreed: state_before_form_4(),
    };
    let sample = fixture::encode(&sample);
    check_earlier_form("snapshot_form_3.cbor", &sample, "snapshot_form_3_as_4.cbor");
}

#[test]
fn form_2_is_read_as_form_4() {
    let sample = Sample {
        form: FORM_WITHOUT_KEYS,
        agreed: without_keys(),
    };
    let sample = fixture::encode(&sample);
    check_earlier_form("snapshot_form_2.cbor", &sample, "snapshot_form_2_as_4.cbor");
}
