//! The first frame of each connection, and the types that identify processes.

use std::net::SocketAddr;

use raft::NodeId;
use serde::{Deserialize, Serialize};

/// Protocol version of this build. A connecting process with another version is rejected on its [`Handshake`].
pub const PROTOCOL_VERSION: u32 = 5;

/// First frame of every connection, sent by the process that opened it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Handshake {
    /// Opens the session of a data-plane balancer. [`SessionMessage`](super::SessionMessage)s follow.
    DataPlane {
        /// [`PROTOCOL_VERSION`] of the sender.
        #[serde(rename = "protocol")]
        protocol_version: u32,
        /// The sender.
        balancer: Balancer,
    },
    /// Opens one direction of a connection between control processes. [`PeerMessage`](super::PeerMessage)s follow.
    Control {
        /// [`PROTOCOL_VERSION`] of the sender.
        #[serde(rename = "protocol")]
        protocol_version: u32,
        /// Id of the sender in the replicated log.
        #[serde(rename = "id")]
        node_id: NodeId,
        /// The sender, with the address on which it accepts connections.
        #[serde(rename = "at")]
        control_node: ControlNode,
    },
}

/// A data-plane balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Balancer {
    /// Name of its machine from the settings.
    #[serde(rename = "n")]
    pub node: String,
    /// Zone of its machine.
    #[serde(rename = "z")]
    pub zone: String,
    /// Region of the zone.
    #[serde(rename = "r")]
    pub region: String,
    /// Address on which it accepts client requests.
    #[serde(rename = "h")]
    pub http_addr: SocketAddr,
}

/// A control process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ControlNode {
    /// Address on which it accepts connections from peers and data-plane balancers.
    #[serde(rename = "i")]
    pub internal_addr: SocketAddr,
    /// Zone of its machine.
    #[serde(rename = "z")]
    pub zone: String,
    /// Region of the zone.
    #[serde(rename = "r")]
    pub region: String,
    /// Whether it has a disk and takes part in the replicated log. A process without a disk never votes and stores no
    /// log: it only redirects callers to the processes with a disk, and serves the directory.
    #[serde(rename = "d")]
    pub has_disk: bool,
}
