//! A request that is being written to an upstream, and the progress of its exchange.

use std::io::IoSlice;
use std::time::Duration;

use tokio::time::Instant;

use crate::request_body::RequestBody;

/// How many parts of a request one write passes to the kernel: the head and some segments of the body.
const MAX_WRITE_SLICES: usize = 4;

/// How much of a request was passed to the kernel, and whether the upstream has begun to respond to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendProgress {
    /// Bytes passed to the kernel.
    pub bytes_sent: usize,
    /// Total size of head and body; 0 while it is not known yet.
    pub total_bytes: usize,
    /// Whether data has arrived that is, or may be, the start of a response to this request. Only logged.
    pub response_started: bool,
    /// How long the response has waited for memory of this process.
    pub memory_wait: MemoryWait,
}

/// How long a response has waited for memory of this process, for which its upstream is not responsible.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemoryWait {
    /// Since when it waits; `None` if it does not.
    since: Option<Instant>,
    /// All earlier waits together.
    earlier: Duration,
}

impl MemoryWait {
    /// Returns whether the response waits now.
    pub fn is_waiting(self) -> bool {
        self.since.is_some()
    }

    /// Returns how long the response has waited in total.
    pub fn total(self) -> Duration {
        self.earlier + self.since.map_or(Duration::ZERO, |since| since.elapsed())
    }

    pub(super) fn start(&mut self) {
        self.since = Some(Instant::now());
    }

    pub(super) fn end(&mut self) {
        self.earlier = self.total();
        self.since = None;
    }
}

impl SendProgress {
    /// Returns whether no byte was sent.
    pub fn is_unsent(self) -> bool {
        self.bytes_sent == 0
    }

    /// Returns whether the last byte of the request was not sent.
    pub fn is_incomplete(self) -> bool {
        self.bytes_sent < self.total_bytes.max(1)
    }

    /// Returns whether the request certainly has not run: no byte of it was sent. Once a part was sent, only a response
    /// can say so, since upstreams may begin their work before they have received the whole request.
    pub fn proves_not_run(self) -> bool {
        self.is_unsent()
    }
}

/// A request that is being written.
pub struct OutgoingRequest<'a> {
    /// The encoded head, including the empty line.
    pub head: &'a [u8],
    /// The body; may be empty.
    pub body: &'a RequestBody,
    /// Borrowed, since the caller needs it after an exchange was aborted.
    pub progress: &'a mut SendProgress,
    /// Whether writing has ended because the response has begun or writing has failed. After a failure there may still
    /// be a response to read.
    pub(super) writing_stopped: bool,
    /// Called when the response has to wait for memory.
    pub(super) on_memory_wait: Option<&'a dyn Fn()>,
}

impl<'a> OutgoingRequest<'a> {
    /// Creates a request of which nothing was written, and resets `progress`.
    pub fn new(head: &'a [u8], body: &'a RequestBody, progress: &'a mut SendProgress) -> Self {
        *progress = SendProgress {
            bytes_sent: 0,
            total_bytes: head.len() + body.len(),
            response_started: false,
            memory_wait: MemoryWait::default(),
        };
        Self {
            head,
            body,
            progress,
            writing_stopped: false,
            on_memory_wait: None,
        }
    }

    /// Has `on_memory_wait` called when the response has to wait for memory.
    pub fn on_memory_wait(mut self, on_memory_wait: &'a dyn Fn()) -> Self {
        self.on_memory_wait = Some(on_memory_wait);
        self
    }

    /// Returns the next parts of head and body that were not written yet.
    pub(super) fn remaining(&self) -> [IoSlice<'a>; MAX_WRITE_SLICES] {
        let sent = self.progress.bytes_sent;
        let mut slices = [IoSlice::new(&[]); MAX_WRITE_SLICES];
        slices[0] = IoSlice::new(self.head.get(sent..).unwrap_or_default());
        let body_sent = sent.saturating_sub(self.head.len());
        self.body.fill_slices(body_sent, &mut slices[1..]);
        slices
    }
}
