//! The directory (`dir`), in which clients look up the addresses of balancers that are ready.
//!
//! | call | answer |
//! | --- | --- |
//! | `GET /-/resolve?zone=Z&region=R` | 200 `{"addrs": [..], "ttl_s": seconds}`, at most 64 addresses: those in the zone; if there are fewer than two, those in the region; if there are none, all |
//! | the same call, while no balancer is ready | 503 with `Retry-After` |
//! | anything else | 404, no body |
//!
//! **State.** A cache of answers by zone and region, valid while the sessions are unchanged. Nothing is stored or
//! replicated: every control process answers from the sessions that it knows, even if it is out of contact with the
//! others.
//!
//! **Failures.** The balancers of a peer that is silent for too long are no longer listed. If no balancer is left,
//! clients keep using the addresses that they have.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use data_plane::headers::{ClientResponse, empty_response, retry_later};
use data_plane::listener::RequestHandler;
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use load_balancing::interface::Span;
use protocol::wire::Session;
use serde_json::json;
use tokio::time::Instant;

use super::responses::raw_json_response;
use crate::server::ControlServer;

/// The TTL of an answer as a fraction of `grace_s`. Some clients refresh only after three times the TTL, and all of
/// them have to learn of a draining balancer within `grace_s`.
const TTL_PER_GRACE: f64 = 1.0 / 3.0;
/// The lower bound of the TTL of an answer.
const MIN_TTL_S: f64 = 0.5;
/// The maximum number of addresses in an answer.
const MAX_ADDRESSES: usize = 64;
/// The cache is cleared when it has more entries than this, which is more than the zones and regions of any deployment.
const MAX_CACHED_ANSWERS: usize = 1000;
/// If the client's zone has fewer balancers than this, those of its region are listed too, so that the client has an
/// alternative when one fails.
const MIN_ZONE_BALANCERS: usize = 2;
/// The `Retry-After` for clients when no balancer is ready: 1 s.
const RETRY_AFTER: Span = Span(1_000_000);

/// Answers the clients' look-ups.
pub struct DirectoryApi {
    server: Rc<ControlServer>,
    cache: RefCell<AnswerCache>,
}

/// Cached answers by zone and region, valid for one list of sessions.
#[derive(Default)]
struct AnswerCache {
    /// The sessions that the answers were built from.
    sessions: Rc<Vec<Session>>,
    /// Encoded bodies; `None` if no balancer is ready.
    answers: BTreeMap<(String, String), Option<Bytes>>,
}

impl DirectoryApi {
    /// Creates a directory that answers from this process's sessions.
    pub fn new(server: Rc<ControlServer>) -> Self {
        Self {
            server,
            cache: RefCell::default(),
        }
    }

    /// Returns the body of an answer, or `None` if no balancer is ready.
    fn resolve(&self, zone: &str, region: &str) -> Option<Bytes> {
        // This process may have been suspended, in which case balancers may be listed that have been silent for too
        // long.
        self.server.expire_silent_peers();
        let sessions = self.server.all_sessions();
        let mut cache = self.cache.borrow_mut();
        // Look-ups took over a second when each one iterated over the whole fleet and encoded the answer anew.
        if !Rc::ptr_eq(&cache.sessions, &sessions) || cache.answers.len() > MAX_CACHED_ANSWERS {
            *cache = AnswerCache {
                sessions: sessions.clone(),
                answers: BTreeMap::new(),
            };
        }
        let key = (zone.to_string(), region.to_string());
        let body = cache.answers.entry(key).or_insert_with(|| {
            let addresses = nearest_balancers(&sessions, zone, region);
            let bounds = &self.server.settings.bounds;
            let ttl = (bounds.grace_s * TTL_PER_GRACE)
                .min(bounds.ttl_max_s)
                .max(MIN_TTL_S);
            let body = json!({"addrs": addresses, "ttl_s": ttl}).to_string();
            (!addresses.is_empty()).then(|| Bytes::from(body))
        });
        body.clone()
    }
}

impl RequestHandler for DirectoryApi {
    async fn handle_request(
        &self,
        request: Request<Incoming>,
        _: Instant,
        _: bool,
    ) -> ClientResponse {
        if request.method() != Method::GET || request.uri().path() != "/-/resolve" {
            return empty_response(StatusCode::NOT_FOUND);
        }
        let query = request.uri().query().unwrap_or_default();
        let zone = query_field(query, "zone").unwrap_or("");
        let region = query_field(query, "region").unwrap_or("");
        match self.resolve(zone, region) {
            Some(body) => raw_json_response(StatusCode::OK, body),
            None => retry_later(StatusCode::SERVICE_UNAVAILABLE, RETRY_AFTER),
        }
    }
}

/// Returns the value of the first field of this name in a query string.
fn query_field<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(field, _)| *field == name)
        .map(|(_, value)| value)
}

/// Returns the addresses of the balancers for a client: those in its zone; if these are too few, those in its region;
/// if there are none, all. Only balancers that are ready and not draining are included.
fn nearest_balancers(sessions: &[Session], zone: &str, region: &str) -> Vec<SocketAddr> {
    let ready: Vec<&Session> = sessions.iter().filter(|s| s.ready && !s.draining).collect();
    let select = |is_near: &dyn Fn(&Session) -> bool| -> Vec<SocketAddr> {
        let near = ready.iter().filter(|s| is_near(s));
        near.map(|s| s.balancer.http_addr)
            .take(MAX_ADDRESSES)
            .collect()
    };
    let in_zone = select(&|s| s.balancer.zone == zone);
    if in_zone.len() >= MIN_ZONE_BALANCERS {
        return in_zone;
    }
    let in_region = select(&|s| s.balancer.region == region);
    if !in_region.is_empty() {
        return in_region;
    }
    select(&|_| true)
}

#[cfg(test)]
mod tests;
