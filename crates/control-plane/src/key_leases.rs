//! Where upstreams divide a service's keys: while this one leads, it puts into the log who is to hold which, and
//! grants and takes back what is agreed on. What is planned is `placement`'s; here are the calls.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use data_plane::http_client::{HttpClient, HttpClientError};
use http_body_util::Full;
use hyper::header::CONTENT_TYPE;
use hyper::{Request, StatusCode};
use placement::{Candidate, KeyLoad, LeaseCall, LeaseCallOutcome, LeaseRequest, Planner, Timing};
use serde_json::json;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

use crate::server::{ControlServer, ELECTION_TIMEOUT_MS};

/// Keys are granted for so long, or for as long as the platform allows: an election takes up to two of its
/// time-outs, and what was renewed last a third of this ago must outlive it.
const HOLD: u64 = 5000;
const _: () = assert!(HOLD - HOLD / 3 > 2 * ELECTION_TIMEOUT_MS);
/// A grant is given up after so long: twice across regions and a busy moment at either end.
const CALL: u64 = 800;
/// A release is answered once what ran on the keys has ended.
const RELEASE: u64 = 3000;
/// Who leads sends grants for so long after it surely led: some heartbeats.
const STALE: u64 = 1000;
/// Between two calls after one that failed.
const AGAIN: u64 = 200;
/// Keys are divided once no upstream has come for so long: two asks of the platform in each zone.
const SETTLE: u64 = 2500;
/// Plans are made this often, and this long after a call has ended: with the others that end just then.
const EVERY: Duration = Duration::from_millis(100);
const GATHER: Duration = Duration::from_millis(10);
/// Calls that may be out at once.
const CALLS: usize = 64;

/// The plans of one term, and the connections to upstreams.
#[derive(Default)]
struct Desk {
    term: u64,
    config: u64,
    planners: BTreeMap<String, (Planner, KeyLoad)>,
    clients: BTreeMap<String, Rc<HttpClient>>,
    out: usize,
}

/// Keeps the keys of all services, for good.
pub async fn run(cell: Rc<ControlServer>) {
    let (desk, ended) = (
        Rc::new(RefCell::new(Desk::default())),
        Rc::new(Notify::new()),
    );
    loop {
        // What is planned now must not arrive later than was reckoned with, however late its turn comes.
        let now = Instant::now();
        let calls = plan(&cell, &mut desk.borrow_mut());
        let planned = (desk.borrow().term, now);
        for (service, call) in calls {
            let (cell, desk, ended) = (cell.clone(), desk.clone(), ended.clone());
            tokio::task::spawn_local(carry_out(cell, desk, ended, service, call, planned));
        }
        if timeout(EVERY, ended.notified()).await.is_ok() {
            sleep(GATHER).await;
        }
    }
}

/// What is to be called by now; what is to be changed is put into the log.
fn plan(cell: &Rc<ControlServer>, desk: &mut Desk) -> Vec<(String, LeaseCall)> {
    let Some((term, led_at)) = cell.leadership_confirmed_at() else {
        desk.planners.clear();
        return Vec::new();
    };
    let now = cell.uptime_ms();
    if desk.term != term {
        (desk.term, desk.config) = (term, 0);
        desk.planners.clear();
    }
    if let Some((config, services)) = cell.sharded_services_since(desk.config) {
        desk.config = config;
        let timing = Timing {
            lease_ms: HOLD.min(cell.settings.bounds.max_hold_ms),
            call_timeout_ms: CALL,
            leader_staleness_ms: STALE,
            retry_interval_ms: AGAIN,
            stabilization_ms: SETTLE,
        };
        desk.planners.retain(|s, _| services.contains(s));
        for service in services {
            desk.planners
                .entry(service)
                .or_insert_with(|| (Planner::new(now, timing), KeyLoad::default()));
        }
    }
    if desk.planners.is_empty() {
        return Vec::new();
    }
    let Some(upstreams) = cell.all_upstreams() else {
        return Vec::new();
    };
    let (mut calls, counted) = (Vec::new(), cell.take_work_counts());
    for (service, (planner, work)) in &mut desk.planners {
        work.record(counted.loads(service));
        work.refresh(now);
        let listed: Vec<Candidate> = upstreams
            .iter()
            .filter(|(u, _)| u.service == *service)
            .map(|(u, evacuated)| Candidate {
                holder: protocol::key_ranges::LeaseHolder {
                    id: u.id.clone(),
                    addr: u.addr,
                },
                slots: u.slots,
                draining: u.draining || *evacuated,
                accepts_keys: !u.draining && !evacuated && u.warmup_remaining_ms == 0,
            })
            .collect();
        let room = if now < led_at + STALE {
            CALLS.saturating_sub(desk.out)
        } else {
            0
        };
        let (changes, out) = cell.with_key_ranges(service, |slices| {
            planner.plan(now, room, slices, &listed, work)
        });
        if !changes.is_empty() {
            let takers = listed.iter().filter(|l| l.accepts_keys).count();
            tracing::info!(
                changes = changes.len(),
                listed = listed.len(),
                takers,
                "keys"
            );
            cell.propose_key_changes(service, changes);
        }
        desk.out += out.len();
        calls.extend(out.into_iter().map(|call| (service.clone(), call)));
    }
    desk.clients
        .retain(|id, _| upstreams.iter().any(|(u, _)| u.id == *id));
    calls
}

async fn carry_out(
    cell: Rc<ControlServer>,
    desk: Rc<RefCell<Desk>>,
    ended: Rc<Notify>,
    service: String,
    call: LeaseCall,
    (term, planned): (u64, Instant),
) {
    let client = {
        let mut desk = desk.borrow_mut();
        let new = || Rc::new(HttpClient::with_reset_on_drop(call.holder.addr));
        desk.clients
            .entry(call.holder.id.clone())
            .or_insert_with(new)
            .clone()
    };
    let answer = asked(&client, &call, planned).await;
    if !matches!(answer, LeaseCallOutcome::Completed(_)) {
        tracing::info!(?answer, id = call.holder.id, since = call.first, ask = ?call.request, "keys");
    }
    let mut desk = desk.borrow_mut();
    desk.out -= 1;
    // The plans of a later term did not ask this.
    let asked = desk.term == term;
    if let Some((planner, _)) = desk.planners.get_mut(&service).filter(|_| asked) {
        planner.on_call_completed(cell.uptime_ms(), &call, answer);
    }
    ended.notify_one();
}

async fn asked(client: &HttpClient, call: &LeaseCall, planned: Instant) -> LeaseCallOutcome {
    let mut body =
        json!({"since": call.first, "target_rev": call.last, "fence": call.fencing_token});
    let (path, within) = match &call.request {
        LeaseRequest::Grant {
            lease_ms: hold,
            handoff,
        } => {
            body["hold_ms"] = json!(hold);
            if let Some(handoff) = handoff {
                body["handoff"] = json!(handoff);
            }
            ("/-/grant", CALL)
        }
        LeaseRequest::Release => ("/-/release", RELEASE),
    };
    let request = Request::post(path)
        .header(CONTENT_TYPE, "application/json")
        .header("target-instance", &call.holder.id)
        .body(Full::new(Bytes::from(body.to_string())));
    let Ok(request) = request else {
        return LeaseCallOutcome::NoResponse;
    };
    match client
        .call(request, planned + Duration::from_millis(within))
        .await
    {
        Ok(answer) => match answer.status() {
            StatusCode::OK => {
                let handoff = answer
                    .headers()
                    .get("handoff")
                    .and_then(|v| v.to_str().ok());
                LeaseCallOutcome::Completed(handoff.map(str::to_string))
            }
            StatusCode::CONFLICT => LeaseCallOutcome::Fenced,
            StatusCode::MISDIRECTED_REQUEST => LeaseCallOutcome::AddressReused,
            status => {
                tracing::info!(%status, "keys");
                LeaseCallOutcome::NoResponse
            }
        },
        Err(HttpClientError::Connect(_)) => LeaseCallOutcome::NotSent,
        Err(_) => LeaseCallOutcome::NoResponse,
    }
}
