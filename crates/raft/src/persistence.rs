//! What is on its way to the disk, and the messages that wait for it.
//!
//! **Owns** the requests that are not synced, the last synced index and the deferred messages.
//! **Promises:** a message that promises something (a vote, an acknowledged entry) is released only
//! once the request that backs it is synced (Raft paper, figure 2: persistent state is updated on
//! stable storage before responding to RPCs), and the synced index never covers an entry that is
//! about to be overwritten. **Disk stalls:** deferred messages and entries wait; the leader bounds
//! them by [`PersistencePipeline::unsynced_bytes`].

use std::collections::VecDeque;

use crate::{Entry, Message, MessageBody, NodeId, Snapshot};

/// The number of a request to the disk. Not to be mixed up with the number of a broadcast.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PersistSequence(pub(crate) u64);

/// The requests to the disk, in order.
#[derive(Debug)]
pub(crate) struct PersistencePipeline {
    /// The number of the last request.
    last_sequence: PersistSequence,
    unsynced: VecDeque<UnsyncedRequest>,
    unsynced_bytes: usize,
    synced_index: u64,
    deferred: VecDeque<DeferredMessage>,
}

/// A request that is not synced yet.
#[derive(Debug)]
struct UnsyncedRequest {
    sequence: PersistSequence,
    /// The log is synced up to this index once the request is.
    last_index: u64,
    /// The size of its entries.
    size_bytes: usize,
}

/// A message to be sent once a request is synced.
#[derive(Debug)]
struct DeferredMessage {
    sequence: PersistSequence,
    message: Message,
}

impl PersistencePipeline {
    /// Nothing is under way, and the disk has the log up to `synced_index`.
    pub(crate) fn new(synced_index: u64) -> Self {
        Self {
            last_sequence: PersistSequence::default(),
            unsynced: VecDeque::new(),
            unsynced_bytes: 0,
            synced_index,
            deferred: VecDeque::new(),
        }
    }

    /// Numbers a request that writes these entries, or that snapshot in place of the log.
    pub(crate) fn enqueue(
        &mut self,
        entries: &[Entry],
        snapshot: Option<&Snapshot>,
    ) -> PersistSequence {
        self.last_sequence.0 += 1;
        let covered = snapshot.map_or(0, |snapshot| snapshot.index);
        let size_bytes = entries.iter().map(Entry::size_bytes).sum();
        self.unsynced_bytes += size_bytes;
        self.unsynced.push_back(UnsyncedRequest {
            sequence: self.last_sequence,
            last_index: entries.last().map_or(covered, |entry| entry.index),
            size_bytes,
        });
        self.last_sequence
    }

    /// All requests up to `sequence` are synced.
    pub(crate) fn complete(&mut self, sequence: PersistSequence) {
        while let Some(request) = self
            .unsynced
            .pop_front_if(|request| request.sequence <= sequence)
        {
            self.synced_index = self.synced_index.max(request.last_index);
            self.unsynced_bytes -= request.size_bytes;
        }
    }

    /// The next message that waited only for the requests up to `sequence`.
    pub(crate) fn pop_released(&mut self, sequence: PersistSequence) -> Option<Message> {
        let released = self
            .deferred
            .pop_front_if(|deferred| deferred.sequence <= sequence);
        released.map(|deferred| deferred.message)
    }

    /// Defers a message until the request `sequence` is synced.
    pub(crate) fn defer(&mut self, sequence: PersistSequence, message: Message) {
        self.deferred
            .push_back(DeferredMessage { sequence, message });
    }

    /// What the disk has after `index`, or will have by requests under way, is about to be
    /// overwritten: it no longer counts as synced.
    pub(crate) fn limit_synced_index(&mut self, index: u64) {
        self.synced_index = self.synced_index.min(index);
        for request in &mut self.unsynced {
            request.last_index = request.last_index.min(index);
        }
    }

    /// The last entry up to which the disk has the log.
    pub(crate) fn synced_index(&self) -> u64 {
        self.synced_index
    }

    /// The size of the entries that are not synced yet.
    pub(crate) fn unsynced_bytes(&self) -> usize {
        self.unsynced_bytes
    }

    /// The first request under way with which the log will be synced up to `index`.
    pub(crate) fn request_covering(&self, index: u64) -> Option<PersistSequence> {
        let mut requests = self.unsynced.iter();
        let covering = requests.find(|request| request.last_index >= index);
        covering.map(|request| request.sequence)
    }

    /// Whether an acknowledgement of the log up to `index` to the leader of the term is deferred
    /// already.
    pub(crate) fn has_deferred_acknowledgement(
        &self,
        leader: NodeId,
        term: u64,
        index: u64,
    ) -> bool {
        self.deferred.iter().any(|DeferredMessage { message, .. }| {
            (message.to, message.term) == (leader, term)
                && matches!(&message.body, MessageBody::AppendResponse(r) if r.match_index >= index)
        })
    }
}
