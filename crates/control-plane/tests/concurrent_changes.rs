//! Tests two operators who change the configuration on top of the same revision from different sides of a partition
//! while leaders are killed. At most one change may be acknowledged, and an acknowledged change must be in effect at
//! the end. Runs real control servers with a simulated network and disks, on paused time.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::{COMMAND_TIMEOUT, Cluster, VOTERS, change, run_on_paused_time};
use control_plane::configuration::ReplicatedState;
use oorandom::Rand64;
use tokio::time::{Instant, sleep};

const SEEDS: u64 = 15;
const RACES_PER_SEED: usize = 6;
/// The `target_ms` values that identify the configurations of the two changes.
const FIRST_TARGET_MS: u64 = 10;
const SECOND_TARGET_MS: u64 = 20;

/// Counts of how the races ended.
#[derive(Default)]
struct Tally {
    /// Races in which one of the changes was acknowledged.
    acknowledged: usize,
    /// Races in which both operators got a definite answer.
    decided: usize,
}

/// The servers on each side of a partition.
struct Sides {
    left: Vec<usize>,
    right: Vec<usize>,
}

/// Partitions the cluster at random. One in three partitions blocks only one direction.
fn partition(cluster: &Cluster, rng: &mut Rand64) -> Sides {
    let (mut left, mut right): (Vec<usize>, Vec<usize>) =
        (0..VOTERS).partition(|_| rng.rand_range(0..2) == 0);
    if left.is_empty() || right.is_empty() {
        (left, right) = (vec![0, 1, 2], vec![3, 4]);
    }
    let is_one_way = rng.rand_range(0..3) == 0;
    for a in &left {
        for b in &right {
            cluster.blocked_links.borrow_mut().insert((*a, *b));
            if !is_one_way {
                cluster.blocked_links.borrow_mut().insert((*b, *a));
            }
        }
    }
    Sides { left, right }
}

/// Kills and restarts the leader after the given delay, if any, and then heals the partition.
async fn run_faults(cluster: &Rc<Cluster>, kill_leader_after: Option<Duration>) {
    if let Some(after) = kill_leader_after {
        sleep(after).await;
        if let Some(leader) = cluster.leader() {
            cluster.kill(leader);
            sleep(Duration::from_millis(300)).await;
            cluster.start(leader);
        }
    }
    sleep(Duration::from_millis(3000)).await;
    cluster.blocked_links.borrow_mut().clear();
    cluster
        .connection_epoch
        .set(cluster.connection_epoch.get() + 1);
}

/// Returns the state that a majority confirms as current, which includes all acknowledged changes.
async fn read_confirmed_state(cluster: &Cluster) -> ReplicatedState {
    loop {
        sleep(Duration::from_millis(50)).await;
        let Some(server) = cluster.leader().and_then(|leader| cluster.server(leader)) else {
            continue;
        };
        if server.wait_until_current(COMMAND_TIMEOUT).await {
            return server.replicated_state();
        }
    }
}

async fn race(seed: u64) -> Tally {
    let mut rng = Rand64::new(u128::from(seed));
    let cluster = Cluster::new();
    let (mut revision, mut tally) = (0, Tally::default());
    for _ in 0..RACES_PER_SEED {
        while cluster.leader().is_none() {
            sleep(Duration::from_millis(50)).await;
        }
        let Sides { left, right } = partition(&cluster, &mut rng);
        let kill_leader_after =
            (rng.rand_range(0..2) == 0).then(|| Duration::from_millis(rng.rand_range(0..1500)));
        let wait = Duration::from_millis(rng.rand_range(0..400));
        let until = Instant::now() + Duration::from_secs(10);
        // Both changes have the same revision with different contents, or different revisions.
        let (one, other) = (
            change(revision, revision + 2, FIRST_TARGET_MS),
            change(
                revision,
                revision + 2 + rng.rand_range(0..2),
                SECOND_TARGET_MS,
            ),
        );
        let second = async {
            sleep(wait).await;
            cluster.submit(&right, &other, until).await
        };
        let (first, second, ()) = tokio::join!(
            cluster.submit(&left, &one, until),
            second,
            run_faults(&cluster, kill_leader_after)
        );
        assert!(
            first != Some(true) || second != Some(true),
            "seed {seed}: both changes on top of revision {revision} were acknowledged"
        );
        tally.decided += usize::from(first.is_some() && second.is_some());
        tally.acknowledged += usize::from(first == Some(true) || second == Some(true));
        let state = read_confirmed_state(&cluster).await;
        for (acknowledged, target_ms) in [(first, FIRST_TARGET_MS), (second, SECOND_TARGET_MS)] {
            let is_in_effect = state.config.contains(&format!("\"target_ms\":{target_ms}"));
            assert!(
                acknowledged != Some(true) || is_in_effect,
                "seed {seed}: an acknowledged change is not in effect"
            );
            assert!(
                acknowledged != Some(false) || !is_in_effect,
                "seed {seed}: a rejected change is in effect"
            );
        }
        revision = state.revision;
    }
    tally
}

#[test]
fn one_of_two_changes_across_a_partition_is_acknowledged() {
    let mut all = Tally::default();
    for seed in 0..SEEDS {
        let tally = run_on_paused_time(race(seed));
        all.acknowledged += tally.acknowledged;
        all.decided += tally.decided;
    }
    let Tally {
        acknowledged,
        decided,
    } = all;
    assert!(
        acknowledged >= 75,
        "only {acknowledged} of 90 races had an acknowledged change"
    );
    assert!(
        decided >= 60,
        "only {decided} of 90 races were decided for both operators"
    );
}
