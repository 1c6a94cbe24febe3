//! Connections between the system's own processes: a control balancer calls every other one and speaks on
//! its own call only; data-plane balancers call control balancers and ask for news.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use data_plane::upstreams::AbortOnDrop;
use data_plane::watch::{BEAT, SILENCE, dial};
use messages::wire::{self, Ask, Hello, PROTOCOL, Session, Tell};
use tokio::io::{AsyncWriteExt, BufReader, BufWriter};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};

use crate::cell::{Cell, TELL, Wanted};

/// A frame that is not taken for so long is not taken any more.
const WRITE: Duration = Duration::from_millis(2000);
/// The first frame comes at once.
const HELLO: Duration = Duration::from_millis(2000);
/// Between two calls to a peer that does not answer.
const AGAIN: Duration = Duration::from_millis(200);
/// A balancer that opens its session is told only what a majority confirms; where there is none for so
/// long, what is known here: it is out of touch with the core then, and better serves than not.
const CONFIRM: Duration = Duration::from_millis(4000);

/// Calls the peers that the cell wants called.
pub async fn call_all(cell: Rc<Cell>, mut wanted: mpsc::UnboundedReceiver<Wanted>) {
    while let Some(wanted) = wanted.recv().await {
        tokio::task::spawn_local(call(cell.clone(), wanted));
    }
}

async fn call(cell: Rc<Cell>, mut wanted: Wanted) {
    loop {
        // Its own call shows that it is there: no use in waiting for an old one of ours.
        let dialled = tokio::select! {
            dialled = dial(wanted.at) => dialled,
            () = wanted.called.notified() => continue,
        };
        let ended = match dialled {
            Ok(stream) => speak(&cell, stream, &mut wanted.queue).await,
            Err(cause) => Err(cause),
        };
        if let Err(cause) = ended {
            tracing::debug!(at = %wanted.at, %cause, "peer");
        }
        // What waits by now is old; the log and the cells tell it anew.
        while wanted.queue.try_recv().is_ok() {}
        tokio::select! {
            () = sleep(AGAIN) => {}
            () = wanted.called.notified() => {}
        }
    }
}

async fn speak(
    cell: &Rc<Cell>,
    stream: TcpStream,
    queue: &mut mpsc::Receiver<Tell>,
) -> io::Result<()> {
    // An end from the other side is noticed by reading: nothing else ever comes.
    let (mut reader, writer) = stream.into_split();
    let mut writer = BufWriter::new(writer);
    let hello = Hello::Control { protocol: PROTOCOL, id: cell.id, at: cell.me.clone() };
    wire::send(&mut writer, &hello).await?;
    for tell in cell.zones() {
        wire::send(&mut writer, &tell).await?;
    }
    timeout(WRITE, writer.flush()).await??;
    loop {
        let tell = tokio::select! {
            tell = queue.recv() => tell.ok_or(io::ErrorKind::BrokenPipe)?,
            end = wire::receive::<Tell>(&mut reader) => {
                end?;
                continue;
            }
        };
        let written = async {
            wire::send(&mut writer, &tell).await?;
            while let Ok(tell) = queue.try_recv() {
                wire::send(&mut writer, &tell).await?;
            }
            writer.flush().await
        };
        timeout(WRITE, written).await??;
    }
}

/// Takes calls from peers and from the data plane.
pub async fn listen(cell: Rc<Cell>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let cell = cell.clone();
                tokio::task::spawn_local(async move {
                    if let Err(cause) = converse(cell, stream).await {
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

async fn converse(cell: Rc<Cell>, mut stream: TcpStream) -> io::Result<()> {
    data_plane::watch::tune(&stream);
    let hello = timeout(HELLO, wire::receive::<Hello>(&mut stream)).await??;
    let other = |protocol| {
        tracing::warn!(protocol, "a caller that speaks another protocol is turned away");
        Err(io::ErrorKind::Unsupported.into())
    };
    match hello {
        Hello::Control { protocol, .. } if protocol != PROTOCOL => other(protocol),
        Hello::DataPlane { protocol, .. } if protocol != PROTOCOL => other(protocol),
        Hello::Control { id, at, .. } => {
            let from = at.inner;
            cell.called(id, at);
            let mut stream = BufReader::new(stream);
            loop {
                let tell = timeout(3 * TELL, wire::receive(&mut stream)).await??;
                cell.told(from, tell);
            }
        }
        Hello::DataPlane { balancer, .. } => {
            let node = balancer.node.clone();
            let session = Session { balancer, ready: false, leaving: false };
            let mark = cell.session(None, session.clone());
            let ended = serve(&cell, stream, mark, session).await;
            cell.session_over(mark, &node);
            ended
        }
    }
}

/// A data-plane balancer's session, for as long as it asks.
async fn serve(
    cell: &Rc<Cell>,
    stream: TcpStream,
    mark: u64,
    mut session: Session,
) -> io::Result<()> {
    let node = session.balancer.node.clone();
    let (reader, writer) = stream.into_split();
    let mut writer = BufWriter::new(writer);
    let (heard, mut asks) = mpsc::channel::<Ask>(8);
    // Reading has a task of its own: a frame half read must not be dropped.
    // Its end closes the channel.
    let _reading = AbortOnDrop(tokio::task::spawn_local(async move {
        let mut reader = BufReader::new(reader);
        while let Ok(Ok(ask)) = timeout(SILENCE, wire::receive::<Ask>(&mut reader)).await {
            if heard.send(ask).await.is_err() {
                return;
            }
        }
    }));
    let mut has = asks.recv().await.ok_or(io::ErrorKind::UnexpectedEof)?;
    note(cell, mark, &mut session, &has);
    cell.catch_up(CONFIRM).await;
    let mut changes = cell.changes();
    let mut said = Instant::now() - BEAT;
    loop {
        changes.borrow_and_update();
        let news = cell.news(&node, &mut has);
        if news.is_some() || said.elapsed() >= BEAT {
            said = Instant::now();
            let written = async {
                wire::send(&mut writer, &news.unwrap_or_default()).await?;
                writer.flush().await
            };
            timeout(WRITE, written).await??;
        }
        tokio::select! {
            ask = asks.recv() => {
                let ask = ask.ok_or(io::ErrorKind::UnexpectedEof)?;
                note(cell, mark, &mut session, &ask);
            }
            _ = changes.changed() => {}
            () = tokio::time::sleep_until(said + BEAT) => {}
        }
    }
}

fn note(cell: &Cell, mark: u64, session: &mut Session, ask: &Ask) {
    (session.ready, session.leaving) = (ask.ready, ask.leaving);
    cell.session(Some(mark), session.clone());
}
