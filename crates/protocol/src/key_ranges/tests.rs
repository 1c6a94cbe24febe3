use super::*;

fn holder(id: &str) -> LeaseHolder {
    LeaseHolder {
        id: id.into(),
        addr: SocketAddr::from(([10, 0, 0, 1], 80)),
    }
}

fn change(first: u16, last: u16, expected_token: u64, ownership: Ownership) -> KeyRangeChange {
    KeyRangeChange {
        first,
        last,
        expected_token,
        ownership,
    }
}

fn row(first: u16, last: u16, owner: Option<String>) -> KeyRangeRow {
    KeyRangeRow { first, last, owner }
}

#[test]
fn second_change_based_on_one_state_has_no_effect() {
    let mut ranges = KeyRangeMap::default();
    let assigned = |id: &str| Ownership::Assigned(holder(id), None);
    assert!(ranges.apply(1, &change(0, 99, 0, assigned("a"))));
    assert!(
        !ranges.apply(2, &change(0, 99, 0, assigned("b"))),
        "the range already exists"
    );
    assert!(
        !ranges.apply(2, &change(50, 120, 0, assigned("b"))),
        "overlaps an existing range"
    );
    assert!(ranges.apply(2, &change(100, u16::MAX, 0, assigned("b"))));
    assert!(ranges.apply(3, &change(0, 99, 1, Ownership::Releasing(holder("a")))));
    assert!(
        !ranges.apply(4, &change(0, 99, 1, assigned("c"))),
        "based on an earlier state"
    );
    assert!(
        !ranges.apply(4, &change(0, 100, 2, assigned("c"))),
        "extends beyond the range"
    );
    assert_eq!(ranges.get(0).map(|s| s.fencing_token), Some(2));
}

#[test]
fn partial_change_splits_range() {
    let mut ranges = KeyRangeMap::default();
    let assigned = |id: &str| Ownership::Assigned(holder(id), None);
    ranges.apply(1, &change(0, u16::MAX, 0, assigned("a")));
    assert!(ranges.apply(2, &change(100, 199, 1, Ownership::Releasing(holder("a")))));
    let rows = ranges.changed_since(1);
    let a = Some("a".to_string());
    assert_eq!(
        rows,
        [
            row(0, 99, a.clone()),
            row(100, 199, None),
            row(200, u16::MAX, a)
        ]
    );
    assert!(
        !ranges.apply(3, &change(0, u16::MAX, 1, assigned("b"))),
        "based on the range before the split"
    );
    assert!(
        !ranges.apply(3, &change(0, 99, 1, assigned("b"))),
        "the token of the remaining part was incremented too"
    );
    assert!(ranges.apply(3, &change(0, 99, 2, assigned("b"))));
    let mut view = KeyRangeView::default();
    view.apply(&[row(0, u16::MAX, Some("a".into()))]);
    view.apply(&ranges.changed_since(1));
    assert_eq!(
        view.rows().cloned().collect::<Vec<_>>(),
        ranges.changed_since(0)
    );
}

#[test]
fn view_follows_changes() {
    let (mut ranges, mut view) = (KeyRangeMap::default(), KeyRangeView::default());
    for i in 0..16u16 {
        let (first, last) = (i * 4096, i * 4096 + 4095);
        ranges.apply(
            1,
            &change(
                first,
                last,
                0,
                Ownership::Assigned(holder(&format!("i-{i}")), None),
            ),
        );
    }
    view.apply(&ranges.changed_since(0));
    ranges.apply(
        2,
        &change(4096, 8191, 1, Ownership::Releasing(holder("i-1"))),
    );
    ranges.apply(
        5,
        &change(
            4096,
            8191,
            2,
            Ownership::Assigned(holder("i-9"), Some("h".into())),
        ),
    );
    let rows = ranges.changed_since(1);
    assert_eq!(
        rows,
        [row(4096, 8191, Some("i-9".into()))],
        "only the changed range, in its current state"
    );
    view.apply(&rows);
    assert_eq!(
        view.rows().cloned().collect::<Vec<_>>(),
        ranges.changed_since(0)
    );
    view.apply(&[row(4000, 9000, None)]);
    assert_eq!(
        view.rows().map(|r| r.first).collect::<Vec<_>>()[..2],
        [4000, 12288]
    );
}
