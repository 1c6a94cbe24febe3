//! What the leader of the control plane plans for a service whose upstreams divide its keys: who is to hold
//! which, and when it may be granted them. No sockets, no clock, no log: the host hands in the time, what is
//! agreed on and who is listed, and carries out the changes and the calls that come back.
//!
//! **Promises.** No two upstreams that are up hold one key at a time. A change to the next holder is proposed
//! only once the one before has let go: it said so, it is gone for certain, or every grant that anyone may have
//! sent it has run out. Who was granted keys stands in the log before the first grant is sent, so a new leader
//! knows all that may hold any; what its predecessors may have sent last it reckons from when it came to lead.
//! **Neighbours down.** An upstream that does not answer keeps its keys until its grants have run out. Without a
//! leader grants run out too; until then nothing changes.
#![forbid(unsafe_code)]

mod key_load;

use std::collections::{BTreeMap, BTreeSet};

pub use key_load::KeyLoad;
use protocol::key_ranges::{KeyRange, KeyRangeChange, KeyRangeMap, LeaseHolder, Ownership};

/// Slices for each upstream at the start: what a lost upstream held goes to as many others. Each costs a grant a
/// third of its time.
const SLICES_PER_UPSTREAM: usize = 2;
/// Keys there are.
const KEYS: u64 = 1 << 16;
/// A grant is renewed so many times within its time: two may be lost before it runs out.
const RENEWALS: u64 = 3;
/// An upstream's clock may run so much slow, with some room.
const SLOW_CLOCK: f64 = 1.03;
/// An upstream that leaves so many calls in a row unanswered is given up: what it holds goes to others once its
/// grants have run out, and it gets nothing for this many times that long.
const SILENT: u32 = 2;
const REST: u64 = 2;
/// This part of the slices may be on its way at a time only to even out what upstreams hold.
const EVENING: usize = 32;
/// Most slices for each upstream: what is moved to even out may be cut from one.
const MOST_SLICES: usize = 6;
/// An upstream has too much above this multiple of the mean, too little below that one. What is known of five
/// requests a second for five seconds may be off by half.
const TOO_MUCH: f64 = 1.5;
const TOO_LITTLE: f64 = 0.5;
/// And nothing is evened out while the one that has most has less than this for each slot: hardly anyone waits
/// there, and what moves costs. Failure: with few requests their number was chance, and all keys changed hands
/// four times within a minute.
const BUSY: f64 = 0.5;
/// A change that was proposed and is not seen for so long was lost.
const LOST: u64 = 2000;

/// How long things take, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Keys are granted for so long.
    pub lease_ms: u64,
    /// A call is given up after so long, and nothing of it arrives later.
    pub call_timeout_ms: u64,
    /// Who leads may send grants for so long after it surely led.
    pub leader_staleness_ms: u64,
    /// Between two calls after one that failed.
    pub retry_interval_ms: u64,
    /// The first division waits until no upstream has come or gone for so long.
    pub stabilization_ms: u64,
}

/// An upstream as the host lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    pub holder: LeaseHolder,
    pub slots: u32,
    /// It is to be given up: it drains, or its zone is evacuated.
    pub draining: bool,
    /// It may be given keys: not while it is cold.
    pub accepts_keys: bool,
}

/// What is asked of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseRequest {
    Grant {
        lease_ms: u64,
        handoff: Option<String>,
    },
    Release,
}

/// A call to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseCall {
    pub holder: LeaseHolder,
    pub first: u16,
    pub last: u16,
    pub fencing_token: u64,
    pub request: LeaseRequest,
}

/// What came of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseCallOutcome {
    /// It was done; what a release hands over.
    Completed(Option<String>),
    /// A higher fence was seen.
    Fenced,
    /// Another upstream has the address.
    AddressReused,
    /// It never left: no connection came up.
    NotSent,
    /// No answer, or one that makes no sense.
    NoResponse,
}

/// What is known of whoever holds a slice, or has to let go of it.
#[derive(Clone, Debug)]
struct Duty {
    id: String,
    /// By then every grant that anyone may have sent it has run out.
    until: u64,
    /// By when the grant that is out may make it longer, and how long it was before.
    before: u64,
    /// When the next grant is due; and after a call that failed, the next call of any kind.
    renew: u64,
    again: u64,
    /// The fence of the one that is out.
    out: Option<u64>,
    silent: u32,
    fenced: bool,
    /// It has let go, with this handover.
    let_go: Option<Option<String>>,
}

impl Duty {
    /// Nobody has sent this one anything since this one leads; what was sent before has run out by `until`.
    fn new(id: &str, until: u64, now: u64) -> Self {
        Self {
            id: id.to_string(),
            until,
            before: until,
            renew: now,
            again: now,
            out: None,
            silent: 0,
            fenced: false,
            let_go: None,
        }
    }
}

/// The plans for one service, for as long as one process leads.
#[derive(Debug)]
pub struct Planner {
    timing: Timing,
    /// When it came to lead.
    began: u64,
    duties: BTreeMap<u16, Duty>,
    /// Changes that are under way, by slice: on which fence, and since when.
    proposed: BTreeMap<u16, (u64, u64)>,
    /// Upstreams that were listed in this time of leading.
    seen: BTreeSet<String>,
    /// Of these, those that are listed no more, or whose address another one has.
    gone: BTreeSet<String>,
    /// Those that did not answer, and until when they are given nothing.
    resting: BTreeMap<String, u64>,
    /// How many could be given keys, and since when.
    settled: (usize, u64),
}

/// Upstreams that may be given keys, and how much work each holds.
struct Takers<'a>(Vec<(f64, &'a Candidate)>);

impl Takers<'_> {
    fn load(&self, i: usize) -> f64 {
        self.0[i].0 / f64::from(self.0[i].1.slots.max(1))
    }

    /// The one that holds least for its slots; of equals, another one for each slice.
    fn least(&self, since: u16) -> Option<usize> {
        let n = self.0.len();
        let turn = |i: usize| (i + n - usize::from(since) % n) % n;
        (0..n).min_by(|&a, &b| {
            self.load(a)
                .total_cmp(&self.load(b))
                .then(turn(a).cmp(&turn(b)))
        })
    }

    /// Gives a slice of this weight to the one that holds least.
    fn give(&mut self, since: u16, weight: f64, handoff: Option<String>) -> Option<Ownership> {
        let i = self.least(since)?;
        self.0[i].0 += weight;
        Some(Ownership::Assigned(self.0[i].1.holder.clone(), handoff))
    }
}

impl Planner {
    /// The host has come to lead.
    pub fn new(now: u64, timing: Timing) -> Self {
        Self {
            timing,
            began: now,
            duties: BTreeMap::new(),
            proposed: BTreeMap::new(),
            seen: BTreeSet::new(),
            gone: BTreeSet::new(),
            resting: BTreeMap::new(),
            settled: (0, now),
        }
    }

    /// How long after its arrival a grant holds at most.
    fn held(&self) -> u64 {
        (self.timing.lease_ms as f64 * SLOW_CLOCK) as u64
    }

    /// By when whatever a predecessor may have sent has run out.
    fn inherited(&self) -> u64 {
        self.began + self.timing.leader_staleness_ms + self.timing.call_timeout_ms + self.held()
    }

    /// What is to be changed, and at most so many calls to be made, by now; none unless the host surely led less
    /// than `stale` ago.
    pub fn plan(
        &mut self,
        now: u64,
        calls: usize,
        slices: &KeyRangeMap,
        listed: &[Candidate],
        work: &KeyLoad,
    ) -> (Vec<KeyRangeChange>, Vec<LeaseCall>) {
        let by_id: BTreeMap<&str, &Candidate> =
            listed.iter().map(|l| (l.holder.id.as_str(), l)).collect();
        let new = by_id.keys().filter(|id| !self.seen.contains(**id));
        let new: Vec<String> = new.map(|id| id.to_string()).collect();
        self.seen.extend(new);
        let gone: Vec<String> = self
            .seen
            .iter()
            .filter(|id| !by_id.contains_key(id.as_str()))
            .cloned()
            .collect();
        for id in gone {
            self.seen.remove(&id);
            self.gone.insert(id);
        }
        let holds = |id: &String| {
            slices
                .iter()
                .any(|(_, s)| s.ownership.holder().is_some_and(|h| h.id == *id))
        };
        self.gone.retain(|id| holds(id));
        self.resting.retain(|_, until| now < *until);
        self.proposed.retain(|since, (fence, at)| {
            now < *at + LOST && slices.get(*since).map_or(0, |s| s.fencing_token) == *fence
        });
        let takes = |l: &&Candidate| l.accepts_keys && !self.resting.contains_key(&l.holder.id);
        let mut takers = Takers(listed.iter().filter(takes).map(|l| (0.0, l)).collect());
        if slices.is_empty() {
            return (self.divide(now, &mut takers), Vec::new());
        }
        let mut held: BTreeMap<&str, f64> = BTreeMap::new();
        for (since, slice) in slices.iter() {
            if let Ownership::Assigned(holder, _) = &slice.ownership {
                *held.entry(holder.id.as_str()).or_default() += work.of_range(since, slice.last);
            }
        }
        for (n, l) in &mut takers.0 {
            *n = held.get(l.holder.id.as_str()).copied().unwrap_or(0.0);
        }
        let (mut changes, mut out, mut moving) = (Vec::new(), Vec::new(), 0);
        for (since, slice) in slices.iter() {
            moving += usize::from(matches!(slice.ownership, Ownership::Releasing(_)));
            let busy = self.proposed.contains_key(&since);
            let weight = work.of_range(since, slice.last);
            let next = self.next(now, (since, weight), slice, &by_id, &mut takers, busy);
            if let Some(owned) = next.filter(|_| !busy) {
                self.proposed.insert(since, (slice.fencing_token, now));
                changes.push(KeyRangeChange {
                    first: since,
                    last: slice.last,
                    expected_token: slice.fencing_token,
                    ownership: owned,
                });
            } else if out.len() < calls && !busy {
                out.extend(self.call(now, since, slice));
            }
        }
        if changes.is_empty() {
            let room = (slices.iter().count() / EVENING + 1).saturating_sub(moving);
            changes = self.even_out(now, slices, &mut takers, work, room);
        }
        self.duties.retain(|since, _| slices.get(*since).is_some());
        (changes, out)
    }

    /// The first slices.
    fn divide(&mut self, now: u64, takers: &mut Takers) -> Vec<KeyRangeChange> {
        // All in one change: half of one division and half of another would leave keys out.
        if self.settled.0 != takers.0.len() {
            // Nor over those alone that are listed so far.
            self.settled = (takers.0.len(), now);
        }
        if !self.proposed.is_empty() || now < self.settled.1 + self.timing.stabilization_ms {
            return Vec::new();
        }
        let n = (takers.0.len() * SLICES_PER_UPSTREAM) as u64;
        let first = |i: u64| i * KEYS / n;
        let mut changes = Vec::new();
        for i in 0..n {
            let (since, to) = (first(i) as u16, (first(i + 1) - 1) as u16);
            let Some(owned) = takers.give(since, 1.0, None) else {
                continue;
            };
            self.proposed.insert(since, (0, now));
            changes.push(KeyRangeChange {
                first: since,
                last: to,
                expected_token: 0,
                ownership: owned,
            });
        }
        changes
    }

    /// What becomes of a slice, if it does not stay as it is.
    fn next(
        &mut self,
        now: u64,
        (since, weight): (u16, f64),
        slice: &KeyRange,
        listed: &BTreeMap<&str, &Candidate>,
        takers: &mut Takers,
        busy: bool,
    ) -> Option<Ownership> {
        let holder = match &slice.ownership {
            Ownership::Unowned if busy => return None,
            Ownership::Unowned => return takers.give(since, weight, None),
            Ownership::Assigned(holder, _) | Ownership::Releasing(holder) => holder,
        };
        let gone = self.gone.contains(&holder.id);
        // It may have been cut from a slice whose holder was granted that a moment ago.
        let until = self
            .inherited()
            .max(now + self.timing.call_timeout_ms + self.held());
        let duty = self
            .duties
            .entry(since)
            .or_insert_with(|| Duty::new(&holder.id, until, now));
        if duty.id != holder.id {
            *duty = Duty::new(&holder.id, until, now);
        }
        if busy {
            return None;
        }
        match &slice.ownership {
            Ownership::Assigned(..) => {
                if duty.let_go.take().is_some() {
                    duty.renew = now;
                }
                let leaves = listed.get(holder.id.as_str()).is_some_and(|l| l.draining);
                if gone || duty.silent >= SILENT || (leaves && !takers.0.is_empty()) {
                    if duty.silent >= SILENT {
                        let until = now + REST * self.timing.lease_ms;
                        self.resting.insert(holder.id.clone(), until);
                    }
                    duty.silent = 0;
                    return Some(Ownership::Releasing(holder.clone()));
                }
                let fenced = std::mem::take(&mut duty.fenced);
                fenced.then(|| Ownership::Assigned(holder.clone(), None))
            }
            _ => {
                let handoff = match &duty.let_go {
                    Some(handoff) => handoff.clone(),
                    None if gone || now >= duty.until => None,
                    None => return None,
                };
                takers.give(since, weight, handoff)
            }
        }
    }

    /// The call that a slice needs by now.
    fn call(&mut self, now: u64, since: u16, slice: &KeyRange) -> Option<LeaseCall> {
        let (timing, held) = (self.timing, self.held());
        let duty = self.duties.get_mut(&since)?;
        if duty.out.is_some() || now < duty.again || duty.let_go.is_some() {
            return None;
        }
        let (holder, ask) = match &slice.ownership {
            Ownership::Assigned(holder, handoff) if now >= duty.renew => {
                duty.before = duty.until;
                duty.until = duty.until.max(now + timing.call_timeout_ms + held);
                (
                    holder,
                    LeaseRequest::Grant {
                        lease_ms: timing.lease_ms,
                        handoff: handoff.clone(),
                    },
                )
            }
            Ownership::Releasing(holder) => (holder, LeaseRequest::Release),
            Ownership::Assigned(..) | Ownership::Unowned => return None,
        };
        let (holder, to, fence) = (holder.clone(), slice.last, slice.fencing_token);
        duty.out = Some(fence);
        Some(LeaseCall {
            holder,
            first: since,
            last: to,
            fencing_token: fence,
            request: ask,
        })
    }

    /// A call has ended.
    pub fn on_call_completed(&mut self, now: u64, call: &LeaseCall, answer: LeaseCallOutcome) {
        let (timing, held, inherited) = (self.timing, self.held(), self.inherited());
        // What was asked of an earlier holder, or of this one under an earlier fence, says nothing of what holds now.
        let of = |d: &&mut Duty| d.id == call.holder.id && d.out == Some(call.fencing_token);
        let Some(duty) = self.duties.get_mut(&call.first).filter(of) else {
            return;
        };
        duty.out = None;
        let silent = matches!(
            answer,
            LeaseCallOutcome::NoResponse | LeaseCallOutcome::NotSent
        );
        duty.silent = if silent { duty.silent + 1 } else { 0 };
        let grant = matches!(call.request, LeaseRequest::Grant { .. });
        match answer {
            LeaseCallOutcome::Completed(_) if grant => {
                // It arrived by now, and so did all before it.
                duty.until = inherited.max(now + held);
                // Those of all slices are spread over the time between two.
                let every = timing.lease_ms / RENEWALS;
                duty.renew = now + every - every / 4 * u64::from(call.first) / KEYS;
            }
            LeaseCallOutcome::Completed(handoff) => duty.let_go = Some(handoff),
            LeaseCallOutcome::AddressReused => {
                self.gone.insert(call.holder.id.clone());
                self.resting
                    .insert(call.holder.id.clone(), now + REST * timing.lease_ms);
            }
            LeaseCallOutcome::Fenced if grant => (duty.fenced, duty.renew) = (true, now),
            LeaseCallOutcome::NotSent if grant => {
                (duty.until, duty.again) = (duty.before, now + timing.retry_interval_ms);
            }
            LeaseCallOutcome::NotSent | LeaseCallOutcome::NoResponse | LeaseCallOutcome::Fenced => {
                duty.again = now + timing.retry_interval_ms
            }
        }
    }

    /// From those that have too much, or most where others have too little, to those that have least: a few slices
    /// at a time, cut to what is to be moved.
    fn even_out(
        &mut self,
        now: u64,
        slices: &KeyRangeMap,
        takers: &mut Takers,
        work: &KeyLoad,
        room: usize,
    ) -> Vec<KeyRangeChange> {
        let mut of: BTreeMap<&str, Vec<(u16, u16, u64)>> = BTreeMap::new();
        for (since, s) in slices.iter() {
            match &s.ownership {
                Ownership::Assigned(holder, _) if !self.proposed.contains_key(&since) => {
                    of.entry(holder.id.as_str()).or_default().push((
                        since,
                        s.last,
                        s.fencing_token,
                    ));
                }
                // What is on its way goes to those that hold least.
                Ownership::Releasing(_) => {
                    drop(takers.give(since, work.of_range(since, s.last), None))
                }
                _ => {}
            }
        }
        let n = takers.0.len();
        let mean = (0..n).map(|i| takers.load(i)).sum::<f64>() / n.max(1) as f64;
        let may_cut = slices.iter().count() < n * MOST_SLICES;
        let mut changes = Vec::new();
        while changes.len() < room {
            let movable = |&i: &usize| of.contains_key(takers.0[i].1.holder.id.as_str());
            let most = (0..n)
                .filter(movable)
                .max_by(|&a, &b| takers.load(a).total_cmp(&takers.load(b)));
            let Some((least, most)) = takers.least(0).zip(most) else {
                break;
            };
            let (low, high) = (takers.load(least), takers.load(most));
            let even = high <= mean * TOO_MUCH && low >= mean * TOO_LITTLE;
            if even || high <= low || high < BUSY {
                break;
            }
            let slots = f64::from(takers.0[most].1.slots.max(1));
            let wanted = (high - low) / 2.0 * slots;
            let holder = takers.0[most].1.holder.clone();
            let Some(mut own) = of.remove(holder.id.as_str()) else {
                break;
            };
            // The largest that is not too large; else a part of the largest.
            let weight = |s: &(u16, u16, u64)| work.of_range(s.0, s.1);
            own.sort_by(|a, b| weight(a).total_cmp(&weight(b)));
            let whole = own.iter().rposition(|s| weight(s) <= wanted);
            // However many there are: what is more than one should have can't stay in one piece.
            let may_cut = may_cut || own.last().is_some_and(|s| weight(s) > mean * slots);
            let enough = |&i: &usize| weight(&own[i]) >= wanted / 2.0 || i + 1 == own.len();
            let whole = whole.filter(|i| enough(i) || !may_cut);
            let (since, to, was) = match whole {
                Some(i) => own.remove(i),
                None => {
                    let Some((since, to, was)) = own.pop().filter(|_| may_cut) else {
                        continue;
                    };
                    let cut = work.split_point(since, to, wanted);
                    let Some(cut) = cut else { continue };
                    (cut, to, was)
                }
            };
            let moved = work.of_range(since, to);
            if moved > 2.0 * wanted {
                // One key alone may be more than anyone should have; it has to be somewhere.
                continue;
            }
            takers.0[most].0 -= moved;
            takers.0[least].0 += moved;
            self.proposed.insert(since, (was, now));
            changes.push(KeyRangeChange {
                first: since,
                last: to,
                expected_token: was,
                ownership: Ownership::Releasing(holder.clone()),
            });
        }
        changes
    }
}
