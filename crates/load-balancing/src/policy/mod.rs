//! The balancer: all decisions about requests, without clock, I/O or threads.
//!
//! The basic algorithm is that of Ould Deye et al.:
//!
//! - A request joins a first-come, first-served queue (`queue`).
//! - It is sent once an upstream has fewer than `K_i = 2*TP_i/TS_i + 1` of this balancer's attempts in flight, where
//!   TP_i is the propagation time to upstream i and TS_i its service time (`dispatch`, `estimates`).
//! - It is rejected on arrival when the number of queued and in-flight requests reaches the sum of
//!   `N_i = T_QoS / (2*TP_i + TS_i)`, where T_QoS is the time that a request may take (`admission`).
//! - Every answer updates TP_i and TS_i (`state::latency_estimate`).
//!
//! The paper assumes one balancer, equal requests, and upstreams that run one request at a time and never fail. Each
//! extension has a module of its own: `fair_share` and `subset` (many balancers), `concurrency` (upstreams that run
//! several requests at a time), `attempts`, `retries` and `hedging` (failures), `slow_start` and `membership`
//! (upstreams that come and go), `tenants` (quotas), `reconfiguration` (settings that change at run time).
//!
//! [`Balancer`] owns all state and keeps it in memory only; the records are in `state`. After a restart it knows at
//! most a list of upstreams, starts with default estimates and learns from the first answers. The field `fleet` holds
//! the estimates over all upstreams; the module [`crate::fleet`] is about the fleet of balancers.
//!
//! Guarantees:
//!
//! - Each request gets at most one final action: [`Action::Reject`], [`Action::Fail`], or an attempt whose answer the
//!   host passes on.
//! - A request that may have run is never rejected if a repeat could do harm, and never sent again if its effect
//!   forbids that.
//! - Whether, where, how often and until when a request may be sent depends on its class as of its acceptance, whatever
//!   the settings become.
//! - When an upstream stops responding, its attempts become overdue, its breakers open and its slots are excluded from
//!   the sums. When membership updates stop, the last list stays in use.

use std::collections::VecDeque;

use oorandom::Rand64;
use rustc_hash::FxHashMap;

use crate::interface::{Action, Event, RequestId, ServerId, Settings, SettingsError, Span, Time};
use crate::key_owners::KeyOwners;
use state::capacity::CapacityPools;
use state::fleet_estimate::FleetEstimate;
use state::membership_poll::MembershipPoll;
use state::request::{AttemptId, OrderedQueue, PendingRequest};
use state::tenant_quota::TenantQuota;
use state::upstream_table::{UpstreamIndex, UpstreamTable};

mod admission;
mod attempts;
mod concurrency;
mod dispatch;
mod estimates;
mod fair_share;
mod hedging;
mod membership;
mod queue;
mod reconfiguration;
mod retries;
mod slow_start;
mod state;
mod subset;
mod tenants;

/// Initial TS_i before any answer from any upstream, as a share of the mean latency target.
const INITIAL_SERVICE_TIME_SHARE_OF_TARGET: f64 = 0.25;
/// Token of the only timer, which triggers the periodic sweep.
const SWEEP_TIMER_TOKEN: u64 = 1;

/// One balancer of the fleet, with all its settings and state.
#[derive(Debug)]
pub struct Balancer {
    settings: Settings,
    /// Mean latency target of the active classes in microseconds; T_QoS where N_i limits K_i.
    mean_latency_target: f64,
    /// Interval of the periodic housekeeping.
    sweep_interval: Span,
    rng: Rand64,
    /// Whether the first event has been handled, which starts the timer.
    has_started: bool,
    upstreams: UpstreamTable,
    /// Live upstreams, ordered by cost.
    by_cost: Vec<UpstreamIndex>,
    requests: FxHashMap<RequestId, PendingRequest>,
    /// Queued requests in order of arrival, with retries first. May contain requests that are no longer queued.
    queue: VecDeque<RequestId>,
    /// By ordering key, the requests that run one at a time.
    ordered_queues: FxHashMap<u64, OrderedQueue>,
    capacity: CapacityPools,
    /// Attempts to check for being overdue.
    in_flight: Vec<AttemptId>,
    /// Number of hedges that may still be sent.
    hedge_tokens: f64,
    fleet: FleetEstimate,
    key_owners: KeyOwners,
    /// By tenant.
    tenant_quotas: Vec<TenantQuota>,
    membership_poll: MembershipPoll,
}

/// Limits of one upstream, for metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamLimits {
    /// Attempts of this balancer in flight at the upstream.
    pub in_flight: u32,
    /// K_i: the upstream gets no further attempts while this many are in flight.
    pub max_in_flight: u32,
    /// N_i for the requested T_QoS.
    pub max_admitted: f64,
}

impl Balancer {
    /// Creates a balancer with no knowledge of upstreams. Its first event starts its timer. Provide the membership list
    /// immediately, even if it is only an empty [`MembershipKind::Restored`](crate::interface::MembershipKind).
    ///
    /// # Errors
    /// Returns an error if the settings can't be corrected to safe values; see [`Settings::into_validated`].
    pub fn new(settings: Settings, seed: u64, now: Time) -> Result<Self, SettingsError> {
        let settings = settings.into_validated()?;
        let mean_latency_target = settings.mean_latency_target();
        Ok(Self {
            mean_latency_target,
            sweep_interval: settings.sweep_interval(settings.shortest_latency_target()),
            rng: Rand64::new(u128::from(seed)),
            has_started: false,
            upstreams: UpstreamTable::default(),
            by_cost: Vec::new(),
            requests: FxHashMap::default(),
            queue: VecDeque::new(),
            ordered_queues: FxHashMap::default(),
            capacity: CapacityPools::new(&settings.classes),
            in_flight: Vec::new(),
            hedge_tokens: 1.0,
            fleet: FleetEstimate::new(
                settings.classes.len(),
                mean_latency_target,
                mean_latency_target * INITIAL_SERVICE_TIME_SHARE_OF_TARGET,
                fair_share::INITIAL_TOLERANCE,
                now,
            ),
            key_owners: KeyOwners::default(),
            tenant_quotas: settings
                .tenants
                .iter()
                .map(|_| TenantQuota::new(now))
                .collect(),
            membership_poll: MembershipPoll::new(now),
            settings,
        })
    }

    /// Handles an event and appends the resulting actions in order.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        if !self.has_started {
            self.has_started = true;
            self.start(now, actions);
        }
        match event {
            Event::Membership { kind, list } => self.on_membership(now, kind, list, actions),
            Event::KeyOwners(list) => {
                self.key_owners.replace(now, list);
                self.dispatch(now, actions);
            }
            Event::Request(request) => self.on_request(now, &request, actions),
            Event::AttemptEnded(result) => self.on_attempt_ended(now, &result, actions),
            Event::ResponseDelayed { request, attempt } => {
                self.on_response_delayed(now, AttemptId { request, attempt }, actions);
            }
            Event::ResponseStarted(id) => self.end_request(id),
            Event::ClientDisconnected(id) => self.finish_request(id, actions),
            Event::TimerFired(SWEEP_TIMER_TOKEN) => self.on_sweep_timer(now, actions),
            Event::TimerFired(_) | Event::ProbeEnded { .. } => {}
        }
    }

    /// Returns the current limits of one upstream for metrics: K_i, and N_i for a T_QoS of `qos_time`. Returns `None`
    /// if the upstream is not known.
    pub fn upstream_limits(&self, id: ServerId, qos_time: Span) -> Option<UpstreamLimits> {
        let upstream = &self.upstreams[self.upstreams.index_of(id)?];
        Some(UpstreamLimits {
            in_flight: upstream.in_flight,
            max_in_flight: self.max_in_flight(upstream, 0),
            max_admitted: self.admission_limit_per_us(upstream) * qos_time.as_micros(),
        })
    }

    /// Starts the sweep timer and schedules the first request for the membership list.
    fn start(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.schedule_first_list_request(now);
        self.set_sweep_timer(now, actions);
    }

    fn set_sweep_timer(&mut self, now: Time, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer {
            token: SWEEP_TIMER_TOKEN,
            at: now.plus(self.sweep_interval),
        });
    }

    /// Runs the periodic housekeeping, once per sweep interval.
    fn on_sweep_timer(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.check_overdue_attempts(now);
        self.refresh_warm_rates(now);
        self.refresh_concurrency_trials(now);
        self.refresh_estimates();
        self.give_up_expired(now, actions);
        self.dispatch(now, actions);
        self.drop_idle_ordered_queues(now);
        self.repeat_close_idle(now, actions);
        self.request_membership(now, actions);
        self.set_sweep_timer(now, actions);
    }
}
