//! A model of the network between machines: delays, packet loss, duplicates, partitions in one or both directions, and
//! low-bandwidth links.
//!
//! Without packet loss ([`Network::set_packet_loss`]), messages of a connection stay in order, and each one arrives
//! unless there is a partition or a queue of more than two seconds. With packet loss, messages may be reordered.

use std::collections::BTreeMap;

use oorandom::Rand64;
use raft::{AppendEntries, Message, MessageBody, Payload};

/// The shortest delay of a message, in milliseconds.
const MIN_DELAY_MS: u64 = 1;
/// The delay of a message is shorter than this, in milliseconds.
const MAX_DELAY_MS: u64 = 25;
/// The size of a message on the wire without its entries.
const FRAME_BYTES: u64 = 120;
/// The size of an entry that contains no command.
const SMALL_ENTRY_BYTES: u64 = 32;
/// A message that would wait longer than this many milliseconds for a low-bandwidth link is lost, as if its connection
/// had been closed.
const MAX_QUEUE_MS: u64 = 2000;
/// A duplicate arrives less than this many milliseconds after the original.
const MAX_DUPLICATE_DELAY_MS: u64 = 500;

/// A direction of a link: the slots of the sender and the receiver.
type Direction = (usize, usize);

/// An additional delay of all messages of a machine.
struct Latency {
    max_delay_ms: u64,
    until_ms: u64,
}

/// A limit on the bandwidth of a machine.
struct LowBandwidthLink {
    bytes_per_second: u64,
    until_ms: u64,
    /// When all messages sent so far have been transmitted.
    free_at_ms: u64,
}

/// Random loss and duplication of messages on all links.
#[derive(Default)]
struct PacketLoss {
    percent: u64,
    until_ms: u64,
}

/// All links and their faults.
#[derive(Default)]
pub(crate) struct Network {
    /// The time until which each direction is blocked.
    partitioned_until_ms: BTreeMap<Direction, u64>,
    latency: BTreeMap<usize, Latency>,
    low_bandwidth: BTreeMap<usize, LowBandwidthLink>,
    packet_loss: PacketLoss,
    /// The arrival time of the last message in each direction, which no later message may overtake.
    last_arrival_ms: BTreeMap<Direction, u64>,
}

impl Network {
    /// Blocks one direction until `until_ms`.
    pub(crate) fn partition_one_way(&mut self, from: usize, to: usize, until_ms: u64) {
        let known = self.partitioned_until_ms.entry((from, to)).or_default();
        *known = until_ms.max(*known);
    }

    /// Blocks both directions between the machines whose bit in `side` is set and all others.
    pub(crate) fn partition(&mut self, side: u64, machines: usize, until_ms: u64) {
        let is_in_side = |machine: usize| side >> machine & 1 == 1;
        for a in 0..machines {
            for b in (0..machines).filter(|b| is_in_side(a) != is_in_side(*b)) {
                self.partition_one_way(a, b, until_ms);
            }
        }
    }

    /// Delays each message that a machine sends or receives by up to `max_delay_ms`.
    pub(crate) fn set_latency(&mut self, machine: usize, max_delay_ms: u64, until_ms: u64) {
        self.latency.insert(
            machine,
            Latency {
                max_delay_ms,
                until_ms,
            },
        );
    }

    /// Limits the bandwidth of a machine, shared by all messages that it sends and receives.
    pub(crate) fn set_bandwidth(&mut self, machine: usize, bytes_per_second: u64, until_ms: u64) {
        self.low_bandwidth.insert(
            machine,
            LowBandwidthLink {
                bytes_per_second,
                until_ms,
                free_at_ms: 0,
            },
        );
    }

    /// Loses `percent` of all messages and delivers the same share twice.
    pub(crate) fn set_packet_loss(&mut self, percent: u64, until_ms: u64) {
        self.packet_loss = PacketLoss { percent, until_ms };
    }

    /// Ends all faults.
    pub(crate) fn heal(&mut self) {
        *self = Self::default();
    }

    fn is_partitioned(&self, direction: Direction, now_ms: u64) -> bool {
        self.partitioned_until_ms
            .get(&direction)
            .is_some_and(|until_ms| now_ms < *until_ms)
    }

    /// Returns the arrival times of a message that is sent now: none if it is lost, two if it is duplicated.
    pub(crate) fn arrivals(
        &mut self,
        rng: &mut Rand64,
        from: usize,
        to: usize,
        bytes: u64,
        now_ms: u64,
    ) -> Vec<u64> {
        if self.is_partitioned((from, to), now_ms) {
            return Vec::new();
        }
        let mut at_ms = now_ms + rng.rand_range(MIN_DELAY_MS..MAX_DELAY_MS);
        for machine in [from, to] {
            if let Some(latency) = self.latency.get(&machine)
                && now_ms < latency.until_ms
            {
                at_ms += rng.rand_range(0..latency.max_delay_ms + 1);
            }
            if let Some(link) = self.low_bandwidth.get_mut(&machine)
                && now_ms < link.until_ms
            {
                if link.free_at_ms > now_ms + MAX_QUEUE_MS {
                    return Vec::new();
                }
                let transmission_ms = bytes * 1000 / link.bytes_per_second;
                link.free_at_ms = link.free_at_ms.max(now_ms) + transmission_ms;
                at_ms += link.free_at_ms - now_ms;
            }
        }
        let PacketLoss { percent, until_ms } = self.packet_loss;
        if now_ms >= until_ms {
            let last = self.last_arrival_ms.entry((from, to)).or_default();
            *last = at_ms.max(*last);
            return vec![*last];
        }
        match rng.rand_range(0..100) {
            n if n < percent => Vec::new(),
            n if n < 2 * percent => {
                let duplicate_ms = at_ms + rng.rand_range(1..MAX_DUPLICATE_DELAY_MS);
                vec![at_ms, duplicate_ms]
            }
            _ => vec![at_ms],
        }
    }
}

/// Returns the approximate size of a message on the wire.
pub(crate) fn message_bytes(message: &Message) -> u64 {
    let payload_bytes = |payload: &Payload| match payload {
        Payload::Data(data) => data.len() as u64,
        _ => SMALL_ENTRY_BYTES,
    };
    let body_bytes = match &message.body {
        MessageBody::AppendEntries(AppendEntries { entries, .. }) => {
            entries.iter().map(|e| payload_bytes(&e.payload)).sum()
        }
        MessageBody::Chunk(chunk) => chunk.bytes.len() as u64,
        _ => 0,
    };
    FRAME_BYTES + body_bytes
}
