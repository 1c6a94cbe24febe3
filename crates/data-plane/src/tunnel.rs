//! Answers that run into each other: an upstream breaks off in the middle of one without closing the connection,
//! and then writes another, such as a late second answer to an earlier request.
//!
//! **Guarantees.** A status line within a head's reason or a header value is found, and so is the head of an
//! answer within a body, whole or up to the body's end. **May miss.** An answer that is cut and continued by bytes
//! without the version and the status of a status line, such as the first eleven bytes of another answer.

use memchr::memmem;

/// A status line begins so; a digit, a space and three digits follow.
const STATUS_LINE: &[u8] = b"HTTP/1.";

/// Where status lines begin in these bytes.
pub fn status_lines(bytes: &[u8]) -> impl Iterator<Item = usize> + '_ {
    memmem::find_iter(bytes, STATUS_LINE).filter(|at| is_status_line(&bytes[*at..]))
}

/// Whether the minor version and the status follow the beginning of a status line.
fn is_status_line(bytes: &[u8]) -> bool {
    let Some([minor, space, status @ ..]) = bytes.get(STATUS_LINE.len()..) else {
        return false;
    };
    let digits = status
        .get(..3)
        .is_some_and(|status| status.iter().all(u8::is_ascii_digit));
    minor.is_ascii_digit() && *space == b' ' && digits
}
