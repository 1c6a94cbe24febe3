//! Client of the discovery service, which provides the list of upstreams and a watch for changes.

mod list;
mod watch;

pub(crate) use list::{SiteNames, UpstreamList};
pub(crate) use watch::DiscoveryWatch;
