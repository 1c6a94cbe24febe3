//! The network between machines: delays, losses, doubles, cuts in one or both directions, narrow links.

use std::collections::BTreeMap;

use oorandom::Rand64;
use raft::{AppendEntries, Message, MessageBody, Payload};

/// A message takes at least and at most so long.
const FASTEST: u64 = 1;
const SLOWEST: u64 = 25;
/// What each message costs on the wire beside its entries.
const FRAME: u64 = 120;
/// More than this may not wait for a narrow link: the connection ends, and what waited is gone.
const LONGEST_QUEUE: u64 = 2000;

/// A link that is narrow for a while.
struct Narrow {
    bytes_per_second: u64,
    until: u64,
    free_at: u64,
}

/// All links.
#[derive(Default)]
pub struct Network {
    /// Ordered pairs that are cut, and until when.
    cut: BTreeMap<(usize, usize), u64>,
    late: BTreeMap<usize, (u64, u64)>,
    narrow: BTreeMap<usize, Narrow>,
    lossy: (u64, u64),
    /// When what was sent last on each way arrives: a connection keeps its order.
    last: BTreeMap<(usize, usize), u64>,
}

impl Network {
    /// Cuts one direction.
    pub fn cut(&mut self, from: usize, to: usize, until: u64) {
        let known = self.cut.entry((from, to)).or_default();
        *known = until.max(*known);
    }

    /// Cuts both directions between two sides.
    pub fn partition(&mut self, side: u64, machines: usize, until: u64) {
        let left = |m: usize| side >> m & 1 == 1;
        for a in 0..machines {
            for b in (0..machines).filter(|b| left(a) != left(*b)) {
                self.cut(a, b, until);
            }
        }
    }

    /// Makes a machine's messages late.
    pub fn late(&mut self, machine: usize, delay: u64, until: u64) {
        self.late.insert(machine, (delay, until));
    }

    /// Makes a machine's links narrow.
    pub fn narrow(&mut self, machine: usize, bytes_per_second: u64, until: u64) {
        self.narrow.insert(
            machine,
            Narrow {
                bytes_per_second,
                until,
                free_at: 0,
            },
        );
    }

    /// Loses and doubles so many of a hundred.
    pub fn lossy(&mut self, percent: u64, until: u64) {
        self.lossy = (percent, until);
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        *self = Self::default();
    }

    /// Whether nothing gets through at this time.
    pub fn is_cut(&self, from: usize, to: usize, now: u64) -> bool {
        self.cut.get(&(from, to)).is_some_and(|until| now < *until)
    }

    /// When what is sent now arrives: not at all, once or twice.
    pub fn arrivals(
        &mut self,
        rng: &mut Rand64,
        from: usize,
        to: usize,
        bytes: u64,
        now: u64,
    ) -> Vec<u64> {
        if self.is_cut(from, to, now) {
            return Vec::new();
        }
        let mut at = now + rng.rand_range(FASTEST..SLOWEST);
        for machine in [from, to] {
            if let Some((delay, until)) = self.late.get(&machine)
                && now < *until
            {
                at += rng.rand_range(0..delay + 1);
            }
            if let Some(link) = self.narrow.get_mut(&machine).filter(|n| now < n.until) {
                let takes = bytes * 1000 / link.bytes_per_second;
                if link.free_at > now + LONGEST_QUEUE {
                    return Vec::new();
                }
                link.free_at = link.free_at.max(now) + takes;
                at += link.free_at - now;
            }
        }
        let (percent, until) = self.lossy;
        if now >= until {
            let last = self.last.entry((from, to)).or_default();
            *last = at.max(*last);
            return vec![*last];
        }
        match rng.rand_range(0..100) {
            n if n < percent => Vec::new(),
            n if n < 2 * percent => vec![at, at + rng.rand_range(1..500)],
            _ => vec![at],
        }
    }
}

/// About how many bytes a message takes.
pub fn size(message: &Message) -> u64 {
    let data = |payload: &Payload| match payload {
        Payload::Data(data) => data.len() as u64,
        _ => 32,
    };
    FRAME
        + match &message.body {
            MessageBody::AppendEntries(AppendEntries { entries, .. }) => {
                entries.iter().map(|e| data(&e.payload)).sum()
            }
            MessageBody::Chunk(piece) => piece.bytes.len() as u64,
            _ => 0,
        }
}
