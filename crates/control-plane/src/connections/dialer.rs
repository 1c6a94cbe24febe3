//! Dials peers and sends them the messages queued for them.

use std::io;
use std::rc::Rc;

use data_plane::control_client::connect;
use protocol::wire::{self, Handshake, PROTOCOL_VERSION, PeerMessage};
use socket2::SockRef;
use tokio::io::BufWriter;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::sleep;

use super::RETRY_INTERVAL;
use crate::peer_writer;
use crate::server::{ControlServer, DialRequest};

/// The number of unsent bytes that the kernel may buffer per connection: an eighth of a second on a link of 1 Mbit/s.
const MAX_UNSENT_BYTES: u32 = 16 << 10;

/// Starts a task for each requested peer that keeps a connection to it open. Returns when the channel of requests
/// closes.
pub async fn dial_peers(
    server: Rc<ControlServer>,
    mut requests: mpsc::UnboundedReceiver<DialRequest>,
) {
    while let Some(request) = requests.recv().await {
        tokio::task::spawn_local(keep_connected(server.clone(), request));
    }
}

/// Dials a peer and sends it messages; redials whenever the connection fails. Never returns.
async fn keep_connected(server: Rc<ControlServer>, mut request: DialRequest) {
    loop {
        // When the peer connects to this process, it is reachable: the dial in progress, which may still wait for a
        // timeout, is abandoned and started again.
        let dialled = tokio::select! {
            dialled = connect(request.address) => dialled,
            () = request.connected.notified() => continue,
        };
        let ended = match dialled {
            Ok(stream) => send_messages(&server, stream, &mut request.messages).await,
            Err(error) => Err(error),
        };
        if let Err(error) = ended {
            tracing::debug!(peer = %request.address, %error, "not connected to a peer; redialling");
        }
        tokio::select! {
            () = sleep(RETRY_INTERVAL) => {}
            () = request.connected.notified() => {}
        }
    }
}

/// Sends the handshake and the introduction messages, then the messages from the queue, until the connection ends.
async fn send_messages(
    server: &ControlServer,
    stream: TcpStream,
    queue: &mut mpsc::Receiver<PeerMessage>,
) -> io::Result<()> {
    // Data buffered by the kernel is sent before any later heartbeat, so the buffer is kept small. Where the option is
    // not supported, the kernel buffers more.
    let _ = SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
    let (mut reader, writer) = stream.into_split();
    let mut writer = BufWriter::new(writer);
    let handshake = Handshake::Control {
        protocol_version: PROTOCOL_VERSION,
        node_id: server.id,
        control_node: server.control_node.clone(),
    };
    // Messages queued so far are discarded: the introduction messages contain newer state, and Raft resends its own
    // messages.
    while queue.try_recv().is_ok() {}
    peer_writer::write_frame(&mut writer, &wire::encode_frame(&handshake)?).await?;
    // Reading detects that the peer has closed the connection; the peer never sends messages on it.
    let closed = async {
        loop {
            wire::receive_message::<PeerMessage>(&mut reader).await?;
        }
    };
    tokio::select! {
        ended = peer_writer::write_all(&mut writer, server.introduction_messages(), queue) => ended,
        ended = closed => ended,
    }
}
