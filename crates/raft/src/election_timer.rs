//! When a member campaigns.
//!
//! **Owns** the time of the next campaign, the time of the last contact with a leader, and the
//! random numbers of this member. Times are those of the clock that
//! [`RaftNode::tick`](crate::RaftNode::tick) is given, in milliseconds.

use oorandom::Rand64;

use crate::Timing;

/// The turns of members in an election are this part of a heartbeat apart.
const TURNS_PER_HEARTBEAT: u64 = 4;

/// The election timer of one member.
#[derive(Debug)]
pub(crate) struct ElectionTimer {
    timing: Timing,
    rng: Rand64,
    election_deadline: u64,
    last_leader_contact: u64,
}

impl ElectionTimer {
    /// A member that has just started asks for pre-votes within a heartbeat: that unseats no
    /// leader.
    pub(crate) fn new(timing: Timing, seed: u64) -> Self {
        let mut rng = Rand64::new(u128::from(seed));
        let election_deadline = rng.rand_range(0..timing.heartbeat_interval_ms.max(1));
        Self {
            timing,
            rng,
            election_deadline,
            last_leader_contact: 0,
        }
    }

    /// When to campaign, unless the timer is reset before.
    pub(crate) fn election_deadline(&self) -> u64 {
        self.election_deadline
    }

    /// Waits for an election timeout and more. Members that heard the same leader campaign in
    /// `turn`, from 0: the first is elected before the second would campaign, and no votes are
    /// split. Without a leader (`None`) the time is random (Raft paper, section 5.2).
    pub(crate) fn reset(&mut self, now: u64, turn: Option<u64>) {
        let election_timeout = self.timing.election_timeout_ms.max(1);
        // Longer than a round trip, so that the member whose turn is next has received the vote
        // request by then.
        let turn_interval = (self.timing.heartbeat_interval_ms / TURNS_PER_HEARTBEAT).max(1);
        let delay = match turn {
            Some(turn) => (turn + 1) * turn_interval + self.rng.rand_range(0..turn_interval) / 2,
            None => self.rng.rand_range(0..election_timeout),
        };
        self.election_deadline = now + election_timeout + delay;
    }

    /// Retries a pre-vote after half a heartbeat to a whole one. A pre-vote unseats nobody: members
    /// that hear a leader do not answer it. So a member that has just started, or was not heard,
    /// asks sooner than it would give up a leader, and a cluster that starts as a whole has a
    /// leader as soon as its members reach each other.
    pub(crate) fn schedule_pre_vote(&mut self, now: u64) {
        let half_heartbeat = (self.timing.heartbeat_interval_ms / 2).max(1);
        self.election_deadline = now + half_heartbeat + self.rng.rand_range(0..half_heartbeat);
    }

    /// A message from the leader of the term has come.
    pub(crate) fn on_leader_contact(&mut self, now: u64) {
        self.last_leader_contact = now;
    }

    /// Whether a leader was heard within the minimum election timeout, so that nobody may unseat it
    /// (Raft thesis, section 4.2.3).
    pub(crate) fn has_recent_leader_contact(&self, now: u64) -> bool {
        now < self.last_leader_contact + self.timing.election_timeout_ms
    }
}
