//! Operators' calls (`ctl`).
//!
//! | call | answer |
//! | --- | --- |
//! | `GET /-/Config.Read` | 200 and the configuration, as current as a majority knows; 404 before the first one |
//! | `GET /-/Status` | 200 and what this process knows, also without a majority |
//! | `GET /-/metrics` | 200 and the metrics, as Prometheus reads them |
//! | `POST /-/Config.Replace`, `POST /-/Config.Amend`, with the header `Base-Version` | 200 `{"rev": current}` once a majority has synced it, also if it was accepted before |
//! | `POST /-/Drain.Begin/ZONE`, `POST /-/Drain.Finish/ZONE` | 200 `{"zone", "evacuations"}`; the connection closes behind it. 404 for a zone that the settings don't have |
//! | anything else | 404 `{"err"}` |
//!
//! A change of the configuration is refused for good with 400 (header, body, or a rule that it breaks; the text names
//! the field), 412 (another revision is current) or 413 (larger than half a frame). 408 means that its body took longer
//! than 10 s.
//!
//! Every call but `Status` and `metrics` may get 307 (another process leads: `Location`) or 503 (no majority within
//! 950 ms, or a command too old to tell). A 503 leaves open what becomes of the command: it may be applied later. The
//! caller sends it again, unchanged, until its answer is definite ([`crate::operator_client`]).
//!
//! **Where a call that is sent again is recognized:** see [`crate::replicated_state`].
//!
//! **State.** None of its own. A caller that goes away ends nothing: the command stands in the log or it doesn't. A
//! task for each acknowledgement of an evacuation or return watches how its connection ends, for 1 s at most.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use data_plane::headers::ClientResponse;
use data_plane::listener::{DeliveryReceipt, DeliveryStatus, RequestHandler};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderName, HeaderValue, LOCATION};
use hyper::{Method, Request, StatusCode};
use protocol::key_ranges::{KeyRangeMap, Ownership};
use protocol::wire::{MAX_FRAME_BYTES, Session};
use raft::MemberReport;
use serde_json::{Value, json};
use tokio::time::{Instant, timeout, timeout_at};

use super::responses::{error_response, json_response, raw_json_response};
use crate::command::{Command, CommandOutcome};
use crate::server::{Acknowledgement, CALLER_WAIT, ControlServer, Indeterminate, LogStatus};

/// The revision that a change of the configuration builds on.
pub const BASE_VERSION_HEADER: HeaderName = HeaderName::from_static("base-version");
/// A caller moves on after a second of silence: a command that has no majority by then is indeterminate.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(950);
/// A large configuration may take so long to come.
const BODY_READ_TIMEOUT: Duration = Duration::from_millis(10_000);
/// The largest configuration: a frame has to carry it, and a log entry.
const MAX_BODY_BYTES: usize = MAX_FRAME_BYTES / 2;
/// Told with 503.
const NO_MAJORITY: &str = "no majority of the control balancers";

/// Answers operators.
pub struct OperatorApi {
    /// The process that it speaks for.
    pub server: Rc<ControlServer>,
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
}

impl OperatorApi {
    /// `Config.Read`: as current as a majority knows.
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
        raw_json_response(
            StatusCode::OK,
            Bytes::copy_from_slice(state.config.as_bytes()),
        )
    }

    /// `Config.Replace` and `Config.Amend`.
    async fn change_configuration(
        &self,
        request: Request<Incoming>,
        command: impl FnOnce(u64, String) -> Command,
    ) -> ClientResponse {
        let path = request.uri().path().to_string();
        let command = match read_change(request).await {
            Ok((base, body)) => command(base, body),
            Err(error) => return error_response(error.status(), &error.to_string()),
        };
        match self.server.submit_command(&command, COMMAND_TIMEOUT).await {
            Ok(outcome) => self.outcome_response(outcome),
            Err(error) => self.indeterminate_response(&path, &error),
        }
    }

    /// `Drain.Begin` and `Drain.Finish`. The connection is closed behind the acknowledgement, so that it shows whether
    /// the caller has read it.
    async fn change_zone(
        &self,
        request: &Request<Incoming>,
        zone: &str,
        begin: bool,
        arrived: Instant,
    ) -> ClientResponse {
        let receipts = request.extensions().get::<DeliveryReceipt>().cloned();
        let submitted = self
            .server
            .submit_zone_command(zone, begin, COMMAND_TIMEOUT)
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

    /// `Status`: what this process knows, whether or not it is in contact with a majority.
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
            // No change of the configuration ends so; if one did, it would have to be sent again.
            CommandOutcome::Conflict => {
                error_response(StatusCode::SERVICE_UNAVAILABLE, NO_MAJORITY)
            }
        }
    }

    /// Points the caller to the leader, or has it send the call again later.
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

/// Why a change of the configuration can't be read from its request.
#[derive(Clone, Copy, Debug, thiserror::Error)]
enum UnreadableChange {
    #[error("Base-Version: expected a whole number")]
    InvalidBase,
    #[error("the configuration is too large")]
    TooLarge,
    #[error("the body was cut short")]
    CutShort,
    #[error("the body took too long")]
    TimedOut,
    #[error("the body is not UTF-8")]
    NotUtf8,
}

impl UnreadableChange {
    fn status(self) -> StatusCode {
        match self {
            Self::InvalidBase | Self::CutShort | Self::NotUtf8 => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TimedOut => StatusCode::REQUEST_TIMEOUT,
        }
    }
}

/// The base and the body of a change of the configuration.
async fn read_change(request: Request<Incoming>) -> Result<(u64, String), UnreadableChange> {
    let base = request
        .headers()
        .get(BASE_VERSION_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.trim().parse::<u64>().ok())
        .ok_or(UnreadableChange::InvalidBase)?;
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect();
    let body = match timeout(BODY_READ_TIMEOUT, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
            return Err(UnreadableChange::TooLarge);
        }
        Ok(Err(_)) => return Err(UnreadableChange::CutShort),
        Err(_) => return Err(UnreadableChange::TimedOut),
    };
    let body = String::from_utf8(body.into()).map_err(|_| UnreadableChange::NotUtf8)?;
    Ok((base, body))
}

fn session_status(session: &Session) -> Value {
    json!({"node": session.balancer.node, "zone": session.balancer.zone,
        "http": session.balancer.http_addr, "ready": session.ready, "leaving": session.draining})
}

fn member_status(member: &MemberReport) -> Value {
    json!({"address": member.address, "id": format!("{:016x}", member.id), "voter": member.voter,
        "in_contact": member.in_contact, "silence_ms": member.silence_ms,
        "behind": member.entries_behind})
}

/// How many ranges a service has, how many of them each upstream owns, and how many nobody does.
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

/// Records what the end of its connection tells of an acknowledgement: a caller that has read it closes at once, and
/// one that has not stays until it gives up.
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
