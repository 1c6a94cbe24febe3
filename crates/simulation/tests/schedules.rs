//! Runs ten thousand schedules of faults with fixed seeds, and checks that a seed always gives the same run.

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use simulation::schedule::Schedule;
use simulation::shrink::{as_test, shrink};
use simulation::world::run;
use simulation::{Counts, Violation};

const SCHEDULES: u64 = 10_000;
const THREADS: usize = 4;
/// The number of failing seeds that are listed.
const MAX_LISTED_SEEDS: usize = 50;

/// The results of several schedules.
#[derive(Default)]
struct Tally {
    violations: Vec<(u64, Violation)>,
    counts: Counts,
}

impl Tally {
    /// Adds the results of other schedules.
    fn add(&mut self, other: Self) {
        self.violations.extend(other.violations);
        let (all, more) = (&mut self.counts, other.counts);
        all.acknowledged += more.acknowledged;
        all.rejected += more.rejected;
        all.reads += more.reads;
        all.membership_changes += more.membership_changes;
        all.installed_snapshots += more.installed_snapshots;
    }
}

/// Runs schedules until none is left.
fn run_schedules(next_seed: &AtomicU64) -> Tally {
    let mut tally = Tally::default();
    loop {
        let seed = next_seed.fetch_add(1, Ordering::Relaxed);
        if seed >= SCHEDULES {
            return tally;
        }
        let outcome = run(&Schedule::from_seed(seed));
        let violation = outcome.violation.map(|violation| (seed, violation));
        tally.add(Tally {
            violations: violation.into_iter().collect(),
            counts: outcome.counts,
        });
    }
}

#[test]
fn no_schedule_violates_an_invariant() {
    let next_seed = AtomicU64::new(0);
    let mut tally = Tally::default();
    thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|_| scope.spawn(|| run_schedules(&next_seed)))
            .collect();
        for thread in threads {
            tally.add(thread.join().expect("the thread does not panic"));
        }
    });
    let Tally {
        mut violations,
        counts,
    } = tally;
    println!("checked: {counts:?}");
    violations.sort_by_key(|(seed, _)| *seed);
    if let Some((seed, violation)) = violations.first() {
        let smallest = shrink(&Schedule::from_seed(*seed), violation.invariant);
        let test = as_test(&smallest, violation.invariant);
        let seeds = violations.iter().map(|(seed, _)| *seed);
        let seeds: Vec<u64> = seeds.take(MAX_LISTED_SEEDS).collect();
        let count = violations.len();
        panic!("{count} failed: {seeds:?}; seed {seed}: {violation}\n{test}");
    }
    // The schedules have to make progress and reach the situations that they check, or they would prove nothing.
    let Counts {
        acknowledged,
        rejected,
        reads,
        membership_changes,
        installed_snapshots,
    } = counts;
    let checked = [
        acknowledged,
        rejected,
        reads,
        membership_changes,
        installed_snapshots,
    ];
    assert!(checked.iter().all(|n| *n > 10_000), "{counts:?}");
}

#[test]
fn a_seed_gives_the_same_run_again() {
    for seed in 0..200 {
        let schedule = Schedule::from_seed(seed);
        assert_eq!(schedule, Schedule::from_seed(seed));
        assert_eq!(run(&schedule), run(&schedule), "seed {seed}");
    }
}
