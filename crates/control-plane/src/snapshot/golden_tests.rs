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

/// Slices with each kind of owner.
fn slices() -> KeyRangeMap {
    let holder = |n: u8| {
        let addr = SocketAddr::from(([10, 0, 0, n], 8080));
        LeaseHolder {
            id: format!("u{n}"),
            addr,
        }
    };
    let owned = [
        Ownership::Unowned,
        Ownership::Assigned(holder(1), None),
        Ownership::Assigned(holder(2), Some("handover".into())),
        Ownership::Releasing(holder(3)),
    ];
    let mut slices = KeyRangeMap::default();
    for (n, owned) in (0..).zip(owned) {
        match owned {
            // A new variant needs a slice above.
            Ownership::Unowned | Ownership::Assigned(..) | Ownership::Releasing(_) => {}
        }
        let change = KeyRangeChange {
            first: n * 1000,
            last: n * 1000 + 999,
            expected_token: 0,
            ownership: owned,
        };
        assert!(slices.apply(40 + u64::from(n), &change));
    }
    slices
}

/// Orders with each kind of answer.
fn zone_orders() -> ZoneEvacuations {
    let sent = AcknowledgementState::Sent(AcknowledgementAttempt {
        term: 3,
        number: 70_000,
    });
    let answers = [
        AcknowledgementState::NotSent,
        sent,
        AcknowledgementState::ConnectionBroken,
        AcknowledgementState::Unknown,
    ];
    for answer in answers {
        match answer {
            // A new variant needs an order above.
            AcknowledgementState::NotSent
            | AcknowledgementState::Sent(_)
            | AcknowledgementState::ConnectionBroken
            | AcknowledgementState::Unknown => {}
        }
    }
    ZoneEvacuations {
        evacuations: (20..).zip(answers).collect(),
        returns: (300..).zip(answers).collect(),
    }
}

fn agreed() -> ReplicatedState {
    ReplicatedState {
        revision: 9,
        config_index: 30,
        config: CONFIG.into(),
        zone_evacuations: BTreeMap::from([("a".into(), zone_orders())]),
        evacuations_index: 303,
        keys: BTreeMap::from([("s".into(), slices())]),
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

fn agreed_before() -> StateBeforeForm4 {
    StateBeforeForm4 {
        rev: 9,
        config_index: 30,
        config: CONFIG.into(),
        evacuated: BTreeMap::from([("a".into(), 2), ("b".into(), 1)]),
        evacuated_index: 25,
        keys: BTreeMap::from([("s".into(), slices())]),
        keys_index: 43,
        taken: [7, 9].map(|rev| (rev, digest(rev as u8))).into(),
    }
}

/// The state of form 2, as it was written: without keys.
#[derive(Serialize)]
struct AgreedWithoutKeys {
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

fn without_keys() -> AgreedWithoutKeys {
    let StateBeforeForm4 {
        rev,
        config_index,
        config,
        evacuated,
        evacuated_index,
        taken,
        ..
    } = agreed_before();
    AgreedWithoutKeys {
        rev,
        config_index,
        config,
        evacuated,
        evacuated_index,
        taken,
    }
}

/// A snapshot of a former form is read as the state that the form-4 fixture holds.
fn check_former(name: &str, sample: &[u8], as_form_4: &str) {
    let fixture = fixture::bytes(name, sample);
    assert_eq!(sample, fixture, "{name}: encoded");
    let agreed = decode(&fixture).expect(name);
    let written = encode(&agreed).expect("encoded");
    assert_eq!(
        written,
        fixture::bytes(as_form_4, &written),
        "{name}: as form 4"
    );
    assert_eq!(decode(&written).expect("decoded"), agreed);
}

#[test]
fn a_snapshot_of_form_4_keeps_its_bytes() {
    let name = "snapshot_form_4.cbor";
    let sample = encode(&agreed()).expect("encoded");
    let fixture = fixture::bytes(name, &sample);
    assert_eq!(sample, fixture, "encoded");
    let decoded = decode(&fixture).expect("readable");
    assert_eq!(decoded, agreed(), "decoded");
    assert_eq!(encode(&decoded).expect("encoded"), fixture, "encoded again");
}

#[test]
fn a_snapshot_of_form_3_is_read_as_one_of_form_4() {
    let sample = Sample {
        form: FORM_OF_COUNTS,
        agreed: agreed_before(),
    };
    let sample = fixture::encode(&sample);
    check_former("snapshot_form_3.cbor", &sample, "snapshot_form_3_as_4.cbor");
}

#[test]
fn a_snapshot_of_form_2_is_read_as_one_of_form_4() {
    let sample = Sample {
        form: FORM_WITHOUT_KEYS,
        agreed: without_keys(),
    };
    let sample = fixture::encode(&sample);
    check_former("snapshot_form_2.cbor", &sample, "snapshot_form_2_as_4.cbor");
}
