//! What the balancer tells its host to do.

use super::{RequestId, ServerId, Span, Time};

/// What the host must do, in the order given.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send the request to an upstream as its next attempt.
    Send {
        /// The request.
        request: RequestId,
        /// The upstream.
        server: ServerId,
        /// Time-out of the attempt.
        timeout: Span,
    },
    /// End the request unserved; its client may safely send it again.
    Reject {
        /// The request.
        request: RequestId,
        /// When the client should retry; zero for no advice.
        retry_after: Span,
    },
    /// End the request unserved, without a promise that it has not run.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancel an attempt that is in flight.
    Cancel {
        /// The request.
        request: RequestId,
        /// Index of the attempt.
        attempt: usize,
    },
    /// Deliver [`Event::TimerFired`](super::Event::TimerFired) at or after this time.
    SetTimer {
        /// To be returned with the event.
        token: u64,
        /// When.
        at: Time,
    },
    /// Send a health probe to an upstream.
    Probe {
        /// The upstream.
        server: ServerId,
    },
    /// Close the idle connections to an upstream.
    CloseIdle {
        /// The upstream.
        server: ServerId,
    },
    /// Open the standing subscription to the list of upstreams.
    Subscribe,
}
