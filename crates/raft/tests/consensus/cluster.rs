//! Clusters of nodes on one seeded clock, network and disk: messages are lost, duplicated, delayed
//! and partitioned; processes crash and lose what was not synced; disks are wiped and their
//! machines come back as new members.
//!
//! Checked all along: one leader a term; committed logs agree; no read is older than what was
//! acknowledged before it; no member acknowledges what its disk has not synced; a member in quorum
//! contact up to some moment has applied all that was acknowledged before it.

use std::collections::{BTreeMap, BTreeSet};

use oorandom::Rand64;
use raft::{
    AppendResponse, Entry, Members, MembershipPolicy, Message, MessageBody, NodeId, Payload,
    PersistRequest, PersistentState, RaftNode, ReadState, Role, Snapshot, Timing,
};

use crate::support;

/// A disk: what is synced, and what is on its way.
#[derive(Default)]
pub(crate) struct Disk {
    stored: PersistentState,
    unsynced: Vec<Write>,
    running_sync: Option<RunningSync>,
}

/// A sync that covers the first writes.
struct RunningSync {
    ends_at: u64,
    writes: usize,
}

enum Write {
    Persist(PersistRequest),
    Compact(Snapshot),
}

impl Disk {
    fn apply(&mut self, write: Write) {
        match write {
            Write::Persist(request) => self.stored.apply(request),
            Write::Compact(snapshot) => self.stored.compact(snapshot),
        }
    }

    /// The last entry that is synced, in a snapshot or by itself.
    fn last_synced_index(&self) -> u64 {
        let snapshot = self.stored.snapshot.as_ref().map_or(0, |s| s.index);
        let last = self.stored.entries.last();
        last.map_or(snapshot, |entry| entry.index.max(snapshot))
    }
}

/// A machine of the control plane.
pub(crate) struct Machine {
    pub(crate) id: NodeId,
    pub(crate) address: String,
    /// `None` while it is down.
    pub(crate) node: Option<RaftNode>,
    disk: Disk,
    /// Neither computes nor loses what is sent to it, until it is thawed.
    pub(crate) frozen: bool,
    /// The same, until then.
    pub(crate) frozen_until: u64,
}

impl Machine {
    pub(crate) fn is_frozen(&self, now: u64) -> bool {
        self.frozen || self.frozen_until > now
    }
}

/// How messages travel.
#[derive(Clone, Copy)]
pub(crate) struct Network {
    pub(crate) max_delay_ms: u64,
    /// One in so many is lost, and as many are duplicated.
    pub(crate) loss_one_in: Option<u64>,
}

/// Machines with a network between them.
pub(crate) struct Cluster {
    pub(crate) rng: Rand64,
    timing: Timing,
    network: Network,
    /// Losses that the cluster is built to tolerate.
    pub(crate) tolerated_losses: usize,
    pub(crate) now: u64,
    pub(crate) machines: Vec<Machine>,
    /// Messages by the time at which they arrive.
    in_flight: Vec<(u64, Message)>,
    /// Pairs of machines of which the first does not reach the second.
    pub(crate) partitions: BTreeSet<(usize, usize)>,
    leaders: BTreeMap<u64, NodeId>,
    committed: BTreeMap<u64, Vec<u8>>,
    /// The last entry that a leader has seen committed.
    pub(crate) acknowledged: u64,
    /// When `acknowledged` changed, and to what.
    acknowledged_history: Vec<(u64, u64)>,
    /// How often a member was seen in quorum contact.
    pub(crate) contact_observations: u64,
    /// What was acknowledged when each read was requested, by token.
    pub(crate) reads: BTreeMap<u64, u64>,
    next_id: NodeId,
    pub(crate) served_reads: u64,
    /// Last chunks of transfers that were received.
    pub(crate) transfers: u64,
}

impl Cluster {
    pub(crate) fn new(seed: u64, size: u64, timing: Timing, network: Network) -> Self {
        let mut cluster = Self {
            rng: Rand64::new(u128::from(seed)),
            timing,
            network,
            tolerated_losses: 1,
            now: 0,
            machines: Vec::new(),
            in_flight: Vec::new(),
            partitions: BTreeSet::new(),
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            acknowledged: 0,
            acknowledged_history: Vec::new(),
            contact_observations: 0,
            reads: BTreeMap::new(),
            next_id: 100,
            served_reads: 0,
            transfers: 0,
        };
        let members = Members {
            voters: (1..=size).map(|id| (id, format!("m{id}"))).collect(),
            ..Members::default()
        };
        for id in 1..=size {
            let disk = Disk {
                stored: support::initial_state(members.clone()),
                ..Disk::default()
            };
            cluster.add(id, disk);
        }
        cluster
    }

    fn add(&mut self, id: NodeId, disk: Disk) -> usize {
        self.machines.push(Machine {
            id,
            address: format!("m{id}"),
            node: None,
            disk,
            frozen: false,
            frozen_until: 0,
        });
        let i = self.machines.len() - 1;
        self.start(i);
        i
    }

    /// An empty machine starts at an address of its own.
    pub(crate) fn add_machine(&mut self) -> usize {
        self.next_id += 1;
        self.add(self.next_id, Disk::default())
    }

    pub(crate) fn random_below(&mut self, n: usize) -> usize {
        self.rng.rand_range(0..n as u64) as usize
    }

    /// The node of a machine that is up.
    pub(crate) fn node(&self, i: usize) -> &RaftNode {
        self.machines[i].node.as_ref().expect("it is up")
    }

    /// The node of a machine that is up.
    pub(crate) fn node_mut(&mut self, i: usize) -> &mut RaftNode {
        self.machines[i].node.as_mut().expect("it is up")
    }

    pub(crate) fn start(&mut self, i: usize) {
        let seed = self.rng.rand_u64();
        let machine = &mut self.machines[i];
        let stored = machine.disk.stored.clone();
        (machine.frozen, machine.frozen_until) = (false, 0);
        let mut node = RaftNode::new(machine.id, self.timing, seed, stored, Members::default());
        node.set_membership_policy(MembershipPolicy::new(self.timing, self.tolerated_losses));
        node.tick(self.now);
        machine.node = Some(node);
    }

    pub(crate) fn crash(&mut self, i: usize) {
        // Any of the writes that were not synced may have reached the disk, in order.
        let writes = self.machines[i].disk.unsynced.len();
        let kept = self.random_below(writes + 1);
        let machine = &mut self.machines[i];
        machine.node = None;
        machine.disk.running_sync = None;
        let unsynced = std::mem::take(&mut machine.disk.unsynced);
        for write in unsynced.into_iter().take(kept) {
            machine.disk.apply(write);
        }
    }

    /// A machine loses its disk: it comes back at the same address under another id.
    pub(crate) fn wipe(&mut self, i: usize) {
        self.next_id += 1;
        let machine = &mut self.machines[i];
        machine.node = None;
        machine.disk = Disk::default();
        machine.id = self.next_id;
        self.start(i);
    }

    /// The disk syncs all that was written.
    pub(crate) fn sync(&mut self, i: usize) {
        let writes = self.machines[i].disk.unsynced.len();
        self.sync_first(i, writes);
    }

    fn sync_first(&mut self, i: usize, writes: usize) {
        let now = self.now;
        let machine = &mut self.machines[i];
        let is_frozen = machine.is_frozen(now);
        let Some(node) = machine.node.as_mut().filter(|_| !is_frozen) else {
            return;
        };
        let mut last_sequence = None;
        let synced: Vec<Write> = machine.disk.unsynced.drain(..writes).collect();
        for write in synced {
            if let Write::Persist(request) = &write {
                last_sequence = Some(request.sequence);
            }
            machine.disk.apply(write);
        }
        if let Some(sequence) = last_sequence {
            node.on_persisted(sequence);
        }
    }

    /// A disk on which each sync takes `sync_ms`. A sync covers what was written before it began.
    pub(crate) fn advance_sync(&mut self, i: usize, sync_ms: u64) {
        let disk = &mut self.machines[i].disk;
        match disk.running_sync.take_if(|sync| sync.ends_at <= self.now) {
            Some(RunningSync { writes, .. }) => self.sync_first(i, writes),
            None if disk.running_sync.is_some() || disk.unsynced.is_empty() => {}
            None => {
                disk.running_sync = Some(RunningSync {
                    ends_at: self.now + sync_ms,
                    writes: disk.unsynced.len(),
                });
            }
        }
    }

    /// A member with more than `max_entries` entries replaces those that are committed by a
    /// snapshot of that size.
    pub(crate) fn compact(&mut self, i: usize, max_entries: usize, state_bytes: usize) {
        let Some(node) = &self.machines[i].node else {
            return;
        };
        if node.log_len() <= max_entries {
            return;
        }
        let commit_index = node.status().commit_index;
        // What came of the last call is written first, as a host does it.
        self.handle_ready(i);
        let Some(node) = &mut self.machines[i].node else {
            return;
        };
        let state = vec![commit_index as u8; state_bytes];
        if let Some(snapshot) = node.compact(commit_index, state) {
            let disk = &mut self.machines[i].disk;
            disk.unsynced.push(Write::Compact(snapshot));
        }
    }

    /// The leader of the latest term.
    pub(crate) fn leader(&self) -> Option<usize> {
        let term = |machine: &Machine| {
            let node = machine.node.as_ref().filter(|_| !machine.frozen)?;
            let status = node.status();
            (status.role == Role::Leader).then_some(status.term)
        };
        let machines = self.machines.iter().enumerate();
        let leaders = machines.filter_map(|(i, machine)| Some((term(machine)?, i)));
        leaders.max().map(|(_, i)| i)
    }

    /// Delivers the messages that arrive by now.
    pub(crate) fn deliver_messages(&mut self) {
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(at, _)| *at <= self.now);
        self.in_flight = later;
        for (at, message) in due {
            let machine_of = |id| self.machines.iter().position(|m| m.id == id);
            let (Some(from), Some(to)) = (machine_of(message.from), machine_of(message.to)) else {
                continue;
            };
            if self.partitions.contains(&(from, to)) {
                continue;
            }
            if self.machines[to].is_frozen(self.now) {
                self.in_flight.push((at, message));
            } else if let Some(node) = &mut self.machines[to].node {
                let is_last =
                    matches!(&message.body, MessageBody::Chunk(chunk) if chunk.content.is_some());
                self.transfers += u64::from(is_last);
                node.advance_clock(self.now);
                node.step(message);
            }
        }
    }

    /// Carries out what a node asks for.
    pub(crate) fn handle_ready(&mut self, i: usize) {
        let Some(node) = &mut self.machines[i].node else {
            return;
        };
        let ready = node.take_ready();
        let is_leader = support::is_leader(node);
        let requests = ready.persist_requests.into_iter();
        let disk = &mut self.machines[i].disk;
        disk.unsynced.extend(requests.map(Write::Persist));
        for message in ready.messages {
            self.send(i, message);
        }
        for entry in ready.committed_entries {
            self.commit(entry, is_leader);
        }
        for ReadState { token, index } in ready.read_states {
            let (Some(acknowledged), Some(index)) = (self.reads.remove(&token), index) else {
                continue;
            };
            assert!(
                index >= acknowledged,
                "a read saw {index}, {acknowledged} was acknowledged before it"
            );
            self.served_reads += 1;
        }
    }

    fn send(&mut self, from: usize, message: Message) {
        if let MessageBody::AppendResponse(AppendResponse {
            accepted: true,
            match_index,
            ..
        }) = message.body
        {
            let synced_index = self.machines[from].disk.last_synced_index();
            assert!(
                match_index <= synced_index,
                "it acknowledges {match_index}, and its disk has {synced_index}"
            );
        }
        let delay = self.rng.rand_range(0..self.network.max_delay_ms);
        let loss_one_in = self.network.loss_one_in;
        match loss_one_in.map(|n| self.rng.rand_range(0..n)) {
            Some(0) => {}
            Some(1) => {
                self.in_flight.push((self.now + delay, message.clone()));
                self.in_flight.push((self.now + 3 * delay, message));
            }
            _ => self.in_flight.push((self.now + delay, message)),
        }
    }

    fn commit(&mut self, entry: Entry, by_leader: bool) {
        let data = match entry.payload {
            Payload::Data(data) => data,
            other => format!("{other:?}").into_bytes(),
        };
        let known = self
            .committed
            .entry(entry.index)
            .or_insert_with(|| data.clone());
        assert_eq!(*known, data, "two entries committed at {}", entry.index);
        if by_leader && entry.index > self.acknowledged {
            self.acknowledged = entry.index;
            self.acknowledged_history.push((self.now, entry.index));
        }
    }

    pub(crate) fn check_invariants(&mut self) {
        for machine in &self.machines {
            let Some(node) = &machine.node else { continue };
            let status = node.status();
            if status.role == Role::Leader {
                let leader = self.leaders.entry(status.term).or_insert(status.id);
                assert_eq!(*leader, status.id, "two leaders in term {}", status.term);
            }
            let is_frozen = machine.is_frozen(self.now);
            let Some(contact) = node.quorum_contact_at().filter(|_| !is_frozen) else {
                continue;
            };
            let history = &self.acknowledged_history;
            let before = history.partition_point(|(at, _)| *at < contact);
            let covered = before.checked_sub(1).map_or(0, |last| history[last].1);
            assert!(
                status.commit_index >= covered,
                "in contact up to {contact} with {}, {covered} was acknowledged before it",
                status.commit_index
            );
            let in_contact = contact + self.timing.election_timeout_ms >= self.now;
            self.contact_observations += u64::from(in_contact);
        }
    }
}
