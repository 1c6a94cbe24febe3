//! Two operators who change the configuration on top of the same revision, one at each side of a partition, while
//! leaders die: at most one of them is acknowledged, and what was acknowledged is in force in the end. Real control
//! servers over a seeded network and disks, on paused time.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::{COMMAND_TIMEOUT, Cluster, VOTERS, change, run_on_paused_time};
use control_plane::configuration::ReplicatedState;
use oorandom::Rand64;
use tokio::time::{Instant, sleep};

const SEEDS: u64 = 15;
const RACES_PER_SEED: usize = 6;
/// The targets of the two changes tell their configurations apart.
const FIRST_TARGET_MS: u64 = 10;
const SECOND_TARGET_MS: u64 = 20;

/// How races ended.
#[derive(Default)]
struct Tally {
    /// One of the changes was acknowledged.
    acknowledged: usize,
    /// Both operators got a definite answer.
    contested: usize,
}

/// The servers at each side of a cut.
struct Sides {
    left: Vec<usize>,
    right: Vec<usize>,
}

/// Cuts the cluster in two, with the leader on either side; some cuts are one way only.
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

/// Kills the leader after a while, if it is to die, and heals the cut.
async fn run_faults(cluster: &Rc<Cluster>, leader_dies_after: Option<Duration>) {
    if let Some(after) = leader_dies_after {
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

/// The state that a majority confirms: what was acknowledged is in force in it.
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
        let leader_dies_after =
            (rng.rand_range(0..2) == 0).then(|| Duration::from_millis(rng.rand_range(0..1500)));
        let wait = Duration::from_millis(rng.rand_range(0..400));
        let until = Instant::now() + Duration::from_secs(10);
        // The same revision with two contents, or two revisions.
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
            run_faults(&cluster, leader_dies_after)
        );
        assert!(
            first != Some(true) || second != Some(true),
            "seed {seed}: both changes on top of revision {revision} were acknowledged"
        );
        tally.contested += usize::from(first.is_some() && second.is_some());
        tally.acknowledged += usize::from(first == Some(true) || second == Some(true));
        let state = read_confirmed_state(&cluster).await;
        for (acknowledged, target_ms) in [(first, FIRST_TARGET_MS), (second, SECOND_TARGET_MS)] {
            let is_in_force = state.config.contains(&format!("\"target_ms\":{target_ms}"));
            assert!(
                acknowledged != Some(true) || is_in_force,
                "seed {seed}: what was acknowledged is gone"
            );
            assert!(
                acknowledged != Some(false) || !is_in_force,
                "seed {seed}: what lost its race is in force"
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
        all.contested += tally.contested;
    }
    let Tally {
        acknowledged,
        contested,
    } = all;
    assert!(
        acknowledged >= 75,
        "of 90 races only {acknowledged} had a winner"
    );
    assert!(
        contested >= 60,
        "only {contested} of 90 were decided for both"
    );
}
