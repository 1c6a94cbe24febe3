//! Runs the real control server under faults on tokio's paused clock. Operators send conflicting commands and retry
//! them, data-plane balancers with the real control client move between control processes, the platform adds and drains
//! upstreams, and invariants are checked after every response.
//!
//! This covers what the library's schedules cannot, because they model the host: how a server responds to commands,
//! counts evacuations, and distributes updates.

mod balancers;
mod deployment;
mod faults;
mod history;
mod operators;
mod pause;
mod platform;

use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use balancers::Fleet;
use data_plane::abort_on_drop::AbortOnDrop;
use deployment::Deployment;
use history::{Counts, History};
use oorandom::Rand64;
use operators::Operators;
use platform::Platform;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

/// The number of machines with a disk, which are the members of the log and are called the core.
const CORE: usize = 5;
/// The number of control machines without a disk.
const DISKLESS: usize = 3;
/// The number of core machines that may be lost at a time.
const TOLERABLE_LOSSES: u64 = 2;
/// The number of data-plane balancers.
const BALANCERS: usize = 4;
/// The seeds of a test run. `SIMULATION_SEEDS=from..to` selects others.
const SEEDS: Range<u64> = 0..6;
/// The number of core faults in a run.
const FAULTS: u64 = 5;
/// The time without core faults at the end of a run.
const QUIET_TIME: Duration = Duration::from_secs(25);

/// The result of a run, and the simulated time at its end.
#[derive(Debug, PartialEq)]
struct Outcome {
    violation: Option<String>,
    at: Duration,
    counts: Counts,
}

/// Runs the deployment with its clients and faults until the end or the first violation.
async fn simulate(seed: u64) -> Outcome {
    let mut rng = Rand64::new(u128::from(seed));
    let started = Instant::now();
    let deployment = Deployment::new(seed, CORE, DISKLESS);
    let history = Rc::new(History::default());
    let operators = Operators::new(deployment.clone(), history.clone());
    let platform = Platform::new(deployment.clone());
    let fleet = Fleet::new(
        deployment.clone(),
        platform.clone(),
        history.clone(),
        BALANCERS,
    );
    let mut tasks = vec![
        AbortOnDrop(spawn_local(operators.clone().change_configuration())),
        AbortOnDrop(spawn_local(operators.clone().change_configuration())),
        AbortOnDrop(spawn_local(operators.clone().evacuate_and_return())),
        AbortOnDrop(spawn_local(operators.clone().read())),
        AbortOnDrop(spawn_local(fleet.clone().check_balancers())),
    ];
    tasks.push(AbortOnDrop(spawn_local(
        platform.clone().change_upstreams(),
    )));
    let diskless =
        faults::inject_diskless_faults(deployment.clone(), Rand64::new(u128::from(seed) ^ 0xd15c));
    tasks.push(AbortOnDrop(spawn_local(diskless)));
    for machine in 0..CORE + DISKLESS {
        tasks.push(AbortOnDrop(spawn_local(
            platform.clone().poll_zones(machine),
        )));
    }
    let outcome = || Outcome {
        violation: history.violation(),
        at: started.elapsed(),
        counts: history.counts(),
    };
    for _ in 0..FAULTS {
        sleep(Duration::from_millis(6500 + rng.rand_range(0..8000))).await;
        if rng.rand_range(0..2) == 0 {
            fleet.restart(rng.rand_range(0..BALANCERS as u64) as usize);
        }
        faults::inject_core_fault(&deployment, &mut rng).await;
        if history.violation().is_some() {
            return outcome();
        }
    }
    let before = history.counts().acknowledged;
    sleep(QUIET_TIME).await;
    let after = history.counts().acknowledged;
    history.require(after > before, || {
        "no command was acknowledged after all faults had ended".into()
    });
    outcome()
}

fn run(seed: u64) -> Outcome {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime
        .enable_time()
        .start_paused(true)
        .build()
        .expect("the runtime can be built");
    LocalSet::new().block_on(&runtime, simulate(seed))
}

fn seeds() -> Range<u64> {
    let selected = std::env::var("SIMULATION_SEEDS").ok();
    let selected = selected.as_deref().and_then(|s| s.split_once(".."));
    let selected = selected.and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    selected.unwrap_or(SEEDS)
}

#[test]
fn operators_and_balancers_see_no_invariant_violated() {
    let mut all = Counts::default();
    let mut violations = Vec::new();
    for seed in seeds() {
        let Outcome {
            violation,
            at,
            counts,
        } = run(seed);
        all.acknowledged += counts.acknowledged;
        all.reads += counts.reads;
        all.balancer_checks += counts.balancer_checks;
        if let Some(detail) = violation {
            violations.push(format!("seed {seed}, {at:?}: {detail}"));
        }
    }
    println!("{all:?}");
    assert!(
        violations.is_empty(),
        "{} seeds:\n{}",
        violations.len(),
        violations.join("\n")
    );
    assert!(all.acknowledged > 0 && all.reads > 0 && all.balancer_checks > 0);
}

#[test]
fn a_seed_plays_the_same_each_time() {
    for seed in [1, 4] {
        assert_eq!(run(seed), run(seed), "seed {seed}");
    }
}
