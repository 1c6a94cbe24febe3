//! This member's place in the log: it asks for one, tells how the members stand, and gives leadership up before
//! its process ends.

use std::time::Duration;

use protocol::settings::Settings;
use protocol::wire::PeerMessage;
use raft::{Members, MembershipPolicy, MembershipReport};
use tokio::time::{Instant, sleep};

use super::{ControlServer, TIMING};

/// How often it is looked whether another one leads: a fraction of a round trip between regions.
const LOOK: Duration = Duration::from_millis(10);

/// What is known here of the log and its members.
pub struct LogStatus {
    /// What the member knows of itself.
    pub own: raft::Status,
    /// The members as of its last entry.
    pub members: Members,
    /// How they stand; only the leader knows.
    pub report: Option<MembershipReport>,
}

/// Members are given up after these times, in milliseconds, however soon a lost leader is replaced: a process that
/// is killed starts again within the first, a machine without power within the second.
const ABSENCE: u64 = 1600;
const LONG_ABSENCE: u64 = 24_000;
const LEARNER_ABSENCE: u64 = 8000;

/// When members are given up, for the losses that are to be borne here.
pub(super) fn policy(settings: &Settings) -> MembershipPolicy {
    MembershipPolicy {
        voter_removal_timeout_ms: ABSENCE,
        unconditional_removal_timeout_ms: LONG_ABSENCE,
        learner_removal_timeout_ms: LEARNER_ABSENCE,
        ..MembershipPolicy::new(TIMING, settings.tolerate.nodes)
    }
}

impl ControlServer {
    /// What the log's member knows, for who asks how things stand.
    pub fn log_status(&self) -> LogStatus {
        let core = &self.inner.borrow().core;
        LogStatus {
            own: core.status(),
            members: core.members().clone(),
            report: core.membership_report(),
        }
    }

    /// Asks to take part in the log, while it votes for nobody or hears no leader: it may have been removed
    /// while it was away, and learns of that only from the leader that takes it in again.
    pub(super) fn join(&self) {
        if !self.control_node.has_disk {
            return;
        }
        let wants = self.with_core(|core| {
            let wants = core.wants_to_join();
            if wants {
                core.handle_join_request(self.id, self.control_node.internal_addr.to_string());
            }
            wants
        });
        if wants {
            self.tell_all(&PeerMessage::Join {
                node_id: self.id,
                internal_addr: self.control_node.internal_addr,
            });
        }
    }

    /// The process is about to end: it leads no more once another one does, or `within` has passed.
    pub async fn shut_down(&self, within: Duration) {
        let until = Instant::now() + within;
        let alone = self.with_core(|core| {
            core.begin_shutdown();
            !core.members().voters.keys().any(|id| *id != self.id)
        });
        let led = || alone || self.inner.borrow().core.has_other_leader();
        while !led() && Instant::now() < until {
            sleep(LOOK).await;
        }
    }
}
