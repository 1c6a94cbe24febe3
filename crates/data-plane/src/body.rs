//! Memory for the bodies of requests and answers, and the reading of a body within it.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

use bytes::Bytes;

/// What bodies of one side may take together. Atomic since `Bytes` asks for it; there is one thread.
#[derive(Clone)]
pub struct BodyBudget {
    taken: Arc<AtomicUsize>,
    most: usize,
}

/// A part of it, for as long as it is held.
pub struct BodyReservation {
    of: BodyBudget,
    bytes: usize,
}

impl BodyBudget {
    pub fn new(most: usize) -> Self {
        Self {
            taken: Arc::default(),
            most,
        }
    }

    pub fn reserve(&self, bytes: usize) -> Option<BodyReservation> {
        let mut room = BodyReservation {
            of: self.clone(),
            bytes: 0,
        };
        room.reach(bytes).then_some(room)
    }
}

impl BodyReservation {
    /// Grows to so many bytes, if there are as many left.
    fn reach(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let taken = self.of.taken.load(Relaxed);
        let fits = more <= self.of.most.saturating_sub(taken);
        if fits {
            self.of.taken.store(taken + more, Relaxed);
            self.bytes += more;
        }
        fits
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.of.taken.fetch_sub(self.bytes, Relaxed);
    }
}

/// A body that is counted until its last copy is dropped, a slow reader's too.
struct Counted {
    body: Vec<u8>,
    _room: BodyReservation,
}

impl AsRef<[u8]> for Counted {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// A body that is being read, within its room.
pub struct BodyBuffer {
    body: Vec<u8>,
    /// None for a body that nobody wants.
    room: Option<BodyReservation>,
    length: usize,
    largest: usize,
}

impl BodyBuffer {
    /// One that announces so much; `None` if it is larger than `largest` or than there is room for.
    pub fn new(allowance: &BodyBudget, announced: usize, largest: usize) -> Option<Self> {
        let room = if announced <= largest {
            allowance.reserve(announced)?
        } else {
            return None;
        };
        Some(Self {
            body: Vec::with_capacity(announced),
            room: Some(room),
            length: 0,
            largest,
        })
    }

    /// One that is only read past.
    pub fn discarded(largest: usize) -> Self {
        Self {
            body: Vec::new(),
            room: None,
            length: 0,
            largest,
        }
    }

    /// Takes in the next piece; `None` if that is too much.
    pub fn add(&mut self, data: &[u8]) -> Option<()> {
        self.length += data.len();
        if self.length > self.largest {
            return None;
        }
        if let Some(room) = &mut self.room {
            room.reach(self.length).then_some(())?;
            self.body.extend_from_slice(data);
        }
        Some(())
    }

    /// The whole of it; nothing of one that was only read past.
    pub fn into_bytes(self) -> Bytes {
        match self.room {
            Some(room) => Bytes::from_owner(Counted {
                body: self.body,
                _room: room,
            }),
            None => Bytes::new(),
        }
    }
}

#[cfg(test)]
#[path = "bodies_tests.rs"]
mod tests;
