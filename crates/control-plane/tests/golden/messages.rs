//! Messages of the log between control processes, as frames.

use protocol::wire::{Tell, frame, parse};
use raft::{Body, Content, LogPosition, Message, Piece, TransferId};

use crate::{fixture, log};

const TRANSFER: TransferId =
    TransferId { index: 300, term: 3, total: 20_000, checksum: 0x1234_5678 };

fn piece(offset: u64, content: Option<Content>) -> Body {
    let bytes = vec![0, 1, 24, 255];
    Body::Piece(Piece { transfer: TRANSFER, offset, bytes, content, commit: 299, round: 8 })
}

fn samples() -> Vec<Body> {
    vec![
        Body::Vote { pre: true, transfer: false, last_index: 300, last_term: 2 },
        Body::Vote { pre: false, transfer: true, last_index: 300, last_term: 2 },
        Body::VoteReply { pre: true, granted: true },
        Body::Append {
            prev_index: 299,
            prev_term: 2,
            entries: log::entries(),
            commit: 9,
            round: 8,
        },
        piece(0, None),
        piece(16, Some(Content::Snapshot { members: log::members() })),
        piece(16, Some(Content::Entry { prev_term: 2 })),
        Body::PieceReply { transfer: TRANSFER, received: 70_000 },
        Body::AppendReply { ok: true, index: 300, round: 8 },
        Body::Conflict { rejected: 300, hint: LogPosition { index: 200, term: 2 }, round: 8 },
        Body::TimeoutNow,
        Body::Read { token: u64::MAX },
        Body::ReadReply { token: u64::MAX, index: Some(300) },
        Body::ReadReply { token: 1, index: None },
        Body::Contact { token: 5 },
        Body::ContactReply { token: 5, age: 1000, index: 300 },
    ]
}

/// The fixture of a message. A new variant needs one.
fn fixture_name(body: &Body) -> &'static str {
    match body {
        Body::Vote { pre: true, .. } => "message_request_pre_vote.frame",
        Body::Vote { pre: false, .. } => "message_request_vote.frame",
        Body::VoteReply { .. } => "message_vote_reply.frame",
        Body::Append { .. } => "message_append.frame",
        Body::Piece(piece) => match piece.content {
            None => "message_piece.frame",
            Some(Content::Snapshot { .. }) => "message_last_piece_of_snapshot.frame",
            Some(Content::Entry { .. }) => "message_last_piece_of_entry.frame",
        },
        Body::PieceReply { .. } => "message_piece_reply.frame",
        Body::AppendReply { .. } => "message_append_reply.frame",
        Body::Conflict { .. } => "message_conflict.frame",
        Body::TimeoutNow => "message_timeout_now.frame",
        Body::Read { .. } => "message_read.frame",
        Body::ReadReply { index: Some(_), .. } => "message_read_reply.frame",
        Body::ReadReply { index: None, .. } => "message_read_reply_without_index.frame",
        Body::Contact { .. } => "message_contact.frame",
        Body::ContactReply { .. } => "message_contact_reply.frame",
    }
}

#[test]
fn each_message_of_the_log_keeps_its_bytes() {
    for body in samples() {
        let name = fixture_name(&body);
        let sample = Message { from: 1, to: u64::MAX, term: 3, body };
        let sample_bytes = frame(&Tell::Log(sample.clone())).expect("encoded");
        let fixture = fixture::bytes(name, &sample_bytes);
        assert_eq!(sample_bytes, fixture, "{name}: encoded");
        let Tell::Log(decoded) = parse(&fixture[4..]).expect(name) else {
            panic!("{name}: not a message of the log");
        };
        assert_eq!(decoded, sample, "{name}: decoded");
        assert_eq!(frame(&Tell::Log(decoded)).expect("encoded"), fixture, "{name}: encoded again");
    }
}
