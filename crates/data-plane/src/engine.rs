//! The engine: one [`Balancer`] per service, the table of pending requests, and the timers.
//!
//! Submodules, in the order in which a request passes through them: `handle` (a client connection submits a request and
//! waits for the reply), `requests` (arrival, client disconnect, deadline, shutdown), `attempts` (sending to an
//! upstream and the end of an attempt), `replies` (the one final reply). `membership` processes lists of upstreams and
//! key owners, `upstreams` stores the upstreams, `timers` and `clock` handle time. This file contains the event loop:
//! it passes each event to the service's balancer in order of arrival and carries out the returned actions in order.
//! The engine makes no load-balancing decisions, and is independent of the source of the lists and settings.
//!
//! **State.** All state is in [`Engine`], which runs as one task and is accessed by nothing else. The [`EngineHandle`]
//! shares only the event sender, the readiness flag and the reported statistics.
//!
//! **Guarantees.** Each request gets one final reply, at the latest 5 ms (`DEADLINE_MARGIN`) before its client's
//! deadline. A request is rejected, which guarantees to the client that it never runs, only while none of its attempts
//! may have run. The balancer is notified of the end of each attempt exactly once.
//!
//! **Failures.** All requests are lost with the process; on an orderly shutdown, queued requests are rejected first
//! ([`EngineEvent::ShutdownStarted`]). Attempts at an unresponsive upstream end by their timeout (see
//! [`crate::upstream_pool`]). Without the control plane, the last received lists and settings stay in use. When a
//! client disconnects, its attempt is cancelled if the request may be repeated, and runs to its end if it may run only
//! once.

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

/// How long before the client's deadline the engine replies with a timeout if the balancer has not ended the request.
const DEADLINE_MARGIN: Duration = Duration::from_millis(5);

/// Configuration of an [`Engine`].
pub struct EngineConfig {
    /// Seed of the balancers' random number generators.
    pub seed: u64,
    /// How much earlier than the client's deadline the balancer's deadline for a request is. A reply at the balancer's
    /// deadline then still reaches the client despite network latency and load on this process. 30 ms in the data
    /// plane.
    pub headroom: Duration,
    /// How long requests may still be sent to an upstream after its drain is known. 0 in the data plane; set by the
    /// deployment's rules in the standalone proxy.
    pub drain_grace: Duration,
    /// Timers fire on multiples of this duration, so that the timers of many services fire together.
    pub timer_granularity: Duration,
    /// Receives the balancers' requests to subscribe to the list of upstreams; `None` where lists arrive without a
    /// subscription.
    pub subscribe: Option<mpsc::UnboundedSender<()>>,
}

/// The state of one service.
struct Service {
    balancer: Balancer,
    upstreams: UpstreamRegistry,
    /// Which upstream owns which keys, as last received.
    key_ranges: Vec<KeyRangeRow>,
    /// Whether a request may have several attempts in progress at once.
    hedging: bool,
    max_attempts: usize,
}

/// The engine of one process. See the [module documentation](self).
pub struct Engine {
    config: EngineConfig,
    /// Indexed by the service number in events.
    services: Vec<Service>,
    clock: Clock,
    events: mpsc::UnboundedReceiver<EngineEvent>,
    /// Cloned into the tasks of attempts, which send an event when they end.
    event_sender: mpsc::UnboundedSender<EngineEvent>,
    requests: FxHashMap<RequestId, PendingRequest>,
    timers: Timers,
    /// Reused by [`Self::feed_balancer`].
    actions: Vec<Action>,
    /// Attempts that were ended by the engine itself while it carried out actions. The balancers are notified after the
    /// current list of actions.
    ended_attempts: VecDeque<EndedAttempt>,
    pool: Rc<UpstreamPool>,
    /// Server ids are never reused, since a late event about a removed upstream would then be applied to another one.
    next_server_id: u32,
    has_open_upstreams: Rc<Cell<bool>>,
    key_load: Rc<RefCell<KeyLoad>>,
    abandoned: AbandonedAttempts,
}

impl Engine {
    /// Creates an engine without services, and the handle through which other tasks communicate with it.
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
            ended_attempts: VecDeque::new(),
            pool,
            next_server_id: 0,
            has_open_upstreams,
            key_load,
            abandoned,
        };
        (engine, handle)
    }

    /// Applies the settings of a service. Adds a service if `service` is the number after the last one.
    ///
    /// # Errors
    /// Returns an error if the settings are invalid; the current ones then stay in use.
    pub fn apply_settings(
        &mut self,
        service: usize,
        settings: Settings,
    ) -> Result<(), SettingsError> {
        let (hedging, max_attempts) = (settings.limits.hedging, settings.limits.max_attempts);
        if let Some(existing) = self.services.get_mut(service) {
            (existing.hedging, existing.max_attempts) = (hedging, max_attempts);
            return existing.balancer.reconfigure(settings);
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

    /// Processes events and timers until the task is aborted.
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
                self.on_request(id, service, request, forwarded, reply);
            }
            EngineEvent::ClientDisconnected(id) => self.on_client_disconnect(id),
            EngineEvent::AttemptEnded {
                id,
                attempt,
                result,
            } => {
                self.on_attempt_ended(id, attempt, result);
                self.report_ended_attempts();
            }
            EngineEvent::ResponseDelayed { id, attempt } => self.on_response_delayed(id, attempt),
            EngineEvent::SettingsChanged { service, settings } => {
                if let Err(error) = self.apply_settings(service, *settings) {
                    tracing::error!(%error, service, "rejected invalid service settings");
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

    /// Passes an event to a balancer and carries out its actions, then does the same for the attempts that these
    /// actions have ended.
    fn dispatch(&mut self, service: usize, event: Event) {
        self.feed_balancer(service, event);
        self.report_ended_attempts();
    }

    fn report_ended_attempts(&mut self) {
        while let Some(ended) = self.ended_attempts.pop_front() {
            self.on_attempt_ended(ended.request, ended.attempt, ended.result);
        }
    }

    /// Passes one event to a balancer and carries out its actions.
    fn feed_balancer(&mut self, service: usize, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        if let Some(state) = self.services.get_mut(service) {
            state.balancer.handle(self.clock.now(), event, &mut actions);
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
                    // Fails only during shutdown, when the receiver is gone and no more lists arrive.
                    let _ = subscribe.send(());
                }
            }
            // Never sent by the balancer here, since the upstreams do not support probes.
            Action::Probe { .. } => {}
        }
    }
}

#[cfg(test)]
mod tests;
