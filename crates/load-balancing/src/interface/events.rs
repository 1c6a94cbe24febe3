//! What the host tells the balancer.

use super::{Endpoint, MembershipKind, OwnedKeyRange, Request, RequestId, ServerId, Span};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served.
    Ok,
    /// Answered with an error; may have run.
    Error,
    /// Rejected by the upstream before it ran.
    Rejected,
    /// Rejected, before it ran, by an upstream that does not own its key.
    NotOwner,
    /// No answer in time; may have run.
    Timeout,
    /// No connection; has not run.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled by this balancer; may have run.
    Cancelled,
    /// Never issued by the host; has not run.
    NotIssued,
}

impl AttemptOutcome {
    /// Whether it proves that the attempt has not run, so that even an unsafe request may be sent again.
    pub fn has_not_run(self) -> bool {
        use AttemptOutcome::*;
        matches!(self, Rejected | NotOwner | ConnectFailed | NotIssued)
    }
}

/// The end of an attempt as the host saw it.
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
    /// The request is over: its client has the answer.
    pub last: bool,
    /// What the upstream reported of its load.
    pub report: LoadReport,
}

impl AttemptResult {
    /// A result without a load report.
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

/// An upstream's load report; what it does not report is `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Requests in progress.
    pub inflight: Option<f64>,
    /// Requests waiting.
    pub queued: Option<f64>,
    /// Share of its cores that is busy.
    pub utilization: Option<f64>,
    /// Recent service time without waiting.
    pub service_time: Option<Span>,
    /// Requests served per second.
    pub requests_per_s: Option<f64>,
    /// Errors per second.
    pub errors_per_s: Option<f64>,
}

/// What has happened; told in the order in which it happened.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The list of upstreams, or a change to it.
    Membership {
        /// What kind of membership event.
        kind: MembershipKind,
        /// Its entries.
        list: &'a [Endpoint],
    },
    /// Who owns which keys, all of them.
    KeyOwners(&'a [OwnedKeyRange]),
    /// A client's request has arrived: one final answer is owed.
    Request(Request),
    /// An attempt has ended.
    AttemptEnded(AttemptResult),
    /// The response has begun to stream: the attempt is committed to the client, nothing more is owed.
    ResponseStarted(RequestId),
    /// The client no longer waits; nothing is owed.
    ClientDisconnected(RequestId),
    /// The timer with this token is due.
    TimerFired(u64),
    /// A health probe has ended.
    ProbeEnded {
        /// The upstream.
        server: ServerId,
        /// It answered well.
        ok: bool,
        /// How long it took.
        latency: Span,
        /// What the upstream reported of its load.
        report: LoadReport,
    },
}
