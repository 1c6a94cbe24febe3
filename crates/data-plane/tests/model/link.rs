//! Attempts through the real pool and its connections by generated schedules. Each caller gets the whole answer
//! that its upstream gave to this run of its request, or an honest failure.
//!
//! `LINK_SCHEDULES=1000000 cargo test -p data-plane --test model link` plays more of them, `LINK_FROM` begins at
//! another seed, and `LINK_SEED=7` plays one schedule over and over. What fails is made smaller and printed.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use data_plane::runtime::upstream_protocol;
use data_plane::upstream_pool::{
    AttemptResult, ForwardedRequest, PoolConfig, Target, UpstreamPool,
};
use hyper::header::{CONTENT_LENGTH, HOST, HeaderMap, HeaderValue};
use hyper::{Method, Uri};
use load_balancing::interface::{AttemptOutcome, ServerId};
use proptest::strategy::{BoxedStrategy, Strategy, ValueTree};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::Instant;

use crate::schedule::{Call, SOME_BODY, Schedule, id, schedule};
use crate::stand_in::{
    Account, Answer, Behaviour, End, Framing, LARGE_BODY, StandIn, Step, request_body,
};

/// Schedules of each run of the tests.
const SCHEDULES: u64 = 20_000;
const THREADS: u64 = 4;
/// At once on each thread, so that time-outs pass side by side.
const AT_ONCE: usize = 16;
/// What need not end otherwise is given up after this; what must be answered, never within a test.
const SHORT: Duration = Duration::from_millis(20);
const LONG: Duration = Duration::from_secs(30);
/// Runs of a schedule before it counts as one that holds, as a failure is made smaller.
const REPEATS: usize = 10;
/// So many failures on a thread are enough.
const ENOUGH: usize = 5;
/// So much time is spent on making a failure of each kind smaller, unless `LINK_SHRINK_S` says otherwise.
const SHRINK_S: u64 = 15;
/// Seeds that once failed.
const REGRESSIONS: &str = include_str!("regressions.txt");

/// What was seen over all schedules, to show that the model reaches what it is about.
#[derive(Clone, Debug, Default)]
struct Seen {
    outcomes: HashMap<String, u64>,
    calls: u64,
    reused: u64,
    handed_on: u64,
    left_unread: u64,
}

impl Seen {
    fn add(&mut self, other: &Seen) {
        for (outcome, count) in &other.outcomes {
            *self.outcomes.entry(outcome.clone()).or_default() += count;
        }
        self.calls += other.calls;
        self.reused += other.reused;
        self.handed_on += other.handed_on;
        self.left_unread += other.left_unread;
    }
}

pub fn pool(most: usize) -> Rc<UpstreamPool> {
    UpstreamPool::new(PoolConfig {
        max_connections: most,
        keepalive: Duration::from_secs(8),
        connect_timeout: Duration::from_secs(10),
        max_response_bytes: 64 << 20,
        protocol: upstream_protocol(),
    })
}

/// A request of a caller, whose path names the call.
pub fn forward(call: usize, id: &str, method: &Method, body: usize) -> ForwardedRequest {
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_static("h"));
    headers.insert("attempt-id", HeaderValue::from_str(id).expect("an id"));
    if body > 0 {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(body));
    }
    let uri = Uri::try_from(format!("/call/{call}")).expect("a path");
    ForwardedRequest {
        method: method.clone(),
        uri,
        headers,
        body: request_body(body),
    }
}

/// Where calls go, by their upstream and its life.
fn target(address: SocketAddr, upstream: usize, life: usize) -> (ServerId, Target) {
    let name = HeaderValue::from_str(&format!("i-{upstream}-{life}")).ok();
    let server = ServerId((upstream + 2 * life) as u32);
    (
        server,
        Target {
            address: Cell::new(address),
            name,
            closed_from: Cell::new(None),
        },
    )
}

/// Whether nothing that an upstream says around a call harms those who go by the ids.
fn tame(behaviour: &Behaviour) -> bool {
    let clear = |step: &Step| match step {
        Step::Own(answer) | Step::Surplus { answer, .. } => answer.clear(),
        Step::Interim(_) | Step::AfterCall => true,
        Step::Garbage(_) => false,
    };
    behaviour.end == End::Keep && behaviour.reads_body && behaviour.all().all(clear)
}

fn framed(call: &Call, framing: Framing) -> bool {
    call.behaviour
        .own()
        .is_some_and(|own| own.framing == framing)
}

/// Whether the upstream answers this call such that its caller must get the answer.
fn must_be_answered(calls: &[Call], n: usize) -> bool {
    let call = &calls[n];
    let near = calls.get(n + 1).is_some_and(|next| next.beside);
    let usual = !(call.renews || call.over || call.leaves || call.beside || near);
    // What follows a HEAD is framed in another way than what answers another method.
    let heads = calls[..=n].iter().any(|c| c.method == Method::HEAD);
    let bodiless = call
        .behaviour
        .own()
        .is_some_and(|a| a.bodiless(&call.method));
    let usual = usual && !heads && (!bodiless || framed(call, Framing::Length));
    let sealed = call
        .behaviour
        .own()
        .is_some_and(|a| a.sealed || a.status >= 300);
    let before = calls[..n].iter().all(|c| tame(&c.behaviour) && !c.renews);
    usual && sealed && before && !call.stale && tame(&call.behaviour)
}

/// Whether work begins on a part of the request. It shows in the answer, if that is waited for.
fn begins_early(call: &Call) -> bool {
    let behaviour = &call.behaviour;
    let early = behaviour
        .early
        .iter()
        .any(|step| matches!(step, Step::Own(_)));
    call.body >= SOME_BODY && behaviour.runs && (early || !behaviour.reads_body)
}

/// What holds for one call, whatever its upstream did.
fn check(call: &Call, ended: Option<&AttemptResult>, account: &Account) -> Result<(), String> {
    let err = |text: &str| Err(text.to_string());
    if account.heads > 1 {
        return err("one attempt put more than one request on the wire");
    }
    if call.over && account.heads > 0 {
        return err("it was sent though its client had left");
    }
    let Some(ended) = ended else { return Ok(()) };
    if ended.outcome.has_not_run() && account.runs > 0 {
        return Err(format!("{:?} for a request that was run", ended.outcome));
    }
    let unread = account.left_unread && call.body == LARGE_BODY;
    let spoke = call
        .behaviour
        .early
        .iter()
        .any(|s| !matches!(s, Step::AfterCall));
    if unread && !spoke && !ended.outcome.has_not_run() {
        return Err(format!(
            "{:?} for a request that never left whole",
            ended.outcome
        ));
    }
    let Some(response) = &ended.response else {
        return if ended.outcome == AttemptOutcome::Ok {
            err("served without an answer")
        } else {
            Ok(())
        };
    };
    let Some(given) = account.given.first() else {
        return err("an answer that was not given");
    };
    let serial = response
        .headers()
        .get("answer-serial")
        .and_then(|v| v.to_str().ok());
    if serial != Some(given.serial.to_string().as_str()) {
        return err("the answer to something else");
    }
    if response.status().as_u16() != given.status || *response.body() != given.body {
        return err("the answer was changed");
    }
    if !given.whole {
        return err("an answer that was cut, or can be read in two ways, is handed on as whole");
    }
    if response.status().is_success() && !given.sealed {
        return err("a success without its seal is handed on");
    }
    Ok(())
}

/// What must come of a call that was answered clearly.
fn check_answered(answer: &Answer, ended: &AttemptResult) -> Result<(), String> {
    let outcome = ended.outcome;
    let right = match (answer.status, answer.not_run) {
        (421, _) | (503 | 429, true) => outcome.has_not_run(),
        // A promise that the upstream did not make is not its answer.
        (503 | 429 | 408, false) => outcome == AttemptOutcome::Error && ended.response.is_none(),
        // Either is honest.
        (400, true) => outcome.has_not_run() || ended.response.is_some(),
        _ => ended.response.is_some(),
    };
    if right {
        Ok(())
    } else {
        Err(format!(
            "{outcome:?} though its upstream answered it clearly"
        ))
    }
}

async fn one(
    pool: Rc<UpstreamPool>,
    stand_in: Rc<StandIn>,
    schedule: Rc<Schedule>,
    n: usize,
    life: usize,
) -> Option<AttemptResult> {
    let call = &schedule.calls[n];
    let (server, target) = target(stand_in.address(call.upstream), call.upstream, life);
    let forward = forward(n, &id(call.id), &call.method, call.body);
    let waits = must_be_answered(&schedule.calls, n) || begins_early(call);
    let span = if waits { LONG } else { SHORT };
    let until = Instant::now() + span;
    let attempt = pool.attempt(server, &target, &forward, until, || !call.over);
    let ended = tokio::select! {
        biased;
        ended = attempt => Some(ended),
        () = stand_in.came(n), if call.leaves => None,
    };
    stand_in.call_ended(n);
    ended
}

async fn play(schedule: Rc<Schedule>) -> Result<Seen, String> {
    let script = schedule.clone();
    let next =
        move |request: &crate::stand_in::Request| script.calls[request.call].behaviour.clone();
    let stand_in = StandIn::start(2, Box::new(next)).await;
    let pool = pool(64);
    let ended: Rc<RefCell<HashMap<usize, Option<AttemptResult>>>> = Rc::default();
    let (mut lives, mut under_way) = ([0, 0], Vec::new());
    for (n, call) in schedule.calls.iter().enumerate() {
        if !call.beside {
            for task in under_way.drain(..) {
                let _ = task.await;
            }
        }
        let life = &mut lives[call.upstream];
        if call.renews {
            *life += 1;
            stand_in.renew(call.upstream, *life);
        }
        let named = if call.stale {
            life.saturating_sub(1)
        } else {
            *life
        };
        let one = one(pool.clone(), stand_in.clone(), schedule.clone(), n, named);
        let results = ended.clone();
        under_way.push(spawn_local(async move {
            let result = one.await;
            results.borrow_mut().insert(n, result);
        }));
        let beside = schedule.calls.get(n + 1).is_some_and(|next| next.beside);
        if call.settles && !beside {
            for task in under_way.drain(..) {
                let _ = task.await;
            }
            stand_in.settle().await;
        }
    }
    for task in under_way {
        let _ = task.await;
    }
    drop(pool);
    stand_in.finish().await;
    let ended = ended.borrow();
    verdict(&schedule, &stand_in, &ended)
}

fn verdict(
    schedule: &Schedule,
    stand_in: &StandIn,
    ended: &HashMap<usize, Option<AttemptResult>>,
) -> Result<Seen, String> {
    let mut seen = Seen::default();
    if let Some(wrong) = stand_in.wrong.borrow().first() {
        return Err(wrong.clone());
    }
    for (n, call) in schedule.calls.iter().enumerate() {
        let ended = ended.get(&n).and_then(Option::as_ref);
        let account = stand_in.account(n);
        let named = |e| format!("call {n}: {e}; the account is {account:?}");
        check(call, ended, &account).map_err(named)?;
        if let (Some(ended), true) = (ended, must_be_answered(&schedule.calls, n)) {
            let own = call.behaviour.own().expect("it answers");
            check_answered(own, ended).map_err(named)?;
        }
        let outcome = ended.map_or("Left".to_string(), |e| format!("{:?}", e.outcome));
        *seen.outcomes.entry(outcome).or_default() += 1;
        seen.calls += 1;
        seen.reused += u64::from(account.reused);
        seen.left_unread += u64::from(account.left_unread);
        seen.handed_on += u64::from(ended.is_some_and(|e| e.response.is_some()));
    }
    Ok(seen)
}

type Tree = Box<dyn ValueTree<Value = Schedule>>;

fn tree(seed: u64) -> Tree {
    // Seeds that are near each other must not give like numbers.
    let spread = (u128::from(seed) + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835);
    let rng = TestRng::from_seed(RngAlgorithm::XorShift, &spread.to_le_bytes());
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    thread_local! {
        static SCHEDULE: BoxedStrategy<Schedule> = schedule().boxed();
    }
    SCHEDULE
        .with(|schedule| schedule.new_tree(&mut runner))
        .expect("a schedule")
}

fn on_a_thread<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test)
}

/// What kind of failure it is, without the call and its account.
fn kind(cause: &str) -> String {
    let cause = cause.split(';').next().unwrap_or_default();
    cause
        .split_once(": ")
        .map_or(cause, |(_, kind)| kind)
        .to_string()
}

async fn fails(schedule: &Schedule, like: &str) -> Option<String> {
    let again = |_| spawn_local(play(Rc::new(schedule.clone())));
    let tasks: Vec<_> = (0..REPEATS).map(again).collect();
    let mut failed = None;
    for task in tasks {
        let result = task.await.unwrap_or_else(|panic| Err(panic.to_string()));
        failed = failed.or(result.err().filter(|cause| kind(cause) == like));
    }
    failed
}

/// The smallest schedule near this one that fails in the same way, and how.
async fn smallest(mut tree: Tree, cause: String) -> (Schedule, String) {
    let like = kind(&cause);
    let mut least = (tree.current(), cause);
    let mut simpler = tree.simplify();
    let until = Instant::now() + Duration::from_secs(told("LINK_SHRINK_S").unwrap_or(SHRINK_S));
    while simpler && Instant::now() < until {
        let current = tree.current();
        simpler = match fails(&current, &like).await {
            Some(cause) => {
                least = (current, cause);
                tree.simplify()
            }
            None => tree.complicate(),
        };
    }
    least
}

/// What was seen, and the seeds of the schedules that failed, with how.
#[derive(Default)]
struct Played {
    seen: Seen,
    failed: Vec<(u64, String)>,
}

/// Plays schedules side by side.
async fn play_all(seeds: impl Iterator<Item = u64>) -> Played {
    let (mut all, mut seeds) = (Played::default(), seeds.peekable());
    while seeds.peek().is_some() && all.failed.len() < ENOUGH {
        let batch: Vec<_> = seeds
            .by_ref()
            .take(AT_ONCE)
            .map(|seed| (seed, spawn_local(play(Rc::new(tree(seed).current())))))
            .collect();
        for (seed, task) in batch {
            match task.await {
                Ok(Ok(seen)) => all.seen.add(&seen),
                Ok(Err(cause)) => all.failed.push((seed, cause)),
                Err(panic) => all.failed.push((seed, panic.to_string())),
            }
        }
    }
    all
}

fn told(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|text| text.parse().ok())
}

/// Shows the smallest schedule for each kind of failure.
fn report(failed: &[(u64, String)]) {
    let mut kinds: HashMap<String, Vec<&(u64, String)>> = HashMap::new();
    failed
        .iter()
        .for_each(|f| kinds.entry(kind(&f.1)).or_default().push(f));
    for (kind, all) in &kinds {
        let (seed, cause) = all[0];
        let (schedule, smallest) = on_a_thread(smallest(tree(*seed), cause.clone()));
        println!("\n{} schedules: {kind}\nseed {seed}: {smallest}", all.len());
        schedule
            .calls
            .iter()
            .enumerate()
            .for_each(|(n, call)| println!("  call {n}: {call:?}"));
    }
    assert!(failed.is_empty(), "{} schedules failed", failed.len());
}

#[test]
fn each_caller_gets_the_whole_answer_to_its_own_request_or_an_honest_failure() {
    if let Some(seed) = told("LINK_SEED") {
        return report(&on_a_thread(play_all(std::iter::repeat_n(seed, 1000))).failed);
    }
    let from = told("LINK_FROM").unwrap_or(0);
    let to = from + told("LINK_SCHEDULES").unwrap_or(SCHEDULES);
    let threads: Vec<_> = (0..THREADS)
        .map(|t| {
            let seeds = (from + t..to).step_by(THREADS as usize);
            std::thread::spawn(move || on_a_thread(play_all(seeds)))
        })
        .collect();
    let (mut all, mut failed) = (Seen::default(), Vec::new());
    for thread in threads {
        let played = thread.join().expect("a thread that ends");
        all.add(&played.seen);
        failed.extend(played.failed);
    }
    report(&failed);
    println!("{all:?}");
    if told("LINK_SCHEDULES").is_some() {
        return;
    }
    // Enough of what is made must be what it is about, on a slow machine too.
    assert!(
        all.reused > all.calls / 20,
        "too few connections are used again: {all:?}"
    );
    assert!(
        all.handed_on > all.calls / 8,
        "too few answers are handed on: {all:?}"
    );
    assert!(all.left_unread > 0 && all.outcomes.len() >= 7, "{all:?}");
}

#[test]
fn what_failed_once_holds() {
    let seeds = REGRESSIONS
        .lines()
        .filter_map(|line| line.split('#').next()?.trim().parse().ok());
    let all: Vec<u64> = seeds.collect();
    let repeated = all
        .into_iter()
        .flat_map(|seed| std::iter::repeat_n(seed, REPEATS));
    report(&on_a_thread(play_all(repeated)).failed);
}
