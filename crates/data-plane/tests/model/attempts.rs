//! Exhaustive test of one request over several attempts: two balancers, each with the real engine and load-balancing
//! module, send to two upstreams that produce every order of attempt outcomes. The caller retries at the other balancer
//! whenever a reply says that the request has not run.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use data_plane::engine::{
    self, Engine, EngineEvent, EngineHandle, EngineReply, IncomingRequest, ListedUpstream,
};
use hyper::{Method, StatusCode};
use load_balancing::interface::{Effect, MembershipKind, RequestClass, Settings, Span, Status};
use tokio::net::TcpSocket;
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

use crate::connection::{forward, pool};
use crate::scripted_upstream::{
    Behaviour, Echo, End, GivenResponse, LARGE_BODY_BYTES, ScriptedResponse, ScriptedUpstreams,
    Step,
};

const MAX_ATTEMPTS: usize = 3;
const UPSTREAMS: usize = 2;
const THREADS: usize = 4;
const CONCURRENT_SCENARIOS: usize = 64;
/// Maximum number of times that a caller sends its request.
const MAX_CALLS: usize = 3;
/// Deadline of each call. An upstream that does not respond stays silent for longer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(80);
/// How much of a request an upstream reads before it begins its work, if it does not wait for the whole request.
const EARLY_START_BYTES: usize = 64 << 10;
/// A body that is sent with its head.
const SHORT_BODY_BYTES: usize = 20;
/// How long the upstreams stay unreachable.
const UNREACHABLE_DURATION: Duration = Duration::from_millis(3);

/// The outcome that the upstreams produce for an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PlannedOutcome {
    /// No upstream can be reached for a moment, and no byte is sent.
    Unreachable,
    /// The connection is reset after a part of the request was sent.
    ResetMidRequest,
    /// The upstream begins its work after a part of the request, and resets the connection.
    ResetAfterEarlyStart,
    /// The same, and before the reset it sends the beginning of its response.
    TruncatedAfterEarlyStart,
    /// The upstream begins its work after a part of the request, and neither reads nor sends anything more.
    NoResponseAfterEarlyStart,
    /// The connection is reset after the whole request was sent, before the upstream ran it.
    ResetBeforeRun,
    /// The connection is reset after the upstream ran the request.
    ResetAfterRun,
    NoResponse,
    Served,
    /// A surplus rejection of the same request follows its response.
    ServedThenRejected,
    /// The upstream responds with status 500.
    OwnError,
    /// A status that implies that the request has not run, without the header that proves it.
    UnprovenRejection,
    /// 503 with the header that proves that the request has not run.
    Rejected,
    /// 429 with that header.
    RejectedAsBusy,
    /// 421, because another upstream has taken over the address.
    UpstreamReplaced,
    /// The end of a response is missing.
    TruncatedResponse,
    /// The response does not name the request that it answers, and a rejection of that request follows it.
    ResponseWithoutIdThenRejected,
}

const PLANNED_OUTCOMES: [PlannedOutcome; 17] = [
    PlannedOutcome::Unreachable,
    PlannedOutcome::ResetMidRequest,
    PlannedOutcome::ResetAfterEarlyStart,
    PlannedOutcome::TruncatedAfterEarlyStart,
    PlannedOutcome::NoResponseAfterEarlyStart,
    PlannedOutcome::ResetBeforeRun,
    PlannedOutcome::ResetAfterRun,
    PlannedOutcome::NoResponse,
    PlannedOutcome::Served,
    PlannedOutcome::ServedThenRejected,
    PlannedOutcome::OwnError,
    PlannedOutcome::UnprovenRejection,
    PlannedOutcome::Rejected,
    PlannedOutcome::RejectedAsBusy,
    PlannedOutcome::UpstreamReplaced,
    PlannedOutcome::TruncatedResponse,
    PlannedOutcome::ResponseWithoutIdThenRejected,
];

impl PlannedOutcome {
    /// Whether the upstream leaves a part of the request unread, for which the request must be large.
    fn leaves_request_unread(self) -> bool {
        matches!(
            self,
            Self::ResetMidRequest
                | Self::ResetAfterEarlyStart
                | Self::TruncatedAfterEarlyStart
                | Self::NoResponseAfterEarlyStart
        )
    }

    fn behaviour(self) -> Behaviour {
        let served = Behaviour::respond_with(ScriptedResponse::new(200, 10));
        let nothing = Behaviour {
            steps: Vec::new(),
            runs: false,
            ..served.clone()
        };
        let reset = Behaviour {
            end: End::Reset,
            ..nothing.clone()
        };
        match self {
            PlannedOutcome::Unreachable | PlannedOutcome::Served => served,
            PlannedOutcome::ResetMidRequest => Behaviour {
                reads_body: false,
                ..reset
            },
            PlannedOutcome::ResetAfterEarlyStart => with_early_start(reset),
            PlannedOutcome::TruncatedAfterEarlyStart => with_early_start(Behaviour {
                end: End::Reset,
                ..Behaviour::respond_with(truncated_response())
            }),
            PlannedOutcome::NoResponseAfterEarlyStart => with_early_start(Behaviour {
                end: End::Unread,
                ..nothing
            }),
            PlannedOutcome::ResetBeforeRun => reset,
            PlannedOutcome::ResetAfterRun => Behaviour {
                runs: true,
                ..reset
            },
            PlannedOutcome::NoResponse => Behaviour {
                runs: true,
                end: End::Silent,
                ..nothing
            },
            PlannedOutcome::ServedThenRejected => {
                with_late_rejection(ScriptedResponse::new(200, 10))
            }
            PlannedOutcome::OwnError => Behaviour::respond_with(ScriptedResponse::new(500, 10)),
            PlannedOutcome::UnprovenRejection => {
                Behaviour::respond_with(ScriptedResponse::new(503, 10))
            }
            PlannedOutcome::Rejected => Behaviour::respond_with(ScriptedResponse::rejection(503)),
            PlannedOutcome::RejectedAsBusy => {
                Behaviour::respond_with(ScriptedResponse::rejection(429))
            }
            PlannedOutcome::UpstreamReplaced => {
                Behaviour::respond_with(ScriptedResponse::rejection(421))
            }
            PlannedOutcome::TruncatedResponse => Behaviour {
                end: End::Close,
                ..Behaviour::respond_with(truncated_response())
            },
            PlannedOutcome::ResponseWithoutIdThenRejected => {
                with_late_rejection(ScriptedResponse {
                    echo: Echo::Missing,
                    ..ScriptedResponse::new(200, 10)
                })
            }
        }
    }
}

fn truncated_response() -> ScriptedResponse {
    ScriptedResponse {
        cut: Some(900),
        ..ScriptedResponse::new(200, 100)
    }
}

/// The upstream begins its work after a part of the body, and reads nothing more before it does the rest.
fn with_early_start(behaviour: Behaviour) -> Behaviour {
    Behaviour {
        before_body: vec![Step::BeginWork(EARLY_START_BYTES)],
        reads_body: false,
        runs: true,
        ..behaviour
    }
}

/// The request is run, and a surplus rejection of it follows the response.
fn with_late_rejection(response: ScriptedResponse) -> Behaviour {
    let rejection = Step::Surplus {
        back: 0,
        response: ScriptedResponse::rejection(503),
    };
    Behaviour {
        runs: true,
        steps: vec![Step::Respond(response), rejection],
        ..Behaviour::respond_with(ScriptedResponse::new(200, 10))
    }
}

/// One order of outcomes, and the properties of the request and of the balancers.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    outcomes: [PlannedOutcome; MAX_ATTEMPTS],
    is_safe: bool,
    /// Whether idle connections are open at the start, so that they are reused.
    with_idle_connections: bool,
    hedging: bool,
}

/// The balancers and upstreams of one scenario.
struct TestBed {
    upstreams: Rc<ScriptedUpstreams>,
    balancers: Vec<EngineHandle>,
    engines: Vec<JoinHandle<()>>,
    /// Index of the next planned outcome.
    next_outcome: Rc<Cell<usize>>,
    incarnations: RefCell<[usize; UPSTREAMS]>,
    /// A bound port that nobody listens on.
    closed_port: TcpSocket,
    scenario: Scenario,
}

fn settings(scenario: Scenario) -> Settings {
    let span = |time: Duration| Span(time.as_micros() as i64);
    let effect = if scenario.is_safe {
        Effect::Safe
    } else {
        Effect::Unsafe
    };
    let latency_target = span(CLIENT_TIMEOUT / 2);
    let class = RequestClass {
        effect,
        max_attempts: Some(MAX_ATTEMPTS),
        ..RequestClass::safe(latency_target, span(CLIENT_TIMEOUT))
    };
    let mut settings = Settings::basic(vec![class]);
    settings.balancers = 2;
    settings.limits.hedging = scenario.hedging;
    settings.limits.cancel = true;
    settings.limits.retry_after = true;
    settings.limits.max_retry_after = span(CLIENT_TIMEOUT);
    settings
}

impl TestBed {
    async fn new(scenario: Scenario) -> Rc<Self> {
        let next_outcome = Rc::new(Cell::new(0));
        let position = next_outcome.clone();
        let script = move |_: &crate::scripted_upstream::Request| {
            // An upstream that can't be reached receives no request.
            let outcomes = scenario.outcomes.iter().skip(position.get()).copied();
            let outcome = outcomes.clone().find(|o| *o != PlannedOutcome::Unreachable);
            position.set(position.get() + 1);
            outcome.unwrap_or(PlannedOutcome::Served).behaviour()
        };
        let upstreams = ScriptedUpstreams::start(UPSTREAMS, Box::new(script)).await;
        let closed_port = TcpSocket::new_v4().expect("a socket");
        closed_port
            .bind(SocketAddr::from(([127, 0, 0, 1], 0)))
            .expect("a port");
        let (mut balancers, mut engines) = (Vec::new(), Vec::new());
        for seed in 0..2 {
            let config = engine::EngineConfig {
                seed,
                headroom: Duration::from_millis(5),
                drain_grace: Duration::ZERO,
                timer_granularity: Duration::from_millis(1),
                subscribe: None,
            };
            let (engine, handle) = Engine::new(config, pool(16));
            engines.push(spawn_local(engine.run()));
            handle.send_event(EngineEvent::SettingsChanged {
                service: 0,
                settings: Box::new(settings(scenario)),
            });
            balancers.push(handle);
        }
        let incarnations = RefCell::default();
        let test_bed = Self {
            upstreams,
            balancers,
            engines,
            next_outcome,
            incarnations,
            closed_port,
            scenario,
        };
        test_bed.announce_upstreams(None);
        Rc::new(test_bed)
    }

    /// Sends the balancers the list of upstreams, with their own addresses or with `at` for all of them.
    fn announce_upstreams(&self, at: Option<SocketAddr>) {
        let list: Vec<ListedUpstream> = (0..UPSTREAMS)
            .map(|u| ListedUpstream {
                id: self.upstreams.name(u),
                address: Some(at.unwrap_or_else(|| self.upstreams.address(u))),
                zone: 0,
                kind: 0,
                cell: 0,
                status: Status::Live,
                weight: 1.0,
                slots: 4,
                started: None,
            })
            .collect();
        for balancer in &self.balancers {
            let list = list.clone();
            balancer.send_event(EngineEvent::MembershipChanged {
                service: 0,
                kind: MembershipKind::Complete,
                upstreams: list,
            });
        }
    }

    fn outcome(&self) -> Option<PlannedOutcome> {
        self.scenario.outcomes.get(self.next_outcome.get()).copied()
    }

    /// Produces the outcomes that don't depend on requests: upstreams that are unreachable or replaced.
    async fn drive_environment(self: Rc<Self>) {
        let mut replaced = HashSet::new();
        loop {
            let position = self.next_outcome.get();
            match self.outcome() {
                Some(PlannedOutcome::Unreachable) => {
                    self.announce_upstreams(self.closed_port.local_addr().ok());
                    sleep(UNREACHABLE_DURATION).await;
                    self.announce_upstreams(None);
                    self.next_outcome
                        .set(self.next_outcome.get().max(position + 1));
                }
                Some(PlannedOutcome::UpstreamReplaced) if replaced.insert(position) => {
                    for upstream in 0..UPSTREAMS {
                        let mut incarnations = self.incarnations.borrow_mut();
                        incarnations[upstream] += 1;
                        self.upstreams.restart(upstream, incarnations[upstream]);
                    }
                    sleep(UNREACHABLE_DURATION).await;
                    self.announce_upstreams(None);
                }
                None => return,
                _ => sleep(Duration::from_millis(1)).await,
            }
        }
    }

    async fn submit(
        &self,
        balancer: usize,
        call: usize,
        id: &str,
        method: &Method,
        body: usize,
    ) -> EngineReply {
        let arrival = IncomingRequest {
            class: 0,
            accepted_class: None,
            tenant: 0,
            key: None,
            shard: None,
            deadline: Instant::now() + CLIENT_TIMEOUT,
            estimated_work: None,
            is_client_retry: call > 0,
        };
        self.balancers[balancer]
            .submit(0, arrival, forward(call, id, method, body))
            .await
    }
}

/// Whether the caller concludes that its request has not run and never will.
fn promises_not_run(reply: &EngineReply) -> bool {
    match reply {
        EngineReply::Rejected { .. } => true,
        EngineReply::Served(response) => [
            StatusCode::SERVICE_UNAVAILABLE,
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::REQUEST_TIMEOUT,
            StatusCode::MISDIRECTED_REQUEST,
        ]
        .contains(&response.status()),
        EngineReply::Failed { .. } => false,
    }
}

async fn run_scenario(scenario: Scenario) -> Result<(), String> {
    let test_bed = TestBed::new(scenario).await;
    if scenario.with_idle_connections {
        warm_up(&test_bed).await;
    }
    let environment = spawn_local(test_bed.clone().drive_environment());
    let leaves_unread = |outcome: &PlannedOutcome| outcome.leaves_request_unread();
    let body = if scenario.outcomes.iter().any(leaves_unread) {
        LARGE_BODY_BYTES
    } else {
        SHORT_BODY_BYTES
    };
    let mut replies = Vec::new();
    for call in 0..MAX_CALLS {
        let reply = test_bed
            .submit(call % 2, call, "id", &Method::POST, body)
            .await;
        let again = promises_not_run(&reply)
            || (scenario.is_safe && matches!(reply, EngineReply::Failed { .. }));
        replies.push(reply);
        if !again {
            break;
        }
    }
    environment.abort();
    test_bed.engines.iter().for_each(JoinHandle::abort);
    for call in 0..replies.len() {
        test_bed.upstreams.on_call_ended(call);
    }
    // The upstreams read everything that was sent, so that late runs count too.
    tokio::task::yield_now().await;
    test_bed.upstreams.finish().await;
    check(&test_bed, &replies)
}

/// Completes an exchange on each connection before the scenario begins.
async fn warm_up(test_bed: &TestBed) {
    test_bed.next_outcome.set(MAX_ATTEMPTS);
    for balancer in 0..2 {
        for n in 0..UPSTREAMS {
            let call = 100 + balancer * UPSTREAMS + n;
            let id = format!("warm-up-{call}");
            test_bed.submit(balancer, call, &id, &Method::POST, 0).await;
        }
    }
    test_bed.next_outcome.set(0);
}

fn check(test_bed: &TestBed, replies: &[EngineReply]) -> Result<(), String> {
    if let Some(wrong) = test_bed.upstreams.violations.borrow().first() {
        return Err(wrong.clone());
    }
    let runs = |call: usize| test_bed.upstreams.record(call).runs;
    if !test_bed.scenario.is_safe {
        let is_unproven_promise = |call: usize| {
            let record = test_bed.upstreams.record(call);
            let said = record.responses.iter().filter(|r| r.says_not_run).count();
            promises_not_run(&replies[call]) && said < record.requests
        };
        let all: usize = (0..replies.len()).map(runs).sum();
        if all > 1 {
            let records: Vec<_> = (0..replies.len())
                .map(|a| test_bed.upstreams.record(a))
                .collect();
            return Err(format!("it ran {all} times; {records:?}"));
        }
        let broken =
            (0..replies.len()).find(|call| promises_not_run(&replies[*call]) && runs(*call) > 0);
        if let Some(call) = broken {
            return Err(format!(
                "call {call} ran, although its caller was told that it had not"
            ));
        }
        if let Some(call) = (0..replies.len()).find(|call| is_unproven_promise(*call)) {
            return Err(format!(
                "call {call} reached an upstream that did not say that it had not run, although its caller was told so"
            ));
        }
    }
    for (call, reply) in replies.iter().enumerate() {
        let EngineReply::Served(response) = reply else {
            continue;
        };
        let record = test_bed.upstreams.record(call);
        let serial = response
            .headers()
            .get("answer-serial")
            .and_then(|v| v.to_str().ok());
        let is_own =
            |g: &&GivenResponse| g.complete && serial == Some(g.serial.to_string().as_str());
        let Some(given) = record.responses.iter().find(is_own) else {
            return Err(format!(
                "call {call} got a response that no upstream sent for it; {record:?}"
            ));
        };
        if response.status().as_u16() != given.status || *response.body() != given.body {
            return Err(format!("the response to call {call} was changed"));
        }
    }
    Ok(())
}

fn scenarios() -> Vec<Scenario> {
    let mut all = Vec::new();
    for first in PLANNED_OUTCOMES {
        for second in PLANNED_OUTCOMES {
            for third in PLANNED_OUTCOMES {
                let outcomes = [first, second, third];
                let scenario = Scenario {
                    outcomes,
                    is_safe: false,
                    with_idle_connections: false,
                    hedging: true,
                };
                all.push(scenario);
                all.push(Scenario {
                    is_safe: true,
                    ..scenario
                });
                all.push(Scenario {
                    with_idle_connections: true,
                    ..scenario
                });
                all.push(Scenario {
                    with_idle_connections: true,
                    hedging: false,
                    ..scenario
                });
            }
        }
    }
    all
}

async fn run_scenarios(scenarios: Vec<Scenario>) -> Vec<(Scenario, String)> {
    let mut failed = Vec::new();
    for batch in scenarios.chunks(CONCURRENT_SCENARIOS) {
        let tasks: Vec<_> = batch
            .iter()
            .map(|o| (*o, spawn_local(run_scenario(*o))))
            .collect();
        for (scenario, task) in tasks {
            let result = task.await.unwrap_or_else(|panic| Err(panic.to_string()));
            failed.extend(result.err().map(|cause| (scenario, cause)));
        }
    }
    failed
}

#[test]
fn unsafe_request_runs_at_most_once_in_every_order_of_outcomes() {
    let scenarios = scenarios();
    let total = scenarios.len();
    let threads: Vec<_> = (0..THREADS)
        .map(|t| {
            let own: Vec<Scenario> = scenarios.iter().skip(t).step_by(THREADS).copied().collect();
            std::thread::spawn(move || {
                let runtime = tokio::runtime::Builder::new_current_thread()
                    .enable_all()
                    .build();
                LocalSet::new().block_on(&runtime.expect("a runtime"), run_scenarios(own))
            })
        })
        .collect();
    let failed: Vec<_> = threads
        .into_iter()
        .flat_map(|t| t.join().expect("a thread that ends"))
        .collect();
    failed
        .iter()
        .take(10)
        .for_each(|(scenario, cause)| println!("{cause}: {scenario:?}"));
    assert!(
        failed.is_empty(),
        "{} of {total} scenarios failed",
        failed.len()
    );
}
