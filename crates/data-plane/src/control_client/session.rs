//! One session with a control node: connects, sends the handshake and the held versions, and passes on the updates that
//! arrive, until the session fails or is left voluntarily.
//!
//! Owns the connection, the last request that was sent, and the fleet view and the digest of the control nodes that
//! were received on it; all of this is dropped with the session.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use protocol::wire::{
    self, FleetView, Handshake, PROTOCOL_VERSION, SessionMessage, WatchRequest, WatchUpdate,
};
use tokio::io::{AsyncWriteExt, BufReader, BufWriter, ReadHalf, WriteHalf};
use tokio::time::{Instant, sleep_until, timeout};

use super::{
    CHANGE_COALESCING, ControlClient, HEARTBEAT_INTERVAL, IDLE_TIMEOUT, Network, SessionEnd,
    UpdateHandler,
};
use crate::change_notifier::ChangeWatcher;

/// One session. Its state is in the client's [session table](super::session_table).
pub(super) struct Session<'a, F, N: Network> {
    reader: BufReader<ReadHalf<N::Stream>>,
    outbound: Outbound<'a, F, N>,
    /// Wakes when the watch request may have changed.
    changes: ChangeWatcher,
}

/// The sending half: what was last sent to the control node, and when the next message is due.
struct Outbound<'a, F, N: Network> {
    client: &'a ControlClient<F, N>,
    peer: SocketAddr,
    writer: BufWriter<WriteHalf<N::Stream>>,
    /// The last watch request; `None` if the next one has to be sent even if it is unchanged.
    last_sent: Option<WatchRequest>,
    next_send: Instant,
    /// The fleet view as last received. This and the digest below are sent back so that the node sends only changes.
    fleet: Option<FleetView>,
    control_nodes_digest: u32,
}

impl<'a, F: UpdateHandler, N: Network> Session<'a, F, N> {
    /// Runs a session with this control node until it ends.
    pub(super) async fn run(
        client: &'a ControlClient<F, N>,
        peer: SocketAddr,
    ) -> Result<Infallible, SessionEnd> {
        let mut session = Self::open(client, peer).await?;
        loop {
            let update = session.next_update().await?;
            session.handle_update(&update);
            if let Some(end) = client.reason_to_leave(peer, update.out_of_contact) {
                return Err(end);
            }
        }
    }

    /// Connects, and sends the handshake and the first watch request.
    async fn open(client: &'a ControlClient<F, N>, peer: SocketAddr) -> io::Result<Self> {
        let (reader, writer) = tokio::io::split(client.network.connect(peer).await?);
        let mut outbound = Outbound {
            client,
            peer,
            writer: BufWriter::new(writer),
            last_sent: None,
            next_send: Instant::now(),
            fleet: None,
            control_nodes_digest: 0,
        };
        let handshake = Handshake::DataPlane {
            protocol_version: PROTOCOL_VERSION,
            balancer: client.balancer.clone(),
        };
        wire::send_message(&mut outbound.writer, &handshake).await?;
        let changes = client.handler.watch_changes();
        outbound.send_watch_request().await?;
        client.sessions.borrow_mut().await_update(peer);
        Ok(Self {
            reader: BufReader::new(reader),
            outbound,
            changes,
        })
    }

    /// Waits for the next update, and meanwhile sends the messages that are due.
    async fn next_update(&mut self) -> io::Result<WatchUpdate> {
        // One future for the whole wait: dropping it would lose a partially read frame.
        let update = timeout(IDLE_TIMEOUT, wire::receive_message(&mut self.reader));
        tokio::pin!(update);
        loop {
            tokio::select! {
                // A fixed order keeps simulations deterministic, and sends due messages first even under a high rate of
                // updates.
                biased;
                () = sleep_until(self.outbound.next_send) => self.outbound.send_due().await?,
                update = &mut update => return Ok(update??),
                () = self.changes.changed() => self.outbound.schedule_change(),
            }
        }
    }

    /// Applies an update.
    fn handle_update(&mut self, update: &WatchUpdate) {
        let Outbound { client, peer, .. } = self.outbound;
        if client.sessions.borrow_mut().establish(peer) {
            tracing::info!(%peer, "session with a control node established");
        }
        if update.out_of_contact {
            client.release_primary(peer);
        } else {
            client.claim_primary(peer);
        }
        if let Some(fleet) = update.fleet {
            self.outbound.fleet = Some(fleet);
            client.handle_fleet_view(peer, fleet);
        }
        if let Some(nodes) = &update.control_nodes {
            self.outbound.control_nodes_digest = wire::digest(nodes);
            client.handle_control_nodes(nodes);
        }
        if client.handler.handle_update(update) {
            self.outbound.resend_now();
        }
    }
}

impl<F: UpdateHandler, N: Network> Outbound<'_, F, N> {
    /// Returns the current watch request of this session.
    fn watch_request(&self) -> WatchRequest {
        let is_secondary = self.client.sessions.borrow().is_secondary(self.peer);
        WatchRequest {
            fleet: self.fleet,
            control_nodes_digest: self.control_nodes_digest,
            is_secondary,
            ..self.client.handler.watch_request()
        }
    }

    /// Sends the watch request if it differs from the last one, otherwise a heartbeat. Returns whether the request was
    /// sent as the primary, or while there was no primary.
    async fn send_watch_request(&mut self) -> io::Result<bool> {
        let request = self.watch_request();
        let is_primary = !request.is_secondary;
        let message = if self.last_sent.as_ref() == Some(&request) {
            SessionMessage::KeepAlive
        } else {
            SessionMessage::Watch(request.clone())
        };
        self.last_sent = Some(request);
        self.send(&message).await?;
        self.next_send = Instant::now() + HEARTBEAT_INTERVAL;
        Ok(is_primary)
    }

    /// Sends what is due at `next_send`: the watch request or a heartbeat, and the key load if this session reports it.
    async fn send_due(&mut self) -> io::Result<()> {
        if !self.send_watch_request().await? {
            return Ok(());
        }
        let key_load = self.client.handler.take_key_load();
        if !key_load.is_empty() {
            self.send(&SessionMessage::KeyLoad(key_load)).await?;
        }
        Ok(())
    }

    async fn send(&mut self, message: &SessionMessage) -> io::Result<()> {
        wire::send_message(&mut self.writer, message).await?;
        timeout(IDLE_TIMEOUT, self.writer.flush()).await?
    }

    /// Schedules the sending of a local change: immediately if it is urgent, otherwise together with later changes.
    fn schedule_change(&mut self) {
        let request = self.watch_request();
        let last_sent = self.last_sent.as_ref();
        let is_urgent = last_sent.is_none_or(|last| last.is_urgent_change(&request));
        let delay = if is_urgent {
            Duration::ZERO
        } else {
            CHANGE_COALESCING
        };
        self.next_send = self.next_send.min(Instant::now() + delay);
    }

    /// Schedules the watch request immediately, even if it is unchanged, because something has to be received in full.
    fn resend_now(&mut self) {
        (self.last_sent, self.next_send) = (None, Instant::now());
    }
}
