//! What a request is: the route by host and longest prefix, its service and class; and the answer it gets.
//! Holds what the control plane told last, and tells the engine of it.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use decisions::interface::{self as d, ListKind, Span};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderName, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use messages::config::{Config, Kind, Limits, Route};
use messages::keys::{Counts, Held, SPENT_MS};
use messages::settings::{Bounds, Settings};
use messages::wire::{Ask, Bank, News};
use messages::zones::{Taken, Upstream, ZoneList};
use rustc_hash::FxHashMap;
use tokio::time::{Instant, timeout_at};

use crate::bodies::Allowance;
use crate::changes::{Changes, Watcher};
use crate::engine::{self, Arrival, Handle, Note, Reply};
use crate::front::Gate;
use crate::heads::{Answer, bare, malformed, onward, passed_on, refusal};
use crate::metrics::{Counts as Counted, Metrics, Outcome};
use crate::upstreams::Forward;
use crate::watch::Follower;

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
const INTERNAL: [HeaderName; 2] =
    [HeaderName::from_static("upstream-load"), HeaderName::from_static("not-run")];

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
        let since = since.filter(|since| now < *since + MEMORY).unwrap_or_else(|| {
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
    classes: Vec<d::Class>,
    /// The class of each route that it ever had, by the route's name.
    class_of: FxHashMap<String, usize>,
    warmup: Duration,
    warmup_per_s: f64,
    /// Its upstreams divide its keys.
    sharded: bool,
}

impl Service {
    /// The index of a route's class, which is this one from now on.
    fn take_class(&mut self, route: &str, class: &d::Class) -> usize {
        if let Some(&known) = self.class_of.get(route) {
            self.classes[known].clone_from(class);
            return known;
        }
        self.classes.push(class.clone());
        self.class_of.insert(route.to_string(), self.classes.len() - 1);
        self.classes.len() - 1
    }
}

#[derive(Default)]
struct Told {
    config_index: u64,
    limits: Limits,
    evacuated_index: u64,
    evacuated: Vec<String>,
    keys_index: u64,
    /// Who holds which keys, by service.
    keys: BTreeMap<String, Held>,
    zones: BTreeMap<String, ZoneList>,
    /// Zones of which something was told that builds on what is not here.
    wanted: BTreeSet<String>,
    bank: Option<Bank>,
}

/// The routes in force, and the gate of the clients' front.
pub struct Routes {
    engine: Handle,
    zones: Vec<String>,
    regions: Vec<String>,
    zone: u32,
    region: String,
    bodies: Allowance,
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
    version: Changes,
    metrics: Metrics,
    /// Holds the front to the limits that clients have.
    limited: Box<dyn Fn(&Limits)>,
}

impl Routes {
    pub fn new(settings: &Settings, engine: Handle, limited: Box<dyn Fn(&Limits)>) -> Rc<Self> {
        let zones: Vec<String> = settings.zone_map.keys().cloned().collect();
        let zone = zones.iter().position(|z| *z == settings.zone).unwrap_or(0) as u32;
        let metrics = Metrics::new(engine.abandoned());
        Rc::new(Self {
            engine,
            regions: settings.zone_map.values().cloned().collect(),
            zones,
            zone,
            region: settings.region.clone(),
            bodies: Allowance::new((settings.limits.mem_mb << 20) / BODIES_OF_MEMORY),
            told: RefCell::default(),
            services: RefCell::default(),
            by_host: RefCell::default(),
            started: RefCell::default(),
            bounds: settings.bounds.clone(),
            placed: RefCell::default(),
            start: Instant::now(),
            turn: Cell::new(0),
            leaving: Cell::new(false),
            version: Changes::default(),
            metrics,
            limited,
        })
    }

    /// Whether it can serve: it knows the configuration and somewhere to send to.
    pub fn ready(&self) -> bool {
        !self.leaving.get() && self.told.borrow().config_index > 0 && self.engine.ready()
    }

    /// What was counted, as Prometheus reads it.
    pub fn counted(&self) -> String {
        self.metrics.upstreams.set(self.placed.borrow().len() as i64);
        let bank = self.told.borrow().bank.map_or(0, |b| b.balancers);
        self.metrics.balancers.set(i64::from(bank));
        self.metrics.text()
    }

    /// It ends soon: clients are to be sent elsewhere.
    pub fn leave(&self) {
        self.leaving.set(true);
        self.changed();
    }

    fn changed(&self) {
        self.version.note();
    }

    // ------------------------------------------------------------------ news

    fn configure(&self, index: u64, config: &Config) {
        tracing::info!(rev = config.rev, index, routes = config.routes.len(), "in force");
        {
            let mut services = self.services.borrow_mut();
            for s in &config.services {
                let warmup = Duration::from_secs_f64(s.warmup_s.clamp(0.0, 86_400.0));
                let (warmup_per_s, sharded) = (s.warmup_per_s, s.sharded);
                if let Some(known) = services.iter_mut().find(|k| k.name == s.name) {
                    (known.warmup, known.warmup_per_s) = (warmup, warmup_per_s);
                    known.sharded = sharded;
                    continue;
                }
                services.push(Service {
                    name: s.name.clone(),
                    classes: Vec::new(),
                    class_of: FxHashMap::default(),
                    warmup,
                    warmup_per_s,
                    sharded,
                });
            }
            let known = services.iter_mut().flat_map(|s| &mut s.classes);
            known.for_each(|class| class.retired = true);
            let mut by_host: FxHashMap<String, Vec<Rc<Open>>> = FxHashMap::default();
            for route in &config.routes {
                let class = self.class(route);
                let mut parts = Vec::new();
                for (name, weight) in route.parts() {
                    let Some(s) = services.iter().position(|s| s.name == name) else { continue };
                    parts.push((s, services[s].take_class(&route.name, &class), weight));
                }
                let deadline = Duration::from_millis(route.deadline_ms.min(LONGEST_MS));
                let lost = Duration::from_millis(route.target_ms) / LOST_OF_TARGET;
                let (prefix, longest) = (route.path_prefix.clone(), Longest::default());
                let counted = self.metrics.route(&route.name);
                let open = Open { prefix, deadline, parts, lost, longest, counted };
                by_host.entry(route.host.to_ascii_lowercase()).or_default().push(Rc::new(open));
            }
            for routes in by_host.values_mut() {
                routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
            }
            *self.by_host.borrow_mut() = by_host;
        }
        self.metrics.keep(config.routes.iter().map(|r| r.name.as_str()));
        self.metrics.version.set(i64::try_from(config.rev).unwrap_or(i64::MAX));
        let mut told = self.told.borrow_mut();
        (told.config_index, told.limits) = (index, config.limits);
        (self.limited)(&config.limits);
    }

    fn class(&self, route: &Route) -> d::Class {
        let ms = |ms: u64| Span(ms.min(LONGEST_MS) as i64 * 1000);
        let home = |r: &String| route.home_regions.contains(r);
        let zones = (!route.home_regions.is_empty()).then(|| {
            let homes = self.regions.iter().enumerate().filter(|(_, r)| home(r));
            homes.map(|(z, _)| z as u32).collect()
        });
        d::Class {
            worth: 1.0 / f64::from(1 + route.prio.min(1000)),
            late_worth: LATE_WORTH,
            effect: match route.kind {
                Kind::Idempotent => d::Effect::Safe,
                Kind::Mutating => d::Effect::Unsafe,
            },
            zones,
            attempts: Some(route.tries as usize),
            ..d::Class::safe(ms(route.target_ms), ms(route.deadline_ms))
        }
    }

    fn settings(&self, service: &Service, bank: Bank) -> d::Settings {
        let classes = service.classes.clone();
        let tries = classes.iter().filter_map(|c| c.attempts).max().unwrap_or(1);
        let longest = classes.iter().map(|c| c.deadline).max().unwrap_or(Span(0));
        let mut settings = d::Settings::basic(classes);
        settings.balancers = bank.balancers;
        settings.position = bank.position;
        settings.zones = self.zones.len() as u32;
        settings.zone = self.zone;
        let distance = |region: &String| i64::from(*region != self.region);
        settings.distance = self.regions.iter().map(|r| Span(distance(r))).collect();
        settings.tick = Span(TICK.as_micros() as i64);
        settings.limits.max_attempts = tries;
        settings.limits.second_copies = true;
        settings.limits.cancel = true;
        settings.limits.retry_after = true;
        settings.limits.max_retry_after = longest;
        settings.rules.cold = Span(service.warmup.as_micros() as i64);
        settings.rules.cold_per_s = service.warmup_per_s;
        // In one second a bank sends what it earns in that and in the wait. Half of the slack is left for
        // sends that arrive together.
        let (excess, slack) = (self.bounds.warmup_excess, self.bounds.warmup_slack);
        let wait = (excess - 1.0).max(0.0) + slack / 2.0 / service.warmup_per_s.max(0.1);
        settings.rules.cold_wait = Span((wait.min(60.0) * 1e6) as i64);
        settings.rules.retry_window =
            Span((self.bounds.retry_window_s.clamp(0.0, 3600.0) * 1e6) as i64);
        settings.rules.retry_ratio = self.bounds.retry_ratio;
        settings.rules.retry_slack = self.bounds.retry_slack;
        settings.prices.cross_zone = 1.0;
        settings
    }

    /// Tells the engine what holds for all services by now.
    fn tell_settings(&self) {
        let bank = self.told.borrow().bank.unwrap_or(Bank { balancers: 1, position: 0 });
        for (i, service) in self.services.borrow().iter().enumerate() {
            let mut settings = self.settings(service, bank);
            if settings.classes.is_empty() {
                // No route yet; the index is taken all the same.
                let any = d::Class::safe(Span(1_000_000), Span(1_000_000));
                settings.classes.push(any);
            }
            self.engine.tell(Note::Settings { service: i, settings: Box::new(settings) });
        }
    }

    /// Tells the engine all upstreams of all services.
    fn tell_lists(&self) {
        let mut lists: Vec<Vec<engine::Upstream>> = Vec::new();
        lists.resize_with(self.services.borrow().len(), Vec::new);
        let mut placed = self.placed.borrow_mut();
        placed.clear();
        let now = self.now();
        let told = self.told.borrow();
        for (zone, list) in &told.zones {
            for upstream in list.upstreams(now) {
                let Some(service) = self.service(&upstream.svc) else { continue };
                placed.insert(upstream.id.clone(), service);
                lists[service].push(self.upstream(&told, zone, upstream));
            }
        }
        for (service, list) in lists.into_iter().enumerate() {
            self.engine.tell(Note::Members { service, kind: ListKind::Whole, list });
        }
    }

    /// Tells the engine of those of a zone's upstreams that are other than before.
    fn tell_changes(&self, zone: &str, ids: BTreeSet<String>) {
        let mut lists: BTreeMap<usize, Vec<engine::Upstream>> = BTreeMap::new();
        let told = self.told.borrow();
        let Some(list) = told.zones.get(zone) else { return };
        let (mut placed, now) = (self.placed.borrow_mut(), self.now());
        for id in ids {
            let (service, entry) = match list.upstream(&id, now) {
                Some(upstream) => {
                    let Some(service) = self.service(&upstream.svc) else { continue };
                    placed.insert(id, service);
                    (service, self.upstream(&told, zone, upstream))
                }
                None => {
                    self.started.borrow_mut().remove(&id);
                    let Some(service) = placed.remove(&id) else { continue };
                    (service, engine::Upstream { status: d::Status::Gone, ..named(id) })
                }
            };
            lists.entry(service).or_default().push(entry);
        }
        for (service, list) in lists {
            self.engine.tell(Note::Members { service, kind: ListKind::Update, list });
        }
    }

    /// Tells the engine who holds which keys of these services.
    fn tell_holders<'a>(&self, services: impl Iterator<Item = &'a String>) {
        let told = self.told.borrow();
        for name in services {
            let (Some(service), Some(held)) = (self.service(name), told.keys.get(name)) else {
                continue;
            };
            let rows = held.rows().cloned().collect();
            self.engine.tell(Note::Holders { service, rows });
        }
    }

    fn service(&self, name: &str) -> Option<usize> {
        self.services.borrow().iter().position(|s| s.name == name)
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn upstream(&self, told: &Told, zone: &str, u: Upstream) -> engine::Upstream {
        let number = self.zones.iter().position(|z| z == zone).unwrap_or(self.zones.len());
        let closed = u.draining || told.evacuated.iter().any(|z| z == zone);
        engine::Upstream {
            address: Some(u.addr),
            zone: number as u32,
            status: if closed { d::Status::Draining } else { d::Status::Live },
            slots: u.slots,
            started: self.started.borrow().get(&u.id).copied(),
            ..named(u.id)
        }
    }

    /// Notes which upstreams of a zone are cold, and since when.
    fn note_cold(&self, list: &ZoneList, ids: &BTreeSet<String>) {
        let (clock, now) = (SystemTime::now(), self.now());
        let services = self.services.borrow();
        let mut started = self.started.borrow_mut();
        let cold = ids.iter().filter_map(|id| list.upstream(id, now));
        for u in cold.filter(|u| u.warm_left_ms > 0) {
            let service = services.iter().find(|s| s.name == u.svc);
            let warmup = service.map_or(Duration::ZERO, |s| s.warmup);
            let passed = warmup.saturating_sub(Duration::from_millis(u.warm_left_ms));
            let at = clock.checked_sub(passed).unwrap_or(clock);
            let known = started.entry(u.id.clone()).or_insert(at);
            if at.duration_since(*known).is_ok_and(|later| later > SAME_START) {
                *known = at;
            }
        }
    }

    /// A zone is taken back: whatever is there may have turned cold.
    fn returned(&self, zone: &str) {
        let told = self.told.borrow();
        let Some(list) = told.zones.get(zone) else { return };
        let mut started = self.started.borrow_mut();
        for u in list.upstreams(self.now()) {
            started.insert(u.id, SystemTime::now());
        }
    }

    // -------------------------------------------------------------- requests

    fn route(&self, host: &str, path: &str) -> Option<Rc<Open>> {
        let host = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|b| b.is_ascii_digit()) { name } else { host }
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

    async fn take(&self, request: Request<Incoming>, arrived: Instant) -> Answer {
        let (head, body) = request.into_parts();
        if let Err(what) = framed(&head) {
            return malformed(what);
        }
        if self.told.borrow().config_index == 0 {
            return refusal(StatusCode::SERVICE_UNAVAILABLE, COME_AGAIN);
        }
        let host = head.headers.get(HOST).and_then(|v| v.to_str().ok()).unwrap_or_default();
        let Some(route) = self.route(host, head.uri.path()) else {
            self.metrics.unrouted.inc();
            return bare(StatusCode::NOT_FOUND);
        };
        let (outcome, answer) = self.on_route(&route, head, body, arrived).await;
        route.counted.answered(outcome, arrived);
        answer
    }

    /// What becomes of a request that has a route.
    async fn on_route(
        &self,
        route: &Open,
        head: Parts,
        body: Incoming,
        arrived: Instant,
    ) -> (Outcome, Answer) {
        let malformed = |what| (Outcome::Malformed, malformed(what));
        let bad = |status| (Outcome::Malformed, bare(status));
        let refused = |after| (Outcome::Refused, refusal(StatusCode::SERVICE_UNAVAILABLE, after));
        let (deadline, resent) = match head.headers.get(DEADLINE) {
            None => (route.deadline, false),
            Some(told) => {
                let ms = told.to_str().ok().and_then(|v| v.trim().parse::<u64>().ok());
                let Some(ms) = ms.filter(|ms| *ms > 0) else { return malformed("Deadline-Ms") };
                let deadline = route.deadline.min(Duration::from_millis(ms));
                (deadline, route.longest.seen(arrived, deadline) > deadline + route.lost)
            }
        };
        let until = arrived + deadline;
        let most = self.told.borrow().limits.max_body_bytes;
        let length = body.size_hint().exact();
        if length.is_some_and(|l| l > most as u64) {
            return bad(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let Some(_room) = self.bodies.room(length.unwrap_or(0) as usize) else {
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
        let shard = head.headers.get(SHARD).and_then(|v| v.to_str().ok()?.trim().parse().ok());
        let shard = shard.filter(|_| self.services.borrow()[service].sharded);
        let (key, cost_guess) = (None, None);
        let arrival = Arrival { class, tenant: 0, key, shard, until, cost_guess, resent };
        let method = head.method.clone();
        let forward = Forward {
            method: head.method,
            uri: head.uri,
            headers: onward(head.headers, body.len()),
            body,
        };
        match self.engine.ask(service, arrival, forward).await {
            Reply::Served(response) => (Outcome::Served, served(response, &method)),
            Reply::Refused { retry_after } => refused(retry_after),
            Reply::Failed { late: true } => (Outcome::Failed, bare(StatusCode::GATEWAY_TIMEOUT)),
            Reply::Failed { late: false } => (Outcome::Failed, bare(StatusCode::BAD_GATEWAY)),
        }
    }
}

impl Gate for Routes {
    async fn answer(&self, request: Request<Incoming>, arrived: Instant, _: bool) -> Answer {
        // A length beside a coding is read by the coding; another reader may have gone by the length, and
        // what it took for the body must not be taken for a request here.
        let chunked = request.headers().contains_key(TRANSFER_ENCODING);
        let mut answer = self.take(request, arrived).await;
        if chunked || answer.status() == StatusCode::BAD_REQUEST {
            answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }
}

/// An upstream's answer as it goes to the client; one to HEAD keeps the length that it tells of.
fn served(response: Response<Bytes>, method: &Method) -> Answer {
    let length = response.headers().get(CONTENT_LENGTH).filter(|_| method == Method::HEAD).cloned();
    let mut answer = passed_on(response, &INTERNAL);
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
    if head.headers.contains_key(HOST) { Ok(()) } else { Err("Host") }
}

/// An upstream of which nothing but its id is known.
fn named(id: String) -> engine::Upstream {
    engine::Upstream {
        id,
        address: None,
        zone: 0,
        kind: 0,
        cell: 0,
        status: d::Status::Live,
        weight: 1.0,
        slots: 0,
        started: None,
    }
}

impl Follower for Routes {
    fn ask(&self) -> Ask {
        let told = self.told.borrow();
        let has = |(zone, list): (&String, &ZoneList)| {
            let version = if told.wanted.contains(zone) { 0 } else { list.version() };
            (zone.clone(), version)
        };
        Ask {
            config: told.config_index,
            evacuated: told.evacuated_index,
            keys: told.keys_index,
            zones: told.zones.iter().map(has).collect(),
            ready: told.config_index > 0 && self.engine.ready(),
            leaving: self.leaving.get(),
            ..Ask::default()
        }
    }

    fn take(&self, news: &News) -> bool {
        let (mut settings, mut lists, mut gap) = (false, false, false);
        let known = self.told.borrow().config_index;
        if let Some((index, told)) = news.config.as_ref().filter(|(index, _)| *index > known) {
            self.configure(*index, &told.config());
            (settings, lists) = (true, true);
        }
        let mut changed = Vec::new();
        for (zone, told) in &news.zones {
            let mut known = self.told.borrow_mut();
            let list = known.zones.entry(zone.clone()).or_default();
            match list.take(told, self.now()) {
                Taken::Old(ids) if ids.is_empty() => {}
                Taken::Old(ids) | Taken::New(ids) => {
                    self.note_cold(list, &ids);
                    known.wanted.remove(zone);
                    changed.push((zone, ids));
                }
                Taken::Gap => {
                    tracing::debug!(zone, "a difference that builds on something else");
                    known.wanted.insert(zone.clone());
                    gap = true;
                }
            }
        }
        let known = self.told.borrow().evacuated_index;
        if let Some((index, zones)) = news.evacuated.as_ref().filter(|(index, _)| *index > known) {
            let before = {
                let mut told = self.told.borrow_mut();
                told.evacuated_index = *index;
                std::mem::replace(&mut told.evacuated, zones.clone())
            };
            before.iter().filter(|z| !zones.contains(z)).for_each(|z| self.returned(z));
            lists = true;
        }
        let known = self.told.borrow().keys_index;
        let keys = news.keys.as_ref().filter(|(index, _)| *index > known);
        if let Some((index, services)) = keys {
            let mut told = self.told.borrow_mut();
            told.keys_index = *index;
            for (service, rows) in services {
                told.keys.entry(service.clone()).or_default().take(rows);
            }
        }
        let any = lists || !changed.is_empty() || keys.is_some();
        if settings {
            self.tell_settings();
        }
        if lists {
            self.tell_lists();
        } else {
            changed.into_iter().for_each(|(zone, ids)| self.tell_changes(zone, ids));
        }
        if settings {
            let names: Vec<String> = self.told.borrow().keys.keys().cloned().collect();
            self.tell_holders(names.iter());
        } else if let Some((_, services)) = keys {
            self.tell_holders(services.keys());
        }
        if any {
            self.changed();
        }
        gap
    }

    fn work(&self) -> Counts {
        let services = self.services.borrow();
        let mut counts = Counts::new();
        for ((service, run), took) in self.engine.work() {
            let spent = (took.as_millis() / u128::from(SPENT_MS)).min(u128::from(u16::MAX));
            let of = counts.entry(services[service].name.clone()).or_default();
            of.push((run, spent as u16));
        }
        counts
    }

    fn bank(&self, bank: Bank) {
        if self.told.borrow_mut().bank.replace(bank) != Some(bank) {
            self.tell_settings();
        }
    }

    fn changes(&self) -> Watcher {
        self.version.watch()
    }

    fn wake(&self) {
        self.changed();
    }
}

#[cfg(test)]
mod tests;
