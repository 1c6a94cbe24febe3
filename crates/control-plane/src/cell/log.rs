//! The member of the log: its time, its disk, and what it wants carried out.

use std::rc::Rc;
use std::time::Duration;

use protocol::wire::Tell;
use raft::{Core, Output, Payload};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

use super::{COMPACT, COMPACT_BYTES, Cell, Inner, JOIN, TELL, TICK};
use crate::configuration::{Agreed, Command};
use crate::store::Order;

impl Cell {
    /// Keeps the log's time, and tells the others what stands here.
    pub async fn keep_time(self: Rc<Self>) {
        let mut told = Instant::now() - TELL;
        let mut asked = Instant::now();
        loop {
            self.with_core(|core| core.tick(self.now()));
            self.tell_moved();
            self.forget_lapsed();
            self.keep_contact();
            if self.announces.take() || told.elapsed() >= TELL {
                told = Instant::now();
                self.meet_members();
                self.tell_alive();
            }
            if asked.elapsed() >= JOIN {
                asked = Instant::now();
                self.join();
            }
            // An election or a heartbeat is not late by what is left of a tick.
            let due = self.inner.borrow().core.due().saturating_sub(self.now()).max(1);
            sleep(TICK.min(Duration::from_millis(due))).await;
        }
    }

    /// Follows the disk; ends when it fails.
    pub async fn follow_disk(self: Rc<Self>, mut saved: mpsc::UnboundedReceiver<u64>) {
        while let Some(seq) = saved.recv().await {
            self.with_core(|core| core.saved(seq));
        }
    }

    /// Lets the core take something in, and carries out what it wants.
    pub(super) fn with_core<T>(&self, act: impl FnOnce(&mut Core) -> T) -> T {
        self.with_inner(|inner| act(&mut inner.core))
    }

    /// The same, for who has to note something before what the core wants is carried out.
    pub(super) fn with_inner<T>(&self, act: impl FnOnce(&mut Inner) -> T) -> T {
        let mut inner = self.inner.borrow_mut();
        // This process may have stood still since the last tick.
        inner.core.set_time(self.now());
        let result = act(&mut inner);
        let out = inner.core.take();
        let status = inner.core.status();
        if status.leader != inner.led {
            inner.led = status.leader;
            self.announces.set(status.leader == Some(self.id));
            let leader = status.leader.map(|id| format!("{id:016x}")).unwrap_or_default();
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
            self.changed();
        }
        result
    }

    pub(super) fn carry_out(&self, inner: &mut Inner, out: Output) -> bool {
        for save in out.save {
            let _ = self.channels.disk.send(Order::Save(save));
        }
        for message in out.send {
            let known = inner.core.members().all().find(|(id, _)| *id == message.to);
            let known = known.and_then(|(_, at)| at.parse().ok());
            let at = known.or_else(|| inner.ids.get(&message.to).copied());
            if let Some(peer) = at.and_then(|at| inner.peers.get(&at)) {
                let _ = peer.to.try_send(Tell::Log(message));
            }
        }
        let mut news = false;
        if let Some(snapshot) = out.restored {
            // The founders' first one carries no state.
            if !snapshot.data.is_empty() {
                match crate::snapshot::read(&snapshot.data) {
                    Ok(agreed) => inner.agreed = agreed,
                    Err(why) => drop(self.channels.breaks.send(why)),
                }
            }
            inner.skip_to(snapshot.index);
            (inner.applied, inner.logged) = (snapshot.index, 0);
            news = true;
        }
        for entry in out.committed {
            inner.applied = entry.index;
            match entry.payload {
                Payload::Data(data) => {
                    inner.logged += data.len();
                    match ciborium::from_reader::<Command, _>(&data[..]) {
                        Ok(command) => news |= inner.apply(entry.index, entry.term, &command),
                        // Another build's: what it can't read it must not pass over.
                        Err(e) => {
                            let why = format!("entry {} can't be read: {e}", entry.index);
                            let _ = self.channels.breaks.send(why);
                        }
                    }
                }
                Payload::Members(_) => news = true,
                Payload::Empty => {}
            }
            // Whatever stands here, it is not what an earlier leader put here.
            inner.orders.remove(&entry.index);
        }
        for (token, index) in out.reads {
            inner.read_ended(token, index);
        }
        if inner.core.log_len() > COMPACT || inner.logged > COMPACT_BYTES {
            let data = crate::snapshot::written(&inner.agreed);
            let applied = inner.applied;
            if let Some(snapshot) = data.and_then(|data| inner.core.compact(applied, data)) {
                inner.logged = 0;
                let _ = self.channels.disk.send(Order::Compact(snapshot));
            }
        }
        news
    }

    pub fn agreed(&self) -> Agreed {
        self.inner.borrow().agreed.clone()
    }
}
