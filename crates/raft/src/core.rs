//! The state machine of one member.

mod leadership;
mod membership;
mod reads;

pub use membership::{MemberReport, MembershipReport};

use membership::Applicant;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use oorandom::Rand64;

use self::reads::{Contact, Pending, Requests};
use crate::*;

mod log;
mod pieces;
mod progress;
mod replication;
mod retained;

use log::Saving;
use pieces::Incoming;
use progress::Progress;
use retained::Retained;

/// Voters whose loss is to be borne, where the host says nothing else.
const TOLERATED: usize = 1;
/// Turns in an election are this part of a heartbeat apart.
const STAGGERS: u64 = 4;

/// What a member is at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows.
    Follower,
    /// Asks for votes (`pre`: whether it would get them).
    Candidate {
        /// Only whether.
        pre_vote: bool,
    },
    /// Leads.
    Leader,
}

/// Why a member asks for votes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Election {
    /// To learn whether it would get them.
    Pre,
    /// It would get them.
    Real,
    /// The leader has told it to take over.
    Transfer,
}

/// What a member knows, for those who ask.
#[derive(Clone, Debug)]
pub struct Status {
    /// Its id.
    pub id: NodeId,
    /// What it is.
    pub role: Role,
    /// Its term.
    pub term: u64,
    /// Who leads, if it knows.
    pub leader: Option<NodeId>,
    /// The last committed entry.
    pub commit_index: u64,
    /// The last entry.
    pub last_log_index: u64,
}

/// One member of the log.
#[derive(Debug)]
pub struct RaftNode {
    id: NodeId,
    timing: Timing,
    rng: Rand64,
    now: u64,
    term: u64,
    vote: Option<NodeId>,
    role: Role,
    leader: Option<NodeId>,
    /// The log after the snapshot, the snapshot's last entry, and the members as of it.
    log: VecDeque<Entry>,
    base: Snapshot,
    /// Entries that the snapshot covers and a member may still need.
    retained: Retained,
    /// The last entry of the log that names the members.
    members_entry: Option<u64>,
    /// A transfer from the leader that is not whole yet.
    incoming: Option<Incoming>,
    commit: u64,
    applied: u64,
    /// When a leader was last heard, and when to campaign.
    heard: u64,
    campaign: u64,
    votes: BTreeSet<NodeId>,
    progress: BTreeMap<NodeId, Progress>,
    round: u64,
    /// Rounds that a majority has not answered yet, and when each began; the last that it has.
    rounds: VecDeque<(u64, u64)>,
    confirmed: Option<u64>,
    beat: u64,
    /// A leader's own first entry.
    first_of_term: u64,
    reads: Vec<Pending>,
    requests: Requests,
    contact: Contact,
    /// Saves that are not synced yet, the bytes of their entries, and messages that wait for them.
    seq: u64,
    saving: VecDeque<Saving>,
    unsynced: usize,
    synced: u64,
    held: VecDeque<(u64, Message)>,
    joining: BTreeMap<NodeId, Applicant>,
    policy: MembershipPolicy,
    /// It is about to end, and must not lead.
    leaving: bool,
    out: Ready,
}

impl RaftNode {
    /// A member as its disk has it. `founders` are the first members, the same at each of them; they count
    /// only where the disk holds nothing.
    pub fn new(
        id: NodeId,
        timing: Timing,
        seed: u64,
        stored: PersistentState,
        founders: Members,
    ) -> Self {
        let base = stored.snapshot.unwrap_or(Snapshot::initial(founders));
        let restored = (base.index > 0).then(|| base.clone());
        let log: VecDeque<Entry> = stored
            .entries
            .into_iter()
            .filter(|e| e.index > base.index)
            .collect();
        let synced = base.index + log.len() as u64;
        let members_entry = log
            .iter()
            .rev()
            .find(|e| matches!(e.payload, Payload::Members(_)));
        let members_entry = members_entry.map(|e| e.index);
        let mut core = Self {
            id,
            timing,
            rng: Rand64::new(u128::from(seed)),
            now: 0,
            term: stored.term,
            vote: stored.voted_for,
            role: Role::Follower,
            leader: None,
            commit: base.index,
            applied: base.index,
            log,
            base,
            retained: Retained::default(),
            members_entry,
            incoming: None,
            heard: 0,
            campaign: 0,
            votes: BTreeSet::new(),
            progress: BTreeMap::new(),
            round: 0,
            rounds: VecDeque::new(),
            confirmed: None,
            beat: 0,
            first_of_term: 0,
            reads: Vec::new(),
            requests: Requests::default(),
            contact: Contact::default(),
            seq: 0,
            saving: VecDeque::new(),
            unsynced: 0,
            synced,
            held: VecDeque::new(),
            joining: BTreeMap::new(),
            policy: MembershipPolicy::new(timing, TOLERATED),
            leaving: false,
            out: Ready {
                restored_snapshot: restored,
                ..Ready::default()
            },
        };
        core.campaign = core
            .rng
            .rand_range(0..core.timing.heartbeat_interval_ms.max(1));
        core
    }

    /// What is to be done since the last call.
    pub fn take_ready(&mut self) -> Ready {
        std::mem::take(&mut self.out)
    }

    /// What it knows.
    pub fn status(&self) -> Status {
        Status {
            id: self.id,
            role: self.role,
            term: self.term,
            leader: self.leader,
            commit_index: self.commit,
            last_log_index: self.last(),
        }
    }

    /// The members as of the last entry, committed or not.
    pub fn members(&self) -> &Members {
        match self.members_entry.and_then(|index| self.entry(index)) {
            Some(Entry {
                payload: Payload::Members(members),
                ..
            }) => members,
            _ => &self.base.members,
        }
    }

    /// The members as of an applied entry.
    pub fn members_at(&self, index: u64) -> &Members {
        if self.members_entry.is_none_or(|entry| entry <= index) {
            return self.members();
        }
        let in_log = self
            .log
            .iter()
            .rev()
            .filter(|e| e.index <= index)
            .find_map(|e| match &e.payload {
                Payload::Members(m) => Some(m),
                _ => None,
            });
        in_log.unwrap_or(&self.base.members)
    }

    // ------------------------------------------------------------------ time

    /// Time has come to `now`, in milliseconds of a clock that never goes back.
    pub fn tick(&mut self, now: u64) {
        self.advance_clock(now);
        if self.role == Role::Leader {
            // Check-quorum: a leader that a majority no longer answers must not go on believing that it leads.
            let since = now.saturating_sub(self.timing.election_timeout_ms);
            let heard =
                |id| id == self.id || self.progress.get(&id).is_some_and(|p| p.heard >= since);
            if !self.members().is_majority(heard) {
                self.follow(self.term, None);
            } else if now >= self.beat {
                self.broadcast(true);
                self.confirm_reads();
            }
            self.change_members();
            self.hand_over();
        } else if now >= self.campaign {
            self.start_election(Election::Pre);
        } else {
            self.request_overdue_reads();
        }
    }

    /// What happens next happens at `now`. A host that may have stood still since the last tick says so before
    /// anything else: what arrived meanwhile was not heard then.
    pub fn advance_clock(&mut self, now: u64) {
        self.now = self.now.max(now);
    }

    /// When [`RaftNode::tick`] has something to do next.
    pub fn next_tick_at(&self) -> u64 {
        if self.role == Role::Leader {
            self.beat
        } else {
            self.campaign
        }
    }

    /// When to campaign if nothing is heard any more. Those who heard the same leader take turns, in the order of
    /// their ids after its own: the first is elected before the second would ask, and no votes are split. Without
    /// a leader it is anybody's guess.
    fn put_off(&mut self) {
        let (election, stagger) = (self.timing.election_timeout_ms.max(1), self.stagger());
        let spread = match self.leader {
            Some(leader) => {
                (self.turn_after(leader) + 1) * stagger + self.rng.rand_range(0..stagger) / 2
            }
            None => self.rng.rand_range(0..election),
        };
        self.campaign = self.now + election + spread;
    }

    /// Between two turns: longer than a round trip, so that whose turn is next has heard of the vote.
    fn stagger(&self) -> u64 {
        (self.timing.heartbeat_interval_ms / STAGGERS).max(1)
    }

    /// How many voters come first when this leader is lost.
    fn turn_after(&self, leader: NodeId) -> u64 {
        let others = || self.members().voters.keys().filter(|id| **id != leader);
        let before = |id: NodeId| others().filter(|other| **other < id).count();
        let count = others().count().max(1);
        ((before(self.id) + count - before(leader) % count) % count) as u64
    }

    /// When to ask next whether votes would be given. Asking unseats nobody: who hears a leader does not
    /// answer. So a member that has just started, or was not heard, asks sooner than it would give a leader
    /// up, and a core that starts as a whole has a leader as soon as its members reach each other.
    fn ask_again(&mut self) {
        let half = (self.timing.heartbeat_interval_ms / 2).max(1);
        self.campaign = self.now + half + self.rng.rand_range(0..half);
    }

    // -------------------------------------------------------------- election

    fn start_election(&mut self, election: Election) {
        let pre = election == Election::Pre;
        if pre {
            self.ask_again();
        } else {
            self.put_off();
        }
        if !self.members().voters.contains_key(&self.id) || self.leaving {
            return;
        }
        self.role = Role::Candidate { pre_vote: pre };
        self.leader = None;
        self.fail_requests();
        self.votes = BTreeSet::from([self.id]);
        let term = self.term + 1;
        let mut after = None;
        if !pre {
            (self.term, self.vote) = (term, Some(self.id));
            after = Some(self.save(Vec::new(), None));
        }
        let body = MessageBody::RequestVote {
            pre_vote: pre,
            transfer: election == Election::Transfer,
            last_log_index: self.last(),
            last_log_term: self.term_at(self.last()).unwrap_or(0),
        };
        let others: Vec<NodeId> = self
            .members()
            .voters
            .keys()
            .copied()
            .filter(|v| *v != self.id)
            .collect();
        for to in others {
            let message = Message {
                from: self.id,
                to,
                term,
                body: body.clone(),
            };
            self.send_after(after, message);
        }
        // Alone, its own vote is a majority; a real one counts once it is synced.
        if self.members().is_majority(|id| id == self.id) {
            if pre {
                self.start_election(Election::Real);
            } else {
                self.lead();
            }
        }
    }

    fn lead(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.progress.clear();
        self.reads.clear();
        self.rounds.clear();
        self.confirmed = None;
        self.first_of_term = self.append(Payload::Empty);
        self.broadcast(true);
    }

    fn follow(&mut self, term: u64, leader: Option<NodeId>) {
        if term > self.term {
            (self.term, self.vote) = (term, None);
            self.save(Vec::new(), None);
        }
        if self.role == Role::Leader {
            self.leave_reads();
            self.joining.clear();
            self.retained.clear();
        }
        self.role = Role::Follower;
        if leader != self.leader || leader.is_none() {
            // Whoever was asked for a read may no longer lead.
            self.fail_requests();
        }
        self.leader = leader;
        self.put_off();
    }

    fn vote_asked(&mut self, m: &Message, pre: bool, last_index: u64, last_term: u64) {
        let mine = (self.term_at(self.last()).unwrap_or(0), self.last());
        let current = (last_term, last_index) >= mine;
        let free = if pre {
            m.term > self.term
        } else {
            m.term == self.term && self.vote.is_none_or(|v| v == m.from)
        };
        let granted = current && free;
        if granted && self.role == (Role::Candidate { pre_vote: true }) && m.from > self.id {
            // Failure: two that would both get the votes split them, again and again for up to five seconds.
            self.role = Role::Follower;
        }
        let mut after = None;
        if granted && !pre {
            self.vote = Some(m.from);
            after = Some(self.save(Vec::new(), None));
            self.put_off();
        }
        let term = if granted { m.term } else { self.term };
        let body = MessageBody::VoteResponse {
            pre_vote: pre,
            granted,
        };
        self.send_after(
            after,
            Message {
                from: self.id,
                to: m.from,
                term,
                body,
            },
        );
    }

    /// Whether a leader was heard so lately that nobody may unseat it.
    fn has_leader(&self) -> bool {
        self.role == Role::Leader
            || (self.leader.is_some() && self.now < self.heard + self.timing.election_timeout_ms)
    }

    // -------------------------------------------------------------- messages

    /// Another member said something.
    pub fn step(&mut self, m: Message) {
        if m.to != self.id {
            return;
        }
        if let MessageBody::RequestVote {
            pre_vote: pre,
            transfer,
            last_log_index: last_index,
            last_log_term: last_term,
        } = m.body
        {
            if !transfer && self.has_leader() && m.from != self.leader.unwrap_or(self.id) {
                return;
            }
            if !pre && m.term > self.term {
                self.follow(m.term, None);
            }
            return self.vote_asked(&m, pre, last_index, last_term);
        }
        if let MessageBody::ReadIndex { token } = m.body {
            return self.read_for(m.from, token);
        }
        if let MessageBody::ReadIndexResponse { token, index } = m.body {
            return self.read_answered(token, index);
        }
        if let MessageBody::QuorumContact { token } = m.body {
            return self.contact_asked(m.from, token);
        }
        if let MessageBody::QuorumContactResponse {
            token,
            age_ms: age,
            index,
        } = m.body
        {
            return self.contact_told(token, age, index);
        }
        let pre_granted = matches!(
            m.body,
            MessageBody::VoteResponse {
                pre_vote: true,
                granted: true
            }
        );
        if m.term > self.term && !pre_granted {
            let leads = matches!(
                m.body,
                MessageBody::AppendEntries { .. } | MessageBody::Chunk(_)
            );
            self.follow(m.term, leads.then_some(m.from));
        }
        if m.term < self.term {
            // A stale leader learns of the term from the answer.
            if let MessageBody::AppendEntries {
                sequence: round, ..
            }
            | MessageBody::Chunk(Chunk {
                sequence: round, ..
            }) = m.body
            {
                self.reply(m.from, false, self.last(), round);
            }
            return;
        }
        match m.body {
            MessageBody::VoteResponse {
                pre_vote: pre,
                granted,
            } => self.voted(m.from, pre, granted, m.term),
            MessageBody::AppendEntries {
                prev_log_index: prev_index,
                prev_log_term: prev_term,
                entries,
                leader_commit: commit,
                sequence: round,
            } => {
                self.heed(m.from);
                let prev = LogPosition {
                    index: prev_index,
                    term: prev_term,
                };
                self.append_received(m.from, prev, entries, commit, round);
            }
            MessageBody::Chunk(piece) => {
                self.heed(m.from);
                self.piece_received(m.from, piece);
            }
            MessageBody::AppendResponse {
                accepted: ok,
                match_index: index,
                sequence: round,
            } => self.answered(m.from, ok, index, round),
            MessageBody::TimeoutNow => self.timeout_now(m.from),
            MessageBody::AppendConflict {
                rejected_index: rejected,
                hint,
                sequence: round,
            } => {
                self.conflicted(m.from, rejected, hint, round);
            }
            MessageBody::ChunkResponse {
                transfer,
                received_bytes: received,
            } => {
                self.piece_answered(m.from, transfer, received);
            }
            // Taken above, whatever their term.
            MessageBody::RequestVote { .. }
            | MessageBody::ReadIndex { .. }
            | MessageBody::ReadIndexResponse { .. }
            | MessageBody::QuorumContact { .. }
            | MessageBody::QuorumContactResponse { .. } => {}
        }
    }

    /// Takes the sender of an append of this term for the leader that it is.
    fn heed(&mut self, leader: NodeId) {
        self.follow(self.term, Some(leader));
        self.heard = self.now;
    }

    fn voted(&mut self, from: NodeId, pre: bool, granted: bool, term: u64) {
        let wanted = if pre { self.term + 1 } else { self.term };
        if self.role != (Role::Candidate { pre_vote: pre }) || term != wanted {
            return;
        }
        if !granted {
            // Failure: with four voters two candidates got two votes each, and both sat out a time-out.
            if !pre {
                self.ask_again();
            }
            return;
        }
        self.votes.insert(from);
        if self.members().is_majority(|id| self.votes.contains(&id)) {
            if pre {
                self.start_election(Election::Real);
            } else {
                self.lead();
            }
        }
    }

    fn reply(&mut self, to: NodeId, ok: bool, index: u64, round: u64) {
        let body = MessageBody::AppendResponse {
            accepted: ok,
            match_index: index,
            sequence: round,
        };
        self.out.messages.push(Message {
            from: self.id,
            to,
            term: self.term,
            body,
        });
    }
}
