//! Tests what is written to a peer over a slow link, on paused time.

use std::time::Duration;

use control_plane::peer_writer::write_all;
use protocol::wire::{self, PeerMessage};
use raft::{AppendEntries, Message, MessageBody};
use tokio::io::{AsyncReadExt, BufReader, DuplexStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

/// Bytes per millisecond on a link of 1 Mbit/s.
const LINK_BYTES_PER_MS: usize = 125;
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// The election timeout of Raft.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(1000);

/// Forwards bytes in one direction at the bandwidth of the link.
async fn run_slow_link(mut from: DuplexStream, mut to: DuplexStream) {
    let mut part = vec![0; LINK_BYTES_PER_MS * 10];
    while let Ok(n @ 1..) = from.read(&mut part).await {
        sleep(Duration::from_millis(n.div_ceil(LINK_BYTES_PER_MS) as u64)).await;
        if tokio::io::AsyncWriteExt::write_all(&mut to, &part[..n])
            .await
            .is_err()
        {
            return;
        }
    }
}

/// Returns a message that does not belong to Raft.
fn zone_message(i: usize, bytes: usize) -> PeerMessage {
    PeerMessage::ZoneSnapshotRequest {
        zone: format!("{i}{}", "z".repeat(bytes)),
    }
}

/// Returns a Raft heartbeat.
fn heartbeat(sequence: u64) -> PeerMessage {
    let body = MessageBody::AppendEntries(AppendEntries {
        prev_log_index: 0,
        prev_log_term: 0,
        entries: Vec::new(),
        leader_commit: 0,
        sequence,
    });
    PeerMessage::Raft(Message {
        from: 1,
        to: 2,
        term: 1,
        body,
    })
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn heartbeats_are_not_delayed_by_a_long_introduction_on_a_slow_link() {
    const ZONES: usize = 40;
    let introduction: Vec<PeerMessage> = (0..ZONES).map(|i| zone_message(i, 15_000)).collect();
    let (mut writer, link) = tokio::io::duplex(16 << 10);
    let (far, reader) = tokio::io::duplex(16 << 10);
    tokio::spawn(run_slow_link(link, far));
    let (sender, mut queue) = mpsc::channel(256);
    let written =
        tokio::spawn(async move { write_all(&mut writer, introduction, &mut queue).await });
    tokio::spawn(async move {
        for sequence in 1.. {
            sleep(HEARTBEAT_INTERVAL).await;
            if sender.try_send(heartbeat(sequence)).is_err() {
                return;
            }
        }
    });
    let (mut reader, begin) = (BufReader::new(reader), Instant::now());
    let (mut zones, mut last_heartbeat, mut longest_gap) = (0, begin, Duration::ZERO);
    while zones < ZONES {
        let received = timeout(
            Duration::from_secs(5),
            wire::receive_message::<PeerMessage>(&mut reader),
        )
        .await;
        match received.expect("the link is up").expect("a frame") {
            PeerMessage::ZoneSnapshotRequest { .. } => zones += 1,
            _ => {
                longest_gap = longest_gap.max(last_heartbeat.elapsed());
                last_heartbeat = Instant::now();
            }
        }
    }
    longest_gap = longest_gap.max(last_heartbeat.elapsed());
    assert!(
        begin.elapsed() > Duration::from_secs(4),
        "the link is not slow"
    );
    assert!(
        longest_gap < ELECTION_TIMEOUT,
        "no heartbeat for {longest_gap:?}"
    );
    assert!(!written.is_finished(), "the connection was closed");
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn stalled_link_ends_the_connection_and_other_messages_are_not_starved() {
    let (mut writer, mut reader) = tokio::io::duplex(1 << 10);
    let (sender, mut queue) = mpsc::channel(256);
    (0..100).for_each(|sequence| sender.try_send(heartbeat(sequence)).expect("capacity"));
    sender.try_send(zone_message(0, 10)).expect("capacity");
    let written = tokio::spawn(async move { write_all(&mut writer, Vec::new(), &mut queue).await });
    let mut before = 0;
    while let PeerMessage::Raft(_) = wire::receive_message(&mut reader).await.expect("a frame") {
        before += 1;
    }
    assert!(
        before <= 8,
        "{before} Raft messages were sent before the other message"
    );
    // The number of waiting messages is bounded, no matter how many are queued while the link is slow.
    let mut queued = 0;
    for _ in 0..20 {
        while sender.try_send(heartbeat(0)).is_ok() {
            queued += 1;
        }
        wire::receive_message::<PeerMessage>(&mut reader)
            .await
            .expect("a frame");
        tokio::task::yield_now().await;
    }
    assert!(queued < 1000, "{queued} messages were queued");
    // From here on the reader is idle, so the link stalls.
    let ended = timeout(Duration::from_secs(10), written)
        .await
        .expect("the writer ends")
        .expect("no panic");
    assert_eq!(
        ended.expect_err("a stalled link").kind(),
        std::io::ErrorKind::TimedOut
    );
}
