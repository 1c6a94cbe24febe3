//! Runs the planner on generated schedules. Upstreams crash, are replaced, drain and start slowly; leaders change, and
//! superseded ones continue for a while; calls and responses are lost or delayed. After each step no key has two live
//! holders. Once there are no more faults, every key has one, and upstreams have similar load.
//!
//! Upstreams and leaders are also paused, for longer than any lease, and then continue what they were doing: an
//! upstream completes a write that it began under a lease that has expired since, or a leader completes sending an
//! obsolete call. Lease expiry does not protect against that. Therefore each write carries the fencing token of its
//! lease, and the store rejects a token below the highest that it has seen.

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

/// Returns whether any of the schedules fails. Panic messages are suppressed.
fn any_fails(run_schedule: impl Fn(u64) + panic::RefUnwindSafe) -> bool {
    let hook = panic::take_hook();
    panic::set_hook(Box::new(|_| {}));
    let fails = (0..48).any(|seed| panic::catch_unwind(|| run_schedule(seed)).is_err());
    panic::set_hook(hook);
    fails
}

#[test]
fn no_key_has_two_holders_and_eventually_each_has_one() {
    for seed in 0..48 {
        let mut world = World::run_schedule(seed, TIMING, 400);
        world.run_without_faults(300);
        let mut keys_by_upstream: BTreeMap<String, usize> = BTreeMap::new();
        let mut keys = 0;
        for (id, upstream) in world.upstreams.iter().filter(|(_, u)| u.is_up) {
            for (first, lease) in upstream.valid_leases(world.now) {
                let leased = usize::from(lease.last - first) + 1;
                keys += leased;
                *keys_by_upstream.entry(id.clone()).or_default() += leased;
            }
        }
        assert_eq!(keys, 1 << 16, "seed {seed}: some keys have no holder");
        let candidates = world.candidates().into_iter().filter(|c| c.accepts_keys);
        let counts: Vec<usize> = candidates
            .map(|c| keys_by_upstream.get(&c.holder.id).copied().unwrap_or(0))
            .collect();
        let mean = keys / counts.len();
        let is_fair = |n: &usize| (mean / 2 - 2..=mean * 3 / 2 + 2).contains(n);
        assert!(counts.iter().all(is_fair), "seed {seed}: {counts:?}");
    }
}

/// Guards against needless moves: while load is light, upstreams keep their keys however uneven the load is. A new
/// upstream gets keys once there is enough load.
#[test]
fn light_load_is_not_rebalanced() {
    let mut world = World::new(5, TIMING);
    world.key_load = KeyLoad::default();
    world.run_without_faults(300);
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
    let light_load: Vec<BucketLoad> = (0..100)
        .map(|bucket| BucketLoad { bucket, units: 8 })
        .collect();
    world.key_load.record(&light_load);
    world.key_load.refresh(0);
    world.run_without_faults(300);
    assert_eq!(world.ranges, before, "light load was rebalanced");
    world.key_load = heavy_load();
    world.run_without_faults(300);
    assert!(leases(&world)[8] > 0, "{:?}", leases(&world));
}

/// Checks that the planner must wait for calls in flight: without the waits, some schedule has two holders of a key.
#[test]
fn waits_for_calls_in_flight_are_needed() {
    let timing = Timing {
        leader_staleness_ms: 0,
        call_timeout_ms: 0,
        ..TIMING
    };
    assert!(
        any_fails(|seed| drop(World::run_schedule(seed, timing, 400))),
        "no schedule needs the waits for calls in flight"
    );
}

/// Guards against paused processes: upstreams complete a write after their lease has expired, and leaders complete
/// sending an obsolete grant. Only fencing tokens protect against them, so without the checks some schedule fails.
#[test]
fn fencing_tokens_keep_out_stale_holders() {
    let (mut rejected, mut late) = (0, 0);
    for seed in 0..48 {
        let world = World::run_schedule(seed, TIMING, 400);
        rejected += world.rejected_writes;
        late += world.late_calls;
    }
    println!("{rejected} writes rejected, {late} calls delayed by a pause");
    assert!(
        rejected > 10 && late > 100,
        "{rejected} writes rejected, {late} calls delayed by a pause"
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
        "no schedule needs the token check on writes"
    );
    assert!(
        fails_with(|world| world.checks_grant_tokens = false),
        "no schedule needs the token check on grants"
    );
}

#[test]
fn drained_upstream_hands_off_and_partitioned_one_keeps_keys_until_leases_expire() {
    let mut world = World::new(7, TIMING);
    world.run_without_faults(30);
    let drained = "i-1".to_string();
    world
        .upstreams
        .get_mut(&drained)
        .expect("the upstream exists")
        .is_draining = true;
    world.run_without_faults(30);
    let owned = |world: &World, id: &str| {
        world
            .ranges
            .iter()
            .filter(|(_, r)| r.ownership.holder().is_some_and(|h| h.id == id))
            .count()
    };
    assert_eq!(
        owned(&world, &drained),
        0,
        "the drained upstream still owns ranges"
    );
    let has_handoff = |r: &KeyRange| matches!(&r.ownership, Ownership::Assigned(_, Some(_)));
    let with_handoff = world.ranges.iter().filter(|(_, r)| has_handoff(r));
    assert!(
        with_handoff.count() >= 2,
        "ranges with the handoff of the drained upstream"
    );
    // The upstream is partitioned but still listed, so its leases have to expire.
    world
        .upstreams
        .get_mut("i-2")
        .expect("the upstream exists")
        .partitioned_until = u64::MAX;
    let before = world.now;
    while owned(&world, "i-2") > 0 {
        world.run_without_faults(1);
        assert!(
            world.now < before + 2 * (TIMING.lease_ms + TIMING.call_timeout_ms),
            "the partitioned upstream keeps its ranges for too long"
        );
    }
    assert!(world.now > before + TIMING.lease_ms - TIMING.lease_ms / 4);
}
