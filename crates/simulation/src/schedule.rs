//! Schedules of faults: a seed, the size of the deployment, and the faults with their times.
//!
//! A schedule is plain data and determines a run completely. [`Schedule::from_seed`] generates one, and a test may
//! construct one literally. All times are milliseconds of simulated time.

mod generator;

/// How long a machine still counts as lost after its fault has ended, in milliseconds, because it needs time to catch
/// up.
pub const CATCH_UP_TIME_MS: u64 = 6000;
/// The time without faults at the end of each schedule, in milliseconds. The liveness invariant must hold during that
/// time.
pub const QUIET_TIME_MS: u64 = 18_000;

/// How many faults may coincide, and therefore when the deployment has to make progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Profile {
    /// Faults affect any number of machines at a time, but no more disks are lost than the deployment tolerates.
    /// Progress is required after all faults have ended.
    Chaos,
    /// Faults never affect more machines at a time than the deployment tolerates. Progress is required whenever no
    /// fault has begun or ended for a while.
    Tolerated,
}

/// A fault. Machines are identified by their slot in the deployment, starting with 0. A replacement takes the slot of
/// the machine that it replaces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process crashes, and writes that are not synced may be lost. It is restarted after `duration_ms`.
    Crash {
        /// The slot of the machine.
        machine: usize,
        /// The time until the restart.
        duration_ms: u64,
    },
    /// The process is suspended while time advances.
    Pause {
        /// The slot of the machine.
        machine: usize,
        /// The time until the process resumes.
        duration_ms: u64,
    },
    /// No write completes until the fault ends.
    StallDisk {
        /// The slot of the machine.
        machine: usize,
        /// The duration of the fault.
        duration_ms: u64,
    },
    /// Each write fails, and is retried.
    RejectWrites {
        /// The slot of the machine.
        machine: usize,
        /// The duration of the fault.
        duration_ms: u64,
    },
    /// A network partition in one direction: `from` does not reach `to`, but `to` still reaches `from`.
    OneWayPartition {
        /// The slot of the sender.
        from: usize,
        /// The slot of the receiver.
        to: usize,
        /// The duration of the fault.
        duration_ms: u64,
    },
    /// A network partition: machines of `side` and all others do not reach each other.
    Partition {
        /// The machines of one side as a bit mask: bit 0 is slot 0.
        side: u64,
        /// The duration of the fault.
        duration_ms: u64,
    },
    /// `percent` of all messages are lost, and the same share is delivered twice.
    PacketLoss {
        /// The share of messages, in percent.
        percent: u64,
        /// The duration of the fault.
        duration_ms: u64,
    },
    /// Messages that this machine sends or receives are delayed.
    Latency {
        /// The slot of the machine.
        machine: usize,
        /// The longest additional delay of a message.
        max_delay_ms: u64,
        /// The duration of the fault.
        duration_ms: u64,
    },
    /// The machine is behind a low-bandwidth link.
    LowBandwidth {
        /// The slot of the machine.
        machine: usize,
        /// The bandwidth, shared by all messages that the machine sends and receives.
        bytes_per_second: u64,
        /// The duration of the fault.
        duration_ms: u64,
    },
    /// The machine loses its disk and returns as a new member at the same address.
    Wipe {
        /// The slot of the machine.
        machine: usize,
        /// The time until it returns.
        duration_ms: u64,
    },
    /// The machine is lost permanently. A new one takes its place at another address.
    Replace {
        /// The slot of the machine.
        machine: usize,
        /// The time until the new one starts.
        duration_ms: u64,
    },
    /// The machine is shut down gracefully. A new one takes its place at another address.
    Leave {
        /// The slot of the machine.
        machine: usize,
        /// The time until the new one starts.
        duration_ms: u64,
    },
}

impl Fault {
    /// Returns the machine that counts as lost while the fault lasts, if the fault affects a single machine.
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

    /// Returns how long the fault lasts, in milliseconds.
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

    /// Returns whether the fault includes the loss of a disk.
    pub fn is_disk_loss(&self) -> bool {
        matches!(
            self,
            Self::Wipe { .. } | Self::Replace { .. } | Self::Leave { .. }
        )
    }
}

/// A fault and the time at which it begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduledFault {
    /// Milliseconds since the start of the run.
    pub at_ms: u64,
    /// The fault.
    pub fault: Fault,
}

/// Everything that determines a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// The seed of all randomness except the faults: message delays, losses, the behavior of operators.
    pub seed: u64,
    /// The number of machines, each with a disk.
    pub machines: usize,
    /// The number of machines that may be lost at a time.
    pub tolerable_losses: usize,
    /// How many faults may coincide.
    pub profile: Profile,
    /// A log is compacted once it has more entries than this.
    pub compaction_threshold: usize,
    /// The number of bytes of padding in each configuration.
    pub padding_bytes: usize,
    /// The faults, ordered by time.
    pub faults: Vec<ScheduledFault>,
    /// The end of the run, in milliseconds since its start.
    pub end_ms: u64,
}
