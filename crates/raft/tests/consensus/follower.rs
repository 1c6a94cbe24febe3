//! Tests a follower's responses to individual messages from a leader.

use raft::{
    AppendEntries, AppendResponse, Chunk, ChunkResponse, Entry, LogPosition, Message, MessageBody,
    NodeId, Payload, RaftNode, Ready, RequestVote, Snapshot, TransferContent, TransferId,
    VoteResponse,
};

use crate::support;

const LEADER: NodeId = 2;

fn follower() -> RaftNode {
    support::start_node(1, 7, support::initial_state(support::voters(1..=3)))
}

/// Delivers a message from the leader to the follower and returns the follower's output.
fn receive(node: &mut RaftNode, term: u64, body: MessageBody) -> Ready {
    node.step(Message {
        from: LEADER,
        to: 1,
        term,
        body,
    });
    node.take_ready()
}

fn append(prev: LogPosition, entries: Vec<Entry>, leader_commit: u64) -> MessageBody {
    MessageBody::AppendEntries(AppendEntries {
        prev_log_index: prev.index,
        prev_log_term: prev.term,
        entries,
        leader_commit,
        sequence: 1,
    })
}

fn position(index: u64, term: u64) -> LogPosition {
    LogPosition { index, term }
}

fn bodies(ready: &Ready) -> Vec<MessageBody> {
    ready.messages.iter().map(|m| m.body.clone()).collect()
}

/// Syncs the persist requests in `ready` and returns the messages that the follower sends then.
fn sync(node: &mut RaftNode, ready: &Ready) -> Vec<MessageBody> {
    support::sync(node, ready);
    bodies(&node.take_ready())
}

#[test]
fn members_follow_the_last_membership_entry() {
    let entry = |term, index, payload| Entry {
        term,
        index,
        payload,
    };
    let voters = |last| support::voters(1..=last);
    let change = |term, index, last| entry(term, index, Payload::Members(voters(last)));
    let mut node = follower();
    let first = vec![
        change(1, 1, 4),
        entry(1, 2, Payload::Empty),
        change(1, 3, 5),
    ];
    receive(&mut node, 1, append(position(0, 0), first, 2));
    assert_eq!(node.members(), &voters(5));
    assert_eq!(node.members_at(2), &voters(4));
    // Another leader replaces the third entry.
    let second = vec![entry(2, 3, Payload::Empty)];
    receive(&mut node, 2, append(position(2, 1), second, 2));
    assert_eq!(
        node.members(),
        &voters(4),
        "an overwritten membership change is undone"
    );
    node.compact(2, vec![1]).expect("a snapshot");
    assert_eq!(
        node.members(),
        &voters(4),
        "a compacted membership change stays in effect"
    );
    let third = vec![change(2, 4, 6)];
    receive(&mut node, 2, append(position(3, 2), third, 3));
    assert_eq!(
        (node.members(), node.members_at(3)),
        (&voters(6), &voters(4))
    );
}

/// Returns the chunks of a snapshot that covers entries up to index 9.
fn chunks(data: &[u8], checksum: u32) -> Vec<Chunk> {
    let transfer = TransferId {
        index: 9,
        term: 1,
        total_bytes: data.len() as u64,
        checksum,
    };
    let parts: Vec<&[u8]> = data.chunks(3).collect();
    let chunk = |(i, part): (usize, &&[u8])| {
        let is_last = i + 1 == parts.len();
        Chunk {
            transfer,
            offset: 3 * i as u64,
            bytes: part.to_vec(),
            content: is_last.then(|| TransferContent::Snapshot {
                members: support::voters(1..=3),
            }),
            leader_commit: 9,
            sequence: 1,
        }
    };
    parts.iter().enumerate().map(chunk).collect()
}

/// Returns the number of received bytes that the follower reports after a chunk.
fn received_bytes(node: &mut RaftNode, chunk: &Chunk) -> Option<u64> {
    let ready = receive(node, 1, MessageBody::Chunk(chunk.clone()));
    ready.messages.iter().find_map(|m| match m.body {
        MessageBody::ChunkResponse(ChunkResponse { received_bytes, .. }) => Some(received_bytes),
        _ => None,
    })
}

#[test]
fn transfer_is_checked_and_acknowledged_once_synced() {
    let data = b"ten bytes!";
    let mut node = follower();
    let damaged = chunks(data, crc32fast::hash(data) ^ 1);
    let responses: Vec<_> = damaged
        .iter()
        .map(|chunk| received_bytes(&mut node, chunk))
        .collect();
    assert_eq!(
        responses,
        [Some(3), Some(6), Some(9), Some(0)],
        "a transfer with a wrong checksum starts over"
    );
    assert_eq!(node.status().commit_index, 0);
    let valid = chunks(data, crc32fast::hash(data));
    // Chunks arrive out of order and twice, and another leader continues the transfer.
    let responses = [0, 2, 1, 1, 2].map(|i| received_bytes(&mut node, &valid[i]));
    assert_eq!(responses, [Some(3), Some(3), Some(9), Some(9), Some(9)]);
    let ready = receive(&mut node, 2, MessageBody::Chunk(valid[3].clone()));
    let restored = ready.restored_snapshot.as_ref();
    assert_eq!(
        restored.map(|snapshot: &Snapshot| snapshot.data.as_slice()),
        Some(&data[..])
    );
    let acknowledges = |bodies: &[MessageBody]| {
        bodies.iter().any(|body| {
            matches!(
                body,
                MessageBody::AppendResponse(AppendResponse {
                    accepted: true,
                    match_index: 9,
                    ..
                })
            )
        })
    };
    assert!(
        !acknowledges(&bodies(&ready)),
        "the snapshot is acknowledged before it is synced"
    );
    let heartbeat = append(position(9, 1), Vec::new(), 9);
    let sent = bodies(&receive(&mut node, 2, heartbeat));
    assert!(!acknowledges(&sent) && !sent.is_empty(), "{sent:?}");
    assert!(acknowledges(&sync(&mut node, &ready)));
}

#[test]
fn vote_waits_for_its_sync() {
    let mut node = follower();
    let request = MessageBody::RequestVote(RequestVote {
        pre_vote: false,
        transfer: false,
        last_log_index: 9,
        last_log_term: 4,
    });
    let ready = receive(&mut node, 5, request);
    let grants = |body: &MessageBody| {
        matches!(
            body,
            MessageBody::VoteResponse(VoteResponse {
                pre_vote: false,
                granted: true
            })
        )
    };
    assert!(
        !bodies(&ready).iter().any(grants),
        "the vote is sent before its sync, so a power loss could undo it"
    );
    assert!(sync(&mut node, &ready).iter().any(grants));
}
