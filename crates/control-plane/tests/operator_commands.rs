//! Two operators whose answers get lost, on both sides of network partitions, while leaders die: what each was told is
//! compared with what came into force. Real control processes over a seeded network and disks, on paused time.

mod common;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use common::{COMMAND_TIMEOUT, Cluster, VOTERS, change};
use control_plane::configuration::{Command, CommandOutcome, ReplicatedState};
use control_plane::server::Indeterminate;
use oorandom::Rand64;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, timeout};

const SEEDS: u64 = 10;
const CHANGES: usize = 8;
const ZONE_SEEDS: u64 = 6;
const EVACUATIONS: usize = 5;
const ZONE: &str = "a";
/// As the settings of [`common`] have it.
const RESEND_WINDOW: Duration = Duration::from_millis(6000);

fn millis(rng: &RefCell<Rand64>, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.borrow_mut().rand_range(range))
}

fn one_in(rng: &RefCell<Rand64>, n: u64) -> bool {
    rng.borrow_mut().rand_range(0..n) == 0
}

/// Partitions (symmetric and one-way) and leaders that die, until `done`.
async fn inject_faults(cluster: &Rc<Cluster>, rng: &RefCell<Rand64>, done: &Cell<bool>) {
    while !done.get() {
        sleep(millis(rng, 100..2500)).await;
        if one_in(rng, 2) {
            let side: Vec<bool> = (0..VOTERS).map(|_| one_in(rng, 2)).collect();
            let one_way = one_in(rng, 3);
            for (a, b) in (0..VOTERS).flat_map(|a| (0..VOTERS).map(move |b| (a, b))) {
                if side[a] != side[b] && (side[a] || !one_way) {
                    cluster.blocked_links.borrow_mut().insert((a, b));
                }
            }
            sleep(millis(rng, 50..2500)).await;
            cluster.blocked_links.borrow_mut().clear();
        } else if let Some(leader) = cluster.leader() {
            cluster.kill(leader);
            sleep(millis(rng, 50..600)).await;
            cluster.start(leader);
        }
        cluster
            .connection_epoch
            .set(cluster.connection_epoch.get() + 1);
    }
}

/// The newest state, as a majority confirms it.
async fn read_state(cluster: &Rc<Cluster>) -> ReplicatedState {
    loop {
        if let Some(server) = cluster.leader().and_then(|leader| cluster.server(leader))
            && server.wait_until_current(COMMAND_TIMEOUT).await
        {
            return server.replicated_state();
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// The process that an operator calls next: mostly one that believes it leads.
fn choose_server(cluster: &Rc<Cluster>, rng: &RefCell<Rand64>) -> usize {
    let any = rng.borrow_mut().rand_range(0..VOTERS as u64) as usize;
    cluster.leader().filter(|_| !one_in(rng, 4)).unwrap_or(any)
}

// ---------------------------------------------------------------- configurations

/// What operators were told, and what was in force.
#[derive(Default)]
struct History {
    /// Targets of acknowledged changes, by their base.
    acknowledged: BTreeMap<u64, BTreeSet<u64>>,
    refused: BTreeSet<u64>,
    in_force: BTreeMap<u64, u64>,
    repeated: usize,
}

/// Sends a change until its answer is heard; whether it was acknowledged. `None`: no answer in time.
async fn send_until_heard(
    cluster: &Rc<Cluster>,
    rng: &RefCell<Rand64>,
    command: &Command,
) -> Option<bool> {
    let until = Instant::now() + Duration::from_secs(8);
    while Instant::now() < until {
        let server = cluster.server(choose_server(cluster, rng));
        // The caller may leave at any point of it.
        let call_timeout = if one_in(rng, 4) {
            millis(rng, 0..30)
        } else {
            COMMAND_TIMEOUT
        };
        let answer = match &server {
            Some(server) => timeout(
                call_timeout,
                server.submit_command(command, COMMAND_TIMEOUT),
            )
            .await
            .ok(),
            None => None,
        };
        let heard = !one_in(rng, 3);
        match answer {
            Some(Ok(CommandOutcome::Applied | CommandOutcome::AlreadyApplied)) if heard => {
                return Some(true);
            }
            Some(Ok(CommandOutcome::RevisionMismatch { .. } | CommandOutcome::Invalid(_)))
                if heard =>
            {
                return Some(false);
            }
            _ => sleep(millis(rng, 20..150)).await,
        }
    }
    None
}

async fn operator(
    cluster: Rc<Cluster>,
    rng: &RefCell<Rand64>,
    history: &RefCell<History>,
    first_target: u64,
    seed: u64,
) {
    let mut sent_before: Vec<(u64, u64, u64, Option<bool>)> = Vec::new();
    for n in 0..CHANGES as u64 {
        let current = read_state(&cluster).await.revision;
        // One revision with two contents, two revisions, or the very same; now and then on a guessed base.
        let base = if one_in(rng, 6) { current + 2 } else { current };
        let rev = base + 2 + rng.borrow_mut().rand_range(0..2);
        let target = if one_in(rng, 4) {
            5000 + rev
        } else {
            first_target + n
        };
        let told = send_until_heard(&cluster, rng, &change(base, rev, target)).await;
        sent_before.push((base, rev, target, told));
        record(history, base, target, told, seed);
        // An earlier change comes once more, or a copy of it was long on its way.
        let again = rng.borrow_mut().rand_range(0..sent_before.len() as u64) as usize;
        let (base, rev, target, told) = sent_before[again];
        let repeated = send_until_heard(&cluster, rng, &change(base, rev, target)).await;
        if let (Some(told), Some(repeated)) = (told, repeated) {
            assert_eq!(
                told, repeated,
                "seed {seed}: {base} -> {rev} ({target}) was told both"
            );
            history.borrow_mut().repeated += 1;
        }
        record(history, base, target, repeated, seed);
    }
}

/// One winner a base; what is acknowledged is never refused to another who sent the very same.
fn record(history: &RefCell<History>, base: u64, target: u64, told: Option<bool>, seed: u64) {
    let mut history = history.borrow_mut();
    match told {
        Some(true) => {
            let winners = history.acknowledged.entry(base).or_default();
            winners.insert(target);
            assert_eq!(
                winners.len(),
                1,
                "seed {seed}: two winners on top of {base}: {winners:?}"
            );
        }
        Some(false) if target < 5000 => drop(history.refused.insert(target)),
        _ => {}
    }
}

/// Records what is in force anywhere, until `done`.
async fn watch(cluster: &Rc<Cluster>, history: &RefCell<History>, done: &Cell<bool>, seed: u64) {
    while !done.get() {
        for server in (0..VOTERS).filter_map(|i| cluster.server(i)) {
            let state = server.replicated_state();
            let config: serde_json::Value = serde_json::from_str(&state.config).unwrap_or_default();
            if let Some(target) = config["routes"][0]["target_ms"].as_u64() {
                let was = *history
                    .borrow_mut()
                    .in_force
                    .entry(state.revision)
                    .or_insert(target);
                assert_eq!(
                    was, target,
                    "seed {seed}: two contents of version {}",
                    state.revision
                );
            }
        }
        sleep(Duration::from_millis(4)).await;
    }
}

async fn run_changes(seed: u64) -> (usize, usize, usize) {
    let rng = RefCell::new(Rand64::new(u128::from(seed)));
    let (cluster, history, done) = (Cluster::new(), RefCell::default(), Cell::new(false));
    let operators = async {
        let (one, two) = (cluster.clone(), cluster.clone());
        tokio::join!(
            operator(one, &rng, &history, 1000, seed),
            operator(two, &rng, &history, 2000, seed)
        );
        done.set(true);
    };
    tokio::join!(
        operators,
        inject_faults(&cluster, &rng, &done),
        watch(&cluster, &history, &done, seed)
    );
    let last = read_state(&cluster).await;
    let History {
        acknowledged,
        refused,
        in_force,
        repeated,
    } = history.into_inner();
    for target in &refused {
        assert!(
            !in_force.values().any(|t| t == target),
            "seed {seed}: {target} was refused"
        );
    }
    for (base, winners) in &acknowledged {
        let known = in_force.values().any(|target| winners.contains(target));
        assert!(
            known && last.revision > *base,
            "seed {seed}: {winners:?} on {base} is gone"
        );
    }
    (acknowledged.len(), refused.len(), repeated)
}

#[test]
fn acknowledged_changes_form_one_history() {
    let (mut acknowledged, mut refused, mut repeated) = (0, 0, 0);
    for seed in 0..SEEDS {
        let told = run(run_changes(seed));
        acknowledged += told.0;
        refused += told.1;
        repeated += told.2;
    }
    assert!(
        acknowledged >= 60 && refused >= 25,
        "{acknowledged} and {refused} of 160"
    );
    assert!(repeated >= 100, "{repeated} of 160 came twice");
}

fn run<T>(test: impl Future<Output = T>) -> T {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test)
}

// -------------------------------------------------------------------- evacuations

/// Longer than a call is sent again.
const LONGER_THAN_RESENDS: Duration = Duration::from_millis(7500);

/// Two operators at one zone.
struct Evacuations {
    /// They begin theirs further apart than a call is sent again, and nothing else goes wrong.
    apart: bool,
    /// When an evacuation was asked for last.
    begun: Cell<Option<Instant>>,
    /// Operators that heard that the zone is evacuated, and have not begun to return it.
    told: Cell<usize>,
    /// Those of them that heard so since the last return was over, how many returns are under way, and were begun.
    undisturbed: Cell<usize>,
    returning: Cell<usize>,
    returns: Cell<u64>,
    done: Cell<bool>,
}

/// Evacuates or returns the zone as operators do: until it is acknowledged, for `ack_ms` at most.
async fn send_zone_call(
    cluster: &Rc<Cluster>,
    rng: &RefCell<Rand64>,
    begin: bool,
    zone: &Evacuations,
) -> bool {
    let until = Instant::now() + RESEND_WINDOW;
    while Instant::now() < until {
        if begin {
            zone.begun.set(Some(Instant::now()));
        }
        if let Some(server) = cluster.server(choose_server(cluster, rng)) {
            let call_timeout = if one_in(rng, 4) {
                millis(rng, 0..60)
            } else {
                COMMAND_TIMEOUT
            };
            let taken = timeout(
                call_timeout,
                server.submit_zone_command(ZONE, begin, COMMAND_TIMEOUT),
            )
            .await;
            if let Ok(Ok(mut acknowledgement)) = taken {
                // Not written, lost or heard with a sign of it, lost or heard without; lost with a sign that it was
                // heard. Of a return the sign is right, and there is one where nothing else goes wrong.
                let deliveries = if begin {
                    8
                } else if zone.apart {
                    4
                } else {
                    7
                };
                let delivery = rng.borrow_mut().rand_range(0..deliveries);
                if delivery > 0 {
                    acknowledgement.mark_sent();
                }
                // The sign takes its way back, if there is one.
                sleep(millis(rng, 1..20)).await;
                match delivery {
                    0 | 4 | 5 => drop(acknowledgement),
                    1 => acknowledgement.mark_connection_broken().await,
                    _ => acknowledgement.confirm().await,
                }
                if matches!(delivery, 2 | 3 | 5 | 6) {
                    return true;
                }
            }
        }
        sleep(millis(rng, 20..300)).await;
    }
    false
}

async fn evacuate_and_return(cluster: Rc<Cluster>, rng: &RefCell<Rand64>, zone: &Evacuations) {
    for _ in 0..EVACUATIONS {
        sleep(millis(rng, 0..2000)).await;
        while zone.apart
            && zone
                .begun
                .get()
                .is_some_and(|at| at.elapsed() < LONGER_THAN_RESENDS)
        {
            sleep(millis(rng, 1..500)).await;
        }
        if send_zone_call(&cluster, rng, true, zone).await {
            zone.told.set(zone.told.get() + 1);
            if zone.returning.get() == 0 {
                zone.undisturbed.set(zone.undisturbed.get() + 1);
            }
            sleep(millis(rng, 0..if zone.apart { 20_000 } else { 4000 })).await;
            zone.told.set(zone.told.get() - 1);
            zone.undisturbed.set(0);
            zone.returns.set(zone.returns.get() + 1);
            zone.returning.set(zone.returning.get() + 1);
            send_zone_call(&cluster, rng, false, zone).await;
            zone.returning.set(zone.returning.get() - 1);
        }
    }
}

/// Checks that the zone has as many evacuations as were acknowledged, until all is done; the most that were at once.
async fn watch_evacuations(cluster: &Rc<Cluster>, zone: &Evacuations, seed: u64) -> usize {
    let mut seen = 0;
    while !zone.done.get() {
        let before = (zone.told.get(), zone.undisturbed.get(), zone.returns.get());
        let state = read_state(cluster).await;
        let told = before.0.min(zone.told.get());
        let undisturbed = if before.2 == zone.returns.get() {
            before.1.min(1)
        } else {
            0
        };
        let least = if zone.apart { told } else { undisturbed };
        let stand = state.evacuation_count(ZONE);
        assert!(
            stand >= least,
            "seed {seed}: {least} were told so, and {stand} stand"
        );
        seen = seen.max(told);
        sleep(Duration::from_millis(if zone.apart { 40 } else { 10 })).await;
    }
    seen
}

async fn run_evacuations(seed: u64, apart: bool) -> (usize, usize) {
    let rng = RefCell::new(Rand64::new(u128::from(seed)));
    let cluster = Cluster::new();
    let zone = Evacuations {
        apart,
        begun: Cell::default(),
        told: Cell::default(),
        undisturbed: Cell::default(),
        returning: Cell::default(),
        returns: Cell::default(),
        done: Cell::default(),
    };
    let operators = async {
        let (one, two) = (cluster.clone(), cluster.clone());
        tokio::join!(
            evacuate_and_return(one, &rng, &zone),
            evacuate_and_return(two, &rng, &zone)
        );
        zone.done.set(true);
    };
    let faults = async {
        if !apart {
            inject_faults(&cluster, &rng, &zone.done).await;
        }
    };
    let (_, _, seen) = tokio::join!(operators, faults, watch_evacuations(&cluster, &zone, seed));
    (read_state(&cluster).await.evacuation_count(ZONE), seen)
}

#[test]
fn zone_stays_evacuated_until_each_acknowledged_evacuation_is_returned() {
    let (mut left, mut both) = (0, 0);
    for seed in 0..ZONE_SEEDS {
        let (stand, seen) = run(run_evacuations(seed, true));
        assert_eq!(stand, 0, "seed {seed}: all have returned it");
        both += usize::from(seen == 2);
        let (stand, seen) = run(run_evacuations(seed, false));
        left += usize::from(stand > 0);
        both += usize::from(seen == 2);
    }
    println!("{left} of {ZONE_SEEDS} zones stay evacuated amid cuts and returns without a sign");
    assert!(both >= 9, "only {both} of 12 had two evacuations at once");
}

#[test]
fn isolated_leader_answers_indeterminate() {
    // A leader that is cut off in the middle of a command does not confirm, refuse or redirect to itself.
    let cut_off = async {
        let cluster = Cluster::new();
        read_state(&cluster).await;
        let leader = cluster.leader().expect("it leads");
        for other in (0..VOTERS).filter(|i| *i != leader) {
            cluster
                .blocked_links
                .borrow_mut()
                .extend([(leader, other), (other, leader)]);
        }
        let server = cluster.server(leader).expect("it runs");
        let (order, early) = (change(0, 2, 10), change(7, 9, 10));
        let answers = tokio::join!(
            server.submit_command(&order, COMMAND_TIMEOUT),
            server.submit_command(&early, COMMAND_TIMEOUT),
            server.submit_zone_command(ZONE, true, COMMAND_TIMEOUT)
        );
        assert_eq!(answers.0, Err(Indeterminate::NoMajority));
        assert_eq!(answers.1, Err(Indeterminate::NoMajority));
        assert!(matches!(answers.2, Err(Indeterminate::NoMajority)));
    };
    run(cut_off);
}

#[test]
fn outcome_comes_from_the_commands_own_entry() {
    // The leader is cut off with an order in its log that nobody has; another order takes its place there.
    let test = async {
        let cluster = Cluster::new();
        read_state(&cluster).await;
        let leader = cluster.leader().expect("it leads");
        let server = cluster.server(leader).expect("it runs");
        let (lost, wins) = (change(0, 2, 10), change(0, 2, 20));
        let mut order = std::pin::pin!(server.submit_command(&lost, Duration::from_secs(30)));
        loop {
            // Takes the place that the next leader's first entry will have.
            server.propose_key_changes("s", Vec::new());
            let last = server.log_status().own.last_log_index;
            tokio::select! {
                biased;
                verdict = &mut order => panic!("{verdict:?} without a majority"),
                () = std::future::ready(()) => {}
            }
            if server.log_status().own.last_log_index > last {
                break;
            }
            sleep(Duration::from_millis(100)).await;
        }
        let others = || (0..VOTERS).filter(|i| *i != leader);
        cluster
            .blocked_links
            .borrow_mut()
            .extend(others().flat_map(|i| [(leader, i), (i, leader)]));
        let side: Vec<usize> = others().collect();
        let until = Instant::now() + Duration::from_secs(10);
        let heals = async {
            assert_eq!(cluster.submit(&side, &wins, until).await, Some(true));
            cluster.blocked_links.borrow_mut().clear();
            cluster
                .connection_epoch
                .set(cluster.connection_epoch.get() + 1);
        };
        let (verdict, ()) = tokio::join!(order, heals);
        assert_eq!(verdict, Err(Indeterminate::NoMajority));
        assert_eq!(
            read_state(&cluster).await.check(&lost),
            CommandOutcome::RevisionMismatch { current: 2 }
        );
    };
    run(test);
}
