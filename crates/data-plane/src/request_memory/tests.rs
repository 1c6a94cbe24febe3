//! Which bodies get memory and which give way, in paused time.

use std::time::Duration;

use tokio::time::advance;

use super::eviction::{DISCONNECTED_AFTER, STALLED_AFTER};
use super::*;
use crate::client_connections::ConnectionShortage;
use crate::request_budget::SMALL_BODY_BYTES;

/// Memory for three large bodies and some small ones.
const LIMITS: RequestMemoryLimits = RequestMemoryLimits {
    shared_bytes: 3 << 20,
    small_body_bytes: 64 << 10,
    bodies_and_connections_bytes: 0,
};
const MAX_BYTES: usize = 8 << 20;

/// Appends this many bytes to a body.
fn append(
    memory: &RequestMemory,
    entry: &TableEntry<'_>,
    bytes: usize,
) -> Result<(), ReceiveError> {
    let data = Bytes::from(vec![b'x'; bytes]);
    memory.append(entry, &data, MAX_BYTES, Instant::now())
}

/// Starts a body of unknown length with this many bytes.
fn start(memory: &RequestMemory, bytes: usize) -> TableEntry<'_> {
    let entry = memory.add_to_table(None);
    append(memory, &entry, bytes).expect("memory for the body");
    entry
}

/// Guards against a body that keeps its memory after it was evicted or has ended.
#[tokio::test(start_paused = true)]
async fn memory_is_reserved_until_the_body_is_dropped() {
    let memory = RequestMemory::new(LIMITS);
    let entry = start(&memory, 1 << 20);
    let reserved = memory.budget.reserved_bytes();
    assert!((1 << 20..(1 << 20) + 2 * SMALL_BODY_BYTES).contains(&reserved));
    let body = entry.body.take_content().into_body();
    drop(entry);
    assert_eq!(body.len(), 1 << 20);
    assert_eq!(
        memory.budget.reserved_bytes(),
        reserved,
        "complete, not yet forwarded"
    );
    drop(body);
    assert_eq!(memory.budget.reserved_bytes(), 0);
}

/// Guards against large bodies that lock out a small one, and against bodies that evict each other without end.
#[tokio::test(start_paused = true)]
async fn largest_incomplete_body_gives_way() {
    let memory = RequestMemory::new(LIMITS);
    let large = start(&memory, 2 << 20);
    let medium = start(&memory, 1 << 19);
    assert_eq!(
        append(&memory, &large, 1 << 20),
        Err(ReceiveError::NoMemory),
        "the largest is the one that grows"
    );
    assert!(!medium.body.is_evicted.get());
    append(&memory, &medium, 3 << 19).expect("a larger one gives way");
    assert!(large.body.is_evicted.get() && !medium.body.is_evicted.get());
    assert_eq!(memory.evictions.get(EvictionReason::Preempted), 1);
    assert_eq!(memory.evictions.get(EvictionReason::NoMemory), 1);
}

/// Guards against stalled bodies that lock out one that is being sent.
#[tokio::test(start_paused = true)]
async fn stalled_body_gives_way_to_a_larger_one() {
    let memory = RequestMemory::new(LIMITS);
    let stalled = start(&memory, 1 << 20);
    advance(STALLED_AFTER).await;
    let sending = start(&memory, 1 << 20);
    append(&memory, &sending, 3 << 19).expect("the stalled one gives way");
    assert!(stalled.body.is_evicted.get());
}

/// Guards against an eviction that ends a request which may already be forwarded.
#[tokio::test(start_paused = true)]
async fn complete_body_does_not_give_way() {
    let memory = RequestMemory::new(LIMITS);
    let entry = start(&memory, 5 << 19);
    let complete = entry.body.take_content().into_body();
    drop(entry);
    advance(STALLED_AFTER).await;
    let next = start(&memory, 1 << 18);
    assert_eq!(append(&memory, &next, 1 << 20), Err(ReceiveError::NoMemory));
    assert_eq!(complete.len(), 5 << 19);
    // The memory for small bodies is not available to large ones.
    drop(start(&memory, 1000));
}

/// Guards against small bodies that lock out each other: the smallest one is always received.
#[tokio::test(start_paused = true)]
async fn smaller_body_is_received_beside_many_others() {
    let memory = RequestMemory::new(LIMITS);
    let others: Vec<_> = (0..100).map(|_| start(&memory, 32 << 10)).collect();
    let small = start(&memory, 1000);
    let evicted = others.iter().filter(|other| other.body.is_evicted.get());
    assert!(evicted.count() > 0 && !small.body.is_evicted.get());
}

/// Guards against connections that stalled requests occupy for good.
#[tokio::test(start_paused = true)]
async fn longest_stalled_body_is_evicted_for_its_connection() {
    let memory = RequestMemory::new(LIMITS);
    let first = start(&memory, 100);
    advance(Duration::from_millis(1)).await;
    let second = start(&memory, 100);
    let level = ShortageLevel::default();
    assert!(
        !memory.evict_slowest(level),
        "none has stalled for long enough"
    );
    advance(DISCONNECTED_AFTER).await;
    append(&memory, &first, 1000).expect("memory for the body");
    assert!(memory.evict_slowest(level));
    assert!(second.body.is_evicted.get() && !first.body.is_evicted.get());
    assert!(
        !memory.evict_slowest(level),
        "the other one has just sent data"
    );
}

/// Guards against clients that keep their connections with a byte now and then, and against a limit that ends slow clients
/// too: only the body below the minimum rate gives way, unless connections remain short.
#[tokio::test(start_paused = true)]
async fn trickling_body_is_evicted_but_not_a_slow_one() {
    let memory = RequestMemory::new(LIMITS);
    let (trickling, slow) = (start(&memory, 1), start(&memory, 1));
    let calm = ShortageLevel::default();
    for _ in 0..100 {
        advance(Duration::from_millis(200)).await;
        append(&memory, &trickling, 1).expect("memory for the body");
        append(&memory, &slow, 120).expect("memory for the body");
    }
    assert!(memory.evict_slowest(calm));
    assert!(trickling.body.is_evicted.get() && !slow.body.is_evicted.get());
    assert!(!memory.evict_slowest(calm), "600 bytes a second");
    let shortage = ConnectionShortage::default();
    for _ in 0..3 {
        shortage.on_nothing_evicted();
        advance(Duration::from_millis(500)).await;
    }
    assert!(memory.evict_slowest(shortage.level()) && slow.body.is_evicted.get());
}

/// Guards against bodies that trickle and thereby keep memory from others: one gives way to a larger one that is sent.
#[tokio::test(start_paused = true)]
async fn trickling_body_gives_way_to_a_larger_one() {
    let memory = RequestMemory::new(LIMITS);
    let trickling = start(&memory, 1 << 20);
    for _ in 0..10 {
        advance(STALLED_AFTER / 2).await;
        append(&memory, &trickling, 1).expect("memory for the body");
    }
    let sending = start(&memory, 1 << 20);
    append(&memory, &sending, 3 << 19).expect("the trickling one gives way");
    assert!(trickling.body.is_evicted.get());
}

/// Guards against a limit that bodies meet in calm, and against memory that bodies and connections use twice.
#[tokio::test(start_paused = true)]
async fn bodies_and_connections_share_what_the_others_leave() {
    const CONNECTIONS_BESIDE_FIVE_MIB: usize = 300;
    let memory = RequestMemory::new(RequestMemoryLimits {
        bodies_and_connections_bytes: (5 << 20) + CONNECTIONS_BESIDE_FIVE_MIB * (60 << 10),
        ..LIMITS
    });
    assert_eq!(memory.max_connections(), usize::MAX);
    let largest = start(&memory, 5 << 20);
    while append(&memory, &largest, SMALL_BODY_BYTES).is_ok() {}
    assert!(memory.max_connections() >= 256, "for other clients");
    drop(largest);
    memory.set_open_connections(CONNECTIONS_BESIDE_FIVE_MIB);
    let body = start(&memory, (5 << 20) - SMALL_BODY_BYTES);
    let connections = memory.max_connections();
    assert!((300..=301).contains(&connections), "{connections}");
    assert_eq!(append(&memory, &body, 1 << 20), Err(ReceiveError::NoMemory));
    drop(body);
    assert_eq!(memory.max_connections(), usize::MAX);
    memory.set_open_connections(1000);
    drop(start(&memory, (3 << 20) - SMALL_BODY_BYTES));
}
