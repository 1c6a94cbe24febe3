//! A small HTTP client for calls to one address: one connection, kept as long as it is good.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::time::{Instant, timeout_at};

use crate::abort_on_drop::AbortOnDrop;
use crate::control_client::dial;

/// No answer is longer.
const LONGEST: usize = 8 << 20;

/// Why a call brought nothing.
#[derive(Debug, thiserror::Error)]
pub enum HttpClientError {
    #[error("connect: {0}")]
    Connect(std::io::Error),
    #[error("{0}")]
    Http(hyper::Error),
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("silent for too long")]
    Timeout,
    #[error("an answer that is cut short or too long")]
    BodyTooLong,
    #[error("an answer that makes no sense: {0}")]
    Malformed(serde_json::Error),
    #[error("pages without end")]
    TooManyPages,
}

/// The client.
pub struct HttpClient {
    address: SocketAddr,
    host: HeaderValue,
    /// A call that is given up leaves nothing on its way.
    resets: bool,
    kept: RefCell<Option<(SendRequest<Full<Bytes>>, AbortOnDrop)>>,
}

impl HttpClient {
    pub fn new(address: SocketAddr) -> Self {
        let host = HeaderValue::from_str(&address.to_string());
        let host = host.unwrap_or(HeaderValue::from_static("upstream"));
        Self {
            address,
            host,
            resets: false,
            kept: RefCell::new(None),
        }
    }

    /// One whose calls have arrived by the time they are given up, or never do.
    pub fn with_reset_on_drop(address: SocketAddr) -> Self {
        Self {
            resets: true,
            ..Self::new(address)
        }
    }

    /// The body of a 200; anything else is an error.
    pub async fn get(&self, path: &str, within: Duration) -> Result<Bytes, HttpClientError> {
        let request = Request::get(path)
            .body(Full::default())
            .map_err(|_| HttpClientError::BodyTooLong)?;
        let answer = self.call(request, Instant::now() + within).await?;
        match answer.status() {
            StatusCode::OK => Ok(answer.into_body()),
            status => Err(HttpClientError::Status(status)),
        }
    }

    /// The whole answer to a request.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        until: Instant,
    ) -> Result<Response<Bytes>, HttpClientError> {
        timeout_at(until, self.exchange(request))
            .await
            .map_err(|_| HttpClientError::Timeout)?
    }

    async fn exchange(
        &self,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, HttpClientError> {
        let kept = self
            .kept
            .borrow_mut()
            .take()
            .filter(|(sender, _)| !sender.is_closed());
        let (mut sender, connection) = match kept {
            Some(kept) => kept,
            None => {
                let stream = dial(self.address).await.map_err(HttpClientError::Connect)?;
                if self.resets {
                    // Without it what is on its way arrives all the same, later.
                    let linger = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                    linger.map_err(HttpClientError::Connect)?;
                }
                let (sender, connection) = handshake(TokioIo::new(stream))
                    .await
                    .map_err(HttpClientError::Http)?;
                let task = tokio::task::spawn_local(async move { drop(connection.await) });
                (sender, AbortOnDrop(task))
            }
        };
        sender.ready().await.map_err(HttpClientError::Http)?;
        request
            .headers_mut()
            .entry(HOST)
            .or_insert(self.host.clone());
        let answer = sender
            .send_request(request)
            .await
            .map_err(HttpClientError::Http)?;
        let (head, body) = answer.into_parts();
        let body = Limited::new(body, LONGEST).collect().await;
        let body = body.map_err(|_| HttpClientError::BodyTooLong)?.to_bytes();
        *self.kept.borrow_mut() = Some((sender, connection));
        Ok(Response::from_parts(head, body))
    }
}
