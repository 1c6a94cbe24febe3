//! The limits of a machine, and whether a process stays within them.

use serde_json::{Value, json};

use crate::common::Process;

/// The memory of a machine in MiB: `mem_mb` of the settings.
const MACHINE_MEMORY_MB: usize = 96;

/// Returns the `limits` of the settings of a machine with this many descriptors.
pub(crate) fn limits(max_fds: usize) -> Value {
    json!({"mem_mb": MACHINE_MEMORY_MB, "max_fds": max_fds})
}

/// Checks that a process lives and has never exceeded the memory of its machine, and that it has no more descriptors
/// open than its machine has.
pub(crate) fn check_process(name: &str, process: &mut Process, max_fds: usize) {
    let ended = process.0.try_wait().expect("a child");
    assert!(ended.is_none(), "{name} has ended: {ended:?}");
    let id = process.0.id();
    let peak_mb = peak_resident_kb(id) >> 10;
    println!("{name}: at most {peak_mb} of {MACHINE_MEMORY_MB} MiB");
    assert!(
        peak_mb <= MACHINE_MEMORY_MB,
        "{name} has held {peak_mb} MiB, its machine has {MACHINE_MEMORY_MB}"
    );
    let fds = std::fs::read_dir(format!("/proc/{id}/fd"))
        .expect("listed")
        .count();
    assert!(
        fds <= max_fds,
        "{name} has {fds} descriptors open, not {max_fds}"
    );
}

/// Returns the most resident memory that a process has ever had, in KiB.
fn peak_resident_kb(id: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("it runs");
    let peak = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .and_then(|value| value.split_whitespace().next());
    peak.and_then(|kb| kb.parse().ok())
        .expect("VmHWM is a number")
}
