//! The protocol state machine of one member: its state, its clock, and the dispatch of messages to
//! their handlers.
//!
//! [`RaftNode`] holds the term, the vote and the role, and combines the components that hold the
//! rest: the log, the persistence pipeline, the election timer, the progress of other members,
//! reads, and quorum contact. Each submodule handles the messages of one concern.
//!
//! It guarantees the properties of figure 3 in the Raft paper: election safety, leader append-only,
//! log matching, leader completeness and state machine safety.
//!
//! A leader that a majority does not answer steps down after an election timeout, and other members
//! campaign. For members that are unreachable or lose their disks, see [`crate::MembershipView`].

mod append_entries;
mod chunked_transfer;
mod election;
mod leadership_transfer;
mod membership;
mod quorum_contact;
mod read_index;
mod replication;

pub use membership::{MemberReport, MembershipReport};

use std::collections::BTreeSet;
use std::fmt;

use crate::applicants::Applicants;
use crate::broadcasts::Broadcasts;
use crate::contact_tracker::ContactTracker;
use crate::election_timer::ElectionTimer;
use crate::incoming_transfer::IncomingTransfer;
use crate::persistence::{PersistSequence, PersistencePipeline};
use crate::raft_log::RaftLog;
use crate::read_only::{ForwardedReads, PendingReads};
use crate::tracker::ProgressTracker;
use crate::{
    Entry, Members, MembershipPolicy, Message, MessageBody, NodeId, PersistRequest,
    PersistentState, Ready, Snapshot, Timing,
};
use election::CampaignType;

/// The number of voter failures to tolerate if the host sets no membership policy.
const DEFAULT_TOLERATED_LOSSES: usize = 1;

/// The role of a member (Raft paper, figure 4; pre-candidate: Raft thesis, section 9.6).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one to be elected.
    Follower,
    /// Asks for pre-votes, without starting a new term.
    PreCandidate,
    /// Asks for votes in its term.
    Candidate,
    /// Leads in its term.
    Leader,
}

/// Formats the role as shown on the control plane's status page, which operators' tools parse.
impl fmt::Display for Role {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            Role::Follower => "follower",
            Role::PreCandidate => "candidate { pre: true }",
            Role::Candidate => "candidate { pre: false }",
            Role::Leader => "leader",
        })
    }
}

/// A summary of a member's state for status reports.
#[derive(Clone, Debug)]
pub struct Status {
    /// The member's id.
    pub id: NodeId,
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: u64,
    /// The leader of the term, if known.
    pub leader: Option<NodeId>,
    /// The index of the last entry known to be committed.
    pub commit_index: u64,
    /// The index of the last entry of its log, committed or not.
    pub last_log_index: u64,
}

/// One member of the replicated log.
#[derive(Debug)]
pub struct RaftNode {
    id: NodeId,
    timing: Timing,
    /// The host's clock in milliseconds, as of the last call that advanced it.
    now: u64,

    // Persistent state (Raft paper, figure 2), together with the log.
    term: u64,
    voted_for: Option<NodeId>,
    log: RaftLog,
    persistence: PersistencePipeline,

    // Election.
    role: Role,
    leader: Option<NodeId>,
    election_timer: ElectionTimer,
    votes_granted: BTreeSet<NodeId>,
    /// Whether the process is shutting down: the member then neither campaigns nor accepts
    /// proposals.
    shutting_down: bool,

    // Leader.
    tracker: ProgressTracker,
    broadcasts: Broadcasts,
    /// The index of the first entry of this leader's term, which follows all entries that earlier
    /// leaders acknowledged.
    term_start_index: u64,
    pending_reads: PendingReads,
    applicants: Applicants,
    policy: MembershipPolicy,

    // Follower.
    incoming_transfer: Option<IncomingTransfer>,
    forwarded_reads: ForwardedReads,
    contact: ContactTracker,

    /// The output for the host since the last [`RaftNode::take_ready`].
    ready: Ready,
}

impl RaftNode {
    /// Creates a member from the state stored on its disk.
    ///
    /// `initial_members` is the membership before the first entry and has to be the same at every
    /// initial member; it is ignored if the disk holds a snapshot. `seed` seeds the randomized
    /// election timeouts.
    pub fn new(
        id: NodeId,
        timing: Timing,
        seed: u64,
        stored: PersistentState,
        initial_members: Members,
    ) -> Self {
        let snapshot = stored
            .snapshot
            .unwrap_or(Snapshot::initial(initial_members));
        let restored_snapshot = (snapshot.index > 0).then(|| snapshot.clone());
        let log = RaftLog::new(snapshot, stored.entries);
        Self {
            id,
            timing,
            now: 0,
            term: stored.term,
            voted_for: stored.voted_for,
            persistence: PersistencePipeline::new(log.last_index()),
            log,
            role: Role::Follower,
            leader: None,
            election_timer: ElectionTimer::new(timing, seed),
            votes_granted: BTreeSet::new(),
            shutting_down: false,
            tracker: ProgressTracker::default(),
            broadcasts: Broadcasts::default(),
            term_start_index: 0,
            pending_reads: PendingReads::default(),
            applicants: Applicants::default(),
            policy: MembershipPolicy::new(timing, DEFAULT_TOLERATED_LOSSES),
            incoming_transfer: None,
            forwarded_reads: ForwardedReads::default(),
            contact: ContactTracker::default(),
            ready: Ready {
                restored_snapshot,
                ..Ready::default()
            },
        }
    }

    /// Returns the output that the host has to process since the last call.
    pub fn take_ready(&mut self) -> Ready {
        std::mem::take(&mut self.ready)
    }

    /// Returns the member's current state.
    pub fn status(&self) -> Status {
        Status {
            id: self.id,
            role: self.role,
            term: self.term,
            leader: self.leader,
            commit_index: self.log.commit_index(),
            last_log_index: self.log.last_index(),
        }
    }

    /// Returns the membership as of the last entry, committed or not.
    pub fn members(&self) -> &Members {
        self.log.members()
    }

    /// Returns the membership as of entry `index`, which has to be applied, or as of the snapshot
    /// if the snapshot covers that entry.
    pub fn members_at(&self, index: u64) -> &Members {
        self.log.members_at(index)
    }

    /// Returns the number of entries after the last snapshot.
    pub fn log_len(&self) -> usize {
        self.log.len()
    }

    /// Replaces the log up to `index`, or up to the last applied entry if that is lower, with a
    /// snapshot of the host's state as of entry `index` (Raft paper, section 7).
    ///
    /// Returns the snapshot, which the host has to write before it deletes the entries, or `None`
    /// if the last snapshot already covers them.
    pub fn compact(&mut self, index: u64, data: Vec<u8>) -> Option<Snapshot> {
        self.log.compact(index, data)?;
        self.trim_retained_entries();
        Some(self.log.snapshot().clone())
    }

    /// Advances the clock to `now`, in milliseconds of a monotonic clock, and runs the timers that
    /// are due. The host calls this often, and no later than at [`RaftNode::next_tick_at`].
    pub fn tick(&mut self, now: u64) {
        self.advance_clock(now);
        if self.role == Role::Leader {
            self.tick_leader();
        } else if now >= self.election_timer.election_deadline() {
            self.campaign(CampaignType::PreElection);
        } else {
            self.retry_overdue_read();
        }
    }

    fn tick_leader(&mut self) {
        if !self.has_quorum_responses() {
            // Check-quorum (Raft thesis, section 6.2): a leader without contact with a majority
            // can't commit proposals or confirm reads, and would only keep its clients waiting.
            self.become_follower(self.term, None);
        } else if self.now >= self.broadcasts.heartbeat_deadline() {
            self.broadcast_heartbeat();
            self.confirm_broadcasts();
        }
        self.maybe_change_members();
        self.maybe_transfer_leadership();
    }

    /// Advances the clock to `now` without running timers.
    ///
    /// A host that may have been suspended since the last tick calls this before it passes in
    /// anything else, so that messages that arrived in between do not count as received at the time
    /// of the last tick.
    pub fn advance_clock(&mut self, now: u64) {
        self.now = self.now.max(now);
    }

    /// Returns the time at which [`RaftNode::tick`] next has work to do.
    pub fn next_tick_at(&self) -> u64 {
        if self.role == Role::Leader {
            self.broadcasts.heartbeat_deadline()
        } else {
            self.election_timer.election_deadline()
        }
    }

    /// Handles a message from another member.
    pub fn step(&mut self, message: Message) {
        if message.to != self.id || !self.check_term(&message) {
            return;
        }
        let Message { from, term, .. } = message;
        match message.body {
            MessageBody::RequestVote(request) => self.handle_request_vote(from, term, &request),
            MessageBody::VoteResponse(response) => self.handle_vote_response(from, term, &response),
            MessageBody::AppendEntries(request) => self.handle_append_entries(from, request),
            MessageBody::AppendResponse(response) => self.handle_append_response(from, &response),
            MessageBody::AppendConflict(response) => self.handle_append_conflict(from, &response),
            MessageBody::Chunk(chunk) => self.handle_chunk(from, chunk),
            MessageBody::ChunkResponse(response) => self.handle_chunk_response(from, &response),
            MessageBody::TimeoutNow => self.handle_timeout_now(from),
            MessageBody::ReadIndex(request) => self.handle_read_index(from, &request),
            MessageBody::ReadIndexResponse(response) => self.handle_read_index_response(&response),
            MessageBody::QuorumContact(request) => self.handle_quorum_contact(from, &request),
            MessageBody::QuorumContactResponse(response) => {
                self.handle_quorum_contact_response(&response);
            }
        }
    }

    /// Adopts a newer term and rejects messages of an older one (Raft paper, section 5.1). Returns
    /// whether the message is to be handled.
    fn check_term(&mut self, message: &Message) -> bool {
        let leader = match &message.body {
            // Vote requests update the term in their handler. Reads and quorum contact are matched
            // by token, regardless of the term.
            MessageBody::RequestVote(_)
            | MessageBody::ReadIndex(_)
            | MessageBody::ReadIndexResponse(_)
            | MessageBody::QuorumContact(_)
            | MessageBody::QuorumContactResponse(_) => return true,
            // A granted pre-vote carries the term of the intended campaign, which no member has
            // adopted yet.
            MessageBody::VoteResponse(response) if response.pre_vote && response.granted => {
                return message.term >= self.term;
            }
            MessageBody::AppendEntries(_) | MessageBody::Chunk(_) => Some(message.from),
            MessageBody::VoteResponse(_)
            | MessageBody::AppendResponse(_)
            | MessageBody::AppendConflict(_)
            | MessageBody::ChunkResponse(_)
            | MessageBody::TimeoutNow => None,
        };
        if message.term > self.term {
            self.become_follower(message.term, leader);
        } else if message.term < self.term {
            self.reject_stale_leader(message);
            return false;
        }
        true
    }

    /// Enqueues a request to write and sync `entries`, or `snapshot` in place of the log, with the
    /// current term and vote. Returns the number of the request.
    fn persist(&mut self, entries: Vec<Entry>, snapshot: Option<Snapshot>) -> PersistSequence {
        let sequence = self.persistence.enqueue(&entries, snapshot.as_ref());
        self.ready.persist_requests.push(PersistRequest {
            sequence: sequence.0,
            term: self.term,
            voted_for: self.voted_for,
            entries,
            snapshot,
        });
        sequence
    }

    /// Records that all [`PersistRequest`]s up to `sequence` are synced, and releases the messages
    /// that waited for them.
    pub fn on_persisted(&mut self, sequence: u64) {
        let sequence = PersistSequence(sequence);
        self.persistence.complete(sequence);
        while let Some(message) = self.persistence.pop_released(sequence) {
            // Votes and acknowledgements of an older term are obsolete.
            if message.term >= self.term {
                self.ready.messages.push(message);
            }
        }
        self.maybe_commit();
    }

    /// Builds a message of the current term.
    fn message(&self, to: NodeId, body: MessageBody) -> Message {
        Message {
            from: self.id,
            to,
            term: self.term,
            body,
        }
    }

    /// Sends a message of the current term.
    fn send(&mut self, to: NodeId, body: MessageBody) {
        let message = self.message(to, body);
        self.ready.messages.push(message);
    }

    /// Sends a message once `request` is synced, or immediately if it is `None`.
    fn send_once_persisted(&mut self, request: Option<PersistSequence>, message: Message) {
        match request {
            Some(sequence) => self.persistence.defer(sequence, message),
            None => self.ready.messages.push(message),
        }
    }

    /// Returns the ids of the other members, voters first.
    fn other_members(&self) -> Vec<NodeId> {
        let ids = self.members().all().map(|(id, _)| id);
        ids.filter(|id| *id != self.id).collect()
    }

    /// Returns the ids of the other voters.
    fn other_voters(&self) -> impl Iterator<Item = NodeId> {
        let ids = self.members().voters.keys().copied();
        ids.filter(|id| *id != self.id)
    }

    /// Returns whether this member is a voter.
    fn is_voter(&self) -> bool {
        self.members().voters.contains_key(&self.id)
    }
}
