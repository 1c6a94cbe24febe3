//! The body of a client's request, in segments.
//!
//! A body grows by whole segments, so a large body is never copied. It occupies at most one segment more than its length,
//! regardless of the number of chunks in which it arrived.

use std::io::IoSlice;

use crate::request_budget::MemoryReservation;

/// The capacity of each segment except the last.
pub(crate) const SEGMENT_BYTES: usize = 64 << 10;
/// The initial capacity of the first segment if the length is unknown or large. Small bodies need no more, and a large
/// body that is only announced occupies little.
const INITIAL_SEGMENT_BYTES: usize = 8 << 10;

/// A complete request body. Keeps its memory reserved until it is dropped.
#[derive(Default)]
pub struct RequestBody {
    segments: Vec<Vec<u8>>,
    length: usize,
    reservation: Option<MemoryReservation>,
}

impl RequestBody {
    /// Returns the length in bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether there is no body.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Returns the body in one piece, and its reservation. Each segment is freed as soon as it has been copied.
    pub fn into_vec(mut self) -> (Vec<u8>, Option<MemoryReservation>) {
        let whole = if self.segments.len() == 1 {
            self.segments.remove(0)
        } else {
            let mut whole = Vec::with_capacity(self.length);
            for segment in self.segments {
                whole.extend_from_slice(&segment);
            }
            whole
        };
        (whole, self.reservation)
    }

    /// Fills `slices` with the parts of the body that follow the first `skipped` bytes, as many as fit.
    pub(crate) fn fill_slices<'a>(&'a self, mut skipped: usize, slices: &mut [IoSlice<'a>]) {
        let mut free = slices.iter_mut();
        for segment in &self.segments {
            if skipped >= segment.len() {
                skipped -= segment.len();
                continue;
            }
            let Some(slice) = free.next() else { return };
            *slice = IoSlice::new(&segment[skipped..]);
            skipped = 0;
        }
    }
}

impl From<Vec<u8>> for RequestBody {
    /// Creates a body that is not counted in any budget.
    fn from(body: Vec<u8>) -> Self {
        Self {
            length: body.len(),
            segments: vec![body],
            reservation: None,
        }
    }
}

/// A body that is being received.
#[derive(Default)]
pub(crate) struct SegmentedBuffer {
    segments: Vec<Vec<u8>>,
    length: usize,
    /// The length that the head announces.
    announced: Option<usize>,
}

impl SegmentedBuffer {
    /// Creates an empty buffer, which allocates nothing.
    pub(crate) fn new(announced: Option<usize>) -> Self {
        Self {
            announced,
            ..Self::default()
        }
    }

    /// Returns the number of bytes received.
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    /// Returns how many bytes can be appended without another allocation.
    pub(crate) fn spare_bytes(&self) -> usize {
        let last = self.segments.last();
        last.map_or(0, |segment| segment.capacity() - segment.len())
    }

    /// Returns by how many bytes the next allocation enlarges the buffer.
    pub(crate) fn next_growth(&self) -> usize {
        let last = self.segments.last();
        let growing = last.filter(|segment| segment.capacity() < SEGMENT_BYTES);
        let wanted = match growing {
            Some(segment) => segment.capacity().min(SEGMENT_BYTES - segment.capacity()),
            None if self.segments.is_empty() => INITIAL_SEGMENT_BYTES,
            None => SEGMENT_BYTES,
        };
        let missing = self
            .announced
            .map(|length| length.saturating_sub(self.length));
        missing.map_or(wanted, |missing| wanted.min(missing.max(1)))
    }

    /// Enlarges the buffer by `additional` bytes ([`Self::next_growth`]).
    pub(crate) fn grow(&mut self, additional: usize) {
        match self.segments.last_mut() {
            Some(segment) if segment.capacity() + additional <= SEGMENT_BYTES => {
                let free = segment.capacity() - segment.len();
                segment.reserve_exact(free + additional);
            }
            _ => self.segments.push(Vec::with_capacity(additional)),
        }
    }

    /// Appends as many of the bytes as fit into what is allocated, and returns the rest.
    pub(crate) fn append<'a>(&mut self, data: &'a [u8]) -> &'a [u8] {
        let (fitting, rest) = data.split_at(data.len().min(self.spare_bytes()));
        if let Some(segment) = self.segments.last_mut() {
            segment.extend_from_slice(fitting);
            self.length += fitting.len();
        }
        rest
    }

    /// Returns the complete body with its reservation.
    pub(crate) fn into_body(self, reservation: MemoryReservation) -> RequestBody {
        RequestBody {
            segments: self.segments,
            length: self.length,
            reservation: Some(reservation),
        }
    }
}

#[cfg(test)]
mod tests;
