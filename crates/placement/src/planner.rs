//! The planner: decides on ownership changes and lease calls for each key range of a service.

use std::collections::{BTreeMap, BTreeSet};

use protocol::key_ranges::{KeyRange, KeyRangeChange, KeyRangeMap, LeaseHolder, Ownership};

use crate::candidates::{Candidate, CandidatePool};
use crate::key_load::KeyLoad;
use crate::lease::{LeaseCall, LeaseCallOutcome, LeaseRequest, LeaseState, Release};
use crate::timing::{INITIAL_RANGES_PER_UPSTREAM, KEY_COUNT, PROPOSAL_TIMEOUT_MS, Timing};

/// Plans the placement of one service's keys, for as long as one process leads. Times are in milliseconds of that
/// process's clock.
#[derive(Debug)]
pub struct Planner {
    timing: Timing,
    leading_since: u64,
    /// Lease states by the first key of their range.
    leases: BTreeMap<u16, LeaseState>,
    /// Proposed changes that are not in the log yet, by the first key of their range.
    pub(crate) proposals: BTreeMap<u16, Proposal>,
    /// Ids of the listed upstreams.
    listed_ids: BTreeSet<String>,
    /// Ids of owners that are certainly gone: under this leader they were removed from the list, or another upstream
    /// answered at their address.
    gone_ids: BTreeSet<String>,
    /// Ids of unresponsive upstreams, with the time until which they get no keys.
    backoff_until: BTreeMap<String, u64>,
    candidate_count: CandidateCount,
}

/// A proposed change that is not in the log yet.
#[derive(Debug)]
pub(crate) struct Proposal {
    /// Fencing token of the range at the time of the proposal. Once the range has another token, the proposal was
    /// applied or is obsolete.
    pub(crate) expected_token: u64,
    pub(crate) proposed_at: u64,
}

/// Number of upstreams that could get keys, and the time since which it is unchanged.
#[derive(Debug)]
struct CandidateCount {
    count: usize,
    since: u64,
}

/// What the host must do after a planning run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Changes to propose to the log, all in one entry.
    pub changes: Vec<KeyRangeChange>,
    /// Calls to make. The outcome of each must be passed to [`Planner::on_call_completed`].
    pub calls: Vec<LeaseCall>,
}

/// Input of a planning run.
struct PlanInput<'a> {
    now: u64,
    candidates: BTreeMap<&'a str, &'a Candidate>,
    key_load: &'a KeyLoad,
}

impl Planner {
    /// Creates the planner of a host that became leader at `now`.
    pub fn new(now: u64, timing: Timing) -> Self {
        Self {
            timing,
            leading_since: now,
            leases: BTreeMap::new(),
            proposals: BTreeMap::new(),
            listed_ids: BTreeSet::new(),
            gone_ids: BTreeSet::new(),
            backoff_until: BTreeMap::new(),
            candidate_count: CandidateCount {
                count: 0,
                since: now,
            },
        }
    }

    /// Plans the changes and calls at `now`. The host passes the replicated ranges, all listed upstreams, and the
    /// maximum number of calls, which must be 0 unless its leadership was confirmed less than
    /// [`Timing::leader_staleness_ms`] ago.
    pub fn plan(
        &mut self,
        now: u64,
        max_calls: usize,
        ranges: &KeyRangeMap,
        candidates: &[Candidate],
        key_load: &KeyLoad,
    ) -> Plan {
        let by_id = candidates.iter().map(|c| (c.holder.id.as_str(), c));
        let input = PlanInput {
            now,
            candidates: by_id.collect(),
            key_load,
        };
        self.update_listed(&input, ranges);
        self.remove_expired(now, ranges);
        let can_get_keys =
            |c: &&Candidate| c.accepts_keys && !self.backoff_until.contains_key(&c.holder.id);
        let mut pool = CandidatePool::new(candidates.iter().filter(can_get_keys));
        if ranges.is_empty() {
            return Plan {
                changes: self.divide_keys(now, &mut pool),
                calls: Vec::new(),
            };
        }
        pool.set_loads(ranges, key_load);
        let mut plan = Plan::default();
        for (first, range) in ranges.iter() {
            let is_proposed = self.proposals.contains_key(&first);
            let ownership = self.next_ownership(&input, first, range, &mut pool);
            if let Some(ownership) = ownership {
                plan.changes.push(self.propose(
                    now,
                    first,
                    range.last,
                    range.fencing_token,
                    ownership,
                ));
            } else if plan.calls.len() < max_calls && !is_proposed {
                plan.calls.extend(self.next_call(now, first, range));
            }
        }
        if plan.changes.is_empty() {
            plan.changes = self.rebalance(now, ranges, &mut pool, key_load);
        }
        self.leases.retain(|first, _| ranges.get(*first).is_some());
        plan
    }

    /// Removes expired backoffs, and proposals that were applied, are obsolete, or were lost.
    fn remove_expired(&mut self, now: u64, ranges: &KeyRangeMap) {
        self.backoff_until.retain(|_, until| now < *until);
        self.proposals.retain(|first, proposal| {
            now < proposal.proposed_at + PROPOSAL_TIMEOUT_MS
                && ranges.get(*first).map_or(0, |r| r.fencing_token) == proposal.expected_token
        });
    }

    /// Updates the sets of listed upstreams and of owners that are gone.
    fn update_listed(&mut self, input: &PlanInput<'_>, ranges: &KeyRangeMap) {
        for id in input.candidates.keys() {
            if !self.listed_ids.contains(*id) {
                self.listed_ids.insert(id.to_string());
            }
        }
        let is_gone = |id: &String| !input.candidates.contains_key(id.as_str());
        self.gone_ids
            .extend(self.listed_ids.extract_if(.., is_gone));
        let is_holder = |id: &String| {
            ranges
                .iter()
                .any(|(_, r)| r.ownership.holder().is_some_and(|h| h.id == *id))
        };
        self.gone_ids.retain(is_holder);
    }

    /// Divides the keys among the candidates for the first time. It waits until the number of candidates is stable, so
    /// that not only the first upstreams to be listed get keys. The whole division is one plan, since a mix of two
    /// divisions could leave out keys.
    fn divide_keys(&mut self, now: u64, pool: &mut CandidatePool<'_>) -> Vec<KeyRangeChange> {
        if self.candidate_count.count != pool.len() {
            self.candidate_count = CandidateCount {
                count: pool.len(),
                since: now,
            };
        }
        let stable_at = self.candidate_count.since + self.timing.stabilization_ms;
        if !self.proposals.is_empty() || now < stable_at {
            return Vec::new();
        }
        let n = (pool.len() * INITIAL_RANGES_PER_UPSTREAM) as u64;
        let first_key = |i: u64| i * KEY_COUNT / n;
        let mut changes = Vec::new();
        for i in 0..n {
            let (first, last) = (first_key(i) as u16, (first_key(i + 1) - 1) as u16);
            if let Some(ownership) = pool.assign(first, 1.0, None) {
                changes.push(self.propose(now, first, last, 0, ownership));
            }
        }
        changes
    }

    /// Creates a change and records it as proposed.
    pub(crate) fn propose(
        &mut self,
        now: u64,
        first: u16,
        last: u16,
        expected_token: u64,
        ownership: Ownership,
    ) -> KeyRangeChange {
        let proposal = Proposal {
            expected_token,
            proposed_at: now,
        };
        self.proposals.insert(first, proposal);
        KeyRangeChange {
            first,
            last,
            expected_token,
            ownership,
        }
    }

    /// Returns the next ownership of a range; `None` if it does not change or a change is already proposed.
    fn next_ownership(
        &mut self,
        input: &PlanInput<'_>,
        first: u16,
        range: &KeyRange,
        pool: &mut CandidatePool<'_>,
    ) -> Option<Ownership> {
        let is_proposed = self.proposals.contains_key(&first);
        if let Some(holder) = range.ownership.holder() {
            self.track_lease(input.now, first, holder);
        }
        if is_proposed {
            return None;
        }
        let load = input.key_load.range_load(first, range.last);
        match &range.ownership {
            Ownership::Unowned => pool.assign(first, load, None),
            Ownership::Assigned(holder, _) => {
                let is_draining = input
                    .candidates
                    .get(holder.id.as_str())
                    .is_some_and(|c| c.draining);
                self.next_of_assigned(input.now, first, holder, is_draining && !pool.is_empty())
            }
            Ownership::Releasing(holder) => {
                let release = self.release_if_free(input.now, first, holder)?;
                pool.assign(first, load, release.handoff)
            }
        }
    }

    /// Creates the lease state of a range if there is none for this holder.
    fn track_lease(&mut self, now: u64, first: u16, holder: &LeaseHolder) {
        if self
            .leases
            .get(&first)
            .is_some_and(|l| l.holder_id == holder.id)
        {
            return;
        }
        // The range may have been split off one whose owner has just been granted a lease.
        let granted_now = now + self.timing.call_timeout_ms + self.timing.max_lease_ms();
        let expires_at = self.inherited_leases_expire_at().max(granted_now);
        let lease = LeaseState::new(&holder.id, expires_at, now);
        self.leases.insert(first, lease);
    }

    /// Returns the time at which every lease that earlier leaders may have granted has expired.
    fn inherited_leases_expire_at(&self) -> u64 {
        self.leading_since
            + self.timing.leader_staleness_ms
            + self.timing.call_timeout_ms
            + self.timing.max_lease_ms()
    }

    /// Returns the next ownership of an assigned range. An owner that is gone, unresponsive or draining must release
    /// the range. If the owner rejected the range's fencing token, the range is assigned to it again, which gives the
    /// range a higher token.
    fn next_of_assigned(
        &mut self,
        now: u64,
        first: u16,
        holder: &LeaseHolder,
        must_release: bool,
    ) -> Option<Ownership> {
        let is_gone = self.gone_ids.contains(&holder.id);
        let lease = self.leases.get_mut(&first)?;
        if lease.release.take().is_some() {
            lease.next_grant_at = now;
        }
        let is_unresponsive = lease.is_unresponsive();
        if is_gone || is_unresponsive || must_release {
            if is_unresponsive {
                let until = now + self.timing.backoff_ms();
                self.backoff_until.insert(holder.id.clone(), until);
            }
            lease.unanswered_calls = 0;
            return Some(Ownership::Releasing(holder.clone()));
        }
        let is_fenced = std::mem::take(&mut lease.is_fenced);
        is_fenced.then(|| Ownership::Assigned(holder.clone(), None))
    }

    /// Returns the release of a range once its last owner no longer holds it: the owner has answered the release, is
    /// certainly gone, or all its leases have expired.
    fn release_if_free(&self, now: u64, first: u16, holder: &LeaseHolder) -> Option<Release> {
        let is_gone = self.gone_ids.contains(&holder.id);
        let lease = self.leases.get(&first)?;
        match &lease.release {
            Some(release) => Some(release.clone()),
            None if is_gone || now >= lease.expires_at => Some(Release { handoff: None }),
            None => None,
        }
    }

    /// Returns the call that is due for a range at `now`, a release or a grant, and marks it as in flight.
    fn next_call(&mut self, now: u64, first: u16, range: &KeyRange) -> Option<LeaseCall> {
        let timing = self.timing;
        let lease = self.leases.get_mut(&first)?;
        let is_waiting = lease.token_in_flight.is_some() || now < lease.next_call_at;
        if is_waiting || lease.release.is_some() {
            return None;
        }
        let (holder, request) = match &range.ownership {
            Ownership::Assigned(holder, handoff) if now >= lease.next_grant_at => {
                lease.expires_at_before_grant = lease.expires_at;
                let expires_at = now + timing.call_timeout_ms + timing.max_lease_ms();
                lease.expires_at = lease.expires_at.max(expires_at);
                let grant = LeaseRequest::Grant {
                    lease_ms: timing.lease_ms,
                    handoff: handoff.clone(),
                };
                (holder, grant)
            }
            Ownership::Releasing(holder) => (holder, LeaseRequest::Release),
            Ownership::Assigned(..) | Ownership::Unowned => return None,
        };
        lease.token_in_flight = Some(range.fencing_token);
        Some(LeaseCall {
            holder: holder.clone(),
            first,
            last: range.last,
            fencing_token: range.fencing_token,
            request,
        })
    }

    /// Records the outcome of a call. The host must report an outcome for each call, because no other call is made for
    /// its range before.
    pub fn on_call_completed(&mut self, now: u64, call: &LeaseCall, outcome: LeaseCallOutcome) {
        let timing = self.timing;
        let inherited_expire_at = self.inherited_leases_expire_at();
        // The outcome of a call to an earlier owner, or with an earlier token, does not apply to the present lease.
        let is_current = |lease: &&mut LeaseState| {
            lease.holder_id == call.holder.id && lease.token_in_flight == Some(call.fencing_token)
        };
        let Some(lease) = self.leases.get_mut(&call.first).filter(is_current) else {
            return;
        };
        lease.token_in_flight = None;
        lease.unanswered_calls = match outcome {
            LeaseCallOutcome::NoResponse | LeaseCallOutcome::NotSent => lease.unanswered_calls + 1,
            _ => 0,
        };
        let is_grant = matches!(call.request, LeaseRequest::Grant { .. });
        match outcome {
            LeaseCallOutcome::Completed(_) if is_grant => {
                // The grant has arrived by now, and so have all earlier ones.
                lease.expires_at = inherited_expire_at.max(now + timing.max_lease_ms());
                lease.next_grant_at = now + timing.renewal_interval_ms(call.first);
            }
            LeaseCallOutcome::Completed(handoff) => lease.release = Some(Release { handoff }),
            LeaseCallOutcome::AddressReused => {
                let id = &call.holder.id;
                self.gone_ids.insert(id.clone());
                self.backoff_until
                    .insert(id.clone(), now + timing.backoff_ms());
            }
            LeaseCallOutcome::Fenced if is_grant => {
                lease.is_fenced = true;
                lease.next_grant_at = now;
            }
            LeaseCallOutcome::NotSent if is_grant => {
                lease.expires_at = lease.expires_at_before_grant;
                lease.next_call_at = now + timing.retry_interval_ms;
            }
            LeaseCallOutcome::NotSent | LeaseCallOutcome::NoResponse | LeaseCallOutcome::Fenced => {
                lease.next_call_at = now + timing.retry_interval_ms;
            }
        }
    }
}
