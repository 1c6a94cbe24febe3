//! Connections between the system's own processes: a control balancer calls every other one and speaks on
//! its own call only; data-plane balancers call control balancers and ask for news.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use data_plane::abort_on_drop::AbortOnDrop;
use data_plane::control_client::{HEARTBEAT_INTERVAL, IDLE_TIMEOUT, dial};
use protocol::wire::{
    self, Handshake, PROTOCOL_VERSION, PeerMessage, Session, SessionMessage, WatchRequest,
    WatchUpdate,
};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, BufReader, BufWriter};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

use crate::peer_writer;
use crate::server::{ControlServer, DialRequest, SESSION_SYNC_INTERVAL};

/// A frame that is not taken for so long is not taken any more.
const WRITE: Duration = Duration::from_millis(2000);
/// The first frame comes at once.
const HELLO: Duration = Duration::from_millis(2000);
/// What the kernel takes of a call beyond what it has sent: an eighth of a second on a link of 1 Mbit/s.
const UNSENT: u32 = 16 << 10;
/// Between two calls to a peer that does not answer.
const AGAIN: Duration = Duration::from_millis(200);
/// A balancer that opens its session waits so long for a majority to confirm what it is told. It moves on then:
/// another control balancer may be in contact.
const CONFIRM: Duration = Duration::from_millis(1000);
/// Where there was no contact before either: the time that a majority across regions takes to answer.
const CONFIRM_ANEW: Duration = Duration::from_millis(250);
/// What another session of the same balancer brings is told here only after so long: a moment for it to
/// arrive there and to be said here. Short beside any bound on news.
const SECOND: Duration = Duration::from_millis(600);

/// Calls the peers that the cell wants called.
pub async fn dial_peers(
    cell: Rc<ControlServer>,
    mut requests: mpsc::UnboundedReceiver<DialRequest>,
) {
    while let Some(request) = requests.recv().await {
        tokio::task::spawn_local(call(cell.clone(), request));
    }
}

async fn call(cell: Rc<ControlServer>, mut request: DialRequest) {
    loop {
        // Its own call shows that it is there: no use in waiting for an old one of ours.
        let dialled = tokio::select! {
            dialled = dial(request.address) => dialled,
            () = request.connected.notified() => continue,
        };
        let ended = match dialled {
            Ok(stream) => speak(&cell, stream, &mut request.messages).await,
            Err(cause) => Err(cause),
        };
        if let Err(cause) = ended {
            tracing::debug!(at = %request.address, %cause, "peer");
        }
        tokio::select! {
            () = sleep(AGAIN) => {}
            () = request.connected.notified() => {}
        }
    }
}

async fn speak(
    cell: &Rc<ControlServer>,
    stream: TcpStream,
    queue: &mut mpsc::Receiver<PeerMessage>,
) -> io::Result<()> {
    // An end from the other side is noticed by reading: nothing else ever comes.
    // What the kernel holds back goes before any heartbeat: it is to be little.
    let _ = SockRef::from(&stream).set_tcp_notsent_lowat(UNSENT);
    let (mut reader, writer) = stream.into_split();
    let mut writer = BufWriter::new(writer);
    let hello = Handshake::Control {
        protocol_version: PROTOCOL_VERSION,
        node_id: cell.id,
        control_node: cell.control_node.clone(),
    };
    // What waits by now is older than what it is told here; the log tells its own anew.
    while queue.try_recv().is_ok() {}
    peer_writer::write_frame(&mut writer, &wire::encode_frame(&hello)?).await?;
    let ended = async {
        loop {
            wire::receive_message::<PeerMessage>(&mut reader).await?;
        }
    };
    tokio::select! {
        ended = peer_writer::write_all(&mut writer, cell.introduction_messages(), queue) => ended,
        ended = ended => ended,
    }
}

/// A connection: the machine's own, or one of a test.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + 'static {}

impl<S: AsyncRead + AsyncWrite + Unpin + 'static> Stream for S {}

/// Takes calls from peers and from the data plane.
pub async fn accept_connections(cell: Rc<ControlServer>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let cell = cell.clone();
                data_plane::control_client::configure_socket(&stream);
                tokio::task::spawn_local(async move {
                    if let Err(cause) = serve_connection(cell, stream).await {
                        tracing::debug!(%from, %cause, "call over");
                    }
                });
            }
            Err(cause) => {
                tracing::warn!(%cause, "accept");
                sleep(AGAIN).await;
            }
        }
    }
}

/// One call, of a peer or of a data-plane balancer, until it ends.
pub async fn serve_connection(cell: Rc<ControlServer>, mut stream: impl Stream) -> io::Result<()> {
    let hello = timeout(HELLO, wire::receive_message::<Handshake>(&mut stream)).await??;
    let other = |protocol| {
        tracing::warn!(
            protocol,
            "a caller that speaks another protocol is turned away"
        );
        Err(io::ErrorKind::Unsupported.into())
    };
    match hello {
        Handshake::Control {
            protocol_version: protocol,
            ..
        } if protocol != PROTOCOL_VERSION => other(protocol),
        Handshake::DataPlane {
            protocol_version: protocol,
            ..
        } if protocol != PROTOCOL_VERSION => other(protocol),
        Handshake::Control {
            node_id: id,
            control_node: at,
            ..
        } => {
            let from = at.internal_addr;
            cell.on_peer_connected(id, at);
            let mut stream = BufReader::new(stream);
            loop {
                let tell = timeout(
                    3 * SESSION_SYNC_INTERVAL,
                    wire::receive_message(&mut stream),
                )
                .await??;
                if !cell.handle_peer_message(from, tell) {
                    return Err(io::ErrorKind::TimedOut.into());
                }
            }
        }
        Handshake::DataPlane { balancer, .. } => {
            let node = balancer.node.clone();
            let session = Session {
                balancer,
                ready: false,
                draining: false,
            };
            let mark = cell.update_session(None, session.clone());
            let ended = serve(&cell, stream, mark, session).await;
            cell.end_session(mark, &node);
            ended
        }
    }
}

/// A data-plane balancer's session, for as long as it asks.
async fn serve(
    cell: &Rc<ControlServer>,
    stream: impl Stream,
    mark: u64,
    mut session: Session,
) -> io::Result<()> {
    let node = session.balancer.node.clone();
    let (reader, writer) = tokio::io::split(stream);
    let mut writer = BufWriter::new(writer);
    let (heard, mut words) = mpsc::channel::<SessionMessage>(8);
    // Reading has a task of its own: a frame half read must not be dropped.
    // Its end closes the channel.
    let _reading = AbortOnDrop(tokio::task::spawn_local(async move {
        let mut reader = BufReader::new(reader);
        while let Ok(Ok(word)) = timeout(
            IDLE_TIMEOUT,
            wire::receive_message::<SessionMessage>(&mut reader),
        )
        .await
        {
            if heard.send(word).await.is_err() {
                return;
            }
        }
    }));
    let first = words.recv().await.ok_or(io::ErrorKind::UnexpectedEof)?;
    let SessionMessage::Watch(mut has) = first else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    note(cell, mark, &mut session, &has);
    let opened = Instant::now();
    let patience = if cell.has_quorum_contact() {
        CONFIRM
    } else {
        CONFIRM_ANEW
    };
    // What was acknowledged before the session opened is among the first that it is told.
    let mut confirmed = cell.wait_until_current(patience).await;
    // What was said last of contact.
    let mut in_contact = None;
    let mut changes = cell.watch_changes();
    let mut said = Instant::now() - HEARTBEAT_INTERVAL;
    // Since when there is something to tell on a session that is not the first.
    let mut waits: Option<Instant> = None;
    loop {
        changes.mark_all_seen();
        let mut told = has.clone();
        // Looked at right before anything is handed out: this process may have stood still.
        confirmed |= cell
            .quorum_contact_age()
            .is_some_and(|age| age < opened.elapsed());
        let contact = confirmed && cell.has_quorum_contact();
        let mut news = cell.watch_update(&node, &mut told, contact);
        waits = news.as_ref().map(|_| waits.unwrap_or_else(Instant::now));
        let from = waits
            .filter(|_| has.is_secondary)
            .map(|since| since + SECOND);
        if from.is_some_and(|from| Instant::now() < from) {
            news = None;
        }
        if news.is_some() || in_contact != Some(contact) || said.elapsed() >= HEARTBEAT_INTERVAL {
            if news.is_some() {
                (has, waits) = (told, None);
            }
            (said, in_contact) = (Instant::now(), Some(contact));
            let news = WatchUpdate {
                out_of_contact: !contact,
                ..news.unwrap_or_default()
            };
            let written = async {
                wire::send_message(&mut writer, &news).await?;
                writer.flush().await
            };
            timeout(WRITE, written).await??;
            continue;
        }
        let next = from.map_or(said + HEARTBEAT_INTERVAL, |from| {
            from.min(said + HEARTBEAT_INTERVAL)
        });
        tokio::select! {
            // In this order, so that a simulation plays the same each time; each turn of the loop tells what is new.
            biased;
            word = words.recv() => match word.ok_or(io::ErrorKind::UnexpectedEof)? {
                SessionMessage::Watch(ask) => {
                    note(cell, mark, &mut session, &ask);
                    has = ask;
                }
                SessionMessage::KeepAlive => {}
                SessionMessage::KeyLoad(counts) => cell.record_work(counts),
            },
            () = changes.changed() => {}
            () = tokio::time::sleep_until(next) => {}
        }
    }
}

fn note(cell: &ControlServer, mark: u64, session: &mut Session, ask: &WatchRequest) {
    (session.ready, session.draining) = (ask.ready, ask.draining);
    cell.update_session(Some(mark), session.clone());
    cell.observe_zone_versions(&ask.zone_versions);
}
