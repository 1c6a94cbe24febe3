//! Generated schedules against the planner: upstreams that crash, come back, drain and start slowly; leaders that
//! change, and superseded ones that go on for a while; calls and responses that are lost or late. After each step no
//! key has two live holders; once all is quiet every key has one, and upstreams have equal load.
//!
//! Upstreams and leaders also stand still, for longer than any lease, and go on in the middle of what they did: an
//! upstream ends a write that it began under a lease which has run out since, a leader ends sending a call that nobody
//! expects any more. Against that no clock helps: a write carries the fencing token of its lease, and what is written
//! to refuses a token below one that it has seen.

mod calls;
mod upstream;
mod world;
mod writes;

use std::collections::BTreeMap;
use std::panic;

use placement::{KeyLoad, Timing};
use protocol::key_load::BucketLoad;
use protocol::key_ranges::{KeyRange, Ownership};

use crate::world::{TIMING, World, heavy_load};

/// Whether any of the schedules fails.
fn any_fails(play: impl Fn(u64) + panic::RefUnwindSafe) -> bool {
    let hook = panic::take_hook();
    panic::set_hook(Box::new(|_| {}));
    let fails = (0..48).any(|seed| panic::catch_unwind(|| play(seed)).is_err());
    panic::set_hook(hook);
    fails
}

#[test]
fn no_key_has_two_holders_and_finally_each_has_one() {
    for seed in 0..48 {
        let mut world = World::play(seed, TIMING, 400);
        world.run_quietly(300);
        let mut keys_by_upstream: BTreeMap<String, usize> = BTreeMap::new();
        let mut keys = 0;
        for (id, upstream) in world.upstreams.iter().filter(|(_, u)| u.is_up) {
            for (first, lease) in upstream.valid_leases(world.now) {
                let leased = usize::from(lease.last - first) + 1;
                keys += leased;
                *keys_by_upstream.entry(id.clone()).or_default() += leased;
            }
        }
        assert_eq!(keys, 1 << 16, "seed {seed}: some keys are held by nobody");
        let candidates = world.candidates().into_iter().filter(|c| c.accepts_keys);
        let counts: Vec<usize> = candidates
            .map(|c| keys_by_upstream.get(&c.holder.id).copied().unwrap_or(0))
            .collect();
        let mean = keys / counts.len();
        let is_fair = |n: &usize| (mean / 2 - 2..=mean * 3 / 2 + 2).contains(n);
        assert!(counts.iter().all(is_fair), "seed {seed}: {counts:?}");
    }
}

/// Upstreams at which hardly any request waits keep their keys, however uneven their load; new ones get some once there
/// is enough load.
#[test]
fn light_load_is_not_rebalanced() {
    let mut world = World::new(5, TIMING);
    world.key_load = KeyLoad::default();
    world.run_quietly(300);
    let leases = |world: &World| -> Vec<usize> {
        let upstreams = world.upstreams.values();
        upstreams
            .map(|u| u.valid_leases(world.now).count())
            .collect()
    };
    assert!(
        leases(&world).iter().all(|n| *n > 0),
        "{:?}",
        leases(&world)
    );
    let before = world.ranges.clone();
    world.add_upstream(0);
    let few: Vec<BucketLoad> = (0..100)
        .map(|bucket| BucketLoad { bucket, units: 8 })
        .collect();
    world.key_load.record(&few);
    world.key_load.refresh(0);
    world.run_quietly(300);
    assert_eq!(world.ranges, before, "it was rebalanced");
    world.key_load = heavy_load();
    world.run_quietly(300);
    assert!(leases(&world)[8] > 0, "{:?}", leases(&world));
}

/// What the waits are for: without them some schedule has two holders.
#[test]
fn waits_for_calls_in_flight_are_needed() {
    let timing = Timing {
        leader_staleness_ms: 0,
        call_timeout_ms: 0,
        ..TIMING
    };
    assert!(
        any_fails(|seed| drop(World::play(seed, timing, 400))),
        "calls that may be on their way are not waited for"
    );
}

/// Upstreams that go on in the middle of a write after their lease has run out, and leaders that end sending a grant
/// that nobody expects: only the fencing token keeps the older one out.
#[test]
fn fencing_tokens_keep_out_stale_holders() {
    let (mut rejected, mut late) = (0, 0);
    for seed in 0..48 {
        let world = World::play(seed, TIMING, 400);
        rejected += world.rejected_writes;
        late += world.late_calls;
    }
    println!("{rejected} writes rejected, {late} calls came late");
    assert!(
        rejected > 10 && late > 100,
        "{rejected} rejected, {late} calls came late"
    );
    let fails_with = |change: fn(&mut World)| {
        any_fails(|seed| {
            let mut world = World::new(seed, TIMING);
            change(&mut world);
            world.run_with_faults(400);
        })
    };
    assert!(
        fails_with(|world| world.checks_write_tokens = false),
        "without tokens on writes nothing is overwritten by an older holder"
    );
    assert!(
        fails_with(|world| world.checks_grant_tokens = false),
        "without tokens on grants no key has two holders"
    );
}

#[test]
fn drained_upstream_hands_off_and_partitioned_one_is_waited_for() {
    let mut world = World::new(7, TIMING);
    world.run_quietly(30);
    let drained = "i-1".to_string();
    world
        .upstreams
        .get_mut(&drained)
        .expect("there")
        .is_draining = true;
    world.run_quietly(30);
    let owned = |world: &World, id: &str| {
        world
            .ranges
            .iter()
            .filter(|(_, r)| r.ownership.holder().is_some_and(|h| h.id == id))
            .count()
    };
    assert_eq!(owned(&world, &drained), 0, "a release is answered at once");
    let has_handoff = |r: &KeyRange| matches!(&r.ownership, Ownership::Assigned(_, Some(_)));
    let with_handoff = world.ranges.iter().filter(|(_, r)| has_handoff(r));
    assert!(with_handoff.count() >= 2, "with its handoff");
    // Partitioned, and still listed: its leases have to run out.
    world
        .upstreams
        .get_mut("i-2")
        .expect("there")
        .partitioned_until = u64::MAX;
    let before = world.now;
    while owned(&world, "i-2") > 0 {
        world.run_quietly(1);
        assert!(
            world.now < before + 2 * (TIMING.lease_ms + TIMING.call_timeout_ms),
            "for ever"
        );
    }
    assert!(world.now > before + TIMING.lease_ms - TIMING.lease_ms / 4);
}
