//! How a control node is reached. Time limits on every read and write of a session end a silent connection; the
//! kernel ends one on which sent data is not acknowledged.

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{CONNECT_TIMEOUT, IDLE_TIMEOUT};

/// Sets up a connection between two of the system's processes: no delay of small writes, and an end to it when sent
/// data is not acknowledged for [`IDLE_TIMEOUT`] (`TCP_USER_TIMEOUT`).
pub fn configure_socket(stream: &TcpStream) {
    // Both are refinements: without them messages come later, and a connection that is broken says so when it is
    // read.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(IDLE_TIMEOUT));
}

/// Connects to another process of the system.
///
/// # Errors
///
/// The connection is refused, or is not up within [`CONNECT_TIMEOUT`].
pub async fn connect(at: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(at)).await??;
    configure_socket(&stream);
    Ok(stream)
}

/// How control nodes are reached; tests put a simulated network in its place.
pub trait Network: 'static {
    /// A connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;

    /// Connects to a control node. The implementation bounds the time that this takes.
    fn connect(&self, at: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;
}

/// The machine's own network.
pub struct TcpNetwork;

impl Network for TcpNetwork {
    type Stream = TcpStream;

    async fn connect(&self, at: SocketAddr) -> io::Result<TcpStream> {
        connect(at).await
    }
}
