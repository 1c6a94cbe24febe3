//! Persist requests that are not synced yet, and the messages that wait for them.
//!
//! A message that makes a promise (a granted vote, an acknowledged entry) is released only after
//! the request that backs it is synced (Raft paper, figure 2: persistent state is updated on stable
//! storage before responding to RPCs). The synced index never covers an entry that is about to be
//! overwritten.
//!
//! If the disk stalls, deferred messages and unsynced entries accumulate; the leader bounds them by
//! [`PersistencePipeline::unsynced_bytes`].

use std::collections::VecDeque;

use crate::{Entry, Message, MessageBody, NodeId, Snapshot};

/// The number of a persist request. Unrelated to the numbers of broadcasts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PersistSequence(pub(crate) u64);

/// The persist requests in flight, in order.
#[derive(Debug)]
pub(crate) struct PersistencePipeline {
    /// The number of the last request.
    last_sequence: PersistSequence,
    unsynced: VecDeque<UnsyncedRequest>,
    unsynced_bytes: usize,
    synced_index: u64,
    deferred: VecDeque<DeferredMessage>,
}

/// A persist request that is not synced yet.
#[derive(Debug)]
struct UnsyncedRequest {
    sequence: PersistSequence,
    /// The index up to which the log is synced once this request is synced.
    last_index: u64,
    /// The size of the request's entries, in bytes.
    size_bytes: usize,
}

/// A message to send once a persist request is synced.
#[derive(Debug)]
struct DeferredMessage {
    sequence: PersistSequence,
    message: Message,
}

impl PersistencePipeline {
    /// Creates a pipeline with no requests in flight and the log synced up to `synced_index`.
    pub(crate) fn new(synced_index: u64) -> Self {
        Self {
            last_sequence: PersistSequence::default(),
            unsynced: VecDeque::new(),
            unsynced_bytes: 0,
            synced_index,
            deferred: VecDeque::new(),
        }
    }

    /// Records a request that writes `entries`, or `snapshot` in place of the log, and returns its
    /// number.
    pub(crate) fn enqueue(
        &mut self,
        entries: &[Entry],
        snapshot: Option<&Snapshot>,
    ) -> PersistSequence {
        self.last_sequence.0 += 1;
        let snapshot_index = snapshot.map_or(0, |snapshot| snapshot.index);
        let size_bytes = entries.iter().map(Entry::size_bytes).sum();
        self.unsynced_bytes += size_bytes;
        self.unsynced.push_back(UnsyncedRequest {
            sequence: self.last_sequence,
            last_index: entries.last().map_or(snapshot_index, |entry| entry.index),
            size_bytes,
        });
        self.last_sequence
    }

    /// Records that all requests up to `sequence` are synced.
    pub(crate) fn complete(&mut self, sequence: PersistSequence) {
        while let Some(request) = self
            .unsynced
            .pop_front_if(|request| request.sequence <= sequence)
        {
            self.synced_index = self.synced_index.max(request.last_index);
            self.unsynced_bytes -= request.size_bytes;
        }
    }

    /// Takes the next deferred message whose request is at most `sequence`.
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

    /// Marks everything after `index` as not synced, both on disk and in the requests in flight,
    /// because it is about to be overwritten.
    pub(crate) fn limit_synced_index(&mut self, index: u64) {
        self.synced_index = self.synced_index.min(index);
        for request in &mut self.unsynced {
            request.last_index = request.last_index.min(index);
        }
    }

    /// Returns the index up to which the log is synced.
    pub(crate) fn synced_index(&self) -> u64 {
        self.synced_index
    }

    /// Returns the size of the entries that are not synced yet, in bytes.
    pub(crate) fn unsynced_bytes(&self) -> usize {
        self.unsynced_bytes
    }

    /// Returns the first request in flight after which the log is synced up to `index`.
    pub(crate) fn request_covering(&self, index: u64) -> Option<PersistSequence> {
        let mut requests = self.unsynced.iter();
        let covering = requests.find(|request| request.last_index >= index);
        covering.map(|request| request.sequence)
    }

    /// Returns whether an acknowledgement of the log up to `index` to the leader of `term` is
    /// already deferred.
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
