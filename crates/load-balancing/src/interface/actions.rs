//! Actions: what the balancer instructs its host to do.

use super::{RequestId, ServerId, Span, Time};

/// An instruction to the host. The host carries out actions in the order in which they are returned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send the next attempt of a request to an upstream.
    Send {
        /// The request.
        request: RequestId,
        /// The upstream.
        server: ServerId,
        /// Timeout of the attempt.
        timeout: Span,
    },
    /// End the request unserved, with a guarantee that it has not run: its client may safely send it again.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it retries; zero for no advice.
        retry_after: Span,
    },
    /// End the request unserved, without a guarantee that it has not run.
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
        /// Token that the event carries.
        token: u64,
        /// When the timer is due.
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
    /// Open a subscription to the list of upstreams.
    Subscribe,
}
