//! A site's settings as JSON states them, for every program that hosts a balancer.
//!
//! There is one reading of names and units for all of them, or the simulator and the service would drift apart. The
//! written names are the users'; the names in the code are the terms of `docs/GLOSSARY.md`.

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

/// Milliseconds in whole microseconds, rounded; whatever is not a number is 0.
pub fn span_from_ms(ms: f64) -> Span {
    Span((ms * 1000.0).round() as i64)
}
