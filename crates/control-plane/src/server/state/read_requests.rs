//! Callers that wait for a read of the log to be confirmed (Raft thesis, 6.4).

use std::net::SocketAddr;

use rustc_hash::FxHashMap;
use tokio::sync::oneshot;

/// Names one read of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ReadToken(u64);

impl ReadToken {
    /// As it comes back from the member of the log, or from a peer that was asked.
    pub(crate) fn from_raw(token: u64) -> Self {
        Self(token)
    }

    /// As it is given to the member of the log, or sent to a peer.
    pub(crate) fn get(self) -> u64 {
        self.0
    }
}

/// Names one read of a peer. Never looked up here, only sent back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerReadToken(u64);

impl PeerReadToken {
    /// As it came from the peer.
    pub(crate) fn from_raw(token: u64) -> Self {
        Self(token)
    }

    /// As it goes back to the peer.
    pub(crate) fn get(self) -> u64 {
        self.0
    }
}

/// Who waits for a read.
pub(crate) enum Reader {
    /// A caller in this process; gets the index to apply first, `None` where the read failed.
    Local(oneshot::Sender<Option<u64>>),
    /// Another control process, which is no member of the log.
    Peer {
        /// Where it listens for peers.
        address: SocketAddr,
        /// Its own name for the read.
        token: PeerReadToken,
    },
}

/// Readers by token.
///
/// Invariant: a token is used once. The first one is drawn at random when the process starts, so that an answer to an
/// earlier life of the process finds no reader here. When the process dies, its readers go with it.
pub(crate) struct ReadRequests {
    readers: FxHashMap<ReadToken, Reader>,
    last_token: ReadToken,
}

impl ReadRequests {
    /// Without readers; tokens follow this one.
    pub(crate) fn new(first_token: u64) -> Self {
        Self {
            readers: FxHashMap::default(),
            last_token: ReadToken(first_token),
        }
    }

    /// A token that was never used before.
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

    /// Takes out the reader of this token: its read has ended, or it waits no longer.
    pub(crate) fn remove(&mut self, token: ReadToken) -> Option<Reader> {
        self.readers.remove(&token)
    }
}
