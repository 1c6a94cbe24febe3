//! Messages between the system's processes, and their framing. The module holds no state.
//!
//! | module | connection | messages |
//! | --- | --- | --- |
//! | [`frame`] | all | a four-byte length, then one message in CBOR |
//! | [`handshake`] | all | [`Handshake`]: identity and protocol version of the connecting process |
//! | [`session`] | data plane to control plane | [`SessionMessage`] to the control plane, [`WatchUpdate`] back |
//! | [`peer`] | control process to control process | [`PeerMessage`] |
//!
//! **Compatibility.** Names, field order and numbers on the wire do not change when a Rust name changes, so that
//! different builds interoperate during a rollout. `tests/golden.rs` checks each frame.
//!
//! **Failures.** A process with another protocol version is rejected on its [`Handshake`]. A frame that cannot be
//! decoded ends its connection. Timeouts are the caller's responsibility.

pub mod frame;
pub mod handshake;
pub mod peer;
pub mod session;

pub use frame::{
    FrameError, MAX_FRAME_BYTES, decode_body, digest, encode_frame, receive_limited_message,
    receive_message, send_message,
};
pub use handshake::{Balancer, ControlNode, Handshake, PROTOCOL_VERSION};
pub use peer::{PeerMessage, Session};
pub use session::{FleetView, Indexed, SessionMessage, WatchRequest, WatchUpdate};
