//! Reads, and how fresh a member's state is known to be.
//!
//! A **read** waits for a round of heartbeats that began after it and that a majority has answered: whoever is
//! elected later was elected after the read was asked for. One round serves all reads that wait for it, and a
//! follower has one request to the leader under way at a time, for all that wait at it.
//!
//! **Contact** is the moment up to which a member's applied state covers all that was acknowledged anywhere. It is
//! judged by when a round, or the member's own question, was *sent*, never by when an answer was taken in: an
//! answer that lay in a queue while a process stood still proves nothing about the time since.

use std::collections::VecDeque;

use super::{RaftNode, Role};
use crate::{Message, MessageBody, NodeId};

/// Questions after the leader's contact that may be unanswered at a time; a slow link has more than one under way.
const QUESTIONS: usize = 4;

/// A read that waits for a majority to answer a round.
#[derive(Debug)]
pub(super) struct Pending {
    from: NodeId,
    token: u64,
    index: u64,
    round: u64,
}

/// The reads of a follower, on their way to the leader.
#[derive(Debug, Default)]
pub(super) struct Requests {
    /// Those that the message under way stands for; its token is that of the last one.
    in_flight: Vec<u64>,
    sent: u64,
    /// Those that came after it was sent: its answer proves nothing for them.
    waiting: Vec<u64>,
}

/// What a follower knows of the leader's contact.
#[derive(Debug, Default)]
pub(super) struct Contact {
    /// Questions without an answer yet: their tokens, and when each was asked.
    asked: VecDeque<(u64, u64)>,
    /// Contact, and the index that has to be applied before it counts.
    next: VecDeque<(u64, u64)>,
    /// The moment up to which all that was acknowledged is applied here.
    at: Option<u64>,
}

impl RaftNode {
    /// Asks for an index that covers all that was acknowledged before this call; told in
    /// [`Ready::read_states`](crate::Ready::read_states). Tokens are never used again, not by a later life of the member
    /// either: an answer to an earlier one must not pass for the answer to this.
    pub fn request_read(&mut self, token: u64) {
        match self.leader {
            Some(leader) if leader != self.id => {
                self.requests.waiting.push(token);
                if self.requests.in_flight.is_empty() {
                    self.request_reads(leader);
                }
            }
            Some(_) => self.read_for(self.id, token),
            None => self.out.read_states.push((token, None)),
        }
    }

    /// Sends one request for all reads that wait here.
    fn request_reads(&mut self, leader: NodeId) {
        let requests = &mut self.requests;
        requests.in_flight.append(&mut requests.waiting);
        requests.sent = self.now;
        if let Some(token) = requests.in_flight.last() {
            let body = MessageBody::ReadIndex { token: *token };
            self.out.messages.push(Message {
                from: self.id,
                to: leader,
                term: self.term,
                body,
            });
        }
    }

    /// Asks again where an answer is overdue: it may be lost.
    pub(super) fn request_overdue_reads(&mut self) {
        let overdue = self.now >= self.requests.sent + self.timing.heartbeat_interval_ms;
        if let Some(leader) = self
            .leader
            .filter(|_| overdue && !self.requests.in_flight.is_empty())
        {
            self.request_reads(leader);
        }
    }

    /// The leader that was asked may lead no longer: who waits has to ask again.
    pub(super) fn fail_requests(&mut self) {
        let requests = std::mem::take(&mut self.requests);
        let tokens = requests.in_flight.into_iter().chain(requests.waiting);
        self.out
            .read_states
            .extend(tokens.map(|token| (token, None)));
    }

    pub(super) fn read_answered(&mut self, token: u64, index: Option<u64>) {
        if self.requests.in_flight.last() != Some(&token) {
            return;
        }
        let answered = std::mem::take(&mut self.requests.in_flight);
        self.out
            .read_states
            .extend(answered.into_iter().map(|token| (token, index)));
        if let Some(leader) = self.leader.filter(|_| !self.requests.waiting.is_empty()) {
            self.request_reads(leader);
        }
    }

    /// Whether this one leads, and knows how far the log is committed: not before its own first entry is.
    fn knows_commit(&self) -> bool {
        self.role == Role::Leader && self.term_at(self.commit) == Some(self.term)
    }

    pub(super) fn read_for(&mut self, from: NodeId, token: u64) {
        if self.role != Role::Leader {
            return self.answer_read(from, token, None);
        }
        // A round that is under way began before this read: the next one serves all that come until then.
        let under_way = !self.answered_round(self.round);
        if !under_way {
            self.broadcast(true);
        }
        let round = self.round + u64::from(under_way);
        // Whatever was acknowledged under leaders before comes before its own first entry.
        let index = self.commit.max(self.first_of_term);
        self.reads.push(Pending {
            from,
            token,
            index,
            round,
        });
        self.confirm_reads();
    }

    pub(super) fn confirm_reads(&mut self) {
        while let Some((round, began)) = self.rounds.front().copied() {
            if !self.answered_round(round) {
                break;
            }
            self.rounds.pop_front();
            self.confirmed = Some(began);
        }
        let served = self
            .reads
            .iter()
            .take_while(|p| self.answered_round(p.round))
            .count();
        for p in self.reads.drain(..served).collect::<Vec<_>>() {
            self.answer_read(p.from, p.token, Some(p.index));
        }
        let wants_round = self.reads.last().is_some_and(|p| p.round > self.round);
        if wants_round && self.answered_round(self.round) {
            self.broadcast(true);
        }
    }

    fn answered_round(&self, round: u64) -> bool {
        let told = |id| id == self.id || self.progress.get(&id).is_some_and(|p| p.round >= round);
        self.members().is_majority(told)
    }

    pub(super) fn answer_read(&mut self, from: NodeId, token: u64, index: Option<u64>) {
        if from == self.id {
            self.out.read_states.push((token, index));
            return;
        }
        let body = MessageBody::ReadIndexResponse { token, index };
        self.out.messages.push(Message {
            from: self.id,
            to: from,
            term: self.term,
            body,
        });
    }

    // --------------------------------------------------------------- contact

    /// When it surely led, by the clock of [`RaftNode::tick`]: a majority has answered what it sent then, so whoever
    /// is elected after it was elected later. `None` where it does not lead.
    pub fn leadership_confirmed_at(&self) -> Option<u64> {
        self.confirmed.filter(|_| self.role == Role::Leader)
    }

    /// The moment, by the clock of [`RaftNode::tick`], up to which what is applied here covers all that was
    /// acknowledged anywhere. `None` where that is not known.
    pub fn quorum_contact_at(&self) -> Option<u64> {
        self.contact
            .at
            .max(self.confirmed.filter(|_| self.knows_commit()))
    }

    /// Asks the leader how fresh what it knows is, so that [`RaftNode::quorum_contact_at`] moves on. The leader answers at
    /// once, by the last round that was answered: asking costs no round. For tokens see [`RaftNode::request_read`].
    pub fn request_quorum_contact(&mut self, token: u64) {
        let Some(leader) = self.leader.filter(|leader| *leader != self.id) else {
            return;
        };
        if self.contact.asked.len() == QUESTIONS {
            self.contact.asked.pop_front();
        }
        self.contact.asked.push_back((token, self.now));
        let body = MessageBody::QuorumContact { token };
        self.out.messages.push(Message {
            from: self.id,
            to: leader,
            term: self.term,
            body,
        });
    }

    pub(super) fn contact_asked(&mut self, from: NodeId, token: u64) {
        let Some(began) = self.quorum_contact_at().filter(|_| self.knows_commit()) else {
            return;
        };
        let (age, index) = (self.now.saturating_sub(began), self.commit);
        let body = MessageBody::QuorumContactResponse {
            token,
            age_ms: age,
            index,
        };
        self.out.messages.push(Message {
            from: self.id,
            to: from,
            term: self.term,
            body,
        });
    }

    pub(super) fn contact_told(&mut self, token: u64, age: u64, index: u64) {
        let Some(place) = self
            .contact
            .asked
            .iter()
            .position(|(asked, _)| *asked == token)
        else {
            return;
        };
        let (_, asked) = self.contact.asked[place];
        // The leader took the age after the question was sent: the round began no earlier than this.
        let at = asked.checked_sub(age);
        self.contact.asked.drain(..=place);
        if let Some(at) = at.filter(|at| self.contact.at.is_none_or(|known| *at > known)) {
            if self.contact.next.len() == QUESTIONS {
                self.contact.next.pop_front();
            }
            self.contact.next.push_back((at, index));
            self.contact_applied();
        }
    }

    /// Contact counts once what it covers is applied.
    pub(super) fn contact_applied(&mut self) {
        let applied = self.applied;
        while let Some((at, _)) = self
            .contact
            .next
            .pop_front_if(|(_, index)| *index <= applied)
        {
            self.contact.at = self.contact.at.max(Some(at));
        }
    }

    /// On stepping down: who waits for a read here has to ask again, and the contact that was had still holds.
    pub(super) fn leave_reads(&mut self) {
        self.contact.at = self.quorum_contact_at();
        for p in std::mem::take(&mut self.reads) {
            self.answer_read(p.from, p.token, None);
        }
    }
}
