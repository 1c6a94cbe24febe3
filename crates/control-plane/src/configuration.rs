//! Configurations: validation, and applying an amendment to the current configuration.
//!
//! Both are pure functions of their input. Every control process applies the same commands in the same order and must
//! reach the same outcomes. A rule may therefore be changed only in such a way that all builds running during a rollout
//! reach the same outcome. [`crate::replicated_state`] decides whether a change is accepted.

mod amendment;
mod parsed_size;
mod validation;

pub(crate) use amendment::amend;
pub use amendment::{AmendmentError, ListPath};
pub use parsed_size::exceeds_parsed_size;
pub use validation::{ConfigurationError, RouteError, validate};

pub use crate::command::{Command, CommandDigest, CommandOutcome, InvalidCommand};
pub use crate::replicated_state::{MAX_REMEMBERED_REVISIONS, ReplicatedState};
