//! One attempt: a connection, the request out, the response in, and how that ended.

use std::io;

use bytes::Bytes;
use hyper::Response;
use load_balancing::interface::{AttemptOutcome, LoadReport, ServerId};
use tokio::time::{Instant, timeout_at};

use super::protocol::announced_max_idle;
use super::stale::BrokenReuse;
use super::{ForwardedRequest, PooledConnection, Target, UpstreamPool};
use crate::upstream_connection::{
    AwaitedResponse, EchoedId, IncompleteResponse, OutgoingRequest, ResponseFault, SendProgress,
};

/// How an attempt ended, and with what.
pub struct AttemptResult {
    /// How it ended; says too whether the request may have run ([`AttemptOutcome::has_not_run`]).
    pub outcome: AttemptOutcome,
    /// The load that the upstream reported.
    pub report: LoadReport,
    /// The upstream's response, where it may go to the client: a success, or an error that promises nothing.
    pub response: Option<Response<Bytes>>,
}

impl AttemptResult {
    /// An outcome without load report and response.
    pub fn from_outcome(outcome: AttemptOutcome) -> Self {
        Self {
            outcome,
            report: LoadReport::default(),
            response: None,
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
        }
    }
}

/// Where an error of an attempt comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorOrigin {
    /// The upstream or the way to it.
    Upstream,
    /// The client, which no longer waits.
    Downstream,
    /// This process: its limits, or what it knows of the upstream.
    Internal,
}

/// Why an attempt has no complete response. A complete response, whatever it says, is not an error.
#[derive(Debug, thiserror::Error)]
pub enum AttemptError {
    /// Upstreams check whom a request is meant for, and the name of this one can't be a header's value.
    #[error("the upstream has no name that can be sent in a header")]
    UnnamedUpstream,
    /// [`super::PoolConfig::max_connections`] are open, and none of them is idle.
    #[error("the limit of open connections is reached")]
    ConnectionLimit,
    /// The upstream can't be reached or refuses connections.
    #[error("can't connect to the upstream")]
    Connect(#[source] io::Error),
    /// No connection within [`super::PoolConfig::connect_timeout`].
    #[error("connecting to the upstream timed out")]
    ConnectTimeout,
    /// The upstream drains or is gone, and the time of grace has passed.
    #[error("the upstream takes no more requests")]
    UpstreamClosed,
    /// The request has its final answer, or its client has left.
    #[error("nobody waits for the response any more")]
    RequestAbandoned,
    /// The connection broke before all of the request was handed over.
    #[error("can't send the request")]
    Send(#[source] io::Error),
    /// The upstream ended the exchange without a response and without all of the request.
    #[error("the exchange ended before all of the request was sent")]
    EndedBeforeSent(#[source] ResponseFault),
    /// The deadline passed before all of the request was handed over.
    #[error("the deadline passed before all of the request was sent")]
    DeadlineBeforeSent,
    /// The deadline passed without a complete response.
    #[error("no complete response before the deadline")]
    ResponseTimeout,
    /// The response is cut off, malformed, too large or another request's.
    #[error("no complete response")]
    IncompleteResponse {
        /// What is wrong with it.
        #[source]
        fault: ResponseFault,
        /// The load that its head reported.
        report: LoadReport,
    },
}

impl AttemptError {
    /// Where it comes from.
    pub fn origin(&self) -> ErrorOrigin {
        match self {
            Self::UnnamedUpstream | Self::ConnectionLimit => ErrorOrigin::Internal,
            Self::RequestAbandoned => ErrorOrigin::Downstream,
            Self::Connect(_)
            | Self::ConnectTimeout
            | Self::UpstreamClosed
            | Self::Send(_)
            | Self::EndedBeforeSent(_)
            | Self::DeadlineBeforeSent
            | Self::ResponseTimeout
            | Self::IncompleteResponse { .. } => ErrorOrigin::Upstream,
        }
    }

    /// The outcome as the load balancing takes it into account.
    pub fn outcome(&self) -> AttemptOutcome {
        match self {
            Self::UnnamedUpstream
            | Self::ConnectionLimit
            | Self::Connect(_)
            | Self::ConnectTimeout
            | Self::Send(_)
            | Self::EndedBeforeSent(_)
            | Self::DeadlineBeforeSent => AttemptOutcome::ConnectFailed,
            Self::UpstreamClosed | Self::RequestAbandoned => AttemptOutcome::NotIssued,
            Self::ResponseTimeout => AttemptOutcome::Timeout,
            Self::IncompleteResponse { .. } => AttemptOutcome::Reset,
        }
    }

    /// Whether the upstream may have run the request. If not, it may be sent again whatever it does.
    pub fn may_have_run(&self) -> bool {
        !self.outcome().has_not_run()
    }
}

impl UpstreamPool {
    /// Makes one attempt: at most one request reaches the wire. `may_send` is asked right before it does. Ends at
    /// `deadline` at the latest.
    pub async fn attempt(
        &self,
        server: ServerId,
        target: &Target,
        forwarded: &ForwardedRequest,
        deadline: Instant,
        may_send: impl Fn() -> bool,
    ) -> AttemptResult {
        let mut progress = SendProgress::default();
        let exchange = self.exchange(server, target, forwarded, deadline, may_send, &mut progress);
        let result = match timeout_at(deadline, exchange).await {
            Ok(result) => result,
            // It can't have run.
            Err(_) if progress.proves_not_run() => Err(AttemptError::DeadlineBeforeSent),
            Err(_) => Err(AttemptError::ResponseTimeout),
        };
        result.unwrap_or_else(|error| {
            tracing::debug!(
                upstream = %target.address.get(),
                error = &error as &dyn std::error::Error,
                origin = ?error.origin(),
                may_have_run = error.may_have_run(),
                "an attempt at an upstream failed"
            );
            error.into()
        })
    }

    /// Sends the request on an idle or new connection and reads the response to it.
    async fn exchange(
        &self,
        server: ServerId,
        target: &Target,
        forwarded: &ForwardedRequest,
        deadline: Instant,
        may_send: impl Fn() -> bool,
        progress: &mut SendProgress,
    ) -> Result<AttemptResult, AttemptError> {
        let protocol = &self.config.protocol;
        if protocol.target_header.is_some() && target.name.is_none() {
            // Another upstream that has its address by now would run it.
            tracing::warn!(
                upstream = %target.address.get(),
                "an upstream can't be used: its name can't be sent in a header"
            );
            return Err(AttemptError::UnnamedUpstream);
        }
        let awaited = AwaitedResponse {
            method: &forwarded.method,
            echoed_id: protocol.request_id_header.as_ref().map(|header| EchoedId {
                header,
                value: forwarded.headers.get(header),
            }),
        };
        loop {
            let address = target.address.get();
            let idle = self.take_idle(server, address, &awaited);
            let is_reused = idle.is_some();
            let mut pooled = match idle {
                Some(pooled) => pooled,
                None => self.connect(address).await?,
            };
            // The wait for a connection may outlast the time of grace of a drain, or the request.
            if target.is_closed() {
                return Err(AttemptError::UpstreamClosed);
            }
            if !may_send() {
                self.put_idle(server, pooled);
                return Err(AttemptError::RequestAbandoned);
            }
            let head = forwarded.encode_head(protocol, target, deadline);
            let connection = &mut pooled.connection;
            let sent_at = Instant::now();
            let idled = sent_at - connection.idle_since;
            let mut request = OutgoingRequest::new(&head, &forwarded.body, progress);
            match connection.send(&mut request).await {
                Ok(()) => {}
                // A reused connection that closed before a byte went out is not an attempt yet.
                Err(_) if is_reused && progress.is_unsent() => continue,
                Err(error) => return Err(AttemptError::Send(error)),
            }
            let received = connection
                .receive(&awaited, &mut request, &self.response_budget)
                .await;
            return match received {
                Ok(response) => Ok(self.on_response(server, target, pooled, response)),
                Err(incomplete) if progress.proves_not_run() => {
                    Err(AttemptError::EndedBeforeSent(incomplete.fault))
                }
                Err(incomplete) => {
                    let broken = is_reused.then(|| BrokenReuse {
                        idled,
                        broke_after: sent_at.elapsed(),
                        connect_time: connection.connect_time,
                    });
                    Err(self.on_incomplete_response(incomplete, broken))
                }
            };
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
        // To an upstream that drains or is gone nothing more will be sent.
        if is_reusable && target.closed_at.get().is_none() {
            pooled.connection.idle_since = Instant::now();
            self.put_idle(server, pooled);
        }
        let may_forward = protocol.may_forward(outcome, response.status());
        AttemptResult {
            outcome,
            report,
            response: may_forward.then_some(response),
        }
    }

    /// The request may have run, and its response was cut off, is larger than any may be or does not belong to it:
    /// there is nothing to forward.
    fn on_incomplete_response(
        &self,
        incomplete: IncompleteResponse,
        broken: Option<BrokenReuse>,
    ) -> AttemptError {
        if let (Some(broken), None) = (broken, &incomplete.headers) {
            self.stale.on_broken_reuse(&broken);
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
