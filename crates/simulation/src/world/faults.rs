//! The beginning and end of each fault.

use super::{Event, Shutdown, TraceEvent, World};
use crate::disk::Disk;
use crate::process::Input;
use crate::schedule::{Fault, Profile};

/// How long a process continues to run after a request to shut down, in milliseconds.
const SHUTDOWN_GRACE_MS: u64 = 2000;

impl World<'_> {
    /// Begins a fault. A disk loss that the deployment would not survive is turned into a crash.
    pub(super) fn begin_fault(&mut self, fault: &Fault) {
        self.last_disturbance_ms = self.now_ms;
        let ends_ms = self.now_ms.saturating_add(fault.duration_ms());
        self.queue.schedule(ends_ms, Event::FaultEnds);
        self.record(&TraceEvent::FaultBegan { ends_ms });
        if fault.is_disk_loss() && !self.can_lose_disk(fault) {
            self.crash(fault.machine().unwrap_or(0), ends_ms);
            return;
        }
        match *fault {
            Fault::Crash { machine, .. } => self.crash(machine, ends_ms),
            Fault::Pause { machine, .. } => {
                let m = &mut self.machines[machine];
                m.paused_until_ms = m.paused_until_ms.max(ends_ms);
                self.queue.schedule(ends_ms, Event::Resume(machine));
            }
            Fault::StallDisk { machine, .. } => {
                self.machines[machine].disk_stalled_until_ms = ends_ms;
            }
            Fault::RejectWrites { machine, .. } => {
                self.machines[machine].writes_rejected_until_ms = ends_ms;
            }
            Fault::OneWayPartition { from, to, .. } => {
                self.network.partition_one_way(from, to, ends_ms);
            }
            Fault::Partition { side, .. } => {
                self.network.partition(side, self.machines.len(), ends_ms);
            }
            Fault::PacketLoss { percent, .. } => self.network.set_packet_loss(percent, ends_ms),
            Fault::Latency {
                machine,
                max_delay_ms,
                ..
            } => self.network.set_latency(machine, max_delay_ms, ends_ms),
            Fault::LowBandwidth {
                machine,
                bytes_per_second,
                ..
            } => self
                .network
                .set_bandwidth(machine, bytes_per_second, ends_ms),
            Fault::Wipe { machine, .. } => self.lose_disk(machine, ends_ms, false),
            Fault::Replace { machine, .. } => self.lose_disk(machine, ends_ms, true),
            Fault::Leave { machine, .. } => self.begin_shutdown(machine, ends_ms),
        }
    }

    /// Returns whether another disk may be lost now. The generator ensures this for schedules with
    /// [`Profile::Tolerated`]. Otherwise no more members may be missing than the deployment tolerates.
    fn can_lose_disk(&self, fault: &Fault) -> bool {
        if self.schedule.profile == Profile::Tolerated {
            return true;
        }
        let voters = &self.history.members().voters;
        let machine = fault.machine().unwrap_or(0);
        let others = self
            .machines
            .iter()
            .enumerate()
            .filter(|(slot, _)| *slot != machine);
        let without_vote = others
            .filter(|(_, m)| m.is_shutting_down || !voters.contains_key(&m.id))
            .count();
        let voters_without_machine = voters
            .keys()
            .filter(|id| !self.machines.iter().any(|m| m.id == **id))
            .count();
        without_vote.max(voters_without_machine) < self.schedule.tolerable_losses
    }

    /// Crashes a process and schedules its restart at `restart_ms`.
    fn crash(&mut self, machine: usize, restart_ms: u64) {
        let is_synced = self.rng.rand_range(0..2) == 0;
        let m = &mut self.machines[machine];
        m.incarnation += 1;
        m.process = None;
        m.inbox.clear();
        m.paused_until_ms = 0;
        m.disk.on_crash(is_synced);
        let incarnation = m.incarnation;
        let start = Event::Start {
            machine,
            incarnation,
        };
        self.queue.schedule(restart_ms, start);
    }

    /// Makes a machine lose its disk. A new member starts in its slot at `restart_ms`, at the same address or a new
    /// one.
    fn lose_disk(&mut self, machine: usize, restart_ms: u64, has_new_address: bool) {
        self.crash(machine, restart_ms);
        self.last_id += 1;
        let id = self.last_id;
        let m = &mut self.machines[machine];
        self.lost_members.insert(m.id);
        m.id = id;
        m.disk = Disk::default();
        m.is_shutting_down = false;
        if has_new_address {
            m.address = format!("10.0.1.{id}:1");
        }
    }

    /// Begins a graceful shutdown of a process. Its machine is replaced [`SHUTDOWN_GRACE_MS`] after `ends_ms`.
    fn begin_shutdown(&mut self, machine: usize, ends_ms: u64) {
        self.handle_input(machine, Input::Shutdown);
        self.machines[machine].is_shutting_down = true;
        let shutdown = Shutdown {
            machine,
            incarnation: self.machines[machine].incarnation,
            replaced_at_ms: ends_ms + SHUTDOWN_GRACE_MS,
        };
        let at_ms = self.now_ms + SHUTDOWN_GRACE_MS;
        self.queue.schedule(at_ms, Event::ShutdownEnds(shutdown));
    }

    /// Ends the grace period of a shutdown: removes the machine, unless its process has crashed in the meantime.
    pub(super) fn end_shutdown(&mut self, shutdown: &Shutdown) {
        let m = &mut self.machines[shutdown.machine];
        m.is_shutting_down = false;
        if m.incarnation == shutdown.incarnation {
            self.lose_disk(shutdown.machine, shutdown.replaced_at_ms, true);
        }
    }

    /// Ends all faults and starts all machines that are down.
    pub(super) fn end_all_faults(&mut self) {
        self.network.heal();
        self.last_disturbance_ms = self.now_ms;
        for machine in 0..self.machines.len() {
            let m = &mut self.machines[machine];
            m.paused_until_ms = 0;
            m.disk_stalled_until_ms = 0;
            m.writes_rejected_until_ms = 0;
            let incarnation = m.incarnation;
            self.resume(machine);
            self.start(machine, incarnation);
        }
    }
}
