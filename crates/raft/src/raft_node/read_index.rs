//! Linearizable reads (Raft thesis, section 6.4).
//!
//! A read waits until a majority has answered a broadcast that started after the read: any later
//! leader was then elected after the read was requested. One broadcast serves all reads that wait
//! for it. A follower has at most one request to the leader in flight, which covers all reads
//! waiting at the follower.

use super::{RaftNode, Role};
use crate::read_only::PendingRead;
use crate::{MessageBody, NodeId, ReadIndex, ReadIndexResponse, ReadState};

impl RaftNode {
    /// Requests an index that covers everything acknowledged before this call. The result is
    /// returned in [`Ready::read_states`](crate::Ready::read_states).
    ///
    /// Tokens must never be reused, not even after a restart of the member: otherwise a response to
    /// an earlier request could be taken for the response to this one.
    pub fn request_read(&mut self, token: u64) {
        match self.leader {
            Some(leader) if leader != self.id => {
                if self.forwarded_reads.push(token) {
                    self.forward_reads(leader);
                }
            }
            Some(_) => self.begin_read(self.id, token),
            None => self.finish_reads([token], None),
        }
    }

    /// Sends the leader one request for all reads that wait at this member.
    fn forward_reads(&mut self, leader: NodeId) {
        if let Some(token) = self.forwarded_reads.begin_request(self.now) {
            self.send(leader, MessageBody::ReadIndex(ReadIndex { token }));
        }
    }

    /// Sends the request again if its response is overdue.
    pub(super) fn retry_overdue_read(&mut self) {
        let interval = self.timing.heartbeat_interval_ms;
        if let Some(leader) = self.leader
            && self.forwarded_reads.is_overdue(self.now, interval)
        {
            self.forward_reads(leader);
        }
    }

    /// Fails the reads that wait at this member because the leader may no longer lead. The host has
    /// to request them again.
    pub(super) fn fail_forwarded_reads(&mut self) {
        let tokens = self.forwarded_reads.take_all();
        self.finish_reads(tokens, None);
    }

    pub(super) fn handle_read_index_response(&mut self, response: &ReadIndexResponse) {
        let Some(tokens) = self.forwarded_reads.complete(response.token) else {
            return;
        };
        self.finish_reads(tokens, response.index);
        if let Some(leader) = self.leader
            && self.forwarded_reads.has_waiting()
        {
            self.forward_reads(leader);
        }
    }

    fn finish_reads(&mut self, tokens: impl IntoIterator<Item = u64>, index: Option<u64>) {
        let read_states = tokens.into_iter().map(|token| ReadState { token, index });
        self.ready.read_states.extend(read_states);
    }

    pub(super) fn handle_read_index(&mut self, from: NodeId, request: &ReadIndex) {
        self.begin_read(from, request.token);
    }

    /// Starts a read of this member or of a follower.
    fn begin_read(&mut self, from: NodeId, token: u64) {
        if self.role != Role::Leader {
            return self.respond_to_read(from, token, None);
        }
        // A broadcast that is still unanswered started before this read and can't confirm it. The
        // next broadcast confirms all reads that arrive before it starts.
        let is_under_way = !self.is_answered_by_majority(self.broadcasts.sequence());
        if !is_under_way {
            self.broadcast_heartbeat();
        }
        self.pending_reads.push_back(PendingRead {
            from,
            token,
            // This leader's first entry follows everything that earlier leaders acknowledged.
            read_index: self.log.commit_index().max(self.term_start_index),
            sequence: self.broadcasts.sequence() + u64::from(is_under_way),
        });
        self.confirm_broadcasts();
    }

    /// Confirms the broadcasts that a majority has answered, responds to the reads that waited for
    /// them, and starts another broadcast if reads wait for one.
    pub(super) fn confirm_broadcasts(&mut self) {
        while let Some(sequence) = self.broadcasts.oldest_unconfirmed()
            && self.is_answered_by_majority(sequence)
        {
            self.broadcasts.confirm_oldest();
        }
        while let Some(read) = self.pending_reads.front()
            && self.is_answered_by_majority(read.sequence)
        {
            if let Some(read) = self.pending_reads.pop_front() {
                self.respond_to_read(read.from, read.token, Some(read.read_index));
            }
        }
        let sequence = self.broadcasts.sequence();
        let waits_for_next = |read: &PendingRead| read.sequence > sequence;
        if self.pending_reads.back().is_some_and(waits_for_next)
            && self.is_answered_by_majority(sequence)
        {
            self.broadcast_heartbeat();
        }
    }

    fn is_answered_by_majority(&self, sequence: u64) -> bool {
        self.members().is_majority(|id| {
            let progress = self.tracker.get(id);
            id == self.id || progress.is_some_and(|p| p.answered_sequence >= sequence)
        })
    }

    fn respond_to_read(&mut self, from: NodeId, token: u64, index: Option<u64>) {
        if from == self.id {
            return self.finish_reads([token], index);
        }
        let response = ReadIndexResponse { token, index };
        self.send(from, MessageBody::ReadIndexResponse(response));
    }

    /// Fails the reads that wait at this member because it steps down; they have to be requested
    /// again. The quorum contact that it had proven remains valid.
    pub(super) fn fail_pending_reads(&mut self) {
        self.contact.set_confirmed_at(self.quorum_contact_at());
        for read in std::mem::take(&mut self.pending_reads) {
            self.respond_to_read(read.from, read.token, None);
        }
    }
}
