//! A call to another control balancer over a narrow link, on paused time.

use std::time::Duration;

use control_plane::peer_writer::write_all;
use protocol::wire::{self, PeerMessage};
use raft::{AppendEntries, Message, MessageBody};
use tokio::io::{AsyncReadExt, BufReader, DuplexStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

/// Bytes a millisecond on a link of 1 Mbit/s.
const RATE: usize = 125;
const HEARTBEAT: Duration = Duration::from_millis(300);
/// Of the log, without a heartbeat.
const ELECTION: Duration = Duration::from_millis(1000);

/// Takes what comes at one end of a link at the link's pace, and gives it on.
async fn narrow(mut from: DuplexStream, mut to: DuplexStream) {
    let mut part = vec![0; RATE * 10];
    while let Ok(n @ 1..) = from.read(&mut part).await {
        sleep(Duration::from_millis(n.div_ceil(RATE) as u64)).await;
        if tokio::io::AsyncWriteExt::write_all(&mut to, &part[..n])
            .await
            .is_err()
        {
            return;
        }
    }
}

fn zone(i: usize, bytes: usize) -> PeerMessage {
    PeerMessage::ZoneSnapshotRequest {
        zone: format!("{i}{}", "z".repeat(bytes)),
    }
}

fn heartbeat(round: u64) -> PeerMessage {
    let (prev_index, prev_term, commit) = (0, 0, 0);
    let body = MessageBody::AppendEntries(AppendEntries {
        prev_log_index: prev_index,
        prev_log_term: prev_term,
        entries: Vec::new(),
        leader_commit: commit,
        sequence: round,
    });
    PeerMessage::Raft(Message {
        from: 1,
        to: 2,
        term: 1,
        body,
    })
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_long_introduction_over_a_narrow_link_arrives_and_heartbeats_go_beside_it() {
    const ZONES: usize = 40;
    let introduction: Vec<PeerMessage> = (0..ZONES).map(|i| zone(i, 15_000)).collect();
    let (mut writer, link) = tokio::io::duplex(16 << 10);
    let (far, reader) = tokio::io::duplex(16 << 10);
    tokio::spawn(narrow(link, far));
    let (tell, mut queue) = mpsc::channel(256);
    let written =
        tokio::spawn(async move { write_all(&mut writer, introduction, &mut queue).await });
    tokio::spawn(async move {
        for round in 1.. {
            sleep(HEARTBEAT).await;
            if tell.try_send(heartbeat(round)).is_err() {
                return;
            }
        }
    });
    let (mut reader, begin) = (BufReader::new(reader), Instant::now());
    let (mut zones, mut heard, mut longest) = (0, begin, Duration::ZERO);
    while zones < ZONES {
        let received = timeout(
            Duration::from_secs(5),
            wire::receive_message::<PeerMessage>(&mut reader),
        )
        .await;
        match received.expect("the link stands").expect("a frame") {
            PeerMessage::ZoneSnapshotRequest { .. } => zones += 1,
            _ => {
                longest = longest.max(heard.elapsed());
                heard = Instant::now();
            }
        }
    }
    longest = longest.max(heard.elapsed());
    assert!(
        begin.elapsed() > Duration::from_secs(4),
        "the link is narrow"
    );
    assert!(longest < ELECTION, "no heartbeat for {longest:?}");
    assert!(!written.is_finished(), "the call goes on");
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_link_that_takes_nothing_ends_the_call_and_the_log_leaves_others_their_turn() {
    let (mut writer, mut reader) = tokio::io::duplex(1 << 10);
    let (tell, mut queue) = mpsc::channel(256);
    (0..100).for_each(|round| tell.try_send(heartbeat(round)).expect("room"));
    tell.try_send(zone(0, 10)).expect("room");
    let written = tokio::spawn(async move { write_all(&mut writer, Vec::new(), &mut queue).await });
    let mut before = 0;
    while let PeerMessage::Raft(_) = wire::receive_message(&mut reader).await.expect("a frame") {
        before += 1;
    }
    assert!(before <= 8, "{before} messages of the log before it");
    // However much is said while the link takes little, no more than so much waits.
    let mut said = 0;
    for _ in 0..20 {
        while tell.try_send(heartbeat(0)).is_ok() {
            said += 1;
        }
        wire::receive_message::<PeerMessage>(&mut reader)
            .await
            .expect("a frame");
        tokio::task::yield_now().await;
    }
    assert!(said < 1000, "{said} messages were taken in");
    // Nothing is read from here on.
    let ended = timeout(Duration::from_secs(10), written)
        .await
        .expect("it ends")
        .expect("no panic");
    assert_eq!(
        ended.expect_err("a stalled link").kind(),
        std::io::ErrorKind::TimedOut
    );
}
