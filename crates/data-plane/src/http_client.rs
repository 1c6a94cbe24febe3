//! A small HTTP client for one address. It reuses one connection as long as possible. The caller sets a deadline for
//! each call, and `MAX_RESPONSE_BYTES` limits the response; requests are never retried.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::time::{Instant, timeout_at};

use crate::abort_on_drop::AbortOnDrop;
use crate::control_client::connect;

/// The maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Why a call failed. Except for [`Self::Connect`], it is unknown whether the request has run.
#[derive(Debug, thiserror::Error)]
pub enum HttpClientError {
    /// No connection could be established.
    #[error("connect: {0}")]
    Connect(#[source] std::io::Error),
    /// The connection broke, or the received data is not valid HTTP.
    #[error("{0}")]
    Http(#[source] hyper::Error),
    /// The response has a status other than 200.
    #[error("unexpected status {0}")]
    Status(StatusCode),
    /// There was no complete response before the deadline of the call.
    #[error("no complete response before the deadline")]
    Timeout,
    /// The body was truncated or is larger than `MAX_RESPONSE_BYTES`, or the path of the request is invalid.
    #[error("response body truncated or too large, or invalid request path")]
    BodyTooLong,
    /// The body is not the JSON that the caller expects.
    #[error("unexpected response body: {0}")]
    Malformed(#[source] serde_json::Error),
    /// A paginated list exceeds the maximum number of pages.
    #[error("too many pages")]
    TooManyPages,
}

/// A connection that can be reused, and the task that drives it.
type IdleConnection = (SendRequest<Full<Bytes>>, AbortOnDrop);

/// A client for one address, for calls that are made one after another.
pub struct HttpClient {
    address: SocketAddr,
    host: HeaderValue,
    /// Whether dropping a connection resets it, so that unsent data of a cancelled call is discarded.
    reset_on_drop: bool,
    idle_connection: RefCell<Option<IdleConnection>>,
}

impl HttpClient {
    /// Creates a client for this address; it connects on the first call.
    pub fn new(address: SocketAddr) -> Self {
        let host = HeaderValue::from_str(&address.to_string());
        let host = host.unwrap_or(HeaderValue::from_static("upstream"));
        Self {
            address,
            host,
            reset_on_drop: false,
            idle_connection: RefCell::new(None),
        }
    }

    /// Creates a client whose connections are reset when they are dropped. A request of a cancelled call has either
    /// arrived by then or never arrives.
    pub fn with_reset_on_drop(address: SocketAddr) -> Self {
        Self {
            reset_on_drop: true,
            ..Self::new(address)
        }
    }

    /// Sends a GET request and returns the body of the response.
    ///
    /// # Errors
    ///
    /// The call fails, or the status is not 200.
    pub async fn get(&self, path: &str, within: Duration) -> Result<Bytes, HttpClientError> {
        let request = Request::get(path)
            .body(Full::default())
            .map_err(|_| HttpClientError::BodyTooLong)?;
        let response = self.call(request, Instant::now() + within).await?;
        match response.status() {
            StatusCode::OK => Ok(response.into_body()),
            status => Err(HttpClientError::Status(status)),
        }
    }

    /// Sends a request and returns the complete response, whatever its status.
    ///
    /// # Errors
    ///
    /// There is no complete response at `until`, the connection fails, or the response exceeds a limit. The connection
    /// is not reused after an error.
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
        let idle = self.idle_connection.take();
        let (mut sender, connection) = match idle.filter(|(sender, _)| !sender.is_closed()) {
            Some(idle) => idle,
            None => self.connect().await?,
        };
        sender.ready().await.map_err(HttpClientError::Http)?;
        request
            .headers_mut()
            .entry(HOST)
            .or_insert(self.host.clone());
        let response = sender.send_request(request).await;
        let (head, body) = response.map_err(HttpClientError::Http)?.into_parts();
        let body = read_body(body).await?;
        self.idle_connection.replace(Some((sender, connection)));
        Ok(Response::from_parts(head, body))
    }

    async fn connect(&self) -> Result<IdleConnection, HttpClientError> {
        let stream = connect(self.address)
            .await
            .map_err(HttpClientError::Connect)?;
        if self.reset_on_drop {
            // Without this, buffered data would still be delivered after the connection is dropped.
            let linger = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            linger.map_err(HttpClientError::Connect)?;
        }
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(HttpClientError::Http)?;
        // The sender reports the end of the connection.
        let task = tokio::task::spawn_local(async move { drop(connection.await) });
        Ok((sender, AbortOnDrop(task)))
    }
}

/// Reads a complete body into one buffer, so that its memory does not depend on the number of chunks.
async fn read_body(mut body: Incoming) -> Result<Bytes, HttpClientError> {
    let mut whole = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| HttpClientError::BodyTooLong)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if whole.len() + data.len() > MAX_RESPONSE_BYTES {
            return Err(HttpClientError::BodyTooLong);
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.into())
}
