//! [`ZoneEvacuations`] alone, under callers that lose answers and send their calls again, and leaders that change:
//! thousands of generated schedules. Where two evacuations of a zone begin further apart than a call is sent again, a
//! zone is never open while somebody has heard that it is evacuated; however they begin, none stays evacuated for good.

use std::collections::{BTreeMap, VecDeque};

use control_plane::evacuations::{
    AcknowledgementAttempt, CommandId, Decision, EvacuationStep, ZoneEvacuations,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const RESEND_WINDOW_MS: u64 = 6000;
const CALLER_WAIT_MS: u64 = 1000;
const CALLERS: usize = 3;

/// What becomes of an acknowledgement.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Delivery {
    Read,
    ReadWithoutSign,
    LostWithSign,
    LostWithoutSign,
    NotWritten,
    ProcessDied,
}
use Delivery::*;

const DELIVERIES: [Delivery; 6] = [
    Read,
    LostWithSign,
    NotWritten,
    ReadWithoutSign,
    LostWithoutSign,
    ProcessDied,
];
/// Those after which the leader knows what the caller knows: only then is a later return surely another one.
const CERTAIN: [Delivery; 3] = [Read, LostWithSign, NotWritten];

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A caller goes on: starts a call or sends it again; or its process decides.
    Caller(usize),
    Commit(Delivery),
    /// A caller closes its connection, and its process sees it.
    BreakOff(usize),
    /// The leader changes: so much of what is not committed gets lost.
    Leader(usize),
    Time(u64),
}

#[derive(Clone, Copy, Debug)]
struct Call {
    begin: bool,
    since: u64,
    /// An attempt is under way: its last step is in the log.
    is_in_flight: bool,
    acknowledging: Option<(CommandId, AcknowledgementAttempt)>,
}

#[derive(Debug, Default)]
struct World {
    zone: ZoneEvacuations,
    index: u64,
    term: u64,
    attempts: u64,
    now: u64,
    times: BTreeMap<CommandId, u64>,
    /// What is not committed, with the caller whose attempt waits for it.
    log: VecDeque<(EvacuationStep, Option<usize>)>,
    calls: [Option<Call>; CALLERS],
    /// Callers that have heard that their zone is evacuated, and have not begun to return it.
    acknowledged: [bool; CALLERS],
    /// Evacuations begin at any time; else none does while another one may still be sent again.
    overlaps: bool,
}

impl World {
    fn step_caller(&mut self, caller: usize) {
        let Some(call) = &mut self.calls[caller] else {
            if !self.acknowledged[caller] && !self.overlaps && self.evacuation_is_recent() {
                return;
            }
            let begin = !std::mem::take(&mut self.acknowledged[caller]);
            let (since, is_in_flight, acknowledging) = (self.now, false, None);
            self.calls[caller] = Some(Call {
                begin,
                since,
                is_in_flight,
                acknowledging,
            });
            return;
        };
        if call.is_in_flight {
            return;
        }
        if self.now > call.since + RESEND_WINDOW_MS {
            self.calls[caller] = None;
            return;
        }
        self.decide(caller);
    }

    /// Whether a caller is evacuating the zone, or was answered lately.
    fn evacuation_is_recent(&self) -> bool {
        let asks = self.calls.iter().flatten().any(|call| call.begin);
        let recent = |id| {
            self.times
                .get(id)
                .is_none_or(|at| self.now < at + RESEND_WINDOW_MS)
        };
        asks || self.zone.evacuations.keys().any(recent)
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
        // A leader decides once all that its log holds of the zone is applied.
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

    fn break_off(&mut self, caller: usize) {
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
            // Proposed by an attempt that was broken off since.
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
            ReadWithoutSign => return self.on_read(caller, None),
            NotWritten => return self.break_off(caller),
            LostWithSign => {
                let step = EvacuationStep::Withdraw {
                    command,
                    attempt,
                    written: true,
                };
                self.log.push_back((step, None));
            }
            LostWithoutSign | ProcessDied => {}
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
            // A member that has just started, and does not know how old calls are: it takes them for recent.
            self.times.clear();
            if !self.overlaps && !self.zone.evacuations.is_empty() {
                self.calls
                    .iter_mut()
                    .for_each(|call| *call = call.filter(|o| !o.begin));
            }
        }
        for id in self.zone.evacuations.keys().chain(self.zone.returns.keys()) {
            self.times.entry(*id).or_insert(self.now);
        }
    }

    fn play(&mut self, event: Event) {
        match event {
            Event::Caller(caller) => self.step_caller(caller),
            Event::Commit(delivery) => self.commit(delivery),
            Event::BreakOff(caller) => self.break_off(caller),
            Event::Leader(kept) => self.change_leader(kept),
            Event::Time(passes) => self.now += passes,
        }
    }

    fn acknowledged_count(&self) -> usize {
        self.acknowledged.iter().filter(|told| **told).count()
    }
}

fn events() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0..CALLERS).prop_map(Event::Caller),
        6 => (0..DELIVERIES.len()).prop_map(|delivery| Event::Commit(DELIVERIES[delivery])),
        1 => (0..CALLERS).prop_map(Event::BreakOff),
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
        // The same return, sent again, and decided when the first evacuation had been acknowledged to another.
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
fn return_ends_a_possibly_heard_evacuation_first() {
    let attempt = AcknowledgementAttempt { term: 1, number: 1 };
    for heard in [1, 2] {
        let mut zone = ZoneEvacuations::default();
        // The second comes later than the first is sent again.
        for begin in [1, 2] {
            assert!(zone.apply(begin * 10, EvacuationStep::Begin));
            assert!(zone.apply(
                begin * 10 + 1,
                EvacuationStep::Acknowledge {
                    command: begin * 10,
                    attempt
                }
            ));
            if begin != heard {
                let step = EvacuationStep::Withdraw {
                    command: begin * 10,
                    attempt,
                    written: false,
                };
                assert!(zone.apply(begin * 10 + 2, step));
            }
            if begin == 1 && heard == 2 {
                // Else the second would be the first, sent again.
                let step = EvacuationStep::Acknowledge {
                    command: 10,
                    attempt,
                };
                assert!(zone.apply(13, step));
            }
        }
        if heard == 2 {
            assert!(zone.apply(
                23,
                EvacuationStep::Withdraw {
                    command: 10,
                    attempt,
                    written: false
                }
            ));
        }
        let ends = heard * 10;
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
            1 => any::<usize>().prop_map(Event::Leader),
            3 => (1..900u64).prop_map(Event::Time),
            1 => (6000..9000u64).prop_map(Event::Time),
        ], 1..150),
    ) {
        let mut world = World::default();
        for event in schedule {
            world.play(event);
            let (told, evacuations) = (world.acknowledged_count(), world.zone.evacuations.len());
            prop_assert!(evacuations >= told, "{told} were told, {evacuations} stand: {world:?}");
        }
    }

    #[test]
    fn zone_is_back_once_each_acknowledged_evacuation_is_returned(
        schedule in prop::collection::vec(events(), 1..150),
    ) {
        let mut world = World { overlaps: true, ..World::default() };
        for event in schedule {
            // A leader decides on all that it has put into the log, and a call waits until it is known what became of the last acknowledgement.
            if matches!(event, Event::Caller(_)) {
                settle(&mut world);
            }
            world.play(event);
        }
        for _ in 0..3 {
            for caller in 0..CALLERS {
                for _ in 0..3 {
                    settle(&mut world);
                    if world.calls[caller].is_some() || world.acknowledged[caller] {
                        world.play(Event::Caller(caller));
                    }
                }
            }
        }
        prop_assert_eq!(world.acknowledged_count(), 0);
        prop_assert!(world.zone.evacuations.is_empty(), "{:?}", world);
    }
}

/// Commits all, as far as that comes to an end.
fn settle(world: &mut World) {
    for _ in 0..1000 {
        if world.log.is_empty() {
            return;
        }
        world.play(Event::Commit(Read));
    }
}
