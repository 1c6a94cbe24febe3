//! A small HTTP client for calls to one address: one connection, kept as long as it is good.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::time::timeout;

use crate::upstreams::AbortOnDrop;
use crate::watch::dial;

/// No answer is longer.
const LONGEST: usize = 8 << 20;

/// Why a call brought nothing.
#[derive(Debug)]
pub enum FetchError {
    Connect(std::io::Error),
    Http(hyper::Error),
    Status(StatusCode),
    Silent,
    Body,
    Malformed(serde_json::Error),
    Endless,
}

impl std::fmt::Display for FetchError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FetchError::Connect(e) => write!(f, "connect: {e}"),
            FetchError::Http(e) => write!(f, "{e}"),
            FetchError::Status(s) => write!(f, "answered {s}"),
            FetchError::Silent => f.write_str("silent for too long"),
            FetchError::Body => f.write_str("an answer that is cut short or too long"),
            FetchError::Malformed(e) => write!(f, "an answer that makes no sense: {e}"),
            FetchError::Endless => f.write_str("pages without end"),
        }
    }
}

impl std::error::Error for FetchError {}

/// The client.
pub struct Client {
    address: SocketAddr,
    kept: RefCell<Option<(SendRequest<Empty<Bytes>>, AbortOnDrop)>>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self { address, kept: RefCell::new(None) }
    }

    /// The body of a 200; anything else is an error.
    pub async fn get(&self, path: &str, within: Duration) -> Result<Bytes, FetchError> {
        timeout(within, self.exchange(path)).await.map_err(|_| FetchError::Silent)?
    }

    async fn exchange(&self, path: &str) -> Result<Bytes, FetchError> {
        let kept = self.kept.borrow_mut().take().filter(|(sender, _)| !sender.is_closed());
        let (mut sender, connection) = match kept {
            Some(kept) => kept,
            None => {
                let stream = dial(self.address).await.map_err(FetchError::Connect)?;
                let (sender, connection) =
                    handshake(TokioIo::new(stream)).await.map_err(FetchError::Http)?;
                let task = tokio::task::spawn_local(async move { drop(connection.await) });
                (sender, AbortOnDrop(task))
            }
        };
        sender.ready().await.map_err(FetchError::Http)?;
        let request = Request::get(path).header(HOST, self.address.to_string());
        let request = request.body(Empty::new()).map_err(|_| FetchError::Body)?;
        let answer = sender.send_request(request).await.map_err(FetchError::Http)?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), LONGEST).collect().await;
        let body = body.map_err(|_| FetchError::Body)?.to_bytes();
        *self.kept.borrow_mut() = Some((sender, connection));
        if status == StatusCode::OK { Ok(body) } else { Err(FetchError::Status(status)) }
    }
}
