//! Dials peers and sends them what waits for them.

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

/// The kernel takes so many bytes of a connection beyond what it has sent: an eighth of a second on a link of 1 Mbit/s.
const MAX_UNSENT_BYTES: u32 = 16 << 10;

/// Dials the peers that are requested, each for good.
pub async fn dial_peers(
    server: Rc<ControlServer>,
    mut requests: mpsc::UnboundedReceiver<DialRequest>,
) {
    while let Some(request) = requests.recv().await {
        tokio::task::spawn_local(keep_connected(server.clone(), request));
    }
}

async fn keep_connected(server: Rc<ControlServer>, mut request: DialRequest) {
    loop {
        // The peer's own connection shows that it is there: no use in waiting for an old try of ours.
        let dialled = tokio::select! {
            dialled = connect(request.address) => dialled,
            () = request.connected.notified() => continue,
        };
        let ended = match dialled {
            Ok(stream) => send_messages(&server, stream, &mut request.messages).await,
            Err(error) => Err(error),
        };
        if let Err(error) = ended {
            tracing::debug!(peer = %request.address, %error, "not connected to a peer; trying again");
        }
        tokio::select! {
            () = sleep(RETRY_INTERVAL) => {}
            () = request.connected.notified() => {}
        }
    }
}

/// Introduces this process and sends what the queue brings, until the connection ends.
async fn send_messages(
    server: &ControlServer,
    stream: TcpStream,
    queue: &mut mpsc::Receiver<PeerMessage>,
) -> io::Result<()> {
    // What the kernel holds goes before any heartbeat: it is to be little. Where the option is unknown it holds more.
    let _ = SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
    let (mut reader, writer) = stream.into_split();
    let mut writer = BufWriter::new(writer);
    let handshake = Handshake::Control {
        protocol_version: PROTOCOL_VERSION,
        node_id: server.id,
        control_node: server.control_node.clone(),
    };
    // What waits by now is older than the introduction; the log sends its own again.
    while queue.try_recv().is_ok() {}
    peer_writer::write_frame(&mut writer, &wire::encode_frame(&handshake)?).await?;
    // An end from the other side is noticed by reading: nothing else ever comes.
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
