//! This process's membership in the log: it asks to join, tells how the members stand, and hands leadership over before
//! its process ends.
//!
//! A member that was removed while it was away learns of that only from the leader that takes it in again: so it asks
//! whenever it votes for nobody or hears no leader.

use std::time::Duration;

use protocol::settings::Settings;
use protocol::wire::PeerMessage;
use raft::{Members, MembershipPolicy, MembershipReport};
use tokio::time::{Instant, sleep};

use super::{ControlServer, TIMING};

/// How often it is looked whether another process leads: a fraction of a round trip between regions.
const HAND_OVER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A silent voter is removed after this, in ms, where that makes a majority smaller or a learner is ready to replace it,
/// however soon a lost leader is replaced: a process that is killed starts again within this time.
const VOTER_REMOVAL_TIMEOUT_MS: u64 = 1600;
/// A silent voter is removed after this, in ms, in any case: a machine without power starts again within this time.
const UNCONDITIONAL_REMOVAL_TIMEOUT_MS: u64 = 24_000;
/// A silent learner is removed after this, in ms.
const LEARNER_REMOVAL_TIMEOUT_MS: u64 = 8000;

/// What this process knows of the log and its members.
pub struct LogStatus {
    /// What its member knows of itself.
    pub own: raft::Status,
    /// The members as of its last entry.
    pub members: Members,
    /// How they stand; only the leader knows.
    pub report: Option<MembershipReport>,
}

/// When members are removed, for the number of nodes that may be lost according to the settings.
pub(super) fn policy(settings: &Settings) -> MembershipPolicy {
    MembershipPolicy {
        voter_removal_timeout_ms: VOTER_REMOVAL_TIMEOUT_MS,
        unconditional_removal_timeout_ms: UNCONDITIONAL_REMOVAL_TIMEOUT_MS,
        learner_removal_timeout_ms: LEARNER_REMOVAL_TIMEOUT_MS,
        ..MembershipPolicy::new(TIMING, settings.tolerate.nodes)
    }
}

impl ControlServer {
    /// What this process knows of the log, for whoever asks how things stand.
    pub fn log_status(&self) -> LogStatus {
        let state = self.state.borrow();
        let node = state.log.node();
        LogStatus {
            own: node.status(),
            members: node.members().clone(),
            report: node.membership_report(),
        }
    }

    /// Asks to become a member of the log, while it votes for nobody or hears no leader.
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

    /// The process is about to end: hands leadership over. Returns once another process leads, or `within` has passed.
    pub async fn shut_down(&self, within: Duration) {
        let until = Instant::now() + within;
        let is_only_voter = self.with_raft_node(|node| {
            node.begin_shutdown();
            !node.members().voters.keys().any(|id| *id != self.id)
        });
        let has_handed_over = || is_only_voter || self.state.borrow().log.node().has_other_leader();
        while !has_handed_over() && Instant::now() < until {
            sleep(HAND_OVER_POLL_INTERVAL).await;
        }
    }
}
