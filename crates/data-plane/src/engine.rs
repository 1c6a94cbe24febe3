//! The engine: one load-balancing module for each service, the table of requests, the timers.
//!
//! Read in the order in which a request meets it: `handle` (a client's connection submits a request and waits),
//! `requests` (it arrives, its client disconnects, its deadline passes), `attempts` (it is sent to an upstream, and that
//! ends), `replies` (its one final reply). `membership` takes in lists of upstreams and owners of keys, `upstreams` holds
//! them, `timers` and `clock` keep the time. This file has the event loop, which feeds a module every event in the order
//! in which it came and carries out the module's actions in the order in which they were given. The engine itself
//! decides nothing, and does not know who brings lists and settings.
//!
//! **State.** All of it in [`Engine`], which runs as one task; nothing else touches it. The [`EngineHandle`] shares only
//! the sender of events, whether there are open upstreams, and figures to be reported.
//!
//! **Promises.** Each request gets one final reply, at the latest 5 ms (`DEADLINE_MARGIN`) before its client gives up. A
//! request is rejected, which promises that it never runs, only while none of its attempts may have run. The module
//! is told of the end of each attempt exactly once.
//!
//! **May lose.** All requests, with the process. What waits as the process ends is rejected first
//! ([`EngineEvent::ShutdownStarted`]).
//!
//! **Neighbours silent or gone.** An upstream: its attempts end by their timeout (see [`crate::upstream_pool`]). The
//! control plane: lists and settings stay as they were last told. A client: what may be repeated is cancelled, what
//! may run only once is left to end.

mod abandoned;
mod attempts;
mod clock;
mod handle;
mod membership;
mod pending_request;
mod replies;
mod requests;
mod timers;
mod upstreams;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use load_balancing::interface::{Action, Event, RequestId, Settings, SettingsError};
use load_balancing::policy::Balancer;
use protocol::key_ranges::KeyRangeRow;
use rustc_hash::FxHashMap;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

pub use self::abandoned::AbandonedAttempts;
use self::attempts::EndedAttempt;
use self::clock::Clock;
pub use self::handle::{
    EngineEvent, EngineHandle, EngineReply, IncomingRequest, KeyBucket, KeyLoad, ListedUpstream,
};
use self::pending_request::PendingRequest;
use self::timers::{Timer, Timers};
use self::upstreams::UpstreamRegistry;
use crate::upstream_pool::UpstreamPool;

/// So long before the client's deadline the engine replies itself, should the module still owe the reply.
const DEADLINE_MARGIN: Duration = Duration::from_millis(5);

/// What an engine is given at its start.
pub struct EngineConfig {
    /// Seeds the modules' random numbers.
    pub seed: u64,
    /// The modules work to a deadline that is so much earlier than the client's, so that a reply at the deadline
    /// still arrives: the way to the client, and a busy moment here. 30 ms in the data plane.
    pub headroom: Duration,
    /// How long after a drain is known a request may still be sent to the upstream. 0 in the data plane; by the
    /// deployment's rules in the standalone proxy.
    pub drain_grace: Duration,
    /// Timers fire on multiples of this, so that those of many services fire together.
    pub timer_granularity: Duration,
    /// Where a module's wish to subscribe to the list of upstreams goes; `None` where lists come unasked.
    pub subscribe: Option<mpsc::UnboundedSender<()>>,
}

/// One service: its module and its upstreams.
struct Service {
    balancer: Balancer,
    upstreams: UpstreamRegistry,
    /// Which upstream owns which keys, as told last.
    key_ranges: Vec<KeyRangeRow>,
    /// Whether two attempts of a request may be out at once.
    hedging: bool,
    max_attempts: usize,
}

/// The engine of one process. See the module's documentation.
pub struct Engine {
    config: EngineConfig,
    /// By the number that events name.
    services: Vec<Service>,
    clock: Clock,
    events: mpsc::UnboundedReceiver<EngineEvent>,
    /// For the ends of attempts, which are tasks of their own.
    event_sender: mpsc::UnboundedSender<EngineEvent>,
    requests: FxHashMap<RequestId, PendingRequest>,
    timers: Timers,
    /// Reused by [`Self::feed_balancer`].
    actions: Vec<Action>,
    /// Ends of attempts that the engine brought about itself. The modules are told once the present actions are
    /// carried out.
    deferred: VecDeque<EndedAttempt>,
    pool: Rc<UpstreamPool>,
    /// A handle of an upstream is never used twice, or an update of one that is gone would be taken for another's.
    next_server_id: u32,
    has_open_upstreams: Rc<Cell<bool>>,
    key_load: Rc<RefCell<KeyLoad>>,
    abandoned: AbandonedAttempts,
}

impl Engine {
    /// An engine without services, and the handle by which clients' connections reach it.
    pub fn new(config: EngineConfig, pool: Rc<UpstreamPool>) -> (Self, EngineHandle) {
        let (event_sender, events) = mpsc::unbounded_channel();
        let has_open_upstreams = Rc::new(Cell::new(false));
        let key_load = Rc::new(RefCell::default());
        let abandoned = AbandonedAttempts::default();
        let handle = EngineHandle {
            events: event_sender.clone(),
            next_request_id: Cell::new(0),
            has_open_upstreams: has_open_upstreams.clone(),
            key_load: Rc::clone(&key_load),
            abandoned: abandoned.clone(),
        };
        let engine = Self {
            config,
            services: Vec::new(),
            clock: Clock::new(),
            events,
            event_sender,
            requests: FxHashMap::default(),
            timers: Timers::default(),
            actions: Vec::new(),
            deferred: VecDeque::new(),
            pool,
            next_server_id: 0,
            has_open_upstreams,
            key_load,
            abandoned,
        };
        (engine, handle)
    }

    /// Applies a service's settings. The number after the last service's adds one.
    ///
    /// # Errors
    /// No module can work by these settings; the present ones stay.
    pub fn apply_settings(
        &mut self,
        service: usize,
        settings: Settings,
    ) -> Result<(), SettingsError> {
        let (hedging, max_attempts) = (settings.limits.hedging, settings.limits.max_attempts);
        if let Some(known) = self.services.get_mut(service) {
            (known.hedging, known.max_attempts) = (hedging, max_attempts);
            return known.balancer.reconfigure(settings);
        }
        let seed = self.config.seed.wrapping_add(service as u64);
        let balancer = Balancer::new(settings, seed, self.clock.now())?;
        self.services.push(Service {
            balancer,
            upstreams: UpstreamRegistry::new(self.config.drain_grace),
            key_ranges: Vec::new(),
            hedging,
            max_attempts,
        });
        Ok(())
    }

    /// Handles events and timers as they come. Runs until its task is aborted.
    pub async fn run(mut self) {
        loop {
            let next_timer = self.timers.next_at();
            let sleep = async {
                match next_timer {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                event = self.events.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
                () = sleep => {}
            }
            self.fire_timers();
        }
    }

    fn fire_timers(&mut self) {
        let now = Instant::now();
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Balancer { service, token } => {
                    self.dispatch(service, Event::TimerFired(token));
                }
                Timer::Deadline(id) => self.on_deadline(id),
            }
        }
    }

    fn handle_event(&mut self, event: EngineEvent) {
        match event {
            EngineEvent::RequestArrived {
                id,
                service,
                request,
                forwarded,
                reply,
            } => {
                self.on_request(id, service, &request, forwarded, reply);
            }
            EngineEvent::ClientDisconnected(id) => self.on_client_disconnect(id),
            EngineEvent::AttemptEnded {
                id,
                attempt,
                result,
            } => {
                self.on_attempt_ended(id, attempt, result);
                self.process_deferred();
            }
            EngineEvent::SettingsChanged { service, settings } => {
                if let Err(error) = self.apply_settings(service, *settings) {
                    tracing::error!(%error, service, "the settings of a service can't be applied");
                }
            }
            EngineEvent::MembershipChanged {
                service,
                kind,
                upstreams,
            } => self.update_membership(service, kind, &upstreams),
            EngineEvent::KeyOwnersChanged {
                service,
                key_ranges,
            } => self.update_key_owners(service, key_ranges),
            EngineEvent::ShutdownStarted => self.reject_queued_requests(),
        }
    }

    /// Tells a module of an event, and carries out its actions until nothing is left to be told.
    fn dispatch(&mut self, service: usize, event: Event) {
        self.feed_balancer(service, event);
        self.process_deferred();
    }

    fn process_deferred(&mut self) {
        while let Some(ended) = self.deferred.pop_front() {
            self.on_attempt_ended(ended.request, ended.attempt, ended.result);
        }
    }

    /// Tells a module of one event and carries out its actions.
    fn feed_balancer(&mut self, service: usize, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        if let Some(known) = self.services.get_mut(service) {
            known.balancer.handle(self.clock.now(), event, &mut actions);
        }
        for action in actions.drain(..) {
            self.apply_action(service, action);
        }
        self.actions = actions;
    }

    fn apply_action(&mut self, service: usize, action: Action) {
        match action {
            Action::Send {
                request,
                server,
                timeout,
            } => self.start_attempt(request, server, timeout),
            Action::Reject {
                request,
                retry_after,
            } => {
                self.fail_request(request, EngineReply::Rejected { retry_after });
            }
            Action::Fail { request } => self.fail_by_last_attempt(request),
            Action::Cancel { request, attempt } => self.cancel_attempt(request, attempt),
            Action::SetTimer { token, at } => {
                let at = self.clock.round_up(at, self.config.timer_granularity);
                self.timers.push(at, Timer::Balancer { service, token });
            }
            Action::CloseIdle { server } => self.pool.close_idle(server),
            Action::Subscribe => {
                if let Some(subscribe) = &self.config.subscribe {
                    // Without a receiver nobody brings lists any more: the process ends.
                    let _ = subscribe.send(());
                }
            }
            // Upstreams here take no probes, and the module sends none where that is so.
            Action::Probe { .. } => {}
        }
    }
}

#[cfg(test)]
mod tests;
