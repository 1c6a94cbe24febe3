//! Encodings of log entries, as stored on disk and sent in messages.

use std::collections::BTreeMap;

use raft::{Entry, Members, Payload};

use crate::fixture::{check, encode};

pub(crate) fn members() -> Members {
    Members {
        voters: BTreeMap::from([(1, "10.0.0.1:70".into()), (u64::MAX, "10.0.0.2:70".into())]),
        learners: BTreeMap::from([(300, "10.0.0.3:70".into())]),
    }
}

pub(crate) fn entries() -> Vec<Entry> {
    let data = encode(&crate::commands::replace(5, 7));
    let payloads = [
        Payload::Empty,
        Payload::Data(data),
        Payload::Members(members()),
    ];
    let entry = |(index, payload)| Entry {
        term: 3,
        index,
        payload,
    };
    (300..).zip(payloads).map(entry).collect()
}

/// Returns the fixture of an entry. Each new variant needs one.
fn fixture_name(payload: &Payload) -> &'static str {
    match payload {
        Payload::Empty => "entry_empty.cbor",
        Payload::Data(_) => "entry_data.cbor",
        Payload::Members(_) => "entry_members.cbor",
    }
}

#[test]
fn entry_encodings_are_unchanged() {
    for sample in entries() {
        check(fixture_name(&sample.payload), &sample);
    }
}
