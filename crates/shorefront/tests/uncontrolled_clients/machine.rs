//! The limits of a machine, and whether a process stays within them.

use serde_json::{Value, json};

use crate::common::Process;

/// The memory of most machines in MiB: `mem_mb` of the settings.
const MACHINE_MEMORY_MB: usize = 96;

/// A machine with these limits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Machine {
    pub(crate) memory_mb: usize,
    pub(crate) max_fds: usize,
}

/// A machine with room for all connections of a group.
pub(crate) const MANY_FDS: Machine = Machine {
    memory_mb: MACHINE_MEMORY_MB,
    max_fds: 1024,
};
/// A machine with room for 18 client connections.
pub(crate) const FEW_FDS: Machine = Machine {
    memory_mb: MACHINE_MEMORY_MB,
    max_fds: 300,
};

impl Machine {
    /// Returns the `limits` of the settings.
    pub(crate) fn limits(self) -> Value {
        json!({"mem_mb": self.memory_mb, "max_fds": self.max_fds})
    }
}

/// Checks that a process lives and has never exceeded the memory of its machine, and that it has no more descriptors
/// open than its machine has.
pub(crate) fn check_process(name: &str, process: &mut Process, machine: Machine) {
    let Machine { memory_mb, max_fds } = machine;
    let ended = process.0.try_wait().expect("a child");
    assert!(ended.is_none(), "{name} has ended: {ended:?}");
    let id = process.0.id();
    let peak_mb = peak_resident_kb(id) >> 10;
    println!("{name}: at most {peak_mb} of {memory_mb} MiB");
    assert!(
        peak_mb <= memory_mb,
        "{name} has held {peak_mb} MiB, its machine has {memory_mb}"
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
