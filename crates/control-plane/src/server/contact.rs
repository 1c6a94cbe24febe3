//! Contact: whether what is agreed on here may be served, who leads, and reads that a majority confirms.
//!
//! A cell is **in contact** while, within the last [`CONTACT_TIMEOUT`], it applied all that had been acknowledged anywhere.
//! The leader proves that by a round of heartbeats that a majority has answered, a follower by what the leader answers
//! to its question; both count from the moment of sending, on a clock that runs on while the process stands still. So
//! whoever looks right after a freeze finds that it is out of contact.

use std::net::SocketAddr;
use std::time::Duration;

use protocol::wire::PeerMessage;
use raft::Role;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, timeout};

use super::{ControlServer, ELECTION_TIMEOUT_MS, Indeterminate, Inner};

/// What is agreed on is served for so long after the moment up to which it is known to be complete: two questions
/// may be lost, or take long on a narrow link. Far below the time that a new version has to come into force.
pub const CONTACT_TIMEOUT: Duration = Duration::from_millis(2000);
/// A follower asks the leader this often.
const ASK: Duration = Duration::from_millis(600);
/// One that can be pointed to confirms within this that a majority follows it: some round trips across regions.
const CONFIRM: Duration = Duration::from_millis(300);
/// What others say of the leader is old after so long: they say it every second.
const TOLD: Duration = Duration::from_millis(1500);
/// An order that finds no leader waits so long for one, within the second after which its caller moves on: an
/// election is over sooner than a caller who is turned away comes back.
const NO_LEADER: Duration = Duration::from_millis(930);
/// Between two looks at what has changed.
const LOOK: Duration = Duration::from_millis(50);

/// Who waits for a read.
pub(super) enum Reader {
    /// Somebody here.
    Here(oneshot::Sender<Option<u64>>),
    /// Another control balancer, which takes no part in the log; it knows the read by its own mark.
    Peer(SocketAddr, u64),
}

impl Inner {
    pub(super) fn read_ended(&mut self, token: u64, index: Option<u64>) {
        match self.reads.remove(&token) {
            Some(Reader::Here(answer)) => drop(answer.send(index)),
            Some(Reader::Peer(peer, token)) => {
                if let Some(peer) = self.peers.get(&peer).filter(|_| index.is_some()) {
                    let _ = peer.to.try_send(PeerMessage::LeadershipConfirmed { token });
                }
            }
            None => {}
        }
    }
}

impl ControlServer {
    /// A number that was never used before.
    fn token(&self) -> u64 {
        let token = self.next_token.get().wrapping_add(1);
        self.next_token.set(token);
        token
    }

    /// How long ago all that was acknowledged by then was applied here; `None` where that was never known.
    pub fn quorum_contact_age(&self) -> Option<Duration> {
        let inner = self.inner.borrow();
        let at = inner.core.quorum_contact_at().max(inner.proven)?;
        Some(Duration::from_millis(self.uptime_ms().saturating_sub(at)))
    }

    /// Whether what is agreed on here may be served at this moment.
    pub fn has_quorum_contact(&self) -> bool {
        self.quorum_contact_age()
            .is_some_and(|age| age < CONTACT_TIMEOUT)
    }

    /// Asks for contact when it is time to; who waits for news hears when it is lost or had again.
    pub(super) fn keep_contact(&self) {
        if self.control_node.has_disk
            && !self.is_leader()
            && self.contact_asked.get().elapsed() >= ASK
        {
            self.contact_asked.set(Instant::now());
            let token = self.token();
            self.with_core(|core| core.request_quorum_contact(token));
        }
        let contact = self.has_quorum_contact();
        let before = std::mem::replace(&mut self.inner.borrow_mut().contact, contact);
        if contact != before {
            tracing::info!(contact, "contact with a majority");
            self.notify_changed();
        }
    }

    /// Waits until all that was acknowledged before this call is applied here; whether it came to that. It never does
    /// where there is no disk. Failure: one without a disk took the confirmation that somebody leads for contact,
    /// and told balancers so, while it held nothing of what is agreed on.
    pub async fn wait_until_current(&self, within: Duration) -> bool {
        if !self.control_node.has_disk {
            return false;
        }
        let (began, until) = (self.uptime_ms(), Instant::now() + within);
        loop {
            // A leader that was just lost does not answer: ask whoever leads next.
            let patience = Duration::from_millis(ELECTION_TIMEOUT_MS).min(until - Instant::now());
            if let Some(index) = self.confirmed_index(patience).await {
                let mut changes = self.watch_changes();
                while self.inner.borrow().applied < index {
                    if timeout(LOOK, changes.changed()).await.is_err() && Instant::now() >= until {
                        return false;
                    }
                }
                let mut inner = self.inner.borrow_mut();
                inner.proven = inner.proven.max(Some(began));
                return true;
            }
            if Instant::now() + LOOK >= until {
                return false;
            }
            sleep(LOOK).await;
        }
    }

    /// The place in the log that covers all that was acknowledged before this call. One that takes no part in the
    /// log learns no place, only that there is a leader that a majority confirms.
    async fn confirmed_index(&self, within: Duration) -> Option<u64> {
        let (answer, answered) = oneshot::channel();
        let token = self.token();
        self.inner
            .borrow_mut()
            .reads
            .insert(token, Reader::Here(answer));
        if self.control_node.has_disk || self.is_leader() {
            self.with_core(|core| core.request_read(token));
        } else if let Some(leader) = self.leader_address()
            && let Some(peer) = self.inner.borrow().peers.get(&leader)
        {
            let _ = peer.to.try_send(PeerMessage::ConfirmLeadership { token });
        }
        let index = timeout(within, answered).await;
        self.inner.borrow_mut().reads.remove(&token);
        index.ok()?.ok()?
    }

    /// Another control balancer asks whether a majority confirms that this one leads.
    pub(super) fn confirm_for(&self, peer: SocketAddr, mark: u64) {
        if self.is_leader() {
            let token = self.token();
            self.inner
                .borrow_mut()
                .reads
                .insert(token, Reader::Peer(peer, mark));
            self.with_core(|core| core.request_read(token));
        }
    }

    /// Leads, and knows all that was acknowledged: a leader that was cut off must not turn an order away on
    /// what it last knew.
    pub(super) async fn confirmed(&self, until: Instant) -> Result<(), Indeterminate> {
        self.leads_soon(until.min(Instant::now() + NO_LEADER))
            .await?;
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() || !self.wait_until_current(left).await {
            return Err(Indeterminate::NoMajority);
        }
        Ok(())
    }

    /// Whether this one leads, or else who does, confirmed by a majority: nobody is pointed to one that is gone or
    /// cut off. Waits a moment for an election to end.
    async fn leads_soon(&self, until: Instant) -> Result<(), Indeterminate> {
        while !self.is_leader() {
            let (leader, left) = (
                self.leader_address(),
                until.saturating_duration_since(Instant::now()),
            );
            if left.is_zero() {
                return Err(Indeterminate::NotLeader(None));
            }
            let asked = CONFIRM.min(left);
            let confirmed = leader.is_some() && self.confirmed_index(asked).await.is_some();
            if confirmed && self.leader_address() == leader {
                return Err(Indeterminate::NotLeader(leader));
            }
            sleep(LOOK).await;
        }
        Ok(())
    }

    /// Where to send a caller whom only the leader, or a member of the log, can answer.
    pub async fn redirect_target(&self) -> Indeterminate {
        let led = self.leads_soon(Instant::now() + NO_LEADER).await;
        led.err().unwrap_or(Indeterminate::NoMajority)
    }

    pub fn is_leader(&self) -> bool {
        self.inner.borrow().core.status().role == Role::Leader
    }

    /// While this one leads: its term, and when it surely led, on the clock of its life in milliseconds.
    pub fn leadership_confirmed_at(&self) -> Option<(u64, u64)> {
        let inner = self.inner.borrow();
        Some((
            inner.core.status().term,
            inner.core.leadership_confirmed_at()?,
        ))
    }

    /// Milliseconds of this process's life.
    pub fn uptime_ms(&self) -> u64 {
        self.clock().0
    }

    /// Where the leader talks to others, as far as is known; to one that takes no part in the log, as the others
    /// say. Whether it still leads shows when it is asked.
    pub fn leader_address(&self) -> Option<SocketAddr> {
        if self.control_node.has_disk {
            let inner = self.inner.borrow();
            let leader = inner.core.status().leader?;
            let (_, at) = inner.core.members().all().find(|(id, _)| *id == leader)?;
            return at.parse().ok();
        }
        let (inner, now) = (self.inner.borrow(), Instant::now());
        let lately = |at: Option<Instant>| at.is_some_and(|at| now < at + TOLD);
        let named = inner.peers.values().filter_map(|peer| peer.leader);
        let (leader, told) = named.max_by_key(|(_, told)| *told)?;
        let heard = inner.peers.get(&leader).and_then(|peer| peer.heard);
        (lately(Some(told)) && lately(heard)).then_some(leader)
    }
}
