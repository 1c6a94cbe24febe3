//! Tests how a member that missed changes catches up over links of limited bandwidth while changes
//! continue. It must catch up within the documented time, the leader must not change, the transfer
//! must not delay heartbeats or reads, and every elected leader must have all committed entries.

use std::collections::{BTreeMap, VecDeque};

use oorandom::Rand64;
use raft::{
    Message, MessageBody, NodeId, Payload, PersistRequest, PersistentState, RaftNode, Ready, Role,
    Snapshot, Status,
};

use crate::support::{self, TIMING};

/// How often the host ticks its node.
const TICK_MS: u64 = 50;
/// The simulation's time step.
const STEP_MS: u64 = 5;
const LATENCY_MS: u64 = 30;
const SYNC_MS: u64 = 10;
/// The host compacts its log after this many entries.
const COMPACT_AFTER_ENTRIES: usize = 256;
/// The host compacts its log after this many bytes of entries.
const COMPACT_AFTER_BYTES: usize = 2 << 20;
/// The size of a typical configuration amendment.
const CHANGE_BYTES: usize = 600;
/// The size of the state with 10 routes.
const SMALL_STATE_BYTES: usize = 3_200;
/// The size of the state with 1,500 routes.
const LARGE_STATE_BYTES: usize = 480_000;
const MEMBERS: NodeId = 3;
const FAST_BITS_PER_S: u64 = 100_000_000;

/// One direction of a link, which transmits messages one at a time.
struct Link {
    bits_per_s: u64,
    free_at_us: u64,
    /// Messages with their arrival times, in order of arrival.
    in_flight: VecDeque<(u64, Message)>,
}

enum Write {
    Persist(PersistRequest),
    Compact(Snapshot),
}

struct Machine {
    /// `None` while it is down.
    node: Option<RaftNode>,
    stored: PersistentState,
    /// Pending writes with the time at which each is synced.
    unsynced: VecDeque<(u64, Write)>,
    applied_index: u64,
    /// Bytes in entries since the last snapshot.
    log_bytes: usize,
    /// When the last append from the leader arrived.
    last_append_at: Option<u64>,
    /// The longest time between two appends from the leader.
    max_heartbeat_gap_ms: u64,
}

/// Members with links of limited bandwidth between them.
struct Cluster {
    now: u64,
    state_bytes: usize,
    change_bytes: usize,
    machines: BTreeMap<NodeId, Machine>,
    links: BTreeMap<(NodeId, NodeId), Link>,
    /// The term of each committed entry, by index.
    committed: BTreeMap<u64, u64>,
    /// The highest index that any leader has committed.
    acknowledged: u64,
    /// The number of node starts so far; seeds each started node.
    starts: u64,
    /// Members whose disks currently complete no writes.
    stalled_disks: Vec<NodeId>,
    /// The maximum random extra delay of a message, which lets later messages overtake it.
    jitter_ms: u64,
    rng: Rand64,
    /// Bytes sent to each member.
    sent_bytes: BTreeMap<NodeId, u64>,
    sent_messages: u64,
}

/// Returns the approximate size of a message on the wire.
fn message_bytes(message: &Message) -> u64 {
    let payload_bytes = |payload: &Payload| match payload {
        Payload::Data(data) => data.len(),
        Payload::Empty | Payload::Members(_) => 0,
    };
    let carried_bytes: usize = match &message.body {
        MessageBody::AppendEntries(request) => {
            let entries = request.entries.iter();
            entries.map(|e| 40 + payload_bytes(&e.payload)).sum()
        }
        MessageBody::Chunk(chunk) => chunk.bytes.len(),
        _ => 0,
    };
    150 + carried_bytes as u64
}

impl Machine {
    fn new(stored: PersistentState) -> Self {
        Self {
            node: None,
            stored,
            unsynced: VecDeque::new(),
            applied_index: 0,
            log_bytes: 0,
            last_append_at: None,
            max_heartbeat_gap_ms: 0,
        }
    }

    fn on_synced(&mut self, write: Write) {
        match write {
            Write::Compact(snapshot) => self.stored.compact(snapshot),
            Write::Persist(request) => {
                let sequence = request.sequence;
                self.stored.apply(request);
                if let Some(node) = &mut self.node {
                    node.on_persisted(sequence);
                }
            }
        }
    }

    fn write(&mut self, synced_at: u64, write: Write) {
        self.unsynced.push_back((synced_at, write));
    }

    /// Passes a message to the node and records the time between appends.
    fn step(&mut self, now: u64, message: Message) {
        let Some(node) = &mut self.node else {
            return;
        };
        let is_append = matches!(message.body, MessageBody::AppendEntries(_));
        node.step(message);
        if is_append {
            let last = self.last_append_at.replace(now).unwrap_or(now);
            self.max_heartbeat_gap_ms = self.max_heartbeat_gap_ms.max(now - last);
        }
    }
}

impl Cluster {
    fn new(state_bytes: usize) -> Self {
        let mut cluster = Self {
            now: 0,
            state_bytes,
            change_bytes: CHANGE_BYTES,
            machines: BTreeMap::new(),
            links: BTreeMap::new(),
            committed: BTreeMap::new(),
            acknowledged: 0,
            starts: 0,
            stalled_disks: Vec::new(),
            jitter_ms: 0,
            rng: Rand64::new(0),
            sent_bytes: BTreeMap::new(),
            sent_messages: 0,
        };
        for id in 1..=MEMBERS {
            let stored = support::initial_state(support::voters(1..=MEMBERS));
            cluster.machines.insert(id, Machine::new(stored));
            cluster.start(id);
            for to in (1..=MEMBERS).filter(|to| *to != id) {
                let link = Link {
                    bits_per_s: FAST_BITS_PER_S,
                    free_at_us: 0,
                    in_flight: VecDeque::new(),
                };
                cluster.links.insert((id, to), link);
            }
        }
        cluster
    }

    fn machine(&mut self, id: NodeId) -> &mut Machine {
        self.machines.get_mut(&id).expect("a member")
    }

    fn start(&mut self, id: NodeId) {
        self.starts += 1;
        let (seed, now) = (self.starts, self.now);
        let machine = self.machine(id);
        let mut node = support::start_node(id, seed, machine.stored.clone());
        node.tick(now);
        machine.node = Some(node);
        (machine.applied_index, machine.log_bytes) = (0, 0);
        (machine.last_append_at, machine.max_heartbeat_gap_ms) = (None, 0);
    }

    /// Simulates a power loss: unsynced writes and messages in flight on the machine's connections
    /// are lost.
    fn stop(&mut self, id: NodeId) {
        let machine = self.machine(id);
        machine.node = None;
        machine.unsynced.clear();
        self.reset_connections(id);
    }

    fn links_of(&mut self, id: NodeId) -> impl Iterator<Item = &mut Link> {
        let links = self.links.iter_mut();
        let of_id = links.filter(move |((from, to), _)| *from == id || *to == id);
        of_id.map(|(_, link)| link)
    }

    fn reset_connections(&mut self, id: NodeId) {
        let now_us = self.now * 1000;
        for link in self.links_of(id) {
            link.in_flight.clear();
            link.free_at_us = now_us;
        }
    }

    fn limit_bandwidth(&mut self, id: NodeId, bits_per_s: u64) {
        for link in self.links_of(id) {
            link.bits_per_s = bits_per_s;
        }
    }

    fn leader(&self) -> Option<NodeId> {
        let is_leader = |machine: &Machine| machine.node.as_ref().is_some_and(support::is_leader);
        let mut machines = self.machines.iter();
        let leader = machines.find(|(_, machine)| is_leader(machine));
        leader.map(|(id, _)| *id)
    }

    /// Proposes a command of the given size at the leader, if there is one.
    fn propose(&mut self, bytes: usize) {
        if let Some(leader) = self.leader()
            && let Some(node) = &mut self.machine(leader).node
        {
            node.propose(vec![7; bytes]);
            self.handle_ready(leader);
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        let now = self.now;
        for id in 1..=MEMBERS {
            let is_stalled = self.stalled_disks.contains(&id);
            let machine = self.machine(id);
            while !is_stalled
                && let Some((_, write)) = machine.unsynced.pop_front_if(|(at, _)| *at <= now)
            {
                machine.on_synced(write);
            }
            if let Some(node) = &mut machine.node
                && now.is_multiple_of(TICK_MS)
            {
                node.tick(now);
            }
            self.handle_ready(id);
        }
        let mut arrived = Vec::new();
        for link in self.links.values_mut() {
            while let Some((_, message)) = link.in_flight.pop_front_if(|(at, _)| *at <= now) {
                arrived.push(message);
            }
        }
        for message in arrived {
            let to = message.to;
            self.machine(to).step(now, message);
            self.handle_ready(to);
        }
        self.check_leaders();
    }

    /// Processes a node's output: queues writes, applies commits, compacts and sends messages.
    fn handle_ready(&mut self, id: NodeId) {
        let synced_at = self.now + SYNC_MS;
        let Some(node) = &mut self.machine(id).node else {
            return;
        };
        let Ready {
            persist_requests,
            messages,
            restored_snapshot,
            committed_entries,
            ..
        } = node.take_ready();
        let is_leader = support::is_leader(node);
        let machine = self.machines.get_mut(&id).expect("a member");
        for request in persist_requests {
            machine.write(synced_at, Write::Persist(request));
        }
        if let Some(snapshot) = restored_snapshot {
            (machine.applied_index, machine.log_bytes) = (snapshot.index, 0);
        }
        for entry in committed_entries {
            let known = self.committed.entry(entry.index).or_insert(entry.term);
            assert_eq!(
                *known, entry.term,
                "different entries committed at index {}",
                entry.index
            );
            machine.applied_index = entry.index;
            if let Payload::Data(data) = &entry.payload {
                machine.log_bytes += data.len();
            }
            if is_leader {
                self.acknowledged = self.acknowledged.max(entry.index);
            }
        }
        self.compact(id, synced_at);
        for message in messages {
            self.send(id, message);
        }
    }

    /// Compacts the log of a member under the conditions that the host uses.
    fn compact(&mut self, id: NodeId, synced_at: u64) {
        let state_bytes = self.state_bytes;
        let machine = self.machine(id);
        let Some(node) = &mut machine.node else {
            return;
        };
        if node.log_len() <= COMPACT_AFTER_ENTRIES && machine.log_bytes <= COMPACT_AFTER_BYTES {
            return;
        }
        let state = vec![machine.applied_index as u8; state_bytes];
        if let Some(snapshot) = node.compact(machine.applied_index, state) {
            machine.log_bytes = 0;
            machine.write(synced_at, Write::Compact(snapshot));
        }
    }

    fn send(&mut self, from: NodeId, message: Message) {
        let bytes = message_bytes(&message);
        self.sent_messages += 1;
        *self.sent_bytes.entry(message.to).or_default() += bytes;
        let link = self.links.get_mut(&(from, message.to)).expect("a link");
        let transmission_us = bytes * 8_000_000 / link.bits_per_s;
        link.free_at_us = link.free_at_us.max(self.now * 1000) + transmission_us;
        let jitter_ms = self.rng.rand_range(0..self.jitter_ms + 1);
        let arrives_at = link.free_at_us / 1000 + LATENCY_MS + jitter_ms;
        let position = link.in_flight.partition_point(|(at, _)| *at <= arrives_at);
        link.in_flight.insert(position, (arrives_at, message));
    }

    /// Checks that the leader of the latest term has all acknowledged entries.
    fn check_leaders(&self) {
        let nodes = || self.machines.values().filter_map(|m| m.node.as_ref());
        let latest_term = nodes().map(|n| n.status().term).max().unwrap_or(0);
        for status in nodes().map(RaftNode::status) {
            if status.role == Role::Leader && status.term == latest_term {
                assert!(
                    status.last_log_index >= self.acknowledged,
                    "the leader lacks acknowledged entries up to {}: {status:?}",
                    self.acknowledged
                );
            }
        }
    }

    /// Advances time by `duration_ms` and proposes a change every `change_interval_ms`.
    fn run(&mut self, duration_ms: u64, change_interval_ms: u64) {
        let end = self.now + duration_ms;
        while self.now < end {
            self.step();
            if self.now.is_multiple_of(change_interval_ms) {
                self.propose(self.change_bytes);
            }
        }
    }

    fn status(&self, id: NodeId) -> Status {
        self.machines[&id]
            .node
            .as_ref()
            .expect("the machine is up")
            .status()
    }

    fn applied_index(&self, id: NodeId) -> u64 {
        self.machines[&id].applied_index
    }

    /// Returns the highest index that all members have applied.
    fn min_applied_index(&self) -> u64 {
        let applied = self.machines.values().map(|m| m.applied_index);
        applied.min().expect("members")
    }

    /// Returns the latest time at which the leader is confirmed to have led.
    fn leadership_confirmed_at(&self, leader: NodeId) -> Option<u64> {
        let node = self.machines[&leader].node.as_ref()?;
        node.leadership_confirmed_at()
    }

    fn assert_leader_unchanged(&self, leader: NodeId, term: u64, case: &str) {
        assert_eq!(
            (self.leader(), self.status(leader).term),
            (Some(leader), term),
            "{case}"
        );
    }

    /// Asserts that the leadership was confirmed within the last election timeout.
    fn assert_leadership_confirmed(&self, leader: NodeId, case: &str) {
        let confirmed_at = self.leadership_confirmed_at(leader);
        assert!(
            confirmed_at >= Some(self.now - TIMING.election_timeout_ms),
            "{case}: {confirmed_at:?}"
        );
    }

    /// Returns how long a member takes to apply all but the last two committed entries, which may
    /// be in flight, while changes continue. Panics if it takes longer than `max_ms`.
    fn time_to_catch_up(&mut self, id: NodeId, max_ms: u64) -> u64 {
        let begin = self.now;
        loop {
            self.run(TICK_MS, 200);
            let leader = self.leader().expect("a leader");
            if self.applied_index(id) + 2 >= self.status(leader).commit_index {
                return self.now - begin;
            }
            assert!(
                self.now < begin + max_ms,
                "not caught up after {max_ms} ms: {:?}",
                self.status(id)
            );
        }
    }
}

/// A cluster of three members, one of which is down and has missed changes.
struct OneBehind {
    cluster: Cluster,
    leader: NodeId,
    behind: NodeId,
}

fn with_one_behind(state_bytes: usize, missed_changes: u64) -> OneBehind {
    let mut cluster = Cluster::new(state_bytes);
    cluster.run(5000, 200);
    let leader = cluster.leader().expect("a leader");
    let behind = (1..=MEMBERS).find(|id| *id != leader).expect("another");
    cluster.stop(behind);
    let missed = cluster.status(leader).last_log_index + missed_changes;
    while cluster.status(leader).commit_index < missed {
        cluster.run(STEP_MS, STEP_MS);
    }
    OneBehind {
        cluster,
        leader,
        behind,
    }
}

/// Returns the documented upper bound on the catch-up time: two seconds plus 1.5 times the
/// transmission time of the snapshot, a log of the length at which it is compacted, and the entries
/// that are retained along with a snapshot.
fn documented_max_ms(state_bytes: usize, bits_per_s: u64) -> u64 {
    let entries_bytes = COMPACT_AFTER_ENTRIES * (CHANGE_BYTES + 40) + (64 << 10);
    2000 + (state_bytes + entries_bytes) as u64 * 8 * 1500 / bits_per_s
}

#[test]
fn catch_up_within_the_documented_time() {
    for state_bytes in [SMALL_STATE_BYTES, LARGE_STATE_BYTES] {
        for changes in [5, 500, 5000] {
            let OneBehind {
                mut cluster,
                leader,
                behind,
            } = with_one_behind(state_bytes, changes);
            let term = cluster.status(leader).term;
            for megabits_per_s in [1, 2, 100] {
                let bits_per_s = megabits_per_s * 1_000_000;
                let case =
                    format!("{state_bytes} bytes, {changes} changes, {megabits_per_s} Mbit/s");
                let stored = cluster.machines[&behind].stored.clone();
                cluster.limit_bandwidth(behind, bits_per_s);
                cluster.start(behind);
                let max_ms = documented_max_ms(state_bytes, bits_per_s);
                let took_ms = cluster.time_to_catch_up(behind, max_ms);
                cluster.run(3000, 200);
                cluster.assert_leader_unchanged(leader, term, &case);
                let gap_ms = cluster.machines[&behind].max_heartbeat_gap_ms;
                assert!(
                    gap_ms < TIMING.election_timeout_ms,
                    "{case}: no heartbeat for {gap_ms} ms"
                );
                println!("{case}: {took_ms} ms, longest heartbeat gap {gap_ms} ms");
                cluster.assert_leadership_confirmed(leader, &case);
                // The next link speed starts from the same disk state.
                cluster.stop(behind);
                cluster.machine(behind).stored = stored;
            }
        }
    }
}

#[test]
fn transfer_resumes_after_a_reset() {
    let OneBehind {
        mut cluster,
        leader,
        behind,
        ..
    } = with_one_behind(LARGE_STATE_BYTES, 1200);
    cluster.limit_bandwidth(behind, 1_000_000);
    cluster.start(behind);
    cluster.sent_bytes.clear();
    let begin = cluster.now;
    // The transfer takes about four seconds, longer than any connection lasts.
    while cluster.applied_index(behind) + 2 < cluster.status(leader).commit_index {
        cluster.run(2500, 200);
        cluster.reset_connections(behind);
        assert!(
            cluster.now < begin + 30_000,
            "the transfer does not complete"
        );
    }
    let sent_bytes = cluster.sent_bytes[&behind];
    assert!(
        sent_bytes < 2 * LARGE_STATE_BYTES as u64,
        "{sent_bytes} bytes sent for a state of {LARGE_STATE_BYTES}"
    );
}

#[test]
fn large_entry_delays_no_heartbeat_or_read() {
    let mut cluster = Cluster::new(LARGE_STATE_BYTES);
    cluster.run(3000, 200);
    let leader = cluster.leader().expect("a leader");
    let term = cluster.status(leader).term;
    (1..=MEMBERS).for_each(|id| cluster.limit_bandwidth(id, 1_000_000));
    cluster.propose(LARGE_STATE_BYTES);
    let index = cluster.status(leader).last_log_index;
    let mut max_age_ms = 0;
    while cluster.acknowledged < index {
        cluster.run(STEP_MS, 200);
        assert!(cluster.now < 20_000, "{:?}", cluster.status(leader));
        let confirmed_at = cluster.leadership_confirmed_at(leader).unwrap_or(0);
        max_age_ms = max_age_ms.max(cluster.now - confirmed_at);
    }
    cluster.run(2000, 200);
    cluster.assert_leader_unchanged(leader, term, "after a large entry");
    println!("leadership was last confirmed at most {max_age_ms} ms earlier");
    assert!(
        max_age_ms < TIMING.election_timeout_ms,
        "leadership was last confirmed {max_age_ms} ms earlier"
    );
    let min_applied = cluster.min_applied_index();
    assert!(
        min_applied >= index,
        "a member has applied only {min_applied} of {index}"
    );
}

#[test]
fn slow_member_learns_commit_index_at_once() {
    let mut waits = Vec::new();
    for offset in 0..5 {
        let mut cluster = Cluster::new(LARGE_STATE_BYTES);
        cluster.run(3000 + 70 * offset, u64::MAX);
        let leader = cluster.leader().expect("a leader");
        let late = (1..=MEMBERS).find(|id| *id != leader).expect("another");
        cluster.limit_bandwidth(late, 1_000_000);
        // The entry for the slow member is already in flight when the other members commit it.
        cluster.propose(50_000);
        let index = cluster.status(leader).last_log_index;
        let run_until = |cluster: &mut Cluster, is_reached: fn(&Cluster, NodeId, u64) -> bool| {
            while !is_reached(cluster, late, index) {
                cluster.run(STEP_MS, u64::MAX);
                assert!(cluster.now < 10_000, "{:?}", cluster.status(late));
            }
            cluster.now
        };
        let received_at = run_until(&mut cluster, |cluster, late, index| {
            cluster.status(late).last_log_index >= index
        });
        assert!(
            cluster.acknowledged >= index,
            "the other members committed the entry first"
        );
        let applied_at = run_until(&mut cluster, |cluster, late, index| {
            cluster.applied_index(late) >= index
        });
        waits.push(applied_at - received_at);
    }
    // One sync and one round trip, plus rounding to time steps.
    let max_ms = SYNC_MS + 2 * LATENCY_MS + 4 * STEP_MS;
    assert!(waits.iter().all(|wait| *wait <= max_ms), "{waits:?} ms");
}

#[test]
fn leader_elected_during_catch_up_has_all_committed() {
    for seed in 0..12 {
        // With 300 missed changes the member catches up by entries, with 1200 by a snapshot.
        let OneBehind {
            mut cluster,
            behind,
            ..
        } = with_one_behind(LARGE_STATE_BYTES, 300 + 900 * (seed % 2));
        cluster.limit_bandwidth(behind, 2_000_000);
        cluster.starts += 100 * seed;
        cluster.start(behind);
        for crash in 0..6 {
            cluster.run(400 + 170 * seed + 90 * crash, 50);
            // Stops the member in the middle of a transfer or write, the leader for longer than an
            // election takes, or both at once.
            let leader = cluster.leader().filter(|_| crash % 3 != 0);
            let member = (crash % 2 == 0).then_some(behind);
            let stopped: Vec<NodeId> = leader.into_iter().chain(member).collect();
            stopped.iter().for_each(|id| cluster.stop(*id));
            let down_ms = if stopped.contains(&behind) {
                200
            } else {
                3 * TIMING.election_timeout_ms
            };
            cluster.run(down_ms, 50);
            stopped.iter().for_each(|id| cluster.start(*id));
        }
        cluster.limit_bandwidth(behind, FAST_BITS_PER_S);
        cluster.run(8000, 200);
        let leader = cluster.leader().expect("a leader");
        let min_applied = cluster.min_applied_index();
        assert!(
            min_applied >= cluster.status(leader).commit_index - 2,
            "seed {seed}: {min_applied}"
        );
    }
}

#[test]
fn diverged_log_is_repaired_in_few_round_trips() {
    let mut cluster = Cluster::new(SMALL_STATE_BYTES);
    cluster.run(3000, 200);
    let old_leader = cluster.leader().expect("a leader");
    // The old leader appends entries that it cannot commit without the other members.
    let others: Vec<NodeId> = (1..=MEMBERS).filter(|id| *id != old_leader).collect();
    others.iter().for_each(|id| cluster.stop(*id));
    (0..200).for_each(|_| cluster.propose(CHANGE_BYTES));
    cluster.run(1500, 5000);
    let isolated = cluster.machine(old_leader).node.take();
    others.iter().for_each(|id| cluster.start(*id));
    // Leader crashes spread the entries that follow over several terms.
    for _ in 0..4 {
        cluster.run(3000, 100);
        let leader = cluster.leader().expect("another leader");
        cluster.stop(leader);
        cluster.run(100, 100);
        cluster.start(leader);
    }
    cluster.run(4000, 100);
    assert_ne!(cluster.leader(), Some(old_leader));
    cluster.machine(old_leader).node = isolated;
    assert!(
        cluster.status(old_leader).last_log_index > 200
            && cluster.acknowledged < COMPACT_AFTER_ENTRIES as u64,
        "the diverged log must be repaired by entries, not by a snapshot"
    );
    // Allows for the next heartbeat and a few round trips of 60 ms.
    let took_ms = cluster.time_to_catch_up(old_leader, 1000);
    println!("{took_ms} ms");
}

#[test]
fn stalled_disks_keep_the_leader_and_acknowledge_nothing() {
    let mut cluster = Cluster::new(SMALL_STATE_BYTES);
    cluster.run(3000, 200);
    let leader = cluster.leader().expect("a leader");
    let (term, before) = (cluster.status(leader).term, cluster.acknowledged);
    cluster.stalled_disks = (1..=MEMBERS).filter(|id| *id != leader).collect();
    cluster.run(4000, 200);
    assert!(
        cluster.acknowledged <= before + 1,
        "acknowledged index rose from {before} to {} without a synced majority",
        cluster.acknowledged
    );
    cluster.assert_leader_unchanged(leader, term, "with stalled disks");
    cluster.assert_leadership_confirmed(leader, "with stalled disks");
    cluster.stalled_disks.clear();
    cluster.run(1000, 200);
    assert!(cluster.acknowledged > before + 15, "commits do not resume");
    // While the leader's disk stalls, the other members commit, and the entries that wait for the
    // disk are bounded.
    let (before, index) = (cluster.acknowledged, cluster.status(leader).last_log_index);
    cluster.stalled_disks.push(leader);
    for _ in 0..100 {
        cluster.propose(LARGE_STATE_BYTES);
        cluster.run(100, u64::MAX);
    }
    let accepted = cluster.status(leader).last_log_index - index;
    assert_eq!(cluster.leader(), Some(leader));
    assert!(
        cluster.acknowledged >= before + 10 && accepted < 30,
        "{accepted} of 100 proposals were accepted"
    );
}

#[test]
fn member_that_lost_synced_entries_catches_up() {
    // The leader used to resend nothing below the index that a member had acknowledged, even if the
    // member had lost those entries since.
    for kept_entries in [0, 20] {
        let OneBehind {
            mut cluster,
            leader,
            behind,
            ..
        } = with_one_behind(SMALL_STATE_BYTES, 5);
        cluster.start(behind);
        cluster.run(2000, 200);
        cluster.stop(behind);
        cluster
            .machine(behind)
            .stored
            .entries
            .truncate(kept_entries);
        cluster.start(behind);
        cluster.time_to_catch_up(behind, 2000);
        assert_eq!(cluster.leader(), Some(leader));
    }
}

#[test]
fn new_snapshot_does_not_restart_a_running_transfer() {
    let OneBehind {
        mut cluster,
        behind,
        ..
    } = with_one_behind(LARGE_STATE_BYTES, 1200);
    cluster.limit_bandwidth(behind, 2_000_000);
    cluster.start(behind);
    cluster.sent_bytes.clear();
    // At 200 changes per second a snapshot is made every 1.3 seconds, and the transfer of one takes
    // twice as long.
    cluster.change_bytes = 60;
    let begin = cluster.now;
    while cluster.applied_index(behind) + 40 < cluster.acknowledged {
        cluster.run(TICK_MS, STEP_MS);
        assert!(
            cluster.now < begin + 6000,
            "{:?} {}",
            cluster.status(behind),
            cluster.acknowledged
        );
    }
    let sent_bytes = cluster.sent_bytes[&behind];
    assert!(
        sent_bytes < 2 * LARGE_STATE_BYTES as u64,
        "{sent_bytes} bytes sent: the snapshot was transferred twice"
    );
    println!(
        "{} ms, {} bytes",
        cluster.now - begin,
        cluster.sent_bytes[&behind]
    );
}

/// Traffic between regions is billed, so the number of messages is bounded: one request and one
/// response per follower and heartbeat when idle, and twice that for each change.
#[test]
fn message_count_when_idle_and_per_change() {
    for (change_interval_ms, changes) in [(u64::MAX, 0), (1000, 30)] {
        let mut cluster = Cluster::new(SMALL_STATE_BYTES);
        cluster.run(3000, 200);
        cluster.run(1000, u64::MAX);
        cluster.sent_messages = 0;
        cluster.run(30_000, change_interval_ms);
        let heartbeats = 30_000 / TIMING.heartbeat_interval_ms;
        let max = 2 * (MEMBERS - 1) * (heartbeats + 2 * changes);
        assert!(
            cluster.sent_messages <= max,
            "{} messages sent, at most {max} expected",
            cluster.sent_messages
        );
        println!("{} messages", cluster.sent_messages);
    }
}

#[test]
fn reordered_chunks_neither_stall_nor_multiply() {
    // Chunks that arrived out of order used to be dropped, and each overtaken response made the
    // leader resend everything in flight.
    for seed in 0..20 {
        let OneBehind {
            mut cluster,
            leader,
            behind,
            ..
        } = with_one_behind(LARGE_STATE_BYTES, 500);
        cluster.run(100, 200);
        (cluster.jitter_ms, cluster.rng) = (150, Rand64::new(seed));
        cluster.start(behind);
        let (before, begin) = (cluster.sent_bytes[&behind], cluster.now);
        let took_ms = cluster.time_to_catch_up(behind, 10_000);
        // An entry that is large enough to be sent in chunks.
        let index = cluster.status(leader).last_log_index + 1;
        cluster.propose(LARGE_STATE_BYTES);
        while cluster.status(leader).commit_index < index {
            cluster.run(STEP_MS, 200);
            assert!(
                cluster.now < begin + 15_000,
                "seed {seed}: the entry is not committed"
            );
        }
        let sent_bytes = cluster.sent_bytes[&behind] - before;
        assert!(took_ms < 8_000, "seed {seed}: caught up after {took_ms} ms");
        assert!(
            sent_bytes < 4 * LARGE_STATE_BYTES as u64,
            "seed {seed}: {sent_bytes} bytes sent"
        );
        assert_eq!(cluster.leader(), Some(leader), "seed {seed}");
    }
}
