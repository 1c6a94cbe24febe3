//! Tests [`ZoneEvacuations`] alone, with thousands of generated schedules of callers that lose answers and resend their
//! calls, and of leader changes. If evacuations of a zone begin further apart than the resend window, the zone is never
//! open while a caller has received an acknowledgement of its evacuation. In any case, no zone stays evacuated forever.

use std::collections::{BTreeMap, VecDeque};

use control_plane::evacuations::{
    AcknowledgementAttempt, CommandId, Decision, EvacuationStep, ZoneEvacuations,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const RESEND_WINDOW_MS: u64 = 6000;
const CALLER_WAIT_MS: u64 = 1000;
const CALLERS: usize = 3;

/// The outcome of an acknowledgement, and whether the server learns of it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Delivery {
    Read,
    ReadUnconfirmed,
    LostDetected,
    LostUndetected,
    NotWritten,
    ProcessDied,
}
use Delivery::*;

const DELIVERIES: [Delivery; 6] = [
    Read,
    LostDetected,
    NotWritten,
    ReadUnconfirmed,
    LostUndetected,
    ProcessDied,
];
/// The outcomes after which the leader knows whether the caller received the acknowledgement. Only then is a later
/// return known to be a new one.
const CERTAIN: [Delivery; 3] = [Read, LostDetected, NotWritten];

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A caller starts or resends a call, or its server decides on it.
    Caller(usize),
    /// The first log entry commits; its acknowledgement, if any, has this outcome.
    Commit(Delivery),
    /// A caller closes its connection, and its server notices.
    Disconnect(usize),
    /// The leader changes. The number determines how much of the uncommitted log is kept.
    ChangeLeader(usize),
    /// Time advances by this many milliseconds.
    Advance(u64),
}

#[derive(Clone, Copy, Debug)]
struct Call {
    begin: bool,
    started_at: u64,
    /// Whether an attempt is in progress, with its last step in the log.
    is_in_flight: bool,
    acknowledging: Option<(CommandId, AcknowledgementAttempt)>,
}

#[derive(Debug, Default)]
struct Simulation {
    zone: ZoneEvacuations,
    index: u64,
    term: u64,
    attempts: u64,
    now: u64,
    /// When each evacuation was applied, and when each return was applied or last acknowledged.
    times: BTreeMap<CommandId, u64>,
    /// Uncommitted steps, each with the caller whose attempt waits for it.
    log: VecDeque<(EvacuationStep, Option<usize>)>,
    calls: [Option<Call>; CALLERS],
    /// Callers that have received the acknowledgement of their evacuation and have not begun to return the zone.
    acknowledged: [bool; CALLERS],
    /// Whether an evacuation may begin while another one may still be resent.
    overlaps: bool,
}

impl Simulation {
    fn step_caller(&mut self, caller: usize) {
        let Some(call) = &mut self.calls[caller] else {
            if !self.acknowledged[caller] && !self.overlaps && self.evacuation_is_recent() {
                return;
            }
            let begin = !std::mem::take(&mut self.acknowledged[caller]);
            let (started_at, is_in_flight, acknowledging) = (self.now, false, None);
            self.calls[caller] = Some(Call {
                begin,
                started_at,
                is_in_flight,
                acknowledging,
            });
            return;
        };
        if call.is_in_flight {
            return;
        }
        if self.now > call.started_at + RESEND_WINDOW_MS {
            self.calls[caller] = None;
            return;
        }
        self.decide(caller);
    }

    /// Returns whether a caller is evacuating the zone, or an evacuation is within the resend window.
    fn evacuation_is_recent(&self) -> bool {
        let is_requested = self.calls.iter().flatten().any(|call| call.begin);
        let recent = |id| {
            self.times
                .get(id)
                .is_none_or(|at| self.now < at + RESEND_WINDOW_MS)
        };
        is_requested || self.zone.evacuations.keys().any(recent)
    }

    fn decide(&mut self, caller: usize) {
        let (now, times) = (self.now, &self.times);
        let Some(call) = &mut self.calls[caller] else {
            return;
        };
        let resend_window = if call.begin {
            RESEND_WINDOW_MS
        } else {
            RESEND_WINDOW_MS + CALLER_WAIT_MS
        };
        let recent = |id| times.get(&id).is_none_or(|at| now < at + resend_window);
        // A leader decides only once all of the zone's steps in its log are applied.
        call.is_in_flight = self.log.is_empty();
        call.acknowledging = None;
        if !call.is_in_flight {
            return;
        }
        match self.zone.decide(call.begin, recent) {
            Decision::New(step) => self.log.push_back((step, Some(caller))),
            Decision::Duplicate(id) => {
                self.attempts += 1;
                let attempt = AcknowledgementAttempt {
                    term: self.term,
                    number: self.attempts,
                };
                call.acknowledging = Some((id, attempt));
                self.log.push_back((
                    EvacuationStep::Acknowledge {
                        command: id,
                        attempt,
                    },
                    Some(caller),
                ));
            }
            Decision::PossibleDuplicate(id) => self.on_read(caller, Some(id)),
            Decision::NothingToReturn => self.on_read(caller, None),
        }
    }

    fn on_read(&mut self, caller: usize, returned: Option<CommandId>) {
        if let Some(call) = self.calls[caller].take() {
            self.acknowledged[caller] |= call.begin;
            if let Some(command) = returned.filter(|_| !call.begin) {
                self.log
                    .push_back((EvacuationStep::Confirm { command }, None));
            }
        }
    }

    fn disconnect(&mut self, caller: usize) {
        let Some(call) = &mut self.calls[caller] else {
            return;
        };
        call.is_in_flight = false;
        if let Some((command, attempt)) = call.acknowledging.take() {
            self.log.push_back((
                EvacuationStep::Withdraw {
                    command,
                    attempt,
                    written: false,
                },
                None,
            ));
        }
    }

    fn commit(&mut self, delivery: Delivery) {
        let Some((step, caller)) = self.log.pop_front() else {
            return;
        };
        self.index += 1;
        let applies = self.zone.apply(self.index, step);
        if applies {
            match step {
                EvacuationStep::Begin | EvacuationStep::Finish { .. } => {
                    self.times.insert(self.index, self.now);
                }
                EvacuationStep::Acknowledge { command, .. }
                    if self.zone.returns.contains_key(&command) =>
                {
                    self.times.insert(command, self.now);
                }
                _ => {}
            }
        }
        let Some(caller) = caller else { return };
        let Some(call) = self.calls[caller].filter(|call| call.is_in_flight) else {
            return;
        };
        match (step, call.acknowledging) {
            // Proposed by an attempt whose caller has disconnected since.
            (EvacuationStep::Acknowledge { attempt, .. }, own)
                if own.is_none_or(|(_, a)| a != attempt) => {}
            (
                EvacuationStep::Begin
                | EvacuationStep::Finish { .. }
                | EvacuationStep::Expire { .. },
                Some(_),
            ) => {}
            (EvacuationStep::Acknowledge { command, attempt }, _) if applies => {
                self.acknowledge(caller, command, attempt, delivery);
            }
            _ => self.decide(caller),
        }
    }

    fn acknowledge(
        &mut self,
        caller: usize,
        command: CommandId,
        attempt: AcknowledgementAttempt,
        delivery: Delivery,
    ) {
        let is_return = self.calls[caller].is_some_and(|call| !call.begin);
        let delivery = if is_return && self.overlaps && !CERTAIN.contains(&delivery) {
            Read
        } else {
            delivery
        };
        match delivery {
            Read => return self.on_read(caller, Some(command)),
            ReadUnconfirmed => return self.on_read(caller, None),
            NotWritten => return self.disconnect(caller),
            LostDetected => {
                let step = EvacuationStep::Withdraw {
                    command,
                    attempt,
                    written: true,
                };
                self.log.push_back((step, None));
            }
            LostUndetected | ProcessDied => {}
        }
        if let Some(call) = &mut self.calls[caller] {
            (call.is_in_flight, call.acknowledging) = (false, None);
        }
    }

    fn change_leader(&mut self, kept: usize) {
        self.log.truncate(kept % (self.log.len() + 1));
        self.log.iter_mut().for_each(|(_, caller)| *caller = None);
        self.term += 1;
        for call in self.calls.iter_mut().flatten() {
            (call.is_in_flight, call.acknowledging) = (false, None);
        }
        if kept.is_multiple_of(3) {
            // The new leader has just started and does not know the age of calls, so it treats them as recent.
            self.times.clear();
            if !self.overlaps && !self.zone.evacuations.is_empty() {
                self.calls
                    .iter_mut()
                    .for_each(|call| *call = call.filter(|call| !call.begin));
            }
        }
        for id in self.zone.evacuations.keys().chain(self.zone.returns.keys()) {
            self.times.entry(*id).or_insert(self.now);
        }
    }

    fn apply_event(&mut self, event: Event) {
        match event {
            Event::Caller(caller) => self.step_caller(caller),
            Event::Commit(delivery) => self.commit(delivery),
            Event::Disconnect(caller) => self.disconnect(caller),
            Event::ChangeLeader(kept) => self.change_leader(kept),
            Event::Advance(duration_ms) => self.now += duration_ms,
        }
    }

    fn acknowledged_count(&self) -> usize {
        self.acknowledged
            .iter()
            .filter(|is_acknowledged| **is_acknowledged)
            .count()
    }
}

fn events() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0..CALLERS).prop_map(Event::Caller),
        6 => (0..DELIVERIES.len()).prop_map(|delivery| Event::Commit(DELIVERIES[delivery])),
        1 => (0..CALLERS).prop_map(Event::Disconnect),
    ]
}

#[test]
fn return_decided_on_an_old_state_has_no_effect() {
    let mut zone = ZoneEvacuations::default();
    let attempt = |number| AcknowledgementAttempt { term: 1, number };
    let steps = [
        (EvacuationStep::Begin, true),
        (
            EvacuationStep::Acknowledge {
                command: 1,
                attempt: attempt(1),
            },
            true,
        ),
        (EvacuationStep::Begin, true),
        (
            EvacuationStep::Acknowledge {
                command: 3,
                attempt: attempt(2),
            },
            true,
        ),
        (
            EvacuationStep::Withdraw {
                command: 1,
                attempt: attempt(1),
                written: false,
            },
            true,
        ),
        (EvacuationStep::Finish { ends: 3 }, true),
        // The same return is resent; it was decided while the first evacuation was acknowledged to another caller.
        (EvacuationStep::Finish { ends: 1 }, false),
    ];
    for (n, (step, applies)) in steps.into_iter().enumerate() {
        assert_eq!(zone.apply(n as u64 + 1, step), applies, "{step:?}");
    }
}

#[test]
fn one_attempt_acknowledges_until_its_connection_breaks() {
    let mut zone = ZoneEvacuations::default();
    let attempt = |number| AcknowledgementAttempt { term: 1, number };
    let steps = [
        (EvacuationStep::Begin, true),
        (
            EvacuationStep::Acknowledge {
                command: 1,
                attempt: attempt(1),
            },
            true,
        ),
        (
            EvacuationStep::Acknowledge {
                command: 1,
                attempt: attempt(2),
            },
            false,
        ),
        (
            EvacuationStep::Withdraw {
                command: 1,
                attempt: attempt(2),
                written: false,
            },
            false,
        ),
        (
            EvacuationStep::Withdraw {
                command: 1,
                attempt: attempt(1),
                written: true,
            },
            true,
        ),
        (
            EvacuationStep::Acknowledge {
                command: 1,
                attempt: attempt(2),
            },
            true,
        ),
        (EvacuationStep::Finish { ends: 1 }, true),
        (
            EvacuationStep::Acknowledge {
                command: 7,
                attempt: attempt(3),
            },
            true,
        ),
        (
            EvacuationStep::Acknowledge {
                command: 7,
                attempt: attempt(4),
            },
            false,
        ),
    ];
    for (n, (step, applies)) in steps.into_iter().enumerate() {
        assert_eq!(zone.apply(n as u64 + 1, step), applies, "{step:?}");
    }
}

#[test]
fn return_ends_a_possibly_acknowledged_evacuation_first() {
    let attempt = AcknowledgementAttempt { term: 1, number: 1 };
    for acknowledged in [1, 2] {
        let mut zone = ZoneEvacuations::default();
        // The second evacuation begins after the resend window of the first.
        for begin in [1, 2] {
            assert!(zone.apply(begin * 10, EvacuationStep::Begin));
            assert!(zone.apply(
                begin * 10 + 1,
                EvacuationStep::Acknowledge {
                    command: begin * 10,
                    attempt
                }
            ));
            if begin != acknowledged {
                let step = EvacuationStep::Withdraw {
                    command: begin * 10,
                    attempt,
                    written: false,
                };
                assert!(zone.apply(begin * 10 + 2, step));
            }
            if begin == 1 && acknowledged == 2 {
                // Otherwise the second evacuation would be a duplicate of the first.
                let step = EvacuationStep::Acknowledge {
                    command: 10,
                    attempt,
                };
                assert!(zone.apply(13, step));
            }
        }
        if acknowledged == 2 {
            assert!(zone.apply(
                23,
                EvacuationStep::Withdraw {
                    command: 10,
                    attempt,
                    written: false
                }
            ));
        }
        let ends = acknowledged * 10;
        assert_eq!(
            zone.decide(false, |_| false),
            Decision::New(EvacuationStep::Finish { ends })
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3000,
        rng_seed: RngSeed::Fixed(10),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn zone_stays_evacuated_for_each_acknowledged_evacuation(
        schedule in prop::collection::vec(prop_oneof![
            14 => events(),
            1 => any::<usize>().prop_map(Event::ChangeLeader),
            3 => (1..900u64).prop_map(Event::Advance),
            1 => (6000..9000u64).prop_map(Event::Advance),
        ], 1..150),
    ) {
        let mut simulation = Simulation::default();
        for event in schedule {
            simulation.apply_event(event);
            let (acknowledged, evacuations) = (simulation.acknowledged_count(), simulation.zone.evacuations.len());
            prop_assert!(
                evacuations >= acknowledged,
                "{acknowledged} acknowledged, but {evacuations} in effect: {simulation:?}"
            );
        }
    }

    #[test]
    fn zone_is_open_once_each_acknowledged_evacuation_is_returned(
        schedule in prop::collection::vec(events(), 1..150),
    ) {
        let mut simulation = Simulation { overlaps: true, ..Simulation::default() };
        for event in schedule {
            // A leader decides once its log is applied, and a call waits for the outcome of the last
            // acknowledgement.
            if matches!(event, Event::Caller(_)) {
                commit_all(&mut simulation);
            }
            simulation.apply_event(event);
        }
        for _ in 0..3 {
            for caller in 0..CALLERS {
                for _ in 0..3 {
                    commit_all(&mut simulation);
                    if simulation.calls[caller].is_some() || simulation.acknowledged[caller] {
                        simulation.apply_event(Event::Caller(caller));
                    }
                }
            }
        }
        prop_assert_eq!(simulation.acknowledged_count(), 0);
        prop_assert!(simulation.zone.evacuations.is_empty(), "{:?}", simulation);
    }
}

/// Commits until the log is empty, or gives up after 1000 steps.
fn commit_all(simulation: &mut Simulation) {
    for _ in 0..1000 {
        if simulation.log.is_empty() {
            return;
        }
        simulation.apply_event(Event::Commit(Read));
    }
}
