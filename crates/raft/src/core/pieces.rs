//! Snapshots and large entries, which go to a member in pieces: one transfer at a time to each, no more of it in
//! flight than its window holds, and resumed where it stood when messages were lost. Pieces that overtake others wait
//! for them. A member that starts anew takes it from the beginning; what it has received is on its disk only once it
//! is whole.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::progress::{MOST_WINDOW, Mode, Progress, Window};
use super::*;

/// The bytes of a piece: a tenth of a second on a link of 1 Mbit/s.
const PIECE: usize = 8 << 10;
/// Entries with more bytes than this go in pieces.
pub(super) const INLINE: usize = 16 << 10;
/// What is in flight is sent again after so long without an answer, then after twice as long, up to the most.
const PATIENCE: u64 = 1000;
const MOST_PATIENCE: u64 = 8000;
/// An answer that says that the member has nothing comes later than this after one that says more only if the member
/// has started anew.
const OVERTAKEN: u64 = 500;
/// A member that says nothing for so long is not there: what it is sent once it is back is newer.
const ABANDONED: u64 = 10_000;
/// No transfer is larger.
const LARGEST: u64 = 64 << 20;

/// What is sent.
#[derive(Debug)]
pub(super) struct Blob {
    id: TransferId,
    content: TransferContent,
    bytes: Vec<u8>,
}

/// A transfer to a member.
#[derive(Debug)]
pub(super) struct Transfer {
    blob: Arc<Blob>,
    /// Bytes that the member has, and that it was sent.
    received: usize,
    sent: usize,
    /// The last piece was sent.
    ended: bool,
    /// When the member last had more of it than before.
    advanced: u64,
    /// When it last went on or was taken up again, and for how long to wait before that is done once more.
    progressed: u64,
    patience: u64,
}

/// A transfer from the leader.
#[derive(Debug)]
pub(super) struct Incoming {
    id: TransferId,
    /// All up to the first gap.
    bytes: Vec<u8>,
    /// Pieces beyond it, by offset.
    ahead: BTreeMap<u64, Chunk>,
}

impl Transfer {
    fn new(blob: Arc<Blob>, now: u64) -> Self {
        let (advanced, progressed) = (now, now);
        Self {
            blob,
            received: 0,
            sent: 0,
            ended: false,
            advanced,
            progressed,
            patience: PATIENCE,
        }
    }

    /// The entry up to which the member has the log once this is over.
    pub(super) fn index(&self) -> u64 {
        self.blob.id.index
    }

    /// Takes it up where the member has it, if it did not go on for long.
    fn resume_if_stalled(&mut self, window: &mut Window, now: u64) {
        if now < self.progressed + self.patience {
            return;
        }
        let last_piece = self.blob.bytes.len().saturating_sub(1) / PIECE * PIECE;
        self.rewind(self.received.min(last_piece), window);
        window.shrink();
        self.progressed = now;
        self.patience = (2 * self.patience).min(MOST_PATIENCE);
    }

    fn rewind(&mut self, to: usize, window: &mut Window) {
        (self.received, self.sent, self.ended) = (to, to, false);
        window.clear();
    }

    /// The next piece, if there is one.
    fn piece(&mut self) -> Option<(usize, Vec<u8>, Option<TransferContent>)> {
        if self.ended {
            return None;
        }
        let (offset, whole) = (self.sent, &self.blob.bytes);
        let end = (offset + PIECE).min(whole.len());
        (self.sent, self.ended) = (end, end == whole.len());
        let content = self.ended.then(|| self.blob.content.clone());
        Some((offset, whole[offset..end].to_vec(), content))
    }

    /// The member has so much of it.
    fn answered(&mut self, received: u64, window: &mut Window, now: u64) {
        let received = usize::try_from(received).map_or(0, |r| r.min(self.blob.bytes.len()));
        let restarted = received == 0 && now >= self.advanced + OVERTAKEN;
        if restarted && self.received > 0 {
            return self.rewind(0, window);
        }
        // Less than it had was overtaken by a later answer.
        if received > self.received {
            (self.received, self.advanced) = (received, now);
            self.sent = self.sent.max(received);
            window.acknowledged(received as u64, now);
            (self.progressed, self.patience) = (now, PATIENCE);
        }
    }
}

impl RaftNode {
    /// Sends a member the snapshot, if it is there: one that is not is sent a newer one when it is back.
    pub(super) fn start_snapshot(&mut self, progress: &mut Progress) {
        let gone = self.now.saturating_sub(self.timing.election_timeout_ms);
        if progress.heard < gone {
            return;
        }
        let base = &self.base;
        let (index, term) = (base.index, base.term);
        let blob = self.shared_blob(index, term).unwrap_or_else(|| {
            let content = TransferContent::Snapshot {
                members: base.members.clone(),
            };
            Blob::new(index, term, content, base.data.clone())
        });
        self.start_transfer(progress, blob);
    }

    /// Sends a member an entry that is too large for an append.
    pub(super) fn start_entry(&mut self, progress: &mut Progress, index: u64) {
        let (Some(entry), Some(prev_term)) = (self.entry(index), self.term_at(index - 1)) else {
            return;
        };
        let Payload::Data(data) = &entry.payload else {
            return;
        };
        let blob = self.shared_blob(index, entry.term).unwrap_or_else(|| {
            Blob::new(
                index,
                entry.term,
                TransferContent::Entry {
                    prev_log_term: prev_term,
                },
                data.clone(),
            )
        });
        self.start_transfer(progress, blob);
    }

    fn start_transfer(&self, progress: &mut Progress, blob: Arc<Blob>) {
        progress.window.clear();
        progress.mode = Mode::Transfer(Transfer::new(blob, self.now));
    }

    /// What another member is being sent already.
    fn shared_blob(&self, index: u64, term: u64) -> Option<Arc<Blob>> {
        self.progress
            .values()
            .find_map(|progress| match &progress.mode {
                Mode::Transfer(t) if (t.blob.id.index, t.blob.id.term) == (index, term) => {
                    Some(t.blob.clone())
                }
                _ => None,
            })
    }

    /// Sends the pieces that the window has room for.
    pub(super) fn send_pieces(&mut self, to: NodeId, progress: &mut Progress) {
        let gone = self.now >= progress.heard + ABANDONED;
        let Mode::Transfer(transfer) = &mut progress.mode else {
            return;
        };
        if gone {
            let matched = progress.matched;
            return progress.reset(matched, false, self.round);
        }
        transfer.resume_if_stalled(&mut progress.window, self.now);
        while progress.window.has_room()
            && let Some((offset, bytes, content)) = transfer.piece()
        {
            let end = (offset + bytes.len()) as u64;
            progress.window.sent(end, bytes.len(), self.now);
            let body = MessageBody::Chunk(Chunk {
                transfer: transfer.blob.id,
                offset: offset as u64,
                bytes,
                content,
                leader_commit: self.commit,
                sequence: self.round,
            });
            self.out.messages.push(Message {
                from: self.id,
                to,
                term: self.term,
                body,
            });
        }
    }

    /// A member tells how much it has of a transfer.
    pub(super) fn piece_answered(&mut self, from: NodeId, id: TransferId, received: u64) {
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.heard = self.now;
        if let Mode::Transfer(transfer) = &mut progress.mode
            && transfer.blob.id == id
        {
            transfer.answered(received, &mut progress.window, self.now);
            self.replicate(from, false);
        }
    }

    /// The leader sends a piece.
    pub(super) fn piece_received(&mut self, from: NodeId, piece: Chunk) {
        let id = piece.transfer;
        if id.index <= self.commit || self.term_at(id.index) == Some(id.term) {
            return self.acknowledge(from, id.index, piece.sequence, None);
        }
        let mut incoming = self
            .incoming
            .take()
            .filter(|known| known.id == id)
            .unwrap_or_else(|| Incoming::new(id));
        let (commit, round) = (piece.leader_commit, piece.sequence);
        let Some(content) = incoming.add(piece) else {
            self.reply_piece(from, id, incoming.bytes.len() as u64);
            self.incoming = Some(incoming);
            return;
        };
        let is_whole = crc32fast::hash(&incoming.bytes) == id.checksum;
        self.reply_piece(from, id, if is_whole { id.total_bytes } else { 0 });
        if is_whole {
            self.transfer_received(from, incoming, content, commit, round);
        }
    }

    fn transfer_received(
        &mut self,
        from: NodeId,
        incoming: Incoming,
        content: TransferContent,
        commit: u64,
        round: u64,
    ) {
        let TransferId { index, term, .. } = incoming.id;
        match content {
            TransferContent::Snapshot { members } => {
                let snapshot = Snapshot {
                    index,
                    term,
                    members,
                    data: incoming.bytes,
                };
                self.install(from, snapshot, round);
            }
            TransferContent::Entry {
                prev_log_term: prev_term,
            } => {
                let entry = Entry {
                    term,
                    index,
                    payload: Payload::Data(incoming.bytes),
                };
                let prev = LogPosition {
                    index: index - 1,
                    term: prev_term,
                };
                self.append_received(from, prev, vec![entry], commit, round);
            }
        }
    }

    fn reply_piece(&mut self, to: NodeId, transfer: TransferId, received: u64) {
        let body = MessageBody::ChunkResponse {
            transfer,
            received_bytes: received,
        };
        self.out.messages.push(Message {
            from: self.id,
            to,
            term: self.term,
            body,
        });
    }
}

impl Blob {
    fn new(index: u64, term: u64, content: TransferContent, bytes: Vec<u8>) -> Arc<Self> {
        let (total, checksum) = (bytes.len() as u64, crc32fast::hash(&bytes));
        Arc::new(Self {
            id: TransferId {
                index,
                term,
                total_bytes: total,
                checksum,
            },
            content,
            bytes,
        })
    }
}

impl Incoming {
    fn new(id: TransferId) -> Self {
        Self {
            id,
            bytes: Vec::new(),
            ahead: BTreeMap::new(),
        }
    }

    /// Takes a piece, and all that follow it and came sooner; what the transfer is once it is complete.
    fn add(&mut self, piece: Chunk) -> Option<TransferContent> {
        let end = piece.offset.saturating_add(piece.bytes.len() as u64);
        let most_ahead = (self.bytes.len() + MOST_WINDOW) as u64;
        if end <= self.id.total_bytes.min(LARGEST).min(most_ahead) {
            self.ahead.insert(piece.offset, piece);
        }
        while let Some(next) = self.ahead.first_entry() {
            let received = self.bytes.len() as u64;
            if *next.key() > received {
                break;
            }
            let piece = next.remove();
            // One that is there already was sent again.
            if piece.offset == received {
                self.bytes.extend_from_slice(&piece.bytes);
                if piece.content.is_some() {
                    return piece.content;
                }
            }
        }
        None
    }

    /// The entry up to which the log is whole once this is.
    pub(super) fn index(&self) -> u64 {
        self.id.index
    }
}
