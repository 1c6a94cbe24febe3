//! Detects responses that run into each other: an upstream breaks off in the middle of one without closing the
//! connection, and then writes another, such as a late second response to an earlier request.
//!
//! **Promises.** A status line within a head's reason or a header value is found, and so is the head of a response
//! within a body, whole or up to the body's end.
//!
//! **May miss.** A response that is cut and continued by bytes without the version and the status of a status line
//! (RFC 9112, 4), such as the first eleven bytes of another response.

use memchr::memmem;

/// A status line begins so; a digit, a space and three digits follow.
const STATUS_LINE: &[u8] = b"HTTP/1.";

/// Gives the offsets at which status lines begin in these bytes.
pub(crate) fn find_status_lines(bytes: &[u8]) -> impl Iterator<Item = usize> + '_ {
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
