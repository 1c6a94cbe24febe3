//! The timer that decides when a member campaigns.
//!
//! Times are in milliseconds of the clock passed to [`RaftNode::tick`](crate::RaftNode::tick).

use oorandom::Rand64;

use crate::Timing;

/// The number of campaign slots per heartbeat interval.
const CAMPAIGN_SLOTS_PER_HEARTBEAT: u64 = 4;

/// The election timer of one member: its next campaign, its last contact with a leader, and the
/// random number generator for its timeouts.
#[derive(Debug)]
pub(crate) struct ElectionTimer {
    timing: Timing,
    rng: Rand64,
    election_deadline: u64,
    last_leader_contact: u64,
}

impl ElectionTimer {
    /// Creates the timer of a member that has just started. The first pre-vote is due within a
    /// heartbeat interval; it can't depose a leader.
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

    /// Returns when the member campaigns unless the timer is reset first.
    pub(crate) fn election_deadline(&self) -> u64 {
        self.election_deadline
    }

    /// Restarts the timer with at least one election timeout.
    ///
    /// Members that followed the same leader campaign in different slots, numbered from 0, so that
    /// the first is elected before the second campaigns and votes are not split. Without a leader
    /// (`None`) the delay is random (Raft paper, section 5.2).
    pub(crate) fn reset(&mut self, now: u64, slot: Option<u64>) {
        let election_timeout = self.timing.election_timeout_ms.max(1);
        // A slot is longer than a round trip, so that the member in the next slot has received the
        // vote request by then.
        let slot_interval =
            (self.timing.heartbeat_interval_ms / CAMPAIGN_SLOTS_PER_HEARTBEAT).max(1);
        let delay = match slot {
            Some(slot) => (slot + 1) * slot_interval + self.rng.rand_range(0..slot_interval) / 2,
            None => self.rng.rand_range(0..election_timeout),
        };
        self.election_deadline = now + election_timeout + delay;
    }

    /// Schedules the next pre-vote after a random delay between half a heartbeat interval and a
    /// whole one.
    ///
    /// The delay may be shorter than an election timeout because a pre-vote can't depose a leader:
    /// members in contact with a leader ignore it. A member that has just started, or whose
    /// pre-vote got no response, therefore retries soon, and a new cluster elects a leader as soon
    /// as its members can reach each other.
    pub(crate) fn schedule_pre_vote(&mut self, now: u64) {
        let half_heartbeat = (self.timing.heartbeat_interval_ms / 2).max(1);
        self.election_deadline = now + half_heartbeat + self.rng.rand_range(0..half_heartbeat);
    }

    /// Records a message from the leader of the current term.
    pub(crate) fn on_leader_contact(&mut self, now: u64) {
        self.last_leader_contact = now;
    }

    /// Returns whether the leader was heard from within the minimum election timeout, so that it
    /// must not be deposed (Raft thesis, section 4.2.3).
    pub(crate) fn has_recent_leader_contact(&self, now: u64) -> bool {
        now < self.last_leader_contact + self.timing.election_timeout_ms
    }
}
