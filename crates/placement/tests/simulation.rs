//! Upstreams that crash, come back, drain and turn cold; leaders that change, and old ones that go on for a
//! while; calls and answers that are lost or late. After each step no key has two holders that are up; once all
//! is quiet, every key has one, and upstreams hold alike.
//!
//! Holders and leaders also stand still, for longer than any grant holds, and go on in the middle of what they
//! did: a holder ends a write that it began under a grant which has run out since, a leader ends sending a call
//! that nobody reckons with any more. Against that no clock helps: what a holder writes carries the fence of its
//! grant, and what is written to turns down a fence below one that it has seen.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use oorandom::Rand64;
use placement::{Candidate, KeyLoad, LeaseCall, LeaseCallOutcome, LeaseRequest, Planner, Timing};
use protocol::key_load::{BucketLoad, KEYS_PER_BUCKET};
use protocol::key_ranges::{KeyRangeChange, KeyRangeMap, LeaseHolder};

const STEP: u64 = 10;
const TIMING: Timing = Timing {
    lease_ms: 400,
    call_timeout_ms: 80,
    leader_staleness_ms: 100,
    retry_interval_ms: 30,
    stabilization_ms: 100,
};

/// A run of keys that an upstream was granted, until when, and under which fence it was seen last.
#[derive(Clone, Copy, Default)]
struct Hold {
    to: u16,
    until: u64,
    fence: u64,
    /// The grant came from a leader that had just stood still; the rules count it out.
    late: bool,
}

/// A write that a holder has begun, and when it lands.
struct Write {
    by: String,
    key: u16,
    fence: u64,
    lands: u64,
}

struct Upstream {
    up: bool,
    leaves: bool,
    cold_until: u64,
    holds: BTreeMap<u16, Hold>,
    /// Its clock runs so much slow.
    slow: f64,
    /// It gets nothing and says nothing.
    cut_until: u64,
    /// It stands still; its clock runs on.
    frozen_until: u64,
}

impl Upstream {
    fn over(&self, since: u16, to: u16) -> Vec<(u16, Hold)> {
        let over = |(s, h): (&u16, &Hold)| (*s <= to && h.to >= since).then_some((*s, *h));
        self.holds.iter().filter_map(over).collect()
    }

    /// The highest fence that was seen on any of these keys.
    fn seen(&self, since: u16, to: u16) -> u64 {
        self.over(since, to)
            .iter()
            .map(|(_, h)| h.fence)
            .max()
            .unwrap_or(0)
    }

    /// What it holds of these keys is this from now on; the rest of what they were part of stays.
    fn set(&mut self, since: u16, hold: Hold) {
        for (at, old) in self.over(since, hold.to) {
            self.holds.remove(&at);
            if at < since {
                self.holds.insert(
                    at,
                    Hold {
                        to: since - 1,
                        ..old
                    },
                );
            }
            if old.to > hold.to {
                self.holds.insert(hold.to + 1, old);
            }
        }
        self.holds.insert(since, hold);
    }
}

struct Leader {
    planner: Planner,
    /// It does not know that another one leads, and decides on what it last knew.
    stale: Option<KeyRangeMap>,
    confirmed: u64,
    /// It stands still; its clock runs on.
    frozen_until: u64,
}

/// A call on its way: when it arrives (if ever) and when its answer does (if ever), and when it is given up.
struct Way {
    by: usize,
    call: LeaseCall,
    arrives: Option<u64>,
    answers: Option<u64>,
    given_up: u64,
    answer: Option<LeaseCallOutcome>,
    /// Its sender stood still in the middle of sending it.
    late: bool,
}

struct World {
    rng: Rand64,
    now: u64,
    slices: KeyRangeMap,
    index: u64,
    upstreams: BTreeMap<String, Upstream>,
    next_id: usize,
    leaders: BTreeMap<usize, Leader>,
    leads: usize,
    ways: Vec<Way>,
    timing: Timing,
    work: KeyLoad,
    writes: Vec<Write>,
    /// The highest fence under which each key was written.
    written: BTreeMap<u16, u64>,
    /// Whether upstreams turn down grants under lower fences than they have seen, and what is written to such
    /// writes; how many of those it did.
    fenced_grants: bool,
    fenced: bool,
    turned_down: u64,
    /// How many grants came late.
    late: u64,
}

/// Work alike on all keys, as much as eight upstreams can bear.
fn busy() -> KeyLoad {
    let mut work = KeyLoad::default();
    let loads: Vec<BucketLoad> = (0..(1 << 16) / u32::from(KEYS_PER_BUCKET))
        .map(|bucket| BucketLoad {
            bucket: bucket as u16,
            units: 4,
        })
        .collect();
    work.record(&loads);
    work.refresh(0);
    work
}

impl World {
    fn new(seed: u64, timing: Timing) -> Self {
        let mut world = Self {
            rng: Rand64::new(u128::from(seed)),
            now: 1000,
            slices: KeyRangeMap::default(),
            index: 0,
            upstreams: BTreeMap::new(),
            next_id: 0,
            leaders: BTreeMap::new(),
            leads: 0,
            ways: Vec::new(),
            timing,
            work: busy(),
            writes: Vec::new(),
            written: BTreeMap::new(),
            fenced_grants: true,
            fenced: true,
            turned_down: 0,
            late: 0,
        };
        (0..8).for_each(|_| world.add(0));
        world.lead();
        world
    }

    fn chance(&mut self, one_in: u64) -> bool {
        self.rng.rand_range(0..one_in) == 0
    }

    fn add(&mut self, cold_until: u64) {
        self.next_id += 1;
        let slow = 1.0 + self.rng.rand_float() * 0.02;
        let upstream = Upstream {
            up: true,
            leaves: false,
            cold_until,
            holds: BTreeMap::new(),
            slow,
            cut_until: 0,
            frozen_until: 0,
        };
        self.upstreams
            .insert(format!("i-{}", self.next_id), upstream);
    }

    /// Another one leads; the one before does not know for a while.
    fn lead(&mut self) {
        if let Some(before) = self.leaders.get_mut(&self.leads) {
            before.stale = Some(self.slices.clone());
        }
        self.leads += 1;
        let planner = Planner::new(self.now, self.timing);
        let leader = Leader {
            planner,
            stale: None,
            confirmed: self.now,
            frozen_until: 0,
        };
        self.leaders.insert(self.leads, leader);
    }

    fn listed(&self) -> Vec<Candidate> {
        let up = self.upstreams.iter().filter(|(_, u)| u.up);
        up.map(|(id, u)| Candidate {
            holder: LeaseHolder {
                id: id.clone(),
                addr: SocketAddr::from(([10, 0, 0, 1], 80)),
            },
            slots: 4,
            draining: u.leaves,
            accepts_keys: !u.leaves && u.cold_until <= self.now,
        })
        .collect()
    }

    fn trouble(&mut self) {
        let n = self.upstreams.len() as u64;
        let pick = self.rng.rand_range(0..n) as usize;
        let cut_until = self.now + self.rng.rand_range(0..900);
        let now = self.now;
        match self.rng.rand_range(0..8) {
            0 => self.lead(),
            6 => self.freeze_leader(cut_until + TIMING.lease_ms),
            7 => {
                if let Some(u) = self.upstreams.values_mut().nth(pick) {
                    u.frozen_until = cut_until + 2 * TIMING.lease_ms;
                }
            }
            1 => self.add(now + 300),
            2 => {
                // A crash; another one comes in its place.
                if let Some(u) = self.upstreams.values_mut().nth(pick) {
                    u.up = false;
                }
                self.add(now + 300);
            }
            3 => {
                let spared = self
                    .upstreams
                    .values()
                    .filter(|u| u.up && !u.leaves)
                    .count()
                    > 3;
                if let Some(u) = self.upstreams.values_mut().nth(pick).filter(|_| spared) {
                    u.leaves = true;
                }
            }
            4 => {
                if let Some(u) = self.upstreams.values_mut().nth(pick) {
                    u.cut_until = cut_until;
                }
            }
            _ => {
                let left = self.upstreams.iter().find(|(_, u)| u.up && u.leaves);
                let left = left.map(|(id, _)| id.clone());
                if let Some(u) = left.and_then(|id| self.upstreams.get_mut(&id)) {
                    // It ends; its address says so.
                    (u.up, u.holds) = (false, BTreeMap::new());
                }
            }
        }
    }

    fn step(&mut self, trouble: bool) {
        self.now += STEP;
        if trouble && self.chance(12) {
            self.trouble();
        }
        self.deliver(trouble);
        let listed = self.listed();
        let ids: Vec<usize> = self.leaders.keys().copied().collect();
        for id in ids {
            let Some(leader) = self.leaders.get_mut(&id) else {
                continue;
            };
            if leader.frozen_until > self.now {
                continue;
            }
            if leader.stale.is_none() && self.rng.rand_range(0..3) == 0 {
                leader.confirmed = self.now;
            }
            let calls = if self.now < leader.confirmed + TIMING.leader_staleness_ms {
                16
            } else {
                0
            };
            let slices = leader.stale.as_ref().unwrap_or(&self.slices);
            let (changes, calls) = leader
                .planner
                .plan(self.now, calls, slices, &listed, &self.work);
            let leads = leader.stale.is_none();
            if leader.stale.is_some()
                && self.now > leader.confirmed + 2 * TIMING.leader_staleness_ms
            {
                self.leaders.remove(&id);
            }
            for call in calls {
                self.send(id, call, trouble);
            }
            if leads {
                self.commit(&changes, trouble);
            }
        }
        self.write();
        self.check();
    }

    /// Whoever holds a key may begin a write to it; what is due lands.
    fn write(&mut self) {
        // Few keys, so that different holders come to write the same.
        let key = (self.rng.rand_range(0..16) * 4000) as u16;
        let lands = self.now + self.rng.rand_range(0..20 * STEP);
        let now = self.now;
        let holds = |u: &Upstream| {
            let held = u.over(key, key).into_iter().find(|(_, h)| h.until > now);
            held.filter(|_| u.up && u.frozen_until <= now)
                .map(|(_, h)| h.fence)
        };
        let begun = self
            .upstreams
            .iter()
            .filter_map(|(id, u)| Some((id.clone(), holds(u)?)));
        let begun = begun.map(|(by, fence)| Write {
            by,
            key,
            fence,
            lands,
        });
        self.writes.extend(begun.collect::<Vec<_>>());
        let (due, rest): (Vec<Write>, Vec<Write>) = std::mem::take(&mut self.writes)
            .into_iter()
            .partition(|w| w.lands <= now);
        self.writes = rest;
        due.into_iter().for_each(|write| self.land(write));
    }

    fn land(&mut self, write: Write) {
        let Some(by) = self.upstreams.get(&write.by).filter(|u| u.up) else {
            return;
        };
        if by.frozen_until > self.now {
            // It goes on in the middle of it.
            return self.writes.push(Write {
                lands: by.frozen_until,
                ..write
            });
        }
        let seen = self.written.entry(write.key).or_default();
        if self.fenced && write.fence < *seen {
            self.turned_down += 1;
            return;
        }
        assert!(
            write.fence >= *seen,
            "{} wrote {} under {}, and {seen} had been seen",
            write.by,
            write.key,
            write.fence
        );
        *seen = write.fence;
    }

    /// A leader stands still for so long; what it was in the middle of sending arrives after that, and another one
    /// leads meanwhile.
    fn freeze_leader(&mut self, until: u64) {
        let frozen = self.leads;
        if let Some(leader) = self.leaders.get_mut(&frozen) {
            leader.frozen_until = until;
        }
        for way in self.ways.iter_mut().filter(|w| w.by == frozen) {
            if way.arrives.is_some() && self.rng.rand_range(0..2) == 0 {
                (way.arrives, way.late) = (Some(until + STEP), true);
                (way.given_up, way.answers) = (until + 2 * STEP, None);
            }
        }
        self.lead();
    }

    fn commit(&mut self, changes: &[KeyRangeChange], trouble: bool) {
        // A proposal may be lost with its leader.
        if trouble && self.chance(20) {
            return;
        }
        self.index += 1;
        for change in changes {
            self.slices.apply(self.index, change);
        }
    }

    fn send(&mut self, by: usize, call: LeaseCall, trouble: bool) {
        let lost = |w: &mut Self| trouble && w.chance(15);
        // In quiet times it is answered in time.
        let most = if trouble {
            TIMING.call_timeout_ms
        } else {
            TIMING.call_timeout_ms / 2
        };
        let arrives = self.now + self.rng.rand_range(0..most);
        let answers = arrives + self.rng.rand_range(0..most);
        let arrives = (!lost(self)).then_some(arrives);
        let answers = (!lost(self)).then_some(answers);
        let given_up = self.now + TIMING.call_timeout_ms;
        self.ways.push(Way {
            by,
            call,
            arrives,
            answers,
            given_up,
            answer: None,
            late: false,
        });
    }

    fn deliver(&mut self, trouble: bool) {
        let now = self.now;
        let mut rest = Vec::new();
        for mut way in std::mem::take(&mut self.ways) {
            let frozen = self
                .upstreams
                .get(&way.call.holder.id)
                .map_or(0, |u| u.frozen_until);
            if way.arrives.is_some_and(|at| at <= now) && frozen > now {
                // A call that was given up by then was reset: it is not read any more.
                way.arrives = (frozen <= way.given_up).then_some(frozen);
            } else if way.arrives.is_some_and(|at| at <= now) {
                way.arrives = None;
                self.late += u64::from(way.late);
                way.answer = self.arrive(&way.call, way.late);
                // A release is answered once the work has ended.
                let work = if trouble && way.call.request == LeaseRequest::Release {
                    120
                } else {
                    1
                };
                way.answers = way.answers.map(|at| at + self.rng.rand_range(0..work));
            }
            let done = way.answer.is_some() && way.answers.is_some_and(|at| at <= now);
            let patience = if way.call.request == LeaseRequest::Release {
                200
            } else {
                0
            };
            let answer = if done {
                way.answer.clone()
            } else {
                (now >= way.given_up + patience).then_some(LeaseCallOutcome::NoResponse)
            };
            match answer {
                Some(answer) => {
                    if let Some(leader) = self.leaders.get_mut(&way.by) {
                        leader.planner.on_call_completed(now, &way.call, answer);
                    }
                }
                None => rest.push(way),
            }
        }
        self.ways.extend(rest);
    }

    /// What an upstream does with a call.
    fn arrive(&mut self, call: &LeaseCall, late: bool) -> Option<LeaseCallOutcome> {
        let now = self.now;
        let u = self.upstreams.get_mut(&call.holder.id)?;
        if now < u.cut_until {
            return None;
        }
        if !u.up {
            return Some(LeaseCallOutcome::AddressReused);
        }
        let (since, to) = (call.first, call.last);
        match &call.request {
            LeaseRequest::Grant { .. }
                if self.fenced_grants && u.seen(since, to) > call.fencing_token =>
            {
                Some(LeaseCallOutcome::Fenced)
            }
            LeaseRequest::Grant { lease_ms: ms, .. } => {
                let until = now + (*ms as f64 * u.slow) as u64;
                u.set(
                    since,
                    Hold {
                        to,
                        until,
                        fence: call.fencing_token,
                        late,
                    },
                );
                Some(LeaseCallOutcome::Completed(None))
            }
            LeaseRequest::Release => {
                let fence = u.seen(since, to).max(call.fencing_token);
                u.set(
                    since,
                    Hold {
                        to,
                        until: 0,
                        fence,
                        late,
                    },
                );
                Some(LeaseCallOutcome::Completed(Some("handover".into())))
            }
        }
    }

    fn check(&self) {
        let mut held: Vec<(u16, u16, &str)> = Vec::new();
        for (id, u) in self.upstreams.iter().filter(|(_, u)| u.up) {
            let holds = u
                .holds
                .iter()
                .filter(|(_, h)| h.until > self.now && !h.late);
            held.extend(holds.map(|(since, h)| (*since, h.to, id.as_str())));
        }
        held.sort();
        for two in held.windows(2) {
            assert!(
                two[0].1 < two[1].0,
                "at {}: two hold the same keys: {two:?}",
                self.now
            );
        }
    }
}

fn play(seed: u64, timing: Timing, steps: usize) -> World {
    let mut world = World::new(seed, timing);
    (0..steps).for_each(|_| world.step(true));
    world
}

#[test]
fn no_key_has_two_holders_and_in_the_end_each_has_one() {
    for seed in 0..48 {
        let mut world = play(seed, TIMING, 400);
        (0..300).for_each(|_| world.step(false));
        let mut held: BTreeMap<String, usize> = BTreeMap::new();
        let mut keys = 0;
        for (id, u) in world.upstreams.iter().filter(|(_, u)| u.up) {
            for (since, hold) in u.holds.iter().filter(|(_, h)| h.until > world.now) {
                keys += usize::from(hold.to - since) + 1;
                *held.entry(id.clone()).or_default() += usize::from(hold.to - since) + 1;
            }
        }
        assert_eq!(keys, 1 << 16, "seed {seed}: some keys are held by nobody");
        let takes = world.listed().into_iter().filter(|l| l.accepts_keys);
        let counts: Vec<usize> = takes
            .map(|l| held.get(&l.holder.id).copied().unwrap_or(0))
            .collect();
        let mean = keys / counts.len();
        let fits = |n: &usize| (mean / 2 - 2..=mean * 3 / 2 + 2).contains(n);
        assert!(counts.iter().all(fits), "seed {seed}: {counts:?}");
    }
}

/// Upstreams that hardly anyone waits at are left alone, however uneven their work; new ones get some of it once
/// there is enough.
#[test]
fn keys_stay_where_they_are_while_upstreams_are_at_ease() {
    let mut world = World::new(5, TIMING);
    world.work = KeyLoad::default();
    (0..300).for_each(|_| world.step(false));
    let held = |world: &World| -> Vec<usize> {
        let of = |u: &Upstream| u.holds.values().filter(|h| h.until > world.now).count();
        world.upstreams.values().map(of).collect()
    };
    assert!(held(&world).iter().all(|n| *n > 0), "{:?}", held(&world));
    let before = world.slices.clone();
    world.add(0);
    let few: Vec<BucketLoad> = (0..100)
        .map(|bucket| BucketLoad { bucket, units: 8 })
        .collect();
    world.work.record(&few);
    world.work.refresh(0);
    (0..300).for_each(|_| world.step(false));
    assert_eq!(world.slices, before, "it was evened out");
    world.work = busy();
    (0..300).for_each(|_| world.step(false));
    assert!(held(&world)[8] > 0, "{:?}", held(&world));
}

/// What the waits are for: without either, some schedule has two holders.
#[test]
fn each_wait_is_needed() {
    let breaks = |timing: Timing| {
        let quiet = std::panic::take_hook();
        std::panic::set_hook(Box::new(|_| {}));
        let broken =
            (0..48).any(|seed| std::panic::catch_unwind(|| drop(play(seed, timing, 400))).is_err());
        std::panic::set_hook(quiet);
        broken
    };
    assert!(
        breaks(Timing {
            leader_staleness_ms: 0,
            call_timeout_ms: 0,
            ..TIMING
        }),
        "what may be on its way is not awaited"
    );
}

/// Holders that go on in the middle of a write after their grant has run out, and leaders that end sending a grant
/// that nobody reckons with: only the fence on the write keeps the older one out.
#[test]
fn a_fence_keeps_out_whoever_goes_on_with_what_was_begun_long_ago() {
    let (mut turned_down, mut late) = (0, 0);
    for seed in 0..48 {
        let world = play(seed, TIMING, 400);
        turned_down += world.turned_down;
        late += world.late;
    }
    println!("{turned_down} writes turned down, {late} calls came late");
    assert!(
        turned_down > 10 && late > 100,
        "{turned_down} turned down, {late} calls came late"
    );
    let quiet = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let unfenced = |set: fn(&mut World)| {
        let play = |seed| {
            let mut world = World::new(seed, TIMING);
            set(&mut world);
            (0..400).for_each(|_| world.step(true));
        };
        (0..48).any(|seed| std::panic::catch_unwind(|| play(seed)).is_err())
    };
    let writes = unfenced(|world| world.fenced = false);
    let grants = unfenced(|world| world.fenced_grants = false);
    std::panic::set_hook(quiet);
    assert!(
        writes,
        "without fences on writes nothing is written over by an older holder"
    );
    assert!(grants, "without fences on grants no key has two holders");
}

#[test]
fn a_drained_upstream_hands_over_and_a_crashed_one_is_waited_for() {
    let mut world = World::new(7, TIMING);
    (0..30).for_each(|_| world.step(false));
    let first = "i-1".to_string();
    world.upstreams.get_mut(&first).expect("there").leaves = true;
    (0..30).for_each(|_| world.step(false));
    let of = |world: &World, id: &str| {
        world
            .slices
            .iter()
            .filter(|(_, s)| s.ownership.holder().is_some_and(|h| h.id == id))
            .count()
    };
    assert_eq!(of(&world, &first), 0, "a release is answered at once");
    let handed = |s: &protocol::key_ranges::KeyRange| {
        matches!(
            &s.ownership,
            protocol::key_ranges::Ownership::Assigned(_, Some(_))
        )
    };
    assert!(
        world.slices.iter().filter(|(_, s)| handed(s)).count() >= 2,
        "with its handover"
    );
    // Cut off, and still listed: its grants have to run out.
    world.upstreams.get_mut("i-2").expect("there").cut_until = u64::MAX;
    let before = world.now;
    while of(&world, "i-2") > 0 {
        world.step(false);
        assert!(
            world.now < before + 2 * (TIMING.lease_ms + TIMING.call_timeout_ms),
            "for ever"
        );
    }
    assert!(world.now > before + TIMING.lease_ms - TIMING.lease_ms / 4);
}
