//! Points in time and time spans, in whole microseconds of the host's clock.

/// A point in time on the host's clock, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub i64);

/// A time span in microseconds; may be negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub i64);

impl Time {
    /// Returns the span from `earlier` to this time; negative if `earlier` is later.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }

    /// Returns this time plus `span`.
    pub fn plus(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Span {
    /// Returns the span in microseconds as a floating-point number.
    pub fn as_micros(self) -> f64 {
        self.0 as f64
    }

    /// Returns a span of `us` microseconds, truncated to whole microseconds.
    pub fn from_micros(us: f64) -> Span {
        Span(us as i64)
    }
}
