//! The workload: commands of operators with their responses, and reads. Requests and responses of operators are
//! sometimes lost, independently of the schedule.

use super::{Event, TraceEvent, World};
use crate::operator::{Conclusion, RESPONSE_TIMEOUT_MS, Response};
use crate::process::{Caller, Input};

/// The interval between reads, in milliseconds.
const READ_INTERVAL_MS: u64 = 400;
/// The delay of a read, in milliseconds.
const READ_DELAY_MS: u64 = 5;
/// The longest delay of an operator's request or response, in milliseconds.
const MAX_DELAY_MS: u64 = 20;
/// The percentage of operators' requests and responses that are lost.
const LOSS_PERCENT: u64 = 8;

impl World<'_> {
    /// Sends an operator's command, for the first time or as a retry.
    pub(super) fn send_command(&mut self, operator: usize) {
        let machines = self.machines.len();
        let sender = &mut self.operators[operator];
        let (to, request) = sender.begin_attempt(self.now_ms, &mut self.rng, machines);
        let attempt = sender.attempt;
        let caller = Caller { operator, attempt };
        let timeout_ms = self.now_ms + RESPONSE_TIMEOUT_MS;
        self.queue
            .schedule(timeout_ms, Event::ResponseTimeout(caller));
        let command = request.command;
        if let Some(at_ms) = self.operator_arrival() {
            let input = Box::new(Input::Command { caller, command });
            self.queue.schedule(at_ms, Event::Deliver { to, input });
        }
    }

    /// Returns when a request or response of an operator that is sent now arrives, or `None` if it is lost.
    fn operator_arrival(&mut self) -> Option<u64> {
        let is_lost = self.rng.rand_range(0..100) < LOSS_PERCENT;
        (!is_lost).then(|| self.now_ms + self.rng.rand_range(1..MAX_DELAY_MS))
    }

    /// Sends a process's response to an operator.
    pub(super) fn send_response(&mut self, machine: usize, caller: Caller, response: Response) {
        let response = match response {
            Response::NotLeader(_) => {
                let process = self.machines[machine].process.as_ref();
                let leader = process.and_then(|p| p.raft.status().leader);
                Response::NotLeader(self.machines.iter().position(|m| Some(m.id) == leader))
            }
            other => other,
        };
        if let Some(at_ms) = self.operator_arrival() {
            let response = Box::new(response);
            self.queue
                .schedule(at_ms, Event::Response { caller, response });
        }
    }

    /// Handles the timeout of an attempt, unless another attempt has begun in the meantime.
    pub(super) fn on_response_timeout(&mut self, caller: Caller) {
        let operator = &mut self.operators[caller.operator];
        if operator.attempt == caller.attempt {
            operator.on_timeout();
            self.send_command(caller.operator);
        }
    }

    /// Delivers a response to an operator. A response to an earlier attempt is ignored.
    pub(super) fn on_response(&mut self, caller: Caller, response: &Response) {
        let operator = &mut self.operators[caller.operator];
        if operator.attempt != caller.attempt {
            return;
        }
        operator.attempt += 1;
        let (conclusion, pause_ms) = operator.on_response(response, &mut self.rng);
        match conclusion {
            Conclusion::Acknowledged(request) => {
                self.last_acknowledged_ms = self.now_ms;
                self.history
                    .on_acknowledged(self.now_ms, request.base, &request.command);
                self.record(&TraceEvent::Acknowledged {
                    operator: caller.operator,
                    base: request.base,
                });
            }
            Conclusion::Rejected(request) => self.history.on_rejected(&request.command),
            Conclusion::Undecided => {}
        }
        let at_ms = self.now_ms + pause_ms;
        self.queue
            .schedule(at_ms, Event::OperatorActs(caller.operator));
    }

    /// Sends a read to a random machine and schedules the next read.
    pub(super) fn send_read(&mut self) {
        let to = self.rng.rand_range(0..self.machines.len() as u64) as usize;
        let observed_index = self.history.observed_index();
        let input = Box::new(Input::Read { observed_index });
        let deliver = Event::Deliver { to, input };
        self.queue.schedule(self.now_ms + READ_DELAY_MS, deliver);
        self.queue
            .schedule(self.now_ms + READ_INTERVAL_MS, Event::Read);
    }
}
