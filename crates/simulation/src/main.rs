//! Runs the schedules of a range of seeds, shrinks those that fail, and prints them as tests.
//!
//! The exit status is 1 if an invariant was violated. `cargo run --release -p simulation -- --help` lists the options.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use clap::Parser;
use simulation::schedule::Schedule;
use simulation::shrink::{as_test, shrink};
use simulation::{Invariant, Violation, world};

/// The number of failures that are shrunk and printed for each invariant.
const MAX_PRINTED: usize = 2;
/// The number of failing seeds that are listed for each invariant.
const MAX_LISTED_SEEDS: usize = 20;

#[derive(Parser)]
#[command(
    about = "Schedules of faults for the control plane, with invariants checked after every event"
)]
struct Arguments {
    /// How many seeds.
    #[arg(long, default_value_t = 10_000)]
    seeds: u64,
    /// The first seed.
    #[arg(long, default_value_t = 0)]
    from: u64,
    /// End after so many minutes, whatever is left.
    #[arg(long, default_value_t = 60)]
    minutes: u64,
    /// Threads.
    #[arg(long, default_value_t = 3)]
    threads: u64,
}

/// A seed whose schedule violated an invariant.
struct Failure {
    seed: u64,
    violation: Violation,
}

/// Counters shared by all threads.
struct Progress {
    /// Seeds whose runs were started.
    seeds_started: AtomicU64,
    /// Simulated events, over all seeds.
    events: AtomicU64,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    // A panic in a run is reported as a violation, so the default panic message is suppressed.
    std::panic::set_hook(Box::new(|_| {}));
    let started = Instant::now();
    let deadline = started + Duration::from_secs(60 * arguments.minutes);
    let progress = Progress {
        seeds_started: AtomicU64::new(0),
        events: AtomicU64::new(0),
    };
    let (sender, failures) = mpsc::channel();
    thread::scope(|scope| {
        for _ in 0..arguments.threads {
            let sender = sender.clone();
            scope.spawn(|| run_seeds(&arguments, deadline, &progress, sender));
        }
    });
    drop(sender);
    let mut by_invariant: BTreeMap<Invariant, Vec<Failure>> = BTreeMap::new();
    for failure in failures {
        let invariant = failure.violation.invariant;
        by_invariant.entry(invariant).or_default().push(failure);
    }
    println!(
        "{} schedules from seed {}, {} events, {:.1} s",
        progress
            .seeds_started
            .load(Ordering::Relaxed)
            .min(arguments.seeds),
        arguments.from,
        progress.events.load(Ordering::Relaxed),
        started.elapsed().as_secs_f64()
    );
    for (invariant, failures) in &mut by_invariant {
        print_failures(*invariant, failures);
    }
    if by_invariant.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Runs the schedules of the remaining seeds one after the other, until none is left or the deadline has passed.
#[expect(
    clippy::needless_pass_by_value,
    reason = "each thread drops its sender when it ends"
)]
fn run_seeds(
    arguments: &Arguments,
    deadline: Instant,
    progress: &Progress,
    failures: mpsc::Sender<Failure>,
) {
    while Instant::now() < deadline {
        let n = progress.seeds_started.fetch_add(1, Ordering::Relaxed);
        if n >= arguments.seeds {
            return;
        }
        let seed = arguments.from + n;
        let outcome = world::run(&Schedule::from_seed(seed));
        progress.events.fetch_add(outcome.events, Ordering::Relaxed);
        if let Some(violation) = outcome.violation {
            failures
                .send(Failure { seed, violation })
                .expect("the receiver outlives the threads");
        }
    }
}

/// Prints the seeds that violated an invariant, and shrinks the first of them to tests.
fn print_failures(invariant: Invariant, failures: &mut [Failure]) {
    failures.sort_by_key(|f| f.seed);
    let seeds = failures.iter().map(|f| f.seed).take(MAX_LISTED_SEEDS);
    let seeds: Vec<u64> = seeds.collect();
    println!(
        "\n{invariant:?}: {} schedules, seeds {seeds:?}",
        failures.len()
    );
    for Failure { seed, violation } in failures.iter().take(MAX_PRINTED) {
        println!("seed {seed}: {violation}");
        let smallest = shrink(&Schedule::from_seed(*seed), invariant);
        println!("{}", as_test(&smallest, invariant));
    }
}
