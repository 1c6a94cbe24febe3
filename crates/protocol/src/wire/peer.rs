//! Messages between control processes.
//!
//! [`PeerMessage::Raft`] carries the consensus protocol, which tolerates lost messages. All other messages carry soft
//! state that may be lost with a connection: sessions and zones are sent in full on each new connection.

use std::net::SocketAddr;

use raft::{Message, NodeId};
use serde::{Deserialize, Serialize};

use super::{Balancer, ControlNode};
use crate::key_load::KeyLoadReport;
use crate::upstream_list::UpstreamUpdate;

/// A message between two control processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A message of the consensus protocol.
    #[serde(rename = "Log")]
    Raft(Message),
    /// Asks to add the sender to the members of the replicated log.
    Join {
        /// Id of the sender in the log.
        #[serde(rename = "id")]
        node_id: NodeId,
        /// Address on which the sender accepts connections from peers.
        #[serde(rename = "inner")]
        internal_addr: SocketAddr,
    },
    /// All sessions that data-plane balancers have with the sender, and all control processes that it knows.
    Sessions {
        /// The sessions.
        sessions: Vec<Session>,
        /// The control processes.
        #[serde(rename = "controls")]
        control_nodes: Vec<ControlNode>,
    },
    /// Changes since the last [`Sessions`](Self::Sessions) or [`SessionChanges`](Self::SessionChanges).
    #[serde(rename = "Moved")]
    SessionChanges {
        /// New and changed sessions.
        #[serde(rename = "sessions")]
        changed: Vec<Session>,
        /// Node names of the balancers whose sessions ended.
        #[serde(rename = "gone")]
        removed: Vec<String>,
        /// All control processes that the sender knows, if the set changed.
        #[serde(rename = "controls")]
        control_nodes: Option<Vec<ControlNode>>,
    },
    /// Key load reported by balancers, forwarded to the leader.
    #[serde(rename = "Work")]
    KeyLoad(KeyLoadReport),
    /// Heartbeat.
    #[serde(rename = "Alive")]
    Heartbeat {
        /// Address of the current leader as known to the sender.
        leader: Option<SocketAddr>,
    },
    /// Asks the receiver to confirm its leadership with a majority. Sent by processes that take no part in the log.
    #[serde(rename = "Confirm")]
    ConfirmLeadership {
        /// Token chosen by the sender, never reused.
        token: u64,
    },
    /// Response to [`ConfirmLeadership`](Self::ConfirmLeadership) if the sender is the leader; otherwise there is no
    /// response.
    #[serde(rename = "Confirmed")]
    LeadershipConfirmed {
        /// Token of the request.
        token: u64,
    },
    /// An update of a zone's upstream list.
    #[serde(rename = "Zone")]
    ZoneUpdate {
        /// The zone.
        zone: String,
        /// Snapshot or delta of its upstreams.
        #[serde(rename = "told")]
        update: UpstreamUpdate,
    },
    /// Requests a snapshot of a zone, because the sender of this request received a delta from a version that it does
    /// not have.
    #[serde(rename = "Want")]
    ZoneSnapshotRequest {
        /// The zone.
        zone: String,
    },
}

/// A data-plane balancer's session, as exchanged between control processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// The balancer.
    #[serde(rename = "b")]
    pub balancer: Balancer,
    /// Whether the balancer can serve requests.
    #[serde(rename = "r")]
    pub ready: bool,
    /// Whether the balancer is shutting down and should get no new clients.
    #[serde(rename = "l")]
    pub draining: bool,
}
