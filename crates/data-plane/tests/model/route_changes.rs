//! Seeded test of requests whose route changes while they are open: the real listener, routes and engine, upstreams that
//! lose, reject or serve each attempt, and configurations that arrive at every step of a request. Each configuration
//! gives the route another type, service, home region or number of attempts, removes it or adds it again, and assigns
//! the names of all routes at random.
//!
//! The rules are checked with the route as it was when the request was accepted: where the request may run, how many
//! times it is sent, whether it runs again after it may have run, and which status its client gets.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use data_plane::client_connections::ClientTimeouts;
use data_plane::control_client::UpdateHandler;
use data_plane::engine::{Engine, EngineConfig};
use data_plane::listener::{Listener, ListenerLimits};
use data_plane::routes::Routes;
use oorandom::Rand64;
use protocol::compact_config::CompactConfig;
use protocol::config::{Config, RequestKind, RequestLimits, Route, Service};
use protocol::settings::Settings;
use protocol::upstream_list::{Upstream, UpstreamSnapshot, UpstreamUpdate};
use protocol::wire::{Indexed, WatchUpdate};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::sleep;

use crate::connection::pool;
use crate::scripted_upstream::{Behaviour, End, Request, ScriptedResponse, ScriptedUpstreams};

const SCHEDULES: u64 = 1200;
const THREADS: u64 = 4;
const CONCURRENT_SCHEDULES: usize = 8;
const CALLS: usize = 3;
const MAX_ATTEMPTS: usize = 3;
const SERVICES: usize = 2;
const REGIONS: [&str; 2] = ["r-0", "r-1"];
const ZONES: [&str; 2] = ["z-0", "z-1"];
/// In each zone of each service; more than the attempts that fail there, so that no request waits for a breaker.
const UPSTREAMS_PER_ZONE: usize = 6;
const UPSTREAMS: usize = SERVICES * ZONES.len() * UPSTREAMS_PER_ZONE;
const BODY_BYTES: usize = 20;
/// Far longer than any schedule takes.
const TARGET_MS: u64 = 20_000;
const DEADLINE_MS: u64 = 60_000;
/// How long a request waits in the queue before upstreams are listed, in some schedules.
const QUEUE_TIME: Duration = Duration::from_millis(5);
/// Statuses that say that a request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// What becomes of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PlannedOutcome {
    /// The upstream runs the request and resets the connection.
    Lost,
    /// The upstream runs the request and responds with status 500.
    OwnError,
    /// The upstream responds that it has not run the request.
    Rejected,
    Served,
}

impl PlannedOutcome {
    const ALL: [Self; 4] = [Self::Lost, Self::OwnError, Self::Rejected, Self::Served];

    fn runs(self) -> bool {
        self != Self::Rejected
    }

    fn behaviour(self) -> Behaviour {
        match self {
            Self::Lost => Behaviour {
                steps: Vec::new(),
                end: End::Reset,
                ..Behaviour::respond_with(ScriptedResponse::new(200, 10))
            },
            Self::OwnError => Behaviour::respond_with(ScriptedResponse::new(500, 10)),
            Self::Rejected => Behaviour::respond_with(ScriptedResponse::rejection(503)),
            Self::Served => Behaviour::respond_with(ScriptedResponse::new(200, 10)),
        }
    }
}

/// What a route allows for its requests.
#[derive(Clone, Copy, Debug)]
struct Terms {
    is_repeatable: bool,
    service: usize,
    /// The home region; `None` for any.
    home: Option<usize>,
    max_attempts: usize,
}

impl Terms {
    fn random(rng: &mut Rand64) -> Self {
        let mut below = |limit: u64| rng.rand_range(0..limit) as usize;
        Self {
            is_repeatable: below(2) == 0,
            service: below(SERVICES as u64),
            home: [None, Some(0), Some(1)][below(3)],
            max_attempts: 1 + below(MAX_ATTEMPTS as u64),
        }
    }

    fn route(self, name: usize, prefix: &str) -> Route {
        Route {
            name: format!("r-{name}"),
            host: "h".to_string(),
            path_prefix: prefix.to_string(),
            kind: if self.is_repeatable {
                RequestKind::Idempotent
            } else {
                RequestKind::Mutating
            },
            deadline_ms: DEADLINE_MS,
            target_ms: TARGET_MS,
            priority: 0,
            service: Some(format!("s-{}", self.service)),
            split: None,
            max_attempts: self.max_attempts as u32,
            home_regions: self.home.iter().map(|r| REGIONS[*r].to_string()).collect(),
        }
    }

    /// Returns the outcomes of the attempts that a request must have, of those that are planned.
    fn expected_attempts(self, planned: &[PlannedOutcome]) -> &[PlannedOutcome] {
        let is_last = |outcome: &PlannedOutcome| {
            *outcome == PlannedOutcome::Served || (outcome.runs() && !self.is_repeatable)
        };
        let until_end = planned
            .iter()
            .position(is_last)
            .map_or(MAX_ATTEMPTS, |i| i + 1);
        &planned[..until_end.min(self.max_attempts)]
    }
}

/// One call of a client, from its acceptance to its response.
#[derive(Debug, Default)]
struct Call {
    /// The terms of its route when it was accepted; `None` if it had no route.
    terms: Option<Terms>,
    /// The upstreams that received its attempts.
    upstreams: Vec<usize>,
    status: u16,
}

/// A balancer, its upstreams and its clients.
struct TestBed {
    routes: Rc<Routes>,
    address: SocketAddr,
    upstreams: Rc<ScriptedUpstreams>,
    tasks: Vec<JoinHandle<()>>,
    state: Rc<ScheduleState>,
}

/// The state of a schedule, shared between the clients and the upstreams.
struct ScheduleState {
    rng: RefCell<Rand64>,
    planned: Vec<[PlannedOutcome; MAX_ATTEMPTS]>,
    calls: RefCell<Vec<Call>>,
    /// The terms of the route of all calls.
    terms: Cell<Option<Terms>>,
    revision: Cell<u64>,
    /// Whether a request is on its way to its route, so that the configuration must not change.
    is_accepting: Cell<bool>,
    routes: RefCell<Option<Rc<Routes>>>,
}

impl ScheduleState {
    fn new(seed: u64) -> Rc<Self> {
        let mut rng = Rand64::new(u128::from(seed));
        let mut outcome = || PlannedOutcome::ALL[rng.rand_range(0..4) as usize];
        let planned = (0..CALLS).map(|_| std::array::from_fn(|_| outcome()));
        Rc::new(Self {
            planned: planned.collect(),
            rng: RefCell::new(rng),
            calls: RefCell::new((0..CALLS).map(|_| Call::default()).collect()),
            terms: Cell::new(None),
            revision: Cell::new(0),
            is_accepting: Cell::new(false),
            routes: RefCell::new(None),
        })
    }

    fn is_one_of(&self, count: u64) -> bool {
        self.rng.borrow_mut().rand_range(0..count) == 0
    }

    /// Applies another configuration in half of the cases.
    fn maybe_change(&self) {
        if !self.is_accepting.get() && self.is_one_of(2) {
            let is_removed = self.is_one_of(4);
            self.change(is_removed);
        }
    }

    /// Applies a random configuration, in which the route of the calls is missing if `is_removed`.
    fn change(&self, is_removed: bool) {
        let mut rng = self.rng.borrow_mut();
        let mut names = [1, 2, 3];
        let first = rng.rand_range(0..3) as usize;
        names.rotate_left(first);
        let terms = Terms::random(&mut rng);
        let others = [(names[1], "/audit/"), (names[2], "/read/")];
        let others = others.map(|(name, prefix)| Terms::random(&mut rng).route(name, prefix));
        let mut routes = others.to_vec();
        if !is_removed {
            routes.push(terms.route(names[0], "/call/"));
        }
        self.terms.set((!is_removed).then_some(terms));
        self.revision.set(self.revision.get() + 1);
        let service = |n: usize| Service {
            name: format!("s-{n}"),
            ..Service::default()
        };
        let config = Config {
            revision: self.revision.get(),
            routes,
            services: (0..SERVICES).map(service).collect(),
            limits: RequestLimits::default(),
        };
        let update = WatchUpdate {
            config: Some(Indexed {
                index: config.revision,
                value: Arc::new(CompactConfig::from_config(&config)),
            }),
            ..WatchUpdate::default()
        };
        if let Some(routes) = &*self.routes.borrow() {
            routes.handle_update(&update);
        }
    }

    /// Returns what the upstream does with an attempt that it has received.
    fn on_attempt(&self, request: &Request) -> Behaviour {
        let upstream = request.upstream();
        let attempt = {
            let call = &mut self.calls.borrow_mut()[request.call];
            call.upstreams.push(upstream);
            call.upstreams.len() - 1
        };
        self.maybe_change();
        let planned = self.planned[request.call].get(attempt);
        planned
            .copied()
            .unwrap_or(PlannedOutcome::Served)
            .behaviour()
    }
}

fn settings() -> Settings {
    let text = r#"{"node": "n", "ip": "127.0.0.1", "zone": "z-0", "region": "r-0",
        "zone_map": {"z-0": "r-0", "z-1": "r-1"}, "listen": {}, "port_range": [7000, 7010],
        "bounds": {"retry_window_s": 0.0}}"#;
    Settings::parse(Path::new("boot.json"), text.as_bytes()).expect("valid")
}

impl TestBed {
    async fn new(seed: u64) -> Self {
        let state = ScheduleState::new(seed);
        let script = {
            let state = state.clone();
            move |request: &Request| state.on_attempt(request)
        };
        let upstreams = ScriptedUpstreams::start(UPSTREAMS, Box::new(script)).await;
        let config = EngineConfig {
            seed,
            headroom: Duration::from_millis(30),
            drain_grace: Duration::ZERO,
            timer_granularity: Duration::from_millis(1),
            subscribe: None,
        };
        let (engine, handle) = Engine::new(config, pool(64));
        let routes = Routes::new(&settings(), handle, Box::new(|_| {}));
        state.routes.replace(Some(routes.clone()));
        let limits = ListenerLimits {
            max_connections: 64,
            idle_eviction_threshold: 64,
            max_header_bytes: 8192,
            timeouts: ClientTimeouts {
                header: Duration::from_secs(30),
                idle: Duration::from_secs(30),
            },
            accept_grace: Duration::ZERO,
            drain_timeout: Duration::from_secs(1),
            final_request_wait: Duration::from_secs(1),
        };
        let socket = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = socket.local_addr().expect("an address");
        let serving = Listener::new(routes.clone(), limits).serve(socket, std::future::pending());
        let tasks = vec![spawn_local(engine.run()), spawn_local(serving)];
        Self {
            routes,
            address,
            upstreams,
            tasks,
            state,
        }
    }

    /// Lists all upstreams.
    fn list_upstreams(&self) {
        let snapshot = |zone: usize| {
            let numbers = (0..UPSTREAMS).filter(|u| zone_of(*u) == zone);
            let upstreams = numbers.map(|u| Upstream {
                id: self.upstreams.name(u),
                service: format!("s-{}", service_of(u)),
                addr: self.upstreams.address(u),
                slots: 8,
                draining: false,
                warmup_remaining_ms: 0,
            });
            UpstreamUpdate::Snapshot(UpstreamSnapshot {
                version: 1,
                upstreams: upstreams.collect(),
            })
        };
        let zones = ZONES.iter().enumerate();
        let zone_updates: BTreeMap<_, _> = zones
            .map(|(number, name)| ((*name).to_string(), snapshot(number)))
            .collect();
        let update = WatchUpdate {
            zone_updates,
            ..WatchUpdate::default()
        };
        self.routes.handle_update(&update);
    }

    /// Sends a request whose body follows only once the balancer has accepted it, and records the status of the
    /// response. The configuration may change in between.
    async fn call(&self, number: usize) {
        let mut stream = TcpStream::connect(self.address)
            .await
            .expect("a connection");
        let head = format!(
            "POST /call/{number} HTTP/1.1\r\nHost: h\r\nAttempt-Id: id-{number}\r\n\
             Content-Length: {BODY_BYTES}\r\nExpect: 100-continue\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.expect("written");
        let mut status = read_status(&mut stream).await;
        self.state.is_accepting.set(false);
        self.state.calls.borrow_mut()[number].terms = self.state.terms.get();
        if status == 100 {
            self.state.maybe_change();
            let body = [b'b'; BODY_BYTES];
            stream.write_all(&body).await.expect("written");
            status = read_status(&mut stream).await;
        }
        self.state.calls.borrow_mut()[number].status = status;
    }

    async fn run(self) -> Result<(), String> {
        self.state.change(false);
        let is_listed_first = !self.state.is_one_of(4);
        if is_listed_first {
            self.list_upstreams();
        }
        let bed = Rc::new(self);
        let mut calls = Vec::new();
        for number in 0..CALLS {
            bed.state.is_accepting.set(true);
            let own = bed.clone();
            calls.push(spawn_local(async move { own.call(number).await }));
            while bed.state.is_accepting.get() {
                tokio::task::yield_now().await;
            }
            bed.state.maybe_change();
        }
        if !is_listed_first {
            sleep(QUEUE_TIME).await;
            bed.state.maybe_change();
            bed.list_upstreams();
        }
        for call in calls {
            call.await.map_err(|panic| panic.to_string())?;
        }
        bed.tasks.iter().for_each(JoinHandle::abort);
        bed.state.routes.take();
        // The upstreams read everything that was sent, so that late runs count too.
        tokio::task::yield_now().await;
        bed.upstreams.finish().await;
        bed.check()
    }

    fn check(&self) -> Result<(), String> {
        if let Some(violation) = self.upstreams.violations.borrow().first() {
            return Err(violation.clone());
        }
        for (number, call) in self.state.calls.borrow().iter().enumerate() {
            self.check_call(number, call)
                .map_err(|cause| format!("call {number}: {cause}; {call:?}"))?;
        }
        Ok(())
    }

    fn check_call(&self, number: usize, call: &Call) -> Result<(), String> {
        let Some(terms) = call.terms else {
            let is_right = call.status == 404 && call.upstreams.is_empty();
            return is_right.then_some(()).ok_or("it has no route".to_string());
        };
        let planned = &self.state.planned[number];
        let is_allowed = |upstream: &usize| {
            service_of(*upstream) == terms.service
                && terms.home.is_none_or(|home| home == zone_of(*upstream))
        };
        if !call.upstreams.iter().all(is_allowed) {
            return Err("it was sent outside its service or home region".to_string());
        }
        let runs = self.upstreams.record(number).runs;
        if runs > 1 && !terms.is_repeatable {
            return Err("it ran more than once".to_string());
        }
        if runs > 0 && !terms.is_repeatable && NOT_RUN_STATUSES.contains(&call.status) {
            return Err("it has run, and its status says that it has not".to_string());
        }
        let expected = terms.expected_attempts(planned);
        let is_served = expected.contains(&PlannedOutcome::Served);
        let has_all_attempts = call.upstreams.len() == expected.len()
            && runs == expected.iter().filter(|outcome| outcome.runs()).count();
        if !has_all_attempts || (call.status == 200) != is_served {
            return Err(format!("due were {expected:?} of {planned:?}"));
        }
        Ok(())
    }
}

fn service_of(upstream: usize) -> usize {
    upstream % SERVICES
}

fn zone_of(upstream: usize) -> usize {
    upstream / SERVICES % ZONES.len()
}

/// Reads one response without a body, or the head of one, and returns its status.
async fn read_status(stream: &mut TcpStream) -> u16 {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let byte = stream.read_u8().await;
        head.push(byte.expect("a response"));
    }
    let status = head.get(9..12).and_then(|s| std::str::from_utf8(s).ok());
    status.and_then(|s| s.parse().ok()).expect("a status")
}

async fn run_schedules(seeds: Vec<u64>) -> HashMap<u64, String> {
    let mut failed = HashMap::new();
    for batch in seeds.chunks(CONCURRENT_SCHEDULES) {
        let run = |seed: u64| async move { TestBed::new(seed).await.run().await };
        let tasks: Vec<_> = batch
            .iter()
            .map(|seed| (*seed, spawn_local(run(*seed))))
            .collect();
        for (seed, task) in tasks {
            let result = task.await.unwrap_or_else(|panic| Err(panic.to_string()));
            failed.extend(result.err().map(|cause| (seed, cause)));
        }
    }
    failed
}

/// Guards against open requests that take over what a new configuration says of their route's name: a payment ran twice,
/// or was refused after it had run, and a waiting one left its home region.
#[test]
fn requests_keep_what_their_route_allowed_when_they_were_accepted() {
    let first = std::env::var("MODEL_FIRST_SEED").map_or(0, |s| s.parse().expect("a number"));
    let count = std::env::var("MODEL_SCHEDULES");
    let count = count.map_or(SCHEDULES, |s| s.parse().expect("a number"));
    let run_share = move |thread: u64| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let own = (first..first + count).filter(|seed| seed % THREADS == thread);
        LocalSet::new().block_on(&runtime.expect("a runtime"), run_schedules(own.collect()))
    };
    let threads: Vec<_> = (0..THREADS)
        .map(|thread| std::thread::spawn(move || run_share(thread)))
        .collect();
    let failed: BTreeMap<_, _> = threads
        .into_iter()
        .flat_map(|thread| thread.join().expect("a thread that ends"))
        .collect();
    for (seed, cause) in failed.iter().take(10) {
        println!("seed {seed}: {cause}");
    }
    assert!(failed.is_empty(), "{} of {count} failed", failed.len());
}
