//! Simulation of many balancers and the upstreams that they share, on one clock. Deterministic for a given seed.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use load_balancing::interface::*;
use load_balancing::policy::Balancer;
use oorandom::Rand64;

use crate::harness::{MS, class, endpoint_in_zone, settings};

/// Network delay in one direction between a balancer and an upstream.
const ONE_WAY_DELAY: Span = Span(MS / 2);
/// Mean work of a request, in milliseconds on one core.
const WORK_MS: f64 = 20.0;
/// Maximum number of requests that wait at an upstream.
const MAX_UPSTREAM_QUEUE: usize = 12;

pub(crate) struct FleetSize {
    pub balancers: u32,
    pub upstreams: u32,
}

enum ScheduledEvent {
    Arrival(usize),
    Timer(usize, u64),
    Answered(usize, AttemptResult),
}

/// An upstream with one core that runs its requests in order of arrival.
struct Upstream {
    free_at: Time,
    /// End times of the requests that it holds, in order.
    in_flight_until: Vec<Time>,
}

pub(crate) struct FleetWorld {
    size: FleetSize,
    now: Time,
    rng: Rand64,
    balancers: Vec<Balancer>,
    upstreams: Vec<Upstream>,
    /// Times and ids of scheduled events; events at the same time run in the order in which they were scheduled.
    schedule_queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: HashMap<u64, ScheduledEvent>,
    next_id: u64,
    /// Work in milliseconds and number of attempts of each request.
    open: HashMap<u64, (f64, usize)>,
    pub request_count: usize,
    pub served: usize,
    pub rejected: usize,
}

impl FleetWorld {
    /// Creates balancers that all know the same upstreams.
    pub(crate) fn new(size: FleetSize) -> Self {
        let now = Time(1_000_000 * MS);
        let new_balancer = |position| {
            let settings = Settings {
                balancers: size.balancers,
                position,
                classes: vec![class(Effect::Safe).into()],
                ..settings()
            };
            Balancer::new(settings, u64::from(position), now).expect("valid settings")
        };
        let new_upstream = |_| Upstream {
            free_at: now,
            in_flight_until: Vec::new(),
        };
        let mut world = Self {
            now,
            rng: Rand64::new(17),
            balancers: (0..size.balancers).map(new_balancer).collect(),
            upstreams: (0..size.upstreams).map(new_upstream).collect(),
            schedule_queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_id: 0,
            open: HashMap::new(),
            request_count: 0,
            served: 0,
            rejected: 0,
            size,
        };
        let list: Vec<Endpoint> = (0..world.size.upstreams)
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

    /// Runs `ms` milliseconds of traffic that keeps the share `load` of the upstreams busy.
    pub(crate) fn run(&mut self, ms: i64, load: f64) {
        let end = self.now.plus(Span(ms * MS));
        let balancers_per_upstream =
            f64::from(self.size.balancers) / f64::from(self.size.upstreams);
        let mean_interval = WORK_MS * balancers_per_upstream / load * MS as f64;
        for b in 0..self.balancers.len() {
            self.schedule_arrival(b, mean_interval);
        }
        while let Some(&Reverse((at, id))) = self.schedule_queue.peek() {
            if at > end {
                break;
            }
            self.schedule_queue.pop();
            self.now = at;
            match self
                .events
                .remove(&id)
                .expect("each event is scheduled once")
            {
                ScheduledEvent::Arrival(b) => {
                    self.schedule_arrival(b, mean_interval);
                    self.request(b);
                }
                ScheduledEvent::Timer(b, token) => self.notify(b, Event::TimerFired(token)),
                ScheduledEvent::Answered(b, answer) => {
                    self.served += usize::from(answer.outcome == AttemptOutcome::Ok);
                    self.notify(b, Event::AttemptEnded(answer));
                }
            }
        }
        self.now = end;
        self.events
            .retain(|_, event| !matches!(event, ScheduledEvent::Arrival(_)));
        self.schedule_queue
            .retain(|Reverse((_, id))| self.events.contains_key(id));
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -(1.0 - self.rng.rand_float()).ln() * mean
    }

    fn schedule(&mut self, at: Time, event: ScheduledEvent) {
        self.events.insert(self.next_id, event);
        self.schedule_queue.push(Reverse((at, self.next_id)));
        self.next_id += 1;
    }

    fn schedule_arrival(&mut self, b: usize, mean_interval: f64) {
        let at = self
            .now
            .plus(Span::from_micros(self.exponential(mean_interval)));
        self.schedule(at, ScheduledEvent::Arrival(b));
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
                Action::SetTimer { token, at } => {
                    self.schedule(at, ScheduledEvent::Timer(b, token));
                }
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
        upstream.in_flight_until.retain(|end| *end > now);
        let is_full = upstream.in_flight_until.len() > MAX_UPSTREAM_QUEUE;
        let (outcome, at) = if is_full {
            (AttemptOutcome::Rejected, now.plus(ONE_WAY_DELAY))
        } else {
            let starts = upstream.free_at.max(now.plus(ONE_WAY_DELAY));
            upstream.free_at = starts.plus(Span::from_micros(work * MS as f64));
            upstream.in_flight_until.push(upstream.free_at);
            (AttemptOutcome::Ok, upstream.free_at)
        };
        let (timeout_at, answered_at) = (now.plus(timeout), at.plus(ONE_WAY_DELAY));
        let outcome = if answered_at > timeout_at {
            AttemptOutcome::Timeout
        } else {
            outcome
        };
        let latency = answered_at.min(timeout_at).since(now);
        let last = outcome == AttemptOutcome::Ok;
        let answer = AttemptResult::new(request, attempt, server, outcome, latency, last);
        self.schedule(
            answered_at.min(timeout_at),
            ScheduledEvent::Answered(b, answer),
        );
    }
}
