//! One request over several attempts: two balancers, each the real engine with the real decision module, before
//! two upstreams that take every order of what can become of an attempt, and a caller that asks the other balancer
//! again where it was promised that its request has not run.

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

use crate::link::{forward, pool};
use crate::stand_in::{Answer, Behaviour, Echo, End, Given, LARGE_BODY, StandIn, Step};

const DEPTH: usize = 3;
const UPSTREAMS: usize = 2;
const THREADS: usize = 4;
const AT_ONCE: usize = 64;
/// A caller asks this often at most.
const ASKS: usize = 3;
/// Callers wait this long; silence lasts until then.
const DEADLINE: Duration = Duration::from_millis(80);
/// For so long no upstream can be reached.
const UNREACHABLE: Duration = Duration::from_millis(3);

/// What becomes of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    /// No upstream can be reached for a moment: nothing leaves.
    NothingLeft,
    /// Reset while a part of the request has left.
    PartLeft,
    /// All has left, and then a reset: before work began on it, or after.
    ResetBefore,
    ResetAfter,
    Silence,
    Served,
    ServedAndAgain,
    /// An error of its own.
    Failed,
    /// A promise that is none.
    Pretended,
    NotRun,
    Busy,
    /// 421, and another upstream at that address from then on.
    Renewed,
    /// The end of an answer is missing.
    Cut,
    /// Nobody can tell whose answer this is, and one more comes that is a promise.
    Nameless,
}

const FATES: [Fate; 14] = [
    Fate::NothingLeft,
    Fate::PartLeft,
    Fate::ResetBefore,
    Fate::ResetAfter,
    Fate::Silence,
    Fate::Served,
    Fate::ServedAndAgain,
    Fate::Failed,
    Fate::Pretended,
    Fate::NotRun,
    Fate::Busy,
    Fate::Renewed,
    Fate::Cut,
    Fate::Nameless,
];

impl Fate {
    fn behaviour(self) -> Behaviour {
        let served = Behaviour::answers(Answer::plain(200, 10));
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
            Fate::NothingLeft | Fate::Served => served,
            Fate::PartLeft => Behaviour {
                reads_body: false,
                ..reset
            },
            Fate::ResetBefore => reset,
            Fate::ResetAfter => Behaviour {
                runs: true,
                ..reset
            },
            Fate::Silence => Behaviour {
                runs: true,
                end: End::Silent,
                ..nothing
            },
            Fate::ServedAndAgain => {
                let again = Step::Surplus {
                    back: 0,
                    answer: Answer::promise(503),
                };
                Behaviour {
                    steps: [served.steps, vec![again]].concat(),
                    ..nothing
                }
                .with_work_begun()
            }
            Fate::Failed => Behaviour::answers(Answer::plain(500, 10)),
            Fate::Pretended => Behaviour::answers(Answer::plain(503, 10)),
            Fate::NotRun => Behaviour::answers(Answer::promise(503)),
            Fate::Busy => Behaviour::answers(Answer::promise(429)),
            Fate::Renewed => Behaviour::answers(Answer::promise(421)),
            Fate::Cut => {
                let cut = Answer {
                    cut: Some(900),
                    ..Answer::plain(200, 100)
                };
                Behaviour {
                    end: End::Close,
                    ..Behaviour::answers(cut)
                }
            }
            Fate::Nameless => {
                let nameless = Answer {
                    echo: Echo::Missing,
                    ..Answer::plain(200, 10)
                };
                let again = Step::Surplus {
                    back: 0,
                    answer: Answer::promise(503),
                };
                Behaviour {
                    steps: vec![Step::Own(nameless), again],
                    ..nothing
                }
                .with_work_begun()
            }
        }
    }
}

impl Behaviour {
    fn with_work_begun(self) -> Self {
        Self { runs: true, ..self }
    }
}

/// One order of fates, and who meets it.
#[derive(Clone, Copy, Debug)]
struct Order {
    fates: [Fate; DEPTH],
    repeatable: bool,
    /// Connections are there already, and used again.
    warm: bool,
    second_copies: bool,
}

/// What the orders share with the upstreams.
struct World {
    stand_in: Rc<StandIn>,
    balancers: Vec<EngineHandle>,
    engines: Vec<JoinHandle<()>>,
    next: Rc<Cell<usize>>,
    lives: RefCell<[usize; UPSTREAMS]>,
    /// A port that is taken, where nobody listens.
    nowhere: TcpSocket,
    order: Order,
}

fn settings(order: Order) -> Settings {
    let span = |time: Duration| Span(time.as_micros() as i64);
    let effect = if order.repeatable {
        Effect::Safe
    } else {
        Effect::Unsafe
    };
    let aim = span(DEADLINE / 2);
    let class = RequestClass {
        effect,
        max_attempts: Some(DEPTH),
        ..RequestClass::safe(aim, span(DEADLINE))
    };
    let mut settings = Settings::basic(vec![class]);
    settings.balancers = 2;
    settings.limits.hedging = order.second_copies;
    settings.limits.cancel = true;
    settings.limits.retry_after = true;
    settings.limits.max_retry_after = span(DEADLINE);
    settings
}

impl World {
    async fn new(order: Order) -> Rc<Self> {
        let next = Rc::new(Cell::new(0));
        let turn = next.clone();
        let script = move |_: &crate::stand_in::Request| {
            // What can't be reached has no request to answer.
            let fates = order.fates.iter().skip(turn.get()).copied();
            let fate = fates.clone().find(|f| *f != Fate::NothingLeft);
            turn.set(turn.get() + 1);
            fate.unwrap_or(Fate::Served).behaviour()
        };
        let stand_in = StandIn::start(UPSTREAMS, Box::new(script)).await;
        let nowhere = TcpSocket::new_v4().expect("a socket");
        nowhere
            .bind(SocketAddr::from(([127, 0, 0, 1], 0)))
            .expect("a port");
        let (mut balancers, mut engines) = (Vec::new(), Vec::new());
        for seed in 0..2 {
            let terms = engine::EngineConfig {
                seed,
                headroom: Duration::from_millis(5),
                drain_grace: Duration::ZERO,
                grid: Duration::from_millis(1),
                subscribe: None,
            };
            let (engine, handle) = Engine::new(terms, pool(16));
            engines.push(spawn_local(engine.run()));
            handle.tell(EngineEvent::Settings {
                service: 0,
                settings: Box::new(settings(order)),
            });
            balancers.push(handle);
        }
        let lives = RefCell::default();
        let world = Self {
            stand_in,
            balancers,
            engines,
            next,
            lives,
            nowhere,
            order,
        };
        world.tell(None);
        Rc::new(world)
    }

    /// Tells the balancers of the upstreams, or that they are at an address where nobody is.
    fn tell(&self, at: Option<SocketAddr>) {
        let list: Vec<ListedUpstream> = (0..UPSTREAMS)
            .map(|u| ListedUpstream {
                id: self.stand_in.name(u),
                address: Some(at.unwrap_or_else(|| self.stand_in.address(u))),
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
            balancer.tell(EngineEvent::Members {
                service: 0,
                kind: MembershipKind::Complete,
                list,
            });
        }
    }

    fn fate(&self) -> Option<Fate> {
        self.order.fates.get(self.next.get()).copied()
    }

    /// Brings about what no request shows: an upstream that can't be reached, or has become another.
    async fn turns(self: Rc<Self>) {
        let mut renewed = HashSet::new();
        loop {
            let turn = self.next.get();
            match self.fate() {
                Some(Fate::NothingLeft) => {
                    self.tell(self.nowhere.local_addr().ok());
                    sleep(UNREACHABLE).await;
                    self.tell(None);
                    self.next.set(self.next.get().max(turn + 1));
                }
                Some(Fate::Renewed) if renewed.insert(turn) => {
                    for upstream in 0..UPSTREAMS {
                        let mut lives = self.lives.borrow_mut();
                        lives[upstream] += 1;
                        self.stand_in.renew(upstream, lives[upstream]);
                    }
                    sleep(UNREACHABLE).await;
                    self.tell(None);
                }
                None => return,
                _ => sleep(Duration::from_millis(1)).await,
            }
        }
    }

    async fn ask(
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
            until: Instant::now() + DEADLINE,
            cost_guess: None,
            resent: call > 0,
        };
        self.balancers[balancer]
            .ask(0, arrival, forward(call, id, method, body))
            .await
    }
}

/// Whether the caller takes it that its request has not run and never will.
fn promises(reply: &EngineReply) -> bool {
    match reply {
        EngineReply::Refused { .. } => true,
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

async fn play(order: Order) -> Result<(), String> {
    let world = World::new(order).await;
    if order.warm {
        // Its fate is that of no one: the order begins after it.
        warm_up(&world).await;
    }
    let turns = spawn_local(world.clone().turns());
    let part = order.fates.contains(&Fate::PartLeft);
    let (method, body) = if part {
        (Method::POST, LARGE_BODY)
    } else {
        (Method::POST, 20)
    };
    let mut replies = Vec::new();
    for ask in 0..ASKS {
        let reply = world.ask(ask % 2, ask, "id", &method, body).await;
        let again =
            promises(&reply) || (order.repeatable && matches!(reply, EngineReply::Failed { .. }));
        replies.push(reply);
        if !again {
            break;
        }
    }
    turns.abort();
    world.engines.iter().for_each(JoinHandle::abort);
    for ask in 0..replies.len() {
        world.stand_in.call_ended(ask);
    }
    // Whatever was sent is read to its end: what runs later counts too.
    tokio::task::yield_now().await;
    world.stand_in.finish().await;
    verdict(&world, &replies)
}

/// An exchange on each connection before the order begins.
async fn warm_up(world: &World) {
    world.next.set(DEPTH);
    for balancer in 0..2 {
        for n in 0..UPSTREAMS {
            let call = 100 + balancer * UPSTREAMS + n;
            let id = format!("warm-{call}");
            world.ask(balancer, call, &id, &Method::POST, 0).await;
        }
    }
    world.next.set(0);
}

fn verdict(world: &World, replies: &[EngineReply]) -> Result<(), String> {
    if let Some(wrong) = world.stand_in.wrong.borrow().first() {
        return Err(wrong.clone());
    }
    let runs = |ask: usize| world.stand_in.account(ask).runs;
    if !world.order.repeatable {
        let all: usize = (0..replies.len()).map(runs).sum();
        if all > 1 {
            let accounts: Vec<_> = (0..replies.len())
                .map(|a| world.stand_in.account(a))
                .collect();
            return Err(format!("it ran {all} times; {accounts:?}"));
        }
        let broken = (0..replies.len()).find(|ask| promises(&replies[*ask]) && runs(*ask) > 0);
        if let Some(ask) = broken {
            return Err(format!(
                "ask {ask} ran, and was promised that it has not run"
            ));
        }
    }
    for (ask, reply) in replies.iter().enumerate() {
        let EngineReply::Served(answer) = reply else {
            continue;
        };
        let account = world.stand_in.account(ask);
        let serial = answer
            .headers()
            .get("answer-serial")
            .and_then(|v| v.to_str().ok());
        let own = |g: &&Given| g.whole && serial == Some(g.serial.to_string().as_str());
        let Some(given) = account.given.iter().find(own) else {
            return Err(format!(
                "ask {ask} got what was not given to it; {account:?}"
            ));
        };
        if answer.status().as_u16() != given.status || *answer.body() != given.body {
            return Err(format!("the answer to ask {ask} was changed"));
        }
    }
    Ok(())
}

fn orders() -> Vec<Order> {
    let mut all = Vec::new();
    for first in FATES {
        for second in FATES {
            for third in FATES {
                let fates = [first, second, third];
                let order = Order {
                    fates,
                    repeatable: false,
                    warm: false,
                    second_copies: true,
                };
                all.push(order);
                all.push(Order {
                    repeatable: true,
                    ..order
                });
                all.push(Order {
                    warm: true,
                    ..order
                });
                all.push(Order {
                    warm: true,
                    second_copies: false,
                    ..order
                });
            }
        }
    }
    all
}

async fn play_all(orders: Vec<Order>) -> Vec<(Order, String)> {
    let mut failed = Vec::new();
    for batch in orders.chunks(AT_ONCE) {
        let tasks: Vec<_> = batch.iter().map(|o| (*o, spawn_local(play(*o)))).collect();
        for (order, task) in tasks {
            let result = task.await.unwrap_or_else(|panic| Err(panic.to_string()));
            failed.extend(result.err().map(|cause| (order, cause)));
        }
    }
    failed
}

#[test]
fn what_may_run_once_runs_once_and_no_promise_is_broken_in_any_order_of_fates() {
    let orders = orders();
    let played = orders.len();
    let threads: Vec<_> = (0..THREADS)
        .map(|t| {
            let own: Vec<Order> = orders.iter().skip(t).step_by(THREADS).copied().collect();
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
        .for_each(|(order, cause)| println!("{cause}: {order:?}"));
    assert!(
        failed.is_empty(),
        "{} of {played} orders failed",
        failed.len()
    );
}
