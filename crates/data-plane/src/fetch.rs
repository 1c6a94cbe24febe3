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
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    #[error("connect: {0}")]
    Connect(std::io::Error),
    #[error("{0}")]
    Http(hyper::Error),
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("silent for too long")]
    Silent,
    #[error("an answer that is cut short or too long")]
    Body,
    #[error("an answer that makes no sense: {0}")]
    Malformed(serde_json::Error),
    #[error("pages without end")]
    Endless,
}

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
