//! Framing: the length of the body as a big-endian `u32`, then the body, one message in CBOR (RFC 8949).
//!
//! Bodies are limited to [`MAX_FRAME_BYTES`] in both directions. Memory is allocated as bytes arrive, not according to
//! the announced length. Any input results in a message or a [`FrameError`].

use std::io;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Maximum size of a frame body in bytes. A configuration of ten thousand routes is many times smaller.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// Size of the length prefix.
const LENGTH_PREFIX_BYTES: usize = 4;
/// Maximum memory allocated for a body before any of it has arrived.
const INITIAL_BODY_CAPACITY_BYTES: usize = 64 << 10;

/// Error when encoding, sending, receiving or decoding a frame. The connection is unusable afterwards.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The encoded body or the announced length exceeds its limit, [`MAX_FRAME_BYTES`] for most messages.
    #[error("frame body of {length} bytes exceeds the limit of {max_bytes} bytes")]
    TooLong {
        /// Length of the body in bytes.
        length: usize,
        /// The limit in bytes.
        max_bytes: usize,
    },
    /// The message cannot be represented in CBOR.
    #[error("message cannot be encoded: {0}")]
    Encode(#[source] ciborium::ser::Error<io::Error>),
    /// The body is not valid CBOR, or not a message of the expected type.
    #[error("message cannot be decoded: {0}")]
    Decode(#[source] ciborium::de::Error<io::Error>),
    /// The connection failed, or ended before the frame was complete ([`io::ErrorKind::UnexpectedEof`]).
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

/// Encodes a message as a frame, including the length prefix.
///
/// # Errors
/// Returns [`FrameError::TooLong`] if the body exceeds [`MAX_FRAME_BYTES`], and [`FrameError::Encode`] if the message
/// cannot be represented in CBOR.
pub fn encode_frame<T: Serialize>(message: &T) -> Result<Vec<u8>, FrameError> {
    let mut frame = vec![0; LENGTH_PREFIX_BYTES];
    ciborium::into_writer(message, &mut frame).map_err(FrameError::Encode)?;
    let length = frame.len() - LENGTH_PREFIX_BYTES;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong {
            length,
            max_bytes: MAX_FRAME_BYTES,
        });
    }
    frame[..LENGTH_PREFIX_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(frame)
}

/// Decodes a message from the body of a frame, without the length prefix.
///
/// # Errors
/// Returns [`FrameError::Decode`] if the body is not a message of type `T`.
pub fn decode_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, FrameError> {
    ciborium::from_reader(body).map_err(FrameError::Decode)
}

/// Writes a message as a frame, without flushing the writer.
///
/// # Errors
/// Returns the errors of [`encode_frame`], and [`FrameError::Io`] if the connection failed.
pub async fn send_message<T: Serialize>(
    writer: &mut (impl AsyncWrite + Unpin),
    message: &T,
) -> Result<(), FrameError> {
    Ok(writer.write_all(&encode_frame(message)?).await?)
}

/// Reads the next frame and decodes its message. There is no timeout. The function is not cancel safe: if it is dropped
/// in the middle of a frame, the connection cannot be read any further.
///
/// # Errors
/// Returns [`FrameError::TooLong`] before reading the body if the announced length exceeds the limit,
/// [`FrameError::Decode`] if the body is not a message of type `T`, and [`FrameError::Io`] if the connection failed or
/// ended.
pub async fn receive_message<T: DeserializeOwned>(
    reader: &mut (impl AsyncRead + Unpin),
) -> Result<T, FrameError> {
    receive_limited_message(reader, MAX_FRAME_BYTES).await
}

/// Does the same as [`receive_message`] for a message of at most `max_bytes` bytes.
///
/// # Errors
/// Returns the errors of [`receive_message`].
pub async fn receive_limited_message<T: DeserializeOwned>(
    reader: &mut (impl AsyncRead + Unpin),
    max_bytes: usize,
) -> Result<T, FrameError> {
    let length = reader.read_u32().await? as usize;
    if length > max_bytes {
        return Err(FrameError::TooLong { length, max_bytes });
    }
    let mut body = Vec::with_capacity(length.min(INITIAL_BODY_CAPACITY_BYTES));
    reader.take(length as u64).read_to_end(&mut body).await?;
    if body.len() < length {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
    }
    decode_body(&body)
}

/// Returns the CRC-32 checksum of a message's encoding, which two processes compare to detect a difference. Never
/// returns 0, which stands for "none yet".
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
