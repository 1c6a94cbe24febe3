//! A request that is being written to an upstream, and how far it got.

use std::io::IoSlice;

/// How much of a request was handed to the kernel, and whether the upstream has begun to respond to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendProgress {
    /// Bytes handed to the kernel.
    pub bytes_sent: usize,
    /// Bytes of head and body together; 0 while that is not known yet.
    pub total_bytes: usize,
    /// Something has come that is, or may be, a response to this request, or the beginning of one.
    pub response_started: bool,
}

impl SendProgress {
    /// Not a byte has left.
    pub fn is_unsent(self) -> bool {
        self.bytes_sent == 0
    }

    /// Its last byte has not left.
    pub fn is_incomplete(self) -> bool {
        self.bytes_sent < self.total_bytes.max(1)
    }

    /// It can't have run: its last byte has not left, and nothing responded to the part that has.
    pub fn proves_not_run(self) -> bool {
        self.is_incomplete() && !self.response_started
    }
}

/// A request that is being written.
pub struct OutgoingRequest<'a> {
    /// Its head, up to and with the empty line.
    pub head: &'a [u8],
    /// Its body; may be empty.
    pub body: &'a [u8],
    /// Outlives the exchange: whoever abandons it must know how far it got.
    pub progress: &'a mut SendProgress,
    /// Nothing more is written: its response has begun, or writing has failed. In the latter case there may be a
    /// response to read all the same.
    pub(super) writing_stopped: bool,
}

impl<'a> OutgoingRequest<'a> {
    /// A request of which nothing has been written; `progress` is reset.
    pub fn new(head: &'a [u8], body: &'a [u8], progress: &'a mut SendProgress) -> Self {
        *progress = SendProgress {
            bytes_sent: 0,
            total_bytes: head.len() + body.len(),
            response_started: false,
        };
        Self {
            head,
            body,
            progress,
            writing_stopped: false,
        }
    }

    /// What has not been written yet, of head and body.
    pub(super) fn remaining(&self) -> [IoSlice<'a>; 2] {
        let sent = self.progress.bytes_sent;
        [
            IoSlice::new(self.head.get(sent..).unwrap_or_default()),
            IoSlice::new(
                self.body
                    .get(sent.saturating_sub(self.head.len())..)
                    .unwrap_or_default(),
            ),
        ]
    }
}
