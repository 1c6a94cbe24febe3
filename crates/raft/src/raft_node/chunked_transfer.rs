//! Transfer of snapshots and large entries in chunks (Raft paper, section 7), one at a time per
//! member.
//!
//! The leader stays within the member's flow-control window and, after messages were lost, resumes
//! from the last acknowledged byte. The member keeps received chunks in memory and accepts the
//! transfer only when it is complete and its checksum is correct.

use std::sync::Arc;

use super::RaftNode;
use crate::incoming_transfer::IncomingTransfer;
use crate::tracker::{OutgoingTransfer, Progress, ProgressState, TransferData};
use crate::{
    AppendEntries, Chunk, ChunkResponse, Entry, MessageBody, NodeId, Payload, Snapshot,
    TransferContent, TransferId,
};

/// The time without a response after which a transfer is abandoned. By the time the member is back,
/// there is newer data to send.
const ABANDON_TIMEOUT_MS: u64 = 10_000;

impl RaftNode {
    /// Starts a snapshot transfer to a member that has responded recently. A member that is
    /// unreachable is sent a newer snapshot once it is back.
    pub(super) fn start_snapshot_transfer(&self, progress: &mut Progress) {
        let since = self.now.saturating_sub(self.timing.election_timeout_ms);
        if progress.last_response_at < since {
            return;
        }
        let snapshot = self.log.snapshot();
        let position = snapshot.position();
        let data = self.tracker.transfer_data(position).unwrap_or_else(|| {
            let content = TransferContent::Snapshot {
                members: snapshot.members.clone(),
            };
            TransferData::new(position, content, snapshot.data.clone())
        });
        self.start_transfer(progress, data);
    }

    /// Starts the transfer of an entry that is too large for an append.
    pub(super) fn start_entry_transfer(&self, progress: &mut Progress, index: u64) {
        let (Some(entry), Some(prev_log_term)) =
            (self.log.entry(index), self.log.term_at(index - 1))
        else {
            return;
        };
        let Payload::Data(bytes) = &entry.payload else {
            return;
        };
        let position = entry.position();
        let data = self.tracker.transfer_data(position).unwrap_or_else(|| {
            let content = TransferContent::Entry { prev_log_term };
            TransferData::new(position, content, bytes.clone())
        });
        self.start_transfer(progress, data);
    }

    fn start_transfer(&self, progress: &mut Progress, data: Arc<TransferData>) {
        progress.become_transfer(OutgoingTransfer::new(data, self.now));
    }

    /// Sends the chunks that fit the window, or abandons the transfer if the member is unreachable.
    pub(super) fn send_chunks(&mut self, to: NodeId, progress: &mut Progress) {
        let is_abandoned = self.now >= progress.last_response_at + ABANDON_TIMEOUT_MS;
        let sequence = self.broadcasts.sequence();
        let ProgressState::Transfer(transfer) = &mut progress.state else {
            return;
        };
        if is_abandoned {
            let match_index = progress.match_index;
            return progress.reset(match_index, false, sequence);
        }
        transfer.resume_if_stalled(&mut progress.inflights, self.now);
        while progress.inflights.has_capacity()
            && let Some(chunk) = transfer.next_chunk(self.log.commit_index(), sequence)
        {
            let end = chunk.offset + chunk.bytes.len() as u64;
            progress.inflights.add(end, chunk.bytes.len(), self.now);
            self.send(to, MessageBody::Chunk(chunk));
        }
    }

    /// Handles a member's report of how much of a transfer it has received.
    pub(super) fn handle_chunk_response(&mut self, from: NodeId, response: &ChunkResponse) {
        let Some(progress) = self.tracker.get_mut(from) else {
            return;
        };
        progress.last_response_at = self.now;
        if let ProgressState::Transfer(transfer) = &mut progress.state
            && transfer.id() == response.transfer
        {
            transfer.on_response(response.received_bytes, &mut progress.inflights, self.now);
            self.replicate(from, false);
        }
    }

    /// Handles a chunk from the leader of the current term.
    pub(super) fn handle_chunk(&mut self, from: NodeId, chunk: Chunk) {
        self.accept_leader(from);
        let id = chunk.transfer;
        let (leader_commit, sequence) = (chunk.leader_commit, chunk.sequence);
        if id.index <= self.log.commit_index() || self.log.contains(id.position()) {
            return self.acknowledge(from, id.index, sequence, None);
        }
        // A chunk of another transfer replaces the current one: the leader has only one in
        // progress.
        let current = self.incoming_transfer.take();
        let mut transfer = current
            .filter(|current| current.id() == id)
            .unwrap_or_else(|| IncomingTransfer::new(id));
        let Some(content) = transfer.add(chunk) else {
            self.send_chunk_response(from, id, transfer.received_bytes());
            self.incoming_transfer = Some(transfer);
            return;
        };
        if !transfer.has_valid_checksum() {
            // Requests the transfer again from the start.
            return self.send_chunk_response(from, id, 0);
        }
        self.send_chunk_response(from, id, id.total_bytes);
        self.complete_transfer(from, transfer, content, leader_commit, sequence);
    }

    /// Accepts a snapshot or an entry whose chunks have all arrived.
    fn complete_transfer(
        &mut self,
        from: NodeId,
        transfer: IncomingTransfer,
        content: TransferContent,
        leader_commit: u64,
        sequence: u64,
    ) {
        let id = transfer.id();
        let bytes = transfer.into_bytes();
        match content {
            TransferContent::Snapshot { members } => {
                let snapshot = Snapshot {
                    index: id.index,
                    term: id.term,
                    members,
                    data: bytes,
                };
                self.install_snapshot(from, snapshot, sequence);
            }
            TransferContent::Entry { prev_log_term } => {
                let entry = Entry {
                    term: id.term,
                    index: id.index,
                    payload: Payload::Data(bytes),
                };
                // Handled as if the leader had sent the entry in a single append.
                let request = AppendEntries {
                    prev_log_index: id.index - 1,
                    prev_log_term,
                    entries: vec![entry],
                    leader_commit,
                    sequence,
                };
                self.append_from_leader(from, request);
            }
        }
    }

    fn send_chunk_response(&mut self, to: NodeId, transfer: TransferId, received_bytes: u64) {
        let response = ChunkResponse {
            transfer,
            received_bytes,
        };
        self.send(to, MessageBody::ChunkResponse(response));
    }
}
