//! Owns the decision modules, one for each service, the table of requests and the timers. Feeds a module
//! every event in the order it came, and carries out its actions in the order it gave them. Decides nothing,
//! and does not know who brings the lists and the settings.

mod abandoned;
mod clock;
mod handle;
mod listed;
mod requests;

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use load_balancing::interface as d;
use load_balancing::interface::{
    Action, AttemptOutcome, Event, MembershipKind, RequestId, ServerId, Span,
};
use load_balancing::policy::Balancer;
use protocol::key_ranges::{KEYS_PER_BUCKET, KeyRangeRow};
use rustc_hash::FxHashMap;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

pub use self::abandoned::Abandoned;
use self::clock::Clock;
use self::handle::Work;
pub use self::handle::{EngineEvent, EngineHandle, EngineReply, IncomingRequest, ListedUpstream};
use self::listed::Upstreams;
use self::requests::{Held, Try, TryState};
use crate::upstream_pool::{AbortOnDrop, AttemptResult, ForwardedRequest, UpstreamPool};

/// At this much less than the client's deadline the engine answers itself, should a module still owe it.
const BACKSTOP: Duration = Duration::from_millis(5);
/// What is refused because this process ends may come again, elsewhere, after this.
const ELSEWHERE: Span = Span(50_000);

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Token(usize, u64),
    Deadline(RequestId),
}

/// An event of the engine's own making, told once the present actions are carried out.
type Later = (RequestId, usize, AttemptResult);

/// One service: its module and its upstreams.
struct Service {
    balancer: Balancer,
    upstreams: Upstreams,
    /// Who holds which keys, as told last.
    rows: Vec<KeyRangeRow>,
    second_copies: bool,
    max_attempts: usize,
}

/// What an engine is told at its start.
pub struct EngineConfig {
    /// For the modules' random numbers.
    pub seed: u64,
    /// The modules work to this much less than the client's deadline, so that an answer at the deadline
    /// still arrives: the way to the client, and a busy moment here.
    pub headroom: Duration,
    /// How long after the news that an upstream drains a request may still go out to it.
    pub drain_grace: Duration,
    /// Timers fire on multiples of this, so that those of many services fire together.
    pub grid: Duration,
    /// Where a module's wish to subscribe to the list goes.
    pub subscribe: Option<mpsc::UnboundedSender<()>>,
}

pub struct Engine {
    terms: EngineConfig,
    services: Vec<Service>,
    clock: Clock,
    notes: mpsc::UnboundedReceiver<EngineEvent>,
    own_notes: mpsc::UnboundedSender<EngineEvent>,
    requests: FxHashMap<RequestId, Held>,
    timers: BinaryHeap<Reverse<(Instant, Due)>>,
    actions: Vec<Action>,
    later: VecDeque<Later>,
    pool: Rc<UpstreamPool>,
    /// A handle of an upstream is never used twice, or news of one that is gone would be taken for
    /// another's.
    next_upstream: u32,
    ready: Rc<Cell<bool>>,
    work: Rc<RefCell<Work>>,
    abandoned: Abandoned,
}

impl Engine {
    pub fn new(terms: EngineConfig, pool: Rc<UpstreamPool>) -> (Self, EngineHandle) {
        let (own_notes, notes) = mpsc::unbounded_channel();
        let ready = Rc::new(Cell::new(false));
        let work = Rc::new(RefCell::default());
        let abandoned = Abandoned::default();
        let handle = EngineHandle {
            notes: own_notes.clone(),
            next: Cell::new(0),
            ready: ready.clone(),
            work: Rc::clone(&work),
            abandoned: abandoned.clone(),
        };
        let engine = Self {
            terms,
            services: Vec::new(),
            clock: Clock::new(),
            notes,
            own_notes,
            requests: FxHashMap::default(),
            timers: BinaryHeap::new(),
            actions: Vec::new(),
            later: VecDeque::new(),
            pool,
            next_upstream: 0,
            ready,
            work,
            abandoned,
        };
        (engine, handle)
    }

    /// Takes over a service's settings; a service that is the next one is new.
    pub fn settings(
        &mut self,
        service: usize,
        settings: d::Settings,
    ) -> Result<(), d::SettingsError> {
        let (second_copies, max_attempts) = (settings.limits.hedging, settings.limits.max_attempts);
        if let Some(known) = self.services.get_mut(service) {
            (known.second_copies, known.max_attempts) = (second_copies, max_attempts);
            return known.balancer.reconfigure(settings);
        }
        let seed = self.terms.seed.wrapping_add(service as u64);
        let balancer = Balancer::new(settings, seed, self.clock.now())?;
        let upstreams = Upstreams::new(self.terms.drain_grace);
        let rows = Vec::new();
        self.services.push(Service {
            balancer,
            upstreams,
            rows,
            second_copies,
            max_attempts,
        });
        Ok(())
    }

    pub async fn run(mut self) {
        loop {
            let due = self.timers.peek().map(|Reverse((at, _))| *at);
            let sleep = async {
                match due {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                note = self.notes.recv() => match note {
                    Some(note) => self.take(note),
                    None => return,
                },
                () = sleep => {}
            }
            self.fire();
        }
    }

    fn fire(&mut self) {
        let now = Instant::now();
        while let Some(Reverse((at, due))) = self.timers.peek().copied() {
            if at > now {
                return;
            }
            self.timers.pop();
            match due {
                Due::Token(service, token) => self.tell(service, Event::TimerFired(token)),
                Due::Deadline(id) => self.overdue(id),
            }
        }
    }

    fn take(&mut self, note: EngineEvent) {
        match note {
            EngineEvent::Arrived {
                id,
                service,
                arrival,
                forward,
                reply,
            } => {
                self.arrived(id, service, arrival, forward, reply);
            }
            EngineEvent::Left(id) => self.left(id),
            EngineEvent::Ended { id, attempt, ended } => {
                self.ended(id, attempt, ended);
                self.catch_up();
            }
            EngineEvent::Settings { service, settings } => {
                if let Err(cause) = self.settings(service, *settings) {
                    tracing::error!(%cause, service, "settings that can't be used");
                }
            }
            EngineEvent::Members {
                service,
                kind,
                list,
            } => self.listed(service, kind, &list),
            EngineEvent::Holders { service, rows } => {
                if let Some(known) = self.services.get_mut(service) {
                    known.rows = rows;
                    self.tell_holders(service);
                }
            }
            EngineEvent::Ending => self.refuse_waiting(),
        }
    }

    fn arrived(
        &mut self,
        id: RequestId,
        service: usize,
        arrival: IncomingRequest,
        forward: ForwardedRequest,
        reply: oneshot::Sender<EngineReply>,
    ) {
        let until = arrival.until - self.terms.headroom;
        let held = Held {
            service,
            shard: arrival.shard,
            forward: Rc::new(forward),
            reply: Some(reply),
            live: Rc::new(Cell::new(true)),
            left: None,
            until,
            attempts: Vec::new(),
            last: None,
            error: None,
        };
        self.requests.insert(id, held);
        self.timers
            .push(Reverse((arrival.until - BACKSTOP, Due::Deadline(id))));
        let request = d::Request {
            class: arrival.class,
            tenant: arrival.tenant,
            key: arrival.key,
            shard: arrival.shard,
            estimated_work: arrival.cost_guess,
            is_client_retry: arrival.resent,
            ..d::Request::new(id, arrival.class, self.clock.at(until))
        };
        self.tell(service, Event::Request(request));
    }

    /// The client of a request went away before its answer.
    fn left(&mut self, id: RequestId) {
        let Some(held) = self.requests.get_mut(&id) else {
            return;
        };
        if held.reply.take().is_some() {
            held.live.set(false);
            held.left = Some(Instant::now());
            let service = held.service;
            self.tell(service, Event::ClientDisconnected(id));
        }
        self.forget(id);
    }

    /// Guards against a request that the module still owes its answer when the client is about to give up.
    fn overdue(&mut self, id: RequestId) {
        if self.answer(id, EngineReply::Failed { late: true }) {
            tracing::warn!("answered at the deadline");
            if let Some(service) = self.requests.get(&id).map(|h| h.service) {
                self.tell(service, Event::ClientDisconnected(id));
            }
        }
        self.forget(id);
    }

    /// Refuses whatever is not at an upstream. Failure: what waited as the process ended lost its connection without
    /// an answer.
    fn refuse_waiting(&mut self) {
        let waits = |(_, held): &(&RequestId, &Held)| held.reply.is_some() && held.out() == 0;
        let waiting = self.requests.iter().filter(waits);
        let waiting: Vec<_> = waiting
            .map(|(id, h)| (*id, h.service, h.may_have_run()))
            .collect();
        for (id, service, may_have_run) in waiting {
            let refused = EngineReply::Refused {
                retry_after: ELSEWHERE,
            };
            let reply = if may_have_run {
                EngineReply::Failed { late: false }
            } else {
                refused
            };
            self.give_up(id, reply);
            self.tell(service, Event::ClientDisconnected(id));
        }
    }

    /// Gives the final answer, unless there was one.
    fn answer(&mut self, id: RequestId, reply: EngineReply) -> bool {
        let Some(held) = self.requests.get_mut(&id) else {
            return false;
        };
        let Some(sender) = held.reply.take() else {
            return false;
        };
        held.live.set(false);
        let _ = sender.send(reply);
        true
    }

    fn ended(&mut self, id: RequestId, attempt: usize, mut ended: AttemptResult) {
        let Some(held) = self.requests.get_mut(&id) else {
            return;
        };
        if ended.outcome == AttemptOutcome::NotOwner && held.shard.is_none() {
            // Nobody holds anything there: it is another upstream than was meant.
            ended.outcome = AttemptOutcome::Rejected;
        }
        let Some(tried) = held.attempts.get_mut(attempt) else {
            return;
        };
        if matches!(
            std::mem::replace(&mut tried.state, TryState::Ended),
            TryState::Ended
        ) {
            return;
        }
        let (server, latency) = (tried.server, tried.sent.elapsed());
        held.last = Some(ended.outcome);
        if let Some(left) = held.left {
            self.abandoned.ended(ended.outcome, left.elapsed());
        }
        let service = held.service;
        if let Some(key) = held
            .shard
            .filter(|_| ended.outcome != AttemptOutcome::NotOwner)
        {
            *self
                .work
                .borrow_mut()
                .entry((service, key / KEYS_PER_BUCKET))
                .or_default() += latency;
        }
        // The first whole answer is the client's; one that comes after the end is dropped.
        match ended.response {
            Some(response) if ended.outcome == AttemptOutcome::Ok => {
                self.answer(id, EngineReply::Served(response));
            }
            error => held.error = error,
        }
        let over = self.requests.get(&id).is_none_or(|h| h.reply.is_none());
        let answer = d::AttemptResult {
            report: ended.report,
            ..d::AttemptResult::new(
                id,
                attempt,
                server,
                ended.outcome,
                Span(latency.as_micros() as i64),
                over,
            )
        };
        self.handle(service, Event::AttemptEnded(answer));
        self.forget(id);
    }

    /// Drops a request that is answered and has nothing out.
    fn forget(&mut self, id: RequestId) {
        if self
            .requests
            .get(&id)
            .is_some_and(|h| h.reply.is_none() && h.out() == 0)
        {
            self.requests.remove(&id);
        }
    }

    /// Takes in a list and tells the module.
    pub fn listed(&mut self, service: usize, kind: MembershipKind, list: &[ListedUpstream]) {
        if kind == MembershipKind::Unavailable {
            // No list is not an empty list.
            return self.tell(service, Event::Membership { kind, list: &[] });
        }
        let Some(known) = self.services.get_mut(service) else {
            return;
        };
        let clock = self.clock;
        let members =
            known
                .upstreams
                .update(list, kind, &self.pool, &mut self.next_upstream, clock);
        let ready = self.services.iter().any(|s| s.upstreams.any_open());
        if self.ready.replace(ready) != ready {
            tracing::info!(ready, "upstreams");
        }
        self.tell(
            service,
            Event::Membership {
                kind,
                list: &members,
            },
        );
        self.services[service].upstreams.forget(&self.pool);
        // A holder may have been told before the list that names it.
        if !self.services[service].rows.is_empty() {
            self.tell_holders(service);
        }
    }

    fn tell_holders(&mut self, service: usize) {
        let Some(known) = self.services.get(service) else {
            return;
        };
        let ids = &known.upstreams.ids;
        let keys = |KeyRangeRow(since, to, holder): &KeyRangeRow| {
            let server = holder.as_ref().and_then(|id| ids.get(id)).copied();
            d::OwnedKeyRange {
                first: *since,
                last: *to,
                server,
            }
        };
        let keys: Vec<d::OwnedKeyRange> = known.rows.iter().map(keys).collect();
        self.tell(service, Event::KeyOwners(&keys));
    }

    /// Tells the module, and carries out what it says until nothing is left to tell.
    fn tell(&mut self, service: usize, event: Event) {
        self.handle(service, event);
        self.catch_up();
    }

    fn catch_up(&mut self) {
        while let Some((id, attempt, ended)) = self.later.pop_front() {
            self.ended(id, attempt, ended);
        }
    }

    fn handle(&mut self, service: usize, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        if let Some(known) = self.services.get_mut(service) {
            known.balancer.handle(self.clock.now(), event, &mut actions);
        }
        for action in actions.drain(..) {
            self.carry_out(service, action);
        }
        self.actions = actions;
    }

    /// The final answer of a request that no upstream served: an upstream's own error, if there was one.
    fn give_up(&mut self, id: RequestId, reply: EngineReply) {
        let Some(held) = self.requests.get_mut(&id) else {
            return;
        };
        // A refusal promises that the request never runs: one that is out may.
        let out = held.out() > 0 && matches!(reply, EngineReply::Refused { .. });
        let reply = if out {
            EngineReply::Failed { late: false }
        } else {
            reply
        };
        let reply = held.error.take().map_or(reply, EngineReply::Served);
        self.answer(id, reply);
        self.forget(id);
    }

    fn carry_out(&mut self, service: usize, action: Action) {
        match action {
            Action::Send {
                request,
                server,
                timeout,
            } => self.send(request, server, timeout),
            Action::Reject {
                request,
                retry_after,
            } => {
                self.give_up(request, EngineReply::Refused { retry_after });
            }
            Action::Fail { request } => {
                let last = self.requests.get(&request).and_then(|h| h.last);
                self.give_up(
                    request,
                    EngineReply::Failed {
                        late: last == Some(AttemptOutcome::Timeout),
                    },
                );
            }
            Action::Cancel { request, attempt } => {
                let held = self.requests.get_mut(&request);
                if let Some(tried) = held.and_then(|h| h.broken_off(attempt)) {
                    tried.state = TryState::Ending;
                    self.later.push_back((
                        request,
                        attempt,
                        AttemptResult::bare(AttemptOutcome::Cancelled),
                    ));
                }
            }
            Action::SetTimer { token, at } => {
                let at = self.clock.on_grid(at, self.terms.grid);
                self.timers.push(Reverse((at, Due::Token(service, token))));
            }
            Action::CloseIdle { server } => self.pool.close_idle(server),
            Action::Subscribe => {
                if let Some(subscribe) = &self.terms.subscribe {
                    let _ = subscribe.send(());
                }
            }
            // Upstreams here take no probes, and the module sends none where that is so.
            Action::Probe { .. } => {}
        }
    }

    fn send(&mut self, id: RequestId, server: ServerId, allow: Span) {
        let Some(held) = self.requests.get_mut(&id) else {
            return;
        };
        let (now, attempt) = (Instant::now(), held.attempts.len());
        let allowed = if allow.0 > 0 {
            now + Duration::from_micros(allow.0 as u64)
        } else {
            held.until
        };
        let until = allowed.min(held.until);
        let Some(service) = self.services.get(held.service) else {
            return;
        };
        let twice = held.out() > 0 && !service.second_copies;
        let target = service.upstreams.target(server);
        let on_wire = Rc::new(Cell::new(false));
        let mut tried = Try {
            server,
            sent: now,
            on_wire: on_wire.clone(),
            state: TryState::Ending,
        };
        let over = held.reply.is_none() || attempt >= service.max_attempts || now >= until;
        let (Some(target), false) = (target, over || twice) else {
            held.attempts.push(tried);
            self.later
                .push_back((id, attempt, AttemptResult::bare(AttemptOutcome::NotIssued)));
            return;
        };
        let (pool, notes) = (self.pool.clone(), self.own_notes.clone());
        let (forward, live) = (held.forward.clone(), held.live.clone());
        tried.state = TryState::Running(AbortOnDrop(tokio::task::spawn_local(async move {
            let may_go = || {
                on_wire.set(live.get());
                live.get()
            };
            let ended = pool.attempt(server, &target, &forward, until, may_go).await;
            let _ = notes.send(EngineEvent::Ended { id, attempt, ended });
        })));
        held.attempts.push(tried);
    }
}

#[cfg(test)]
mod answer_tests;

#[cfg(test)]
mod tests;
