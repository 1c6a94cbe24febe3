//! What is asked of a control balancer over HTTP: operators' orders on `ctl`, clients' directory on `dir`.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use data_plane::headers::{ClientResponse, empty_response};
use data_plane::listener::{DeliveryReceipts, DeliveryStatus, RequestHandler};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderName, HeaderValue, LOCATION};
use hyper::{Method, Request, Response, StatusCode};
use load_balancing::interface::Span;
use protocol::key_ranges::{KeyRangeMap, Ownership};
use protocol::wire::{MAX_FRAME_BYTES, Session};
use raft::MemberReport;
use serde_json::json;
use tokio::time::{Instant, timeout, timeout_at};

use crate::configuration::{Command, CommandOutcome};
use crate::server::{Acknowledgement, CALLER_WAIT, ControlServer, Indeterminate, LogStatus};

/// The version that an order builds on.
pub const BASE_VERSION_HEADER: HeaderName = HeaderName::from_static("base-version");
/// A caller moves on after a second of silence: an order that has no majority by then is unclear.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(950);
/// A large configuration may take so long to come.
const BODY_READ_TIMEOUT: Duration = Duration::from_millis(10_000);
/// The largest configuration: a frame has to carry it, and a log entry.
const MAX_BODY_BYTES: usize = MAX_FRAME_BYTES / 2;
/// Clients ask again after this long; some take three times as long, and a balancer that leaves has
/// `grace_s` for all of them to hear of it.
const TTL_OF_GRACE: f64 = 1.0 / 3.0;
/// Balancers in an answer at most.
const ADDRESSES: usize = 64;
/// Places that answers are kept for: more than any site has.
const ANSWERS: usize = 1000;
/// With fewer than this in the client's own zone, those of its region are named too: one loss must leave it
/// somewhere to go.
const ENOUGH: usize = 2;

/// Operators' orders.
pub struct OperatorApi {
    pub server: Rc<ControlServer>,
}

/// Clients' directory.
pub struct DirectoryApi {
    server: Rc<ControlServer>,
    told: RefCell<Answers>,
}

/// What clients were told by zone and region, for as long as the balancers are the same.
#[derive(Default)]
struct Answers {
    of: Rc<Vec<Session>>,
    answers: BTreeMap<(String, String), Option<Bytes>>,
}

impl DirectoryApi {
    pub fn new(cell: Rc<ControlServer>) -> Self {
        Self {
            server: cell,
            told: RefCell::default(),
        }
    }
}

fn answer(status: StatusCode, body: &serde_json::Value) -> ClientResponse {
    raw(status, Bytes::from(body.to_string()))
}

fn raw(status: StatusCode, body: Bytes) -> ClientResponse {
    let mut answer = Response::new(Full::from(body));
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

fn fault(status: StatusCode, why: &str) -> ClientResponse {
    answer(status, &json!({"err": why}))
}

impl RequestHandler for OperatorApi {
    const WANTS_RECEIPTS: bool = true;

    async fn answer(
        &self,
        request: Request<Incoming>,
        arrived: Instant,
        _: bool,
    ) -> ClientResponse {
        let path = request.uri().path().to_string();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/-/Config.Read") => self.read().await,
            (&Method::GET, "/-/Status") => self.status(),
            (&Method::GET, "/-/metrics") => {
                data_plane::metrics::metrics_response(crate::metrics::text(&self.server))
            }
            (&Method::POST, "/-/Config.Replace") => self.config(request, false).await,
            (&Method::POST, "/-/Config.Amend") => self.config(request, true).await,
            (&Method::POST, path) => {
                let begin = path.strip_prefix("/-/Drain.Begin/");
                let Some(zone) = begin.or_else(|| path.strip_prefix("/-/Drain.Finish/")) else {
                    return fault(StatusCode::NOT_FOUND, "no such call");
                };
                if !self.server.settings.zone_map.contains_key(zone) {
                    return fault(StatusCode::NOT_FOUND, &format!("no zone `{zone}`"));
                }
                let (zone, begin) = (zone.to_string(), begin.is_some());
                self.drain(&request, &zone, begin, arrived).await
            }
            _ => fault(StatusCode::NOT_FOUND, "no such call"),
        }
    }
}

impl OperatorApi {
    /// Evacuates a zone, or returns it. The connection is closed behind the acknowledgement, so that it shows
    /// whether the caller has read it.
    async fn drain(
        &self,
        request: &Request<Incoming>,
        zone: &str,
        begin: bool,
        arrived: Instant,
    ) -> ClientResponse {
        let receipts = request.extensions().get::<DeliveryReceipts>().cloned();
        let mut acknowledgement = match self
            .server
            .submit_zone_command(zone, begin, COMMAND_TIMEOUT)
            .await
        {
            Ok(acknowledgement) => acknowledgement,
            Err(unclear) => return self.outcome(request.uri().path(), Err(unclear)),
        };
        acknowledgement.mark_sent();
        if let Some(receipts) = receipts {
            let until = arrived + CALLER_WAIT;
            tokio::task::spawn_local(settle(acknowledgement, receipts, until));
        }
        let evacuations = self.server.replicated_state().evacuations(zone);
        let body = json!({"zone": zone, "evacuations": evacuations});
        let mut answer = answer(StatusCode::OK, &body);
        answer
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
        answer
    }

    async fn read(&self) -> ClientResponse {
        if !self.server.control_node.has_disk {
            return self.outcome("/-/Config.Read", Err(self.server.redirect_target().await));
        }
        if !self.server.wait_until_current(COMMAND_TIMEOUT).await {
            return fault(
                StatusCode::SERVICE_UNAVAILABLE,
                "no majority of the control balancers",
            );
        }
        let agreed = self.server.replicated_state();
        if agreed.revision == 0 {
            return fault(StatusCode::NOT_FOUND, "no configuration yet");
        }
        raw(
            StatusCode::OK,
            Bytes::copy_from_slice(agreed.config.as_bytes()),
        )
    }

    fn status(&self) -> ClientResponse {
        let LogStatus {
            own: core,
            members,
            report,
        } = self.server.log_status();
        let agreed = self.server.replicated_state();
        let session = |s: &Session| {
            json!({"node": s.balancer.node, "zone": s.balancer.zone, "http": s.balancer.http_addr,
                "ready": s.ready, "leaving": s.draining})
        };
        let keys = |(service, slices): (&String, &KeyRangeMap)| {
            let (mut held, mut leaving) = (BTreeMap::<&str, u32>::new(), 0);
            for (_, slice) in slices.iter() {
                match &slice.ownership {
                    Ownership::Assigned(holder, _) => *held.entry(&holder.id).or_default() += 1,
                    Ownership::Releasing(_) | Ownership::Unowned => leaving += 1,
                }
            }
            let all = slices.iter().count();
            (
                service.clone(),
                json!({"slices": all, "leaving": leaving, "held": held}),
            )
        };
        let sessions: Vec<_> = self.server.all_sessions().iter().map(session).collect();
        let member = |m: &MemberReport| {
            json!({"address": m.address, "id": format!("{:016x}", m.id), "voter": m.voter,
                "in_contact": m.in_contact, "silence_ms": m.silence_ms, "behind": m.entries_behind})
        };
        let reported = report
            .as_ref()
            .map(|r| r.members.iter().map(member).collect::<Vec<_>>());
        answer(
            StatusCode::OK,
            &json!({"node": self.server.settings.node, "id": format!("{:016x}", core.id),
                "role": core.role.to_string(), "term": core.term,
                "leader": self.server.leader_address(), "in_contact": self.server.has_quorum_contact(),
                "contact_age_ms": self.server.quorum_contact_age().map(|age| age.as_millis() as u64),
                "commit": core.commit_index, "last": core.last_log_index,
                "voters": members.voters.values().collect::<Vec<_>>(),
                "learners": members.learners.values().collect::<Vec<_>>(),
                "members": reported, "losses_borne": report.map(|r| r.tolerable_losses),
                "rev": agreed.revision, "balancers": sessions,
                "evacuated": agreed.evacuated().collect::<BTreeMap<_, _>>(),
                "keys": agreed.keys.iter().map(keys).collect::<BTreeMap<_, _>>()}),
        )
    }

    async fn config(&self, request: Request<Incoming>, amend: bool) -> ClientResponse {
        let path = request.uri().path().to_string();
        let base = request
            .headers()
            .get(BASE_VERSION_HEADER)
            .and_then(|v| v.to_str().ok());
        let Some(base) = base.and_then(|v| v.trim().parse::<u64>().ok()) else {
            return fault(
                StatusCode::BAD_REQUEST,
                "Base-Version: expected a whole number",
            );
        };
        let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect();
        let body = match timeout(BODY_READ_TIMEOUT, body).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
                return fault(
                    StatusCode::PAYLOAD_TOO_LARGE,
                    "the configuration is too large",
                );
            }
            Ok(Err(_)) => return fault(StatusCode::BAD_REQUEST, "the body was cut short"),
            Err(_) => return fault(StatusCode::REQUEST_TIMEOUT, "the body took too long"),
        };
        let Ok(body) = String::from_utf8(body.into()) else {
            return fault(StatusCode::BAD_REQUEST, "the body is not UTF-8");
        };
        let command = if amend {
            Command::Amend { base, body }
        } else {
            Command::Replace { base, body }
        };
        let verdict = self.server.submit_command(&command, COMMAND_TIMEOUT).await;
        self.outcome(&path, verdict)
    }

    fn outcome(
        &self,
        path: &str,
        verdict: Result<CommandOutcome, Indeterminate>,
    ) -> ClientResponse {
        match verdict {
            Ok(CommandOutcome::Applied | CommandOutcome::AlreadyApplied) => {
                let rev = self.server.replicated_state().revision;
                answer(StatusCode::OK, &json!({"rev": rev}))
            }
            Ok(CommandOutcome::RevisionMismatch { current }) => fault(
                StatusCode::PRECONDITION_FAILED,
                &format!("version {current} is in place"),
            ),
            Ok(CommandOutcome::Invalid(why)) => fault(StatusCode::BAD_REQUEST, &why),
            Err(Indeterminate::NotLeader(Some(leader))) => {
                let port = self.server.settings.listen.ctl.map_or(0, |at| at.port());
                let at = SocketAddr::new(leader.ip(), port);
                let mut answer = fault(StatusCode::TEMPORARY_REDIRECT, "another one leads");
                if let Ok(location) = HeaderValue::from_str(&format!("http://{at}{path}")) {
                    answer.headers_mut().insert(LOCATION, location);
                }
                answer
            }
            Ok(CommandOutcome::Expired) => fault(
                StatusCode::SERVICE_UNAVAILABLE,
                "too old to tell whether it was taken; see `/-/Config.Read`",
            ),
            Ok(CommandOutcome::Conflict)
            | Err(Indeterminate::NotLeader(None) | Indeterminate::NoMajority) => fault(
                StatusCode::SERVICE_UNAVAILABLE,
                "no majority of the control balancers",
            ),
        }
    }
}

/// Notes what the end of its connection tells of an acknowledgement: a caller that has read it closes at once, and
/// one that has not stays until it gives up.
async fn settle(acknowledgement: Acknowledgement, mut receipts: DeliveryReceipts, until: Instant) {
    match timeout_at(until, receipts.next()).await {
        Ok(DeliveryStatus::Delivered) => acknowledgement.confirm().await,
        Ok(DeliveryStatus::Broken) => acknowledgement.mark_connection_broken().await,
        Ok(DeliveryStatus::Unknown) | Err(_) => {}
    }
}

impl RequestHandler for DirectoryApi {
    async fn answer(&self, request: Request<Incoming>, _: Instant, _: bool) -> ClientResponse {
        if request.method() != Method::GET || request.uri().path() != "/-/resolve" {
            return empty_response(StatusCode::NOT_FOUND);
        }
        let query = request.uri().query().unwrap_or_default();
        let field = |name: &str| {
            query
                .split('&')
                .filter_map(|p| p.split_once('='))
                .find(|(n, _)| *n == name)
                .map(|p| p.1)
        };
        let (zone, region) = (field("zone").unwrap_or(""), field("region").unwrap_or(""));
        // This process may have stood still: those who were heard of too long ago are not named.
        self.server.expire_silent_peers();
        let members = self.server.all_sessions();
        let mut told = self.told.borrow_mut();
        // Failure: with the whole fleet walked and written out for each client, look-ups took over a second.
        if !Rc::ptr_eq(&told.of, &members) || told.answers.len() > ANSWERS {
            *told = Answers {
                of: members.clone(),
                answers: BTreeMap::new(),
            };
        }
        let key = (zone.to_string(), region.to_string());
        let body = told.answers.entry(key).or_insert_with(|| {
            let addresses = nearest(&members, zone, region);
            let bounds = &self.server.settings.bounds;
            let ttl = (bounds.grace_s * TTL_OF_GRACE)
                .min(bounds.ttl_max_s)
                .max(0.5);
            let body = json!({"addrs": addresses, "ttl_s": ttl}).to_string();
            (!addresses.is_empty()).then(|| Bytes::from(body))
        });
        match body {
            Some(body) => raw(StatusCode::OK, body.clone()),
            None => {
                data_plane::headers::retry_later(StatusCode::SERVICE_UNAVAILABLE, Span(1_000_000))
            }
        }
    }
}

/// The balancers that a client is sent to: those of its zone, of its region if these are too few, all if
/// there are none.
fn nearest(members: &[Session], zone: &str, region: &str) -> Vec<SocketAddr> {
    let open: Vec<&Session> = members.iter().filter(|s| s.ready && !s.draining).collect();
    let pick = |near: &dyn Fn(&Session) -> bool| -> Vec<SocketAddr> {
        let near = open
            .iter()
            .filter(|s| near(s))
            .map(|s| s.balancer.http_addr);
        near.take(ADDRESSES).collect()
    };
    let own = pick(&|s| s.balancer.zone == zone);
    if own.len() >= ENOUGH {
        return own;
    }
    let regional = pick(&|s| s.balancer.region == region);
    if !regional.is_empty() {
        return regional;
    }
    pick(&|_| true)
}

#[cfg(test)]
mod tests {
    use protocol::wire::Balancer;

    use super::*;

    fn session(port: u16, zone: &str, region: &str, ready: bool, leaving: bool) -> Session {
        let http = SocketAddr::from(([127, 0, 0, 1], port));
        let (zone, region) = (zone.to_string(), region.to_string());
        let balancer = Balancer {
            node: format!("n{port}"),
            zone,
            region,
            http_addr: http,
        };
        Session {
            balancer,
            ready,
            draining: leaving,
        }
    }

    #[test]
    fn clients_are_sent_near_and_never_to_one_that_leaves() {
        let members = [
            session(1, "a", "r", true, false),
            session(2, "a", "r", true, false),
            session(3, "b", "r", true, false),
            session(4, "b", "r", true, true),
            session(5, "c", "q", false, false),
        ];
        let ports = |zone, region| -> Vec<u16> {
            nearest(&members, zone, region)
                .iter()
                .map(SocketAddr::port)
                .collect()
        };
        assert_eq!(ports("a", "r"), [1, 2]);
        assert_eq!(ports("b", "r"), [1, 2, 3], "one alone is too few");
        assert_eq!(ports("c", "q"), [1, 2, 3], "none there is ready");
    }
}
