//! One balancer of the fleet, and the mapping between its handles and the simulator's names.
//!
//! State: the balancer, and the names of its upstreams and open requests. A balancer that is stopped loses all of it;
//! later events for its requests are ignored.

use load_balancing::interface::{
    self, Action, AttemptOutcome, AttemptResult, Event, LoadReport, RequestId, ServerId, Span, Time,
};
use load_balancing::policy::Balancer;
use load_balancing::settings::{LoadReportField, key_hash, span_from_ms, stable_hash};
use rustc_hash::FxHashMap;

use crate::error::MessageError;
use crate::wire::{self, Command};

/// Converts a time of the simulator's clock.
pub(crate) fn time_from_ms(ms: f64) -> Time {
    Time(span_from_ms(ms).0)
}

fn ms_from_micros(us: i64) -> f64 {
    us as f64 / 1000.0
}

/// A request to which later messages may still refer.
struct OpenRequest {
    name: Box<str>,
    attempts_in_flight: usize,
    is_over: bool,
}

/// One balancer of the fleet.
pub(crate) struct Instance {
    /// Its number in the simulator's messages.
    number: u64,
    balancer: Balancer,
    class_count: usize,
    load_report_fields: Vec<LoadReportField>,
    upstreams: FxHashMap<Box<str>, ServerId>,
    /// Indexed by [`ServerId`].
    upstream_names: Vec<Box<str>>,
    request_ids: FxHashMap<Box<str>, u64>,
    requests: FxHashMap<u64, OpenRequest>,
    next_request: u64,
    /// Reused buffer.
    actions: Vec<Action>,
    /// Reused buffer.
    endpoints: Vec<interface::Endpoint>,
}

impl Instance {
    /// Starts a balancer with its settings and no other state.
    pub(crate) fn new(now: Time, start: &wire::Start) -> Result<Self, MessageError> {
        let settings = &start.settings;
        let fields = settings.stats.names.iter();
        Ok(Self {
            number: start.balancer,
            balancer: Balancer::new(settings.to_settings(), start.seed, now)?,
            class_count: settings.services.len(),
            load_report_fields: fields
                .map(|name| LoadReportField::from_name(name))
                .collect(),
            upstreams: FxHashMap::default(),
            upstream_names: Vec::new(),
            request_ids: FxHashMap::default(),
            requests: FxHashMap::default(),
            next_request: 0,
            actions: Vec::new(),
            endpoints: Vec::new(),
        })
    }

    pub(crate) fn on_request(
        &mut self,
        now: Time,
        message: &wire::Request,
        out: &mut Vec<u8>,
    ) -> Result<(), MessageError> {
        if message.class >= self.class_count {
            return Err(MessageError::UnknownClass(message.class));
        }
        let id = self.next_request;
        self.next_request += 1;
        let deadline = time_from_ms(message.deadline);
        let request = interface::Request {
            tenant: message.tenant,
            key: message.key.as_deref().map(key_hash),
            estimated_work: message.estimated_work.map(span_from_ms),
            is_client_retry: message.is_client_retry,
            is_write: message.is_write,
            ..interface::Request::new(RequestId(id), message.class, deadline)
        };
        let name: Box<str> = message.name.as_ref().into();
        self.request_ids.insert(name.clone(), id);
        let open = OpenRequest {
            name,
            attempts_in_flight: 0,
            is_over: false,
        };
        self.requests.insert(id, open);
        self.handle(now, Event::Request(request), out);
        Ok(())
    }

    pub(crate) fn on_attempt_ended(
        &mut self,
        now: Time,
        message: &wire::AttemptEnded,
        out: &mut Vec<u8>,
    ) -> Result<(), MessageError> {
        let outcome = outcome_from_status(message.status)?;
        let id = self.request_ids.get(message.request.as_ref());
        let server = self.upstreams.get(message.upstream.as_ref());
        let (Some(&id), Some(&server)) = (id, server) else {
            return Ok(());
        };
        let result = AttemptResult {
            request: RequestId(id),
            attempt: message.attempt,
            server,
            outcome,
            latency: span_from_ms(message.latency),
            last: message.last,
            report: self.load_report(message.load_report.as_ref()),
        };
        self.balancer
            .handle(now, Event::AttemptEnded(result), &mut self.actions);
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
            request.is_over |= message.last;
        }
        self.write_actions(out);
        self.remove_if_done(id);
        Ok(())
    }

    pub(crate) fn on_client_disconnected(&mut self, now: Time, name: &str, out: &mut Vec<u8>) {
        let Some(&id) = self.request_ids.get(name) else {
            return;
        };
        let event = Event::ClientDisconnected(RequestId(id));
        self.balancer.handle(now, event, &mut self.actions);
        if let Some(request) = self.requests.get_mut(&id) {
            request.is_over = true;
        }
        self.write_actions(out);
        self.remove_if_done(id);
    }

    pub(crate) fn on_response_started(&mut self, now: Time, name: &str, out: &mut Vec<u8>) {
        if let Some(&id) = self.request_ids.get(name) {
            self.handle(now, Event::ResponseStarted(RequestId(id)), out);
        }
    }

    pub(crate) fn on_timer_fired(&mut self, now: Time, token: u64, out: &mut Vec<u8>) {
        self.handle(now, Event::TimerFired(token), out);
    }

    pub(crate) fn on_probe_ended(
        &mut self,
        now: Time,
        message: &wire::ProbeEnded,
        out: &mut Vec<u8>,
    ) {
        let Some(&server) = self.upstreams.get(message.upstream.as_ref()) else {
            return;
        };
        let event = Event::ProbeEnded {
            server,
            ok: message.status == 200,
            latency: span_from_ms(message.latency),
            report: self.load_report(message.load_report.as_ref()),
        };
        self.handle(now, event, out);
    }

    pub(crate) fn on_membership(
        &mut self,
        now: Time,
        message: &wire::Membership,
        out: &mut Vec<u8>,
    ) {
        let mut endpoints = std::mem::take(&mut self.endpoints);
        endpoints.clear();
        endpoints.extend(message.endpoints.iter().map(|entry| self.endpoint(entry)));
        let kind = match message.kind {
            wire::MembershipKind::Update => interface::MembershipKind::Update,
            wire::MembershipKind::Complete => interface::MembershipKind::Complete,
            wire::MembershipKind::Restored => interface::MembershipKind::Restored,
            wire::MembershipKind::Unavailable => interface::MembershipKind::Unavailable,
        };
        let event = Event::Membership {
            kind,
            list: &endpoints,
        };
        self.handle(now, event, out);
        self.endpoints = endpoints;
    }

    fn endpoint(&mut self, entry: &wire::Endpoint) -> interface::Endpoint {
        let started = (entry.started > 0.0).then(|| time_from_ms(entry.started));
        interface::Endpoint {
            id: self.server_id(&entry.name),
            identity: stable_hash(&entry.name),
            zone: entry.zone,
            kind: entry.kind,
            cell: entry.cell,
            status: match entry.status {
                wire::Status::Live => interface::Status::Live,
                wire::Status::Draining => interface::Status::Draining,
                wire::Status::Gone => interface::Status::Gone,
            },
            weight: entry.weight,
            slots: 0,
            started,
        }
    }

    /// Returns the handle of an upstream, which is assigned when its name first occurs.
    fn server_id(&mut self, name: &str) -> ServerId {
        if let Some(&id) = self.upstreams.get(name) {
            return id;
        }
        let id = ServerId(self.upstream_names.len() as u32);
        self.upstream_names.push(name.into());
        self.upstreams.insert(name.into(), id);
        id
    }

    fn handle(&mut self, now: Time, event: Event, out: &mut Vec<u8>) {
        self.balancer.handle(now, event, &mut self.actions);
        self.write_actions(out);
    }

    fn load_report(&self, row: Option<&wire::LoadReportRow>) -> LoadReport {
        let mut report = LoadReport::default();
        let values = row.into_iter().flatten();
        for (field, &value) in self.load_report_fields.iter().zip(values) {
            field.set(&mut report, value);
        }
        report
    }

    /// Writes the balancer's actions as commands in order, each followed by a comma.
    fn write_actions(&mut self, out: &mut Vec<u8>) {
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.write_action(action, out);
        }
        self.actions = actions;
    }

    fn write_action(&mut self, action: Action, out: &mut Vec<u8>) {
        let balancer = self.number;
        match action {
            Action::Send {
                request,
                server,
                timeout,
            } => self.write_send(request, server, timeout, out),
            Action::Reject {
                request,
                retry_after,
            } => self.write_end(request, out, |request| Command::Reject {
                balancer,
                request,
                retry_after: ms_from_micros(retry_after.0),
            }),
            Action::Fail { request } => {
                self.write_end(request, out, |request| Command::Fail { balancer, request });
            }
            Action::Cancel { request, attempt } => {
                if let Some(open) = self.requests.get(&request.0) {
                    let request = &open.name;
                    let command = Command::Cancel {
                        balancer,
                        request,
                        attempt,
                    };
                    write_command(out, &command);
                }
            }
            Action::SetTimer { token, at } => {
                let at = ms_from_micros(at.0);
                let command = Command::SetTimer {
                    balancer,
                    token,
                    at,
                };
                write_command(out, &command);
            }
            Action::Probe { server } => {
                let upstream = &self.upstream_names[server.0 as usize];
                write_command(out, &Command::Probe { balancer, upstream });
            }
            Action::CloseIdle { server } => {
                let upstream = &self.upstream_names[server.0 as usize];
                write_command(out, &Command::CloseIdle { balancer, upstream });
            }
            Action::Subscribe => {
                let enable = true;
                write_command(out, &Command::Subscribe { balancer, enable });
            }
        }
    }

    fn write_send(
        &mut self,
        request: RequestId,
        server: ServerId,
        timeout: Span,
        out: &mut Vec<u8>,
    ) {
        let Some(open) = self.requests.get_mut(&request.0) else {
            return;
        };
        open.attempts_in_flight += 1;
        let command = Command::Send {
            balancer: self.number,
            request: &open.name,
            upstream: &self.upstream_names[server.0 as usize],
            timeout: ms_from_micros(timeout.0),
        };
        write_command(out, &command);
    }

    /// Writes the command that ends a request. `command` builds it from the request's name.
    fn write_end(
        &mut self,
        request: RequestId,
        out: &mut Vec<u8>,
        command: impl FnOnce(&str) -> Command<'_>,
    ) {
        let Some(open) = self.requests.get_mut(&request.0) else {
            return;
        };
        open.is_over = true;
        write_command(out, &command(&open.name));
        self.remove_if_done(request.0);
    }

    /// Removes a request that is over and has no attempt in flight.
    fn remove_if_done(&mut self, id: u64) {
        let open = self.requests.get(&id);
        if open.is_some_and(|open| open.is_over && open.attempts_in_flight == 0)
            && let Some(open) = self.requests.remove(&id)
        {
            self.request_ids.remove(&open.name);
        }
    }
}

fn write_command(out: &mut Vec<u8>, command: &Command) {
    serde_json::to_writer(&mut *out, command)
        .expect("serializing plain structs to memory can't fail");
    out.push(b',');
}

fn outcome_from_status(status: u16) -> Result<AttemptOutcome, MessageError> {
    Ok(match status {
        200 => AttemptOutcome::Ok,
        410 => AttemptOutcome::NotIssued,
        499 => AttemptOutcome::Cancelled,
        500 => AttemptOutcome::Error,
        502 => AttemptOutcome::ConnectFailed,
        503 => AttemptOutcome::Rejected,
        504 => AttemptOutcome::Timeout,
        598 => AttemptOutcome::Reset,
        _ => return Err(MessageError::UnknownStatus(status)),
    })
}
