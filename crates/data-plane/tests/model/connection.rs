//! Attempts through the real pool and its connections by generated schedules. Each caller gets the complete response
//! that its upstream gave to this run of its request, or an honest failure.
//!
//! `MODEL_SCHEDULES=1000000 cargo test -p data-plane --test model connection` plays more of them,
//! `MODEL_FIRST_SEED` begins at another seed, and `MODEL_SEED=7` plays one schedule 1,000 times. A schedule that fails is
//! shrunk and printed.

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

use crate::schedule::{Call, SLOW_BODY_BYTES, Schedule, id, schedule};
use crate::scripted_upstream::{
    Behaviour, CallRecord, End, Framing, LARGE_BODY_BYTES, ScriptedResponse, ScriptedUpstreams,
    Step, request_body,
};

/// Schedules of each run of the tests.
const SCHEDULES: u64 = 20_000;
const THREADS: u64 = 4;
/// Schedules that a thread plays concurrently, so that timeouts overlap.
const CONCURRENT_SCHEDULES: usize = 16;
/// Deadline of a call that need not be served; one that must be has a deadline that no test reaches.
const SHORT_TIMEOUT: Duration = Duration::from_millis(20);
const LONG_TIMEOUT: Duration = Duration::from_secs(30);
/// Runs of a schedule before it counts as one that passes, while a failure is shrunk.
const REPEATS: usize = 10;
/// A thread stops after so many failures.
const MAX_FAILURES: usize = 5;
/// Seconds that are spent on shrinking a failure of each kind, unless `MODEL_SHRINK_S` says otherwise.
const DEFAULT_SHRINK_S: u64 = 15;
/// Seeds of schedules that failed once.
const REGRESSIONS: &str = include_str!("regressions.txt");

/// Counts over all schedules, to show that the model reaches what it is about.
#[derive(Clone, Debug, Default)]
struct Statistics {
    outcomes: HashMap<String, u64>,
    calls: u64,
    reused: u64,
    forwarded: u64,
    body_left_unread: u64,
}

impl Statistics {
    fn add(&mut self, other: &Statistics) {
        for (outcome, count) in &other.outcomes {
            *self.outcomes.entry(outcome.clone()).or_default() += count;
        }
        self.calls += other.calls;
        self.reused += other.reused;
        self.forwarded += other.forwarded;
        self.body_left_unread += other.body_left_unread;
    }
}

pub(crate) fn pool(max_connections: usize) -> Rc<UpstreamPool> {
    UpstreamPool::new(PoolConfig {
        max_connections,
        keepalive: Duration::from_secs(8),
        connect_timeout: Duration::from_secs(10),
        max_response_bytes: 64 << 20,
        protocol: upstream_protocol(),
    })
}

/// A request of a caller, whose path names the call.
pub(crate) fn forward(call: usize, id: &str, method: &Method, body: usize) -> ForwardedRequest {
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

/// An upstream in one of its incarnations, as attempts see it.
fn target(address: SocketAddr, upstream: usize, incarnation: usize) -> (ServerId, Target) {
    let name = HeaderValue::from_str(&format!("i-{upstream}-{incarnation}")).ok();
    let server = ServerId((upstream + 2 * incarnation) as u32);
    (
        server,
        Target {
            address: Cell::new(address),
            name,
            closed_at: Cell::new(None),
        },
    )
}

/// Whether nothing that an upstream sends during a call disturbs a balancer that matches responses by id.
fn is_harmless(behaviour: &Behaviour) -> bool {
    let clear = |step: &Step| match step {
        Step::Respond(answer) | Step::Surplus { answer, .. } => answer.is_unambiguous(),
        Step::Interim(_) | Step::AfterCall => true,
        Step::Garbage(_) => false,
    };
    behaviour.end == End::Keep && behaviour.reads_body && behaviour.all_steps().all(clear)
}

fn has_framing(call: &Call, framing: Framing) -> bool {
    call.behaviour
        .response()
        .is_some_and(|own| own.framing == framing)
}

/// Whether the upstream responds to this call such that its caller must get the response.
fn must_be_served(calls: &[Call], n: usize) -> bool {
    let call = &calls[n];
    let near = calls.get(n + 1).is_some_and(|next| next.is_concurrent);
    let usual = !(call.restarts_upstream
        || call.is_abandoned
        || call.disconnects
        || call.is_concurrent
        || near);
    // A surplus response to a HEAD is framed otherwise than one to another method.
    let requests = calls[..=n].iter().any(|c| c.method == Method::HEAD);
    let bodiless = call
        .behaviour
        .response()
        .is_some_and(|a| a.has_no_body(&call.method));
    let usual = usual && !requests && (!bodiless || has_framing(call, Framing::Length));
    let sealed = call
        .behaviour
        .response()
        .is_some_and(|a| a.sealed || a.status >= 300);
    let before = calls[..n]
        .iter()
        .all(|c| is_harmless(&c.behaviour) && !c.restarts_upstream);
    usual && sealed && before && !call.to_former_incarnation && is_harmless(&call.behaviour)
}

/// Whether the upstream runs the request before all of it has come. That shows in the response, if it is awaited.
fn runs_before_body(call: &Call) -> bool {
    let behaviour = &call.behaviour;
    let before_body = behaviour
        .before_body
        .iter()
        .any(|step| matches!(step, Step::Respond(_)));
    call.body >= SLOW_BODY_BYTES && behaviour.runs && (before_body || !behaviour.reads_body)
}

/// What must hold for a call, whatever its upstream did.
fn check(call: &Call, ended: Option<&AttemptResult>, record: &CallRecord) -> Result<(), String> {
    let err = |text: &str| Err(text.to_string());
    if record.requests > 1 {
        return err("one attempt put more than one request on the wire");
    }
    if call.is_abandoned && record.requests > 0 {
        return err("it was sent though its client had left");
    }
    let Some(ended) = ended else { return Ok(()) };
    if ended.outcome.has_not_run() && record.runs > 0 {
        return Err(format!("{:?} for a request that was run", ended.outcome));
    }
    let unread = record.body_left_unread && call.body == LARGE_BODY_BYTES;
    let spoke = call
        .behaviour
        .before_body
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
    let Some(given) = record.responses.first() else {
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
    if !given.complete {
        return err("an answer that was cut, or can be read in two ways, is handed on as whole");
    }
    if response.status().is_success() && !given.sealed {
        return err("a success without its seal is handed on");
    }
    Ok(())
}

/// What must come of a call that got an unambiguous response.
fn check_response(answer: &ScriptedResponse, ended: &AttemptResult) -> Result<(), String> {
    let outcome = ended.outcome;
    let right = match (answer.status, answer.not_run) {
        (421, _) | (503 | 429, true) => outcome.has_not_run(),
        // A status that implies that it has not run must not be forwarded without proof.
        (503 | 429 | 408, false) => outcome == AttemptOutcome::Error && ended.response.is_none(),
        // Both are honest.
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

async fn play_call(
    pool: Rc<UpstreamPool>,
    upstreams: Rc<ScriptedUpstreams>,
    schedule: Rc<Schedule>,
    n: usize,
    incarnation: usize,
) -> Option<AttemptResult> {
    let call = &schedule.calls[n];
    let (server, target) = target(upstreams.address(call.upstream), call.upstream, incarnation);
    let forward = forward(n, &id(call.id), &call.method, call.body);
    let waits = must_be_served(&schedule.calls, n) || runs_before_body(call);
    let span = if waits { LONG_TIMEOUT } else { SHORT_TIMEOUT };
    let until = Instant::now() + span;
    let attempt = pool.attempt(server, &target, &forward, until, || !call.is_abandoned);
    let ended = tokio::select! {
        biased;
        ended = attempt => Some(ended),
        () = upstreams.wait_for_request(n), if call.disconnects => None,
    };
    upstreams.on_call_ended(n);
    ended
}

async fn play(schedule: Rc<Schedule>) -> Result<Statistics, String> {
    let script = schedule.clone();
    let next = move |request: &crate::scripted_upstream::Request| {
        script.calls[request.call].behaviour.clone()
    };
    let upstreams = ScriptedUpstreams::start(2, Box::new(next)).await;
    let pool = pool(64);
    let ended: Rc<RefCell<HashMap<usize, Option<AttemptResult>>>> = Rc::default();
    let (mut incarnations, mut under_way) = ([0, 0], Vec::new());
    for (n, call) in schedule.calls.iter().enumerate() {
        if !call.is_concurrent {
            for task in under_way.drain(..) {
                let _ = task.await;
            }
        }
        let incarnation = &mut incarnations[call.upstream];
        if call.restarts_upstream {
            *incarnation += 1;
            upstreams.restart(call.upstream, *incarnation);
        }
        let named = if call.to_former_incarnation {
            incarnation.saturating_sub(1)
        } else {
            *incarnation
        };
        let one = play_call(pool.clone(), upstreams.clone(), schedule.clone(), n, named);
        let results = ended.clone();
        under_way.push(spawn_local(async move {
            let result = one.await;
            results.borrow_mut().insert(n, result);
        }));
        let is_concurrent = schedule
            .calls
            .get(n + 1)
            .is_some_and(|next| next.is_concurrent);
        if call.flushes_delayed && !is_concurrent {
            for task in under_way.drain(..) {
                let _ = task.await;
            }
            upstreams.flush_delayed().await;
        }
    }
    for task in under_way {
        let _ = task.await;
    }
    drop(pool);
    upstreams.finish().await;
    let ended = ended.borrow();
    check_schedule(&schedule, &upstreams, &ended)
}

fn check_schedule(
    schedule: &Schedule,
    upstreams: &ScriptedUpstreams,
    ended: &HashMap<usize, Option<AttemptResult>>,
) -> Result<Statistics, String> {
    let mut statistics = Statistics::default();
    if let Some(wrong) = upstreams.violations.borrow().first() {
        return Err(wrong.clone());
    }
    for (n, call) in schedule.calls.iter().enumerate() {
        let ended = ended.get(&n).and_then(Option::as_ref);
        let record = upstreams.record(n);
        let named = |e| format!("call {n}: {e}; the record is {record:?}");
        check(call, ended, &record).map_err(named)?;
        if let (Some(ended), true) = (ended, must_be_served(&schedule.calls, n)) {
            let own = call.behaviour.response().expect("it answers");
            check_response(own, ended).map_err(named)?;
        }
        let outcome = ended.map_or("Left".to_string(), |e| format!("{:?}", e.outcome));
        *statistics.outcomes.entry(outcome).or_default() += 1;
        statistics.calls += 1;
        statistics.reused += u64::from(record.reused);
        statistics.body_left_unread += u64::from(record.body_left_unread);
        statistics.forwarded += u64::from(ended.is_some_and(|e| e.response.is_some()));
    }
    Ok(statistics)
}

type Tree = Box<dyn ValueTree<Value = Schedule>>;

fn tree(seed: u64) -> Tree {
    // Seeds that are near each other must not give similar numbers.
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

fn block_on_local<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), test)
}

/// The text of a failure, without the call and its record.
fn failure_kind(cause: &str) -> String {
    let cause = cause.split(';').next().unwrap_or_default();
    cause
        .split_once(": ")
        .map_or(cause, |(_, kind)| kind)
        .to_string()
}

async fn replay(schedule: &Schedule, like: &str) -> Option<String> {
    let again = |_| spawn_local(play(Rc::new(schedule.clone())));
    let tasks: Vec<_> = (0..REPEATS).map(again).collect();
    let mut failed = None;
    for task in tasks {
        let result = task.await.unwrap_or_else(|panic| Err(panic.to_string()));
        failed = failed.or(result.err().filter(|cause| failure_kind(cause) == like));
    }
    failed
}

/// Shrinks a schedule as long as it fails in the same way; returns the smallest one and its failure.
async fn shrink(mut tree: Tree, cause: String) -> (Schedule, String) {
    let like = failure_kind(&cause);
    let mut least = (tree.current(), cause);
    let mut simpler = tree.simplify();
    let until = Instant::now()
        + Duration::from_secs(env_number("MODEL_SHRINK_S").unwrap_or(DEFAULT_SHRINK_S));
    while simpler && Instant::now() < until {
        let current = tree.current();
        simpler = match replay(&current, &like).await {
            Some(cause) => {
                least = (current, cause);
                tree.simplify()
            }
            None => tree.complicate(),
        };
    }
    least
}

/// Counts, and the seeds of the schedules that failed, with the failure.
#[derive(Default)]
struct Played {
    statistics: Statistics,
    failed: Vec<(u64, String)>,
}

/// Plays schedules concurrently, by their seeds.
async fn play_all(seeds: impl Iterator<Item = u64>) -> Played {
    let (mut all, mut seeds) = (Played::default(), seeds.peekable());
    while seeds.peek().is_some() && all.failed.len() < MAX_FAILURES {
        let batch: Vec<_> = seeds
            .by_ref()
            .take(CONCURRENT_SCHEDULES)
            .map(|seed| (seed, spawn_local(play(Rc::new(tree(seed).current())))))
            .collect();
        for (seed, task) in batch {
            match task.await {
                Ok(Ok(statistics)) => all.statistics.add(&statistics),
                Ok(Err(cause)) => all.failed.push((seed, cause)),
                Err(panic) => all.failed.push((seed, panic.to_string())),
            }
        }
    }
    all
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|text| text.parse().ok())
}

/// Prints the smallest schedule for each kind of failure, and fails if there is any.
fn report(failed: &[(u64, String)]) {
    let mut kinds: HashMap<String, Vec<&(u64, String)>> = HashMap::new();
    failed
        .iter()
        .for_each(|f| kinds.entry(failure_kind(&f.1)).or_default().push(f));
    for (kind, all) in &kinds {
        let (seed, cause) = all[0];
        let (schedule, shrink) = block_on_local(shrink(tree(*seed), cause.clone()));
        println!("\n{} schedules: {kind}\nseed {seed}: {shrink}", all.len());
        schedule
            .calls
            .iter()
            .enumerate()
            .for_each(|(n, call)| println!("  call {n}: {call:?}"));
    }
    assert!(failed.is_empty(), "{} schedules failed", failed.len());
}

#[test]
fn caller_gets_its_own_complete_response_or_an_honest_failure() {
    if let Some(seed) = env_number("MODEL_SEED") {
        return report(&block_on_local(play_all(std::iter::repeat_n(seed, 1000))).failed);
    }
    let from = env_number("MODEL_FIRST_SEED").unwrap_or(0);
    let to = from + env_number("MODEL_SCHEDULES").unwrap_or(SCHEDULES);
    let threads: Vec<_> = (0..THREADS)
        .map(|t| {
            let seeds = (from + t..to).step_by(THREADS as usize);
            std::thread::spawn(move || block_on_local(play_all(seeds)))
        })
        .collect();
    let (mut all, mut failed) = (Statistics::default(), Vec::new());
    for thread in threads {
        let played = thread.join().expect("a thread that ends");
        all.add(&played.statistics);
        failed.extend(played.failed);
    }
    report(&failed);
    println!("{all:?}");
    if env_number("MODEL_SCHEDULES").is_some() {
        return;
    }
    // Enough schedules must reach what they are about, on a slow machine too.
    assert!(
        all.reused > all.calls / 20,
        "too few connections are used again: {all:?}"
    );
    assert!(
        all.forwarded > all.calls / 8,
        "too few answers are handed on: {all:?}"
    );
    assert!(
        all.body_left_unread > 0 && all.outcomes.len() >= 7,
        "{all:?}"
    );
}

#[test]
fn schedules_that_failed_once_pass() {
    let seeds = REGRESSIONS
        .lines()
        .filter_map(|line| line.split('#').next()?.trim().parse().ok());
    let all: Vec<u64> = seeds.collect();
    let repeated = all
        .into_iter()
        .flat_map(|seed| std::iter::repeat_n(seed, REPEATS));
    report(&block_on_local(play_all(repeated)).failed);
}
