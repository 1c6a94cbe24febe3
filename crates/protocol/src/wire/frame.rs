//! Frames: the length of the body as a big-endian `u32`, then one message in CBOR (RFC 8949).
//!
//! **Promises.** No frame has a body of more than [`MAX_FRAME_BYTES`], sent or received. Memory is taken as bytes
//! arrive, not as the length announces. Whatever bytes come, the outcome is a message or a [`FrameError`].

use std::io;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Largest body of a frame, in bytes: a configuration of ten thousand routes fits many times.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// Size of the length that precedes a body.
const LENGTH_PREFIX_BYTES: usize = 4;
/// Memory that a body gets before any of it has arrived.
const INITIAL_BODY_CAPACITY_BYTES: usize = 64 << 10;

/// Why a frame could not be made, sent, received or read. After any of them the connection is of no more use.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The body would have, or is announced to have, more than [`MAX_FRAME_BYTES`].
    #[error("frame of {length} bytes, at most {MAX_FRAME_BYTES} are allowed")]
    TooLong {
        /// Length of the body in bytes.
        length: usize,
    },
    /// The message has no form in CBOR.
    #[error("message can't be encoded: {0}")]
    Encode(#[source] ciborium::ser::Error<io::Error>),
    /// The body is not CBOR, or not the message that is expected on this connection.
    #[error("message can't be decoded: {0}")]
    Decode(#[source] ciborium::de::Error<io::Error>),
    /// The connection failed, or ended in the middle of a frame ([`io::ErrorKind::UnexpectedEof`]).
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl From<FrameError> for io::Error {
    fn from(error: FrameError) -> Self {
        match error {
            FrameError::Io(error) => error,
            FrameError::Encode(_) => Self::other(error),
            FrameError::TooLong { .. } | FrameError::Decode(_) => {
                Self::new(io::ErrorKind::InvalidData, error)
            }
        }
    }
}

/// Encodes a message into a frame, its length included.
///
/// # Errors
/// [`FrameError::TooLong`] if the body has more than [`MAX_FRAME_BYTES`], [`FrameError::Encode`] if the message
/// has no form in CBOR.
pub fn encode_frame<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    let mut frame = vec![0; LENGTH_PREFIX_BYTES];
    ciborium::into_writer(message, &mut frame).map_err(FrameError::Encode)?;
    let length = frame.len() - LENGTH_PREFIX_BYTES;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong { length });
    }
    frame[..LENGTH_PREFIX_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(frame)
}

/// Decodes the message in the body of a frame, which is what follows the length.
///
/// # Errors
/// [`FrameError::Decode`] if the body is not such a message.
pub fn decode_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, FrameError> {
    ciborium::from_reader(body).map_err(FrameError::Decode)
}

/// Writes a message as a frame. It does not flush.
///
/// # Errors
/// Those of [`encode_frame`], and [`FrameError::Io`] if the connection failed.
pub async fn send_message<T: Serialize>(
    writer: &mut (impl AsyncWrite + Unpin),
    message: &T,
) -> Result<(), FrameError> {
    Ok(writer.write_all(&encode_frame(message)?).await?)
}

/// Reads the next frame and decodes its message. It waits without limit, and must not be dropped in the middle of
/// a frame if the connection is to be read further.
///
/// # Errors
/// [`FrameError::TooLong`] before any of the body is read, [`FrameError::Decode`], or [`FrameError::Io`] if the
/// connection failed or ended.
pub async fn receive_message<T: DeserializeOwned>(
    reader: &mut (impl AsyncRead + Unpin),
) -> Result<T, FrameError> {
    let length = reader.read_u32().await? as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong { length });
    }
    let mut body = Vec::with_capacity(length.min(INITIAL_BODY_CAPACITY_BYTES));
    reader.take(length as u64).read_to_end(&mut body).await?;
    if body.len() < length {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
    }
    decode_body(&body)
}

/// Checksum (CRC-32) of a message's encoding, by which two processes see whether they have the same. Never 0,
/// which stands for "none yet".
pub fn digest<T: Serialize>(message: &T) -> u32 {
    let mut bytes = Vec::new();
    let encoded = ciborium::into_writer(message, &mut bytes);
    if encoded.is_ok() {
        crc32fast::hash(&bytes).max(1)
    } else {
        1
    }
}

#[cfg(test)]
mod tests;
