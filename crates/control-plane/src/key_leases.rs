//! Leases on keys: where upstreams divide a service's keys, the leader of the log decides who is to hold which, and grants
//! and releases what is agreed on. `placement` plans without I/O; here are the calls.
//!
//! **State.** The plans of one term and connections to upstreams, all in memory: a new leader plans anew from the
//! replicated state, once whatever its predecessor may have sent has run out. **Neighbours.** An upstream that does not
//! answer is given nothing for a while; one that is gone loses its keys when its lease has run out. A leader that is cut
//! off stops its calls after `LEADER_STALENESS_MS`.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use data_plane::http_client::{HttpClient, HttpClientError};
use http_body_util::Full;
use hyper::header::CONTENT_TYPE;
use hyper::{Request, Response, StatusCode};
use placement::{
    Candidate, KeyLoad, LeaseCall, LeaseCallOutcome, LeaseRequest, Plan, Planner, Timing,
};
use protocol::key_ranges::LeaseHolder;
use serde_json::json;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

use crate::server::{ControlServer, ELECTION_TIMEOUT_MS, KnownUpstream};

/// Keys are granted for so long, or for as long as the platform allows: an election takes up to two of its
/// time-outs, and what was renewed last a third of this ago must outlive it.
const LEASE_MS: u64 = 5000;
const _: () = assert!(LEASE_MS - LEASE_MS / 3 > 2 * ELECTION_TIMEOUT_MS);
/// A grant is given up after so long: twice across regions and a busy moment at either end.
const GRANT_TIMEOUT_MS: u64 = 800;
/// A release is answered once what ran on the keys has ended.
const RELEASE_TIMEOUT_MS: u64 = 3000;
/// A leader sends grants for so long after a majority last followed it: some heartbeats.
const LEADER_STALENESS_MS: u64 = 1000;
/// Between two calls after one that failed.
const RETRY_INTERVAL_MS: u64 = 200;
/// Keys are divided once no upstream has come for so long: two calls to the platform in each zone.
const STABILIZATION_MS: u64 = 2500;
/// Plans are made this often.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Plans are made this long after a call has ended: with the others that end just then.
const PLAN_DELAY_AFTER_CALL: Duration = Duration::from_millis(10);
/// Calls that may be under way at once.
const MAX_CALLS: usize = 64;

struct ServicePlan {
    planner: Planner,
    load: KeyLoad,
}

/// The plans of one term, and the connections to upstreams.
///
/// Invariant: `calls_under_way` counts the spawned calls that have not ended, of whichever term. Plans are those of
/// `term`: what a call of an earlier term brings is not shown to them.
#[derive(Default)]
struct LeaseManager {
    term: u64,
    config_index: u64,
    plans: BTreeMap<String, ServicePlan>,
    /// By upstream.
    clients: BTreeMap<String, Rc<HttpClient>>,
    calls_under_way: usize,
}

/// A call that is to be made.
struct PlannedCall {
    service: String,
    call: LeaseCall,
    /// The term of the plan.
    term: u64,
    /// When it was planned: it must not arrive later than the plan reckons with.
    planned_at: Instant,
}

/// Keeps the keys of all services leased while this process leads, for good.
pub async fn run(server: Rc<ControlServer>) {
    let manager = Rc::new(RefCell::new(LeaseManager::default()));
    let call_ended = Rc::new(Notify::new());
    loop {
        let calls = manager.borrow_mut().plan(&server);
        for call in calls {
            let (server, manager, call_ended) =
                (server.clone(), manager.clone(), call_ended.clone());
            tokio::task::spawn_local(async move {
                carry_out(&server, &manager, call).await;
                call_ended.notify_one();
            });
        }
        if timeout(PLAN_INTERVAL, call_ended.notified()).await.is_ok() {
            sleep(PLAN_DELAY_AFTER_CALL).await;
        }
    }
}

impl LeaseManager {
    /// Puts changes that are due into the log, and returns the calls that are due.
    fn plan(&mut self, server: &ControlServer) -> Vec<PlannedCall> {
        // What is planned now must not arrive later than was reckoned with, however late its turn comes.
        let planned_at = Instant::now();
        let Some(leadership) = server.confirmed_leadership() else {
            self.plans.clear();
            return Vec::new();
        };
        let now_ms = server.uptime_ms();
        self.update_services(server, leadership.term, now_ms);
        if self.plans.is_empty() {
            return Vec::new();
        }
        let Some(upstreams) = server.all_upstreams() else {
            return Vec::new();
        };
        let may_call = now_ms < leadership.at_ms + LEADER_STALENESS_MS;
        let counts = server.take_key_load();
        let mut calls = Vec::new();
        for (service, plan) in &mut self.plans {
            plan.load.record(counts.loads(service));
            plan.load.refresh(now_ms);
            let free_calls = if may_call {
                MAX_CALLS.saturating_sub(self.calls_under_way)
            } else {
                0
            };
            let planned = plan.next_calls(server, service, &upstreams, now_ms, free_calls);
            self.calls_under_way += planned.len();
            calls.extend(planned.into_iter().map(|call| PlannedCall {
                service: service.clone(),
                call,
                term: self.term,
                planned_at,
            }));
        }
        self.clients
            .retain(|id, _| upstreams.iter().any(|known| known.upstream.id == *id));
        calls
    }

    /// Begins anew in a new term, and follows the services that the configuration names.
    fn update_services(&mut self, server: &ControlServer, term: u64, now_ms: u64) {
        if self.term != term {
            (self.term, self.config_index) = (term, 0);
            self.plans.clear();
        }
        let Some(sharded) = server.sharded_services_since(self.config_index) else {
            return;
        };
        self.config_index = sharded.config_index;
        let timing = Timing {
            lease_ms: LEASE_MS.min(server.settings.bounds.max_hold_ms),
            call_timeout_ms: GRANT_TIMEOUT_MS,
            leader_staleness_ms: LEADER_STALENESS_MS,
            retry_interval_ms: RETRY_INTERVAL_MS,
            stabilization_ms: STABILIZATION_MS,
        };
        self.plans
            .retain(|service, _| sharded.services.contains(service));
        for service in sharded.services {
            self.plans.entry(service).or_insert_with(|| ServicePlan {
                planner: Planner::new(now_ms, timing),
                load: KeyLoad::default(),
            });
        }
    }

    /// The connection to an upstream. One that is dropped is reset.
    fn client(&mut self, holder: &LeaseHolder) -> Rc<HttpClient> {
        self.clients
            .entry(holder.id.clone())
            .or_insert_with(|| Rc::new(HttpClient::with_reset_on_drop(holder.addr)))
            .clone()
    }

    /// A call has ended. The plans of a later term did not ask for it, and are not told.
    fn on_call_ended(&mut self, now_ms: u64, planned: &PlannedCall, outcome: LeaseCallOutcome) {
        self.calls_under_way -= 1;
        if self.term == planned.term
            && let Some(plan) = self.plans.get_mut(&planned.service)
        {
            plan.planner
                .on_call_completed(now_ms, &planned.call, outcome);
        }
    }
}

impl ServicePlan {
    /// Puts changes of the service's key ranges into the log, and returns the calls that are due, `free_calls` at most.
    fn next_calls(
        &mut self,
        server: &ControlServer,
        service: &str,
        upstreams: &[KnownUpstream],
        now_ms: u64,
        free_calls: usize,
    ) -> Vec<LeaseCall> {
        let candidates: Vec<Candidate> = upstreams
            .iter()
            .filter(|known| known.upstream.service == service)
            .map(candidate)
            .collect();
        let Plan { changes, calls } = server.with_key_ranges(service, |ranges| {
            self.planner
                .plan(now_ms, free_calls, ranges, &candidates, &self.load)
        });
        if !changes.is_empty() {
            tracing::info!(
                service,
                changes = changes.len(),
                candidates = candidates.len(),
                accepting = candidates.iter().filter(|c| c.accepts_keys).count(),
                "key ranges are to be reassigned"
            );
            server.propose_key_changes(service, changes);
        }
        calls
    }
}

fn candidate(known: &KnownUpstream) -> Candidate {
    let KnownUpstream {
        upstream,
        is_evacuated,
    } = known;
    Candidate {
        holder: LeaseHolder {
            id: upstream.id.clone(),
            addr: upstream.addr,
        },
        slots: upstream.slots,
        draining: upstream.draining || *is_evacuated,
        accepts_keys: !upstream.draining && !is_evacuated && upstream.warmup_remaining_ms == 0,
    }
}

async fn carry_out(server: &ControlServer, manager: &RefCell<LeaseManager>, planned: PlannedCall) {
    let call = &planned.call;
    let client = manager.borrow_mut().client(&call.holder);
    let outcome = send_call(&client, call, planned.planned_at).await;
    if !matches!(outcome, LeaseCallOutcome::Completed(_)) {
        tracing::info!(
            service = planned.service,
            upstream = call.holder.id,
            first_key = call.first,
            request = ?call.request,
            ?outcome,
            "a call about key leases was not carried out"
        );
    }
    manager
        .borrow_mut()
        .on_call_ended(server.uptime_ms(), &planned, outcome);
}

/// Makes the call; it is given up when its time, counted from `planned_at`, has passed.
async fn send_call(client: &HttpClient, call: &LeaseCall, planned_at: Instant) -> LeaseCallOutcome {
    let mut body =
        json!({"since": call.first, "target_rev": call.last, "fence": call.fencing_token});
    let (path, within_ms) = match &call.request {
        LeaseRequest::Grant { lease_ms, handoff } => {
            body["hold_ms"] = json!(lease_ms);
            if let Some(handoff) = handoff {
                body["handoff"] = json!(handoff);
            }
            ("/-/grant", GRANT_TIMEOUT_MS)
        }
        LeaseRequest::Release => ("/-/release", RELEASE_TIMEOUT_MS),
    };
    let request = Request::post(path)
        .header(CONTENT_TYPE, "application/json")
        .header("target-instance", &call.holder.id)
        .body(Full::new(Bytes::from(body.to_string())));
    let Ok(request) = request else {
        // Its id can't stand in a header.
        return LeaseCallOutcome::NoResponse;
    };
    let deadline = planned_at + Duration::from_millis(within_ms);
    match client.call(request, deadline).await {
        Ok(response) => outcome_of(&response),
        Err(HttpClientError::Connect(_)) => LeaseCallOutcome::NotSent,
        Err(_) => LeaseCallOutcome::NoResponse,
    }
}

fn outcome_of<B>(response: &Response<B>) -> LeaseCallOutcome {
    match response.status() {
        StatusCode::OK => {
            let handoff = response.headers().get("handoff");
            let handoff = handoff.and_then(|value| value.to_str().ok());
            LeaseCallOutcome::Completed(handoff.map(str::to_string))
        }
        StatusCode::CONFLICT => LeaseCallOutcome::Fenced,
        StatusCode::MISDIRECTED_REQUEST => LeaseCallOutcome::AddressReused,
        status => {
            tracing::info!(%status, "an upstream answered a call about key leases with an unknown status");
            LeaseCallOutcome::NoResponse
        }
    }
}
