//! What is written to another control balancer on a call: messages of the log first, and beside them what is said
//! of sessions and zones. A slow link ends a call only when it takes nothing for a while, however much there is.
//! What is in flight of the log is bounded by the log itself; see `docs/design/0011-catching-up.md`.

use std::collections::VecDeque;
use std::io;
use std::time::Duration;

use protocol::wire::{self, PeerMessage};
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// A link that takes no part of a frame for so long is dead.
const STALLED: Duration = Duration::from_millis(2000);
/// Frames are written in such parts: on a link of 1 Mbit/s one takes an eighth of a second.
const PART: usize = 16 << 10;
/// After so many messages of the log another one has its turn, if one waits.
const TURNS: usize = 8;

/// No more messages wait here than this: those that come then wait in the queue, which refuses what is too much.
const MOST: usize = 256;

/// What waits to be written.
#[derive(Default)]
struct Outbox {
    log: VecDeque<PeerMessage>,
    other: VecDeque<PeerMessage>,
    /// Messages of the log that were written since the last other one.
    turns: usize,
}

impl Outbox {
    fn has_room(&self) -> bool {
        self.log.len() + self.other.len() < MOST
    }

    fn push(&mut self, tell: PeerMessage) {
        match tell {
            PeerMessage::Raft(_) => self.log.push_back(tell),
            _ => self.other.push_back(tell),
        }
    }

    fn pop(&mut self) -> Option<PeerMessage> {
        let others_turn = self.turns >= TURNS && !self.other.is_empty();
        if !others_turn && let Some(tell) = self.log.pop_front() {
            self.turns += 1;
            return Some(tell);
        }
        self.turns = 0;
        self.other.pop_front()
    }
}

/// Writes one frame, however long that takes while the link takes parts of it.
pub async fn write_frame(writer: &mut (impl AsyncWrite + Unpin), frame: &[u8]) -> io::Result<()> {
    for part in frame.chunks(PART) {
        timeout(STALLED, writer.write_all(part)).await??;
    }
    Ok(())
}

/// Writes the introduction and all that the queue brings, until the link or the queue ends.
pub async fn write_all(
    writer: &mut (impl AsyncWrite + Unpin),
    introduction: Vec<PeerMessage>,
    queue: &mut mpsc::Receiver<PeerMessage>,
) -> io::Result<()> {
    let mut outbox = Outbox::default();
    introduction.into_iter().for_each(|tell| outbox.push(tell));
    loop {
        while outbox.has_room()
            && let Ok(tell) = queue.try_recv()
        {
            outbox.push(tell);
        }
        if let Some(tell) = outbox.pop() {
            write_frame(writer, &wire::encode_frame(&tell)?).await?;
            continue;
        }
        timeout(STALLED, writer.flush()).await??;
        outbox.push(queue.recv().await.ok_or(io::ErrorKind::BrokenPipe)?);
    }
}
