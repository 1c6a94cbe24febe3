//! Events: what the host reports to the balancer.

use super::{Endpoint, MembershipKind, OwnedKeyRange, Request, RequestId, ServerId, Span};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The upstream served it.
    Ok,
    /// Answered with an error; may have run.
    Error,
    /// Rejected by the upstream before it ran.
    Rejected,
    /// Rejected before it ran, by an upstream that does not own its key.
    NotOwner,
    /// No answer in time; may have run.
    Timeout,
    /// Nothing was sent, mostly because no connection could be made; has not run.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled by this balancer; may have run.
    Cancelled,
    /// Never sent by the host; has not run.
    NotIssued,
}

impl AttemptOutcome {
    /// Returns whether the outcome proves that the attempt has not run, so that even an unsafe request may be retried.
    pub fn has_not_run(self) -> bool {
        use AttemptOutcome::*;
        matches!(self, Rejected | NotOwner | ConnectFailed | NotIssued)
    }
}

/// The result of an attempt, as the host saw it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// Index of the attempt, from 0.
    pub attempt: usize,
    /// The upstream it went to.
    pub server: ServerId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// How long it took.
    pub latency: Span,
    /// Whether the request is over because its client has the answer.
    pub last: bool,
    /// The upstream's load report.
    pub report: LoadReport,
}

impl AttemptResult {
    /// Returns a result without a load report.
    pub fn new(
        request: RequestId,
        attempt: usize,
        server: ServerId,
        outcome: AttemptOutcome,
        latency: Span,
        last: bool,
    ) -> Self {
        Self {
            request,
            attempt,
            server,
            outcome,
            latency,
            last,
            report: LoadReport::default(),
        }
    }
}

/// An upstream's load report; values that it does not report are `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Requests in progress.
    pub inflight: Option<f64>,
    /// Queued requests.
    pub queued: Option<f64>,
    /// CPU utilization, 0 to 1.
    pub utilization: Option<f64>,
    /// Recent service time without queueing.
    pub service_time: Option<Span>,
    /// Requests served per second.
    pub requests_per_s: Option<f64>,
    /// Errors per second.
    pub errors_per_s: Option<f64>,
}

/// Something that has happened. The host passes events in the order in which they occurred.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// The list of upstreams, or a change to it.
    Membership {
        /// Kind of the event.
        kind: MembershipKind,
        /// Its entries.
        list: &'a [Endpoint],
    },
    /// The complete list of key ranges with their owners.
    KeyOwners(&'a [OwnedKeyRange]),
    /// A client's request has arrived. The balancer must end it exactly once.
    Request(Request),
    /// An attempt has ended.
    AttemptEnded(AttemptResult),
    /// An upstream has answered an attempt, but the answer waits for the host, which has no memory for it. The upstream's
    /// slot is free, and the attempt never becomes overdue.
    ResponseDelayed {
        /// The request.
        request: RequestId,
        /// Index of the attempt, from 0.
        attempt: usize,
    },
    /// The response has begun to stream. The client gets the response of this attempt, and the balancer need not end
    /// the request.
    ResponseStarted(RequestId),
    /// The client has disconnected; the request needs no answer.
    ClientDisconnected(RequestId),
    /// The timer with this token is due.
    TimerFired(u64),
    /// A health probe has ended.
    ProbeEnded {
        /// The upstream.
        server: ServerId,
        /// Whether the answer shows that the upstream is healthy.
        ok: bool,
        /// How long it took.
        latency: Span,
        /// The upstream's load report.
        report: LoadReport,
    },
}
