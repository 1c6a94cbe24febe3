//! Reads heads and bodies of responses from a connection, and writes the rest of the request meanwhile.

use std::future::{Future, poll_fn};
use std::pin::pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use hyper::{Method, Response};
use tokio::io::AsyncReadExt;

use super::{
    IncompleteResponse, MAX_RESPONSE_BYTES, OutgoingRequest, ResponseFault, Transport,
    UpstreamConnection,
};
use crate::body::{AppendError, BodyBudget, BodyBuffer};
use crate::framing::{
    Framing, MAX_HEAD_BYTES, MalformedResponse, chunk_size, framing, is_trailer, parse_head,
};
use crate::headers::MAX_HEADER_LINES;

/// Minimum free capacity of the buffer before each read, in bytes.
const READ_BYTES: usize = 4 << 10;

/// How long a response may wait for memory in total: upstreams break off responses that stay unread for some seconds.
const MAX_MEMORY_WAIT: Duration = Duration::from_secs(3);

/// Where a body is read to.
pub(super) struct BodySink<'a> {
    pub(super) buffer: BodyBuffer,
    pub(super) budget: &'a BodyBudget,
}

impl BodySink<'_> {
    /// Appends the next bytes. Waits for memory that others release.
    async fn append(
        &mut self,
        data: &[u8],
        request: &mut OutgoingRequest<'_>,
    ) -> Result<(), ResponseFault> {
        let own_bytes = self.buffer.reserved_bytes();
        let buffer = &mut self.buffer;
        let appended = wait_for_memory(self.budget, own_bytes, request, || {
            match buffer.append(data) {
                Err(AppendError::NoMemory) => None,
                appended => Some(appended),
            }
        });
        appended.await?.map_err(|_| ResponseFault::BodyTooLarge)
    }
}

/// Creates a buffer for a body of this length. Waits for memory that others release.
pub(super) async fn create_buffer(
    budget: &BodyBudget,
    announced: usize,
    request: &mut OutgoingRequest<'_>,
) -> Result<BodyBuffer, ResponseFault> {
    if announced > MAX_RESPONSE_BYTES {
        return Err(ResponseFault::BodyTooLarge);
    }
    wait_for_memory(budget, 0, request, || {
        BodyBuffer::new(budget, announced, MAX_RESPONSE_BYTES)
    })
    .await
}

/// Calls `reserve` until it returns a value, and waits for memory in between.
///
/// # Errors
/// Returns an error if the body exceeds all memory that there is, too many bodies wait already, or the wait takes too long.
async fn wait_for_memory<T>(
    budget: &BodyBudget,
    own_bytes: usize,
    request: &mut OutgoingRequest<'_>,
    mut reserve: impl FnMut() -> Option<T>,
) -> Result<T, ResponseFault> {
    if let Some(reserved) = reserve() {
        return Ok(reserved);
    }
    if !budget.is_held_by_others(own_bytes) {
        return Err(ResponseFault::BodyTooLarge);
    }
    let waiting = budget.start_waiting().ok_or(ResponseFault::NoMemory)?;
    request.progress.memory_wait.start();
    if let Some(on_memory_wait) = request.on_memory_wait {
        on_memory_wait();
    }
    while request.progress.memory_wait.total() < MAX_MEMORY_WAIT {
        waiting.wait().await;
        if let Some(reserved) = reserve() {
            request.progress.memory_wait.end();
            return Ok(reserved);
        }
    }
    Err(ResponseFault::NoMemory)
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
            body.append(&self.unread[..n], request).await?;
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
