//! The operators' calls (`ctl`).
//!
//! | call | answer |
//! | --- | --- |
//! | `GET /-/Config.Read` | 200 and the configuration (a linearizable read); 404 before the first one |
//! | `GET /-/Status` | 200 and the state of this process, also without a majority |
//! | `GET /-/metrics` | 200 and the metrics in the Prometheus format |
//! | `POST /-/Config.Replace`, `POST /-/Config.Amend`, with the header `Base-Version` | 200 `{"rev": current}` once a majority has synced it, also if it had been accepted before |
//! | `POST /-/Drain.Begin/ZONE`, `POST /-/Drain.Finish/ZONE` | 200 `{"zone", "evacuations"}`; the connection closes after it. 404 for a zone that is not in the settings |
//! | anything else | 404 `{"err"}` |
//!
//! A change of the configuration is rejected permanently with 400 (an invalid header or body, or a violated rule; the
//! text names the field), 412 (another revision is current) or 413 (larger than half a frame, or it would take more than
//! a quarter of the memory once it is parsed). 408 means that its body took longer than 10 s. 503 also means that there was no memory for its body, or that it gave way to another one while
//! it was incomplete ([`data_plane::request_memory`]).
//!
//! Every call except `Status` and `metrics` may get 307 (another process leads; its address is in `Location`) or 503
//! (no majority within 950 ms, or a command so old that its outcome is no longer known). After a 503 the outcome is
//! unknown: the command may still be applied later. The caller resends it unchanged until it gets a definite answer
//! ([`crate::operator_client`]). Resent calls are detected by [`crate::replicated_state`].
//!
//! **State.** None. A caller that disconnects cancels nothing: its command is either in the log or not. For each
//! acknowledgement of an evacuation or return, a task observes for at most 1 s how its connection ends.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use data_plane::headers::ClientResponse;
use data_plane::listener::{DeliveryReceipt, DeliveryStatus, RequestHandler};
use data_plane::request_budget::MemoryReservation;
use data_plane::request_memory::{ReceiveError, RequestMemory};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderName, HeaderValue, LOCATION};
use hyper::{Method, Request, StatusCode};
use protocol::key_ranges::{KeyRangeMap, Ownership};
use protocol::wire::{MAX_FRAME_BYTES, Session};
use raft::MemberReport;
use serde_json::{Value, json};
use tokio::time::{Instant, timeout_at};

use super::responses::{error_response, json_response, raw_json_response};
use crate::command::{Command, CommandOutcome};
use crate::configuration::exceeds_parsed_size;
use crate::server::{Acknowledgement, CALLER_WAIT, ControlServer, Indeterminate, LogStatus};

/// The header with the revision that a change of the configuration is based on.
pub const BASE_VERSION_HEADER: HeaderName = HeaderName::from_static("base-version");
/// The timeout of a command, after which its outcome is indeterminate. Callers try another process after a second
/// without an answer.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(950);
/// The timeout for receiving a body, which allows for a large configuration.
const BODY_READ_TIMEOUT: Duration = Duration::from_millis(10_000);
/// The maximum size of a configuration, which has to fit into a frame and a log entry.
const MAX_BODY_BYTES: usize = MAX_FRAME_BYTES / 2;
/// The error text of a response with status 503 when no majority could be reached in time.
const NO_MAJORITY: &str = "no majority of the control balancers";

/// Answers the operators' calls.
pub struct OperatorApi {
    /// The process whose state is read and changed.
    pub server: Rc<ControlServer>,
    /// The memory for configurations that are being received or submitted.
    pub request_memory: RequestMemory,
    /// The maximum memory of a parsed configuration, as estimated.
    pub max_parsed_bytes: usize,
}

impl RequestHandler for OperatorApi {
    const WANTS_RECEIPT: bool = true;

    async fn handle_request(
        &self,
        request: Request<Incoming>,
        arrived: Instant,
        _: bool,
    ) -> ClientResponse {
        let path = request.uri().path().to_string();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/-/Config.Read") => self.read_configuration().await,
            (&Method::GET, "/-/Status") => self.status(),
            (&Method::GET, "/-/metrics") => {
                data_plane::metrics::metrics_response(crate::metrics::text(&self.server))
            }
            (&Method::POST, "/-/Config.Replace") => {
                let command = |base, body| Command::Replace { base, body };
                self.change_configuration(request, command).await
            }
            (&Method::POST, "/-/Config.Amend") => {
                let command = |base, body| Command::Amend { base, body };
                self.change_configuration(request, command).await
            }
            (&Method::POST, path) => {
                let begin = path.strip_prefix("/-/Drain.Begin/");
                let Some(zone) = begin.or_else(|| path.strip_prefix("/-/Drain.Finish/")) else {
                    return error_response(StatusCode::NOT_FOUND, "no such call");
                };
                if !self.server.settings.zone_map.contains_key(zone) {
                    return error_response(StatusCode::NOT_FOUND, &format!("no zone `{zone}`"));
                }
                self.change_zone(&request, zone, begin.is_some(), arrived)
                    .await
            }
            _ => error_response(StatusCode::NOT_FOUND, "no such call"),
        }
    }

    fn request_memory(&self) -> Option<&RequestMemory> {
        Some(&self.request_memory)
    }
}

/// A text that the responses to many callers share.
struct SharedText(Arc<str>);

impl AsRef<[u8]> for SharedText {
    fn as_ref(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl OperatorApi {
    /// Handles `Config.Read`, a linearizable read. The response shares the configuration with the state, since many
    /// callers may leave theirs unread.
    async fn read_configuration(&self) -> ClientResponse {
        if !self.server.control_node.has_disk {
            let redirect = self.server.redirect_target().await;
            return self.indeterminate_response("/-/Config.Read", &redirect);
        }
        if !self.server.wait_until_current(COMMAND_TIMEOUT).await {
            return error_response(StatusCode::SERVICE_UNAVAILABLE, NO_MAJORITY);
        }
        let state = self.server.replicated_state();
        if state.revision == 0 {
            return error_response(StatusCode::NOT_FOUND, "no configuration yet");
        }
        let configuration = SharedText(state.config.clone());
        raw_json_response(StatusCode::OK, Bytes::from_owner(configuration))
    }

    /// Handles `Config.Replace` and `Config.Amend`.
    async fn change_configuration(
        &self,
        request: Request<Incoming>,
        command: impl FnOnce(u64, String) -> Command,
    ) -> ClientResponse {
        let path = request.uri().path().to_string();
        let (command, _reservation) = match self.read_change(request).await {
            Ok(ReceivedChange {
                base,
                body,
                reservation,
            }) => (command(base, body), reservation),
            Err(error) => return error_response(error.status(), &error.to_string()),
        };
        match self.server.submit_command(&command, COMMAND_TIMEOUT).await {
            Ok(outcome) => self.outcome_response(outcome),
            Err(error) => self.indeterminate_response(&path, &error),
        }
    }

    /// Reads the base revision and the body of a change of the configuration.
    async fn read_change(
        &self,
        request: Request<Incoming>,
    ) -> Result<ReceivedChange, InvalidChangeRequest> {
        let base = request
            .headers()
            .get(BASE_VERSION_HEADER)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.trim().parse::<u64>().ok())
            .ok_or(InvalidChangeRequest::InvalidBase)?;
        let until = Instant::now() + BODY_READ_TIMEOUT;
        let received = self
            .request_memory
            .receive(request.into_body(), MAX_BODY_BYTES, until)
            .await?;
        let (body, reservation) = received.into_vec();
        let body = String::from_utf8(body).map_err(|_| InvalidChangeRequest::NotUtf8)?;
        if exceeds_parsed_size(&body, self.max_parsed_bytes) {
            return Err(InvalidChangeRequest::TooManyValues);
        }
        Ok(ReceivedChange {
            base,
            body,
            reservation,
        })
    }

    /// Handles `Drain.Begin` and `Drain.Finish`. The connection is closed after the acknowledgement, because the way in
    /// which it ends shows whether the caller has read the acknowledgement.
    async fn change_zone(
        &self,
        request: &Request<Incoming>,
        zone: &str,
        is_evacuation: bool,
        arrived: Instant,
    ) -> ClientResponse {
        let receipts = request.extensions().get::<DeliveryReceipt>().cloned();
        let submitted = self
            .server
            .submit_zone_command(zone, is_evacuation, COMMAND_TIMEOUT)
            .await;
        let mut acknowledgement = match submitted {
            Ok(acknowledgement) => acknowledgement,
            Err(error) => return self.indeterminate_response(request.uri().path(), &error),
        };
        acknowledgement.mark_sent();
        if let Some(receipts) = receipts {
            let until = arrived + CALLER_WAIT;
            tokio::task::spawn_local(record_delivery(acknowledgement, receipts, until));
        }
        let evacuations = self.server.replicated_state().evacuation_count(zone);
        let body = json!({"zone": zone, "evacuations": evacuations});
        let mut response = json_response(StatusCode::OK, &body);
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
        response
    }

    /// Handles `Status`: returns the state of this process, whether or not it is in quorum contact.
    fn status(&self) -> ClientResponse {
        let LogStatus {
            own,
            members,
            report,
        } = self.server.log_status();
        let state = self.server.replicated_state();
        let sessions: Vec<_> = self
            .server
            .all_sessions()
            .iter()
            .map(session_status)
            .collect();
        let reported = report
            .as_ref()
            .map(|r| r.members.iter().map(member_status).collect::<Vec<_>>());
        let keys = state
            .keys
            .iter()
            .map(|(service, ranges)| (service, keys_status(ranges)));
        json_response(
            StatusCode::OK,
            &json!({"node": self.server.settings.node, "id": format!("{:016x}", own.id),
                "role": own.role.to_string(), "term": own.term,
                "leader": self.server.leader_address(), "in_contact": self.server.has_quorum_contact(),
                "contact_age_ms": self.server.quorum_contact_age().map(|age| age.as_millis() as u64),
                "commit": own.commit_index, "last": own.last_log_index,
                "voters": members.voters.values().collect::<Vec<_>>(),
                "learners": members.learners.values().collect::<Vec<_>>(),
                "members": reported, "losses_borne": report.map(|r| r.tolerable_losses),
                "rev": state.revision, "balancers": sessions,
                "evacuated": state.evacuated_zones().collect::<BTreeMap<_, _>>(),
                "keys": keys.collect::<BTreeMap<_, _>>()}),
        )
    }

    /// Converts the outcome of a configuration change into a response.
    fn outcome_response(&self, outcome: CommandOutcome) -> ClientResponse {
        match outcome {
            CommandOutcome::Applied | CommandOutcome::AlreadyApplied => {
                let revision = self.server.replicated_state().revision;
                json_response(StatusCode::OK, &json!({"rev": revision}))
            }
            CommandOutcome::RevisionMismatch { current } => error_response(
                StatusCode::PRECONDITION_FAILED,
                &format!("version {current} is in place"),
            ),
            CommandOutcome::Invalid(error) => {
                error_response(StatusCode::BAD_REQUEST, &error.to_string())
            }
            CommandOutcome::Expired => error_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "too old to tell whether it was taken; see `/-/Config.Read`",
            ),
            // Changes of the configuration never have this outcome. If one did, it would have to be resent.
            CommandOutcome::Conflict => {
                error_response(StatusCode::SERVICE_UNAVAILABLE, NO_MAJORITY)
            }
        }
    }

    /// Redirects the caller to the leader or, if none is known, asks it to retry later.
    fn indeterminate_response(&self, path: &str, error: &Indeterminate) -> ClientResponse {
        match error {
            Indeterminate::NotLeader(Some(leader)) => {
                let port = self.server.settings.listen.ctl.map_or(0, |at| at.port());
                let at = SocketAddr::new(leader.ip(), port);
                let mut response =
                    error_response(StatusCode::TEMPORARY_REDIRECT, "another one leads");
                if let Ok(location) = HeaderValue::from_str(&format!("http://{at}{path}")) {
                    response.headers_mut().insert(LOCATION, location);
                }
                response
            }
            Indeterminate::NotLeader(None) | Indeterminate::NoMajority => {
                error_response(StatusCode::SERVICE_UNAVAILABLE, NO_MAJORITY)
            }
        }
    }
}

/// A request from which no change of the configuration can be read. The messages are part of the responses.
#[derive(Clone, Copy, Debug, thiserror::Error)]
enum InvalidChangeRequest {
    #[error("Base-Version: expected a whole number")]
    InvalidBase,
    #[error("the configuration is too large")]
    TooLarge,
    #[error("the configuration has too many values")]
    TooManyValues,
    #[error("the body was cut short")]
    Truncated,
    #[error("the body took too long")]
    TimedOut,
    #[error("the body is not UTF-8")]
    NotUtf8,
    #[error("no memory for the body")]
    NoMemory,
}

impl From<ReceiveError> for InvalidChangeRequest {
    fn from(error: ReceiveError) -> Self {
        match error {
            ReceiveError::TooLarge => Self::TooLarge,
            ReceiveError::TimedOut => Self::TimedOut,
            ReceiveError::Malformed => Self::Truncated,
            ReceiveError::NoMemory => Self::NoMemory,
        }
    }
}

impl InvalidChangeRequest {
    fn status(self) -> StatusCode {
        match self {
            Self::InvalidBase | Self::Truncated | Self::NotUtf8 => StatusCode::BAD_REQUEST,
            Self::TooLarge | Self::TooManyValues => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TimedOut => StatusCode::REQUEST_TIMEOUT,
            Self::NoMemory => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// A change of the configuration that was read completely.
struct ReceivedChange {
    base: u64,
    body: String,
    /// Keeps the memory of the body reserved until the change has its outcome.
    reservation: Option<MemoryReservation>,
}

/// Describes a balancer's session for `Status`.
fn session_status(session: &Session) -> Value {
    json!({"node": session.balancer.node, "zone": session.balancer.zone,
        "http": session.balancer.http_addr, "ready": session.ready, "leaving": session.draining})
}

/// Describes a member of the log for `Status`.
fn member_status(member: &MemberReport) -> Value {
    json!({"address": member.address, "id": format!("{:016x}", member.id), "voter": member.voter,
        "in_contact": member.in_contact, "silence_ms": member.silence_ms,
        "behind": member.entries_behind})
}

/// Describes a service's key ranges for `Status`: their number, how many each upstream owns, and how many are without
/// an owner.
fn keys_status(ranges: &KeyRangeMap) -> Value {
    let (mut owned, mut unassigned) = (BTreeMap::<&str, u32>::new(), 0);
    for (_, range) in ranges.iter() {
        match &range.ownership {
            Ownership::Assigned(owner, _) => *owned.entry(&owner.id).or_default() += 1,
            Ownership::Releasing(_) | Ownership::Unowned => unassigned += 1,
        }
    }
    json!({"slices": ranges.iter().count(), "leaving": unassigned, "held": owned})
}

/// Records whether an acknowledgement was read, as shown by how its connection ends: a caller that has read it closes
/// the connection immediately, other callers keep it open until they time out.
async fn record_delivery(
    acknowledgement: Acknowledgement,
    mut receipt: DeliveryReceipt,
    until: Instant,
) {
    match timeout_at(until, receipt.wait()).await {
        Ok(DeliveryStatus::Delivered) => acknowledgement.confirm().await,
        Ok(DeliveryStatus::Broken) => acknowledgement.mark_connection_broken().await,
        Ok(DeliveryStatus::Unknown) | Err(_) => {}
    }
}
