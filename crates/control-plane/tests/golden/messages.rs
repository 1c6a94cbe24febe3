//! Encodings of the Raft messages between control processes, as frames.

use protocol::wire::{PeerMessage, decode_body, encode_frame};
use raft::{
    AppendConflict, AppendEntries, AppendResponse, Chunk, ChunkResponse, LogPosition, Message,
    MessageBody, QuorumContact, QuorumContactResponse, ReadIndex, ReadIndexResponse, RequestVote,
    TransferContent, TransferId, VoteResponse,
};

use crate::{fixture, log};

const TRANSFER: TransferId = TransferId {
    index: 300,
    term: 3,
    total_bytes: 20_000,
    checksum: 0x1234_5678,
};

fn chunk(offset: u64, content: Option<TransferContent>) -> MessageBody {
    let bytes = vec![0, 1, 24, 255];
    MessageBody::Chunk(Chunk {
        transfer: TRANSFER,
        offset,
        bytes,
        content,
        leader_commit: 299,
        sequence: 8,
    })
}

#[expect(clippy::too_many_lines, reason = "one sample of each message")]
fn samples() -> Vec<MessageBody> {
    vec![
        MessageBody::RequestVote(RequestVote {
            pre_vote: true,
            transfer: false,
            last_log_index: 300,
            last_log_term: 2,
        }),
        MessageBody::RequestVote(RequestVote {
            pre_vote: false,
            transfer: true,
            last_log_index: 300,
            last_log_term: 2,
        }),
        MessageBody::VoteResponse(VoteResponse {
            pre_vote: true,
            granted: true,
        }),
        MessageBody::AppendEntries(AppendEntries {
            prev_log_index: 299,
            prev_log_term: 2,
            entries: log::entries(),
            leader_commit: 9,
            sequence: 8,
        }),
        chunk(0, None),
        chunk(
            16,
            Some(TransferContent::Snapshot {
                members: log::members(),
            }),
        ),
        chunk(16, Some(TransferContent::Entry { prev_log_term: 2 })),
        MessageBody::ChunkResponse(ChunkResponse {
            transfer: TRANSFER,
            received_bytes: 70_000,
        }),
        MessageBody::AppendResponse(AppendResponse {
            accepted: true,
            match_index: 300,
            sequence: 8,
        }),
        MessageBody::AppendConflict(AppendConflict {
            rejected_index: 300,
            hint: LogPosition {
                index: 200,
                term: 2,
            },
            sequence: 8,
        }),
        MessageBody::TimeoutNow,
        MessageBody::ReadIndex(ReadIndex { token: u64::MAX }),
        MessageBody::ReadIndexResponse(ReadIndexResponse {
            token: u64::MAX,
            index: Some(300),
        }),
        MessageBody::ReadIndexResponse(ReadIndexResponse {
            token: 1,
            index: None,
        }),
        MessageBody::QuorumContact(QuorumContact { token: 5 }),
        MessageBody::QuorumContactResponse(QuorumContactResponse {
            token: 5,
            age_ms: 1000,
            index: 300,
        }),
    ]
}

/// Returns the fixture of a message. Each new variant needs one.
fn fixture_name(body: &MessageBody) -> &'static str {
    match body {
        MessageBody::RequestVote(RequestVote { pre_vote: true, .. }) => {
            "message_request_pre_vote.frame"
        }
        MessageBody::RequestVote(RequestVote {
            pre_vote: false, ..
        }) => "message_request_vote.frame",
        MessageBody::VoteResponse(VoteResponse { .. }) => "message_vote_reply.frame",
        MessageBody::AppendEntries(AppendEntries { .. }) => "message_append.frame",
        MessageBody::Chunk(chunk) => match chunk.content {
            None => "message_piece.frame",
            Some(TransferContent::Snapshot { .. }) => "message_last_piece_of_snapshot.frame",
            Some(TransferContent::Entry { .. }) => "message_last_piece_of_entry.frame",
        },
        MessageBody::ChunkResponse(ChunkResponse { .. }) => "message_piece_reply.frame",
        MessageBody::AppendResponse(AppendResponse { .. }) => "message_append_reply.frame",
        MessageBody::AppendConflict(AppendConflict { .. }) => "message_conflict.frame",
        MessageBody::TimeoutNow => "message_timeout_now.frame",
        MessageBody::ReadIndex(ReadIndex { .. }) => "message_read.frame",
        MessageBody::ReadIndexResponse(ReadIndexResponse { index: Some(_), .. }) => {
            "message_read_reply.frame"
        }
        MessageBody::ReadIndexResponse(ReadIndexResponse { index: None, .. }) => {
            "message_read_reply_without_index.frame"
        }
        MessageBody::QuorumContact(QuorumContact { .. }) => "message_contact.frame",
        MessageBody::QuorumContactResponse(QuorumContactResponse { .. }) => {
            "message_contact_reply.frame"
        }
    }
}

#[test]
fn raft_message_encodings_are_unchanged() {
    for body in samples() {
        let name = fixture_name(&body);
        let sample = Message {
            from: 1,
            to: u64::MAX,
            term: 3,
            body,
        };
        let sample_bytes = encode_frame(&PeerMessage::Raft(sample.clone())).expect("encoded");
        let fixture = fixture::bytes(name, &sample_bytes);
        assert_eq!(sample_bytes, fixture, "{name}: encoded");
        let PeerMessage::Raft(decoded) = decode_body(&fixture[4..]).expect(name) else {
            panic!("{name}: not a Raft message");
        };
        assert_eq!(decoded, sample, "{name}: decoded");
        assert_eq!(
            encode_frame(&PeerMessage::Raft(decoded)).expect("encoded"),
            fixture,
            "{name}: encoded again"
        );
    }
}
