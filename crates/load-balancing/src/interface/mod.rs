//! Types that the balancer and its host exchange: plain data without decisions.
//!
//! A host passes each [`Event`] to [`Balancer::handle`](crate::policy::Balancer::handle) and carries out the
//! [`Action`]s that it gets back. Reading order: [`Time`] and [`Span`], [`Settings`], [`Request`],
//! [`Endpoint`], [`Event`], [`Action`].

mod actions;
mod endpoints;
mod events;
mod requests;
mod settings;
mod time;

pub use actions::Action;
pub use endpoints::{Endpoint, MembershipKind, OwnedKeyRange, ServerId, Status};
pub use events::{AttemptOutcome, AttemptResult, Event, LoadReport};
pub use requests::{Request, RequestId};
pub use settings::{
    DedupGroup, Effect, Limits, LoadReportSource, Prices, RequestClass, Rules, ScoringMix,
    Settings, SettingsError, Tenant,
};
pub use time::{Span, Time};
