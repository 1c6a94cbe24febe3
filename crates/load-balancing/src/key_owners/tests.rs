//! Tests of key ownership.

use super::*;
use crate::interface::RequestId;

#[test]
fn a_key_goes_to_its_latest_owner_unless_that_owner_rejected_it() {
    let mut owners = KeyOwners::default();
    let range = |first, last, server: Option<u32>| OwnedKeyRange {
        first,
        last,
        server: server.map(ServerId),
    };
    let (now, later) = (Time(0), Time(1_000_000));
    assert_eq!(owners.owner_of(now, 7), None);
    owners.replace(now, &[range(100, u16::MAX, None), range(0, 99, Some(1))]);
    assert_eq!(
        [0, 99, 100].map(|key| owners.owner_of(now, key)),
        [Some(ServerId(1)), Some(ServerId(1)), None]
    );
    let rejection = |id| {
        AttemptResult::new(
            RequestId(1),
            0,
            ServerId(id),
            AttemptOutcome::NotOwner,
            Span(9),
            true,
        )
    };
    owners.on_attempt_ended(now, 50, &rejection(1), 500_000.0);
    assert_eq!(
        (owners.owner_of(now, 0), owners.owner_of(later, 0)),
        (None, Some(ServerId(1)))
    );
    owners.replace(now, &[range(0, 99, Some(1)), range(100, u16::MAX, Some(2))]);
    assert_eq!(
        owners.owner_of(now, 0),
        None,
        "an update with the same owner keeps the pause"
    );
    owners.replace(now, &[range(0, 99, Some(3)), range(100, u16::MAX, Some(2))]);
    assert_eq!(owners.owner_of(now, 0), Some(ServerId(3)));
    owners.on_attempt_ended(now, 0, &rejection(1), 500_000.0);
    assert_eq!(
        owners.owner_of(now, 0),
        Some(ServerId(3)),
        "a rejection by an earlier owner does not pause the present one"
    );
}
