//! Clients that send requests and abandon some of them, each driven by its own seeded random numbers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::thread::{self, Scope, ScopedJoinHandle};

use crate::answer::{assert_nothing_unread, assert_response_matches_run, read_response};
use crate::common::http_client::connect;
use crate::upstream::Runs;

/// Ways in which an upstream may misbehave; repeated ones are chosen more often. With an `early` one it does not wait
/// for the whole request, which is long then: mutating requests ran on several upstreams after such a response was
/// broken off.
const FAULTY_PLANS: [&str; 17] = [
    "surplus",
    "surplus",
    "surplus-error",
    "surplus-without-id",
    "late-surplus",
    "late-surplus",
    "late-surplus-error",
    "late-surplus-without-id",
    "garbage",
    "without-id",
    "truncated",
    "no-response",
    "early-truncated",
    "early-no-response",
    "early-rejected",
    "error",
    "unproven-rejection",
];
/// More than the socket buffers between two processes hold.
const LONG_BODY_BYTES: usize = 6 << 20;
/// Statuses that imply that a request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Number of requests by how they ended.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    pub(crate) served: AtomicUsize,
    failed: AtomicUsize,
    rejected: AtomicUsize,
    abandoned: AtomicUsize,
    /// Requests whose connection ended before or within the response.
    without_response: AtomicUsize,
    /// Tells all clients to stop.
    pub(crate) should_stop: AtomicBool,
}

/// A request that was sent, and what its client knows about it.
pub(crate) struct SentRequest {
    pub(crate) id: String,
    /// Whether the request must not run more than once.
    pub(crate) is_mutating: bool,
    /// Whether the response said that the request has not run.
    pub(crate) is_reported_not_run: bool,
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

    /// Chooses how the upstream responds.
    fn plan(&mut self) -> &'static str {
        match self.below(10) {
            0..3 => FAULTY_PLANS[self.below(FAULTY_PLANS.len())],
            3 => "slow",
            4 if self.below(4) == 0 => "rejected",
            _ => "plain",
        }
    }

    /// Chooses the length of the response body.
    fn body_bytes(&mut self) -> usize {
        match self.below(20) {
            0 => 100_000 + self.below(900_000),
            1..5 => 1000 + self.below(20_000),
            _ => self.below(200),
        }
    }
}

/// Stops all clients when one of them panics.
struct StopAllOnPanic<'a>(&'a Tally);

impl Drop for StopAllOnPanic<'_> {
    fn drop(&mut self) {
        if thread::panicking() {
            self.0.should_stop.store(true, Relaxed);
        }
    }
}

/// Starts `count` clients, which run until the tally tells them to stop.
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
    /// A connection that can be reused.
    idle_connection: Option<TcpStream>,
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
            idle_connection: None,
            sent: Vec::new(),
        }
    }

    fn run(mut self) -> Vec<SentRequest> {
        let _stop_all = StopAllOnPanic(self.tally);
        while !self.tally.should_stop.load(Relaxed) {
            // Connecting fails while the chosen balancer is down.
            if let Some(stream) = self.connection() {
                self.send_request(stream);
            }
        }
        self.sent
    }

    fn connection(&mut self) -> Option<TcpStream> {
        let idle_connection = self
            .idle_connection
            .take()
            .filter(|_| self.random.below(8) > 0);
        idle_connection
            .or_else(|| connect(self.addresses[self.random.below(self.addresses.len())]).ok())
    }

    fn send_request(&mut self, mut stream: TcpStream) {
        let id = format!("c{}-{}", self.number, self.sent.len());
        let is_mutating = self.random.below(2) == 0;
        let (plan, size) = (self.random.plan(), self.random.body_bytes());
        let route = if is_mutating { "m" } else { "i" };
        let length = self.random.below(3000);
        let length = if plan.starts_with("early-") {
            LONG_BODY_BYTES
        } else {
            length
        };
        let body = "x".repeat(length);
        let request = format!(
            "POST /{route}/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: {id}\r\nDeadline-Ms: 15000\r\n\
             Plan: {plan}\r\nSize: {size}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut sent = SentRequest {
            id,
            is_mutating,
            is_reported_not_run: false,
        };
        if stream.write_all(request.as_bytes()).is_err() {
            self.tally.without_response.fetch_add(1, Relaxed);
        } else if self.random.below(20) == 0 {
            // Disconnects before or within the response. Closing with unread bytes resets the connection.
            if self.random.below(2) == 0 {
                let _ = stream.read(&mut [0; 20]);
            }
            self.tally.abandoned.fetch_add(1, Relaxed);
        } else {
            self.receive_response(stream, &mut sent);
        }
        self.sent.push(sent);
    }

    fn receive_response(&mut self, mut stream: TcpStream, sent: &mut SentRequest) {
        let Some(response) = read_response(&mut stream, true) else {
            self.tally.without_response.fetch_add(1, Relaxed);
            return;
        };
        assert_response_matches_run(self.runs, &sent.id, &response);
        let counter = match response.status {
            _ if !response.is_complete => &self.tally.without_response,
            200 => &self.tally.served,
            503 => &self.tally.rejected,
            _ => &self.tally.failed,
        };
        counter.fetch_add(1, Relaxed);
        sent.is_reported_not_run = NOT_RUN_STATUSES.contains(&response.status);
        if response.is_complete && response.header("connection") != Some("close") {
            assert_nothing_unread(&stream);
            self.idle_connection = Some(stream);
        }
    }
}
