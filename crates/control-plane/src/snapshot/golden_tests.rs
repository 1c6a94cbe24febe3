//! Compatibility of snapshots: fixtures of each form that is read, and of the one that is written.

use std::net::SocketAddr;

use protocol::keys::{Change, Holder, Owned};

use super::*;
use crate::evacuations::Attempt;

#[path = "../../tests/golden/fixture.rs"]
mod fixture;

const CONFIG: &str = r#"{"rev":9,"routes":[],"services":[{"name":"s"}]}"#;

fn digest(n: u8) -> [u8; 32] {
    std::array::from_fn(|i| n.wrapping_add(i as u8))
}

/// Slices with each kind of owner.
fn slices() -> Slices {
    let holder = |n: u8| {
        let addr = SocketAddr::from(([10, 0, 0, n], 8080));
        Holder { id: format!("u{n}"), addr }
    };
    let owned = [
        Owned::Free,
        Owned::By(holder(1), None),
        Owned::By(holder(2), Some("handover".into())),
        Owned::Leaving(holder(3)),
    ];
    let mut slices = Slices::default();
    for (n, owned) in (0..).zip(owned) {
        match owned {
            // A new variant needs a slice above.
            Owned::Free | Owned::By(..) | Owned::Leaving(_) => {}
        }
        let change = Change { since: n * 1000, to: n * 1000 + 999, was: 0, owned };
        assert!(slices.apply(40 + u64::from(n), &change));
    }
    slices
}

/// Orders with each kind of answer.
fn zone_orders() -> ZoneOrders {
    let written = Answer::Written(Attempt { term: 3, number: 70_000 });
    let answers = [Answer::Unwritten, written, Answer::Broken, Answer::Unknown];
    for answer in answers {
        match answer {
            // A new variant needs an order above.
            Answer::Unwritten | Answer::Written(_) | Answer::Broken | Answer::Unknown => {}
        }
    }
    ZoneOrders {
        evacuations: (20..).zip(answers).collect(),
        returns: (300..).zip(answers).collect(),
    }
}

fn agreed() -> Agreed {
    Agreed {
        rev: 9,
        config_index: 30,
        config: CONFIG.into(),
        zones: BTreeMap::from([("a".into(), zone_orders())]),
        evacuated_index: 303,
        keys: BTreeMap::from([("s".into(), slices())]),
        keys_index: 43,
        taken: [7, 9].map(|rev| (rev, OrderDigest::of(&digest(rev as u8)))).into(),
        forgotten: 5,
        refused: [11, 12].map(|base| (base, OrderDigest::of(&digest(base as u8)))).into(),
    }
}

fn agreed_before() -> AgreedBefore {
    AgreedBefore {
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
    let AgreedBefore { rev, config_index, config, evacuated, evacuated_index, taken, .. } =
        agreed_before();
    AgreedWithoutKeys { rev, config_index, config, evacuated, evacuated_index, taken }
}

/// A snapshot of a former form is read as the state that the form-4 fixture holds.
fn check_former(name: &str, sample: &[u8], as_form_4: &str) {
    let fixture = fixture::bytes(name, sample);
    assert_eq!(sample, fixture, "{name}: encoded");
    let agreed = read(&fixture).expect(name);
    let written = written(&agreed).expect("encoded");
    assert_eq!(written, fixture::bytes(as_form_4, &written), "{name}: as form 4");
    assert_eq!(read(&written), Ok(agreed));
}

#[test]
fn a_snapshot_of_form_4_keeps_its_bytes() {
    let name = "snapshot_form_4.cbor";
    let sample = written(&agreed()).expect("encoded");
    let fixture = fixture::bytes(name, &sample);
    assert_eq!(sample, fixture, "encoded");
    let decoded = read(&fixture).expect("readable");
    assert_eq!(decoded, agreed(), "decoded");
    assert_eq!(written(&decoded), Some(fixture), "encoded again");
}

#[test]
fn a_snapshot_of_form_3_is_read_as_one_of_form_4() {
    let sample = Sample { form: FORM_OF_COUNTS, agreed: agreed_before() };
    let sample = fixture::encode(&sample);
    check_former("snapshot_form_3.cbor", &sample, "snapshot_form_3_as_4.cbor");
}

#[test]
fn a_snapshot_of_form_2_is_read_as_one_of_form_4() {
    let sample = Sample { form: FORM_WITHOUT_KEYS, agreed: without_keys() };
    let sample = fixture::encode(&sample);
    check_former("snapshot_form_2.cbor", &sample, "snapshot_form_2_as_4.cbor");
}
