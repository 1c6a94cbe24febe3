//! Discovery: the list of upstreams and the watch on its changes.

mod list;
mod watch;

pub(crate) use list::{Names, UpstreamList};
pub(crate) use watch::DiscoveryWatch;
