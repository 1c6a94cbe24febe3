//! Key leases. For services whose keys are sharded among their upstreams, the leader of the log assigns key ranges to
//! upstreams, and grants and releases leases accordingly. `placement` plans without I/O; this module makes the calls.
//!
//! **State.** The plans of one term and the connections to upstreams, all in memory. A new leader makes new plans from
//! the replicated state, after all leases that its predecessor may have granted have expired.
//!
//! **Failures.** An upstream that does not answer is assigned no keys for a while; one that has disappeared loses its
//! keys when its lease expires. A leader that is partitioned off stops making calls after `LEADER_STALENESS_MS`.

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

/// The duration of a lease, unless the setting `max_hold_ms` is lower. A lease that was renewed a third of this
/// duration ago must outlast an election, which takes up to two election timeouts.
const LEASE_MS: u64 = 5000;
const _: () = assert!(LEASE_MS - LEASE_MS / 3 > 2 * ELECTION_TIMEOUT_MS);
/// The timeout of a grant: two trips across regions, with some allowance for load at either end.
const GRANT_TIMEOUT_MS: u64 = 800;
/// The timeout of a release, which is answered only when all work on the keys has ended.
const RELEASE_TIMEOUT_MS: u64 = 3000;
/// How long a leader keeps making calls after a majority last confirmed it: a few Raft heartbeats.
const LEADER_STALENESS_MS: u64 = 1000;
/// The delay before a failed call is retried.
const RETRY_INTERVAL_MS: u64 = 200;
/// Keys are assigned once no new upstream has appeared for this long. The time allows for two polls of the platform in
/// each zone.
const STABILIZATION_MS: u64 = 2500;
/// The interval at which plans are updated.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// The delay between the end of a call and the next plan, so that one plan covers all calls that end at about the same
/// time.
const PLAN_DELAY_AFTER_CALL: Duration = Duration::from_millis(10);
/// The maximum number of concurrent calls.
const MAX_CALLS: usize = 64;

/// The planner of a service's keys, and the load on them.
struct ServicePlan {
    planner: Planner,
    load: KeyLoad,
}

/// The plans of one term, and the connections to upstreams.
///
/// Invariants: `calls_in_flight` counts the spawned calls of all terms that have not ended. The plans belong to `term`;
/// outcomes of calls from earlier terms are not reported to them.
#[derive(Default)]
struct LeaseManager {
    term: u64,
    /// Log index of the configuration that the list of services was taken from; 0 if there is none yet.
    config_index: u64,
    /// The plans by service.
    plans: BTreeMap<String, ServicePlan>,
    /// Connections by upstream id.
    clients: BTreeMap<String, Rc<HttpClient>>,
    calls_in_flight: usize,
}

/// A call to be made.
struct PlannedCall {
    service: String,
    call: LeaseCall,
    /// The term of the plan.
    term: u64,
    /// When it was planned. Its timeout counts from then, because the plan limits how late it may arrive.
    planned_at: Instant,
}

/// Keeps the keys of all sharded services leased while this process leads. Never returns.
pub async fn run(server: Rc<ControlServer>) {
    let manager = Rc::new(RefCell::new(LeaseManager::default()));
    let call_ended = Rc::new(Notify::new());
    loop {
        let calls = manager.borrow_mut().plan(&server);
        for call in calls {
            let (server, manager, call_ended) =
                (server.clone(), manager.clone(), call_ended.clone());
            tokio::task::spawn_local(async move {
                execute_call(&server, &manager, call).await;
                call_ended.notify_one();
            });
        }
        if timeout(PLAN_INTERVAL, call_ended.notified()).await.is_ok() {
            sleep(PLAN_DELAY_AFTER_CALL).await;
        }
    }
}

impl LeaseManager {
    /// Proposes the changes that are due, and returns the calls that are due.
    fn plan(&mut self, server: &ControlServer) -> Vec<PlannedCall> {
        // Taken first, so that the timeouts of the planned calls include every delay until they are sent.
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
                MAX_CALLS.saturating_sub(self.calls_in_flight)
            } else {
                0
            };
            let planned = plan.next_calls(server, service, &upstreams, now_ms, free_calls);
            self.calls_in_flight += planned.len();
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

    /// Discards all plans in a new term, and adds and removes plans as the configuration changes.
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

    /// Returns the connection to an upstream, which is reset when the last reference to it is dropped.
    fn client(&mut self, holder: &LeaseHolder) -> Rc<HttpClient> {
        self.clients
            .entry(holder.id.clone())
            .or_insert_with(|| Rc::new(HttpClient::with_reset_on_drop(holder.addr)))
            .clone()
    }

    /// Handles the end of a call. Its outcome is ignored if the term has changed since it was planned.
    fn on_call_ended(&mut self, now_ms: u64, planned: &PlannedCall, outcome: LeaseCallOutcome) {
        self.calls_in_flight -= 1;
        if self.term == planned.term
            && let Some(plan) = self.plans.get_mut(&planned.service)
        {
            plan.planner
                .on_call_completed(now_ms, &planned.call, outcome);
        }
    }
}

impl ServicePlan {
    /// Proposes the changes of the service's key ranges that are due, and returns the calls that are due, `free_calls`
    /// at most.
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
                "proposing changes of key ranges"
            );
            server.propose_key_changes(service, changes);
        }
        calls
    }
}

/// Converts an upstream into a candidate for key ranges.
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

/// Makes a planned call and reports its outcome to the plan.
async fn execute_call(
    server: &ControlServer,
    manager: &RefCell<LeaseManager>,
    planned: PlannedCall,
) {
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
            "a key lease call failed"
        );
    }
    manager
        .borrow_mut()
        .on_call_ended(server.uptime_ms(), &planned, outcome);
}

/// Sends a call to its upstream. The timeout counts from `planned_at`.
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
        // The upstream's id is not a valid header value.
        return LeaseCallOutcome::NoResponse;
    };
    let deadline = planned_at + Duration::from_millis(within_ms);
    match client.call(request, deadline).await {
        Ok(response) => call_outcome(&response),
        Err(HttpClientError::Connect(_)) => LeaseCallOutcome::NotSent,
        Err(_) => LeaseCallOutcome::NoResponse,
    }
}

/// Derives a call's outcome from the upstream's response.
fn call_outcome<B>(response: &Response<B>) -> LeaseCallOutcome {
    match response.status() {
        StatusCode::OK => {
            let handoff = response.headers().get("handoff");
            let handoff = handoff.and_then(|value| value.to_str().ok());
            LeaseCallOutcome::Completed(handoff.map(str::to_string))
        }
        StatusCode::CONFLICT => LeaseCallOutcome::Fenced,
        StatusCode::MISDIRECTED_REQUEST => LeaseCallOutcome::AddressReused,
        status => {
            tracing::info!(%status, "an upstream answered a key lease call with an unexpected status");
            LeaseCallOutcome::NoResponse
        }
    }
}
