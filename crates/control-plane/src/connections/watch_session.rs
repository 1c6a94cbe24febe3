//! A session of a data-plane balancer: it says what it has, and is sent what it lacks.
//!
//! A balancer keeps two sessions with different control processes. The second one (`is_secondary`) holds updates back for
//! a moment: most have come by the first one then, and the balancer has said so. Right before anything is handed out it is
//! looked whether this process is in quorum contact: it may have stood still.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use data_plane::abort_on_drop::AbortOnDrop;
use data_plane::control_client::{HEARTBEAT_INTERVAL, IDLE_TIMEOUT};
use protocol::wire::{self, Balancer, Session, SessionMessage, WatchRequest, WatchUpdate};
use tokio::io::{AsyncRead, AsyncWriteExt, BufReader, BufWriter};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

use super::Stream;
use crate::server::{ControlServer, SessionId};

/// A balancer that takes no update for so long is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2000);
/// A balancer that opens its session waits so long for a majority to confirm what it is told. It moves on then: another
/// control process may be in contact.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1000);
/// The same where there was no contact before either: the time that a majority across regions takes to answer.
const CONFIRM_TIMEOUT_OUT_OF_CONTACT: Duration = Duration::from_millis(250);
/// What the balancer's first session brings is sent on a second one only after so long: a moment for it to arrive there
/// and to be said here. Short compared with any bound on updates.
const SECONDARY_DELAY: Duration = Duration::from_millis(600);
/// So many messages of the balancer wait at most; it is read no further then.
const QUEUE_MESSAGES: usize = 8;

/// What happens next on a session.
enum Step {
    /// This update is sent.
    Send(Box<WatchUpdate>),
    /// Nothing, until this moment.
    WaitUntil(Instant),
}

/// A balancer's session. Registered from when it is opened until it is dropped.
pub(super) struct WatchSession {
    server: Rc<ControlServer>,
    id: SessionId,
    session: Session,
    /// What the balancer has, or was sent.
    has: WatchRequest,
    opened_at: Instant,
    /// What was acknowledged before the session opened is applied here: it is among the first that it is sent.
    is_confirmed: bool,
    /// Whether it was last sent that this process is in contact.
    reported_contact: Option<bool>,
    sent_at: Instant,
    /// Since when there is something to send that a second session holds back.
    pending_since: Option<Instant>,
}

impl WatchSession {
    /// Registers the session; the balancer counts as not ready until it says otherwise.
    pub(super) fn open(server: Rc<ControlServer>, balancer: Balancer) -> Self {
        let session = Session {
            balancer,
            ready: false,
            draining: false,
        };
        let id = server.open_session(session.clone());
        Self {
            server,
            id,
            session,
            has: WatchRequest::default(),
            opened_at: Instant::now(),
            is_confirmed: false,
            reported_contact: None,
            sent_at: Instant::now(),
            pending_since: None,
        }
    }

    /// Serves the session until it ends.
    pub(super) async fn serve(mut self, stream: impl Stream) -> io::Result<()> {
        let (reader, writer) = tokio::io::split(stream);
        let mut writer = BufWriter::new(writer);
        let (sender, mut messages) = mpsc::channel(QUEUE_MESSAGES);
        // Reading has a task of its own: a frame half read must not be dropped. Its end closes the channel.
        let _reading = AbortOnDrop(tokio::task::spawn_local(read_messages(reader, sender)));
        let first = messages.recv().await.ok_or(io::ErrorKind::UnexpectedEof)?;
        let SessionMessage::Watch(request) = first else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        self.handle_watch_request(request);
        self.confirm().await;
        let mut changes = self.server.watch_changes();
        loop {
            changes.mark_all_seen();
            let next = match self.next_step() {
                Step::Send(update) => {
                    let written = async {
                        wire::send_message(&mut writer, &*update).await?;
                        writer.flush().await
                    };
                    timeout(WRITE_TIMEOUT, written).await??;
                    continue;
                }
                Step::WaitUntil(next) => next,
            };
            tokio::select! {
                // In this order, so that a simulation plays the same each time; each turn of the loop sends what is new.
                biased;
                message = messages.recv() => match message.ok_or(io::ErrorKind::UnexpectedEof)? {
                    SessionMessage::Watch(request) => self.handle_watch_request(request),
                    SessionMessage::KeepAlive => {}
                    SessionMessage::KeyLoad(counts) => self.server.record_key_load(counts),
                },
                () = changes.changed() => {}
                () = sleep_until(next) => {}
            }
        }
    }

    /// The balancer says what it has, and how it is.
    fn handle_watch_request(&mut self, request: WatchRequest) {
        (self.session.ready, self.session.draining) = (request.ready, request.draining);
        self.server.update_session(self.id, self.session.clone());
        self.server.observe_zone_versions(&request.zone_versions);
        self.has = request;
    }

    /// Waits until what was acknowledged before the session opened is applied here, for a while.
    async fn confirm(&mut self) {
        self.opened_at = Instant::now();
        let patience = if self.server.has_quorum_contact() {
            CONFIRM_TIMEOUT
        } else {
            CONFIRM_TIMEOUT_OUT_OF_CONTACT
        };
        self.is_confirmed = self.server.wait_until_current(patience).await;
        self.sent_at = Instant::now() - HEARTBEAT_INTERVAL;
    }

    /// Whether what is agreed on may be sent.
    fn is_in_contact(&mut self) -> bool {
        let age = self.server.quorum_contact_age();
        self.is_confirmed |= age.is_some_and(|age| age < self.opened_at.elapsed());
        self.is_confirmed && self.server.has_quorum_contact()
    }

    /// What is to be sent by now: an update, a change of contact, or a heartbeat.
    fn next_step(&mut self) -> Step {
        let in_contact = self.is_in_contact();
        let mut has_then = self.has.clone();
        let node = &self.session.balancer.node;
        let mut update = self.server.watch_update(node, &mut has_then, in_contact);
        self.pending_since = update
            .as_ref()
            .map(|_| self.pending_since.unwrap_or_else(Instant::now));
        let held_until = self
            .pending_since
            .filter(|_| self.has.is_secondary)
            .map(|since| since + SECONDARY_DELAY);
        if held_until.is_some_and(|until| Instant::now() < until) {
            update = None;
        }
        let is_due = self.sent_at.elapsed() >= HEARTBEAT_INTERVAL;
        if update.is_none() && self.reported_contact == Some(in_contact) && !is_due {
            let heartbeat_at = self.sent_at + HEARTBEAT_INTERVAL;
            return Step::WaitUntil(held_until.map_or(heartbeat_at, |at| at.min(heartbeat_at)));
        }
        if update.is_some() {
            (self.has, self.pending_since) = (has_then, None);
        }
        (self.sent_at, self.reported_contact) = (Instant::now(), Some(in_contact));
        Step::Send(Box::new(WatchUpdate {
            out_of_contact: !in_contact,
            ..update.unwrap_or_default()
        }))
    }
}

impl Drop for WatchSession {
    fn drop(&mut self) {
        let node = &self.session.balancer.node;
        self.server.end_session(self.id, node);
    }
}

/// Reads the balancer's messages until it hangs up, is silent for too long, or the session has ended.
async fn read_messages(reader: impl AsyncRead + Unpin, messages: mpsc::Sender<SessionMessage>) {
    let mut reader = BufReader::new(reader);
    loop {
        let message = wire::receive_message::<SessionMessage>(&mut reader);
        let Ok(Ok(message)) = timeout(IDLE_TIMEOUT, message).await else {
            return;
        };
        if messages.send(message).await.is_err() {
            return;
        }
    }
}
