//! This process's membership in the log: it asks to join, reports the state of the members, and hands over leadership
//! before the process ends.
//!
//! A member that was removed while it was unreachable learns of this only from the leader that adds it again. A process
//! therefore asks to join whenever it is not a voter or knows no leader.

use std::time::Duration;

use protocol::settings::Settings;
use protocol::wire::PeerMessage;
use raft::{Members, MembershipPolicy, MembershipReport};
use tokio::time::{Instant, sleep};

use super::{ControlServer, TIMING};

/// The interval at which [`ControlServer::shut_down`] checks whether another process leads: a fraction of a round trip
/// between regions.
const HAND_OVER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A voter that is silent for this long is removed if that makes the required majority smaller or a learner is ready to
/// replace it. Unlike the default of [`MembershipPolicy::new`], this does not scale with the election timeout. A process
/// that is killed restarts within this time.
const VOTER_REMOVAL_TIMEOUT_MS: u64 = 1600;
/// A voter that is silent for this long is removed in any case. A machine that loses power restarts within this time.
const UNCONDITIONAL_REMOVAL_TIMEOUT_MS: u64 = 24_000;
/// A learner that is silent for this long is removed.
const LEARNER_REMOVAL_TIMEOUT_MS: u64 = 8000;

/// What this process knows of the log and its members.
pub struct LogStatus {
    /// The status of this process's Raft node.
    pub own: raft::Status,
    /// The members as of the last entry of its log.
    pub members: Members,
    /// The state of each member. Only the leader has it.
    pub report: Option<MembershipReport>,
}

/// Returns the policy for removing members: the timeouts above, and the number of node losses to tolerate according to
/// the settings.
pub(super) fn policy(settings: &Settings) -> MembershipPolicy {
    MembershipPolicy {
        voter_removal_timeout_ms: VOTER_REMOVAL_TIMEOUT_MS,
        unconditional_removal_timeout_ms: UNCONDITIONAL_REMOVAL_TIMEOUT_MS,
        learner_removal_timeout_ms: LEARNER_REMOVAL_TIMEOUT_MS,
        ..MembershipPolicy::new(TIMING, settings.tolerate.nodes)
    }
}

impl ControlServer {
    /// Returns what this process knows of the log, for status and metrics.
    pub fn log_status(&self) -> LogStatus {
        let state = self.state.borrow();
        let node = state.log.node();
        LogStatus {
            own: node.status(),
            members: node.members().clone(),
            report: node.membership_report(),
        }
    }

    /// Asks to join the log while this process is not a voter or knows no leader.
    pub(super) fn request_membership(&self) {
        if !self.control_node.has_disk {
            return;
        }
        let wants_to_join = self.with_raft_node(|node| {
            let wants_to_join = node.wants_to_join();
            if wants_to_join {
                let address = self.control_node.internal_addr.to_string();
                node.handle_join_request(self.id, address);
            }
            wants_to_join
        });
        if wants_to_join {
            self.state.borrow().peers.broadcast(&PeerMessage::Join {
                node_id: self.id,
                internal_addr: self.control_node.internal_addr,
            });
        }
    }

    /// Hands over leadership because the process is about to end. Returns once another process leads, or after
    /// `within`.
    pub async fn shut_down(&self, within: Duration) {
        let deadline = Instant::now() + within;
        let is_only_voter = self.with_raft_node(|node| {
            node.begin_shutdown();
            !node.members().voters.keys().any(|id| *id != self.id)
        });
        let has_handed_over = || is_only_voter || self.state.borrow().log.node().has_other_leader();
        while !has_handed_over() && Instant::now() < deadline {
            sleep(HAND_OVER_POLL_INTERVAL).await;
        }
    }
}
