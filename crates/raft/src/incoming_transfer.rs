//! A snapshot or a large entry that is being received from the leader in chunks.
//!
//! It is held in memory only and written to disk once it is complete, so a member that restarts
//! receives it again from the start. Chunks that arrive out of order are buffered.

use std::collections::BTreeMap;

use crate::tracker::MAX_WINDOW_BYTES;
use crate::{Chunk, TransferContent, TransferId};

/// The maximum size of a transfer, in bytes.
const MAX_TRANSFER_BYTES: u64 = 64 << 20;

/// An incomplete transfer from the leader.
#[derive(Debug)]
pub(crate) struct IncomingTransfer {
    id: TransferId,
    /// The bytes received so far without a gap.
    bytes: Vec<u8>,
    /// Chunks after the first gap, by offset.
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

    /// Returns the number of bytes received without a gap.
    pub(crate) fn received_bytes(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// Returns whether the received bytes match the checksum of the transfer.
    pub(crate) fn has_valid_checksum(&self) -> bool {
        crc32fast::hash(&self.bytes) == self.id.checksum
    }

    pub(crate) fn into_bytes(self) -> Vec<u8> {
        self.bytes
    }

    /// Adds a chunk and any buffered chunks that follow it. Returns the content of the transfer if
    /// it is now complete.
    ///
    /// Discards a chunk that exceeds the announced size, or that is further ahead than any leader
    /// sends.
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
            // A chunk with a lower offset is a retransmission.
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
