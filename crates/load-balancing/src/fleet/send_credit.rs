//! Rate limit for sends to an upstream in slow start.

use crate::interface::{Span, Time};

/// Credit of one balancer for sends to one upstream in slow start. It accrues at a given rate; a send costs 1.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendCredit {
    credit: f64,
    as_of: Time,
}

impl SendCredit {
    pub(crate) fn new(credit: f64, now: Time) -> Self {
        Self { credit, as_of: now }
    }

    /// Returns the credit at `now`, at a rate of `rate` sends per microsecond. At most one unused send accumulates.
    /// With a `ttl`, a send that is not used within it expires: otherwise every balancer of the fleet could hold one
    /// unused send, and all of them could arrive within one second.
    pub(crate) fn at(&self, now: Time, rate: f64, ttl: Option<Span>) -> f64 {
        let credit = self.credit + now.since(self.as_of).as_micros().max(0.0) * rate;
        match ttl {
            Some(ttl) if credit > 1.0 + rate * ttl.as_micros() => credit.fract(),
            Some(_) => credit,
            None => credit.min(1.0),
        }
    }
}
