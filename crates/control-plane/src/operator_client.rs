//! The client of the operators' HTTP interface ([`crate::http_api`]): sends a call to the control processes until one
//! of them gives a definite answer.
//!
//! **Retries.** A call is sent to one address after another. It is not changed in between, so that the control plane
//! recognizes it as the same command ([`crate::replicated_state`]).
//!
//! | response | reaction |
//! | --- | --- |
//! | 2xx, 4xx except 408 and 429 | Definite: the command is accepted, or never will be. Returned to the caller. |
//! | 307 with a `Location` | The attempt continues there; at most two redirects are followed. |
//! | 307 without a `Location`, a third 307, another 3xx | Indefinite: tries the next address. |
//! | 408, 429, 5xx | Indefinite: tries the next address. The command may still be applied. |
//! | connection refused or broken, or no response in time | Indefinite, as above. |
//!
//! After the last address the client waits (100 ms, doubled each time up to 1.6 s) and starts again, until
//! [`OperatorClient::timeout`] has passed; an attempt in progress is completed. The result is then
//! [`OperatorError::Indeterminate`]: the command may or may not have been applied, and the caller has to report that. A
//! later call with the same content is still the same command.
//!
//! **State.** None. Each attempt opens its own connection.

use std::net::SocketAddr;
use std::time::Duration;

pub use bytes::Bytes;
use data_plane::http_client::{HttpClient, HttpClientError};
use http_body_util::Full;
use hyper::header::LOCATION;
use hyper::{Method, Request, Uri};
pub use hyper::{Response, StatusCode};
use tokio::time::{Instant, sleep};

use crate::http_api::BASE_VERSION_HEADER;

/// The maximum number of redirects in an attempt: one to the leader, and one more in case the leader has changed.
const MAX_REDIRECTS: usize = 2;
/// The timeout of an attempt, after which the next process is tried.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1000);
/// For each body part of this size the timeout is extended by [`ATTEMPT_TIMEOUT`], to allow for slow links.
const BODY_BYTES_PER_TIMEOUT: usize = 64 << 10;
/// The delay after the first round over all addresses. It doubles after each further round.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// The maximum delay between two rounds over all addresses.
const MAX_BACKOFF: Duration = Duration::from_millis(1600);

/// A call, which is sent unchanged in every attempt.
#[derive(Clone, Debug)]
pub struct OperatorRequest {
    /// GET or POST.
    pub method: Method,
    /// The path, such as `/-/Config.Read`.
    pub path: String,
    /// The revision that a change of the configuration is based on.
    pub base: Option<u64>,
    /// JSON, or empty.
    pub body: Bytes,
}

impl OperatorRequest {
    /// Creates a call that reads.
    pub fn get(path: &str) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            base: None,
            body: Bytes::new(),
        }
    }

    /// Creates a call that changes something.
    pub fn post(path: &str, base: Option<u64>, body: Bytes) -> Self {
        Self {
            method: Method::POST,
            path: path.into(),
            base,
            body,
        }
    }
}

/// The reason why a call got no definite answer.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// [`OperatorClient::addresses`] is empty.
    #[error("no address of a control process is known")]
    NoAddress,
    /// There was no definite answer in time; the command may or may not have been applied.
    #[error(
        "no definite answer within {within:?}; the command may or may not have been applied; last attempt, at {at}: {source}"
    )]
    Indeterminate {
        /// How long the call was retried.
        within: Duration,
        /// The address of the last attempt.
        at: SocketAddr,
        /// How the last attempt failed.
        source: AttemptError,
    },
}

/// How an attempt ended without a definite answer.
#[derive(Debug, thiserror::Error)]
pub enum AttemptError {
    /// The response was indefinite.
    #[error("{status} {body}")]
    Status {
        /// The status of the response.
        status: StatusCode,
        /// The body of the response.
        body: String,
    },
    /// There was no response.
    #[error(transparent)]
    NoResponse(#[from] HttpClientError),
}

/// A client for the control processes.
pub struct OperatorClient {
    /// The `ctl` addresses of the control processes.
    pub addresses: Vec<SocketAddr>,
    /// How long a call is retried.
    pub timeout: Duration,
}

impl OperatorClient {
    /// Sends a call until it gets a definite answer.
    ///
    /// # Errors
    ///
    /// Returns an [`OperatorError`] if there is no definite answer. A rejection is a definite answer.
    pub async fn call(&self, request: &OperatorRequest) -> Result<Response<Bytes>, OperatorError> {
        let deadline = Instant::now() + self.timeout;
        let mut backoff = MIN_BACKOFF;
        loop {
            let mut last = None;
            for &at in &self.addresses {
                match attempt(at, request).await {
                    Ok(response) => return Ok(response),
                    Err(source) => last = Some((at, source)),
                }
                if Instant::now() >= deadline {
                    break;
                }
            }
            let (at, source) = last.ok_or(OperatorError::NoAddress)?;
            if Instant::now() + backoff >= deadline {
                return Err(OperatorError::Indeterminate {
                    within: self.timeout,
                    at,
                    source,
                });
            }
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }
}

/// Whether a response with this status determines the outcome of the command.
fn is_definite(status: StatusCode) -> bool {
    let indefinite = [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS];
    !status.is_server_error() && !status.is_redirection() && !indefinite.contains(&status)
}

/// Makes one attempt at this address, following redirects. Returns the response if it is definite.
async fn attempt(
    at: SocketAddr,
    request: &OperatorRequest,
) -> Result<Response<Bytes>, AttemptError> {
    let response = send_following_redirects(at, request).await?;
    if is_definite(response.status()) {
        return Ok(response);
    }
    Err(AttemptError::Status {
        status: response.status(),
        body: String::from_utf8_lossy(response.body()).into_owned(),
    })
}

/// Sends a call, and resends it to the address of each redirect. Returns the last response if there are too many.
async fn send_following_redirects(
    mut at: SocketAddr,
    request: &OperatorRequest,
) -> Result<Response<Bytes>, HttpClientError> {
    let within = ATTEMPT_TIMEOUT * (1 + request.body.len() / BODY_BYTES_PER_TIMEOUT) as u32;
    let mut path = request.path.clone();
    for _ in 0..MAX_REDIRECTS {
        let response = send_once(at, &path, request, within).await?;
        if response.status() != StatusCode::TEMPORARY_REDIRECT {
            return Ok(response);
        }
        match redirect_location(&response) {
            Some(next) => (at, path) = next,
            None => return Ok(response),
        }
    }
    send_once(at, &path, request, within).await
}

/// Returns the address and path of a redirect.
fn redirect_location(response: &Response<Bytes>) -> Option<(SocketAddr, String)> {
    let location = response.headers().get(LOCATION)?.to_str().ok()?;
    let uri = location.parse::<Uri>().ok()?;
    let at = uri.authority()?.as_str().parse().ok()?;
    Some((at, uri.path_and_query()?.as_str().to_string()))
}

/// Sends a call to one address, on a new connection.
async fn send_once(
    at: SocketAddr,
    path: &str,
    request: &OperatorRequest,
    within: Duration,
) -> Result<Response<Bytes>, HttpClientError> {
    let mut builder = Request::builder().method(&request.method).uri(path);
    if let Some(base) = request.base {
        builder = builder.header(BASE_VERSION_HEADER, base);
    }
    let request = builder
        .body(Full::new(request.body.clone()))
        .map_err(|_| HttpClientError::BodyTooLong)?;
    HttpClient::new(at)
        .call(request, Instant::now() + within)
        .await
}

#[cfg(test)]
mod tests;
