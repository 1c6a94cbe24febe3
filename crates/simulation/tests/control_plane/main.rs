//! The real control server on paused time under faults: operators who race and retry, data-plane balancers with the
//! real control client that move between control processes, a platform whose upstreams come and go, and invariants
//! that are checked after every answer. It covers what the schedules of the library can't reach: how a server answers
//! commands, counts evacuations, and whom it tells what.

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

/// Machines with a disk: the members of the log.
const CORE: usize = 5;
/// Machines that serve control without a disk.
const DISKLESS: usize = 3;
/// Machines of the core that may be lost at a time.
const TOLERABLE_LOSSES: u64 = 2;
/// Balancers of the data plane.
const BALANCERS: usize = 4;
/// Seeds of a test run. `SIMULATION_SEEDS=from..to` plays others.
const SEEDS: Range<u64> = 0..6;
/// Faults of the core in a run.
const FAULTS: u64 = 5;
/// Time without faults of the core at the end of a run.
const QUIET_TIME: Duration = Duration::from_secs(25);

#[derive(Debug, PartialEq)]
struct Outcome {
    violation: Option<String>,
    at: Duration,
    counts: Counts,
}

async fn play(seed: u64) -> Outcome {
    let mut rng = Rand64::new(u128::from(seed));
    let began = Instant::now();
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
        AbortOnDrop(spawn_local(fleet.clone().check())),
    ];
    tasks.push(AbortOnDrop(spawn_local(platform.clone().change())));
    let diskless = faults::of_diskless(deployment.clone(), Rand64::new(u128::from(seed) ^ 0xd15c));
    tasks.push(AbortOnDrop(spawn_local(diskless)));
    for machine in 0..CORE + DISKLESS {
        tasks.push(AbortOnDrop(spawn_local(platform.clone().poll(machine))));
    }
    let outcome = || Outcome {
        violation: history.violation(),
        at: began.elapsed(),
        counts: history.counts(),
    };
    for _ in 0..FAULTS {
        sleep(Duration::from_millis(6500 + rng.rand_range(0..8000))).await;
        if rng.rand_range(0..2) == 0 {
            fleet.restart(rng.rand_range(0..BALANCERS as u64) as usize);
        }
        faults::of_core(&deployment, &mut rng).await;
        if history.violation().is_some() {
            return outcome();
        }
    }
    let before = history.counts().acknowledged;
    sleep(QUIET_TIME).await;
    let after = history.counts().acknowledged;
    history.require(after > before, || {
        "no command acknowledged since all faults ended".into()
    });
    outcome()
}

fn run(seed: u64) -> Outcome {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, play(seed))
}

fn seeds() -> Range<u64> {
    let asked = std::env::var("SIMULATION_SEEDS").ok();
    let asked = asked.as_deref().and_then(|s| s.split_once(".."));
    let asked = asked.and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    asked.unwrap_or(SEEDS)
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
