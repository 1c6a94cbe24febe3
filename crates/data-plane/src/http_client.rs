//! A small HTTP client for calls to one address: one connection, kept as long as it is good. Calls are bounded in time
//! by their caller, and in size by `MAX_RESPONSE_BYTES`; nothing is sent twice.

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
use crate::control_client::connect;

/// A response whose body is larger is an error.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Why a call brought nothing. Whether the request has run is not known, but with [`Self::Connect`].
#[derive(Debug, thiserror::Error)]
pub enum HttpClientError {
    /// No connection came up.
    #[error("connect: {0}")]
    Connect(#[source] std::io::Error),
    /// The connection broke, or what came on it is no HTTP.
    #[error("{0}")]
    Http(#[source] hyper::Error),
    /// A status other than 200.
    #[error("answered {0}")]
    Status(StatusCode),
    /// No whole response within the time of the call.
    #[error("silent for too long")]
    Timeout,
    /// The body is cut short, or larger than `MAX_RESPONSE_BYTES`; or the path is none.
    #[error("an answer that is cut short or too long")]
    BodyTooLong,
    /// The body is not the JSON that the caller expects.
    #[error("an answer that makes no sense: {0}")]
    Malformed(#[source] serde_json::Error),
    /// A list of which each page names another one.
    #[error("pages without end")]
    TooManyPages,
}

/// A connection that may carry another call, and its task.
type IdleConnection = (SendRequest<Full<Bytes>>, AbortOnDrop);

/// A client for one address; calls are made one after another.
pub struct HttpClient {
    address: SocketAddr,
    host: HeaderValue,
    /// A call that is given up leaves nothing on its way.
    reset_on_drop: bool,
    idle_connection: RefCell<Option<IdleConnection>>,
}

impl HttpClient {
    /// A client for this address; connects with its first call.
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

    /// A client whose calls have arrived by the time that they are given up, or never do: its connections are reset
    /// when they are dropped.
    pub fn with_reset_on_drop(address: SocketAddr) -> Self {
        Self {
            reset_on_drop: true,
            ..Self::new(address)
        }
    }

    /// The body of the response to a GET, if that is a 200.
    ///
    /// # Errors
    ///
    /// Any other status is an error too.
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

    /// The whole response to a request, whatever its status.
    ///
    /// # Errors
    ///
    /// There is none until then, or it breaks a limit. The connection is not used again after that.
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
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|_| HttpClientError::BodyTooLong)?.to_bytes();
        self.idle_connection.replace(Some((sender, connection)));
        Ok(Response::from_parts(head, body))
    }

    async fn connect(&self) -> Result<IdleConnection, HttpClientError> {
        let stream = connect(self.address)
            .await
            .map_err(HttpClientError::Connect)?;
        if self.reset_on_drop {
            // Without it what is on its way arrives all the same, later.
            let linger = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            linger.map_err(HttpClientError::Connect)?;
        }
        let (sender, connection) = handshake(TokioIo::new(stream))
            .await
            .map_err(HttpClientError::Http)?;
        // Its end shows at the sender.
        let task = tokio::task::spawn_local(async move { drop(connection.await) });
        Ok((sender, AbortOnDrop(task)))
    }
}
