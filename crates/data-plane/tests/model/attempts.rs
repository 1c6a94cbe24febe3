//! One request over several attempts: two balancers, each the real engine with the real load-balancing module, before
//! two upstreams that play every order of the outcomes of an attempt, and a caller that sends its request to the other
//! balancer again where it was promised that the request has not run.

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
/// A caller sends its request so often at most.
const MAX_CALLS: usize = 3;
/// Callers wait this long; an upstream that does not respond is silent for longer.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(80);
/// For so long no upstream can be reached.
const UNREACHABLE_TIME: Duration = Duration::from_millis(3);

/// What becomes of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PlannedOutcome {
    /// No upstream can be reached for a moment: no byte leaves.
    Unreachable,
    /// Reset when a part of the request has left.
    ResetMidRequest,
    /// All has left, and then a reset: before the upstream ran it, or after.
    ResetBeforeRun,
    ResetAfterRun,
    NoResponse,
    Served,
    ServedTwice,
    /// The upstream's own error.
    OwnError,
    /// A status that implies that it has not run, without the header that proves it.
    UnprovenRejection,
    Rejected,
    RejectedAsBusy,
    /// 421, and another upstream at that address from then on.
    UpstreamReplaced,
    /// The end of a response is missing.
    CutResponse,
    /// It can't be told which request the response answers, and a rejection follows it.
    ResponseWithoutId,
}

const PLANNED_OUTCOMES: [PlannedOutcome; 14] = [
    PlannedOutcome::Unreachable,
    PlannedOutcome::ResetMidRequest,
    PlannedOutcome::ResetBeforeRun,
    PlannedOutcome::ResetAfterRun,
    PlannedOutcome::NoResponse,
    PlannedOutcome::Served,
    PlannedOutcome::ServedTwice,
    PlannedOutcome::OwnError,
    PlannedOutcome::UnprovenRejection,
    PlannedOutcome::Rejected,
    PlannedOutcome::RejectedAsBusy,
    PlannedOutcome::UpstreamReplaced,
    PlannedOutcome::CutResponse,
    PlannedOutcome::ResponseWithoutId,
];

impl PlannedOutcome {
    fn behaviour(self) -> Behaviour {
        let served = Behaviour::answers(ScriptedResponse::new(200, 10));
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
            PlannedOutcome::ServedTwice => with_late_rejection(ScriptedResponse::new(200, 10)),
            PlannedOutcome::OwnError => Behaviour::answers(ScriptedResponse::new(500, 10)),
            PlannedOutcome::UnprovenRejection => Behaviour::answers(ScriptedResponse::new(503, 10)),
            PlannedOutcome::Rejected => Behaviour::answers(ScriptedResponse::rejection(503)),
            PlannedOutcome::RejectedAsBusy => Behaviour::answers(ScriptedResponse::rejection(429)),
            PlannedOutcome::UpstreamReplaced => {
                Behaviour::answers(ScriptedResponse::rejection(421))
            }
            PlannedOutcome::CutResponse => Behaviour {
                end: End::Close,
                ..Behaviour::answers(ScriptedResponse {
                    cut: Some(900),
                    ..ScriptedResponse::new(200, 100)
                })
            },
            PlannedOutcome::ResponseWithoutId => with_late_rejection(ScriptedResponse {
                echo: Echo::Missing,
                ..ScriptedResponse::new(200, 10)
            }),
        }
    }
}

/// The request is run, and a surplus rejection follows its response.
fn with_late_rejection(response: ScriptedResponse) -> Behaviour {
    let rejection = Step::Surplus {
        back: 0,
        answer: ScriptedResponse::rejection(503),
    };
    Behaviour {
        runs: true,
        steps: vec![Step::Respond(response), rejection],
        ..Behaviour::answers(ScriptedResponse::new(200, 10))
    }
}

/// One order of outcomes, and the request that meets it.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    outcomes: [PlannedOutcome; MAX_ATTEMPTS],
    is_safe: bool,
    /// Connections are open already, and are reused.
    with_idle_connections: bool,
    hedging: bool,
}

/// What one scenario runs with.
struct World {
    upstreams: Rc<ScriptedUpstreams>,
    balancers: Vec<EngineHandle>,
    engines: Vec<JoinHandle<()>>,
    next_turn: Rc<Cell<usize>>,
    incarnations: RefCell<[usize; UPSTREAMS]>,
    /// A port that is bound, where nobody listens.
    unreachable_port: TcpSocket,
    scenario: Scenario,
}

fn settings(scenario: Scenario) -> Settings {
    let span = |time: Duration| Span(time.as_micros() as i64);
    let effect = if scenario.is_safe {
        Effect::Safe
    } else {
        Effect::Unsafe
    };
    let aim = span(CLIENT_TIMEOUT / 2);
    let class = RequestClass {
        effect,
        max_attempts: Some(MAX_ATTEMPTS),
        ..RequestClass::safe(aim, span(CLIENT_TIMEOUT))
    };
    let mut settings = Settings::basic(vec![class]);
    settings.balancers = 2;
    settings.limits.hedging = scenario.hedging;
    settings.limits.cancel = true;
    settings.limits.retry_after = true;
    settings.limits.max_retry_after = span(CLIENT_TIMEOUT);
    settings
}

impl World {
    async fn new(scenario: Scenario) -> Rc<Self> {
        let next_turn = Rc::new(Cell::new(0));
        let turn = next_turn.clone();
        let script = move |_: &crate::scripted_upstream::Request| {
            // An upstream that can't be reached gets no request.
            let outcomes = scenario.outcomes.iter().skip(turn.get()).copied();
            let outcome = outcomes.clone().find(|f| *f != PlannedOutcome::Unreachable);
            turn.set(turn.get() + 1);
            outcome.unwrap_or(PlannedOutcome::Served).behaviour()
        };
        let upstreams = ScriptedUpstreams::start(UPSTREAMS, Box::new(script)).await;
        let unreachable_port = TcpSocket::new_v4().expect("a socket");
        unreachable_port
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
        let world = Self {
            upstreams,
            balancers,
            engines,
            next_turn,
            incarnations,
            unreachable_port,
            scenario,
        };
        world.announce_upstreams(None);
        Rc::new(world)
    }

    /// Tells the balancers the addresses of the upstreams, or one where nobody listens.
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
        self.scenario.outcomes.get(self.next_turn.get()).copied()
    }

    /// Brings about what does not depend on requests: upstreams that can't be reached, or that are replaced.
    async fn drive_environment(self: Rc<Self>) {
        let mut renewed = HashSet::new();
        loop {
            let turn = self.next_turn.get();
            match self.outcome() {
                Some(PlannedOutcome::Unreachable) => {
                    self.announce_upstreams(self.unreachable_port.local_addr().ok());
                    sleep(UNREACHABLE_TIME).await;
                    self.announce_upstreams(None);
                    self.next_turn.set(self.next_turn.get().max(turn + 1));
                }
                Some(PlannedOutcome::UpstreamReplaced) if renewed.insert(turn) => {
                    for upstream in 0..UPSTREAMS {
                        let mut incarnations = self.incarnations.borrow_mut();
                        incarnations[upstream] += 1;
                        self.upstreams.restart(upstream, incarnations[upstream]);
                    }
                    sleep(UNREACHABLE_TIME).await;
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
        EngineReply::Served(answer) => [
            StatusCode::SERVICE_UNAVAILABLE,
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::REQUEST_TIMEOUT,
            StatusCode::MISDIRECTED_REQUEST,
        ]
        .contains(&answer.status()),
        EngineReply::Failed { .. } => false,
    }
}

async fn play(scenario: Scenario) -> Result<(), String> {
    let world = World::new(scenario).await;
    if scenario.with_idle_connections {
        // The scenario begins after it.
        warm_up(&world).await;
    }
    let environment = spawn_local(world.clone().drive_environment());
    let part = scenario.outcomes.contains(&PlannedOutcome::ResetMidRequest);
    let (method, body) = if part {
        (Method::POST, LARGE_BODY_BYTES)
    } else {
        (Method::POST, 20)
    };
    let mut replies = Vec::new();
    for call in 0..MAX_CALLS {
        let reply = world.submit(call % 2, call, "id", &method, body).await;
        let again = promises_not_run(&reply)
            || (scenario.is_safe && matches!(reply, EngineReply::Failed { .. }));
        replies.push(reply);
        if !again {
            break;
        }
    }
    environment.abort();
    world.engines.iter().for_each(JoinHandle::abort);
    for call in 0..replies.len() {
        world.upstreams.on_call_ended(call);
    }
    // Upstreams read whatever was sent to its end: what they run later counts too.
    tokio::task::yield_now().await;
    world.upstreams.finish().await;
    check(&world, &replies)
}

/// An exchange on each connection before the scenario begins.
async fn warm_up(world: &World) {
    world.next_turn.set(MAX_ATTEMPTS);
    for balancer in 0..2 {
        for n in 0..UPSTREAMS {
            let call = 100 + balancer * UPSTREAMS + n;
            let id = format!("with_idle_connections-{call}");
            world.submit(balancer, call, &id, &Method::POST, 0).await;
        }
    }
    world.next_turn.set(0);
}

fn check(world: &World, replies: &[EngineReply]) -> Result<(), String> {
    if let Some(wrong) = world.upstreams.violations.borrow().first() {
        return Err(wrong.clone());
    }
    let runs = |call: usize| world.upstreams.record(call).runs;
    if !world.scenario.is_safe {
        let all: usize = (0..replies.len()).map(runs).sum();
        if all > 1 {
            let records: Vec<_> = (0..replies.len())
                .map(|a| world.upstreams.record(a))
                .collect();
            return Err(format!("it ran {all} times; {records:?}"));
        }
        let broken =
            (0..replies.len()).find(|call| promises_not_run(&replies[*call]) && runs(*call) > 0);
        if let Some(call) = broken {
            return Err(format!(
                "call {call} ran, and was promised that it has not run"
            ));
        }
    }
    for (call, reply) in replies.iter().enumerate() {
        let EngineReply::Served(answer) = reply else {
            continue;
        };
        let record = world.upstreams.record(call);
        let serial = answer
            .headers()
            .get("answer-serial")
            .and_then(|v| v.to_str().ok());
        let own = |g: &&GivenResponse| g.complete && serial == Some(g.serial.to_string().as_str());
        let Some(given) = record.responses.iter().find(own) else {
            return Err(format!(
                "call {call} got what was not given to it; {record:?}"
            ));
        };
        if answer.status().as_u16() != given.status || *answer.body() != given.body {
            return Err(format!("the answer to call {call} was changed"));
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

async fn play_all(scenarios: Vec<Scenario>) -> Vec<(Scenario, String)> {
    let mut failed = Vec::new();
    for batch in scenarios.chunks(CONCURRENT_SCENARIOS) {
        let tasks: Vec<_> = batch.iter().map(|o| (*o, spawn_local(play(*o)))).collect();
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
    let played = scenarios.len();
    let threads: Vec<_> = (0..THREADS)
        .map(|t| {
            let own: Vec<Scenario> = scenarios.iter().skip(t).step_by(THREADS).copied().collect();
            std::thread::spawn(move || {
                let runtime = tokio::runtime::Builder::new_current_thread()
                    .enable_all()
                    .build();
                LocalSet::new().block_on(&runtime.expect("a runtime"), play_all(own))
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
        "{} of {played} scenarios failed",
        failed.len()
    );
}
