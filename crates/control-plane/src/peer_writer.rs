//! Writes messages to a peer. Raft messages take precedence over all others, but do not starve them. There is no limit
//! on how long a slow link takes to transfer a message, as long as it keeps accepting data.
//!
//! **State.** The messages of one connection that were taken from the peer's queue but are not written yet. They are
//! lost with the connection, and their content is sent again. Raft itself bounds its messages in flight: see
//! `docs/design/0011-replica-catch-up.md`.

use std::collections::VecDeque;
use std::io;
use std::time::Duration;

use protocol::wire::{self, PeerMessage};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// A link that does not accept a chunk of a frame within this time is considered dead.
const STALL_TIMEOUT: Duration = Duration::from_millis(2000);
/// The size of the chunks in which frames are written. A chunk takes an eighth of a second on a link of 1 Mbit/s.
const WRITE_CHUNK_BYTES: usize = 16 << 10;
/// After this many consecutive Raft messages, one other message is written, if any is waiting.
const MAX_CONSECUTIVE_RAFT_MESSAGES: usize = 8;
/// The capacity of the outbox. Further messages stay in the peer's queue, which rejects messages when it is full.
const MAX_OUTBOX_MESSAGES: usize = 256;

/// The messages waiting to be written.
#[derive(Default)]
struct Outbox {
    raft: VecDeque<PeerMessage>,
    other: VecDeque<PeerMessage>,
    /// The number of Raft messages taken since the last other message.
    consecutive_raft_messages: usize,
}

impl Outbox {
    fn has_room(&self) -> bool {
        self.raft.len() + self.other.len() < MAX_OUTBOX_MESSAGES
    }

    fn push(&mut self, message: PeerMessage) {
        match message {
            PeerMessage::Raft(_) => self.raft.push_back(message),
            _ => self.other.push_back(message),
        }
    }

    /// Takes the next message to write.
    fn pop(&mut self) -> Option<PeerMessage> {
        let is_other_due = self.consecutive_raft_messages >= MAX_CONSECUTIVE_RAFT_MESSAGES
            && !self.other.is_empty();
        if !is_other_due && let Some(message) = self.raft.pop_front() {
            self.consecutive_raft_messages += 1;
            return Some(message);
        }
        self.consecutive_raft_messages = 0;
        self.other.pop_front()
    }
}

/// Writes one frame. There is no limit on the total time, only on the time for each chunk.
///
/// # Errors
/// Returns `TimedOut` if a chunk is not accepted within 2 s, or the error of the writer.
pub async fn write_frame(writer: &mut (impl AsyncWrite + Unpin), frame: &[u8]) -> io::Result<()> {
    for chunk in frame.chunks(WRITE_CHUNK_BYTES) {
        timeout(STALL_TIMEOUT, writer.write_all(chunk)).await??;
    }
    Ok(())
}

/// Writes the introduction messages, then the messages from the queue, until writing fails or the queue is closed.
///
/// # Errors
/// Always returns an error: one of [`write_frame`], or `BrokenPipe` if the queue is closed.
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
