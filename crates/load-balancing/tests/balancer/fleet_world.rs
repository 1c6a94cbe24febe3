//! Many balancers and the upstreams that they share, on one clock: deterministic but for the seed of its random
//! numbers.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use load_balancing::interface::*;
use load_balancing::policy::Balancer;
use oorandom::Rand64;

use crate::harness::{MS, class, endpoint_in_zone, settings};

/// One way between a proxy and an upstream.
const ONE_WAY_DELAY: Span = Span(MS / 2);
/// Mean work of a request on an upstream of speed 1.
const WORK_MS: f64 = 20.0;
/// Requests that wait at an upstream at most.
const MAX_UPSTREAM_QUEUE: usize = 12;

pub(crate) struct Plan {
    pub balancers: u32,
    pub upstreams: u32,
}

enum Occurrence {
    Arrival(usize),
    Timer(usize, u64),
    Answered(usize, AttemptResult),
}

/// One core, first come, first served.
struct Upstream {
    free_at: Time,
    /// When what it holds ends, in order.
    in_flight_until: Vec<Time>,
}

pub(crate) struct FleetWorld {
    plan: Plan,
    now: Time,
    rng: Rand64,
    balancers: Vec<Balancer>,
    upstreams: Vec<Upstream>,
    /// Due events; ties end in the order in which they were set.
    due: BinaryHeap<Reverse<(Time, u64)>>,
    events: HashMap<u64, Occurrence>,
    next: u64,
    /// Work and attempts of each open request.
    open: HashMap<u64, (f64, usize)>,
    pub request_count: usize,
    pub served: usize,
    pub rejected: usize,
}

impl FleetWorld {
    /// Balancers that all know the same upstreams.
    pub(crate) fn new(plan: Plan) -> Self {
        let now = Time(1_000_000 * MS);
        let of = |position| {
            let all = Settings {
                balancers: plan.balancers,
                position,
                classes: vec![class(Effect::Safe)],
                ..settings()
            };
            Balancer::new(all, u64::from(position), now).expect("settings are sound")
        };
        let idle = |_| Upstream {
            free_at: now,
            in_flight_until: Vec::new(),
        };
        let mut world = Self {
            now,
            rng: Rand64::new(17),
            balancers: (0..plan.balancers).map(of).collect(),
            upstreams: (0..plan.upstreams).map(idle).collect(),
            due: BinaryHeap::new(),
            events: HashMap::new(),
            next: 0,
            open: HashMap::new(),
            request_count: 0,
            served: 0,
            rejected: 0,
            plan,
        };
        let list: Vec<Endpoint> = (0..world.plan.upstreams)
            .map(|i| endpoint_in_zone(i, i % 2))
            .collect();
        for b in 0..world.balancers.len() {
            world.notify(
                b,
                Event::Membership {
                    kind: MembershipKind::Restored,
                    list: &list,
                },
            );
        }
        world
    }

    /// So many milliseconds of traffic that keeps this share of the upstreams busy.
    pub(crate) fn run(&mut self, ms: i64, load: f64) {
        let end = self.now.plus(Span(ms * MS));
        let each = f64::from(self.plan.balancers) / f64::from(self.plan.upstreams);
        let gap = WORK_MS * each / load * MS as f64;
        for b in 0..self.balancers.len() {
            self.arrive_after(b, gap);
        }
        while let Some(&Reverse((at, id))) = self.due.peek() {
            if at > end {
                break;
            }
            self.due.pop();
            self.now = at;
            match self.events.remove(&id).expect("each is due once") {
                Occurrence::Arrival(b) => {
                    self.arrive_after(b, gap);
                    self.request(b);
                }
                Occurrence::Timer(b, token) => self.notify(b, Event::TimerFired(token)),
                Occurrence::Answered(b, answer) => {
                    self.served += usize::from(answer.outcome == AttemptOutcome::Ok);
                    self.notify(b, Event::AttemptEnded(answer));
                }
            }
        }
        self.now = end;
        self.events
            .retain(|_, what| !matches!(what, Occurrence::Arrival(_)));
        self.due
            .retain(|Reverse((_, id))| self.events.contains_key(id));
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -(1.0 - self.rng.rand_float()).ln() * mean
    }

    fn schedule(&mut self, at: Time, occurrence: Occurrence) {
        self.events.insert(self.next, occurrence);
        self.due.push(Reverse((at, self.next)));
        self.next += 1;
    }

    fn arrive_after(&mut self, b: usize, gap: f64) {
        let at = self.now.plus(Span::from_micros(self.exponential(gap)));
        self.schedule(at, Occurrence::Arrival(b));
    }

    fn request(&mut self, b: usize) {
        let id = self.request_count as u64;
        self.request_count += 1;
        let work = self.exponential(WORK_MS);
        self.open.insert(id, (work, 0));
        let deadline = self.now.plus(class(Effect::Safe).deadline);
        self.notify(b, Event::Request(Request::new(RequestId(id), 0, deadline)));
    }

    fn notify(&mut self, b: usize, event: Event) {
        let mut actions = Vec::new();
        self.balancers[b].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send {
                    request,
                    server,
                    timeout,
                } => self.send(b, request, server, timeout),
                Action::Reject { .. } => self.rejected += 1,
                Action::SetTimer { token, at } => self.schedule(at, Occurrence::Timer(b, token)),
                _ => {}
            }
        }
    }

    fn send(&mut self, b: usize, request: RequestId, server: ServerId, timeout: Span) {
        let now = self.now;
        let (work, attempts) = self.open.get_mut(&request.0).expect("an open request");
        let (work, attempt) = (*work, *attempts);
        *attempts += 1;
        let upstream = &mut self.upstreams[server.0 as usize];
        upstream.in_flight_until.retain(|ends| *ends > now);
        let full = upstream.in_flight_until.len() > MAX_UPSTREAM_QUEUE;
        let (outcome, at) = if full {
            (AttemptOutcome::Rejected, now.plus(ONE_WAY_DELAY))
        } else {
            let starts = upstream.free_at.max(now.plus(ONE_WAY_DELAY));
            upstream.free_at = starts.plus(Span::from_micros(work * MS as f64));
            upstream.in_flight_until.push(upstream.free_at);
            (AttemptOutcome::Ok, upstream.free_at)
        };
        let (until, back) = (now.plus(timeout), at.plus(ONE_WAY_DELAY));
        let outcome = if back > until {
            AttemptOutcome::Timeout
        } else {
            outcome
        };
        let latency = back.min(until).since(now);
        let last = outcome == AttemptOutcome::Ok;
        let answer = AttemptResult::new(request, attempt, server, outcome, latency, last);
        self.schedule(back.min(until), Occurrence::Answered(b, answer));
    }
}
