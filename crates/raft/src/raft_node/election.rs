//! Leader election, with pre-vote (Raft paper, section 5.2; Raft thesis, section 9.6).
//!
//! A request for votes and a granted vote are sent only once the vote is synced. Voters that hear a
//! leader answer no vote request (Raft thesis, section 4.2.3), so that a member that was removed or
//! cut off does not unseat it.

use std::collections::BTreeSet;

use super::{RaftNode, Role};
use crate::persistence::PersistSequence;
use crate::{LogPosition, Message, MessageBody, NodeId, Payload, RequestVote, VoteResponse};

/// Why a member asks for votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CampaignType {
    /// To learn whether it would be elected.
    PreElection,
    /// A majority would elect it.
    Election,
    /// The leader has transferred leadership to it.
    Transfer,
}

impl RaftNode {
    /// Asks the other voters for their votes.
    pub(super) fn campaign(&mut self, campaign: CampaignType) {
        let pre_vote = campaign == CampaignType::PreElection;
        if pre_vote {
            self.election_timer.schedule_pre_vote(self.now);
        } else {
            self.reset_election_timer();
        }
        if !self.is_voter() || self.shutting_down {
            return;
        }
        let persisted = if pre_vote {
            self.become_pre_candidate();
            None
        } else {
            Some(self.become_candidate())
        };
        self.request_votes(campaign, persisted);
        // Alone, a member has a majority by its own vote; as the leader it counts its entries once
        // they are synced.
        self.maybe_win_election(pre_vote);
    }

    fn request_votes(&mut self, campaign: CampaignType, persisted: Option<PersistSequence>) {
        let pre_vote = campaign == CampaignType::PreElection;
        let last = self.log.last_position();
        let request = RequestVote {
            pre_vote,
            transfer: campaign == CampaignType::Transfer,
            last_log_index: last.index,
            last_log_term: last.term,
        };
        let term = self.term + u64::from(pre_vote);
        let voters: Vec<NodeId> = self.other_voters().collect();
        for to in voters {
            let message = Message {
                from: self.id,
                to,
                term,
                body: MessageBody::RequestVote(request.clone()),
            };
            self.send_once_persisted(persisted, message);
        }
    }

    fn become_pre_candidate(&mut self) {
        self.become_any_candidate(Role::PreCandidate);
    }

    /// Begins a new term with a vote for itself. The number of the request that persists them.
    fn become_candidate(&mut self) -> PersistSequence {
        self.become_any_candidate(Role::Candidate);
        (self.term, self.voted_for) = (self.term + 1, Some(self.id));
        self.persist(Vec::new(), None)
    }

    fn become_any_candidate(&mut self, role: Role) {
        self.role = role;
        self.leader = None;
        self.fail_forwarded_reads();
        self.votes_granted = BTreeSet::from([self.id]);
    }

    /// Leads the term. The first entry, without a payload, lets it commit what came before (Raft
    /// paper, section 8).
    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.tracker.clear();
        self.pending_reads.clear();
        self.broadcasts.on_new_term();
        self.term_start_index = self.append(Payload::Empty);
        self.broadcast_heartbeat();
    }

    /// Follows `leader` in `term`, or waits for a leader of it. A newer term is persisted, without
    /// a vote.
    pub(super) fn become_follower(&mut self, term: u64, leader: Option<NodeId>) {
        if term > self.term {
            (self.term, self.voted_for) = (term, None);
            self.persist(Vec::new(), None);
        }
        if self.role == Role::Leader {
            self.fail_pending_reads();
            self.applicants.clear();
            self.log.clear_retained();
        }
        self.role = Role::Follower;
        if leader != self.leader || leader.is_none() {
            // The leader that was asked for a read may no longer lead.
            self.fail_forwarded_reads();
        }
        self.leader = leader;
        self.reset_election_timer();
    }

    /// Accepts the sender of entries of this term as its leader.
    pub(super) fn accept_leader(&mut self, leader: NodeId) {
        self.become_follower(self.term, Some(leader));
        self.election_timer.on_leader_contact(self.now);
    }

    pub(super) fn handle_request_vote(&mut self, from: NodeId, term: u64, request: &RequestVote) {
        let from_leader = self.leader.is_some_and(|leader| leader == from);
        if !request.transfer && self.has_current_leader() && !from_leader {
            return;
        }
        if !request.pre_vote && term > self.term {
            self.become_follower(term, None);
        }
        let granted = self.can_grant_vote(from, term, request);
        if granted && self.role == Role::PreCandidate && from > self.id {
            // Of two that would both be elected the one with the higher id goes on: else they split
            // the votes, which was seen to repeat for up to five seconds.
            self.role = Role::Follower;
        }
        let mut persisted = None;
        if granted && !request.pre_vote {
            self.voted_for = Some(from);
            persisted = Some(self.persist(Vec::new(), None));
            self.reset_election_timer();
        }
        let response = VoteResponse {
            pre_vote: request.pre_vote,
            granted,
        };
        let message = Message {
            from: self.id,
            to: from,
            term: if granted { term } else { self.term },
            body: MessageBody::VoteResponse(response),
        };
        self.send_once_persisted(persisted, message);
    }

    /// One vote a term, and only for a log that is at least as up to date (Raft paper, sections 5.2
    /// and 5.4.1).
    fn can_grant_vote(&self, candidate: NodeId, term: u64, request: &RequestVote) -> bool {
        let last = LogPosition {
            index: request.last_log_index,
            term: request.last_log_term,
        };
        let has_vote = if request.pre_vote {
            term > self.term
        } else {
            term == self.term && self.voted_for.is_none_or(|id| id == candidate)
        };
        has_vote && self.log.is_up_to_date(last)
    }

    /// Whether a leader is known to be there, so that nobody may unseat it.
    fn has_current_leader(&self) -> bool {
        self.role == Role::Leader
            || (self.leader.is_some() && self.election_timer.has_recent_leader_contact(self.now))
    }

    pub(super) fn handle_vote_response(
        &mut self,
        from: NodeId,
        term: u64,
        response: &VoteResponse,
    ) {
        let (candidate, campaign_term) = if response.pre_vote {
            (Role::PreCandidate, self.term + 1)
        } else {
            (Role::Candidate, self.term)
        };
        if self.role != candidate || term != campaign_term {
            return;
        }
        if !response.granted {
            // With four voters two candidates got two votes each, and both waited for an election
            // timeout.
            if !response.pre_vote {
                self.election_timer.schedule_pre_vote(self.now);
            }
            return;
        }
        self.votes_granted.insert(from);
        self.maybe_win_election(response.pre_vote);
    }

    /// Goes on to the election, or to lead, if a majority has granted its votes.
    fn maybe_win_election(&mut self, pre_vote: bool) {
        if !self
            .members()
            .is_majority(|id| self.votes_granted.contains(&id))
        {
            return;
        }
        if pre_vote {
            self.campaign(CampaignType::Election);
        } else {
            self.become_leader();
        }
    }

    /// Waits for an election timeout, and for the turn of this member if it has heard a leader.
    fn reset_election_timer(&mut self) {
        let turn = self.leader.map(|leader| self.election_turn(leader));
        self.election_timer.reset(self.now, turn);
    }

    /// The number of voters that campaign before this member when this leader is lost: all do in
    /// the order of their ids, beginning after the leader's.
    fn election_turn(&self, leader: NodeId) -> u64 {
        let candidates = || self.members().voters.keys().filter(|id| **id != leader);
        let rank = |id: NodeId| candidates().filter(|other| **other < id).count();
        let count = candidates().count().max(1);
        ((rank(self.id) + count - rank(leader) % count) % count) as u64
    }
}
