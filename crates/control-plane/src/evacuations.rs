//! Evacuations and returns of zones, as replicated state. A *return* ends an evacuation: the zone gets requests again
//! once all its evacuations have ended.
//!
//! **State and owner.** [`ZoneEvacuations`] is part of the [`ReplicatedState`](crate::replicated_state); there is one
//! for each zone. Only [`ZoneEvacuations::apply`] changes it, at the index of a committed [`EvacuationStep`]. No I/O,
//! no clock.
//!
//! **Identity.** A call that evacuates or returns a zone carries no identifier in the protocol, and its caller resends
//! it until it gets an answer. Each accepted call therefore gets an identifier here: its index in the log
//! ([`CommandId`]). Whether a later call of the same kind is a resent copy of an earlier one depends on whether the
//! earlier one may still be resent and on what is known of its acknowledgement ([`ZoneEvacuations::decide`]):
//!
//! - An *evacuation* that arrives while the earlier one may still be resent is a copy of it, whatever happened to the
//!   earlier acknowledgement. If it were counted twice, a single return would leave the zone evacuated for good. As
//!   long as no caller can have received an acknowledgement of the earlier one, the later one is a copy no matter how
//!   late it arrives.
//! - A *return* that arrives while the earlier one may still be resent is a new return only if the earlier
//!   acknowledgement was received.
//!
//! **Guarantee.** A zone has at least as many evacuations here as operators have seen acknowledged and have not begun
//! to return, provided that two evacuations of one zone begin further apart than the time for which a call is resent.
//! Evacuations closer together count as one. The cases are listed in `docs/design/0010-operator-commands.md`.
//!
//! **Steps of a call.** Each step is an entry of the log: `Begin` or `Finish`; then `Acknowledge`, before the answer is
//! written to the caller; then `Withdraw`, if the answer could not be written or its connection broke; for a return,
//! `Confirm` once the caller has certainly read the answer. If the leader fails in between, the state remains `Sent`:
//! it is unknown whether the caller received the answer, and the rules above decide how a later call is counted.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Identifier of an accepted evacuation or return: the index of its first step in the log.
pub type CommandId = u64;

/// One attempt to acknowledge a call. Each term has a single leader, which numbers its attempts, so the pair is unique.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcknowledgementAttempt {
    /// The leader's term.
    pub term: u64,
    /// Increases within the term.
    pub number: u64,
}

/// Whether the caller may have received the acknowledgement of its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcknowledgementState {
    /// No acknowledgement was written, so the caller has certainly not received one.
    #[serde(rename = "Unwritten")]
    NotSent,
    /// This attempt has written the acknowledgement or is about to, so the caller may have received it.
    #[serde(rename = "Written")]
    Sent(AcknowledgementAttempt),
    /// The acknowledgement was written, but the connection broke before the caller confirmed it: the caller has
    /// probably not received it.
    #[serde(rename = "Broken")]
    ConnectionBroken,
    /// The command was accepted by a build before snapshot form 4, which did not record acknowledgements.
    Unknown,
}

/// A step of an evacuation or a return. Each step is an entry of the log.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum EvacuationStep {
    /// Begins an evacuation.
    Begin,
    /// Ends an evacuation: the first step of a return.
    Finish {
        /// The evacuation to end.
        ends: CommandId,
    },
    /// Reserves the acknowledgement for an attempt, which may send it only if this step is applied. Thus only one of
    /// several concurrent attempts sends it.
    Acknowledge {
        /// The evacuation or return.
        #[serde(rename = "order")]
        command: CommandId,
        /// The attempt.
        attempt: AcknowledgementAttempt,
    },
    /// Ends an attempt whose acknowledgement the caller has not received, or probably not. Another attempt may then
    /// acknowledge the command.
    Withdraw {
        /// The evacuation or return.
        #[serde(rename = "order")]
        command: CommandId,
        /// The attempt.
        attempt: AcknowledgementAttempt,
        /// Whether the acknowledgement had been written before its connection broke.
        written: bool,
    },
    /// Records that the caller of a return has received the acknowledgement: a later return is a new one.
    Confirm {
        /// The return.
        #[serde(rename = "order")]
        command: CommandId,
    },
    /// Records that the returns up to this one are no longer resent.
    Expire {
        /// The last of these returns.
        last: CommandId,
    },
}

/// The evacuations and returns of one zone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneEvacuations {
    /// Evacuations that have not ended. While there is at least one, the zone's upstreams get no requests.
    pub evacuations: BTreeMap<CommandId, AcknowledgementState>,
    /// Returns that may still be resent.
    pub returns: BTreeMap<CommandId, AcknowledgementState>,
}

/// How to handle an evacuation or return call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// The call is new: propose this step, and decide again once the step is applied.
    New(EvacuationStep),
    /// The call is a resent copy of this command, whose caller has not received an acknowledgement.
    Duplicate(CommandId),
    /// The call may be a resent copy of this command, whose caller may have received the acknowledgement: acknowledge
    /// it without any effect.
    PossibleDuplicate(CommandId),
    /// The call is a return, and the zone has no evacuation.
    NothingToReturn,
}

impl AcknowledgementState {
    /// Whether a new attempt may acknowledge the command: as far as is known, no other acknowledgement reached the
    /// caller.
    fn may_be_acknowledged(self) -> bool {
        matches!(self, Self::NotSent | Self::ConnectionBroken)
    }
}

impl ZoneEvacuations {
    /// Decides whether a call is new or a resent copy of an earlier one. `may_be_resent` tells whether a command was
    /// accepted so recently that its caller may still resend it; for returns, the time counts from the last
    /// acknowledgement.
    pub fn decide(
        &self,
        is_evacuation: bool,
        may_be_resent: impl Fn(CommandId) -> bool,
    ) -> Decision {
        if is_evacuation {
            self.decide_evacuation(may_be_resent)
        } else {
            self.decide_return(may_be_resent)
        }
    }

    fn decide_evacuation(&self, may_be_resent: impl Fn(CommandId) -> bool) -> Decision {
        let unacknowledged = |(id, state): (&CommandId, &AcknowledgementState)| match state {
            // Regardless of its age: no caller can have received an acknowledgement.
            AcknowledgementState::NotSent => Some(*id),
            AcknowledgementState::ConnectionBroken => may_be_resent(*id).then_some(*id),
            AcknowledgementState::Sent(_) | AcknowledgementState::Unknown => None,
        };
        if let Some(id) = self.evacuations.iter().find_map(unacknowledged) {
            return Decision::Duplicate(id);
        }
        let last = self
            .evacuations
            .keys()
            .copied()
            .rfind(|id| may_be_resent(*id));
        last.map_or(
            Decision::New(EvacuationStep::Begin),
            Decision::PossibleDuplicate,
        )
    }

    fn decide_return(&self, may_be_resent: impl Fn(CommandId) -> bool) -> Decision {
        let expired = self
            .returns
            .keys()
            .copied()
            .take_while(|id| !may_be_resent(*id));
        if let Some(last) = expired.last() {
            return Decision::New(EvacuationStep::Expire { last });
        }
        let unacknowledged = |(id, state): (&CommandId, &AcknowledgementState)| {
            (state.may_be_acknowledged() && may_be_resent(*id)).then_some(*id)
        };
        if let Some(id) = self.returns.iter().find_map(unacknowledged) {
            return Decision::Duplicate(id);
        }
        if let Some(id) = self.returns.keys().copied().find(|id| may_be_resent(*id)) {
            return Decision::PossibleDuplicate(id);
        }
        self.evacuation_to_end()
            .map_or(Decision::NothingToReturn, |ends| {
                Decision::New(EvacuationStep::Finish { ends })
            })
    }

    /// Returns the evacuation that a return ends. Evacuations whose callers may have received the acknowledgement come
    /// before those whose callers still resend the call.
    fn evacuation_to_end(&self) -> Option<CommandId> {
        let rank = |state: &AcknowledgementState| match state {
            AcknowledgementState::Sent(_) | AcknowledgementState::Unknown => 0,
            AcknowledgementState::ConnectionBroken => 1,
            AcknowledgementState::NotSent => 2,
        };
        self.evacuations
            .iter()
            .min_by_key(|(id, state)| (rank(state), **id))
            .map(|(id, _)| *id)
    }

    /// Applies a committed step, which is stored at `index` of the log. Returns `false` if the step has no effect
    /// because the state has changed since the step was proposed.
    pub fn apply(&mut self, index: CommandId, step: EvacuationStep) -> bool {
        match step {
            EvacuationStep::Begin => self.begin(index),
            EvacuationStep::Finish { ends } => self.finish(index, ends),
            EvacuationStep::Acknowledge { command, attempt } => self.acknowledge(command, attempt),
            EvacuationStep::Withdraw {
                command,
                attempt,
                written,
            } => self.withdraw(command, attempt, written),
            EvacuationStep::Confirm { command } => self.returns.remove(&command).is_some(),
            EvacuationStep::Expire { last } => {
                let before = self.returns.len();
                self.returns.retain(|id, _| *id > last);
                self.returns.len() < before
            }
        }
    }

    /// Begins an evacuation, unless the zone has one whose acknowledgement has not been sent: the call is then a copy
    /// of that one.
    fn begin(&mut self, index: CommandId) -> bool {
        let applies = !has_unsent(&self.evacuations);
        if applies {
            self.evacuations
                .insert(index, AcknowledgementState::NotSent);
        }
        applies
    }

    /// Ends an evacuation, unless the zone has a return whose acknowledgement has not been sent: the call is then a
    /// copy of that one.
    fn finish(&mut self, index: CommandId, ends: CommandId) -> bool {
        let applies = !has_unsent(&self.returns) && self.evacuations.remove(&ends).is_some();
        if applies {
            self.returns.insert(index, AcknowledgementState::NotSent);
        }
        applies
    }

    fn acknowledge(&mut self, id: CommandId, attempt: AcknowledgementAttempt) -> bool {
        let Some(state) = self
            .state_mut(id)
            .filter(|state| state.may_be_acknowledged())
        else {
            return false;
        };
        *state = AcknowledgementState::Sent(attempt);
        true
    }

    fn withdraw(&mut self, id: CommandId, attempt: AcknowledgementAttempt, written: bool) -> bool {
        let expected = AcknowledgementState::Sent(attempt);
        let Some(state) = self.state_mut(id).filter(|state| **state == expected) else {
            return false;
        };
        *state = if written {
            AcknowledgementState::ConnectionBroken
        } else {
            AcknowledgementState::NotSent
        };
        true
    }

    fn state_mut(&mut self, id: CommandId) -> Option<&mut AcknowledgementState> {
        self.evacuations
            .get_mut(&id)
            .or_else(|| self.returns.get_mut(&id))
    }

    /// Whether the zone has neither evacuations nor returns.
    pub fn is_empty(&self) -> bool {
        self.evacuations.is_empty() && self.returns.is_empty()
    }
}

/// Whether the acknowledgement of any of these commands has not been sent to anyone.
fn has_unsent(commands: &BTreeMap<CommandId, AcknowledgementState>) -> bool {
    commands
        .values()
        .any(|state| *state == AcknowledgementState::NotSent)
}
