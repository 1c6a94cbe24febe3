//! The clients of the workload: operators that concurrently change one configuration, retry each request until there is
//! a definite response, and follow redirects to the leader.

use control_plane::configuration::{Command, CommandOutcome};
use oorandom::Rand64;

/// How long an operator waits for a response before it tries another machine, in milliseconds.
pub(crate) const RESPONSE_TIMEOUT_MS: u64 = 1000;
/// A request without a definite response is abandoned after this time, in milliseconds.
const REQUEST_TIMEOUT_MS: u64 = 20_000;
/// The delay between two attempts at a request, in milliseconds.
const RETRY_DELAY_MS: u64 = 60;
/// The longest pause between two requests, in milliseconds.
const MAX_PAUSE_MS: u64 = 1200;
/// On average, one in this many requests has a body that does not depend on the operator.
const SHARED_BODY_ONE_IN: u64 = 8;

/// A response from a control process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Response {
    /// The outcome of the command.
    Outcome(CommandOutcome),
    /// Another process is the leader. Contains the slot of the leader's machine, if known.
    NotLeader(Option<usize>),
    /// The command may or may not be applied.
    Indeterminate,
}

/// A change of the configuration requested by an operator.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// The revision that the change is based on.
    pub(crate) base: u64,
    /// The command, which is the same in every attempt.
    pub(crate) command: Command,
    /// The revision of the new configuration.
    revision: u64,
    created_ms: u64,
}

/// What a response tells an operator about its request.
pub(crate) enum Conclusion {
    /// The change was made.
    Acknowledged(Request),
    /// The change was rejected and will never be made.
    Rejected(Request),
    /// The response is not definite.
    Undecided,
}

/// An operator. Unlike control processes, it never crashes.
pub(crate) struct Operator {
    /// Position among the operators.
    index: usize,
    /// The newest revision that it knows.
    known_revision: u64,
    /// The number of requests created so far.
    requests: u64,
    padding_bytes: usize,
    /// The slot that the next attempt is sent to.
    target: usize,
    /// Counts attempts, so that a late response is not mistaken for the response to the current attempt.
    pub(crate) attempt: u64,
    /// The pending request.
    request: Option<Request>,
}

impl Operator {
    /// Creates an operator that knows no revision. Its configurations contain `padding_bytes` of padding.
    pub(crate) fn new(index: usize, padding_bytes: usize) -> Self {
        Self {
            index,
            known_revision: 0,
            requests: 0,
            padding_bytes,
            target: index,
            attempt: 0,
            request: None,
        }
    }

    /// Begins an attempt at the pending request, or at a new one if there is none or it has timed out. Returns the slot
    /// of the machine to contact and the request.
    pub(crate) fn begin_attempt(
        &mut self,
        now_ms: u64,
        rng: &mut Rand64,
        machines: usize,
    ) -> (usize, Request) {
        self.attempt += 1;
        let pending = self
            .request
            .take()
            .filter(|request| now_ms <= request.created_ms + REQUEST_TIMEOUT_MS);
        let request = pending.unwrap_or_else(|| self.new_request(now_ms, rng));
        self.request = Some(request.clone());
        (self.target % machines, request)
    }

    /// Creates a request based on the newest known revision.
    fn new_request(&mut self, now_ms: u64, rng: &mut Rand64) -> Request {
        self.requests += 1;
        let revision = self.known_revision + 1 + rng.rand_range(0..3);
        // Sometimes both operators send identical commands.
        let is_shared = rng.rand_range(0..SHARED_BODY_ONE_IN) == 0;
        let target_ms = if is_shared {
            1
        } else {
            1 + 100 * (self.index as u64 + 1) + self.requests % 90
        };
        let padding = "-".repeat(self.padding_bytes);
        let body = format!(
            r#"{{"rev": {revision}, "note": "{padding}", "services": [{{"name": "s"}}], "routes": [{{"name": "r",
            "host": "h", "path_prefix": "/a/", "type": "mutating", "deadline_ms": 100,
            "target_ms": {target_ms}, "svc": "s", "tries": 2}}]}}"#
        );
        let base = self.known_revision;
        Request {
            base,
            command: Command::Replace { base, body },
            revision,
            created_ms: now_ms,
        }
    }

    /// Handles a missing response: the next attempt goes to another machine.
    pub(crate) fn on_timeout(&mut self) {
        self.target += 1;
    }

    /// Handles a response. Returns its conclusion and the delay until the next attempt, in milliseconds.
    pub(crate) fn on_response(
        &mut self,
        response: &Response,
        rng: &mut Rand64,
    ) -> (Conclusion, u64) {
        let Some(request) = self.request.clone() else {
            return (Conclusion::Undecided, RETRY_DELAY_MS);
        };
        let pause_ms = rng.rand_range(0..MAX_PAUSE_MS);
        match response {
            Response::Outcome(CommandOutcome::Applied | CommandOutcome::AlreadyApplied) => {
                self.known_revision = self.known_revision.max(request.revision);
                self.request = None;
                (Conclusion::Acknowledged(request), pause_ms)
            }
            Response::Outcome(CommandOutcome::RevisionMismatch { current }) => {
                self.known_revision = *current;
                self.request = None;
                (Conclusion::Rejected(request), pause_ms)
            }
            Response::Outcome(CommandOutcome::Invalid(_)) => {
                self.request = None;
                (Conclusion::Rejected(request), pause_ms)
            }
            Response::Outcome(CommandOutcome::Expired) => {
                // This is not a definite response: the command may have been applied long ago.
                self.request = None;
                (Conclusion::Undecided, pause_ms)
            }
            Response::NotLeader(Some(leader)) if *leader != self.target => {
                self.target = *leader;
                (Conclusion::Undecided, RETRY_DELAY_MS)
            }
            Response::NotLeader(_)
            | Response::Indeterminate
            | Response::Outcome(CommandOutcome::Conflict) => {
                self.target += 1;
                (Conclusion::Undecided, RETRY_DELAY_MS)
            }
        }
    }
}
