//! Room for bodies, taken and given back.

use super::*;

#[test]
fn a_body_takes_room_until_its_last_copy_is_gone() {
    let allowance = BodyBudget::new(10);
    let read = |announced: usize, largest: usize| {
        let mut body = BodyBuffer::new(&allowance, announced, largest)?;
        body.add(b"123")?;
        body.add(b"456")?;
        Some(body.into_bytes())
    };
    let first = read(6, 6).expect("there is room");
    assert_eq!(first, "123456");
    assert!(
        read(6, 6).is_none() && read(0, 6).is_none(),
        "there is none"
    );
    let part = first.slice(2..3);
    drop(first);
    assert!(read(6, 6).is_none(), "a copy is left");
    drop(part);
    assert!(read(6, 5).is_none() && read(0, 5).is_none(), "too large");
    assert!(read(6, 6).is_some() && read(0, 6).is_some());
    assert_eq!(allowance.taken.load(Relaxed), 0);
}
