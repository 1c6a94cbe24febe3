//! Whole clusters of cores on one seeded clock, network and disk: messages are lost, doubled, delayed and
//! cut; processes crash and lose what was not synced; disks are wiped and their machines come back as new
//! members. Checked all along: one leader a term, logs that are committed agree, reads are never older than what
//! was acknowledged before them, no member says that it has what its disk has not synced, and a member that takes itself to be in contact up to some moment has applied all
//! that was acknowledged before it.
#![allow(dead_code, reason = "no test program uses all of it")]

use std::collections::{BTreeMap, BTreeSet};

use oorandom::Rand64;
use raft::{
    AppendResponse, Members, Message, MessageBody, NodeId, Payload, PersistRequest,
    PersistentState, RaftNode, ReadState, Role, Snapshot, Timing,
};

/// A disk: what is synced, and what is on its way.
#[derive(Default)]
pub struct Disk {
    pub stored: PersistentState,
    pub under_way: Vec<Write>,
    /// When the sync that runs ends, and how many writes it covers.
    pub sync: Option<(u64, usize)>,
}

pub enum Write {
    Save(PersistRequest),
    Compact(Snapshot),
}

fn write(stored: &mut PersistentState, write: Write) {
    match write {
        Write::Save(save) => stored.apply(save),
        Write::Compact(snapshot) => stored.compact(snapshot),
    }
}

/// The last entry that a disk holds, in a snapshot or by itself.
fn last_stored(stored: &PersistentState) -> u64 {
    let snapshot = stored.snapshot.as_ref().map_or(0, |s| s.index);
    stored
        .entries
        .last()
        .map_or(snapshot, |e| e.index.max(snapshot))
}

pub struct Machine {
    pub id: NodeId,
    pub address: String,
    /// `None` while it is down.
    pub core: Option<RaftNode>,
    pub disk: Disk,
    /// Neither computes nor loses what is sent to it, for good or until then.
    pub frozen: bool,
    pub frozen_until: u64,
    /// What it has applied, by index.
    applied: BTreeMap<u64, Vec<u8>>,
}

impl Machine {
    pub fn is_frozen(&self, now: u64) -> bool {
        self.frozen || self.frozen_until > now
    }
}

/// How messages travel: up to so many milliseconds, one in so many lost and as many doubled.
#[derive(Clone, Copy)]
pub struct Network {
    pub delay: u64,
    pub lost_in: Option<u64>,
}

pub struct World {
    pub rng: Rand64,
    timing: Timing,
    network: Network,
    pub tolerated: usize,
    pub now: u64,
    pub machines: Vec<Machine>,
    mail: Vec<(u64, Message)>,
    /// Pairs of machines that do not reach each other (one way).
    pub cut: BTreeSet<(usize, usize)>,
    leaders: BTreeMap<u64, NodeId>,
    committed: BTreeMap<u64, Vec<u8>>,
    pub acknowledged: u64,
    /// What was acknowledged last at each moment at which that changed.
    history: Vec<(u64, u64)>,
    /// How often a member was seen to be in contact.
    pub contacts: u64,
    pub reads: BTreeMap<u64, u64>,
    next_id: u64,
    pub served_reads: u64,
    /// Last pieces that were received.
    pub transfers: u64,
}

impl World {
    pub fn new(seed: u64, size: u64, timing: Timing, network: Network) -> Self {
        let mut world = Self {
            rng: Rand64::new(u128::from(seed)),
            timing,
            network,
            tolerated: 1,
            now: 0,
            machines: Vec::new(),
            mail: Vec::new(),
            cut: BTreeSet::new(),
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            acknowledged: 0,
            history: Vec::new(),
            contacts: 0,
            reads: BTreeMap::new(),
            next_id: 100,
            served_reads: 0,
            transfers: 0,
        };
        let voters: BTreeMap<NodeId, String> = (1..=size).map(|i| (i, format!("m{i}"))).collect();
        let founders = Members {
            voters,
            ..Members::default()
        };
        for id in 1..=size {
            let snapshot = raft::Snapshot::initial(founders.clone());
            let stored = PersistentState {
                snapshot: Some(snapshot),
                ..PersistentState::default()
            };
            let disk = Disk {
                stored,
                ..Disk::default()
            };
            world.add(id, format!("m{id}"), disk);
        }
        world
    }

    fn add(&mut self, id: NodeId, address: String, disk: Disk) -> usize {
        let applied = BTreeMap::new();
        self.machines.push(Machine {
            id,
            address,
            core: None,
            disk,
            frozen: false,
            frozen_until: 0,
            applied,
        });
        let i = self.machines.len() - 1;
        self.start(i);
        i
    }

    /// An empty machine starts at an address of its own.
    pub fn add_machine(&mut self) -> usize {
        self.next_id += 1;
        self.add(self.next_id, format!("m{}", self.next_id), Disk::default())
    }

    pub fn below(&mut self, n: usize) -> usize {
        self.rng.rand_range(0..n as u64) as usize
    }

    pub fn start(&mut self, i: usize) {
        let seed = self.rng.rand_u64();
        let m = &mut self.machines[i];
        let stored = m.disk.stored.clone();
        m.applied.clear();
        (m.frozen, m.frozen_until) = (false, 0);
        let mut core = RaftNode::new(m.id, self.timing, seed, stored, Members::default());
        core.set_membership_policy(raft::MembershipPolicy::new(self.timing, self.tolerated));
        core.tick(self.now);
        m.core = Some(core);
    }

    pub fn crash(&mut self, i: usize) {
        // Any of what was under way may have reached the disk, in order.
        let n = self.machines[i].disk.under_way.len();
        let kept = self.below(n + 1);
        let m = &mut self.machines[i];
        m.core = None;
        m.disk.sync = None;
        for next in m.disk.under_way.drain(..).take(kept) {
            write(&mut m.disk.stored, next);
        }
    }

    /// A machine loses its disk: it comes back under the same address as somebody else.
    pub fn wipe(&mut self, i: usize) {
        self.next_id += 1;
        let m = &mut self.machines[i];
        m.core = None;
        m.disk = Disk::default();
        m.id = self.next_id;
        self.start(i);
    }

    pub fn sync(&mut self, i: usize) {
        let n = self.machines[i].disk.under_way.len();
        self.sync_first(i, n);
    }

    fn sync_first(&mut self, i: usize, n: usize) {
        let now = self.now;
        let m = &mut self.machines[i];
        let frozen = m.is_frozen(now);
        let Some(core) = m.core.as_mut().filter(|_| !frozen) else {
            return;
        };
        let mut last = None;
        for next in m.disk.under_way.drain(..n) {
            if let Write::Save(save) = &next {
                last = Some(save.sequence);
            }
            write(&mut m.disk.stored, next);
        }
        if let Some(seq) = last {
            core.on_persisted(seq);
        }
    }

    /// Goes on with the sync of a disk on which each takes `delay`: it covers what was written before it began.
    pub fn sync_in_time(&mut self, i: usize, delay: u64) {
        match self.machines[i].disk.sync {
            Some((at, n)) if at <= self.now => {
                self.machines[i].disk.sync = None;
                self.sync_first(i, n);
            }
            Some(_) => {}
            None if self.machines[i].disk.under_way.is_empty() => {}
            None => {
                let disk = &mut self.machines[i].disk;
                disk.sync = Some((self.now + delay, disk.under_way.len()));
            }
        }
    }

    /// A member that has more than `most` entries replaces those that are committed by a snapshot of `state`.
    pub fn compact(&mut self, i: usize, most: usize, state: usize) {
        let Some(core) = &self.machines[i].core else {
            return;
        };
        if core.log_len() <= most {
            return;
        }
        let upto = core.status().commit_index;
        // What came of the last call goes to the disk first, as a host does it.
        self.carry_out(i);
        let Some(core) = &mut self.machines[i].core else {
            return;
        };
        let state = vec![upto as u8; state];
        if let Some(snapshot) = core.compact(upto, state) {
            self.machines[i]
                .disk
                .under_way
                .push(Write::Compact(snapshot));
        }
    }

    pub fn leader(&self) -> Option<usize> {
        let term = |m: &Machine| {
            let status = m.core.as_ref().filter(|_| !m.frozen)?.status();
            (status.role == Role::Leader).then_some(status.term)
        };
        let leading = self
            .machines
            .iter()
            .enumerate()
            .filter_map(|(i, m)| Some((term(m)?, i)));
        leading.max().map(|(_, i)| i)
    }

    pub fn deliver(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.mail)
            .into_iter()
            .partition(|(at, _)| *at <= self.now);
        self.mail = later;
        for (at, message) in due {
            let place = |id| self.machines.iter().position(|m| m.id == id);
            let (Some(from), Some(to)) = (place(message.from), place(message.to)) else {
                continue;
            };
            if self.cut.contains(&(from, to)) {
                continue;
            }
            if self.machines[to].is_frozen(self.now) {
                self.mail.push((at, message));
            } else if let Some(core) = &mut self.machines[to].core {
                let last = matches!(&message.body, MessageBody::Chunk(p) if p.content.is_some());
                self.transfers += u64::from(last);
                core.advance_clock(self.now);
                core.step(message);
            }
        }
    }

    pub fn carry_out(&mut self, i: usize) {
        let Some(core) = &mut self.machines[i].core else {
            return;
        };
        let out = core.take_ready();
        self.machines[i]
            .disk
            .under_way
            .extend(out.persist_requests.into_iter().map(Write::Save));
        for message in out.messages {
            if let MessageBody::AppendResponse(AppendResponse {
                accepted: true,
                match_index: index,
                ..
            }) = message.body
            {
                let has = last_stored(&self.machines[i].disk.stored);
                assert!(
                    index <= has,
                    "it acknowledges {index}, and its disk has {has}"
                );
            }
            let delay = self.rng.rand_range(0..self.network.delay);
            match self.network.lost_in.map(|n| self.rng.rand_range(0..n)) {
                Some(0) => {}
                Some(1) => {
                    self.mail.push((self.now + delay, message.clone()));
                    self.mail.push((self.now + 3 * delay, message));
                }
                _ => self.mail.push((self.now + delay, message)),
            }
        }
        let leads = self.machines[i]
            .core
            .as_ref()
            .is_some_and(|c| c.status().role == Role::Leader);
        for entry in out.committed_entries {
            let data = match entry.payload {
                Payload::Data(data) => data,
                other => format!("{other:?}").into_bytes(),
            };
            let known = self
                .committed
                .entry(entry.index)
                .or_insert_with(|| data.clone());
            assert_eq!(*known, data, "two entries committed at {}", entry.index);
            self.machines[i].applied.insert(entry.index, data);
            if leads && entry.index > self.acknowledged {
                self.acknowledged = entry.index;
                self.history.push((self.now, entry.index));
            }
        }
        for ReadState { token, index } in out.read_states {
            let (Some(asked), Some(index)) = (self.reads.remove(&token), index) else {
                continue;
            };
            assert!(
                index >= asked,
                "a read saw {index}, {asked} was acknowledged before it"
            );
            self.served_reads += 1;
        }
    }

    pub fn check(&mut self) {
        for m in &self.machines {
            let Some(core) = &m.core else { continue };
            let s = core.status();
            if s.role == Role::Leader {
                let leader = self.leaders.entry(s.term).or_insert(s.id);
                assert_eq!(*leader, s.id, "two leaders in term {}", s.term);
            }
            let Some(contact) = core.quorum_contact_at().filter(|_| !m.is_frozen(self.now)) else {
                continue;
            };
            let before = self.history.partition_point(|(at, _)| *at < contact);
            let covered = before.checked_sub(1).map_or(0, |last| self.history[last].1);
            assert!(
                s.commit_index >= covered,
                "in contact up to {contact} with {}, {covered} was acknowledged before it",
                s.commit_index
            );
            self.contacts += u64::from(contact + self.timing.election_timeout_ms >= self.now);
        }
    }
}
