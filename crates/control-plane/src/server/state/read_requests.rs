//! Readers that wait for a read of the log to be confirmed (Raft thesis, 6.4).

use std::net::SocketAddr;

use rustc_hash::FxHashMap;
use tokio::sync::oneshot;

/// Identifies a read of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ReadToken(u64);

impl ReadToken {
    /// Wraps a token that the Raft node or a peer has returned.
    pub(crate) fn from_raw(token: u64) -> Self {
        Self(token)
    }

    /// Returns the number to pass to the Raft node or to send to a peer.
    pub(crate) fn get(self) -> u64 {
        self.0
    }
}

/// Identifies a read of a peer. It is only sent back, never looked up here.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerReadToken(u64);

impl PeerReadToken {
    /// Wraps a token received from the peer.
    pub(crate) fn from_raw(token: u64) -> Self {
        Self(token)
    }

    /// Returns the number to send back to the peer.
    pub(crate) fn get(self) -> u64 {
        self.0
    }
}

/// The party that waits for a read.
pub(crate) enum Reader {
    /// A caller in this process. It gets the index to wait for, or `None` if the read failed.
    Local(oneshot::Sender<Option<u64>>),
    /// Another control process, which is not a member of the log.
    Peer {
        /// The address on which it listens for peers.
        address: SocketAddr,
        /// The peer's own token for the read.
        token: PeerReadToken,
    },
}

/// Waiting readers, by token.
///
/// Invariant: a token is used only once. Tokens start at a random number when the process starts, so a late answer to
/// an earlier run of the process finds no reader here. Readers are lost with the process.
pub(crate) struct ReadRequests {
    readers: FxHashMap<ReadToken, Reader>,
    last_token: ReadToken,
}

impl ReadRequests {
    /// Creates an empty set of readers. The first token is the successor of `last_token`.
    pub(crate) fn new(last_token: u64) -> Self {
        Self {
            readers: FxHashMap::default(),
            last_token: ReadToken(last_token),
        }
    }

    /// Returns an unused token.
    pub(crate) fn next_token(&mut self) -> ReadToken {
        self.last_token = ReadToken(self.last_token.0.wrapping_add(1));
        self.last_token
    }

    /// Registers a reader under a new token.
    pub(crate) fn register(&mut self, reader: Reader) -> ReadToken {
        let token = self.next_token();
        self.readers.insert(token, reader);
        token
    }

    /// Removes and returns the reader with this token, because its read has completed or it has timed out.
    pub(crate) fn remove(&mut self, token: ReadToken) -> Option<Reader> {
        self.readers.remove(&token)
    }
}
