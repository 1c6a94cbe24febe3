//! Simulates a cluster of nodes with a seeded clock, network and disks. Messages are lost,
//! duplicated, delayed and blocked by partitions; processes crash and lose unsynced writes; disks
//! are wiped and their machines rejoin as new members.
//!
//! These invariants are checked throughout:
//!
//! - There is at most one leader per term.
//! - Committed logs agree.
//! - A read reflects every entry that was acknowledged before the read was requested.
//! - A member acknowledges only entries that its disk has synced.
//! - A member in quorum contact as of some time has committed every entry that was acknowledged
//!   before that time.

use std::collections::{BTreeMap, BTreeSet};

use oorandom::Rand64;
use raft::{
    AppendResponse, Entry, Members, MembershipPolicy, Message, MessageBody, NodeId, Payload,
    PersistRequest, PersistentState, RaftNode, ReadState, Role, Snapshot, Timing,
};

use crate::support;

/// A simulated disk with its synced state and the writes that are not synced yet.
#[derive(Default)]
pub(crate) struct Disk {
    stored: PersistentState,
    unsynced: Vec<Write>,
    running_sync: Option<RunningSync>,
}

/// A sync in progress, which covers the first `writes` unsynced writes.
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

    /// Returns the index of the last synced entry, whether in the log or covered by a snapshot.
    fn last_synced_index(&self) -> u64 {
        let snapshot = self.stored.snapshot.as_ref().map_or(0, |s| s.index);
        let last = self.stored.entries.last();
        last.map_or(snapshot, |entry| entry.index.max(snapshot))
    }
}

/// A machine that runs one node.
pub(crate) struct Machine {
    pub(crate) id: NodeId,
    pub(crate) address: String,
    /// `None` while it is down.
    pub(crate) node: Option<RaftNode>,
    disk: Disk,
    /// While set, the machine processes nothing; messages sent to it wait.
    pub(crate) frozen: bool,
    /// The machine is also frozen until this time.
    pub(crate) frozen_until: u64,
}

impl Machine {
    pub(crate) fn is_frozen(&self, now: u64) -> bool {
        self.frozen || self.frozen_until > now
    }
}

/// Delay and loss of messages.
#[derive(Clone, Copy)]
pub(crate) struct Network {
    pub(crate) max_delay_ms: u64,
    /// One in this many messages is lost, and one in this many is duplicated.
    pub(crate) loss_one_in: Option<u64>,
}

/// Machines connected by a simulated network.
pub(crate) struct Cluster {
    pub(crate) rng: Rand64,
    timing: Timing,
    network: Network,
    /// The number of machine losses that the cluster is configured to tolerate.
    pub(crate) tolerated_losses: usize,
    pub(crate) now: u64,
    pub(crate) machines: Vec<Machine>,
    /// Messages with their arrival times.
    in_flight: Vec<(u64, Message)>,
    /// Pairs `(from, to)` of machines between which messages are dropped.
    pub(crate) partitions: BTreeSet<(usize, usize)>,
    /// The leader of each term.
    leaders: BTreeMap<u64, NodeId>,
    /// The payload of each committed entry, by index.
    committed: BTreeMap<u64, Vec<u8>>,
    /// The highest index that any leader has committed.
    pub(crate) acknowledged: u64,
    /// The time and the new value of each change of `acknowledged`.
    acknowledged_history: Vec<(u64, u64)>,
    /// The number of checks that found a member in quorum contact.
    pub(crate) contact_observations: u64,
    /// The value of `acknowledged` when each pending read was requested, by token.
    pub(crate) reads: BTreeMap<u64, u64>,
    next_id: NodeId,
    pub(crate) served_reads: u64,
    /// The number of chunked transfers whose last chunk was delivered.
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

    /// Starts an empty machine at a new address.
    pub(crate) fn add_machine(&mut self) -> usize {
        self.next_id += 1;
        self.add(self.next_id, Disk::default())
    }

    pub(crate) fn random_below(&mut self, n: usize) -> usize {
        self.rng.rand_range(0..n as u64) as usize
    }

    /// Returns the node of a machine that is up.
    pub(crate) fn node(&self, i: usize) -> &RaftNode {
        self.machines[i].node.as_ref().expect("the machine is up")
    }

    /// Returns the node of a machine that is up.
    pub(crate) fn node_mut(&mut self, i: usize) -> &mut RaftNode {
        self.machines[i].node.as_mut().expect("the machine is up")
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
        // Writes reach the disk in order, so any prefix of the unsynced ones may survive.
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

    /// Wipes a machine's disk and restarts it at the same address with a new id.
    pub(crate) fn wipe(&mut self, i: usize) {
        self.next_id += 1;
        let machine = &mut self.machines[i];
        machine.node = None;
        machine.disk = Disk::default();
        machine.id = self.next_id;
        self.start(i);
    }

    /// Syncs all pending writes of a machine's disk.
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

    /// Advances a disk whose syncs take `sync_ms` each. A sync covers the writes that were pending
    /// when it began.
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

    /// Replaces the committed entries of a member by a snapshot of `state_bytes` once its log is
    /// longer than `max_entries`.
    pub(crate) fn compact(&mut self, i: usize, max_entries: usize, state_bytes: usize) {
        let Some(node) = &self.machines[i].node else {
            return;
        };
        if node.log_len() <= max_entries {
            return;
        }
        let commit_index = node.status().commit_index;
        // A host writes the output of the previous call first, so this does too.
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

    /// Returns the running leader with the highest term.
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

    /// Delivers the messages that are due. Messages to a frozen machine stay queued.
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

    /// Processes a node's output: queues writes, sends messages, and checks commits and reads.
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
                "a read returned index {index}, but {acknowledged} was acknowledged before the request"
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
                "acknowledged index {match_index}, but only {synced_index} is synced"
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
        assert_eq!(
            *known, data,
            "different entries committed at index {}",
            entry.index
        );
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
                "in quorum contact as of {contact} with commit index {}, but {covered} was acknowledged \
                 before",
                status.commit_index
            );
            let in_contact = contact + self.timing.election_timeout_ms >= self.now;
            self.contact_observations += u64::from(in_contact);
        }
    }
}
