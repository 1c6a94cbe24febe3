//! What is asked of a control balancer over HTTP: operators' orders on `ctl`, clients' directory on `dir`.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use data_plane::front::{Gate, Receipt, Receipts};
use data_plane::heads::{Answer, bare};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderName, HeaderValue, LOCATION};
use hyper::{Method, Request, Response, StatusCode};
use load_balancing::interface::Span;
use protocol::keys::{Owned, Slices};
use protocol::wire::{LONGEST, Session};
use raft::MemberReport;
use serde_json::json;
use tokio::time::{Instant, timeout, timeout_at};

use crate::cell::{Acknowledgement, Cell, LISTENS, LogStatus, Unclear};
use crate::configuration::{Command, Verdict};

/// The version that an order builds on.
pub const BASE: HeaderName = HeaderName::from_static("base-version");
/// A caller moves on after a second of silence: an order that has no majority by then is unclear.
const ORDER: Duration = Duration::from_millis(950);
/// A large configuration may take so long to come.
const BODY: Duration = Duration::from_millis(10_000);
/// The largest configuration: a frame has to carry it, and a log entry.
const BODY_LIMIT: usize = LONGEST / 2;
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
pub struct Operators {
    pub cell: Rc<Cell>,
}

/// Clients' directory.
pub struct Directory {
    cell: Rc<Cell>,
    told: RefCell<Answers>,
}

/// What clients were told by zone and region, for as long as the balancers are the same.
#[derive(Default)]
struct Answers {
    of: Rc<Vec<Session>>,
    answers: BTreeMap<(String, String), Option<Bytes>>,
}

impl Directory {
    pub fn new(cell: Rc<Cell>) -> Self {
        Self { cell, told: RefCell::default() }
    }
}

fn answer(status: StatusCode, body: &serde_json::Value) -> Answer {
    raw(status, Bytes::from(body.to_string()))
}

fn raw(status: StatusCode, body: Bytes) -> Answer {
    let mut answer = Response::new(Full::from(body));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

fn fault(status: StatusCode, why: &str) -> Answer {
    answer(status, &json!({"err": why}))
}

impl Gate for Operators {
    const WANTS_RECEIPTS: bool = true;

    async fn answer(&self, request: Request<Incoming>, arrived: Instant, _: bool) -> Answer {
        let path = request.uri().path().to_string();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/-/Config.Read") => self.read().await,
            (&Method::GET, "/-/Status") => self.status(),
            (&Method::GET, "/-/metrics") => {
                data_plane::metrics::answer(crate::metrics::text(&self.cell))
            }
            (&Method::POST, "/-/Config.Replace") => self.config(request, false).await,
            (&Method::POST, "/-/Config.Amend") => self.config(request, true).await,
            (&Method::POST, path) => {
                let begin = path.strip_prefix("/-/Drain.Begin/");
                let Some(zone) = begin.or_else(|| path.strip_prefix("/-/Drain.Finish/")) else {
                    return fault(StatusCode::NOT_FOUND, "no such call");
                };
                if !self.cell.settings.zone_map.contains_key(zone) {
                    return fault(StatusCode::NOT_FOUND, &format!("no zone `{zone}`"));
                }
                let (zone, begin) = (zone.to_string(), begin.is_some());
                self.drain(&request, &zone, begin, arrived).await
            }
            _ => fault(StatusCode::NOT_FOUND, "no such call"),
        }
    }
}

impl Operators {
    /// Evacuates a zone, or returns it. The connection is closed behind the acknowledgement, so that it shows
    /// whether the caller has read it.
    async fn drain(
        &self,
        request: &Request<Incoming>,
        zone: &str,
        begin: bool,
        arrived: Instant,
    ) -> Answer {
        let receipts = request.extensions().get::<Receipts>().cloned();
        let mut acknowledgement = match self.cell.drain(zone, begin, ORDER).await {
            Ok(acknowledgement) => acknowledgement,
            Err(unclear) => return self.outcome(request.uri().path(), Err(unclear)),
        };
        acknowledgement.written();
        if let Some(receipts) = receipts {
            let until = arrived + LISTENS;
            tokio::task::spawn_local(settle(acknowledgement, receipts, until));
        }
        let evacuations = self.cell.agreed().evacuations(zone);
        let body = json!({"zone": zone, "evacuations": evacuations});
        let mut answer = answer(StatusCode::OK, &body);
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        answer
    }

    async fn read(&self) -> Answer {
        if !self.cell.me.disk {
            return self.outcome("/-/Config.Read", Err(self.cell.elsewhere().await));
        }
        if !self.cell.catch_up(ORDER).await {
            return fault(StatusCode::SERVICE_UNAVAILABLE, "no majority of the control balancers");
        }
        let agreed = self.cell.agreed();
        if agreed.rev == 0 {
            return fault(StatusCode::NOT_FOUND, "no configuration yet");
        }
        raw(StatusCode::OK, Bytes::copy_from_slice(agreed.config.as_bytes()))
    }

    fn status(&self) -> Answer {
        let LogStatus { own: core, members, report } = self.cell.status();
        let agreed = self.cell.agreed();
        let session = |s: &Session| {
            json!({"node": s.balancer.node, "zone": s.balancer.zone, "http": s.balancer.http,
                "ready": s.ready, "leaving": s.leaving})
        };
        let keys = |(service, slices): (&String, &Slices)| {
            let (mut held, mut leaving) = (BTreeMap::<&str, u32>::new(), 0);
            for (_, slice) in slices.all() {
                match &slice.owned {
                    Owned::By(holder, _) => *held.entry(&holder.id).or_default() += 1,
                    Owned::Leaving(_) | Owned::Free => leaving += 1,
                }
            }
            let all = slices.all().count();
            (service.clone(), json!({"slices": all, "leaving": leaving, "held": held}))
        };
        let sessions: Vec<_> = self.cell.members().iter().map(session).collect();
        let member = |m: &MemberReport| {
            json!({"address": m.address, "id": format!("{:016x}", m.id), "voter": m.voter,
                "in_contact": m.in_contact, "silence_ms": m.silence, "behind": m.behind})
        };
        let reported = report.as_ref().map(|r| r.members.iter().map(member).collect::<Vec<_>>());
        answer(
            StatusCode::OK,
            &json!({"node": self.cell.settings.node, "id": format!("{:016x}", core.id),
                "role": format!("{:?}", core.role).to_lowercase(), "term": core.term,
                "leader": self.cell.leader(), "in_contact": self.cell.in_contact(),
                "contact_age_ms": self.cell.contact_age().map(|age| age.as_millis() as u64),
                "commit": core.commit, "last": core.last,
                "voters": members.voters.values().collect::<Vec<_>>(),
                "learners": members.learners.values().collect::<Vec<_>>(),
                "members": reported, "losses_borne": report.map(|r| r.margin),
                "rev": agreed.rev, "balancers": sessions,
                "evacuated": agreed.evacuated().collect::<BTreeMap<_, _>>(),
                "keys": agreed.keys.iter().map(keys).collect::<BTreeMap<_, _>>()}),
        )
    }

    async fn config(&self, request: Request<Incoming>, amend: bool) -> Answer {
        let path = request.uri().path().to_string();
        let base = request.headers().get(BASE).and_then(|v| v.to_str().ok());
        let Some(base) = base.and_then(|v| v.trim().parse::<u64>().ok()) else {
            return fault(StatusCode::BAD_REQUEST, "Base-Version: expected a whole number");
        };
        let body = Limited::new(request.into_body(), BODY_LIMIT).collect();
        let body = match timeout(BODY, body).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
                return fault(StatusCode::PAYLOAD_TOO_LARGE, "the configuration is too large");
            }
            Ok(Err(_)) => return fault(StatusCode::BAD_REQUEST, "the body was cut short"),
            Err(_) => return fault(StatusCode::REQUEST_TIMEOUT, "the body took too long"),
        };
        let Ok(body) = String::from_utf8(body.into()) else {
            return fault(StatusCode::BAD_REQUEST, "the body is not UTF-8");
        };
        let command =
            if amend { Command::Amend { base, body } } else { Command::Replace { base, body } };
        let verdict = self.cell.order(&command, ORDER).await;
        self.outcome(&path, verdict)
    }

    fn outcome(&self, path: &str, verdict: Result<Verdict, Unclear>) -> Answer {
        match verdict {
            Ok(Verdict::Taken | Verdict::AlreadyTaken) => {
                let rev = self.cell.agreed().rev;
                answer(StatusCode::OK, &json!({"rev": rev}))
            }
            Ok(Verdict::Stale { current }) => {
                fault(StatusCode::PRECONDITION_FAILED, &format!("version {current} is in place"))
            }
            Ok(Verdict::Invalid(why)) => fault(StatusCode::BAD_REQUEST, &why),
            Err(Unclear::NotLeader(Some(leader))) => {
                let port = self.cell.settings.listen.ctl.map_or(0, |at| at.port());
                let at = SocketAddr::new(leader.ip(), port);
                let mut answer = fault(StatusCode::TEMPORARY_REDIRECT, "another one leads");
                if let Ok(location) = HeaderValue::from_str(&format!("http://{at}{path}")) {
                    answer.headers_mut().insert(LOCATION, location);
                }
                answer
            }
            Ok(Verdict::Forgotten) => fault(
                StatusCode::SERVICE_UNAVAILABLE,
                "too old to tell whether it was taken; see `/-/Config.Read`",
            ),
            Ok(Verdict::Raced) | Err(Unclear::NotLeader(None) | Unclear::NoMajority) => {
                fault(StatusCode::SERVICE_UNAVAILABLE, "no majority of the control balancers")
            }
        }
    }
}

/// Notes what the end of its connection tells of an acknowledgement: a caller that has read it closes at once, and
/// one that has not stays until it gives up.
async fn settle(acknowledgement: Acknowledgement, mut receipts: Receipts, until: Instant) {
    match timeout_at(until, receipts.next()).await {
        Ok(Receipt::Read) => acknowledgement.heard().await,
        Ok(Receipt::Broken) => acknowledgement.broken().await,
        Ok(Receipt::Unknown) | Err(_) => {}
    }
}

impl Gate for Directory {
    async fn answer(&self, request: Request<Incoming>, _: Instant, _: bool) -> Answer {
        if request.method() != Method::GET || request.uri().path() != "/-/resolve" {
            return bare(StatusCode::NOT_FOUND);
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
        self.cell.forget_lapsed();
        let members = self.cell.members();
        let mut told = self.told.borrow_mut();
        // Failure: with the whole fleet walked and written out for each client, look-ups took over a second.
        if !Rc::ptr_eq(&told.of, &members) || told.answers.len() > ANSWERS {
            *told = Answers { of: members.clone(), answers: BTreeMap::new() };
        }
        let key = (zone.to_string(), region.to_string());
        let body = told.answers.entry(key).or_insert_with(|| {
            let addresses = nearest(&members, zone, region);
            let bounds = &self.cell.settings.bounds;
            let ttl = (bounds.grace_s * TTL_OF_GRACE).min(bounds.ttl_max_s).max(0.5);
            let body = json!({"addrs": addresses, "ttl_s": ttl}).to_string();
            (!addresses.is_empty()).then(|| Bytes::from(body))
        });
        match body {
            Some(body) => raw(StatusCode::OK, body.clone()),
            None => data_plane::heads::refusal(StatusCode::SERVICE_UNAVAILABLE, Span(1_000_000)),
        }
    }
}

/// The balancers that a client is sent to: those of its zone, of its region if these are too few, all if
/// there are none.
fn nearest(members: &[Session], zone: &str, region: &str) -> Vec<SocketAddr> {
    let open: Vec<&Session> = members.iter().filter(|s| s.ready && !s.leaving).collect();
    let pick = |near: &dyn Fn(&Session) -> bool| -> Vec<SocketAddr> {
        let near = open.iter().filter(|s| near(s)).map(|s| s.balancer.http);
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
        let balancer = Balancer { node: format!("n{port}"), zone, region, http };
        Session { balancer, ready, leaving }
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
            nearest(&members, zone, region).iter().map(SocketAddr::port).collect()
        };
        assert_eq!(ports("a", "r"), [1, 2]);
        assert_eq!(ports("b", "r"), [1, 2, 3], "one alone is too few");
        assert_eq!(ports("c", "q"), [1, 2, 3], "none there is ready");
    }
}
