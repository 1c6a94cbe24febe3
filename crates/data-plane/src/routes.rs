//! What a request is: the route by host and longest prefix, its service and class; and the answer it gets.
//! Holds what the control plane told last (`following`), and tells the engine of it (`configuring`, `listing`).

mod configuring;
mod following;
mod listing;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use load_balancing::interface::{self as d, MembershipKind, Span};
use protocol::config::{Config, RequestKind, RequestLimits, Route};
use protocol::key_load::{BucketLoad, KeyLoadReport, LOAD_UNIT_MS};
use protocol::key_ranges::KeyRangeView;
use protocol::settings::{Bounds, Settings};
use protocol::upstream_list::{UpdateOutcome, Upstream, UpstreamList};
use protocol::wire::{FleetView, Indexed, WatchRequest, WatchUpdate};
use rustc_hash::FxHashMap;
use tokio::time::{Instant, timeout_at};

use crate::body::BodyBudget;
use crate::change_notifier::{ChangeNotifier, ChangeWatcher};
use crate::control_client::UpdateHandler;
use crate::engine::{self, EngineEvent, EngineHandle, EngineReply, IncomingRequest};
use crate::headers::{
    ClientResponse, bad_request, empty_response, forward_request_headers, forward_response,
    retry_later,
};
use crate::listener::RequestHandler;
use crate::metrics::{Metrics, RequestOutcome, RouteMetrics as Counted};
use crate::upstream_pool::ForwardedRequest;

/// Bodies that are read or held may take this part of the memory together.
const BODIES_OF_MEMORY: usize = 4;
/// The modules' housekeeping comes no more often than this: a fifth of a core has other work.
const TICK: Duration = Duration::from_millis(25);
/// A late answer keeps some worth: the rules say that it earns less, not how much less.
const LATE_WORTH: f64 = 0.3;
/// Who finds nobody to serve it yet comes again when news has had time to come.
const COME_AGAIN: Span = Span(500_000);
/// The start of a cold spell is told in whole pieces of news; moved by less than this it is the same one.
const SAME_START: Duration = Duration::from_millis(1000);

/// How much time clients have at first is known for so long: some tries of each.
const MEMORY: Duration = Duration::from_secs(30);
/// A client that has so much less, as a share of the route's target, has been refused or has waited elsewhere:
/// a connection takes less.
const LOST_OF_TARGET: u32 = 4;

/// No time of a route counts as longer. Failure: a clock to which a longer one is added may overflow.
const LONGEST_MS: u64 = 24 * 60 * 60 * 1000;

/// Headers that mean nothing when they come twice.
const ONCE: [&str; 4] = ["host", "content-length", "attempt-id", "deadline-ms"];
const DEADLINE: HeaderName = HeaderName::from_static("deadline-ms");
/// Of services whose upstreams divide their keys: the request's.
const SHARD: HeaderName = HeaderName::from_static("shard-key");
/// What an upstream says to the balancer only.
const INTERNAL: [HeaderName; 2] = [
    HeaderName::from_static("upstream-load"),
    HeaderName::from_static("not-run"),
];

/// A route in force.
struct Open {
    prefix: String,
    deadline: Duration,
    /// Its services by index, the class it is there, and the weight.
    parts: Vec<(usize, usize, u32)>,
    /// A client that has lost so much of its time came before.
    lost: Duration,
    longest: Longest,
    counted: Rc<Counted>,
}

/// The longest time that clients of a route say they have, of late: that of first tries.
#[derive(Default)]
struct Longest {
    /// In this span and the one before, and when this one began.
    seen: Cell<(Duration, Duration, Option<Instant>)>,
}

impl Longest {
    fn seen(&self, now: Instant, told: Duration) -> Duration {
        let (mut own, mut before, since) = self.seen.get();
        let since = since
            .filter(|since| now < *since + MEMORY)
            .unwrap_or_else(|| {
                (own, before) = (Duration::ZERO, own);
                now
            });
        own = own.max(told);
        self.seen.set((own, before, Some(since)));
        own.max(before)
    }
}

/// A service and the routes that are its classes; an index keeps its meaning for good.
struct Service {
    name: String,
    classes: Vec<d::RequestClass>,
    /// The class of each route that it ever had, by the route's name.
    class_of: FxHashMap<String, usize>,
    warmup: Duration,
    warmup_per_s: f64,
    /// Its upstreams divide its keys.
    sharded: bool,
}

impl Service {
    /// The index of a route's class, which is this one from now on.
    fn take_class(&mut self, route: &str, class: &d::RequestClass) -> usize {
        if let Some(&known) = self.class_of.get(route) {
            self.classes[known].clone_from(class);
            return known;
        }
        self.classes.push(class.clone());
        self.class_of
            .insert(route.to_string(), self.classes.len() - 1);
        self.classes.len() - 1
    }
}

#[derive(Default)]
struct Told {
    config_index: u64,
    limits: RequestLimits,
    evacuated_index: u64,
    evacuated: Vec<String>,
    keys_index: u64,
    /// Who holds which keys, by service.
    keys: BTreeMap<String, KeyRangeView>,
    zones: BTreeMap<String, UpstreamList>,
    /// Zones of which something was told that builds on what is not here.
    wanted: BTreeSet<String>,
    bank: Option<FleetView>,
}

/// The routes in force, and the gate of the clients' front.
pub struct Routes {
    engine: EngineHandle,
    zones: Vec<String>,
    regions: Vec<String>,
    zone: u32,
    region: String,
    bodies: BodyBudget,
    told: RefCell<Told>,
    services: RefCell<Vec<Service>>,
    by_host: RefCell<FxHashMap<String, Vec<Rc<Open>>>>,
    /// When an upstream started, as first told.
    started: RefCell<FxHashMap<String, SystemTime>>,
    /// Figures of the rules.
    bounds: Bounds,
    /// The services whose upstreams the engine was told of one by one.
    placed: RefCell<FxHashMap<String, usize>>,
    start: Instant,
    turn: Cell<u32>,
    leaving: Cell<bool>,
    version: ChangeNotifier,
    metrics: Metrics,
    /// Holds the front to the limits that clients have.
    limited: Box<dyn Fn(&RequestLimits)>,
}

impl Routes {
    pub fn new(
        settings: &Settings,
        engine: EngineHandle,
        limited: Box<dyn Fn(&RequestLimits)>,
    ) -> Rc<Self> {
        let zones: Vec<String> = settings.zone_map.keys().cloned().collect();
        let zone = zones.iter().position(|z| *z == settings.zone).unwrap_or(0) as u32;
        let metrics = Metrics::new(engine.abandoned_attempts());
        Rc::new(Self {
            engine,
            regions: settings.zone_map.values().cloned().collect(),
            zones,
            zone,
            region: settings.region.clone(),
            bodies: BodyBudget::new((settings.limits.mem_mb << 20) / BODIES_OF_MEMORY),
            told: RefCell::default(),
            services: RefCell::default(),
            by_host: RefCell::default(),
            started: RefCell::default(),
            bounds: settings.bounds.clone(),
            placed: RefCell::default(),
            start: Instant::now(),
            turn: Cell::new(0),
            leaving: Cell::new(false),
            version: ChangeNotifier::default(),
            metrics,
            limited,
        })
    }

    /// Whether it can serve: it knows the configuration and somewhere to send to.
    pub fn is_ready(&self) -> bool {
        !self.leaving.get() && self.told.borrow().config_index > 0 && self.engine.is_ready()
    }

    /// What was counted, as Prometheus reads it.
    pub fn metrics_text(&self) -> String {
        self.metrics
            .upstreams
            .set(self.placed.borrow().len() as i64);
        let bank = self.told.borrow().bank.map_or(0, |b| b.balancers);
        self.metrics.balancers.set(i64::from(bank));
        self.metrics.text()
    }

    /// It ends soon: clients are to be sent elsewhere.
    pub fn start_draining(&self) {
        self.leaving.set(true);
        self.changed();
    }

    fn changed(&self) {
        self.version.notify();
    }

    fn route(&self, host: &str, path: &str) -> Option<Rc<Open>> {
        let host = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|b| b.is_ascii_digit()) {
                name
            } else {
                host
            }
        });
        let by_host = self.by_host.borrow();
        let routes = match by_host.get(host) {
            Some(routes) => routes,
            None => by_host.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|r| path.starts_with(&r.prefix)).cloned()
    }

    /// Which of a route's services takes the next request: in turn, by weight, spread by the golden ratio.
    fn part(&self, route: &Open) -> Option<(usize, usize)> {
        let total: u64 = route.parts.iter().map(|p| u64::from(p.2)).sum();
        if total == 0 {
            return None;
        }
        let turn = self.turn.replace(self.turn.get().wrapping_add(0x9e37_79b9));
        // Weights may add up to more than one of them can be.
        let mut at = ((u128::from(turn) * u128::from(total)) >> 32) as u64;
        for (service, class, weight) in &route.parts {
            if at < u64::from(*weight) {
                return Some((*service, *class));
            }
            at -= u64::from(*weight);
        }
        None
    }

    async fn take(&self, request: Request<Incoming>, arrived: Instant) -> ClientResponse {
        let (head, body) = request.into_parts();
        if let Err(what) = framed(&head) {
            return bad_request(what);
        }
        if self.told.borrow().config_index == 0 {
            return retry_later(StatusCode::SERVICE_UNAVAILABLE, COME_AGAIN);
        }
        let host = head
            .headers
            .get(HOST)
            .and_then(|v| v.to_str().ok())
            .unwrap_or_default();
        let Some(route) = self.route(host, head.uri.path()) else {
            self.metrics.unrouted.inc();
            return empty_response(StatusCode::NOT_FOUND);
        };
        let (outcome, answer) = self.on_route(&route, head, body, arrived).await;
        route.counted.record_response(outcome, arrived);
        answer
    }

    /// What becomes of a request that has a route.
    async fn on_route(
        &self,
        route: &Open,
        head: Parts,
        body: Incoming,
        arrived: Instant,
    ) -> (RequestOutcome, ClientResponse) {
        let malformed = |what| (RequestOutcome::Malformed, bad_request(what));
        let bad = |status| (RequestOutcome::Malformed, empty_response(status));
        let refused = |after| {
            (
                RequestOutcome::Refused,
                retry_later(StatusCode::SERVICE_UNAVAILABLE, after),
            )
        };
        let (deadline, resent) = match head.headers.get(DEADLINE) {
            None => (route.deadline, false),
            Some(told) => {
                let ms = told
                    .to_str()
                    .ok()
                    .and_then(|v| v.trim().parse::<u64>().ok());
                let Some(ms) = ms.filter(|ms| *ms > 0) else {
                    return malformed("Deadline-Ms");
                };
                let deadline = route.deadline.min(Duration::from_millis(ms));
                (
                    deadline,
                    route.longest.seen(arrived, deadline) > deadline + route.lost,
                )
            }
        };
        let until = arrived + deadline;
        let most = self.told.borrow().limits.max_body_bytes;
        let length = body.size_hint().exact();
        if length.is_some_and(|l| l > most as u64) {
            return bad(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let Some(_room) = self.bodies.reserve(length.unwrap_or(0) as usize) else {
            return refused(COME_AGAIN);
        };
        let body = match timeout_at(until, Limited::new(body, most).collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => {
                return bad(StatusCode::PAYLOAD_TOO_LARGE);
            }
            Ok(Err(_)) => return malformed("body"),
            Err(_) => return bad(StatusCode::REQUEST_TIMEOUT),
        };
        let Some((service, class)) = self.part(route) else {
            return bad(StatusCode::NOT_FOUND);
        };
        let shard = head
            .headers
            .get(SHARD)
            .and_then(|v| v.to_str().ok()?.trim().parse().ok());
        let shard = shard.filter(|_| self.services.borrow()[service].sharded);
        let (key, cost_guess) = (None, None);
        let arrival = IncomingRequest {
            class,
            tenant: 0,
            key,
            shard,
            deadline: until,
            estimated_work: cost_guess,
            is_client_retry: resent,
        };
        let method = head.method.clone();
        let forward = ForwardedRequest {
            method: head.method,
            uri: head.uri,
            headers: forward_request_headers(head.headers, body.len()),
            body,
        };
        match self.engine.submit(service, arrival, forward).await {
            EngineReply::Served(response) => (RequestOutcome::Served, served(response, &method)),
            EngineReply::Rejected { retry_after } => refused(retry_after),
            EngineReply::Failed { timed_out: true } => (
                RequestOutcome::Failed,
                empty_response(StatusCode::GATEWAY_TIMEOUT),
            ),
            EngineReply::Failed { timed_out: false } => (
                RequestOutcome::Failed,
                empty_response(StatusCode::BAD_GATEWAY),
            ),
        }
    }
}

impl RequestHandler for Routes {
    async fn answer(
        &self,
        request: Request<Incoming>,
        arrived: Instant,
        _: bool,
    ) -> ClientResponse {
        // A length beside a coding is read by the coding; another reader may have gone by the length, and
        // what it took for the body must not be taken for a request here.
        let chunked = request.headers().contains_key(TRANSFER_ENCODING);
        let mut answer = self.take(request, arrived).await;
        if chunked || answer.status() == StatusCode::BAD_REQUEST {
            answer
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }
}

/// An upstream's answer as it goes to the client; one to HEAD keeps the length that it tells of.
fn served(response: Response<Bytes>, method: &Method) -> ClientResponse {
    let length = response
        .headers()
        .get(CONTENT_LENGTH)
        .filter(|_| method == Method::HEAD)
        .cloned();
    let mut answer = forward_response(response, &INTERNAL);
    if let Some(length) = length {
        answer.headers_mut().insert(CONTENT_LENGTH, length);
    }
    answer
}

/// Whether the request is framed and named such that nobody behind can read it in another way.
fn framed(head: &Parts) -> Result<(), &'static str> {
    if head.uri.authority().is_some() {
        return Err("target");
    }
    // A success to it has no end but the connection's (RFC 9110, 9.3.6), and would look whole when cut.
    if head.method == Method::CONNECT {
        return Err("method");
    }
    for name in ONCE {
        if head.headers.get_all(name).iter().nth(1).is_some() {
            return Err(name);
        }
    }
    if head.headers.contains_key(HOST) {
        Ok(())
    } else {
        Err("Host")
    }
}

#[cfg(test)]
mod tests;
