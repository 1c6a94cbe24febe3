//! What one member answers to a leader's messages, one by one.

use raft::{
    AppendEntries, AppendResponse, Chunk, ChunkResponse, Entry, Members, Message, MessageBody,
    Payload, PersistentState, RaftNode, Ready, RequestVote, Snapshot, Timing, TransferContent,
    TransferId, VoteResponse,
};

const TIMING: Timing = Timing {
    heartbeat_interval_ms: 300,
    election_timeout_ms: 1000,
};
const LEADER: u64 = 2;

fn members(ids: std::ops::RangeInclusive<u64>) -> Members {
    Members {
        voters: ids.map(|id| (id, id.to_string())).collect(),
        ..Members::default()
    }
}

fn member() -> RaftNode {
    let snapshot = Some(Snapshot::initial(members(1..=3)));
    let stored = PersistentState {
        snapshot,
        ..PersistentState::default()
    };
    RaftNode::new(1, TIMING, 7, stored, Members::default())
}

fn says(core: &mut RaftNode, term: u64, body: MessageBody) -> Ready {
    core.step(Message {
        from: LEADER,
        to: 1,
        term,
        body,
    });
    core.take_ready()
}

fn append(prev: (u64, u64), entries: Vec<Entry>, commit: u64) -> MessageBody {
    MessageBody::AppendEntries(AppendEntries {
        prev_log_index: prev.0,
        prev_log_term: prev.1,
        entries,
        leader_commit: commit,
        sequence: 1,
    })
}

fn sync(core: &mut RaftNode, out: &Ready) -> Vec<MessageBody> {
    out.persist_requests
        .iter()
        .for_each(|save| core.on_persisted(save.sequence));
    core.take_ready()
        .messages
        .into_iter()
        .map(|m| m.body)
        .collect()
}

#[test]
fn the_members_are_those_of_the_last_entry_that_names_them_whatever_becomes_of_the_log() {
    let entry = |term, index, payload| Entry {
        term,
        index,
        payload,
    };
    let named = |term, index, ids| entry(term, index, Payload::Members(members(ids)));
    let mut core = member();
    let first = vec![
        named(1, 1, 1..=4),
        entry(1, 2, Payload::Empty),
        named(1, 3, 1..=5),
    ];
    says(&mut core, 1, append((0, 0), first, 2));
    assert_eq!(core.members(), &members(1..=5));
    assert_eq!(core.members_at(2), &members(1..=4));
    // Another leader has another third entry.
    says(
        &mut core,
        2,
        append((2, 1), vec![entry(2, 3, Payload::Empty)], 2),
    );
    assert_eq!(
        core.members(),
        &members(1..=4),
        "what is replaced does not count"
    );
    core.compact(2, vec![1]).expect("a snapshot");
    assert_eq!(
        core.members(),
        &members(1..=4),
        "nor does it leave with its entry"
    );
    says(&mut core, 2, append((3, 2), vec![named(2, 4, 1..=6)], 3));
    assert_eq!(
        (core.members(), core.members_at(3)),
        (&members(1..=6), &members(1..=4))
    );
}

/// The pieces of a snapshot up to entry 9.
fn pieces(data: &[u8], checksum: u32) -> Vec<Chunk> {
    let total = data.len() as u64;
    let transfer = TransferId {
        index: 9,
        term: 1,
        total_bytes: total,
        checksum,
    };
    let parts: Vec<&[u8]> = data.chunks(3).collect();
    let piece = |(i, part): (usize, &&[u8])| {
        let last = i + 1 == parts.len();
        let content = last.then(|| TransferContent::Snapshot {
            members: members(1..=3),
        });
        let offset = 3 * i as u64;
        Chunk {
            transfer,
            offset,
            bytes: part.to_vec(),
            content,
            leader_commit: 9,
            sequence: 1,
        }
    };
    parts.iter().enumerate().map(piece).collect()
}

/// How much a member says it has after a piece.
fn received(core: &mut RaftNode, piece: &Chunk) -> Option<u64> {
    let out = says(core, 1, MessageBody::Chunk(piece.clone()));
    out.messages.iter().find_map(|m| match m.body {
        MessageBody::ChunkResponse(ChunkResponse {
            received_bytes: received,
            ..
        }) => Some(received),
        _ => None,
    })
}

#[test]
fn a_transfer_counts_once_it_is_whole_and_sound_and_is_acknowledged_once_it_is_synced() {
    let data = b"ten bytes!";
    let mut core = member();
    let damaged = pieces(data, crc32fast::hash(data) ^ 1);
    let answers: Vec<_> = damaged.iter().map(|p| received(&mut core, p)).collect();
    assert_eq!(
        answers,
        [Some(3), Some(6), Some(9), Some(0)],
        "from the beginning"
    );
    assert_eq!(core.status().commit_index, 0);
    let good = pieces(data, crc32fast::hash(data));
    // One overtakes another, two come twice, and another leader goes on in the middle.
    let answers = [0, 2, 1, 1, 2].map(|i| received(&mut core, &good[i]));
    assert_eq!(answers, [Some(3), Some(3), Some(9), Some(9), Some(9)]);
    let out = says(&mut core, 2, MessageBody::Chunk(good[3].clone()));
    assert_eq!(
        out.restored_snapshot.as_ref().map(|s| s.data.as_slice()),
        Some(&data[..])
    );
    let acknowledges = |bodies: &[MessageBody]| {
        bodies.iter().any(|b| {
            matches!(
                b,
                MessageBody::AppendResponse(AppendResponse {
                    accepted: true,
                    match_index: 9,
                    ..
                })
            )
        })
    };
    let sent: Vec<MessageBody> = out.messages.iter().map(|m| m.body.clone()).collect();
    assert!(!acknowledges(&sent), "before it is synced");
    let heartbeat = says(&mut core, 2, append((9, 1), Vec::new(), 9));
    let sent: Vec<MessageBody> = heartbeat.messages.iter().map(|m| m.body.clone()).collect();
    assert!(!acknowledges(&sent) && !sent.is_empty(), "{sent:?}");
    assert!(acknowledges(&sync(&mut core, &out)));
}

#[test]
fn a_vote_is_given_once_it_is_on_the_disk() {
    let mut core = member();
    let vote = MessageBody::RequestVote(RequestVote {
        pre_vote: false,
        transfer: false,
        last_log_index: 9,
        last_log_term: 4,
    });
    let out = says(&mut core, 5, vote);
    let gives = |body: &MessageBody| {
        matches!(
            body,
            MessageBody::VoteResponse(VoteResponse {
                pre_vote: false,
                granted: true
            })
        )
    };
    assert!(
        !out.messages.iter().any(|m| gives(&m.body)),
        "a loss of power would take it back"
    );
    assert!(sync(&mut core, &out).iter().any(gives));
}
