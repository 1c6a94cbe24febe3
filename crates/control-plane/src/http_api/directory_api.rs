//! The directory (`dir`): tells clients the addresses of balancers that are ready.
//!
//! | call | answer |
//! | --- | --- |
//! | `GET /-/resolve?zone=Z&region=R` | 200 `{"addrs": [..], "ttl_s": seconds}`, at most 64 addresses: those of the zone; with fewer than two there, those of the region; with none there, all |
//! | the same, while no balancer is ready | 503 with `Retry-After` |
//! | anything else | 404, no body |
//!
//! **State.** Answers by zone and region, kept while the sessions are the same. Nothing of it is stored or replicated:
//! any control process answers, also one that is out of contact with the others, with the sessions it knows of. When
//! a peer is silent for too long, its balancers are not named any more; when all are, so is nobody, and clients go on
//! with the addresses they have.

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

/// Part of `grace_s` that an answer may be used for. Some clients ask three times as late as they are told, and a
/// balancer that drains has `grace_s` for all of them to hear of it.
const TTL_PER_GRACE: f64 = 1.0 / 3.0;
/// An answer is used for so long at least.
const MIN_TTL_S: f64 = 0.5;
/// Addresses in an answer at most.
const MAX_ADDRESSES: usize = 64;
/// Zones and regions that answers are kept for: more than any site has.
const MAX_CACHED_ANSWERS: usize = 1000;
/// With fewer balancers than this in the client's own zone, those of its region are named too: one loss must leave it
/// somewhere to go.
const MIN_ZONE_BALANCERS: usize = 2;
/// A client without an answer asks again after this.
const RETRY_AFTER: Span = Span(1_000_000);

/// Answers clients.
pub struct DirectoryApi {
    server: Rc<ControlServer>,
    cache: RefCell<AnswerCache>,
}

/// Answers by zone and region, for as long as the sessions are the same.
#[derive(Default)]
struct AnswerCache {
    sessions: Rc<Vec<Session>>,
    /// `None` where no balancer is ready.
    answers: BTreeMap<(String, String), Option<Bytes>>,
}

impl DirectoryApi {
    /// The directory of what this process knows.
    pub fn new(server: Rc<ControlServer>) -> Self {
        Self {
            server,
            cache: RefCell::default(),
        }
    }

    /// The body of an answer, or `None` where no balancer is ready.
    fn resolve(&self, zone: &str, region: &str) -> Option<Bytes> {
        // This process may have stood still: balancers that were last heard of too long ago are not named.
        self.server.expire_silent_peers();
        let sessions = self.server.all_sessions();
        let mut cache = self.cache.borrow_mut();
        // With the whole fleet walked and written out for each client, look-ups took over a second.
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

fn query_field<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(field, _)| *field == name)
        .map(|(_, value)| value)
}

/// The balancers that a client is sent to: those of its zone, of its region if these are too few, all if
/// there are none. Only those that are ready and do not drain.
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
