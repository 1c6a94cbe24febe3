//! A TCP stream of which more is known than hyper tells: how much was read and written, whether writing waits, and
//! whether the other side has closed while hyper does not look. It outlives hyper's use of it.

use std::cell::{Cell, RefCell};
use std::io::{Error, IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that passed on a stream.
#[derive(Clone, Default)]
pub struct Traffic(Rc<Passed>);

#[derive(Default)]
struct Passed {
    read: Cell<u64>,
    written: Cell<u64>,
    /// The last write had to wait.
    blocked: Cell<bool>,
}

impl Traffic {
    pub fn read(&self) -> u64 {
        self.0.read.get()
    }

    pub fn written(&self) -> u64 {
        self.0.written.get()
    }

    /// Whether something is left to be written that the kernel could not take yet.
    pub fn blocked(&self) -> bool {
        self.0.blocked.get()
    }

    pub(crate) fn add_read(&self, bytes: usize) {
        self.0.read.set(self.0.read.get() + bytes as u64);
    }

    /// What became of a write: so many bytes taken, or none for now.
    pub(crate) fn add_written(&self, wrote: &Poll<Result<usize>>) {
        self.0.blocked.set(wrote.is_pending());
        if let Poll::Ready(Ok(bytes)) = wrote {
            self.0.written.set(self.0.written.get() + *bytes as u64);
        }
    }
}

/// So much is read ahead of hyper at the most: whoever sends more behind a request that is open is looked after no
/// further.
const MOST_AHEAD: usize = 16 << 10;
/// And so much at once.
const PIECE: usize = 2 << 10;

/// A stream, and what was read of it ahead of hyper.
pub struct Socket {
    stream: TcpStream,
    ahead: BytesMut,
    /// How it ended, if that was read ahead.
    end: Option<Result<()>>,
}

impl Socket {
    fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            ahead: BytesMut::new(),
            end: None,
        }
    }

    /// Ready once the other side has closed, half closed or reset the connection. Reads ahead to see that: hyper does
    /// not look for the end of a connection while it holds bytes behind the request that is open.
    pub fn poll_closed(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.end.is_none() {
            if self.ahead.len() >= MOST_AHEAD {
                return Poll::Pending;
            }
            let mut piece = [0; PIECE];
            let mut buf = ReadBuf::new(&mut piece);
            match ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf)) {
                Ok(()) if buf.filled().is_empty() => self.end = Some(Ok(())),
                Ok(()) => {
                    self.ahead.extend_from_slice(buf.filled());
                    // Hyper may be waiting for just these.
                    cx.waker().wake_by_ref();
                }
                Err(cause) => self.end = Some(Err(cause)),
            }
        }
        Poll::Ready(())
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        if !self.ahead.is_empty() {
            let length = self.ahead.len().min(buf.remaining());
            buf.put_slice(&self.ahead[..length]);
            self.ahead.advance(length);
            return Poll::Ready(Ok(()));
        }
        match &self.end {
            None => Pin::new(&mut self.stream).poll_read(cx, buf),
            Some(Ok(())) => Poll::Ready(Ok(())),
            Some(Err(cause)) => Poll::Ready(Err(Error::new(cause.kind(), cause.to_string()))),
        }
    }
}

/// The stream itself, for its owner.
pub type Shared = Rc<RefCell<Socket>>;

/// The stream for hyper.
pub struct Tapped {
    inner: Shared,
    traffic: Traffic,
}

impl Tapped {
    pub fn new(stream: TcpStream) -> (Self, Shared, Traffic) {
        let (inner, traffic) = (
            Rc::new(RefCell::new(Socket::new(stream))),
            Traffic::default(),
        );
        (
            Self {
                inner: inner.clone(),
                traffic: traffic.clone(),
            },
            inner,
            traffic,
        )
    }
}

impl AsyncRead for Tapped {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut *self.inner.borrow_mut()).poll_read(cx, buf))?;
        self.traffic.add_read(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Tapped {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        let wrote = Pin::new(&mut self.inner.borrow_mut().stream).poll_write(cx, buf);
        self.traffic.add_written(&wrote);
        wrote
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let wrote = Pin::new(&mut self.inner.borrow_mut().stream).poll_write_vectored(cx, bufs);
        self.traffic.add_written(&wrote);
        wrote
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.borrow().stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner.borrow_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner.borrow_mut().stream).poll_shutdown(cx)
    }
}
