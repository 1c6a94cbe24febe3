//! An operator's side of the HTTP interface ([`crate::http_api`]): sends a call to the control processes until one gives
//! a definite answer.
//!
//! **When it sends again.** A call goes to one address after the other, unchanged: so the control plane recognizes it
//! as the same command ([`crate::replicated_state`]).
//!
//! | what comes back | what happens |
//! | --- | --- |
//! | 2xx, 4xx but 408 and 429 | definite: the command is accepted, or never will be. It is the result. |
//! | 307 with a `Location` | the same attempt goes on there, twice at most |
//! | 307 without one, a third one, another 3xx | indefinite: the next address |
//! | 408, 429, 5xx | indefinite: the next address. The command may be applied later. |
//! | no connection, a broken one, no answer in time | the same |
//!
//! After the last address it waits (100 ms, doubled each time up to 1.6 s) and begins anew, until
//! [`OperatorClient::timeout`] has passed; an attempt that has begun is waited for. Then the result is
//! [`OperatorError::Indeterminate`]: the command may be applied or not, and the caller has to say so. A second call with
//! the same content is again the same command.
//!
//! **State.** None: each attempt opens a connection of its own.

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

/// Redirects that are followed: to the leader, and to the next one where that has changed.
const MAX_REDIRECTS: usize = 2;
/// A process that says nothing for so long is left for another one.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1000);
/// The timeout is as much longer for each such piece of the body: on a narrow link it takes its time.
const BODY_BYTES_PER_TIMEOUT: usize = 64 << 10;
/// Between two rounds over all addresses, at first and at most.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(1600);

/// A call, as it is sent each time.
#[derive(Clone, Debug)]
pub struct OperatorRequest {
    /// GET or POST.
    pub method: Method,
    /// Such as `/-/Config.Read`.
    pub path: String,
    /// The revision that a change of the configuration builds on.
    pub base: Option<u64>,
    /// JSON, or empty.
    pub body: Bytes,
}

impl OperatorRequest {
    /// A call that reads.
    pub fn get(path: &str) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            base: None,
            body: Bytes::new(),
        }
    }

    /// A call that changes something.
    pub fn post(path: &str, base: Option<u64>, body: Bytes) -> Self {
        Self {
            method: Method::POST,
            path: path.into(),
            base,
            body,
        }
    }
}

/// Why there is no definite answer.
#[derive(Debug, thiserror::Error)]
pub enum OperatorError {
    /// [`OperatorClient::addresses`] is empty.
    #[error("no address of a control balancer")]
    NoAddress,
    /// The time is up; the command may be applied or not.
    #[error(
        "no clear answer within {within:?}, and it may be taken or not; the last, of {at}: {source}"
    )]
    Indeterminate {
        /// How long it was sent again.
        within: Duration,
        /// The address of the last attempt.
        at: SocketAddr,
        /// What came of the last attempt.
        source: IndefiniteAnswer,
    },
}

/// What came of an attempt that settles nothing.
#[derive(Debug, thiserror::Error)]
pub enum IndefiniteAnswer {
    /// An answer that promises nothing.
    #[error("{status} {body}")]
    Status {
        /// Its status.
        status: StatusCode,
        /// What it says.
        body: String,
    },
    /// No answer.
    #[error(transparent)]
    NoAnswer(#[from] HttpClientError),
}

/// Calls the control processes.
pub struct OperatorClient {
    /// Their `ctl` addresses.
    pub addresses: Vec<SocketAddr>,
    /// Calls are sent again for so long.
    pub timeout: Duration,
}

impl OperatorClient {
    /// The definite answer to a call.
    ///
    /// # Errors
    ///
    /// [`OperatorError`]: there is none. A refusal is an answer.
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

/// Whether an answer of this status settles what becomes of the command.
fn is_definite(status: StatusCode) -> bool {
    let indefinite = [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS];
    !status.is_server_error() && !status.is_redirection() && !indefinite.contains(&status)
}

/// One attempt: the definite answer of the process at this address, or of the one it points to.
async fn attempt(
    at: SocketAddr,
    request: &OperatorRequest,
) -> Result<Response<Bytes>, IndefiniteAnswer> {
    let response = send_following_redirects(at, request).await?;
    if is_definite(response.status()) {
        return Ok(response);
    }
    Err(IndefiniteAnswer::Status {
        status: response.status(),
        body: String::from_utf8_lossy(response.body()).into_owned(),
    })
}

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

/// The address and path that a redirect names.
fn redirect_location(response: &Response<Bytes>) -> Option<(SocketAddr, String)> {
    let location = response.headers().get(LOCATION)?.to_str().ok()?;
    let uri = location.parse::<Uri>().ok()?;
    let at = uri.authority()?.as_str().parse().ok()?;
    Some((at, uri.path_and_query()?.as_str().to_string()))
}

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
