//! The workload: operators who race to change one configuration, retry whatever has no definite answer, and follow
//! redirects to the leader.

use control_plane::configuration::{Command, CommandOutcome};
use oorandom::Rand64;

/// Without a response for so long, an operator tries another machine. In milliseconds, as all below.
pub(crate) const RESPONSE_TIMEOUT_MS: u64 = 1000;
/// A request without a definite answer for so long is given up.
const REQUEST_TIMEOUT_MS: u64 = 20_000;
/// Between two attempts at a request.
const RETRY_DELAY_MS: u64 = 60;
/// Between two requests, at most.
const MAX_PAUSE_MS: u64 = 1200;
/// One in so many requests has the same body whoever sends it.
const SHARED_BODY_ONE_IN: u64 = 8;

/// A response of a control process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Response {
    /// What became of the command.
    Outcome(CommandOutcome),
    /// Another process leads: the slot of its machine, if it is known.
    NotLeader(Option<usize>),
    /// The command may be applied or not.
    Indeterminate,
}

/// A change that an operator wants.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// The revision that it builds on.
    pub(crate) base: u64,
    /// The same in each attempt.
    pub(crate) command: Command,
    revision: u64,
    created_ms: u64,
}

/// What an operator learns from a response.
pub(crate) enum Conclusion {
    /// The change was made.
    Acknowledged(Request),
    /// The change was rejected, and will never be made.
    Rejected(Request),
    /// Nothing yet.
    Undecided,
}

/// One operator. Its memory is never lost.
pub(crate) struct Operator {
    name: usize,
    /// The newest revision that it knows of.
    known_revision: u64,
    requests: u64,
    padding_bytes: usize,
    /// The slot that it asks next.
    target: usize,
    /// Counts attempts, so that a late response is not taken for the one that is awaited.
    pub(crate) attempt: u64,
    request: Option<Request>,
}

impl Operator {
    /// An operator that knows of no revision. Its configurations are longer by `padding_bytes`.
    pub(crate) fn new(name: usize, padding_bytes: usize) -> Self {
        Self {
            name,
            known_revision: 0,
            requests: 0,
            padding_bytes,
            target: name,
            attempt: 0,
            request: None,
        }
    }

    /// Begins an attempt at the pending request, or at a new one. Returns the slot of the machine and the request.
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

    fn new_request(&mut self, now_ms: u64, rng: &mut Rand64) -> Request {
        self.requests += 1;
        let revision = self.known_revision + 1 + rng.rand_range(0..3);
        // At times both operators send the very same.
        let is_shared = rng.rand_range(0..SHARED_BODY_ONE_IN) == 0;
        let target_ms = if is_shared {
            1
        } else {
            1 + 100 * (self.name as u64 + 1) + self.requests % 90
        };
        let note = "-".repeat(self.padding_bytes);
        let body = format!(
            r#"{{"rev": {revision}, "note": "{note}", "services": [{{"name": "s"}}], "routes": [{{"name": "r",
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

    /// No response came in time: the next machine is asked.
    pub(crate) fn on_timeout(&mut self) {
        self.target += 1;
    }

    /// A response came. Returns what it says, and after how many milliseconds the next attempt begins.
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
                // This says nothing of the command: it may have been applied long ago.
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
