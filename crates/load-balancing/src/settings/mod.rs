//! A site's settings in JSON, for every program that hosts a balancer.
//!
//! All hosts share this parser, so that the simulator and the service can't differ in names or units. The names in
//! JSON are those of the users; the names in the code are the terms of `docs/GLOSSARY.md`.

mod hash;
mod load_report;
mod site;

pub use hash::{key_hash, stable_hash};
pub use load_report::LoadReportField;
pub use site::{
    ClientHabits, CountedBy, Effect, Group, LoadReportMode, PolicyLimits, Prices, RegistryMode,
    Safety, ScoringMix, Service, SiteSettings, Stats, Tenant,
};

use crate::interface::Span;

/// Converts milliseconds to a span, rounded to whole microseconds; NaN becomes 0.
pub fn span_from_ms(ms: f64) -> Span {
    Span((ms * 1000.0).round() as i64)
}
