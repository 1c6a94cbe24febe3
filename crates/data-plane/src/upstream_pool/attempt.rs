//! One attempt: gets a connection, sends the request, receives the response and determines the outcome.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use load_balancing::interface::{AttemptOutcome, LoadReport, ServerId};
use tokio::time::{Instant, timeout_at};

use super::protocol::announced_max_idle;
use super::stale::ReuseFailure;
use super::{ForwardedRequest, PooledConnection, Target, UpstreamPool};
use crate::upstream_connection::{
    IncompleteResponse, NothingSent, OutgoingRequest, ResponseFault, SendProgress,
};

/// The result of an attempt.
pub struct AttemptResult {
    /// The outcome, which includes whether the request may have run ([`AttemptOutcome::has_not_run`]).
    pub outcome: AttemptOutcome,
    /// The load that the upstream reported.
    pub report: LoadReport,
    /// The upstream's response, if it may be forwarded to the client: a success, or an error with a status that does
    /// not imply that the request has not run.
    pub response: Option<Response<Bytes>>,
    /// How much of its time the attempt has waited for memory of this process, which says nothing about the upstream.
    pub memory_wait: Duration,
}

/// What an attempt asks and reports while it is in progress. A closure only answers [`Self::may_send`].
pub trait AttemptObserver {
    /// Returns whether the request may be sent. Called right before that.
    fn may_send(&self) -> bool;

    /// Called when the upstream has responded, but its response has to wait for memory.
    fn on_memory_wait(&self) {}
}

impl<F: Fn() -> bool> AttemptObserver for F {
    fn may_send(&self) -> bool {
        self()
    }
}

impl AttemptResult {
    /// Creates a result without load report and response.
    pub fn from_outcome(outcome: AttemptOutcome) -> Self {
        Self {
            outcome,
            report: LoadReport::default(),
            response: None,
            memory_wait: Duration::ZERO,
        }
    }
}

impl From<AttemptError> for AttemptResult {
    fn from(error: AttemptError) -> Self {
        let outcome = error.outcome();
        let report = match error {
            AttemptError::IncompleteResponse { report, .. } => report,
            _ => LoadReport::default(),
        };
        Self {
            outcome,
            report,
            response: None,
            memory_wait: Duration::ZERO,
        }
    }
}

/// The origin of an [`AttemptError`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorOrigin {
    /// The upstream or the network path to it.
    Upstream,
    /// The client, which no longer waits.
    Downstream,
    /// This process: its limits, or its data about the upstream.
    Internal,
}

/// Why an attempt has no complete response. A complete response is not an error, whatever its status.
#[derive(Debug, thiserror::Error)]
pub enum AttemptError {
    /// Requests must name their target, and the name of this upstream is not a valid header value.
    #[error("the upstream's name is not a valid header value")]
    UnnamedUpstream,
    /// [`super::PoolConfig::max_connections`] are open, and none of them is idle.
    #[error("the connection limit is reached")]
    ConnectionLimit,
    /// The upstream is unreachable or refuses connections.
    #[error("cannot connect to the upstream")]
    Connect(#[source] io::Error),
    /// No connection was established within [`super::PoolConfig::connect_timeout`].
    #[error("connecting to the upstream timed out")]
    ConnectTimeout,
    /// The upstream drains or is gone, and the grace period has passed.
    #[error("the upstream no longer accepts requests")]
    UpstreamClosed,
    /// The final reply was sent already, or the client has disconnected.
    #[error("the response is no longer awaited")]
    RequestAbandoned,
    /// The connection failed before any of the request was sent.
    #[error(transparent)]
    Send(#[from] NothingSent),
    /// The deadline passed before any of the request was sent.
    #[error("the deadline passed before any of the request was sent")]
    DeadlineBeforeSent,
    /// The deadline passed without a complete response.
    #[error("no complete response before the deadline")]
    ResponseTimeout,
    /// The response is cut off, malformed, too large or belongs to another request.
    #[error("no complete response")]
    IncompleteResponse {
        /// The reason.
        #[source]
        fault: ResponseFault,
        /// The load that the head of the response reported.
        report: LoadReport,
    },
}

impl AttemptError {
    /// Returns the origin of the error.
    pub fn origin(&self) -> ErrorOrigin {
        match self {
            Self::UnnamedUpstream
            | Self::ConnectionLimit
            | Self::IncompleteResponse {
                fault: ResponseFault::NoMemory,
                ..
            } => ErrorOrigin::Internal,
            Self::RequestAbandoned => ErrorOrigin::Downstream,
            Self::Connect(_)
            | Self::ConnectTimeout
            | Self::UpstreamClosed
            | Self::Send(_)
            | Self::DeadlineBeforeSent
            | Self::ResponseTimeout
            | Self::IncompleteResponse { .. } => ErrorOrigin::Upstream,
        }
    }

    /// Returns the outcome that is reported to the balancer.
    pub fn outcome(&self) -> AttemptOutcome {
        match self {
            Self::UnnamedUpstream
            | Self::ConnectionLimit
            | Self::Connect(_)
            | Self::ConnectTimeout
            | Self::Send(_)
            | Self::DeadlineBeforeSent => AttemptOutcome::ConnectFailed,
            Self::UpstreamClosed | Self::RequestAbandoned => AttemptOutcome::NotIssued,
            Self::ResponseTimeout => AttemptOutcome::Timeout,
            // The upstream is not to blame.
            Self::IncompleteResponse {
                fault: ResponseFault::NoMemory,
                ..
            } => AttemptOutcome::Cancelled,
            Self::IncompleteResponse { .. } => AttemptOutcome::Reset,
        }
    }

    /// Returns whether the upstream may have run the request. If not, even a request that may run only once may be sent
    /// again.
    pub fn may_have_run(&self) -> bool {
        !self.outcome().has_not_run()
    }
}

impl UpstreamPool {
    /// Makes one attempt, which sends the request at most once and ends at `deadline` at the latest. Nothing is sent if the
    /// observer does not allow it.
    pub async fn attempt(
        &self,
        server: ServerId,
        target: &Target,
        forwarded: &ForwardedRequest,
        deadline: Instant,
        observer: impl AttemptObserver,
    ) -> AttemptResult {
        let mut progress = SendProgress::default();
        let exchange = self.exchange(
            server,
            target,
            forwarded,
            deadline,
            &observer,
            &mut progress,
        );
        let result = match timeout_at(deadline, exchange).await {
            Ok(result) => result,
            Err(_) if progress.proves_not_run() => Err(AttemptError::DeadlineBeforeSent),
            Err(_) if progress.memory_wait.is_waiting() => Err(AttemptError::IncompleteResponse {
                fault: ResponseFault::NoMemory,
                report: LoadReport::default(),
            }),
            Err(_) => Err(AttemptError::ResponseTimeout),
        };
        let mut result = result.unwrap_or_else(|error| {
            self.log_failure(target, forwarded, progress, &error);
            error.into()
        });
        result.memory_wait = progress.memory_wait.total();
        result
    }

    fn log_failure(
        &self,
        target: &Target,
        forwarded: &ForwardedRequest,
        progress: SendProgress,
        error: &AttemptError,
    ) {
        tracing::debug!(
            upstream = %target.address.get(),
            error = error as &dyn std::error::Error,
            origin = ?error.origin(),
            may_have_run = error.may_have_run(),
            request_id = ?self.config.protocol.request_id(forwarded),
            bytes_sent = progress.bytes_sent,
            total_bytes = progress.total_bytes,
            response_started = progress.response_started,
            "an attempt at an upstream failed"
        );
    }

    /// Sends the request on an idle or new connection and reads the response to it.
    async fn exchange(
        &self,
        server: ServerId,
        target: &Target,
        forwarded: &ForwardedRequest,
        deadline: Instant,
        observer: &impl AttemptObserver,
        progress: &mut SendProgress,
    ) -> Result<AttemptResult, AttemptError> {
        let protocol = &self.config.protocol;
        if protocol.target_header.is_some() && target.name.is_none() {
            // Without the name, another upstream that has taken over the address would run the request.
            tracing::warn!(
                upstream = %target.address.get(),
                "cannot use an upstream: its name is not a valid header value"
            );
            return Err(AttemptError::UnnamedUpstream);
        }
        let awaited = protocol.awaited_response(forwarded);
        loop {
            let address = target.address.get();
            let idle = self.take_idle(server, address, &awaited);
            let is_reused = idle.is_some();
            let mut pooled = match idle {
                Some(pooled) => pooled,
                None => self.connect(address).await?,
            };
            // While the attempt waited for a connection, the request may have ended, or the grace period of a drain.
            if target.is_closed() {
                return Err(AttemptError::UpstreamClosed);
            }
            if !observer.may_send() {
                self.put_idle(server, pooled);
                return Err(AttemptError::RequestAbandoned);
            }
            let head = forwarded.encode_head(protocol, target, deadline);
            let connection = &mut pooled.connection;
            let sent_at = Instant::now();
            let idle_time = sent_at - connection.idle_since;
            let connect_time = connection.connect_time;
            let on_memory_wait = || observer.on_memory_wait();
            let mut request = OutgoingRequest::new(&head, &forwarded.body, progress)
                .on_memory_wait(&on_memory_wait);
            match connection.send(&mut request).await {
                Ok(()) => {}
                // The upstream has dropped the connection while it was idle: try another one.
                Err(_) if is_reused => continue,
                Err(error) => return Err(error.into()),
            }
            let received = connection
                .receive(&awaited, &mut request, &self.response_budget)
                .await;
            return received
                .map(|response| self.on_response(server, target, pooled, response))
                .map_err(|incomplete| {
                    let reuse_failure = is_reused.then(|| ReuseFailure {
                        idle_time,
                        failed_after: sent_at.elapsed(),
                        connect_time,
                    });
                    self.on_incomplete_response(incomplete, reuse_failure)
                });
        }
    }

    /// Classifies a complete response and keeps the connection if it may be used again.
    fn on_response(
        &self,
        server: ServerId,
        target: &Target,
        mut pooled: PooledConnection,
        response: Response<Bytes>,
    ) -> AttemptResult {
        let protocol = &self.config.protocol;
        let report = protocol.load_report.parse(response.headers());
        if let Some(max_idle) = announced_max_idle(response.headers()) {
            pooled.connection.max_idle = max_idle;
        }
        let outcome = protocol.classify(&response);
        let is_reusable = pooled.connection.reusable && outcome != AttemptOutcome::Reset;
        // Connections to an upstream that drains or is gone are not kept.
        if is_reusable && target.closed_at.get().is_none() {
            pooled.connection.idle_since = Instant::now();
            self.put_idle(server, pooled);
        }
        let may_forward = protocol.may_forward(outcome, response.status());
        AttemptResult {
            outcome,
            report,
            response: may_forward.then_some(response),
            memory_wait: Duration::ZERO,
        }
    }

    /// Creates the error for a request that may have run but has no valid response, and remembers a reused connection
    /// that was stale.
    fn on_incomplete_response(
        &self,
        incomplete: IncompleteResponse,
        reuse_failure: Option<ReuseFailure>,
    ) -> AttemptError {
        if let (Some(failure), None) = (reuse_failure, &incomplete.headers) {
            self.stale.on_reuse_failure(&failure);
        }
        let load_report = &self.config.protocol.load_report;
        let report = incomplete
            .headers
            .map(|headers| load_report.parse(&headers))
            .unwrap_or_default();
        AttemptError::IncompleteResponse {
            fault: incomplete.fault,
            report,
        }
    }
}
