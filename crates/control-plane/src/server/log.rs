//! The member of the log: its time, its disk, and what it wants carried out.

use std::rc::Rc;
use std::time::Duration;

use protocol::wire::PeerMessage;
use raft::{Payload, RaftNode, ReadState, Ready};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use super::{
    COMPACT_AFTER_BYTES, COMPACT_AFTER_ENTRIES, ControlServer, Inner, JOIN_RETRY_INTERVAL,
    SESSION_SYNC_INTERVAL, TICK_INTERVAL,
};
use crate::configuration::{Command, ReplicatedState};
use crate::store::DiskRequest;

impl ControlServer {
    /// Keeps the log's time, and tells the others what stands here.
    pub async fn run_clock(self: Rc<Self>) {
        let mut told = Instant::now() - SESSION_SYNC_INTERVAL;
        let mut asked = Instant::now();
        loop {
            self.with_core(|core| core.tick(self.uptime_ms()));
            self.tell_moved();
            self.expire_silent_peers();
            self.keep_contact();
            if self.announces.take() || told.elapsed() >= SESSION_SYNC_INTERVAL {
                told = Instant::now();
                self.meet_members();
                self.tell_alive();
            }
            if asked.elapsed() >= JOIN_RETRY_INTERVAL {
                asked = Instant::now();
                self.join();
            }
            // An election or a heartbeat is not late by what is left of a tick.
            let due = self
                .inner
                .borrow()
                .core
                .next_tick_at()
                .saturating_sub(self.uptime_ms())
                .max(1);
            sleep(TICK_INTERVAL.min(Duration::from_millis(due))).await;
        }
    }

    /// Follows the disk; ends when it fails.
    pub async fn run_disk_events(self: Rc<Self>, mut saved: mpsc::UnboundedReceiver<u64>) {
        while let Some(seq) = saved.recv().await {
            self.with_core(|core| core.on_persisted(seq));
        }
    }

    /// Lets the core take something in, and carries out what it wants.
    pub(super) fn with_core<T>(&self, act: impl FnOnce(&mut RaftNode) -> T) -> T {
        self.with_inner(|inner| act(&mut inner.core))
    }

    /// The same, for who has to note something before what the core wants is carried out.
    pub(super) fn with_inner<T>(&self, act: impl FnOnce(&mut Inner) -> T) -> T {
        let mut inner = self.inner.borrow_mut();
        // This process may have stood still since the last tick.
        inner.core.advance_clock(self.uptime_ms());
        let result = act(&mut inner);
        let out = inner.core.take_ready();
        let status = inner.core.status();
        if status.leader != inner.led {
            inner.led = status.leader;
            self.announces.set(status.leader == Some(self.id));
            let leader = status
                .leader
                .map(|id| format!("{id:016x}"))
                .unwrap_or_default();
            tracing::info!(
                leader,
                term = status.term,
                own = status.leader == Some(self.id),
                "leader"
            );
        }
        let news = self.carry_out(&mut inner, out);
        drop(inner);
        if news {
            self.notify_changed();
        }
        result
    }

    pub(super) fn carry_out(&self, inner: &mut Inner, out: Ready) -> bool {
        for save in out.persist_requests {
            let _ = self.channels.disk.send(DiskRequest::Persist(save));
        }
        for message in out.messages {
            let known = inner.core.members().all().find(|(id, _)| *id == message.to);
            let known = known.and_then(|(_, at)| at.parse().ok());
            let at = known.or_else(|| inner.ids.get(&message.to).copied());
            if let Some(peer) = at.and_then(|at| inner.peers.get(&at)) {
                let _ = peer.to.try_send(PeerMessage::Raft(message));
            }
        }
        let mut news = false;
        if let Some(snapshot) = out.restored_snapshot {
            // The founders' first one carries no state.
            if !snapshot.data.is_empty() {
                match crate::snapshot::decode(&snapshot.data) {
                    Ok(agreed) => inner.agreed = agreed,
                    Err(why) => drop(self.channels.fatal_errors.send(why)),
                }
            }
            inner.skip_to(snapshot.index);
            (inner.applied, inner.logged) = (snapshot.index, 0);
            news = true;
        }
        for entry in out.committed_entries {
            inner.applied = entry.index;
            match entry.payload {
                Payload::Data(data) => {
                    inner.logged += data.len();
                    match ciborium::from_reader::<Command, _>(&data[..]) {
                        Ok(command) => news |= inner.apply(entry.index, entry.term, &command),
                        // Another build's: what it can't read it must not pass over.
                        Err(e) => {
                            let why = format!("entry {} can't be read: {e}", entry.index);
                            let _ = self.channels.fatal_errors.send(why);
                        }
                    }
                }
                Payload::Members(_) => news = true,
                Payload::Empty => {}
            }
            // Whatever stands here, it is not what an earlier leader put here.
            inner.orders.remove(&entry.index);
        }
        for ReadState { token, index } in out.read_states {
            inner.read_ended(token, index);
        }
        if inner.core.log_len() > COMPACT_AFTER_ENTRIES || inner.logged > COMPACT_AFTER_BYTES {
            let data = crate::snapshot::encode(&inner.agreed);
            let applied = inner.applied;
            if let Some(snapshot) = data.and_then(|data| inner.core.compact(applied, data)) {
                inner.logged = 0;
                let _ = self.channels.disk.send(DiskRequest::Compact(snapshot));
            }
        }
        news
    }

    pub fn replicated_state(&self) -> ReplicatedState {
        self.inner.borrow().agreed.clone()
    }
}
