//! Sends a snapshot or a large entry to a member in chunks, within the flow-control window, and
//! resumes from the last acknowledged byte after messages were lost.

use std::sync::Arc;

use super::inflights::Inflights;
use crate::{Chunk, LogPosition, TransferContent, TransferId};

/// The size of a chunk, in bytes: a tenth of a second on a link of 1 Mbit/s.
const CHUNK_BYTES: usize = 8 << 10;
/// The time without progress after which the chunks in flight are sent again. It doubles after each
/// resend.
const INITIAL_RESEND_TIMEOUT_MS: u64 = 1000;
/// The upper limit of the resend timeout.
const MAX_RESEND_TIMEOUT_MS: u64 = 8000;
/// A response that reports no received bytes, this long after one that reported progress, means
/// that the member has restarted. A response that arrives sooner was reordered in transit.
const RESTART_DETECTION_MS: u64 = 500;

/// The data of a transfer, shared by the transfers to several members.
#[derive(Debug)]
pub(crate) struct TransferData {
    id: TransferId,
    content: TransferContent,
    bytes: Vec<u8>,
}

impl TransferData {
    /// Creates the data for the entry at `position`, or for the snapshot that ends there.
    pub(crate) fn new(
        position: LogPosition,
        content: TransferContent,
        bytes: Vec<u8>,
    ) -> Arc<Self> {
        let id = TransferId {
            index: position.index,
            term: position.term,
            total_bytes: bytes.len() as u64,
            checksum: crc32fast::hash(&bytes),
        };
        Arc::new(Self { id, content, bytes })
    }
}

/// A transfer to one member.
#[derive(Debug)]
pub(crate) struct OutgoingTransfer {
    data: Arc<TransferData>,
    /// The number of bytes that the member has received.
    received_bytes: usize,
    /// The number of bytes that were sent to the member.
    sent_bytes: usize,
    /// Whether the last chunk was sent. An empty transfer consists of one empty chunk.
    sent_last_chunk: bool,
    /// When the member last reported progress.
    last_progress_at: u64,
    /// When the member last reported progress, or chunks were last sent again.
    resend_timer_start: u64,
    resend_timeout_ms: u64,
}

impl OutgoingTransfer {
    pub(crate) fn new(data: Arc<TransferData>, now: u64) -> Self {
        Self {
            data,
            received_bytes: 0,
            sent_bytes: 0,
            sent_last_chunk: false,
            last_progress_at: now,
            resend_timer_start: now,
            resend_timeout_ms: INITIAL_RESEND_TIMEOUT_MS,
        }
    }

    pub(crate) fn id(&self) -> TransferId {
        self.data.id
    }

    /// Returns the index up to which the member has the log once the transfer is complete.
    pub(crate) fn index(&self) -> u64 {
        self.data.id.index
    }

    /// Returns the position up to which the member has the log once the transfer is complete.
    pub(crate) fn position(&self) -> LogPosition {
        self.data.id.position()
    }

    pub(crate) fn data(&self) -> &Arc<TransferData> {
        &self.data
    }

    /// Rewinds to the last acknowledged byte if there was no progress for the resend timeout, which
    /// means that messages were lost.
    pub(crate) fn resume_if_stalled(&mut self, inflights: &mut Inflights, now: u64) {
        if now < self.resend_timer_start + self.resend_timeout_ms {
            return;
        }
        // The last chunk is sent again even if the member has all bytes, since the response to it
        // may have been lost.
        let last_chunk = self.data.bytes.len().saturating_sub(1) / CHUNK_BYTES * CHUNK_BYTES;
        self.rewind(self.received_bytes.min(last_chunk), inflights);
        inflights.shrink_window();
        self.resend_timer_start = now;
        self.resend_timeout_ms = (2 * self.resend_timeout_ms).min(MAX_RESEND_TIMEOUT_MS);
    }

    fn rewind(&mut self, offset: usize, inflights: &mut Inflights) {
        (self.received_bytes, self.sent_bytes) = (offset, offset);
        self.sent_last_chunk = false;
        inflights.clear();
    }

    /// Returns the next chunk to send, if any.
    pub(crate) fn next_chunk(&mut self, leader_commit: u64, sequence: u64) -> Option<Chunk> {
        if self.sent_last_chunk {
            return None;
        }
        let (offset, bytes) = (self.sent_bytes, &self.data.bytes);
        let end = (offset + CHUNK_BYTES).min(bytes.len());
        (self.sent_bytes, self.sent_last_chunk) = (end, end == bytes.len());
        Some(Chunk {
            transfer: self.data.id,
            offset: offset as u64,
            bytes: bytes[offset..end].to_vec(),
            content: self.sent_last_chunk.then(|| self.data.content.clone()),
            leader_commit,
            sequence,
        })
    }

    /// Handles a response that reports `received_bytes`.
    pub(crate) fn on_response(&mut self, received_bytes: u64, inflights: &mut Inflights, now: u64) {
        let received_bytes = usize::try_from(received_bytes)
            .map_or(0, |received| received.min(self.data.bytes.len()));
        let restarted = received_bytes == 0 && now >= self.last_progress_at + RESTART_DETECTION_MS;
        if restarted && self.received_bytes > 0 {
            return self.rewind(0, inflights);
        }
        // A response that reports fewer bytes than an earlier one was reordered and is ignored.
        if received_bytes > self.received_bytes {
            (self.received_bytes, self.last_progress_at) = (received_bytes, now);
            self.sent_bytes = self.sent_bytes.max(received_bytes);
            inflights.free_to(received_bytes as u64, now);
            self.resend_timer_start = now;
            self.resend_timeout_ms = INITIAL_RESEND_TIMEOUT_MS;
        }
    }
}
