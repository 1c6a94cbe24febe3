//! Generates the schedule of a seed. The schedule depends on the order of the random draws, so a change here gives
//! every seed a different schedule.

use oorandom::Rand64;

use super::{CATCH_UP_TIME_MS, Fault, Profile, QUIET_TIME_MS, Schedule, ScheduledFault};

/// Faults at random times begin before this time.
const FAULT_WINDOW_MS: u64 = 30_000;
/// No fault at a random time begins before this time, by which a leader is elected.
const FIRST_FAULT_MS: u64 = 2000;
/// Makes the generator's seed differ from the run's seed, so that faults and delays are drawn independently.
const SEED_MASK: u128 = 0x5eed_0000_0000;

impl Schedule {
    /// Returns the schedule of a seed, which is always the same.
    pub fn from_seed(seed: u64) -> Self {
        let mut rng = Rand64::new(u128::from(seed) ^ SEED_MASK);
        let (machines, tolerable_losses) =
            [(3, 1), (4, 1), (6, 2), (8, 2)][rng.rand_range(0..4) as usize];
        let profile = if seed.is_multiple_of(2) {
            Profile::Tolerated
        } else {
            Profile::Chaos
        };
        let compaction_threshold = [6, 12, 40, 256][rng.rand_range(0..4) as usize];
        let padding_bytes = if rng.rand_range(0..12) == 0 {
            24 << 10
        } else {
            0
        };
        let mut faults = match seed % 4 {
            2 => replacements(&mut rng, machines, tolerable_losses),
            _ => random_faults(&mut rng, machines, profile),
        };
        faults.sort_by_key(|scheduled| scheduled.at_ms);
        if profile == Profile::Tolerated {
            retain_tolerable(&mut faults, tolerable_losses);
        }
        let last_fault_ms = faults.iter().map(|f| f.at_ms).max().unwrap_or(0);
        let faults_until_ms = if profile == Profile::Tolerated {
            last_fault_ms
        } else {
            FAULT_WINDOW_MS
        };
        Self {
            seed,
            machines,
            tolerable_losses,
            profile,
            compaction_threshold,
            padding_bytes,
            faults,
            end_ms: faults_until_ms + QUIET_TIME_MS,
        }
    }
}

/// Returns random faults at random times.
fn random_faults(rng: &mut Rand64, machines: usize, profile: Profile) -> Vec<ScheduledFault> {
    let count = 3 + rng.rand_range(0..16);
    let scheduled = |_| ScheduledFault {
        at_ms: FIRST_FAULT_MS + rng.rand_range(0..FAULT_WINDOW_MS - FIRST_FAULT_MS),
        fault: random_fault(rng, machines, profile),
    };
    (0..count).map(scheduled).collect()
}

/// Returns up to five replacements of machines, and then crashes of as many machines as the deployment tolerates, at
/// random times after the last replacement. A replacement begins up to twice [`CATCH_UP_TIME_MS`] after the previous
/// one has ended, so that some begin as soon as is allowed. Those that begin too soon are removed by
/// [`retain_tolerable`].
fn replacements(rng: &mut Rand64, machines: usize, tolerable_losses: usize) -> Vec<ScheduledFault> {
    let mut faults = Vec::new();
    let mut at_ms = 3000;
    for _ in 0..1 + rng.rand_range(0..5) {
        let machine = rng.rand_range(0..machines as u64) as usize;
        let duration_ms = 100 + rng.rand_range(0..1500);
        let fault = match rng.rand_range(0..4) {
            0 => Fault::Wipe {
                machine,
                duration_ms,
            },
            1 => Fault::Leave {
                machine,
                duration_ms,
            },
            _ => Fault::Replace {
                machine,
                duration_ms,
            },
        };
        faults.push(ScheduledFault { at_ms, fault });
        at_ms += duration_ms + rng.rand_range(0..2 * CATCH_UP_TIME_MS);
    }
    let first = rng.rand_range(0..machines as u64) as usize;
    for machine in (0..tolerable_losses).map(|i| (first + i) % machines) {
        at_ms += rng.rand_range(0..3000);
        faults.push(ScheduledFault {
            at_ms,
            fault: Fault::Crash {
                machine,
                duration_ms: QUIET_TIME_MS,
            },
        });
    }
    faults
}

/// Removes faults that would cause the loss of more machines at a time than the deployment tolerates.
fn retain_tolerable(faults: &mut Vec<ScheduledFault>, tolerable_losses: usize) {
    let mut lost: Vec<(usize, u64)> = Vec::new();
    faults.retain(|scheduled| {
        let Some(machine) = scheduled.fault.machine() else {
            return true;
        };
        lost.retain(|(_, until_ms)| *until_ms > scheduled.at_ms);
        let others = lost.iter().filter(|(m, _)| *m != machine).count();
        let is_lost_already = lost.iter().any(|(m, _)| *m == machine);
        if is_lost_already || others >= tolerable_losses {
            return false;
        }
        let recovered_ms = scheduled.at_ms + scheduled.fault.duration_ms() + CATCH_UP_TIME_MS;
        lost.push((machine, recovered_ms));
        true
    });
}

/// Returns a random fault. Partitions may cut off more machines than the deployment tolerates, so only
/// [`Profile::Chaos`] has them.
fn random_fault(rng: &mut Rand64, machines: usize, profile: Profile) -> Fault {
    let mut below = |n: u64| rng.rand_range(0..n);
    let machine = below(machines as u64) as usize;
    let short_ms = 100 + below(2000);
    let long_ms = 1000 + below(8000);
    let kinds = if profile == Profile::Tolerated {
        14
    } else {
        16
    };
    let kind = below(kinds);
    match kind {
        0 | 1 => Fault::Crash {
            machine,
            duration_ms: short_ms,
        },
        2 => Fault::Crash {
            machine,
            duration_ms: long_ms,
        },
        3 => Fault::Pause {
            machine,
            duration_ms: long_ms,
        },
        4 => Fault::StallDisk {
            machine,
            duration_ms: long_ms,
        },
        5 => Fault::RejectWrites {
            machine,
            duration_ms: long_ms,
        },
        10 => Fault::Wipe {
            machine,
            duration_ms: short_ms,
        },
        11 | 12 => Fault::Replace {
            machine,
            duration_ms: short_ms,
        },
        13 => Fault::Leave {
            machine,
            duration_ms: short_ms,
        },
        _ => random_network_fault(rng, kind, machines, machine, short_ms, long_ms),
    }
}

/// Returns a network fault for [`random_fault`]: kinds 6 to 9, 14 and 15.
fn random_network_fault(
    rng: &mut Rand64,
    kind: u64,
    machines: usize,
    machine: usize,
    short_ms: u64,
    long_ms: u64,
) -> Fault {
    let mut below = |n: u64| rng.rand_range(0..n);
    match kind {
        6 => Fault::OneWayPartition {
            from: machine,
            to: (machine + 1 + below(machines as u64 - 1) as usize) % machines,
            duration_ms: long_ms,
        },
        7 => Fault::Latency {
            machine,
            max_delay_ms: short_ms / 4,
            duration_ms: long_ms,
        },
        8 => Fault::LowBandwidth {
            machine,
            bytes_per_second: 2000 + below(50_000),
            duration_ms: long_ms,
        },
        9 => Fault::PacketLoss {
            percent: below(15),
            duration_ms: short_ms,
        },
        _ => Fault::Partition {
            side: 1 + below((1 << machines) - 2),
            duration_ms: long_ms,
        },
    }
}
