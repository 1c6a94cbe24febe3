//! A client's TCP stream that exposes what the HTTP library hides: how many bytes were read and written, whether a
//! write is blocked, and whether the client has closed the connection while the library does not read.
//!
//! The library reads and writes a [`MeteredStream`]. The owner of the connection keeps the underlying [`SharedSocket`],
//! which remains open after the library has finished, and the [`Traffic`] counters. Bytes that are read to detect the
//! client's close are buffered for the library, at most `MAX_READ_AHEAD_BYTES` of them.

use std::cell::{Cell, RefCell};
use std::io::{Error, IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Counts the bytes transferred on a stream; clones share the counters.
#[derive(Clone, Default)]
pub struct Traffic(Rc<Counters>);

#[derive(Default)]
struct Counters {
    bytes_read: Cell<u64>,
    bytes_written: Cell<u64>,
    /// Whether the last write returned `Pending`.
    write_blocked: Cell<bool>,
}

impl Traffic {
    /// Returns how many bytes the HTTP library has read.
    pub fn bytes_read(&self) -> u64 {
        self.0.bytes_read.get()
    }

    /// Returns how many bytes the kernel has accepted for sending.
    pub fn bytes_written(&self) -> u64 {
        self.0.bytes_written.get()
    }

    /// Returns whether data is waiting that the kernel could not accept yet.
    pub fn is_write_blocked(&self) -> bool {
        self.0.write_blocked.get()
    }

    pub(crate) fn record_read(&self, bytes: usize) {
        self.0.bytes_read.set(self.bytes_read() + bytes as u64);
    }

    /// Records the outcome of a write: the number of bytes accepted, or that it is blocked.
    pub(crate) fn record_write(&self, outcome: &Poll<Result<usize>>) {
        self.0.write_blocked.set(outcome.is_pending());
        if let Poll::Ready(Ok(bytes)) = outcome {
            let written = self.bytes_written() + *bytes as u64;
            self.0.bytes_written.set(written);
        }
    }
}

/// The maximum number of bytes read ahead of the library. If a client sends more than this after an open request, its
/// close is no longer detected while that request is open.
const MAX_READ_AHEAD_BYTES: usize = 16 << 10;
/// The number of bytes read ahead per read.
const READ_AHEAD_CHUNK_BYTES: usize = 2 << 10;

/// A stream with a buffer of the bytes that were read ahead of the library.
pub struct ReadAheadSocket {
    stream: TcpStream,
    read_ahead: BytesMut,
    /// How the stream ended, if reading ahead reached its end.
    end: Option<Result<()>>,
}

impl ReadAheadSocket {
    fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            read_ahead: BytesMut::new(),
            end: None,
        }
    }

    /// Ready once the client has closed, half-closed or reset the connection. Reads ahead to detect that, because the
    /// library does not check for the end of a connection while it has buffered bytes that follow the open request.
    pub fn poll_peer_closed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.end.is_none() {
            if self.read_ahead.len() >= MAX_READ_AHEAD_BYTES {
                return Poll::Pending;
            }
            let mut chunk = [0; READ_AHEAD_CHUNK_BYTES];
            let mut buf = ReadBuf::new(&mut chunk);
            match ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf)) {
                Ok(()) if buf.filled().is_empty() => self.end = Some(Ok(())),
                Ok(()) => {
                    self.read_ahead.extend_from_slice(buf.filled());
                    // The library may be waiting for these bytes.
                    cx.waker().wake_by_ref();
                }
                Err(error) => self.end = Some(Err(error)),
            }
        }
        Poll::Ready(())
    }
}

impl AsyncRead for ReadAheadSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        if !self.read_ahead.is_empty() {
            let length = self.read_ahead.len().min(buf.remaining());
            buf.put_slice(&self.read_ahead[..length]);
            self.read_ahead.advance(length);
            return Poll::Ready(Ok(()));
        }
        match &self.end {
            None => Pin::new(&mut self.stream).poll_read(cx, buf),
            Some(Ok(())) => Poll::Ready(Ok(())),
            // Each read reports the error, but an `io::Error` cannot be cloned.
            Some(Err(error)) => Poll::Ready(Err(Error::new(error.kind(), error.to_string()))),
        }
    }
}

/// The underlying socket of a [`MeteredStream`], shared with the owner of the connection.
pub type SharedSocket = Rc<RefCell<ReadAheadSocket>>;

/// The stream that the HTTP library reads and writes.
pub struct MeteredStream {
    socket: SharedSocket,
    traffic: Traffic,
}

impl MeteredStream {
    /// Wraps a stream. Returns the stream for the library, the underlying socket, and the counters.
    pub fn new(stream: TcpStream) -> (Self, SharedSocket, Traffic) {
        let socket = Rc::new(RefCell::new(ReadAheadSocket::new(stream)));
        let traffic = Traffic::default();
        let metered = Self {
            socket: socket.clone(),
            traffic: traffic.clone(),
        };
        (metered, socket, traffic)
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut *self.socket.borrow_mut()).poll_read(cx, buf))?;
        self.traffic.record_read(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        let outcome = Pin::new(&mut self.socket.borrow_mut().stream).poll_write(cx, buf);
        self.traffic.record_write(&outcome);
        outcome
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let outcome = Pin::new(&mut self.socket.borrow_mut().stream).poll_write_vectored(cx, bufs);
        self.traffic.record_write(&outcome);
        outcome
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.borrow().stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.socket.borrow_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.socket.borrow_mut().stream).poll_shutdown(cx)
    }
}
