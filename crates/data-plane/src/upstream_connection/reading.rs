//! Reads heads and bodies of responses from a connection, and writes the rest of the request meanwhile.

use std::future::{Future, poll_fn};
use std::pin::pin;
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes, BytesMut};
use hyper::{Method, Response};
use tokio::io::AsyncReadExt;

use super::{IncompleteResponse, OutgoingRequest, ResponseFault, Transport, UpstreamConnection};
use crate::body::{AppendError, BodyBudget, BodyBuffer};
use crate::framing::{
    Framing, MAX_HEAD_BYTES, MalformedResponse, chunk_size, framing, is_trailer, parse_head,
};
use crate::headers::MAX_HEADER_LINES;

/// Minimum free capacity of the buffer before each read, in bytes.
const READ_BYTES: usize = 4 << 10;

/// Where a body is read to.
pub(super) struct BodySink<'a> {
    pub(super) buffer: BodyBuffer,
    pub(super) budget: &'a BodyBudget,
}

impl BodySink<'_> {
    /// Appends the next bytes. Waits for memory that is about to be released.
    async fn append(&mut self, data: &[u8]) -> Result<(), ResponseFault> {
        while let Err(error) = self.buffer.append(data) {
            if error == AppendError::TooLarge {
                return Err(ResponseFault::BodyTooLarge);
            }
            if !self.budget.wait_for_memory().await {
                return Err(ResponseFault::NoMemory);
            }
        }
        Ok(())
    }
}

impl<S: Transport> UpstreamConnection<S> {
    /// Reads available data; returns false at the end of the stream or on an error.
    pub(super) fn poll_read(&mut self, cx: &mut Context<'_>) -> Poll<bool> {
        if self.stream_ended {
            return Poll::Ready(false);
        }
        self.unread.reserve(READ_BYTES);
        let read = ready!(pin!(self.stream.read_buf(&mut self.unread)).poll(cx));
        self.stream_ended = !matches!(read, Ok(n) if n > 0);
        Poll::Ready(!self.stream_ended)
    }

    /// Waits for more data, and writes the rest of the request meanwhile, unless its response has begun.
    async fn read_more(&mut self, request: &mut OutgoingRequest<'_>) -> Result<(), ResponseFault> {
        let has_more = poll_fn(|cx| {
            if let Poll::Ready(has_more) = self.poll_read(cx) {
                return Poll::Ready(has_more);
            }
            while request.progress.is_incomplete() && !request.writing_stopped {
                match self.poll_write(cx, request) {
                    Poll::Ready(Ok(())) => {}
                    // The response may still arrive.
                    Poll::Ready(Err(_)) => request.writing_stopped = true,
                    Poll::Pending => break,
                }
            }
            Poll::Pending
        });
        if has_more.await {
            Ok(())
        } else {
            Err(ResponseFault::ConnectionEnded)
        }
    }

    /// Reads the next head and determines the framing of its body. Sets `response_started` as soon as anything was
    /// read: until its echoed id is known, it may be the response to this request.
    pub(super) async fn read_head(
        &mut self,
        method: &Method,
        request: &mut OutgoingRequest<'_>,
    ) -> Result<(Response<()>, Framing), IncompleteResponse> {
        loop {
            request.progress.response_started |= !self.unread.is_empty();
            if let Some(parsed) = parse_head(&self.unread)? {
                self.unread.advance(parsed.length);
                let framing = framing(&parsed.head, method)?;
                return Ok((parsed.head, framing));
            }
            if self.unread.len() >= MAX_HEAD_BYTES {
                return Err(MalformedResponse.into());
            }
            self.read_more(request).await?;
        }
    }

    /// Reads a complete body into `body`.
    pub(super) async fn read_body(
        &mut self,
        framing: Framing,
        request: &mut OutgoingRequest<'_>,
        mut body: BodySink<'_>,
    ) -> Result<Bytes, IncompleteResponse> {
        match framing {
            Framing::Length(length) => self.read_bytes(&mut body, length, request).await?,
            Framing::Chunked => self.read_chunks(&mut body, request).await?,
            // A crash of the upstream closes the connection just as the end of a body does.
            Framing::Close => return Err(ResponseFault::UndelimitedBody.into()),
        }
        Ok(body.buffer.into_bytes())
    }

    /// Reads `remaining` bytes into a body.
    async fn read_bytes(
        &mut self,
        body: &mut BodySink<'_>,
        mut remaining: usize,
        request: &mut OutgoingRequest<'_>,
    ) -> Result<(), IncompleteResponse> {
        while remaining > 0 {
            if self.unread.is_empty() {
                self.read_more(request).await?;
            }
            let n = remaining.min(self.unread.len());
            body.append(&self.unread[..n]).await?;
            self.unread.advance(n);
            remaining -= n;
        }
        Ok(())
    }

    /// Reads chunks and trailers (RFC 9112, 7.1).
    async fn read_chunks(
        &mut self,
        body: &mut BodySink<'_>,
        request: &mut OutgoingRequest<'_>,
    ) -> Result<(), IncompleteResponse> {
        loop {
            let size = chunk_size(&self.read_line(request).await?)?;
            if size == 0 {
                break;
            }
            self.read_bytes(body, size, request).await?;
            if !self.read_line(request).await?.is_empty() {
                return Err(MalformedResponse.into());
            }
        }
        for _ in 0..MAX_HEADER_LINES {
            let line = self.read_line(request).await?;
            if line.is_empty() {
                return Ok(());
            }
            if !is_trailer(&line) {
                break;
            }
        }
        Err(MalformedResponse.into())
    }

    /// Reads a line and removes its line ending.
    async fn read_line(
        &mut self,
        request: &mut OutgoingRequest<'_>,
    ) -> Result<BytesMut, IncompleteResponse> {
        loop {
            if let Some(end) = self.unread.iter().position(|b| *b == b'\n') {
                let mut line = self.unread.split_to(end + 1);
                // A carriage return must precede the line feed and is not allowed elsewhere.
                let text_end = end.checked_sub(1).ok_or(MalformedResponse)?;
                if line.iter().position(|b| *b == b'\r') != Some(text_end) {
                    return Err(MalformedResponse.into());
                }
                line.truncate(text_end);
                return Ok(line);
            }
            if self.unread.len() >= MAX_HEAD_BYTES {
                return Err(MalformedResponse.into());
            }
            self.read_more(request).await?;
        }
    }
}
