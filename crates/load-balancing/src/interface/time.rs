//! Points and lengths of time, in whole microseconds on the host's clock.

/// A point on the host's clock, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub i64);

/// A length of time in microseconds; may be negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub i64);

impl Time {
    /// The span from `earlier` to this time; negative if `earlier` is later.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }

    /// This time moved by `span`.
    pub fn plus(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Span {
    /// The length in microseconds, for arithmetic.
    pub fn as_micros(self) -> f64 {
        self.0 as f64
    }

    /// The span of `us` microseconds, truncated to whole ones.
    pub fn from_micros(us: f64) -> Span {
        Span(us as i64)
    }
}
