//! Reservation and release of body memory.

use super::*;

#[test]
fn body_is_reserved_until_its_last_copy_is_dropped() {
    let budget = BodyBudget::new(10);
    let read = |announced: usize, max_bytes: usize| {
        let mut body = BodyBuffer::new(&budget, announced, max_bytes)?;
        body.append(b"123").ok()?;
        body.append(b"456").ok()?;
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
    assert_eq!(budget.usage.reserved_bytes.load(Relaxed), 0);
}

/// Guards against a response that fails although the memory of another one is released soon, and against one that waits
/// for memory that nobody releases.
#[tokio::test(start_paused = true)]
async fn body_waits_for_memory_only_while_others_hold_some() {
    let budget = BodyBudget::new(10);
    assert!(!budget.is_held_by_others(0), "nobody holds any");
    let held = Rc::new(std::cell::RefCell::new(budget.reserve(10)));
    assert!(!budget.is_held_by_others(10), "nobody else holds any");
    assert!(budget.is_held_by_others(0));
    let releasing = held.clone();
    budget.set_shortage_handler(move || drop(releasing.borrow_mut().take()));
    assert!(BodyBuffer::new(&budget, 1, 10).is_none());
    budget.start_waiting().expect("it may wait").wait().await;
    assert!(BodyBuffer::new(&budget, 1, 10).is_some());
    assert!(!budget.is_held_by_others(0), "nobody holds any more");
}

/// Guards against bodies that wait without a bound, each with a connection to an upstream.
#[test]
fn number_of_waiting_bodies_is_limited() {
    let budget = BodyBudget::new(10);
    let mut waiting: Vec<_> = (0..MAX_WAITING_BODIES)
        .map(|_| budget.start_waiting().expect("it may wait"))
        .collect();
    assert!(budget.start_waiting().is_none());
    waiting.pop();
    assert!(budget.start_waiting().is_some());
}
