//! Connections between our own processes: a control process dials every other one and speaks on the connection that it
//! dialled only; balancers of the data plane dial control processes and watch for updates.
//!
//! **State.** What a connection needs while it stands, nothing else: what it brings goes to [`ControlServer`].
//! **Neighbours.** A caller that is silent, or takes nothing, for a few seconds is disconnected and has to dial again. A
//! peer that does not answer is dialled on, for good. What was in flight when a connection ends is lost: a new one begins
//! with an introduction.

mod dialer;
mod watch_session;

use std::io;
use std::rc::Rc;
use std::time::Duration;

use protocol::wire::{self, Handshake, PROTOCOL_VERSION};
use tokio::io::{AsyncRead, AsyncWrite, BufReader};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

pub use self::dialer::dial_peers;

use self::watch_session::WatchSession;
use crate::server::{ControlServer, SESSION_SYNC_INTERVAL};

/// A caller sends its handshake at once; without one for so long it is disconnected.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(2000);
/// A peer that has said nothing for so long is disconnected: three of its heartbeats are missing.
const PEER_IDLE_TIMEOUT: Duration = SESSION_SYNC_INTERVAL.saturating_mul(3);
/// Between two tries to accept a connection, or to dial a peer, after one that failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// A connection: the machine's own, or one of a test.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + 'static {}

impl<S: AsyncRead + AsyncWrite + Unpin + 'static> Stream for S {}

/// Accepts connections of peers and of the data plane, for good.
pub async fn accept_connections(server: Rc<ControlServer>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let server = server.clone();
                data_plane::control_client::configure_socket(&stream);
                tokio::task::spawn_local(async move {
                    if let Err(error) = serve_connection(server, stream).await {
                        tracing::debug!(%from, %error, "an accepted connection has ended");
                    }
                });
            }
            Err(error) => {
                tracing::warn!(%error, "accepting a connection failed; trying again");
                sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Serves one connection, of a peer or of a balancer, until it ends.
///
/// # Errors
/// Why it has ended: the caller hung up, was silent for too long, took nothing, or broke the protocol
/// (`Unsupported`: it speaks another version; `InvalidData`: a balancer that does not begin with a watch request).
pub async fn serve_connection(
    server: Rc<ControlServer>,
    mut stream: impl Stream,
) -> io::Result<()> {
    let handshake = wire::receive_message::<Handshake>(&mut stream);
    let handshake = timeout(HANDSHAKE_TIMEOUT, handshake).await??;
    let (Handshake::Control {
        protocol_version, ..
    }
    | Handshake::DataPlane {
        protocol_version, ..
    }) = &handshake;
    if *protocol_version != PROTOCOL_VERSION {
        tracing::warn!(
            protocol_version,
            "a caller that speaks another protocol version is disconnected"
        );
        return Err(io::ErrorKind::Unsupported.into());
    }
    match handshake {
        Handshake::Control {
            node_id,
            control_node,
            ..
        } => {
            let from = control_node.internal_addr;
            server.on_peer_connected(node_id, control_node);
            let mut stream = BufReader::new(stream);
            loop {
                let message = wire::receive_message(&mut stream);
                let message = timeout(PEER_IDLE_TIMEOUT, message).await??;
                if !server.handle_peer_message(from, message) {
                    return Err(io::ErrorKind::TimedOut.into());
                }
            }
        }
        Handshake::DataPlane { balancer, .. } => {
            WatchSession::open(server, balancer).serve(stream).await
        }
    }
}
