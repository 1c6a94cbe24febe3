//! Membership: the list of upstreams, as told by the host.
//!
//! An upstream that drains or is gone gets nothing new from the moment the host tells. One that is gone is kept
//! while a request was sent there. When the list goes silent the last one stays in use; where it comes on request
//! only, it is requested again, with growing waits after failures.

use rustc_hash::FxHashSet;

use super::Balancer;
use super::state::capacity::CapacityPool;
use super::state::concurrency::ConcurrencyEstimate;
use super::state::upstream::Upstream;
use super::state::upstream_table::UpstreamIndex;
use crate::fleet::ring;
use crate::interface::{Action, Endpoint, MembershipKind, Span, Status, Time};

/// Longest first wait before the list is requested, as a share of the poll interval: restarts must not swamp its
/// source.
const POLL_JITTER_SHARE: f64 = 0.05;
/// A call for the list unanswered for this share of the poll interval is made again.
const POLL_RETRY_SHARE: f64 = 0.5;
/// Most doublings of the wait after a failed call.
const MAX_POLL_BACKOFF_DOUBLINGS: i32 = 3;

impl Balancer {
    pub(super) fn on_membership(
        &mut self,
        now: Time,
        kind: MembershipKind,
        list: &[Endpoint],
        actions: &mut Vec<Action>,
    ) {
        match kind {
            MembershipKind::Unavailable => return self.on_list_unavailable(now),
            MembershipKind::Restored => {}
            MembershipKind::Update | MembershipKind::Complete => {
                self.membership_poll.is_subscribed = true;
                self.membership_poll.consecutive_failures = 0;
            }
        }
        let before: Vec<Status> = self.upstreams.iter().map(|u| u.status).collect();
        if kind != MembershipKind::Update {
            for upstream in self.upstreams.iter_mut() {
                upstream.status = Status::Gone;
            }
        }
        for endpoint in list {
            self.upsert_upstream(now, endpoint);
        }
        let mut before = before.into_iter();
        for index in self.upstreams.indexes() {
            if before.next() != Some(self.upstreams[index].status) {
                let within = self.settings.rules.drain_close_timeout;
                self.upstreams[index].close_idle_within(now, within);
                self.close_idle(now, index, actions);
            }
        }
        self.remove_gone_upstreams(now);
        self.assign_subset();
        self.refresh_warm_rates(now);
        self.refresh_estimates();
        self.dispatch(now, actions);
    }

    fn on_list_unavailable(&mut self, now: Time) {
        let poll = &mut self.membership_poll;
        poll.is_subscribed = false;
        poll.consecutive_failures = (poll.consecutive_failures + 1).min(MAX_POLL_BACKOFF_DOUBLINGS);
        let wait = POLL_JITTER_SHARE * f64::from(1 << poll.consecutive_failures);
        self.membership_poll.next_request = now.plus(self.random_share_of_poll_interval(wait));
    }

    fn upsert_upstream(&mut self, now: Time, endpoint: &Endpoint) {
        let classes = self.settings.classes.len();
        let new = || Upstream::new(endpoint, classes, now);
        let index = self.upstreams.index_or_insert(endpoint.id, new);
        // Spread over the balancers: a part of the first send is already earned.
        let credit = if self.is_slow_start_rate_told() {
            ring::slow_start_phase(self.settings.position, endpoint.identity)
        } else {
            self.rng.rand_float()
        };
        let upstream = &mut self.upstreams[index];
        upstream.update(endpoint, credit, now);
        let kinds = self.fleet.concurrency.len().max(upstream.kind as usize + 1);
        self.fleet
            .concurrency
            .resize_with(kinds, ConcurrencyEstimate::new);
    }

    /// Drops upstreams that are gone, unless a request was sent there: whether that may be repeated elsewhere is
    /// judged by them. Without this, where machines come and go, all there ever were stayed on every walk.
    fn remove_gone_upstreams(&mut self, now: Time) {
        let attempts = self.requests.values().flat_map(|r| &r.attempts);
        let attempted: FxHashSet<UpstreamIndex> =
            attempts.map(|attempt| attempt.upstream).collect();
        let new_index = self.upstreams.retain(|index, upstream| {
            upstream.status != Status::Gone
                || now < upstream.close_idle_until
                || attempted.contains(&index)
        });
        let attempts = self.requests.values_mut().flat_map(|r| &mut r.attempts);
        for attempt in attempts {
            attempt.upstream = new_index[&attempt.upstream];
        }
    }

    /// Closes idle connections to an upstream that drains or is gone, where a rule asks for it: on the notice, after
    /// each outcome there, and once a sweep for as long as the rule allows, since a connection may come free a moment
    /// after the outcome that used it was told.
    pub(super) fn close_idle(
        &mut self,
        now: Time,
        upstream: UpstreamIndex,
        actions: &mut Vec<Action>,
    ) {
        let upstream = &mut self.upstreams[upstream];
        let within = self.settings.rules.drain_close_timeout;
        if within.0 <= 0 || upstream.is_live() {
            return;
        }
        actions.push(Action::CloseIdle {
            server: upstream.id,
        });
        if upstream.in_flight > 0 {
            upstream.close_idle_within(now, within);
        }
    }

    /// Closes idle connections again, wherever the rule still asks for it.
    pub(super) fn repeat_close_idle(&mut self, now: Time, actions: &mut Vec<Action>) {
        for index in self.upstreams.indexes() {
            if now <= self.upstreams[index].close_idle_until {
                self.close_idle(now, index, actions);
            }
        }
    }

    /// Whether an upstream is in the sums of a pool: not if unresponsive beside others that respond. Slots that are
    /// learned and not told have followed by themselves.
    pub(super) fn is_counted(&self, pool: &CapacityPool, upstream: &Upstream) -> bool {
        (!upstream.has_reported_slots() || !upstream.is_unresponsive() || pool.all_unresponsive)
            && self.is_allowed_for(pool.class, upstream)
    }

    /// Counts anew what is in flight in each pool, after upstreams have entered or left its sums.
    pub(super) fn recount_in_flight(&mut self) {
        for i in 0..self.capacity.pools.len() {
            let pool = &self.capacity.pools[i];
            let counted = self.upstreams.iter().filter(|u| self.is_counted(pool, u));
            self.capacity.pools[i].in_flight = counted.map(|u| u.in_flight as usize).sum();
        }
    }

    pub(super) fn schedule_first_list_request(&mut self, now: Time) {
        self.membership_poll.next_request =
            now.plus(self.random_share_of_poll_interval(POLL_JITTER_SHARE));
    }

    /// Requests the list, where it comes only on request and is due.
    pub(super) fn request_membership(&mut self, now: Time, actions: &mut Vec<Action>) {
        let poll = &self.membership_poll;
        if !self.settings.membership_by_request || poll.is_subscribed || now < poll.next_request {
            return;
        }
        actions.push(Action::Subscribe);
        let interval = self.settings.rules.membership_poll_interval.as_micros();
        let retry = Span::from_micros(interval * POLL_RETRY_SHARE);
        self.membership_poll.next_request = now
            .plus(retry)
            .plus(self.random_share_of_poll_interval(POLL_JITTER_SHARE));
    }

    /// A random part of this share of the poll interval.
    fn random_share_of_poll_interval(&mut self, share: f64) -> Span {
        let interval = self.settings.rules.membership_poll_interval.as_micros();
        Span::from_micros(self.rng.rand_float() * share * interval)
    }
}
