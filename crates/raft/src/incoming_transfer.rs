//! A snapshot or a large entry from the leader, as far as its chunks have come.
//!
//! In memory only: a member that restarts receives it from the beginning, and it is written to the
//! disk once it is complete. Chunks that overtake others wait for them.

use std::collections::BTreeMap;

use crate::tracker::MAX_WINDOW_BYTES;
use crate::{Chunk, TransferContent, TransferId};

/// No transfer is larger.
const MAX_TRANSFER_BYTES: u64 = 64 << 20;

/// A transfer from the leader that is not complete.
#[derive(Debug)]
pub(crate) struct IncomingTransfer {
    id: TransferId,
    /// All bytes up to the first gap.
    bytes: Vec<u8>,
    /// Chunks beyond it, by offset.
    out_of_order: BTreeMap<u64, Chunk>,
}

impl IncomingTransfer {
    pub(crate) fn new(id: TransferId) -> Self {
        Self {
            id,
            bytes: Vec::new(),
            out_of_order: BTreeMap::new(),
        }
    }

    pub(crate) fn id(&self) -> TransferId {
        self.id
    }

    /// The bytes received without a gap.
    pub(crate) fn received_bytes(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// Whether the bytes are those that the leader has sent.
    pub(crate) fn has_valid_checksum(&self) -> bool {
        crc32fast::hash(&self.bytes) == self.id.checksum
    }

    pub(crate) fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }

    /// Adds a chunk, and all that follow it and came before it. What the transfer is, once it is
    /// complete. Drops a chunk beyond the announced size, or further ahead than any leader sends.
    pub(crate) fn add(&mut self, chunk: Chunk) -> Option<TransferContent> {
        let end = chunk.offset.saturating_add(chunk.bytes.len() as u64);
        let max_end = (self.bytes.len() + MAX_WINDOW_BYTES) as u64;
        if end <= self.id.total_bytes.min(MAX_TRANSFER_BYTES).min(max_end) {
            self.out_of_order.insert(chunk.offset, chunk);
        }
        while let Some(next) = self.out_of_order.first_entry() {
            let received_bytes = self.bytes.len() as u64;
            if *next.key() > received_bytes {
                break;
            }
            let chunk = next.remove();
            // A chunk with a lower offset was sent again.
            if chunk.offset == received_bytes {
                self.bytes.extend_from_slice(&chunk.bytes);
                if chunk.content.is_some() {
                    return chunk.content;
                }
            }
        }
        None
    }
}
