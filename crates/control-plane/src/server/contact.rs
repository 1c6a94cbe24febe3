//! Quorum contact, linearizable reads, and leadership.
//!
//! A control process is **in quorum contact** if, at some point within the last 2 s, it had applied everything that had
//! been acknowledged anywhere by then. The leader proves this by a round of Raft heartbeats that a majority has
//! answered, a follower by the leader's answer to a request (Raft thesis, 6.4). Both count from the time of sending, on
//! a clock that includes time during which the process was suspended. A check right after a long suspension therefore
//! finds the process out of contact.
//!
//! Without a majority no process is in contact: reads fail, and balancers are told so. A process without a disk is not
//! a member of the log and is never in contact; it only learns which process leads.

use std::net::SocketAddr;
use std::time::Duration;

use protocol::wire::PeerMessage;
use raft::Role;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout};

use super::state::{PeerReadToken, Reader};
use super::{ControlServer, ELECTION_TIMEOUT_MS, Indeterminate};

/// How long the replicated state is served after the last time at which it is known to have been up to date. It allows
/// for two contact requests that are lost or slow on a narrow link, and is far below the time within which a new
/// configuration has to take effect.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(2000);
/// How long to wait for a majority to confirm the leader to which a caller is redirected: a few round trips across
/// regions.
const LEADER_CONFIRM_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a command that finds no leader waits for one. An election takes less time than a rejected caller takes to
/// retry. Kept below the second after which a caller tries another process.
const LEADER_WAIT: Duration = Duration::from_millis(930);
/// The interval at which waiting tasks poll for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The confirmed leadership of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfirmedLeadership {
    /// The term in which it leads.
    pub term: u64,
    /// Latest uptime in ms at which this process is known to have led, because a majority has answered what it sent
    /// then.
    pub at_ms: u64,
}

impl ControlServer {
    /// Returns the time since the latest point at which everything acknowledged by then is known to be applied here, or
    /// `None` if there is no such point.
    pub fn quorum_contact_age(&self) -> Option<Duration> {
        let state = self.state.borrow();
        let proven_by_log = state.log.node().quorum_contact_at();
        let at_ms = proven_by_log.max(state.contact.proven_at_ms())?;
        Some(Duration::from_millis(
            self.uptime_ms().saturating_sub(at_ms),
        ))
    }

    /// Whether the replicated state may be served now.
    pub fn has_quorum_contact(&self) -> bool {
        self.quorum_contact_age()
            .is_some_and(|age| age < CONTACT_TIMEOUT)
    }

    /// Sends the leader a contact request if one is due, and notifies watchers when contact is lost or regained.
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

    /// Waits until everything acknowledged before this call is applied here. Returns whether that happened within
    /// `within`. Always false without a disk: such a process has none of the replicated state. A process without a disk
    /// once took the confirmation that a leader exists for quorum contact, and reported that contact to balancers.
    pub async fn wait_until_current(&self, within: Duration) -> bool {
        if !self.control_node.has_disk {
            return false;
        }
        let (began_ms, deadline) = (self.uptime_ms(), Instant::now() + within);
        loop {
            // A leader that was just lost does not answer: after an election timeout, ask the next leader.
            let election_timeout = Duration::from_millis(ELECTION_TIMEOUT_MS);
            let attempt_timeout = election_timeout.min(deadline - Instant::now());
            if let Some(index) = self.read_index(attempt_timeout).await {
                let is_applied = self.wait_until_applied(index, deadline).await;
                if is_applied {
                    self.state.borrow_mut().contact.record_proof(began_ms);
                }
                return is_applied;
            }
            if Instant::now() + POLL_INTERVAL >= deadline {
                return false;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the entry at this index is applied. Returns whether that happened before the deadline.
    async fn wait_until_applied(&self, index: u64, deadline: Instant) -> bool {
        let mut changes = self.watch_changes();
        while self.state.borrow().log.applied_index() < index {
            let change = timeout(POLL_INTERVAL, changes.changed()).await;
            if change.is_err() && Instant::now() >= deadline {
                return false;
            }
        }
        true
    }

    /// Returns an index that covers everything acknowledged before this call. A process that is not a member of the log
    /// gets no meaningful index, only the confirmation that a majority follows a leader.
    async fn read_index(&self, within: Duration) -> Option<u64> {
        let (sender, receiver) = oneshot::channel();
        let token = self
            .state
            .borrow_mut()
            .reads
            .register(Reader::Local(sender));
        if self.control_node.has_disk || self.is_leader() {
            self.with_raft_node(|node| node.request_read(token.get()));
        } else if let Some(leader) = self.leader_address() {
            let token = token.get();
            let question = PeerMessage::ConfirmLeadership { token };
            self.state.borrow().peers.send(leader, question);
        }
        let index = timeout(within, receiver).await;
        self.state.borrow_mut().reads.remove(token);
        index.ok()?.ok()?
    }

    /// Handles a peer's question whether a majority confirms that this process leads.
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

    /// Waits until this process leads and has applied everything that was acknowledged: a leader that was partitioned
    /// off must not reject a command on the basis of outdated state.
    pub(super) async fn wait_until_current_leader(
        &self,
        deadline: Instant,
    ) -> Result<(), Indeterminate> {
        self.wait_for_leadership(deadline.min(Instant::now() + LEADER_WAIT))
            .await?;
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() || !self.wait_until_current(remaining).await {
            return Err(Indeterminate::NoMajority);
        }
        Ok(())
    }

    /// Waits until this process leads, or until a majority confirms that another one does: callers must not be
    /// redirected to a leader that has failed or is partitioned off.
    async fn wait_for_leadership(&self, deadline: Instant) -> Result<(), Indeterminate> {
        while !self.is_leader() {
            let leader = self.leader_address();
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(Indeterminate::NotLeader(None));
            }
            let attempt_timeout = LEADER_CONFIRM_TIMEOUT.min(remaining);
            let is_confirmed = leader.is_some() && self.read_index(attempt_timeout).await.is_some();
            if is_confirmed && self.leader_address() == leader {
                return Err(Indeterminate::NotLeader(leader));
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns where to redirect a caller whose request only the leader, or only a member of the log, can answer.
    pub async fn redirect_target(&self) -> Indeterminate {
        let result = self.wait_for_leadership(Instant::now() + LEADER_WAIT).await;
        result.err().unwrap_or(Indeterminate::NoMajority)
    }

    /// Whether this process considers itself the leader. Only asking a majority shows whether it still is.
    pub fn is_leader(&self) -> bool {
        self.state.borrow().log.node().status().role == Role::Leader
    }

    /// Returns the term and the time of the latest majority confirmation while this process leads, else `None`.
    pub fn confirmed_leadership(&self) -> Option<ConfirmedLeadership> {
        let state = self.state.borrow();
        let node = state.log.node();
        Some(ConfirmedLeadership {
            term: node.status().term,
            at_ms: node.leadership_confirmed_at()?,
        })
    }

    /// Returns the leader's address for peers, if known: from the log or, without a disk, from the peers' heartbeats.
    /// The leader may have lost leadership since.
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
