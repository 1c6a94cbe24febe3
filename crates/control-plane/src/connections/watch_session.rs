//! A session of a data-plane balancer. The balancer reports the versions that it has, and is sent newer ones.
//!
//! A balancer keeps two sessions with different control processes. The secondary one (`is_secondary`) delays updates
//! briefly: by then most have arrived on the primary session, and the balancer has reported them. Quorum contact is
//! checked immediately before anything is sent, because this process may have been suspended since the last check.

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

/// A balancer that does not accept an update within this time is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2000);
/// How long a new session waits for a majority to confirm the state before it reports that this process is out of
/// contact. The balancer can then turn to another control process, which may be in contact.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1000);
/// Replaces [`CONFIRM_TIMEOUT`] if this process was out of contact when the session opened. It is the time that a
/// majority across regions takes to answer.
const CONFIRM_TIMEOUT_OUT_OF_CONTACT: Duration = Duration::from_millis(250);
/// How long a secondary session delays an update, so that it can arrive on the primary session and be reported here. It
/// is short compared with every bound on the delay of updates.
const SECONDARY_DELAY: Duration = Duration::from_millis(600);
/// The capacity of the queue of received messages. While it is full, nothing more is read from the balancer.
const QUEUE_MESSAGES: usize = 8;

/// The next action of a session.
enum Step {
    /// Send this update.
    Send(Box<WatchUpdate>),
    /// Send nothing before this time.
    WaitUntil(Instant),
}

/// A balancer's session. It is registered at the server from [`WatchSession::open`] until it is dropped.
pub(super) struct WatchSession {
    server: Rc<ControlServer>,
    id: SessionId,
    session: Session,
    /// The balancer's last report of what it has, updated with what it was sent since.
    known: WatchRequest,
    opened_at: Instant,
    /// Whether everything that was acknowledged before the session opened is known to be applied here.
    is_confirmed: bool,
    /// Whether this process was in quorum contact according to the last update or heartbeat. `None` before the first
    /// one.
    sent_contact: Option<bool>,
    /// When the last update or heartbeat was sent.
    sent_at: Instant,
    /// When the update that is now to be sent became due; `None` if there is none. A secondary session delays it.
    pending_since: Option<Instant>,
}

impl WatchSession {
    /// Opens and registers a session. The balancer counts as not ready until it reports otherwise.
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
            known: WatchRequest::default(),
            opened_at: Instant::now(),
            is_confirmed: false,
            sent_contact: None,
            sent_at: Instant::now(),
            pending_since: None,
        }
    }

    /// Serves the session until it ends.
    pub(super) async fn serve(mut self, stream: impl Stream) -> io::Result<()> {
        let (reader, writer) = tokio::io::split(stream);
        let mut writer = BufWriter::new(writer);
        let (sender, mut messages) = mpsc::channel(QUEUE_MESSAGES);
        // Messages are read in a separate task, because cancelling a read would lose a partly read frame. The channel
        // closes when the task ends.
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
                // The fixed order makes simulations reproducible. It can't starve updates: each iteration sends those
                // due.
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

    /// Records the versions that the balancer has, and whether it is ready and draining.
    fn handle_watch_request(&mut self, request: WatchRequest) {
        (self.session.ready, self.session.draining) = (request.ready, request.draining);
        self.server.update_session(self.id, self.session.clone());
        self.server.observe_zone_versions(&request.zone_versions);
        self.known = request;
    }

    /// Waits, for a limited time, until everything that was acknowledged before the session opened is applied here.
    async fn confirm(&mut self) {
        self.opened_at = Instant::now();
        let confirm_timeout = if self.server.has_quorum_contact() {
            CONFIRM_TIMEOUT
        } else {
            CONFIRM_TIMEOUT_OUT_OF_CONTACT
        };
        self.is_confirmed = self.server.wait_until_current(confirm_timeout).await;
        self.sent_at = Instant::now() - HEARTBEAT_INTERVAL;
    }

    /// Whether the replicated state may be sent.
    fn is_in_contact(&mut self) -> bool {
        let age = self.server.quorum_contact_age();
        self.is_confirmed |= age.is_some_and(|age| age < self.opened_at.elapsed());
        self.is_confirmed && self.server.has_quorum_contact()
    }

    /// Returns what is due now: an update, a change of quorum contact, or a heartbeat.
    fn next_step(&mut self) -> Step {
        let in_contact = self.is_in_contact();
        let mut new_known = self.known.clone();
        let node = &self.session.balancer.node;
        let mut update = self.server.watch_update(node, &mut new_known, in_contact);
        self.pending_since = update
            .as_ref()
            .map(|_| self.pending_since.unwrap_or_else(Instant::now));
        let delayed_until = self
            .pending_since
            .filter(|_| self.known.is_secondary)
            .map(|since| since + SECONDARY_DELAY);
        if delayed_until.is_some_and(|until| Instant::now() < until) {
            update = None;
        }
        let is_due = self.sent_at.elapsed() >= HEARTBEAT_INTERVAL;
        if update.is_none() && self.sent_contact == Some(in_contact) && !is_due {
            let heartbeat_at = self.sent_at + HEARTBEAT_INTERVAL;
            return Step::WaitUntil(delayed_until.map_or(heartbeat_at, |at| at.min(heartbeat_at)));
        }
        if update.is_some() {
            (self.known, self.pending_since) = (new_known, None);
        }
        (self.sent_at, self.sent_contact) = (Instant::now(), Some(in_contact));
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

/// Forwards the balancer's messages until it hangs up, is silent for too long, or the session ends.
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
