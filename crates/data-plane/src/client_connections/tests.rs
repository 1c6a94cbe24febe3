//! Timeouts and eviction of client connections, in paused time.

use std::task::Poll;
use std::time::Duration;

use tokio::time::{advance, timeout};

use super::connection::{
    EVICT_IDLE_AFTER, EVICT_STOPPED_READER_AFTER, EVICT_UNREAD_AFTER, EVICT_UNUSED_AFTER,
};
use super::*;

const TIMEOUTS: ClientTimeouts = ClientTimeouts {
    header: Duration::from_millis(2000),
    idle: Duration::from_secs(4),
};

/// Returns whether the connection was evicted.
async fn is_evicted(slot: &ConnectionSlot) -> bool {
    timeout(Duration::ZERO, slot.connection.wait_for_eviction())
        .await
        .is_ok()
}

#[tokio::test(start_paused = true)]
async fn longest_idle_connection_is_evicted_but_none_with_an_open_request() {
    let all = ClientConnections::new(3, 3, TIMEOUTS);
    let slots: Vec<ConnectionSlot> = (0..3).map(|_| all.register(Traffic::default())).collect();
    assert!(all.is_full());
    slots[0].connection.on_request();
    all.evict_idle();
    assert!(
        !is_evicted(&slots[1]).await && !is_evicted(&slots[2]).await,
        "new connections had no time to send a request"
    );
    advance(EVICT_UNUSED_AFTER).await;
    slots[1].on_response();
    all.evict_idle();
    assert!(
        is_evicted(&slots[2]).await && !is_evicted(&slots[1]).await && !is_evicted(&slots[0]).await
    );
    drop(slots);
    assert_eq!(all.len(), 0);
}

#[tokio::test(start_paused = true)]
async fn longest_idle_connections_are_closed_beyond_the_threshold() {
    let all = ClientConnections::new(100, 4, TIMEOUTS);
    let mut slots = Vec::new();
    for _ in 0..10 {
        let slot = all.register(Traffic::default());
        slot.connection.on_request();
        advance(Duration::from_millis(1)).await;
        slot.on_response();
        slots.push(slot);
    }
    for (i, slot) in slots.iter().enumerate() {
        assert_eq!(is_evicted(slot).await, i < 6, "connection {i}");
    }
}

/// Returns whether the connection has to be closed.
async fn has_ended(slot: &ConnectionSlot) -> bool {
    timeout(Duration::ZERO, slot.connection.wait_for_end())
        .await
        .is_ok()
}

#[tokio::test(start_paused = true)]
async fn slowly_read_response_is_written_completely_before_the_idle_timeout_starts() {
    let all = ClientConnections::new(1, 1, TIMEOUTS);
    let traffic = Traffic::default();
    let slot = all.register(traffic.clone());
    slot.on_response();
    let second = Duration::from_secs(1);
    for _ in 0..3 {
        traffic.record_write(&Poll::Ready(Ok(1000)));
        traffic.record_write(&Poll::Pending);
        assert!(!slot.connection.is_idle());
        // Meanwhile the first bytes of the next request arrive.
        traffic.record_read(10);
        assert!(!has_ended(&slot).await);
        advance(3 * second).await;
        all.evict_idle();
        assert!(!has_ended(&slot).await && !slot.connection.is_idle());
    }
    traffic.record_write(&Poll::Ready(Ok(1000)));
    assert!(!has_ended(&slot).await, "the next head has its own timeout");
    advance(2 * second).await;
    assert!(has_ended(&slot).await, "the header timeout has passed");

    slot.on_response();
    advance(3 * second).await;
    traffic.record_write(&Poll::Ready(Ok(1000)));
    assert!(!has_ended(&slot).await);
    advance(3 * second).await;
    assert!(!has_ended(&slot).await, "idle since the last byte written");
    advance(second).await;
    assert!(has_ended(&slot).await);

    // A reader that reads nothing for the idle timeout, and one that reads a byte within each idle timeout.
    for (pace, ends_after) in [(4, 1), (3, 6)] {
        slot.on_response();
        for turn in 1..=ends_after {
            traffic.record_write(&Poll::Ready(Ok(1)));
            traffic.record_write(&Poll::Pending);
            assert!(!has_ended(&slot).await, "{pace} s");
            advance(pace * second).await;
            assert_eq!(
                has_ended(&slot).await,
                turn == ends_after,
                "{pace} s, turn {turn}"
            );
        }
    }
}

#[tokio::test(start_paused = true)]
async fn request_that_arrives_during_an_eviction_is_served() {
    let all = ClientConnections::new(1, 1, TIMEOUTS);
    let slot = all.register(Traffic::default());
    slot.on_response();
    advance(EVICT_IDLE_AFTER).await;
    all.evict_idle();
    slot.connection.on_request();
    assert!(!is_evicted(&slot).await);
    slot.on_response();
    assert!(!is_evicted(&slot).await);
}

/// Returns the only connection of a listener, with a long idle timeout, whose client has just got its response.
fn connection_with_response() -> (Rc<ClientConnections>, ConnectionSlot, Traffic) {
    let timeouts = ClientTimeouts {
        idle: Duration::from_secs(60),
        ..TIMEOUTS
    };
    let all = ClientConnections::new(1, 1, timeouts);
    let traffic = Traffic::default();
    let slot = all.register(traffic.clone());
    slot.on_response();
    (all, slot, traffic)
}

/// Guards against clients that read nothing and thereby occupy every connection.
#[tokio::test(start_paused = true)]
async fn client_that_stopped_reading_is_evicted_for_another_one() {
    let (all, slot, traffic) = connection_with_response();
    traffic.record_write(&Poll::Pending);
    assert!(!has_ended(&slot).await);
    assert!(!all.evict_idle(), "the response has just been passed on");
    advance(EVICT_UNREAD_AFTER).await;
    assert!(all.evict_idle() && is_evicted(&slot).await);
}

/// Guards against unread responses that occupy the memory for all responses.
#[tokio::test(start_paused = true)]
async fn slowest_reader_is_evicted_where_memory_is_short() {
    let all = ClientConnections::new(3, 3, TIMEOUTS);
    let traffic: Vec<_> = (0..3).map(|_| Traffic::default()).collect();
    let slots: Vec<_> = traffic.iter().map(|t| all.register(t.clone())).collect();
    for (slot, traffic) in slots.iter().zip(&traffic) {
        slot.on_response();
        traffic.record_write(&Poll::Pending);
        advance(Duration::from_millis(1)).await;
    }
    // The first one has read its response.
    traffic[0].record_write(&Poll::Ready(Ok(1000)));
    assert!(!all.evict_slow_reader());
    for slot in &slots {
        assert!(!is_evicted(slot).await, "they had no time to read");
    }
    advance(EVICT_STOPPED_READER_AFTER).await;
    assert!(all.evict_slow_reader() && !all.evict_slow_reader());
    let evicted = [
        is_evicted(&slots[0]).await,
        is_evicted(&slots[1]).await,
        is_evicted(&slots[2]).await,
    ];
    assert_eq!(
        evicted,
        [false, true, false],
        "the slowest, and one at a time"
    );
    drop(slots);
    assert!(!all.evict_slow_reader(), "nobody is left to release memory");

    // A client that reads on, but not all of its response within a second.
    let reading = all.register(traffic[0].clone());
    reading.on_response();
    for _ in 0..5 {
        assert!(!all.evict_slow_reader() && !has_ended(&reading).await);
        advance(EVICT_STOPPED_READER_AFTER * 4 / 5).await;
        traffic[0].record_write(&Poll::Ready(Ok(1000)));
        traffic[0].record_write(&Poll::Pending);
    }
    assert!(all.evict_slow_reader(), "its response is a second old");
}

/// Guards against clients that keep all connections because they stay just within every threshold: their timeouts are
/// shortened while others wait, and recover afterwards.
#[tokio::test(start_paused = true)]
async fn timeouts_are_shortened_while_nobody_can_be_evicted() {
    let (all, slot, traffic) = connection_with_response();
    let step = Duration::from_millis(500);
    let mut steps = 0;
    while !all.evict_idle() {
        all.shortage().on_nothing_evicted();
        steps += 1;
        // The client reads a part within each step.
        traffic.record_write(&Poll::Ready(Ok(8192)));
        traffic.record_write(&Poll::Pending);
        assert!(!has_ended(&slot).await);
        advance(step).await;
    }
    assert!(is_evicted(&slot).await);
    assert!((2..20).contains(&steps), "evicted after {steps} steps");
    let level = all.shortage().level();
    assert!(level.stall_timeout(EVICT_UNREAD_AFTER) < step);
    for _ in 0..steps {
        all.shortage().on_no_client_waiting();
    }
    assert_eq!(all.shortage().level(), ShortageLevel::default());
}
