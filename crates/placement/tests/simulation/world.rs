//! The simulated world: upstreams, leaders with their planners, the replicated ranges, and faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use oorandom::Rand64;
use placement::{Candidate, KeyLoad, Plan, Planner, Timing};
use protocol::key_load::{BucketLoad, KEYS_PER_BUCKET};
use protocol::key_ranges::{KeyRangeChange, KeyRangeMap, LeaseHolder};

use crate::calls::CallInFlight;
use crate::upstream::Upstream;
use crate::writes::Write;

pub(crate) const STEP_MS: u64 = 10;
pub(crate) const TIMING: Timing = Timing {
    lease_ms: 400,
    call_timeout_ms: 80,
    leader_staleness_ms: 100,
    retry_interval_ms: 30,
    stabilization_ms: 100,
};

pub(crate) struct Leader {
    pub(crate) planner: Planner,
    /// Set if another leader was elected and this one does not know: the ranges that it last saw, on which it bases its
    /// decisions.
    stale_ranges: Option<KeyRangeMap>,
    confirmed_at: u64,
    /// It is paused until this time, while its clock continues.
    frozen_until: u64,
}

pub(crate) struct World {
    pub(crate) rng: Rand64,
    pub(crate) now: u64,
    /// The replicated key ranges.
    pub(crate) ranges: KeyRangeMap,
    index: u64,
    pub(crate) upstreams: BTreeMap<String, Upstream>,
    upstreams_added: usize,
    /// Leaders by term. Superseded leaders continue for a while.
    pub(crate) leaders: BTreeMap<usize, Leader>,
    term: usize,
    pub(crate) calls: Vec<CallInFlight>,
    timing: Timing,
    pub(crate) key_load: KeyLoad,
    pub(crate) writes: Vec<Write>,
    /// Highest fencing token with which each key was written.
    pub(crate) written_tokens: BTreeMap<u16, u64>,
    /// Whether upstreams reject grants with lower tokens than they have seen.
    pub(crate) checks_grant_tokens: bool,
    /// Whether the store rejects writes with lower tokens than it has seen.
    pub(crate) checks_write_tokens: bool,
    pub(crate) rejected_writes: u64,
    /// Number of calls that arrived after a pause of their leader.
    pub(crate) late_calls: u64,
}

/// Returns equal load on all keys, as much as eight upstreams can handle.
pub(crate) fn heavy_load() -> KeyLoad {
    let buckets = 0..(1 << 16) / u32::from(KEYS_PER_BUCKET);
    let loads: Vec<BucketLoad> = buckets
        .map(|bucket| BucketLoad {
            bucket: bucket as u16,
            units: 4,
        })
        .collect();
    let mut key_load = KeyLoad::default();
    key_load.record(&loads);
    key_load.refresh(0);
    key_load
}

impl World {
    /// Creates a world with eight upstreams and a leader.
    pub(crate) fn new(seed: u64, timing: Timing) -> Self {
        let mut world = Self {
            rng: Rand64::new(u128::from(seed)),
            now: 1000,
            ranges: KeyRangeMap::default(),
            index: 0,
            upstreams: BTreeMap::new(),
            upstreams_added: 0,
            leaders: BTreeMap::new(),
            term: 0,
            calls: Vec::new(),
            timing,
            key_load: heavy_load(),
            writes: Vec::new(),
            written_tokens: BTreeMap::new(),
            checks_grant_tokens: true,
            checks_write_tokens: true,
            rejected_writes: 0,
            late_calls: 0,
        };
        (0..8).for_each(|_| world.add_upstream(0));
        world.elect_leader();
        world
    }

    /// Runs the schedule with this seed, with faults.
    pub(crate) fn run_schedule(seed: u64, timing: Timing, steps: usize) -> Self {
        let mut world = Self::new(seed, timing);
        world.run_with_faults(steps);
        world
    }

    pub(crate) fn run_with_faults(&mut self, steps: usize) {
        (0..steps).for_each(|_| self.step(true));
    }

    pub(crate) fn run_without_faults(&mut self, steps: usize) {
        (0..steps).for_each(|_| self.step(false));
    }

    pub(crate) fn chance(&mut self, one_in: u64) -> bool {
        self.rng.rand_range(0..one_in) == 0
    }

    pub(crate) fn add_upstream(&mut self, warming_until: u64) {
        self.upstreams_added += 1;
        let clock_drift = 1.0 + self.rng.rand_float() * 0.02;
        self.upstreams.insert(
            format!("i-{}", self.upstreams_added),
            Upstream::new(warming_until, clock_drift),
        );
    }

    /// Elects a new leader; the previous one does not know for a while.
    fn elect_leader(&mut self) {
        if let Some(before) = self.leaders.get_mut(&self.term) {
            before.stale_ranges = Some(self.ranges.clone());
        }
        self.term += 1;
        let leader = Leader {
            planner: Planner::new(self.now, self.timing),
            stale_ranges: None,
            confirmed_at: self.now,
            frozen_until: 0,
        };
        self.leaders.insert(self.term, leader);
    }

    pub(crate) fn candidates(&self) -> Vec<Candidate> {
        let up = self.upstreams.iter().filter(|(_, u)| u.is_up);
        up.map(|(id, u)| Candidate {
            holder: LeaseHolder {
                id: id.clone(),
                addr: SocketAddr::from(([10, 0, 0, 1], 80)),
            },
            slots: 4,
            draining: u.is_draining,
            accepts_keys: !u.is_draining && u.warming_until <= self.now,
        })
        .collect()
    }

    pub(crate) fn step(&mut self, with_faults: bool) {
        self.now += STEP_MS;
        if with_faults && self.chance(12) {
            self.inject_fault();
        }
        self.deliver_calls(with_faults);
        let candidates = self.candidates();
        let terms: Vec<usize> = self.leaders.keys().copied().collect();
        for term in terms {
            self.run_leader(term, &candidates, with_faults);
        }
        self.run_writes();
        self.assert_no_key_has_two_holders();
    }

    fn run_leader(&mut self, term: usize, candidates: &[Candidate], with_faults: bool) {
        let Some(leader) = self.leaders.get_mut(&term) else {
            return;
        };
        if leader.frozen_until > self.now {
            return;
        }
        let is_leading = leader.stale_ranges.is_none();
        if is_leading && self.rng.rand_range(0..3) == 0 {
            leader.confirmed_at = self.now;
        }
        let is_confirmed = self.now < leader.confirmed_at + TIMING.leader_staleness_ms;
        let max_calls = if is_confirmed { 16 } else { 0 };
        let ranges = leader.stale_ranges.as_ref().unwrap_or(&self.ranges);
        let Plan { changes, calls } =
            leader
                .planner
                .plan(self.now, max_calls, ranges, candidates, &self.key_load);
        if !is_leading && self.now > leader.confirmed_at + 2 * TIMING.leader_staleness_ms {
            self.leaders.remove(&term);
        }
        for call in calls {
            self.send(term, call, with_faults);
        }
        if is_leading {
            self.commit(&changes, with_faults);
        }
    }

    fn commit(&mut self, changes: &[KeyRangeChange], with_faults: bool) {
        // A proposal may be lost with its leader.
        if with_faults && self.chance(20) {
            return;
        }
        self.index += 1;
        for change in changes {
            self.ranges.apply(self.index, change);
        }
    }

    fn inject_fault(&mut self) {
        let n = self.upstreams.len() as u64;
        let index = self.rng.rand_range(0..n) as usize;
        let until = self.now + self.rng.rand_range(0..900);
        let warming_until = self.now + 300;
        let fault = self.rng.rand_range(0..8);
        let active = self
            .upstreams
            .values()
            .filter(|u| u.is_up && !u.is_draining);
        let can_drain = active.count() > 3;
        let Some(upstream) = self.upstreams.values_mut().nth(index) else {
            return;
        };
        match fault {
            0 => self.elect_leader(),
            1 => self.add_upstream(warming_until),
            2 => {
                // A crashed upstream is replaced by a new one.
                upstream.is_up = false;
                self.add_upstream(warming_until);
            }
            3 => upstream.is_draining |= can_drain,
            4 => upstream.partitioned_until = until,
            6 => self.freeze_leader(until + TIMING.lease_ms),
            7 => upstream.frozen_until = until + 2 * TIMING.lease_ms,
            _ => self.stop_drained_upstream(),
        }
    }

    /// Stops a draining upstream. Later calls to it report that its address is reused.
    fn stop_drained_upstream(&mut self) {
        let mut upstreams = self.upstreams.values_mut();
        if let Some(drained) = upstreams.find(|u| u.is_up && u.is_draining) {
            drained.is_up = false;
            drained.leases = BTreeMap::new();
        }
    }

    /// Pauses the leader and elects another one. About half of the calls that the paused leader was sending arrive
    /// after the pause.
    fn freeze_leader(&mut self, until: u64) {
        let frozen = self.term;
        if let Some(leader) = self.leaders.get_mut(&frozen) {
            leader.frozen_until = until;
        }
        for call in self.calls.iter_mut().filter(|c| c.leader == frozen) {
            if call.arrives_at.is_some() && self.rng.rand_range(0..2) == 0 {
                call.arrives_at = Some(until + STEP_MS);
                call.is_late = true;
                call.times_out_at = until + 2 * STEP_MS;
                call.response_at = None;
            }
        }
        self.elect_leader();
    }

    fn assert_no_key_has_two_holders(&self) {
        let mut held: Vec<(u16, u16, &str)> = Vec::new();
        for (id, upstream) in self.upstreams.iter().filter(|(_, u)| u.is_up) {
            let leases = upstream.valid_leases(self.now);
            let leases = leases.filter(|(_, lease)| !lease.is_late);
            held.extend(leases.map(|(first, lease)| (first, lease.last, id.as_str())));
        }
        held.sort_unstable();
        for pair in held.windows(2) {
            assert!(
                pair[0].1 < pair[1].0,
                "at {}: two holders of the same keys: {pair:?}",
                self.now
            );
        }
    }
}
