//! Operators who race on one configuration, repeat what has no clear answer, and follow redirects.

use control_plane::configuration::{Command, CommandOutcome};
use oorandom::Rand64;

/// Without an answer for so long, an operator asks elsewhere.
pub const SILENCE: u64 = 1000;
/// An order without a clear answer for so long is left.
const PATIENCE: u64 = 20_000;
/// Between two attempts.
const AGAIN: u64 = 60;
/// Between two orders, at most.
const PAUSE: u64 = 1200;

/// What a control process says to an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// This became of it.
    Verdict(CommandOutcome),
    /// Somebody else leads, at this place of the deployment.
    NotLeader(Option<usize>),
    /// It may be taken or not.
    Unclear,
}

/// An order on its way.
#[derive(Clone, Debug)]
pub struct Order {
    /// The version it builds on.
    pub base: u64,
    /// What is sent each time.
    pub command: Command,
    since: u64,
}

/// What an operator learnt from an answer.
pub enum Learnt {
    /// The order stands.
    Acknowledged(Order),
    /// It never will.
    Refused(Order),
    /// Nothing: it is sent again.
    Nothing,
}

/// One operator.
pub struct Operator {
    name: usize,
    known: u64,
    count: u64,
    padding: usize,
    at: usize,
    /// Counts attempts, so that late answers are told from the one that is waited for.
    pub attempt: u64,
    /// What is on its way.
    pub order: Option<Order>,
}

impl Operator {
    /// One that knows of no version yet.
    pub fn new(name: usize, padding: usize) -> Self {
        Self {
            name,
            known: 0,
            count: 0,
            padding,
            at: name,
            attempt: 0,
            order: None,
        }
    }

    /// Sends, whether for the first time or again: the machine and the order.
    pub fn attempt(&mut self, now: u64, rng: &mut Rand64, machines: usize) -> (usize, Order) {
        if self
            .order
            .as_ref()
            .is_some_and(|o| now > o.since + PATIENCE)
        {
            self.order = None;
        }
        self.attempt += 1;
        let order = match self.order.clone() {
            Some(order) => order,
            None => self.next(now, rng),
        };
        self.order = Some(order.clone());
        (self.at % machines, order)
    }

    fn next(&mut self, now: u64, rng: &mut Rand64) -> Order {
        self.count += 1;
        let rev = self.known + 1 + rng.rand_range(0..3);
        // At times both operators send the very same.
        let author = if rng.rand_range(0..8) == 0 {
            0
        } else {
            self.name as u64 + 1
        };
        let target = 1 + 100 * author + if author == 0 { 0 } else { self.count % 90 };
        let note = "-".repeat(self.padding);
        let body = format!(
            r#"{{"rev": {rev}, "note": "{note}", "services": [{{"name": "s"}}], "routes": [{{"name": "r",
            "host": "h", "path_prefix": "/a/", "type": "mutating", "deadline_ms": 100,
            "target_ms": {target}, "svc": "s", "tries": 2}}]}}"#
        );
        let base = self.known;
        Order {
            base,
            command: Command::Replace { base, body },
            since: now,
        }
    }

    /// There was no answer, or none in time.
    pub fn silent(&mut self) {
        self.at += 1;
    }

    /// An answer; what it says, and after how long to go on.
    pub fn answered(&mut self, answer: &Answer, rng: &mut Rand64) -> (Learnt, u64) {
        let Some(order) = self.order.clone() else {
            return (Learnt::Nothing, AGAIN);
        };
        let pause = rng.rand_range(0..PAUSE);
        match answer {
            Answer::Verdict(CommandOutcome::Applied | CommandOutcome::AlreadyApplied) => {
                self.known = self.known.max(rev_of(&order.command));
                self.order = None;
                (Learnt::Acknowledged(order), pause)
            }
            Answer::Verdict(CommandOutcome::RevisionMismatch { current }) => {
                self.known = *current;
                self.order = None;
                (Learnt::Refused(order), pause)
            }
            Answer::Verdict(CommandOutcome::Invalid(_)) => {
                self.order = None;
                (Learnt::Refused(order), pause)
            }
            Answer::Verdict(CommandOutcome::Expired) => {
                // It says nothing of the order: it may have been taken long ago.
                self.order = None;
                (Learnt::Nothing, pause)
            }
            Answer::NotLeader(Some(leader)) if *leader != self.at => {
                self.at = *leader;
                (Learnt::Nothing, AGAIN)
            }
            Answer::NotLeader(_) | Answer::Unclear | Answer::Verdict(CommandOutcome::Conflict) => {
                self.at += 1;
                (Learnt::Nothing, AGAIN)
            }
        }
    }
}

fn rev_of(command: &Command) -> u64 {
    let Command::Replace { body, .. } = command else {
        return 0;
    };
    let digits = body.trim_start_matches("{\"rev\": ");
    digits
        .split(',')
        .next()
        .and_then(|d| d.parse().ok())
        .unwrap_or(0)
}
