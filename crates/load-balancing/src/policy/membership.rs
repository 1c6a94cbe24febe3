//! Membership: the list of upstreams that the host provides.
//!
//! An upstream that is draining or gone gets no new requests from the moment the host reports it. A gone upstream is
//! kept while an open request has an attempt there. If updates stop, the last list stays in use. Where the list is only
//! sent on request, it is requested again, with exponential backoff after failures.

use rustc_hash::FxHashSet;

use super::Balancer;
use super::state::capacity::CapacityPool;
use super::state::concurrency::ConcurrencyEstimate;
use super::state::upstream::Upstream;
use super::state::upstream_table::UpstreamIndex;
use crate::fleet::ring;
use crate::interface::{Action, Endpoint, MembershipKind, Span, Status, Time};

/// Maximum random delay before the list is requested, as a share of the poll interval, so that restarts don't overload
/// its source.
const POLL_JITTER_SHARE: f64 = 0.05;
/// Time without an answer after which the list is requested again, as a share of the poll interval.
const POLL_RETRY_SHARE: f64 = 0.5;
/// Maximum number of times that the wait doubles after failed requests.
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
        // Balancers start with different credit, so that their first sends to the upstream are spread out.
        let credit = if self.has_configured_slow_start_rate() {
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

    /// Removes upstreams that are gone, unless an open request has an attempt there: the upstream's zone and cell
    /// decide whether that request may be repeated elsewhere. Without this, where machines come and go, every iteration
    /// would cover all upstreams there ever were.
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

    /// Closes idle connections to an upstream that is draining or gone, if the rules ask for it. This is done on the
    /// membership change, after each outcome there, and at every sweep until the rule's timeout, since a connection may
    /// become idle shortly after the outcome that used it was reported.
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

    /// Closes idle connections again wherever the rule's timeout has not passed.
    pub(super) fn repeat_close_idle(&mut self, now: Time, actions: &mut Vec<Action>) {
        for index in self.upstreams.indexes() {
            if now <= self.upstreams[index].close_idle_until {
                self.close_idle(now, index, actions);
            }
        }
    }

    /// Returns whether an upstream is included in the sums of a pool. An upstream that reports its concurrency is
    /// excluded while it is unresponsive and others respond; an estimated concurrency adapts by itself.
    pub(super) fn is_counted(&self, pool: &CapacityPool, upstream: &Upstream) -> bool {
        (!upstream.reports_concurrency() || !upstream.is_unresponsive() || pool.all_unresponsive)
            && pool.contains(upstream)
    }

    /// Recounts the attempts in flight in each pool after upstreams have entered or left its sums.
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

    /// Requests the list if it is only sent on request and a request is due.
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

    /// Returns a random duration of up to this share of the poll interval.
    fn random_share_of_poll_interval(&mut self, share: f64) -> Span {
        let interval = self.settings.rules.membership_poll_interval.as_micros();
        Span::from_micros(self.rng.rand_float() * share * interval)
    }
}
