//! Growth of a body by segments, and its parts for a write.

use super::*;

/// Appends data in pieces of this size, with memory as needed; returns how much memory was allocated.
fn append_in_pieces(buffer: &mut SegmentedBuffer, data: &[u8], piece_bytes: usize) -> usize {
    let mut allocated = 0;
    for piece in data.chunks(piece_bytes) {
        let mut rest = piece;
        while !rest.is_empty() {
            if buffer.spare_bytes() == 0 {
                let growth = buffer.next_growth();
                buffer.grow(growth);
                allocated += growth;
            }
            rest = buffer.append(rest);
        }
    }
    allocated
}

/// Guards against memory that depends on how a body is divided, and against parts out of order.
#[test]
fn body_in_tiny_pieces_takes_as_much_memory_as_in_one() {
    let data: Vec<u8> = (0..300_000_u32).map(|n| (n % 251) as u8).collect();
    for announced in [None, Some(data.len())] {
        for piece_bytes in [1, 1000, data.len()] {
            let mut buffer = SegmentedBuffer::new(announced);
            let allocated = append_in_pieces(&mut buffer, &data, piece_bytes);
            let capacity: usize = buffer.segments.iter().map(Vec::capacity).sum();
            assert_eq!(allocated, capacity, "all memory is accounted for");
            assert!(capacity < data.len() + SEGMENT_BYTES);
            assert!(announced.is_none() || capacity == data.len());
            let body = RequestBody {
                length: buffer.len(),
                segments: buffer.segments,
                reservation: None,
            };
            for skipped in [0, 1, 65_535, 65_536, 200_000, data.len()] {
                let mut slices = [IoSlice::new(&[]); 8];
                body.fill_slices(skipped, &mut slices);
                let written: Vec<u8> = slices.iter().flat_map(|s| s.to_vec()).collect();
                assert!(written == data[skipped..], "{skipped} bytes skipped");
            }
            assert!(body.into_vec().0 == data);
        }
    }
}

/// Guards against memory for what a client only announces.
#[test]
fn large_announced_body_starts_small() {
    let buffer = SegmentedBuffer::new(Some(64 << 20));
    assert_eq!(buffer.next_growth(), INITIAL_SEGMENT_BYTES);
    assert_eq!(SegmentedBuffer::new(Some(100)).next_growth(), 100);
}
