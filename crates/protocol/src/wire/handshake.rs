//! The first frame of each connection, and how processes are described to each other.

use std::net::SocketAddr;

use raft::NodeId;
use serde::{Deserialize, Serialize};

/// Version of the protocol that this build speaks. A caller with another one is refused on its [`Handshake`].
pub const PROTOCOL_VERSION: u32 = 5;

/// First frame on every connection, from whoever opened it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Handshake {
    /// A data-plane balancer opens its session: [`SessionMessage`](super::SessionMessage)s follow.
    DataPlane {
        /// [`PROTOCOL_VERSION`] of the caller.
        #[serde(rename = "protocol")]
        protocol_version: u32,
        /// The caller.
        balancer: Balancer,
    },
    /// A control process opens its side of a peer connection: [`PeerMessage`](super::PeerMessage)s follow.
    Control {
        /// [`PROTOCOL_VERSION`] of the caller.
        #[serde(rename = "protocol")]
        protocol_version: u32,
        /// The caller's id as a member of the replicated log.
        #[serde(rename = "id")]
        node_id: NodeId,
        /// The caller, with the address under which it takes connections itself.
        #[serde(rename = "at")]
        control_node: ControlNode,
    },
}

/// A data-plane balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Balancer {
    /// Name of its machine, from the settings.
    #[serde(rename = "n")]
    pub node: String,
    /// Zone that it is in.
    #[serde(rename = "z")]
    pub zone: String,
    /// Region that the zone is in.
    #[serde(rename = "r")]
    pub region: String,
    /// Address at which it takes clients' requests.
    #[serde(rename = "h")]
    pub http_addr: SocketAddr,
}

/// A control process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ControlNode {
    /// Address at which it takes connections of peers and of data-plane balancers.
    #[serde(rename = "i")]
    pub internal_addr: SocketAddr,
    /// Zone that it is in.
    #[serde(rename = "z")]
    pub zone: String,
    /// Region that the zone is in.
    #[serde(rename = "r")]
    pub region: String,
    /// It has a disk and takes part in the replicated log. One without never votes and keeps no log: it only
    /// points callers to those that do, and answers as a directory.
    #[serde(rename = "d")]
    pub has_disk: bool,
}
