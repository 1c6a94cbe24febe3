//! Two operators who change the configuration on top of the same version, one at each side of a cut, while
//! leaders die: at most one of them is acknowledged, and what was acknowledged is in force in the end. Real cells
//! over a seeded network and disks, on paused time.

mod common;

use std::time::Duration;

use common::{Net, ORDER, SIZE, change};
use oorandom::Rand64;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

/// Of six races each.
const SEEDS: u64 = 15;

async fn race(seed: u64) -> (usize, usize) {
    let mut rng = Rand64::new(u128::from(seed));
    let net = Net::new();
    let (mut rev, mut acknowledged, mut contested) = (0, 0, 0);
    for _ in 0..6 {
        while net.leader().is_none() {
            sleep(Duration::from_millis(50)).await;
        }
        // Two sides, with the leader on either; some cuts are one way only.
        let (mut left, mut right): (Vec<usize>, Vec<usize>) =
            (0..SIZE).partition(|_| rng.rand_range(0..2) == 0);
        if left.is_empty() || right.is_empty() {
            (left, right) = (vec![0, 1, 2], vec![3, 4]);
        }
        let one_way = rng.rand_range(0..3) == 0;
        for a in &left {
            for b in &right {
                net.cut.borrow_mut().insert((*a, *b));
                if !one_way {
                    net.cut.borrow_mut().insert((*b, *a));
                }
            }
        }
        let dies =
            (rng.rand_range(0..2) == 0).then(|| Duration::from_millis(rng.rand_range(0..1500)));
        let wait = Duration::from_millis(rng.rand_range(0..400));
        let until = Instant::now() + Duration::from_secs(10);
        // The same number with two contents, or two numbers.
        let (one, other) = (
            change(rev, rev + 2, 10),
            change(rev, rev + 2 + rng.rand_range(0..2), 20),
        );
        let trouble = async {
            if let Some(after) = dies {
                sleep(after).await;
                if let Some(leader) = net.leader() {
                    net.kill(leader);
                    sleep(Duration::from_millis(300)).await;
                    net.start(leader);
                }
            }
            sleep(Duration::from_millis(3000)).await;
            net.cut.borrow_mut().clear();
            net.round.set(net.round.get() + 1);
        };
        let second = async {
            sleep(wait).await;
            net.order(&right, &other, until).await
        };
        let (first, second, ()) = tokio::join!(net.order(&left, &one, until), second, trouble);
        assert!(
            first != Some(true) || second != Some(true),
            "seed {seed}: both changes on top of version {rev} were acknowledged"
        );
        contested += usize::from(first.is_some() && second.is_some());
        acknowledged += usize::from(first == Some(true) || second == Some(true));
        // Read through the majority: what was acknowledged is in force at all.
        let mut read = None;
        while read.is_none() {
            sleep(Duration::from_millis(50)).await;
            let Some(cell) = net.leader().and_then(|l| net.cell(l)) else {
                continue;
            };
            read = cell
                .wait_until_current(ORDER)
                .await
                .then(|| cell.replicated_state());
        }
        let agreed = read.expect("read");
        for (outcome, target) in [(first, 10), (second, 20)] {
            let wins = agreed.config.contains(&format!("\"target_ms\":{target}"));
            assert!(
                outcome != Some(true) || wins,
                "seed {seed}: what was acknowledged is gone"
            );
            assert!(
                outcome != Some(false) || !wins,
                "seed {seed}: what lost its race is in force"
            );
        }
        rev = agreed.revision;
    }
    (acknowledged, contested)
}

#[test]
fn of_two_changes_on_one_version_across_a_cut_one_is_acknowledged() {
    let (mut acknowledged, mut contested) = (0, 0);
    for seed in 0..SEEDS {
        let mut runtime = tokio::runtime::Builder::new_current_thread();
        let runtime = runtime
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime");
        let (one, both) = LocalSet::new().block_on(&runtime, race(seed));
        acknowledged += one;
        contested += both;
    }
    assert!(
        acknowledged >= 75,
        "of 90 races only {acknowledged} had a winner"
    );
    assert!(
        contested >= 60,
        "only {contested} of 90 were decided for both"
    );
}
