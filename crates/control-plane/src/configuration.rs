//! Configurations: what makes one valid, and how an amendment leads from the current one to the next.
//!
//! Both are pure functions of their input: every control process applies the same commands in the same order and must
//! come to the same outcomes, so a rule that changes has to give the same outcome in the builds of a roll-out.
//! When a change is accepted at all is decided in [`crate::replicated_state`].

mod amendment;
mod validation;

pub(crate) use amendment::amend;
pub use amendment::{AmendmentError, ListPath};
pub use validation::{ConfigurationError, RouteError, validate};

pub use crate::command::{Command, CommandDigest, CommandOutcome, InvalidCommand};
pub use crate::replicated_state::{MAX_REMEMBERED_REVISIONS, ReplicatedState};
