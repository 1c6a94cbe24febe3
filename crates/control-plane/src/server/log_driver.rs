//! Drives the Raft node: passes it the time, the disk's completions and the peers' messages, and carries out the work
//! that it requests ([`Ready`]), in the order that Raft's guarantees require.

use std::rc::Rc;
use std::time::Duration;

use protocol::wire::PeerMessage;
use raft::{RaftNode, ReadState, Ready};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use super::state::{ReadToken, State};
use super::{ControlServer, FatalError, JOIN_RETRY_INTERVAL, SESSION_SYNC_INTERVAL, TICK_INTERVAL};
use crate::configuration::ReplicatedState;
use crate::store::DiskRequest;

impl ControlServer {
    /// Ticks the Raft node and sends the periodic messages to peers. Never returns.
    pub async fn run_clock(self: Rc<Self>) {
        let mut last_heartbeat = Instant::now() - SESSION_SYNC_INTERVAL;
        let mut last_join = Instant::now();
        loop {
            self.with_raft_node(|node| node.tick(self.uptime_ms()));
            self.send_session_changes();
            self.expire_silent_peers();
            self.maintain_contact();
            let has_won_election = self.state.borrow_mut().log.take_won_election();
            if has_won_election || last_heartbeat.elapsed() >= SESSION_SYNC_INTERVAL {
                last_heartbeat = Instant::now();
                self.add_members_as_peers();
                self.send_heartbeats();
            }
            if last_join.elapsed() >= JOIN_RETRY_INTERVAL {
                last_join = Instant::now();
                self.request_membership();
            }
            sleep(self.time_to_next_tick()).await;
        }
    }

    /// Returns the time until the next tick. It is shorter than [`TICK_INTERVAL`] if an election or a Raft heartbeat is
    /// due earlier, because neither may be delayed by the rest of the interval.
    fn time_to_next_tick(&self) -> Duration {
        let next_tick_at = self.state.borrow().log.node().next_tick_at();
        let remaining_ms = next_tick_at.saturating_sub(self.uptime_ms()).max(1);
        TICK_INTERVAL.min(Duration::from_millis(remaining_ms))
    }

    /// Reports to the Raft node which writes are synced to disk, by sequence number. Returns when the disk fails.
    pub async fn run_disk_events(self: Rc<Self>, mut synced: mpsc::UnboundedReceiver<u64>) {
        while let Some(sequence) = synced.recv().await {
            self.with_raft_node(|node| node.on_persisted(sequence));
        }
    }

    /// Performs a step of the Raft node and carries out the work that it requests.
    pub(super) fn with_raft_node<T>(&self, step: impl FnOnce(&mut RaftNode) -> T) -> T {
        self.with_state(|state| step(state.log.node_mut()))
    }

    /// Like [`Self::with_raft_node`], for a caller that has to record something before the requested work is carried
    /// out.
    pub(super) fn with_state<T>(&self, step: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.borrow_mut();
        // The process may have been suspended since the last tick.
        state.log.node_mut().advance_clock(self.uptime_ms());
        let result = step(&mut state);
        let ready = state.log.node_mut().take_ready();
        state.log.report_leader_change(self.id);
        let has_changed = self.carry_out(&mut state, ready);
        drop(state);
        if has_changed {
            self.notify_changed();
        }
        result
    }

    /// Carries out the work that the Raft node requests. Writes are queued before messages are sent; the node itself
    /// holds back messages that must wait for a sync. Returns whether anything that watchers see has changed.
    fn carry_out(&self, state: &mut State, ready: Ready) -> bool {
        for request in ready.persist_requests {
            self.write_to_disk(DiskRequest::Persist(request));
        }
        for message in ready.messages {
            send_to_member(state, message);
        }
        let mut has_changed = false;
        if let Some(snapshot) = ready.restored_snapshot {
            state
                .restore(&snapshot)
                .unwrap_or_else(|error| self.report_fatal(error));
            has_changed = true;
        }
        for entry in ready.committed_entries {
            match state.apply_entry(&entry) {
                Ok(entry_changed) => has_changed |= entry_changed,
                Err(error) => self.report_fatal(error),
            }
        }
        for ReadState { token, index } in ready.read_states {
            state.complete_read(ReadToken::from_raw(token), index);
        }
        if let Some(snapshot) = state.log.compact_if_due() {
            self.write_to_disk(DiskRequest::Compact(snapshot));
        }
        has_changed
    }

    /// Queues a write for the disk thread. Sending fails only if the thread has ended; `run_disk_events` then returns,
    /// and the process ends.
    fn write_to_disk(&self, request: DiskRequest) {
        let _ = self.disk.send(request);
    }

    /// Reports an error that ends this process. Sending fails only if the process is already ending.
    fn report_fatal(&self, error: FatalError) {
        let _ = self.fatal_errors.send(error);
    }

    /// Returns a copy of the replicated state, as of the last entry applied here.
    pub fn replicated_state(&self) -> ReplicatedState {
        self.state.borrow().log.state().clone()
    }
}

/// Sends a message to the member's address in the log or, if the log has none, to the address from which the member has
/// connected. The message may be dropped: Raft resends what it needs answered.
fn send_to_member(state: &State, message: raft::Message) {
    let (log, peers) = (&state.log, &state.peers);
    let address = log
        .member_address(message.to)
        .or_else(|| peers.address_of(message.to));
    if let Some(address) = address {
        peers.send(address, PeerMessage::Raft(message));
    }
}
