//! Reservation and release of body memory.

use super::*;

#[test]
fn body_is_reserved_until_its_last_copy_is_dropped() {
    let budget = BodyBudget::new(10);
    let read = |announced: usize, max_bytes: usize| {
        let mut body = BodyBuffer::new(&budget, announced, max_bytes)?;
        body.append(b"123")?;
        body.append(b"456")?;
        Some(body.into_bytes())
    };
    let first = read(6, 6).expect("within the budget");
    assert_eq!(first, "123456");
    assert!(
        read(6, 6).is_none() && read(0, 6).is_none(),
        "the budget is exhausted"
    );
    let part = first.slice(2..3);
    drop(first);
    assert!(read(6, 6).is_none(), "a copy is left");
    drop(part);
    assert!(read(6, 5).is_none() && read(0, 5).is_none(), "too large");
    assert!(read(6, 6).is_some() && read(0, 6).is_some());
    assert_eq!(budget.reserved_bytes.load(Relaxed), 0);
}
