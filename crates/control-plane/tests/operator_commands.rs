//! Tests two operators whose answers get lost while the network is partitioned and leaders are killed. The answers that
//! each operator received are compared with what took effect. Runs real control servers with a simulated network and
//! disks, on paused time.

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
/// The resend window in the settings of [`common`].
const RESEND_WINDOW: Duration = Duration::from_millis(6000);

fn millis(rng: &RefCell<Rand64>, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.borrow_mut().rand_range(range))
}

fn one_in(rng: &RefCell<Rand64>, n: u64) -> bool {
    rng.borrow_mut().rand_range(0..n) == 0
}

/// Injects partitions, symmetric and one-way, and leader crashes until `done` is set.
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

/// Returns the state that a majority confirms as current.
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

/// Chooses the server that an operator calls next, in most cases one that believes it is the leader.
fn choose_server(cluster: &Rc<Cluster>, rng: &RefCell<Rand64>) -> usize {
    let any = rng.borrow_mut().rand_range(0..VOTERS as u64) as usize;
    cluster.leader().filter(|_| !one_in(rng, 4)).unwrap_or(any)
}

// ---------------------------------------------------------------- configurations

/// The answers that operators received, and the configurations that took effect.
#[derive(Default)]
struct History {
    /// Targets of acknowledged changes, by base revision.
    acknowledged: BTreeMap<u64, BTreeSet<u64>>,
    /// Targets of rejected changes.
    rejected: BTreeSet<u64>,
    /// The target in effect, by revision.
    in_effect: BTreeMap<u64, u64>,
    /// Changes for which two answers were received.
    repeated: usize,
}

/// Sends a change until its answer is received. Returns whether it was acknowledged, or `None` without an answer in
/// time.
async fn send_until_answered(
    cluster: &Rc<Cluster>,
    rng: &RefCell<Rand64>,
    command: &Command,
) -> Option<bool> {
    let until = Instant::now() + Duration::from_secs(8);
    while Instant::now() < until {
        let server = cluster.server(choose_server(cluster, rng));
        // The caller may disconnect at any point during the call.
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
        let received = !one_in(rng, 3);
        match answer {
            Some(Ok(CommandOutcome::Applied | CommandOutcome::AlreadyApplied)) if received => {
                return Some(true);
            }
            Some(Ok(CommandOutcome::RevisionMismatch { .. } | CommandOutcome::Invalid(_)))
                if received =>
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
        // The operators send the same revision with different contents, different revisions, or identical changes, and
        // sometimes guess a future base.
        let base = if one_in(rng, 6) { current + 2 } else { current };
        let rev = base + 2 + rng.borrow_mut().rand_range(0..2);
        let target = if one_in(rng, 4) {
            5000 + rev
        } else {
            first_target + n
        };
        let answer = send_until_answered(&cluster, rng, &change(base, rev, target)).await;
        sent_before.push((base, rev, target, answer));
        record(history, base, target, answer, seed);
        // An earlier change is resent, or a delayed copy of it arrives.
        let resent = rng.borrow_mut().rand_range(0..sent_before.len() as u64) as usize;
        let (base, rev, target, answer) = sent_before[resent];
        let repeated = send_until_answered(&cluster, rng, &change(base, rev, target)).await;
        if let (Some(answer), Some(repeated)) = (answer, repeated) {
            assert_eq!(
                answer, repeated,
                "seed {seed}: {base} -> {rev} ({target}) was both acknowledged and rejected"
            );
            history.borrow_mut().repeated += 1;
        }
        record(history, base, target, repeated, seed);
    }
}

/// Records an answer, and checks that at most one change is acknowledged per base. Targets from 5000 on are sent by
/// both operators.
fn record(history: &RefCell<History>, base: u64, target: u64, answer: Option<bool>, seed: u64) {
    let mut history = history.borrow_mut();
    match answer {
        Some(true) => {
            let winners = history.acknowledged.entry(base).or_default();
            winners.insert(target);
            assert_eq!(
                winners.len(),
                1,
                "seed {seed}: two changes acknowledged on top of {base}: {winners:?}"
            );
        }
        Some(false) if target < 5000 => drop(history.rejected.insert(target)),
        _ => {}
    }
}

/// Records the configurations in effect on all servers until `done` is set, and checks that they agree.
async fn watch(cluster: &Rc<Cluster>, history: &RefCell<History>, done: &Cell<bool>, seed: u64) {
    while !done.get() {
        for server in (0..VOTERS).filter_map(|i| cluster.server(i)) {
            let state = server.replicated_state();
            let config: serde_json::Value = serde_json::from_str(&state.config).unwrap_or_default();
            if let Some(target) = config["routes"][0]["target_ms"].as_u64() {
                let was = *history
                    .borrow_mut()
                    .in_effect
                    .entry(state.revision)
                    .or_insert(target);
                assert_eq!(
                    was, target,
                    "seed {seed}: two configurations with revision {}",
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
        rejected,
        in_effect,
        repeated,
    } = history.into_inner();
    for target in &rejected {
        assert!(
            !in_effect.values().any(|t| t == target),
            "seed {seed}: {target} was rejected but took effect"
        );
    }
    for (base, winners) in &acknowledged {
        let known = in_effect.values().any(|target| winners.contains(target));
        assert!(
            known && last.revision > *base,
            "seed {seed}: {winners:?} on top of {base} was acknowledged but is lost"
        );
    }
    (acknowledged.len(), rejected.len(), repeated)
}

#[test]
fn acknowledged_changes_form_one_history() {
    let (mut acknowledged, mut rejected, mut repeated) = (0, 0, 0);
    for seed in 0..SEEDS {
        let counts = run(run_changes(seed));
        acknowledged += counts.0;
        rejected += counts.1;
        repeated += counts.2;
    }
    assert!(
        acknowledged >= 60 && rejected >= 25,
        "{acknowledged} acknowledged and {rejected} rejected of 160"
    );
    assert!(repeated >= 100, "{repeated} of 160 were answered twice");
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

/// A time after which callers no longer resend a call.
const PAST_RESEND_WINDOW: Duration = Duration::from_millis(7500);

/// The shared state of two operators that evacuate and return one zone.
struct Evacuations {
    /// Whether evacuations begin further apart than the resend window and no other faults are injected.
    spaced: bool,
    /// When an evacuation was last requested.
    begun: Cell<Option<Instant>>,
    /// Operators that received the acknowledgement of their evacuation and have not begun to return the zone.
    acknowledged: Cell<usize>,
    /// Those of them whose acknowledgement came while no return was in progress, since the last return began.
    undisturbed: Cell<usize>,
    /// Returns in progress.
    returning: Cell<usize>,
    /// Returns begun so far.
    returns: Cell<u64>,
    done: Cell<bool>,
}

/// Evacuates or returns the zone, resending the call until it is acknowledged or the resend window ends. Returns
/// whether the operator received the acknowledgement.
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
            let result = timeout(
                call_timeout,
                server.submit_zone_command(ZONE, begin, COMMAND_TIMEOUT),
            )
            .await;
            if let Ok(Ok(mut acknowledgement)) = result {
                // The outcome of the acknowledgement: 0 is not written, 1 is lost with a broken connection, 2, 3 and 6
                // are received and confirmed, 4 is lost and 5 received without the server learning of it, and 7 is lost
                // but confirmed. A return is confirmed only if it was received, and without other faults the server
                // always learns its outcome.
                let deliveries = if begin {
                    8
                } else if zone.spaced {
                    4
                } else {
                    7
                };
                let delivery = rng.borrow_mut().rand_range(0..deliveries);
                if delivery > 0 {
                    acknowledgement.mark_sent();
                }
                // A confirmation or a connection reset takes some time to reach the server.
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
        while zone.spaced
            && zone
                .begun
                .get()
                .is_some_and(|at| at.elapsed() < PAST_RESEND_WINDOW)
        {
            sleep(millis(rng, 1..500)).await;
        }
        if send_zone_call(&cluster, rng, true, zone).await {
            zone.acknowledged.set(zone.acknowledged.get() + 1);
            if zone.returning.get() == 0 {
                zone.undisturbed.set(zone.undisturbed.get() + 1);
            }
            sleep(millis(rng, 0..if zone.spaced { 20_000 } else { 4000 })).await;
            zone.acknowledged.set(zone.acknowledged.get() - 1);
            zone.undisturbed.set(0);
            zone.returns.set(zone.returns.get() + 1);
            zone.returning.set(zone.returning.get() + 1);
            send_zone_call(&cluster, rng, false, zone).await;
            zone.returning.set(zone.returning.get() - 1);
        }
    }
}

/// Checks until `done` is set that the zone has at least as many evacuations as are acknowledged. Returns the largest
/// number acknowledged at once.
async fn watch_evacuations(cluster: &Rc<Cluster>, zone: &Evacuations, seed: u64) -> usize {
    let mut seen = 0;
    while !zone.done.get() {
        let before = (
            zone.acknowledged.get(),
            zone.undisturbed.get(),
            zone.returns.get(),
        );
        let state = read_state(cluster).await;
        let acknowledged = before.0.min(zone.acknowledged.get());
        let undisturbed = if before.2 == zone.returns.get() {
            before.1.min(1)
        } else {
            0
        };
        let min = if zone.spaced {
            acknowledged
        } else {
            undisturbed
        };
        let count = state.evacuation_count(ZONE);
        assert!(
            count >= min,
            "seed {seed}: {min} evacuations acknowledged, but {count} in effect"
        );
        seen = seen.max(acknowledged);
        sleep(Duration::from_millis(if zone.spaced { 40 } else { 10 })).await;
    }
    seen
}

async fn run_evacuations(seed: u64, spaced: bool) -> (usize, usize) {
    let rng = RefCell::new(Rand64::new(u128::from(seed)));
    let cluster = Cluster::new();
    let zone = Evacuations {
        spaced,
        begun: Cell::default(),
        acknowledged: Cell::default(),
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
        if !spaced {
            inject_faults(&cluster, &rng, &zone.done).await;
        }
    };
    let (_, _, seen) = tokio::join!(operators, faults, watch_evacuations(&cluster, &zone, seed));
    (read_state(&cluster).await.evacuation_count(ZONE), seen)
}

#[test]
fn zone_stays_evacuated_until_each_acknowledged_evacuation_is_returned() {
    let (mut still_evacuated, mut both) = (0, 0);
    for seed in 0..ZONE_SEEDS {
        let (count, seen) = run(run_evacuations(seed, true));
        assert_eq!(count, 0, "seed {seed}: all operators returned the zone");
        both += usize::from(seen == 2);
        let (count, seen) = run(run_evacuations(seed, false));
        still_evacuated += usize::from(count > 0);
        both += usize::from(seen == 2);
    }
    println!(
        "{still_evacuated} of {ZONE_SEEDS} zones stay evacuated with partitions and unconfirmed returns"
    );
    assert!(
        both >= 9,
        "only {both} of 12 runs had two evacuations at once"
    );
}

#[test]
fn isolated_leader_answers_indeterminate() {
    // A leader that is partitioned during a command must not acknowledge or reject it, or redirect to itself.
    let test = async {
        let cluster = Cluster::new();
        read_state(&cluster).await;
        let leader = cluster.leader().expect("a leader");
        for other in (0..VOTERS).filter(|i| *i != leader) {
            cluster
                .blocked_links
                .borrow_mut()
                .extend([(leader, other), (other, leader)]);
        }
        let server = cluster.server(leader).expect("the server is up");
        let (current, future) = (change(0, 2, 10), change(7, 9, 10));
        let answers = tokio::join!(
            server.submit_command(&current, COMMAND_TIMEOUT),
            server.submit_command(&future, COMMAND_TIMEOUT),
            server.submit_zone_command(ZONE, true, COMMAND_TIMEOUT)
        );
        assert_eq!(answers.0, Err(Indeterminate::NoMajority));
        assert_eq!(answers.1, Err(Indeterminate::NoMajority));
        assert!(matches!(answers.2, Err(Indeterminate::NoMajority)));
    };
    run(test);
}

#[test]
fn outcome_comes_from_the_commands_own_entry() {
    // The leader is partitioned with a command in its log that no other server has, and another command takes that
    // command's log index.
    let test = async {
        let cluster = Cluster::new();
        read_state(&cluster).await;
        let leader = cluster.leader().expect("a leader");
        let server = cluster.server(leader).expect("the server is up");
        let (lost, winning) = (change(0, 2, 10), change(0, 2, 20));
        let mut submission = std::pin::pin!(server.submit_command(&lost, Duration::from_secs(30)));
        loop {
            // Fills the log index that the next leader's first entry will have.
            server.propose_key_changes("s", Vec::new());
            let last = server.log_status().own.last_log_index;
            tokio::select! {
                biased;
                outcome = &mut submission => panic!("{outcome:?} without a majority"),
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
        let win_and_heal = async {
            assert_eq!(cluster.submit(&side, &winning, until).await, Some(true));
            cluster.blocked_links.borrow_mut().clear();
            cluster
                .connection_epoch
                .set(cluster.connection_epoch.get() + 1);
        };
        let (outcome, ()) = tokio::join!(submission, win_and_heal);
        assert_eq!(outcome, Err(Indeterminate::NoMajority));
        assert_eq!(
            read_state(&cluster).await.check(&lost),
            CommandOutcome::RevisionMismatch { current: 2 }
        );
    };
    run(test);
}
