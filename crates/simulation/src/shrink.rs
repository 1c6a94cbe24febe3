//! Reduces a failing schedule: removes faults as long as it still violates the same invariant, and formats the
//! remaining schedule as a test.

use crate::Invariant;
use crate::schedule::Schedule;
use crate::world::run;

/// Returns the smallest schedule found that still violates the invariant. Tries to remove halves of the faults first,
/// then smaller chunks, down to single faults.
pub fn shrink(schedule: &Schedule, invariant: Invariant) -> Schedule {
    let is_failing = |s: &Schedule| run(s).violation.is_some_and(|v| v.invariant == invariant);
    let mut smallest = schedule.clone();
    let mut chunk = smallest.faults.len().div_ceil(2).max(1);
    loop {
        let mut has_removed = false;
        let mut from = 0;
        while from < smallest.faults.len() {
            let mut candidate = smallest.clone();
            let to = (from + chunk).min(candidate.faults.len());
            candidate.faults.drain(from..to);
            if is_failing(&candidate) {
                (smallest, has_removed) = (candidate, true);
            } else {
                from += chunk;
            }
        }
        if chunk == 1 && !has_removed {
            return smallest;
        }
        chunk = (chunk / 2).max(1);
    }
}

/// Formats a schedule as a test that passes once the invariant holds.
pub fn as_test(schedule: &Schedule, invariant: Invariant) -> String {
    let Schedule {
        seed,
        machines,
        tolerable_losses,
        profile,
        compaction_threshold,
        padding_bytes,
        faults,
        end_ms,
    } = schedule;
    let name = format!("{invariant:?}").to_lowercase();
    let faults: String = faults
        .iter()
        .map(|f| {
            let (at_ms, fault) = (f.at_ms, &f.fault);
            format!("            ScheduledFault {{ at_ms: {at_ms}, fault: Fault::{fault:?} }},\n")
        })
        .collect();
    format!(
        "#[test]
fn {name}_of_seed_{seed}() {{
    use simulation::schedule::{{Fault, Profile, Schedule, ScheduledFault}};
    let schedule = Schedule {{
        seed: {seed},
        machines: {machines},
        tolerable_losses: {tolerable_losses},
        profile: Profile::{profile:?},
        compaction_threshold: {compaction_threshold},
        padding_bytes: {padding_bytes},
        faults: vec![
{faults}        ],
        end_ms: {end_ms},
    }};
    assert_eq!(simulation::world::run(&schedule).violation, None);
}}
"
    )
}
