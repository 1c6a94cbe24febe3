//! The order and pace of what is written to a peer: messages of the log first, and beside them those about sessions and
//! zones. A slow link ends a connection only when it takes nothing for a while, however much there is to write.
//!
//! **State.** The messages of one connection that were taken from the peer's queue and are not written yet; they are lost
//! with the connection, and what they said is sent again. What is in flight of the log is bounded by the log itself: see
//! `docs/design/0011-replica-catch-up.md`.

use std::collections::VecDeque;
use std::io;
use std::time::Duration;

use protocol::wire::{self, PeerMessage};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// A link that takes no chunk of a frame for so long is dead.
const STALL_TIMEOUT: Duration = Duration::from_millis(2000);
/// Frames are written in chunks of so many bytes: on a link of 1 Mbit/s one takes an eighth of a second.
const WRITE_CHUNK_BYTES: usize = 16 << 10;
/// After so many messages of the log another one has its turn, if one waits.
const MAX_CONSECUTIVE_LOG_MESSAGES: usize = 8;
/// So many messages wait here at most: those that come then wait in the queue, which refuses what is too much.
const MAX_OUTBOX_MESSAGES: usize = 256;

/// What waits to be written.
#[derive(Default)]
struct Outbox {
    log: VecDeque<PeerMessage>,
    other: VecDeque<PeerMessage>,
    /// Messages of the log that were written since the last other one.
    consecutive_log_messages: usize,
}

impl Outbox {
    fn has_room(&self) -> bool {
        self.log.len() + self.other.len() < MAX_OUTBOX_MESSAGES
    }

    fn push(&mut self, message: PeerMessage) {
        match message {
            PeerMessage::Raft(_) => self.log.push_back(message),
            _ => self.other.push_back(message),
        }
    }

    fn pop(&mut self) -> Option<PeerMessage> {
        let is_others_turn =
            self.consecutive_log_messages >= MAX_CONSECUTIVE_LOG_MESSAGES && !self.other.is_empty();
        if !is_others_turn && let Some(message) = self.log.pop_front() {
            self.consecutive_log_messages += 1;
            return Some(message);
        }
        self.consecutive_log_messages = 0;
        self.other.pop_front()
    }
}

/// Writes one frame, however long that takes while the link takes chunks of it.
///
/// # Errors
/// `TimedOut` where the link takes nothing for 2 s; else as the writer.
pub async fn write_frame(writer: &mut (impl AsyncWrite + Unpin), frame: &[u8]) -> io::Result<()> {
    for chunk in frame.chunks(WRITE_CHUNK_BYTES) {
        timeout(STALL_TIMEOUT, writer.write_all(chunk)).await??;
    }
    Ok(())
}

/// Writes the introduction and all that the queue brings, until the link or the queue ends.
///
/// # Errors
/// Always: as [`write_frame`]; `BrokenPipe` where the queue has ended.
pub async fn write_all(
    writer: &mut (impl AsyncWrite + Unpin),
    introduction: Vec<PeerMessage>,
    queue: &mut mpsc::Receiver<PeerMessage>,
) -> io::Result<()> {
    let mut outbox = Outbox::default();
    for message in introduction {
        outbox.push(message);
    }
    loop {
        while outbox.has_room()
            && let Ok(message) = queue.try_recv()
        {
            outbox.push(message);
        }
        if let Some(message) = outbox.pop() {
            write_frame(writer, &wire::encode_frame(&message)?).await?;
            continue;
        }
        timeout(STALL_TIMEOUT, writer.flush()).await??;
        outbox.push(queue.recv().await.ok_or(io::ErrorKind::BrokenPipe)?);
    }
}
