//! Detects interleaved responses: an upstream stops in the middle of a response without closing the connection, and
//! then writes another one, such as a late second response to an earlier request.
//!
//! **Guarantees.** A status line within a reason phrase or a header value is detected, and so is the head of a response
//! within a body, whether it is complete or cut off by the end of the body.
//!
//! **Limitations.** A truncated response is not detected if the bytes that follow it lack the version and the status of
//! a status line (RFC 9112, 4), such as the first eleven bytes of another response.

use memchr::memmem;

/// The beginning of a status line; a digit, a space and three digits follow.
const STATUS_LINE: &[u8] = b"HTTP/1.";

/// Returns the offsets at which status lines begin in these bytes.
pub(crate) fn find_status_lines(bytes: &[u8]) -> impl Iterator<Item = usize> + '_ {
    memmem::find_iter(bytes, STATUS_LINE).filter(|at| is_status_line(&bytes[*at..]))
}

/// Returns whether the minor version and the status follow [`STATUS_LINE`] in these bytes.
fn is_status_line(bytes: &[u8]) -> bool {
    let Some([minor, space, status @ ..]) = bytes.get(STATUS_LINE.len()..) else {
        return false;
    };
    let digits = status
        .get(..3)
        .is_some_and(|status| status.iter().all(u8::is_ascii_digit));
    minor.is_ascii_digit() && *space == b' ' && digits
}
