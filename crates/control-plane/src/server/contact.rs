//! Quorum contact, linearizable reads, and who leads.
//!
//! A control process is **in contact** while, within the last 2 s, it had applied all that had been
//! acknowledged anywhere. The leader proves that by a round of heartbeats that a majority has answered, a follower by the
//! leader's answer to its question (Raft thesis, 6.4); both count from the moment of sending, on a clock that runs on while
//! the process stands still. So whoever looks right after a freeze finds that the process is out of contact.
//!
//! Without a majority nobody is in contact: reads fail, and balancers are told so. A process without a disk is no member
//! of the log and is never in contact; it only learns who leads.

use std::net::SocketAddr;
use std::time::Duration;

use protocol::wire::PeerMessage;
use raft::Role;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout};

use super::state::{PeerReadToken, Reader};
use super::{ControlServer, ELECTION_TIMEOUT_MS, Indeterminate};

/// What is agreed on is served for so long after the moment up to which it is known to be complete: two questions
/// may be lost, or take long on a narrow link. Far below the time that a new version has to come into force.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(2000);
/// A leader to whom a caller can be redirected is confirmed by a majority within this: some round trips across regions.
const LEADER_CONFIRM_TIMEOUT: Duration = Duration::from_millis(300);
/// A command that finds no leader waits so long for one, within the second after which its caller moves on: an election
/// is over sooner than a caller who is turned away comes back.
const LEADER_WAIT: Duration = Duration::from_millis(930);
/// Between two looks at what has changed.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// While this process leads: when a majority last followed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmedLeadership {
    /// Its term.
    pub term: u64,
    /// Uptime in ms at which it surely led.
    pub at_ms: u64,
}

impl ControlServer {
    /// How long ago all that was acknowledged by then was applied here; `None` where that was never known.
    pub fn quorum_contact_age(&self) -> Option<Duration> {
        let state = self.state.borrow();
        let by_log = state.log.node().quorum_contact_at();
        let at_ms = by_log.max(state.contact.proven_at_ms())?;
        Some(Duration::from_millis(
            self.uptime_ms().saturating_sub(at_ms),
        ))
    }

    /// Whether what is agreed on may be served at this moment.
    pub fn has_quorum_contact(&self) -> bool {
        self.quorum_contact_age()
            .is_some_and(|age| age < CONTACT_TIMEOUT)
    }

    /// Asks the leader for contact when that is due, and notifies watchers when contact is lost or regained.
    pub(super) fn maintain_contact(&self) {
        if self.control_node.has_disk
            && !self.is_leader()
            && self.state.borrow().contact.is_request_due()
        {
            let token = {
                let mut state = self.state.borrow_mut();
                state.contact.record_request(Instant::now());
                state.reads.next_token()
            };
            self.with_raft_node(|node| node.request_quorum_contact(token.get()));
        }
        let in_contact = self.has_quorum_contact();
        let has_changed = self.state.borrow_mut().contact.record_status(in_contact);
        if has_changed {
            if in_contact {
                tracing::info!("quorum contact established: the replicated state is served");
            } else {
                tracing::warn!("quorum contact lost: the replicated state is not served");
            }
            self.notify_changed();
        }
    }

    /// Waits until all that was acknowledged before this call is applied here. Returns whether that was so within
    /// `within`. It never is where there is no disk. Failure seen once: a process without a disk took the confirmation
    /// that somebody leads for contact, and told balancers so, while it held nothing of what is agreed on.
    pub async fn wait_until_current(&self, within: Duration) -> bool {
        if !self.control_node.has_disk {
            return false;
        }
        let (began_ms, until) = (self.uptime_ms(), Instant::now() + within);
        loop {
            // A leader that was just lost does not answer: ask whoever leads next.
            let election_timeout = Duration::from_millis(ELECTION_TIMEOUT_MS);
            let patience = election_timeout.min(until - Instant::now());
            if let Some(index) = self.read_index(patience).await {
                let is_applied = self.wait_until_applied(index, until).await;
                if is_applied {
                    self.state.borrow_mut().contact.record_proof(began_ms);
                }
                return is_applied;
            }
            if Instant::now() + POLL_INTERVAL >= until {
                return false;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the entry at this index is applied. Returns whether that was so before `until`.
    async fn wait_until_applied(&self, index: u64, until: Instant) -> bool {
        let mut changes = self.watch_changes();
        while self.state.borrow().log.applied_index() < index {
            let change = timeout(POLL_INTERVAL, changes.changed()).await;
            if change.is_err() && Instant::now() >= until {
                return false;
            }
        }
        true
    }

    /// The index that covers all that was acknowledged before this call. A process that is no member of the log learns
    /// no index, only that there is a leader that a majority confirms.
    async fn read_index(&self, within: Duration) -> Option<u64> {
        let (answer, answered) = oneshot::channel();
        let token = self
            .state
            .borrow_mut()
            .reads
            .register(Reader::Local(answer));
        if self.control_node.has_disk || self.is_leader() {
            self.with_raft_node(|node| node.request_read(token.get()));
        } else if let Some(leader) = self.leader_address() {
            let token = token.get();
            let question = PeerMessage::ConfirmLeadership { token };
            self.state.borrow().peers.send(leader, question);
        }
        let index = timeout(within, answered).await;
        self.state.borrow_mut().reads.remove(token);
        index.ok()?.ok()?
    }

    /// A peer asks whether a majority confirms that this process leads.
    pub(super) fn handle_confirm_leadership(&self, peer: SocketAddr, token: u64) {
        if self.is_leader() {
            let reader = Reader::Peer {
                address: peer,
                token: PeerReadToken::from_raw(token),
            };
            let token = self.state.borrow_mut().reads.register(reader);
            self.with_raft_node(|node| node.request_read(token.get()));
        }
    }

    /// Waits until this process leads and knows all that was acknowledged: a leader that was cut off must not reject a
    /// command on what it last knew.
    pub(super) async fn wait_until_current_leader(
        &self,
        until: Instant,
    ) -> Result<(), Indeterminate> {
        self.wait_for_leadership(until.min(Instant::now() + LEADER_WAIT))
            .await?;
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() || !self.wait_until_current(left).await {
            return Err(Indeterminate::NoMajority);
        }
        Ok(())
    }

    /// Waits until this process leads, or another one is confirmed by a majority to lead: nobody is redirected to one
    /// that is gone or cut off.
    async fn wait_for_leadership(&self, until: Instant) -> Result<(), Indeterminate> {
        while !self.is_leader() {
            let leader = self.leader_address();
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(Indeterminate::NotLeader(None));
            }
            let patience = LEADER_CONFIRM_TIMEOUT.min(left);
            let is_confirmed = leader.is_some() && self.read_index(patience).await.is_some();
            if is_confirmed && self.leader_address() == leader {
                return Err(Indeterminate::NotLeader(leader));
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Where to redirect a caller whom only the leader, or a member of the log, can answer.
    pub async fn redirect_target(&self) -> Indeterminate {
        let leads = self.wait_for_leadership(Instant::now() + LEADER_WAIT).await;
        leads.err().unwrap_or(Indeterminate::NoMajority)
    }

    /// Whether this process takes itself for the leader. Whether it still is shows only when a majority is asked.
    pub fn is_leader(&self) -> bool {
        self.state.borrow().log.node().status().role == Role::Leader
    }

    /// While this process leads: its term, and when a majority last followed it.
    pub fn confirmed_leadership(&self) -> Option<ConfirmedLeadership> {
        let state = self.state.borrow();
        let node = state.log.node();
        Some(ConfirmedLeadership {
            term: node.status().term,
            at_ms: node.leadership_confirmed_at()?,
        })
    }

    /// The leader's address for peers, as far as is known: as the log says or, where there is no disk, as the peers say.
    /// Whether it still leads shows when it is asked.
    pub fn leader_address(&self) -> Option<SocketAddr> {
        let state = self.state.borrow();
        if self.control_node.has_disk {
            let leader = state.log.node().status().leader?;
            state.log.member_address(leader)
        } else {
            state.peers.hinted_leader()
        }
    }
}
