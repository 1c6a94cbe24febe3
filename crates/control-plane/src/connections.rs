//! Connections of a control process to other control processes (its *peers*) and to balancers of the data plane. A
//! control process dials every peer and sends messages only on the connections that it dialled. Balancers dial control
//! processes and watch for updates.
//!
//! **State.** Only the state of each open connection. Received messages are passed to [`ControlServer`].
//!
//! **Failures.** A process that dialled this one is disconnected if it sends nothing, or accepts no data, for a few
//! seconds, or if others dial before its handshake has arrived and too many wait for theirs; it has to dial again. A peer that does not answer is redialled indefinitely. Messages in flight are lost
//! when a connection ends; on a new connection to a peer, the handshake is followed by all sessions and zone lists of
//! the dialling process.

mod dialer;
mod pending_handshakes;
mod watch_session;

use std::io;
use std::rc::Rc;
use std::time::Duration;

use protocol::wire::{self, Handshake, PROTOCOL_VERSION};
use tokio::io::{AsyncRead, AsyncWrite, BufReader};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

pub use self::dialer::dial_peers;

use self::pending_handshakes::{PendingHandshake, PendingHandshakes};
use self::watch_session::WatchSession;
use crate::server::{ControlServer, SESSION_SYNC_INTERVAL};

/// An accepted connection on which no handshake has arrived after this time is closed. The dialling process sends it
/// immediately.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(2000);
/// The maximum size of a handshake: it has a few names and addresses.
const MAX_HANDSHAKE_BYTES: usize = 64 << 10;
/// A peer that has been silent for this long, which is three missed heartbeats, is disconnected.
const PEER_IDLE_TIMEOUT: Duration = SESSION_SYNC_INTERVAL.saturating_mul(3);
/// The delay before accepting again after an error, and before redialling a peer after a connection failed or ended.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// A byte stream: a TCP connection, or a simulated one in tests.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + 'static {}

impl<S: AsyncRead + AsyncWrite + Unpin + 'static> Stream for S {}

/// Accepts connections from peers and from the data plane. Never returns.
pub async fn accept_connections(server: Rc<ControlServer>, listener: TcpListener) {
    let handshakes = Rc::<PendingHandshakes>::default();
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let server = server.clone();
                data_plane::control_client::configure_socket(&stream);
                handshakes.spawn(async move |pending| {
                    if let Err(error) = serve_pending(server, stream, pending).await {
                        tracing::debug!(%from, %error, "an accepted connection was closed");
                    }
                });
            }
            Err(error) => {
                tracing::warn!(%error, "accepting a connection failed; retrying");
                sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Serves a connection that counts as pending until its handshake has arrived.
async fn serve_pending(
    server: Rc<ControlServer>,
    mut stream: impl Stream,
    pending: PendingHandshake,
) -> io::Result<()> {
    let handshake = receive_handshake(&mut stream).await?;
    drop(pending);
    serve_after(handshake, server, stream).await
}

/// Serves a connection from a peer or a balancer until it ends.
///
/// # Errors
/// Always returns the reason for the end: the peer or balancer closed the connection, was silent for too long, accepted
/// no data, or violated the protocol (`Unsupported`: it uses another protocol version; `InvalidData`: the first message
/// of a balancer was not a watch request).
pub async fn serve_connection(
    server: Rc<ControlServer>,
    mut stream: impl Stream,
) -> io::Result<()> {
    let handshake = receive_handshake(&mut stream).await?;
    serve_after(handshake, server, stream).await
}

async fn receive_handshake(stream: &mut impl Stream) -> io::Result<Handshake> {
    let handshake = wire::receive_limited_message(stream, MAX_HANDSHAKE_BYTES);
    Ok(timeout(HANDSHAKE_TIMEOUT, handshake).await??)
}

async fn serve_after(
    handshake: Handshake,
    server: Rc<ControlServer>,
    stream: impl Stream,
) -> io::Result<()> {
    let (Handshake::Control {
        protocol_version, ..
    }
    | Handshake::DataPlane {
        protocol_version, ..
    }) = &handshake;
    if *protocol_version != PROTOCOL_VERSION {
        tracing::warn!(
            protocol_version,
            "closing a connection from a process that uses another protocol version"
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
