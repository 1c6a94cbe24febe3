//! Clients that send, abandon and repeat, each by its own seeded numbers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::thread::{self, Scope, ScopedJoinHandle};

use crate::answer::{assert_nothing_unread, assert_own_answer, read_answer};
use crate::common::http_client::connect;
use crate::upstream::Runs;

/// How an upstream may misbehave.
const FAULTY_PLANS: [&str; 14] = [
    "twice",
    "twice",
    "twice-error",
    "twice-nameless",
    "late",
    "late",
    "late-error",
    "late-nameless",
    "noise",
    "nameless",
    "cut",
    "silent",
    "error",
    "unpromised",
];
/// Statuses that promise that a request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// How requests ended.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    pub(crate) served: AtomicUsize,
    failed: AtomicUsize,
    refused: AtomicUsize,
    abandoned: AtomicUsize,
    /// The connection ended without an answer, or within it.
    unanswered: AtomicUsize,
    /// All clients are to end.
    pub(crate) is_over: AtomicBool,
}

/// What was sent, and what is known of it.
pub(crate) struct SentRequest {
    pub(crate) id: String,
    /// It may not run twice.
    pub(crate) is_mutating: bool,
    pub(crate) is_promised_not_to_run: bool,
}

/// A linear congruential generator.
struct Random(u64);

impl Random {
    fn below(&mut self, n: usize) -> usize {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as usize % n
    }

    /// How the upstream is to answer.
    fn plan(&mut self) -> &'static str {
        match self.below(10) {
            0..3 => FAULTY_PLANS[self.below(FAULTY_PLANS.len())],
            3 => "slow",
            4 if self.below(4) == 0 => "turned-away",
            _ => "plain",
        }
    }

    /// Length of the answer's body.
    fn body_bytes(&mut self) -> usize {
        match self.below(20) {
            0 => 100_000 + self.below(900_000),
            1..5 => 1000 + self.below(20_000),
            _ => self.below(200),
        }
    }
}

/// Ends all clients where one of them has seen a fault.
struct EndAllOnPanic<'a>(&'a Tally);

impl Drop for EndAllOnPanic<'_> {
    fn drop(&mut self) {
        if thread::panicking() {
            self.0.is_over.store(true, Relaxed);
        }
    }
}

/// Starts this many clients, which run until the tally says that it is over.
pub(crate) fn run_clients<'scope>(
    scope: &'scope Scope<'scope, '_>,
    count: usize,
    addresses: &'scope [SocketAddr],
    runs: &'scope Runs,
    tally: &'scope Tally,
) -> Vec<ScopedJoinHandle<'scope, Vec<SentRequest>>> {
    let start = |number| scope.spawn(move || Client::new(number, addresses, runs, tally).run());
    (0..count).map(start).collect()
}

struct Client<'a> {
    number: usize,
    addresses: &'a [SocketAddr],
    runs: &'a Runs,
    tally: &'a Tally,
    random: Random,
    /// A connection to be used again.
    kept: Option<TcpStream>,
    sent: Vec<SentRequest>,
}

impl<'a> Client<'a> {
    fn new(number: usize, addresses: &'a [SocketAddr], runs: &'a Runs, tally: &'a Tally) -> Self {
        Self {
            number,
            addresses,
            runs,
            tally,
            random: Random(number as u64 + 1),
            kept: None,
            sent: Vec::new(),
        }
    }

    fn run(mut self) -> Vec<SentRequest> {
        let _end_all = EndAllOnPanic(self.tally);
        while !self.tally.is_over.load(Relaxed) {
            // Without a connection, that balancer is down for the moment.
            if let Some(stream) = self.connection() {
                self.send_request(stream);
            }
        }
        self.sent
    }

    fn connection(&mut self) -> Option<TcpStream> {
        let kept = self.kept.take().filter(|_| self.random.below(8) > 0);
        kept.or_else(|| connect(self.addresses[self.random.below(self.addresses.len())]).ok())
    }

    fn send_request(&mut self, mut stream: TcpStream) {
        let id = format!("c{}-{}", self.number, self.sent.len());
        let is_mutating = self.random.below(2) == 0;
        let (plan, size) = (self.random.plan(), self.random.body_bytes());
        let route = if is_mutating { "m" } else { "i" };
        let body = "x".repeat(self.random.below(3000));
        let request = format!(
            "POST /{route}/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: {id}\r\nDeadline-Ms: 15000\r\n\
             Plan: {plan}\r\nSize: {size}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut sent = SentRequest {
            id,
            is_mutating,
            is_promised_not_to_run: false,
        };
        if stream.write_all(request.as_bytes()).is_err() {
            self.tally.unanswered.fetch_add(1, Relaxed);
        } else if self.random.below(20) == 0 {
            // Gone at once, or amid the answer: with something unread, that is a reset.
            if self.random.below(2) == 0 {
                let _ = stream.read(&mut [0; 20]);
            }
            self.tally.abandoned.fetch_add(1, Relaxed);
        } else {
            self.receive_answer(stream, &mut sent);
        }
        self.sent.push(sent);
    }

    fn receive_answer(&mut self, mut stream: TcpStream, sent: &mut SentRequest) {
        let Some(answer) = read_answer(&mut stream, true) else {
            self.tally.unanswered.fetch_add(1, Relaxed);
            return;
        };
        assert_own_answer(self.runs, &sent.id, &answer);
        let counter = match answer.status {
            _ if !answer.is_complete => &self.tally.unanswered,
            200 => &self.tally.served,
            503 => &self.tally.refused,
            _ => &self.tally.failed,
        };
        counter.fetch_add(1, Relaxed);
        sent.is_promised_not_to_run = NOT_RUN_STATUSES.contains(&answer.status);
        if answer.is_complete && answer.header("connection") != Some("close") {
            assert_nothing_unread(&stream);
            self.kept = Some(stream);
        }
    }
}
