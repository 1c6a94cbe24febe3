//! Leader election with pre-vote (Raft paper, section 5.2; Raft thesis, section 9.6).
//!
//! Vote requests and granted votes are sent only after the vote is synced. Voters that have
//! recently heard from a leader ignore vote requests (Raft thesis, section 4.2.3), so that a member
//! that was removed or partitioned can't depose it.

use std::collections::BTreeSet;

use super::{RaftNode, Role};
use crate::persistence::PersistSequence;
use crate::{LogPosition, Message, MessageBody, NodeId, Payload, RequestVote, VoteResponse};

/// The kind of election that a member runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CampaignType {
    /// A pre-vote, which tells whether the member could win an election.
    PreElection,
    /// An election after a majority has granted its pre-votes.
    Election,
    /// An election requested by the leader, which transfers leadership.
    Transfer,
}

impl RaftNode {
    /// Starts an election or a pre-vote by asking the other voters for their votes.
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
        // If this member is the only voter, its own vote is a majority. As leader it still commits
        // entries only once they are synced.
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

    /// Starts a new term and votes for itself. Returns the number of the request that persists
    /// both.
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

    /// Becomes leader of the current term. Its first entry, which is empty, allows it to commit the
    /// entries of earlier terms (Raft paper, section 8).
    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.tracker.clear();
        self.pending_reads.clear();
        self.broadcasts.on_new_term();
        self.term_start_index = self.append(Payload::Empty);
        self.broadcast_heartbeat();
    }

    /// Becomes a follower of `leader` in `term`, or of no leader yet. A newer term is persisted,
    /// without a vote.
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
            // The leader to which reads were forwarded may no longer lead.
            self.fail_forwarded_reads();
        }
        self.leader = leader;
        self.reset_election_timer();
    }

    /// Follows `leader`, which has sent an append or a chunk in the current term.
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
            // Of two pre-candidates that could both be elected, only the one with the higher id
            // continues. Otherwise they split the votes, which was seen to repeat for up to five
            // seconds.
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

    /// Returns whether the vote can be granted: once per term, and only to a candidate whose log is
    /// at least as up to date (Raft paper, sections 5.2 and 5.4.1).
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

    /// Returns whether a leader is known to be active, in which case this member ignores vote
    /// requests from others.
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
            // Retries soon after a split vote instead of waiting for an election timeout. With four
            // voters, two candidates can get two votes each.
            if !response.pre_vote {
                self.election_timer.schedule_pre_vote(self.now);
            }
            return;
        }
        self.votes_granted.insert(from);
        self.maybe_win_election(response.pre_vote);
    }

    /// Proceeds from a pre-vote to the election, or from the election to leadership, once a
    /// majority has granted its votes.
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

    /// Restarts the election timer. If this member knows a leader, the delay depends on its
    /// campaign slot.
    fn reset_election_timer(&mut self) {
        let slot = self.leader.map(|leader| self.campaign_slot(leader));
        self.election_timer.reset(self.now, slot);
    }

    /// Returns the number of voters that campaign before this member if `leader` fails. Voters
    /// campaign in the order of their ids, starting after the leader's id and wrapping around.
    fn campaign_slot(&self, leader: NodeId) -> u64 {
        let candidates = || self.members().voters.keys().filter(|id| **id != leader);
        let rank = |id: NodeId| candidates().filter(|other| **other < id).count();
        let count = candidates().count().max(1);
        ((rank(self.id) + count - rank(leader) % count) % count) as u64
    }
}
