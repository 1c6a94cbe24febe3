//! Control process to control process.
//!
//! **Promises.** [`PeerMessage::Raft`] carries the replicated log, which makes good for lost messages itself. All
//! else is soft state and may be lost with a connection: sessions and zones are sent in full when one is made.

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
    /// The sender wants to become a member of the replicated log.
    Join {
        /// Its id in the log.
        #[serde(rename = "id")]
        node_id: NodeId,
        /// Address at which it takes connections of peers.
        #[serde(rename = "inner")]
        internal_addr: SocketAddr,
    },
    /// All sessions of data-plane balancers with the sender, and all control processes that it knows.
    Sessions {
        /// The sessions.
        sessions: Vec<Session>,
        /// The control processes.
        #[serde(rename = "controls")]
        control_nodes: Vec<ControlNode>,
    },
    /// What differs from the last [`Sessions`](Self::Sessions) or [`SessionChanges`](Self::SessionChanges).
    #[serde(rename = "Moved")]
    SessionChanges {
        /// Sessions that are new or changed.
        #[serde(rename = "sessions")]
        changed: Vec<Session>,
        /// Nodes of the balancers whose sessions ended.
        #[serde(rename = "gone")]
        removed: Vec<String>,
        /// All control processes that the sender knows, if they changed.
        #[serde(rename = "controls")]
        control_nodes: Option<Vec<ControlNode>>,
    },
    /// What balancers reported of the load of keys; sent to the leader.
    #[serde(rename = "Work")]
    KeyLoad(KeyLoadReport),
    /// The sender is alive.
    #[serde(rename = "Alive")]
    Heartbeat {
        /// Address of the process that it takes for the leader.
        leader: Option<SocketAddr>,
    },
    /// A process that takes no part in the log asks whether the receiver leads, confirmed by a majority.
    #[serde(rename = "Confirm")]
    ConfirmLeadership {
        /// Chosen by the sender, and never used again.
        token: u64,
    },
    /// Answers [`ConfirmLeadership`](Self::ConfirmLeadership) while the sender leads; there is no other answer.
    #[serde(rename = "Confirmed")]
    LeadershipConfirmed {
        /// The token of the question.
        token: u64,
    },
    /// A zone's upstreams.
    #[serde(rename = "Zone")]
    ZoneUpdate {
        /// The zone.
        zone: String,
        /// Its upstreams: complete, or by difference.
        #[serde(rename = "told")]
        update: UpstreamUpdate,
    },
    /// An update of the zone built on a version that the sender does not have: it wants a complete list.
    #[serde(rename = "Want")]
    ZoneSnapshotRequest {
        /// The zone.
        zone: String,
    },
}

/// A data-plane balancer's session, as control processes tell each other of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// The balancer.
    #[serde(rename = "b")]
    pub balancer: Balancer,
    /// It can serve requests.
    #[serde(rename = "r")]
    pub ready: bool,
    /// It is shutting down and wants no new clients.
    #[serde(rename = "l")]
    pub draining: bool,
}
