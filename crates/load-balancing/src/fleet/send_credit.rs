//! Credit for sends to an upstream in slow start.

use crate::interface::{Span, Time};

/// Sends to an upstream in slow start that a balancer has earned.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendCredit {
    earned: f64,
    as_of: Time,
}

impl SendCredit {
    pub(crate) fn new(earned: f64, now: Time) -> Self {
        Self { earned, as_of: now }
    }

    /// The credit at `now`, where `rate` sends per microsecond are earned. At most one send is saved up. With a
    /// `ttl`, a send that is not used within it is lost and has to be earned anew: if all balancers kept theirs,
    /// the saved sends of the fleet could come in one second.
    pub(crate) fn at(&self, now: Time, rate: f64, ttl: Option<Span>) -> f64 {
        let earned = self.earned + now.since(self.as_of).as_micros().max(0.0) * rate;
        match ttl {
            Some(ttl) if earned > 1.0 + rate * ttl.as_micros() => earned.fract(),
            Some(_) => earned,
            None => earned.min(1.0),
        }
    }
}
