//! Property test of attempts through the real upstream pool and its connections, by generated schedules. Each caller
//! must get the complete response that its upstream gave to this run of its request, or an outcome that does not claim
//! more than is known.
//!
//! `MODEL_SCHEDULES=1000000 cargo test -p data-plane --test model connection` runs more schedules, `MODEL_FIRST_SEED`
//! sets the first seed, and `MODEL_SEED=7` runs the schedule of one seed 1,000 times. A schedule that fails is shrunk
//! and printed.

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

use crate::schedule::{Call, Schedule, id, schedule};
use crate::scripted_upstream::{
    Behaviour, CallRecord, End, Framing, LARGE_BODY_BYTES, ScriptedResponse, ScriptedUpstreams,
    Step, request_body,
};

/// Number of schedules unless `MODEL_SCHEDULES` is set.
const SCHEDULES: u64 = 20_000;
const THREADS: u64 = 4;
/// Number of schedules that a thread runs concurrently, so that timeouts overlap.
const CONCURRENT_SCHEDULES: usize = 16;
/// Deadline of a call that need not be served.
const SHORT_TIMEOUT: Duration = Duration::from_millis(20);
/// Deadline of a call that must be served, too long to be reached.
const LONG_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of runs after which a schedule counts as passing while a failure is shrunk.
const REPEATS: usize = 10;
/// Number of failures after which a thread stops.
const MAX_FAILURES: usize = 5;
/// Seconds that are spent on shrinking one failure of each kind, unless `MODEL_SHRINK_S` is set.
const DEFAULT_SHRINK_S: u64 = 15;
/// Seeds of schedules that once failed.
const REGRESSIONS: &str = include_str!("regressions.txt");

/// Counts over all schedules, to check that they exercise the cases that the test is meant for.
#[derive(Clone, Debug, Default)]
struct Statistics {
    outcomes: HashMap<String, u64>,
    calls: u64,
    reused: u64,
    forwarded: u64,
    body_left_unread: u64,
    /// Calls that ended without a response while their request was being sent.
    ended_while_sending: u64,
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
        self.ended_while_sending += other.ended_while_sending;
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

/// Returns a caller's request, whose path contains the number of the call.
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
        body: request_body(body).to_vec().into(),
    }
}

/// Returns an upstream in one of its incarnations, as the target of an attempt.
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

/// Whether nothing that the upstream sends during a call can confuse a balancer that matches responses by id.
fn is_harmless(behaviour: &Behaviour) -> bool {
    let is_harmless_step = |step: &Step| match step {
        Step::Respond(response) | Step::Surplus { response, .. } => response.is_unambiguous(),
        Step::Interim(_) | Step::BeginWork(_) | Step::AfterCall => true,
        Step::Garbage(_) => false,
    };
    behaviour.end == End::Keep
        && behaviour.reads_body
        && behaviour.all_steps().all(is_harmless_step)
}

fn has_framing(call: &Call, framing: Framing) -> bool {
    call.behaviour
        .response()
        .is_some_and(|own| own.framing == framing)
}

/// Whether the upstream responds to this call such that its caller must get the response.
fn must_be_served(calls: &[Call], n: usize) -> bool {
    let call = &calls[n];
    let overlaps_next = calls.get(n + 1).is_some_and(|next| next.is_concurrent);
    let is_undisturbed = !(call.restarts_upstream
        || call.is_abandoned
        || call.disconnects
        || call.is_concurrent
        || overlaps_next);
    // A surplus response to a HEAD request is framed differently from one to another method.
    let has_head_request = calls[..=n].iter().any(|c| c.method == Method::HEAD);
    let bodiless = call
        .behaviour
        .response()
        .is_some_and(|a| a.has_no_body(&call.method));
    let is_undisturbed =
        is_undisturbed && !has_head_request && (!bodiless || has_framing(call, Framing::Length));
    let sealed = call
        .behaviour
        .response()
        .is_some_and(|a| a.sealed || a.status >= 300);
    let before = calls[..n]
        .iter()
        .all(|c| is_harmless(&c.behaviour) && !c.restarts_upstream);
    is_undisturbed
        && sealed
        && before
        && !call.to_former_incarnation
        && is_harmless(&call.behaviour)
}

/// Checks what must hold for a call, whatever its upstream did.
fn check(call: &Call, ended: Option<&AttemptResult>, record: &CallRecord) -> Result<(), String> {
    let err = |text: &str| Err(text.to_string());
    if record.requests > 1 {
        return err("one attempt put more than one request on the wire");
    }
    if call.is_abandoned && record.requests > 0 {
        return err("it was sent although its client had disconnected");
    }
    let Some(ended) = ended else { return Ok(()) };
    if ended.outcome.has_not_run() && record.runs > 0 {
        return Err(format!("{:?} for a request that was run", ended.outcome));
    }
    // Only a response says that a request was not run. Nothing else does once a part of the request was sent.
    let is_said = record.responses.iter().any(|given| given.says_not_run);
    if ended.outcome.has_not_run() && record.requests > 0 && !is_said {
        return Err(format!(
            "{:?} though no response said that the request was not run",
            ended.outcome
        ));
    }
    let Some(response) = &ended.response else {
        return if ended.outcome == AttemptOutcome::Ok {
            err("outcome Ok without a response")
        } else {
            Ok(())
        };
    };
    let Some(given) = record.responses.first() else {
        return err("a response that the upstream did not send");
    };
    let serial = response
        .headers()
        .get("answer-serial")
        .and_then(|v| v.to_str().ok());
    if serial != Some(given.serial.to_string().as_str()) {
        return err("the response to another request or run");
    }
    if response.status().as_u16() != given.status || *response.body() != given.body {
        return err("the response was changed");
    }
    if !given.complete {
        return err("a truncated or ambiguous response is forwarded as complete");
    }
    if response.status().is_success() && !given.sealed {
        return err("a success without its seal is forwarded");
    }
    Ok(())
}

/// Checks the outcome of a call that got an unambiguous response.
fn check_response(response: &ScriptedResponse, ended: &AttemptResult) -> Result<(), String> {
    let outcome = ended.outcome;
    let matches_response = match (response.status, response.not_run) {
        (503 | 429 | 421, true) => outcome.has_not_run(),
        // A status that implies that the request has not run must not be forwarded without proof.
        (503 | 429 | 421 | 408, false) => {
            outcome == AttemptOutcome::Error && ended.response.is_none()
        }
        // The header proves that the request has not run, and a 400 may be forwarded as well.
        (400, true) => outcome.has_not_run() || ended.response.is_some(),
        _ => ended.response.is_some(),
    };
    if matches_response {
        Ok(())
    } else {
        Err(format!(
            "{outcome:?} although its upstream sent an unambiguous response"
        ))
    }
}

async fn run_call(
    pool: Rc<UpstreamPool>,
    upstreams: Rc<ScriptedUpstreams>,
    schedule: Rc<Schedule>,
    n: usize,
    incarnation: usize,
) -> Option<AttemptResult> {
    let call = &schedule.calls[n];
    let (server, target) = target(upstreams.address(call.upstream), call.upstream, incarnation);
    let forward = forward(n, &id(call.id), &call.method, call.body);
    let span = if must_be_served(&schedule.calls, n) {
        LONG_TIMEOUT
    } else {
        SHORT_TIMEOUT
    };
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

async fn run_schedule(schedule: Rc<Schedule>) -> Result<Statistics, String> {
    let script = schedule.clone();
    let next = move |request: &crate::scripted_upstream::Request| {
        script.calls[request.call].behaviour.clone()
    };
    let upstreams = ScriptedUpstreams::start(2, Box::new(next)).await;
    let pool = pool(64);
    let ended: Rc<RefCell<HashMap<usize, Option<AttemptResult>>>> = Rc::default();
    let (mut incarnations, mut running) = ([0, 0], Vec::new());
    for (n, call) in schedule.calls.iter().enumerate() {
        if !call.is_concurrent {
            for task in running.drain(..) {
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
        let one = run_call(pool.clone(), upstreams.clone(), schedule.clone(), n, named);
        let results = ended.clone();
        running.push(spawn_local(async move {
            let result = one.await;
            results.borrow_mut().insert(n, result);
        }));
        let is_concurrent = schedule
            .calls
            .get(n + 1)
            .is_some_and(|next| next.is_concurrent);
        if call.flushes_delayed && !is_concurrent {
            for task in running.drain(..) {
                let _ = task.await;
            }
            upstreams.flush_delayed().await;
        }
    }
    for task in running {
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
            let own = call.behaviour.response().expect("a scripted response");
            check_response(own, ended).map_err(named)?;
        }
        let outcome = ended.map_or("Left".to_string(), |e| format!("{:?}", e.outcome));
        *statistics.outcomes.entry(outcome).or_default() += 1;
        statistics.calls += 1;
        statistics.reused += u64::from(record.reused);
        statistics.body_left_unread += u64::from(record.body_left_unread);
        let ended_while_sending = record.body_left_unread && call.body == LARGE_BODY_BYTES;
        statistics.ended_while_sending += u64::from(ended_while_sending && ended.is_some());
        statistics.forwarded += u64::from(ended.is_some_and(|e| e.response.is_some()));
    }
    Ok(statistics)
}

type Tree = Box<dyn ValueTree<Value = Schedule>>;

fn value_tree(seed: u64) -> Tree {
    // Spreads consecutive seeds, so that they don't yield similar random numbers.
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

/// Returns the text of a failure without the call and its record.
fn failure_kind(cause: &str) -> String {
    let cause = cause.split(';').next().unwrap_or_default();
    cause
        .split_once(": ")
        .map_or(cause, |(_, kind)| kind)
        .to_string()
}

async fn rerun(schedule: &Schedule, kind: &str) -> Option<String> {
    let again = |_| spawn_local(run_schedule(Rc::new(schedule.clone())));
    let tasks: Vec<_> = (0..REPEATS).map(again).collect();
    let mut failed = None;
    for task in tasks {
        let result = task.await.unwrap_or_else(|panic| Err(panic.to_string()));
        failed = failed.or(result.err().filter(|cause| failure_kind(cause) == kind));
    }
    failed
}

/// Shrinks a schedule as long as it fails in the same way, and returns the smallest one with its failure.
async fn shrink(mut tree: Tree, cause: String) -> (Schedule, String) {
    let kind = failure_kind(&cause);
    let mut smallest = (tree.current(), cause);
    let mut simpler = tree.simplify();
    let until = Instant::now()
        + Duration::from_secs(env_number("MODEL_SHRINK_S").unwrap_or(DEFAULT_SHRINK_S));
    while simpler && Instant::now() < until {
        let current = tree.current();
        simpler = match rerun(&current, &kind).await {
            Some(cause) => {
                smallest = (current, cause);
                tree.simplify()
            }
            None => tree.complicate(),
        };
    }
    smallest
}

/// The result of a batch of schedules: counts, and the seed and cause of each failure.
#[derive(Default)]
struct BatchResult {
    statistics: Statistics,
    failed: Vec<(u64, String)>,
}

/// Runs the schedules of these seeds concurrently.
async fn run_schedules(seeds: impl Iterator<Item = u64>) -> BatchResult {
    let (mut all, mut seeds) = (BatchResult::default(), seeds.peekable());
    while seeds.peek().is_some() && all.failed.len() < MAX_FAILURES {
        let batch: Vec<_> = seeds
            .by_ref()
            .take(CONCURRENT_SCHEDULES)
            .map(|seed| {
                (
                    seed,
                    spawn_local(run_schedule(Rc::new(value_tree(seed).current()))),
                )
            })
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

/// Prints the smallest schedule for each kind of failure, and panics if there is any.
fn report(failed: &[(u64, String)]) {
    let mut kinds: HashMap<String, Vec<&(u64, String)>> = HashMap::new();
    failed
        .iter()
        .for_each(|f| kinds.entry(failure_kind(&f.1)).or_default().push(f));
    for (kind, all) in &kinds {
        let (seed, cause) = all[0];
        let (schedule, shrink) = block_on_local(shrink(value_tree(*seed), cause.clone()));
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
        return report(&block_on_local(run_schedules(std::iter::repeat_n(seed, 1000))).failed);
    }
    let from = env_number("MODEL_FIRST_SEED").unwrap_or(0);
    let to = from + env_number("MODEL_SCHEDULES").unwrap_or(SCHEDULES);
    let threads: Vec<_> = (0..THREADS)
        .map(|t| {
            let seeds = (from + t..to).step_by(THREADS as usize);
            std::thread::spawn(move || block_on_local(run_schedules(seeds)))
        })
        .collect();
    let (mut all, mut failed) = (Statistics::default(), Vec::new());
    for thread in threads {
        let result = thread.join().expect("a thread that ends");
        all.add(&result.statistics);
        failed.extend(result.failed);
    }
    report(&failed);
    println!("{all:?}");
    if env_number("MODEL_SCHEDULES").is_some() {
        return;
    }
    // Enough schedules must exercise these cases, also on a slow machine.
    assert!(
        all.reused > all.calls / 20,
        "too few connections are reused: {all:?}"
    );
    assert!(
        all.forwarded > all.calls / 8,
        "too few responses are forwarded: {all:?}"
    );
    assert!(
        all.body_left_unread > 0
            && all.ended_while_sending > all.calls / 1000
            && all.outcomes.len() >= 7,
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
    report(&block_on_local(run_schedules(repeated)).failed);
}
