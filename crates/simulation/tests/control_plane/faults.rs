//! Random faults of the control machines.

use std::rc::Rc;
use std::time::Duration;

use oorandom::Rand64;
use tokio::time::sleep;

use crate::deployment::Deployment;
use crate::{CORE, DISKLESS, TOLERABLE_LOSSES};

/// Injects one random fault of the core and waits until it has ended.
pub(crate) async fn inject_core_fault(deployment: &Rc<Deployment>, rng: &mut Rand64) {
    let short = Duration::from_millis(300 + rng.rand_range(0..6000));
    let long = Duration::from_millis(14_000 + rng.rand_range(0..6000));
    let count = 1 + rng.rand_range(0..TOLERABLE_LOSSES);
    let first = rng.rand_range(0..CORE as u64) as usize;
    let affected: Vec<usize> = (0..count as usize).map(|i| (first + i) % CORE).collect();
    let leader = (0..CORE).find(|i| deployment.server(*i).is_some_and(|s| s.is_leader()));
    let leader_or_first = leader.unwrap_or(first);
    match rng.rand_range(0..11) {
        0 => {
            affected.iter().for_each(|i| deployment.kill(*i));
            sleep(short).await;
            affected.iter().for_each(|i| deployment.start(*i));
        }
        1 => restart(deployment, leader_or_first, short / 10).await,
        2 => {
            let is_leader = rng.rand_range(0..2) == 0;
            let machine = if is_leader { leader_or_first } else { first };
            deployment.pause(machine);
            sleep(short).await;
            deployment.resume(machine);
        }
        3 => {
            deployment.stall_disk(leader_or_first, short);
            sleep(short).await;
        }
        4 | 5 => {
            // A minority, sometimes with the leader, and sometimes in one direction only.
            let mut side = affected.clone();
            if rng.rand_range(0..2) == 0 {
                side[0] = leader.unwrap_or(side[0]);
            }
            let is_one_way = rng.rand_range(0..4) == 0;
            partition(deployment, &side, is_one_way);
            sleep(long).await;
            deployment.heal();
        }
        10 => lose_power(deployment, &affected, short / 4).await,
        9 => {
            // Half of the core, even if that is more than may be lost. Machines without a disk still reach both sides.
            let half: Vec<usize> = (0..CORE / 2).collect();
            partition(deployment, &half, false);
            sleep(short).await;
            deployment.heal();
        }
        8 => {
            // The wall clock steps, and the process may be restarted afterwards.
            deployment.step_clock(first);
            if rng.rand_range(0..2) == 0 {
                restart(deployment, first, short / 10).await;
            }
        }
        kind => {
            deployment.lose_disk(first, kind == 6);
            sleep(short / 4).await;
            deployment.start(first);
        }
    }
    deployment.disturb();
}

/// Restarts the process of a machine.
async fn restart(deployment: &Rc<Deployment>, machine: usize, downtime: Duration) {
    deployment.kill(machine);
    sleep(downtime).await;
    deployment.start(machine);
}

/// Restarts all machines, including those without a disk, after a simultaneous power failure in which some core
/// machines also lose their disks.
async fn lose_power(deployment: &Rc<Deployment>, lost_disks: &[usize], downtime: Duration) {
    let all = 0..CORE + DISKLESS;
    all.clone().for_each(|i| deployment.kill(i));
    lost_disks
        .iter()
        .for_each(|i| deployment.lose_disk(*i, false));
    sleep(downtime).await;
    all.for_each(|i| deployment.start(i));
}

/// Partitions `side` from the rest of the core. If `is_one_way` is true, `side` still receives messages from the rest.
fn partition(deployment: &Deployment, side: &[usize], is_one_way: bool) {
    deployment.disturb();
    for a in side {
        for b in (0..CORE).filter(|b| !side.contains(b)) {
            deployment.partition_one_way(*a, b);
            if !is_one_way {
                deployment.partition_one_way(b, *a);
            }
        }
    }
}

/// Repeatedly injects faults of one or more machines without a disk, at random times. They do not affect the core.
pub(crate) async fn inject_diskless_faults(deployment: Rc<Deployment>, mut rng: Rand64) {
    loop {
        sleep(Duration::from_millis(500 + rng.rand_range(0..8000))).await;
        let count = 1 + rng.rand_range(0..DISKLESS as u64) as usize;
        let machines = CORE..CORE + count;
        let is_pause = rng.rand_range(0..2) == 0;
        for i in machines.clone() {
            if is_pause {
                deployment.pause(i);
            } else {
                deployment.kill(i);
            }
        }
        sleep(Duration::from_millis(300 + rng.rand_range(0..8000))).await;
        for i in machines {
            if is_pause {
                deployment.resume(i);
            } else {
                deployment.start(i);
            }
        }
    }
}
