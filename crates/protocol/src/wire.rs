//! Messages between the system's own processes, and the frames that carry them.
//!
//! | module | connection | messages |
//! | --- | --- | --- |
//! | [`frame`] | all | a length in four bytes, then one message in CBOR |
//! | [`handshake`] | all | [`Handshake`]: who calls, and the protocol version it speaks |
//! | [`session`] | data plane to control plane | [`SessionMessage`] there, [`WatchUpdate`] back |
//! | [`peer`] | control process to control process | [`PeerMessage`] |
//!
//! **State.** None: these are types and their encoding.
//!
//! **Promises.** Names on the wire, their order and the numbers of the protocol stay when a Rust name changes
//! (`tests/golden.rs` holds each frame), so that two builds run beside each other during a roll-out.
//!
//! **Neighbours.** A process that speaks another protocol version is refused by its [`Handshake`]. A frame that
//! can't be read ends the connection it came on; time-outs are the caller's.

pub mod frame;
pub mod handshake;
pub mod peer;
pub mod session;

pub use frame::{
    FrameError, MAX_FRAME_BYTES, decode_body, digest, encode_frame, receive_message, send_message,
};
pub use handshake::{Balancer, ControlNode, Handshake, PROTOCOL_VERSION};
pub use peer::{PeerMessage, Session};
pub use session::{FleetView, Indexed, SessionMessage, WatchRequest, WatchUpdate};
