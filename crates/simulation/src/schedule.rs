//! Schedules of faults: a seed, the size of the deployment, and the faults with their times.
//!
//! A schedule is plain data and all that a run depends on. [`Schedule::from_seed`] generates one; a test may write one
//! out. All times are milliseconds of simulated time.

mod generator;

/// How long a machine still counts as lost after its fault has ended, in milliseconds: it needs that long to catch up.
pub const CATCH_UP_TIME_MS: u64 = 6000;
/// Time without faults at the end of each schedule, in milliseconds. The liveness invariant must hold within it.
pub const QUIET_TIME_MS: u64 = 18_000;

/// How many faults may coincide, and therefore when the deployment has to make progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Profile {
    /// Any number of machines at a time, as long as few enough disks are lost. Progress is required once all faults
    /// have ended.
    Chaos,
    /// Never more machines at a time than the deployment tolerates. Progress is required whenever no fault has begun
    /// or ended for a while.
    Tolerated,
}

/// A fault. Machines are named by their slot in the deployment, from 0; a replacement takes the slot of the machine
/// that it replaces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process ends, and writes that are not synced may be lost. It is restarted after `duration_ms`.
    Crash {
        /// The slot.
        machine: usize,
        /// Until the restart.
        duration_ms: u64,
    },
    /// The process is suspended while its clock runs on.
    Pause {
        /// The slot.
        machine: usize,
        /// Until the process goes on.
        duration_ms: u64,
    },
    /// No write completes before the fault is over.
    StallDisk {
        /// The slot.
        machine: usize,
        /// Length of the fault.
        duration_ms: u64,
    },
    /// Each write fails, and is retried.
    RejectWrites {
        /// The slot.
        machine: usize,
        /// Length of the fault.
        duration_ms: u64,
    },
    /// A network partition in one direction: `from` does not reach `to`; the way back stays open.
    OneWayPartition {
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
        /// Length of the fault.
        duration_ms: u64,
    },
    /// A network partition: machines of `side` and the others do not reach each other.
    Partition {
        /// A bit for each machine of one side: bit 0 is slot 0.
        side: u64,
        /// Length of the fault.
        duration_ms: u64,
    },
    /// Of all messages, `percent` are lost, and as many are delivered twice.
    PacketLoss {
        /// Of a hundred.
        percent: u64,
        /// Length of the fault.
        duration_ms: u64,
    },
    /// Whatever this machine sends and receives is delayed.
    Latency {
        /// The slot.
        machine: usize,
        /// Longest additional delay of a message.
        max_delay_ms: u64,
        /// Length of the fault.
        duration_ms: u64,
    },
    /// The machine is behind a low-bandwidth link.
    LowBandwidth {
        /// The slot.
        machine: usize,
        /// Shared by all that it sends and receives.
        bytes_per_second: u64,
        /// Length of the fault.
        duration_ms: u64,
    },
    /// The machine loses its disk and comes back at the same address, as a new member.
    Wipe {
        /// The slot.
        machine: usize,
        /// Until it comes back.
        duration_ms: u64,
    },
    /// The machine is gone for good; another one comes at another address.
    Replace {
        /// The slot.
        machine: usize,
        /// Until the other one comes.
        duration_ms: u64,
    },
    /// The machine is shut down as planned; another one comes at another address.
    Leave {
        /// The slot.
        machine: usize,
        /// Until the other one comes.
        duration_ms: u64,
    },
}

impl Fault {
    /// The machine that counts as lost while the fault lasts, if it is one.
    pub fn machine(&self) -> Option<usize> {
        match self {
            Self::Crash { machine, .. }
            | Self::Pause { machine, .. }
            | Self::StallDisk { machine, .. }
            | Self::RejectWrites { machine, .. }
            | Self::Latency { machine, .. }
            | Self::LowBandwidth { machine, .. }
            | Self::Wipe { machine, .. }
            | Self::Replace { machine, .. }
            | Self::Leave { machine, .. } => Some(*machine),
            Self::OneWayPartition { from, .. } => Some(*from),
            Self::Partition { .. } | Self::PacketLoss { .. } => None,
        }
    }

    /// How long the fault lasts, in milliseconds.
    pub fn duration_ms(&self) -> u64 {
        match self {
            Self::Crash { duration_ms, .. }
            | Self::Pause { duration_ms, .. }
            | Self::StallDisk { duration_ms, .. }
            | Self::RejectWrites { duration_ms, .. }
            | Self::OneWayPartition { duration_ms, .. }
            | Self::Partition { duration_ms, .. }
            | Self::PacketLoss { duration_ms, .. }
            | Self::Latency { duration_ms, .. }
            | Self::LowBandwidth { duration_ms, .. }
            | Self::Wipe { duration_ms, .. }
            | Self::Replace { duration_ms, .. }
            | Self::Leave { duration_ms, .. } => *duration_ms,
        }
    }

    /// Whether a disk is lost with the machine.
    pub fn is_disk_loss(&self) -> bool {
        matches!(
            self,
            Self::Wipe { .. } | Self::Replace { .. } | Self::Leave { .. }
        )
    }
}

/// A fault and when it begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// Milliseconds since the start of the run.
    pub at_ms: u64,
    /// What goes wrong.
    pub fault: Fault,
}

/// All that a run depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// Seeds everything random outside the faults: delays, losses, what operators do.
    pub seed: u64,
    /// Number of machines, each with a disk.
    pub machines: usize,
    /// How many of them may be lost at a time.
    pub tolerable_losses: usize,
    /// How many faults may coincide.
    pub profile: Profile,
    /// A log is compacted once it has more entries than this.
    pub compaction_threshold: usize,
    /// Each configuration is longer by so many bytes.
    pub padding_bytes: usize,
    /// The faults in the order of their times.
    pub faults: Vec<ScheduledFault>,
    /// When the run ends, in milliseconds since its start.
    pub end_ms: u64,
}
