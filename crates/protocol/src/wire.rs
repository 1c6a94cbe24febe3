//! Frames between the system's own processes: four bytes of length, then a `ciborium` body.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use raft::{Message, NodeId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::compact_config::CompactConfig;
use crate::key_ranges::{KeyLoadReport, KeyRangeRow};
use crate::upstream_list::UpstreamUpdate;

/// This build's protocol. A process that speaks another is turned away by its first frame.
pub const PROTOCOL_VERSION: u32 = 5;
/// No frame is longer: a configuration of ten thousand routes fits many times.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// The first frame on every connection: who calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Handshake {
    /// A data-plane balancer opens its session.
    DataPlane {
        #[serde(rename = "protocol")]
        protocol_version: u32,
        balancer: Balancer,
    },
    /// A control balancer, at this address for others to call back.
    Control {
        #[serde(rename = "protocol")]
        protocol_version: u32,
        #[serde(rename = "id")]
        node_id: NodeId,
        #[serde(rename = "at")]
        control_node: ControlNode,
    },
}

/// A data-plane balancer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Balancer {
    #[serde(rename = "n")]
    pub node: String,
    #[serde(rename = "z")]
    pub zone: String,
    #[serde(rename = "r")]
    pub region: String,
    /// Where clients reach it.
    #[serde(rename = "h")]
    pub http_addr: SocketAddr,
}

/// A control balancer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ControlNode {
    #[serde(rename = "i")]
    pub internal_addr: SocketAddr,
    #[serde(rename = "z")]
    pub zone: String,
    #[serde(rename = "r")]
    pub region: String,
    /// It takes part in the log. One without a disk never does: it only points callers to those that do, and
    /// answers as a directory.
    #[serde(rename = "d")]
    pub has_disk: bool,
}

/// What a data-plane balancer says on its session.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SessionMessage {
    #[serde(rename = "a")]
    Watch(WatchRequest),
    /// Nothing is other than it said last; it is there.
    #[serde(rename = "s")]
    KeepAlive,
    /// The work on keys that upstreams divide, since it said so last.
    #[serde(rename = "w")]
    KeyLoad(KeyLoadReport),
}

/// A data-plane balancer asks for news of what it does not have.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// The place in the log of the configuration that it has in force, and of the evacuations.
    #[serde(rename = "c")]
    pub config_index: u64,
    #[serde(rename = "e")]
    pub evacuations_index: u64,
    /// The place in the log of the last change that it has of who holds which keys.
    #[serde(rename = "h", skip_serializing_if = "none")]
    pub key_ranges_index: u64,
    /// The version it has of each zone's upstreams; 0 where it wants the whole list.
    #[serde(rename = "z", skip_serializing_if = "BTreeMap::is_empty")]
    pub zone_versions: BTreeMap<String, u64>,
    /// Of the bank, and the digest of the control balancers it knows.
    #[serde(rename = "b", skip_serializing_if = "Option::is_none")]
    pub fleet: Option<FleetView>,
    #[serde(rename = "k")]
    pub control_nodes_digest: u32,
    /// It is able to serve; it is about to end.
    #[serde(rename = "r")]
    pub ready: bool,
    #[serde(rename = "l")]
    pub draining: bool,
    /// Another session brings it the news: this one waits a moment before it tells them too.
    #[serde(rename = "s")]
    pub is_secondary: bool,
}

impl WatchRequest {
    /// Whether others wait for what is new in `next`: who may be sent clients, who brings the news, and what
    /// has to be told anew. The rest only spares a word that is said twice.
    pub fn is_urgent_change(&self, next: &Self) -> bool {
        let lacks = |ask: &Self| ask.zone_versions.values().filter(|v| **v == 0).count();
        (self.ready, self.draining, self.is_secondary)
            != (next.ready, next.draining, next.is_secondary)
            || lacks(next) > lacks(self)
    }
}

/// What it does not have; nothing of all that, where only the time for a word has come.
/// Out of contact with a majority, a control balancer tells nothing that has to be agreed on, and says so.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchUpdate {
    /// The sender does not know whether what it holds is what is agreed on: others may know more.
    #[serde(rename = "o", skip_serializing_if = "std::ops::Not::not")]
    pub out_of_contact: bool,
    /// The configuration, and its place in the log.
    #[serde(rename = "c", skip_serializing_if = "Option::is_none")]
    pub config: Option<(u64, Arc<CompactConfig>)>,
    /// The zones that get nothing, and the place in the log.
    #[serde(rename = "e", skip_serializing_if = "Option::is_none")]
    pub evacuated_zones: Option<(u64, Vec<String>)>,
    /// What changed of who holds which keys, by service, and the place in the log.
    #[serde(rename = "h", skip_serializing_if = "Option::is_none")]
    pub key_ranges: Option<(u64, BTreeMap<String, Vec<KeyRangeRow>>)>,
    /// Zones' upstreams.
    #[serde(rename = "z", skip_serializing_if = "BTreeMap::is_empty")]
    pub zone_updates: BTreeMap<String, UpstreamUpdate>,
    #[serde(rename = "b", skip_serializing_if = "Option::is_none")]
    pub fleet: Option<FleetView>,
    #[serde(rename = "k", skip_serializing_if = "Option::is_none")]
    pub control_nodes: Option<Vec<ControlNode>>,
}

fn none(index: &u64) -> bool {
    *index == 0
}

/// How many data-plane balancers there are, and which of them one is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetView {
    #[serde(rename = "n")]
    pub balancers: u32,
    #[serde(rename = "p")]
    pub position: u32,
}

/// What control balancers tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Of the log.
    #[serde(rename = "Log")]
    Raft(Message),
    /// Who wants to take part in it.
    Join {
        #[serde(rename = "id")]
        node_id: NodeId,
        #[serde(rename = "inner")]
        internal_addr: SocketAddr,
    },
    /// All sessions that stand with the sender, and who it knows to serve control.
    Sessions {
        sessions: Vec<Session>,
        #[serde(rename = "controls")]
        control_nodes: Vec<ControlNode>,
    },
    /// Those that are other than it told last, and who serves control if that is other.
    #[serde(rename = "Moved")]
    SessionChanges {
        #[serde(rename = "sessions")]
        changed: Vec<Session>,
        #[serde(rename = "gone")]
        removed: Vec<String>,
        #[serde(rename = "controls")]
        control_nodes: Option<Vec<ControlNode>>,
    },
    /// What balancers counted of the work on keys that upstreams divide; told to the leader.
    #[serde(rename = "Work")]
    KeyLoad(KeyLoadReport),
    /// It is there, and takes this one for the leader.
    #[serde(rename = "Alive")]
    Heartbeat { leader: Option<SocketAddr> },
    /// One that takes no part in the log asks whether this one leads, confirmed by a majority. The mark is the
    /// sender's own, and never used again.
    #[serde(rename = "Confirm")]
    ConfirmLeadership { token: u64 },
    /// The answer, while it does.
    #[serde(rename = "Confirmed")]
    LeadershipConfirmed { token: u64 },
    /// A zone's upstreams.
    #[serde(rename = "Zone")]
    ZoneUpdate {
        zone: String,
        #[serde(rename = "told")]
        update: UpstreamUpdate,
    },
    /// What was told of the zone built on something that is not here: the whole list is wanted.
    #[serde(rename = "Want")]
    ZoneSnapshotRequest { zone: String },
}

/// A data-plane balancer's session, as others are told of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    #[serde(rename = "b")]
    pub balancer: Balancer,
    #[serde(rename = "r")]
    pub ready: bool,
    #[serde(rename = "l")]
    pub draining: bool,
}

/// Of a message, to see whether two processes have the same; never 0.
pub fn digest<T: Serialize>(message: &T) -> u32 {
    let mut bytes = Vec::new();
    let written = ciborium::into_writer(message, &mut bytes);
    if written.is_ok() {
        crc32fast::hash(&bytes).max(1)
    } else {
        1
    }
}

/// A frame as it goes on the wire.
pub fn encode_frame<T: Serialize>(message: &T) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; 4];
    ciborium::into_writer(message, &mut bytes).map_err(io::Error::other)?;
    let length = bytes.len() - 4;
    if length > MAX_FRAME_BYTES {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "a frame that is too long",
        ));
    }
    bytes[..4].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(bytes)
}

/// Reads one message out of a frame's body.
pub fn decode_body<T: DeserializeOwned>(body: &[u8]) -> io::Result<T> {
    ciborium::from_reader(body)
        .map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e.to_string()))
}

pub async fn send_message<T: Serialize>(
    to: &mut (impl AsyncWrite + Unpin),
    message: &T,
) -> io::Result<()> {
    to.write_all(&encode_frame(message)?).await
}

/// The next message. Memory is taken as bytes come, not as the length promises.
pub async fn receive_message<T: DeserializeOwned>(
    from: &mut (impl AsyncRead + Unpin),
) -> io::Result<T> {
    let length = from.read_u32().await? as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "a frame that is too long",
        ));
    }
    let mut body = Vec::with_capacity(length.min(64 << 10));
    from.take(length as u64).read_to_end(&mut body).await?;
    if body.len() < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    decode_body(&body)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test(flavor = "current_thread")]
    async fn a_message_comes_back_as_it_went_and_rubbish_is_an_error() {
        let ask = WatchRequest {
            config_index: 7,
            ready: true,
            ..WatchRequest::default()
        };
        let bytes = encode_frame(&ask).expect("a frame");
        assert_eq!(
            receive_message::<WatchRequest>(&mut &bytes[..])
                .await
                .expect("a message"),
            ask
        );
        for cut in 0..bytes.len() {
            assert!(
                receive_message::<WatchRequest>(&mut &bytes[..cut])
                    .await
                    .is_err(),
                "cut at {cut}"
            );
        }
        let long = [0xff, 0xff, 0xff, 0xff, 0];
        assert!(
            receive_message::<WatchRequest>(&mut &long[..])
                .await
                .is_err(),
            "longer than any"
        );
        let rubbish = [0, 0, 0, 3, 0xff, 0xfe, 0xfd];
        assert!(
            receive_message::<WatchRequest>(&mut &rubbish[..])
                .await
                .is_err()
        );
    }
}
