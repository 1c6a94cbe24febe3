//! Connections to control nodes. Timeouts on every read and write of a session end an idle connection; the kernel ends
//! a connection on which sent data is not acknowledged.

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{CONNECT_TIMEOUT, IDLE_TIMEOUT};

/// Configures a connection between two processes of the system: disables Nagle's algorithm, and closes the connection
/// when sent data is not acknowledged for [`IDLE_TIMEOUT`] (`TCP_USER_TIMEOUT`).
pub fn configure_socket(stream: &TcpStream) {
    // Errors are ignored because both are refinements: without them, messages arrive later and a broken connection is
    // detected only when reading from it.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(IDLE_TIMEOUT));
}

/// Connects to another process of the system.
///
/// # Errors
///
/// The connection is refused or is not established within [`CONNECT_TIMEOUT`].
pub async fn connect(at: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(at)).await??;
    configure_socket(&stream);
    Ok(stream)
}

/// Connects to control nodes; tests replace it by a simulated network.
pub trait Network: 'static {
    /// The type of a connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;

    /// Connects to a control node. Implementations must limit the time that this takes.
    fn connect(&self, at: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;
}

/// Connects over TCP.
pub struct TcpNetwork;

impl Network for TcpNetwork {
    type Stream = TcpStream;

    async fn connect(&self, at: SocketAddr) -> io::Result<TcpStream> {
        connect(at).await
    }
}
