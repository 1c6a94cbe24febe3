//! Evacuations of zones, and their returns, as replicated state.
//!
//! **State and owner.** [`ZoneEvacuations`] is a part of the [`ReplicatedState`](crate::replicated_state), one for each
//! zone; [`ZoneEvacuations::apply`] alone changes it, at the index of a committed [`EvacuationStep`]. No I/O, no clock.
//!
//! **Identity.** A call that evacuates a zone, or returns it, has no identity on the wire, and its caller sends it again
//! until it hears an answer. So each one that is accepted gets an identity here: its index in the log ([`CommandId`]).
//! What a later call of the same kind is depends on whether the earlier one may still be sent again, and on what is
//! known of its acknowledgement ([`ZoneEvacuations::decide`]):
//!
//! - an *evacuation* that comes while the earlier one may be sent again is the same one, whatever became of its
//!   acknowledgement: counted twice, its one return would leave the zone empty for good. While nobody can have heard
//!   of the earlier one, the later one is the same however late it comes;
//! - a *return* that comes while the earlier one may be sent again is another one only if the earlier one was heard.
//!
//! **Promise.** A zone has at least as many evacuations here as operators have heard acknowledged and have not
//! begun to return, where two evacuations of one zone begin further apart than a call is sent again. Closer ones
//! are one evacuation. The cases are listed in `docs/design/0010-operator-commands.md`.
//!
//! **Steps of one call**, each an entry of the log: `Begin` or `Finish`, then `Acknowledge` before the answer is written
//! to the caller, then `Withdraw` if it could not be written or its connection broke, and for a return `Confirm` once
//! the caller has surely read it. A leader that dies in between leaves `Sent`: then nobody knows whether the caller has
//! heard, and the rules above say what a later call counts as.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Identity of an accepted evacuation or return: the index of its first step in the log.
pub type CommandId = u64;

/// One attempt to acknowledge a call. A term has one leader, and it numbers its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcknowledgementAttempt {
    /// The leader's term.
    pub term: u64,
    /// Rises within the term.
    pub number: u64,
}

/// Whether the caller may have heard that its call is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcknowledgementState {
    /// Surely not: no acknowledgement was written.
    #[serde(rename = "Unwritten")]
    NotSent,
    /// This attempt has written it, or is about to.
    #[serde(rename = "Written")]
    Sent(AcknowledgementAttempt),
    /// It was written, and the connection broke before the caller had confirmed it: most likely not.
    #[serde(rename = "Broken")]
    ConnectionBroken,
    /// Accepted by a build before form 4 of the snapshot, which did not keep this.
    Unknown,
}

/// A step of an evacuation or a return, each an entry of the log.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum EvacuationStep {
    /// An evacuation begins.
    Begin,
    /// A return ends an evacuation.
    Finish {
        /// The evacuation.
        ends: CommandId,
    },
    /// An attempt is about to acknowledge. It may only if this step is applied: so of two attempts one does.
    Acknowledge {
        /// The evacuation or return.
        #[serde(rename = "order")]
        command: CommandId,
        /// The attempt.
        attempt: AcknowledgementAttempt,
    },
    /// The caller has not heard of that attempt, or most likely not: another attempt may acknowledge.
    Withdraw {
        /// The evacuation or return.
        #[serde(rename = "order")]
        command: CommandId,
        /// The attempt.
        attempt: AcknowledgementAttempt,
        /// Whether the acknowledgement was written, and its connection broke after that.
        written: bool,
    },
    /// The caller of a return has heard: a later return is another one.
    Confirm {
        /// The return.
        #[serde(rename = "order")]
        command: CommandId,
    },
    /// The returns up to this one are not sent again any more.
    Expire {
        /// The last of them.
        last: CommandId,
    },
}

/// The evacuations and returns of one zone.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneEvacuations {
    /// Evacuations that were not returned. While there is one, the zone's upstreams get no requests.
    pub evacuations: BTreeMap<CommandId, AcknowledgementState>,
    /// Returns, for as long as they may be sent again.
    pub returns: BTreeMap<CommandId, AcknowledgementState>,
}

/// What is to be done with a call that has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// It is a new one: propose this step, and once it is applied decide again.
    New(EvacuationStep),
    /// It is this one, sent again, whose caller has not heard.
    Duplicate(CommandId),
    /// It may be this one, sent again, whose caller may have heard: acknowledge it without effect.
    PossibleDuplicate(CommandId),
    /// A return, and there is no evacuation.
    NothingToReturn,
}

impl AcknowledgementState {
    /// Whether an attempt may acknowledge: as far as is known, no other has reached the caller.
    fn is_free(self) -> bool {
        matches!(self, Self::NotSent | Self::ConnectionBroken)
    }
}

impl ZoneEvacuations {
    /// What a call that has come is: here one that is sent again is recognized. `begin` is set for an evacuation.
    /// `recent` tells whether an evacuation was accepted (a return: or acknowledged) so lately that its caller may
    /// still send it again.
    pub fn decide(&self, begin: bool, recent: impl Fn(CommandId) -> bool) -> Decision {
        if begin {
            self.decide_evacuation(recent)
        } else {
            self.decide_return(recent)
        }
    }

    fn decide_evacuation(&self, recent: impl Fn(CommandId) -> bool) -> Decision {
        let unheard = |(id, state): (&CommandId, &AcknowledgementState)| match state {
            // However long ago: nobody can have heard of it.
            AcknowledgementState::NotSent => Some(*id),
            AcknowledgementState::ConnectionBroken => recent(*id).then_some(*id),
            AcknowledgementState::Sent(_) | AcknowledgementState::Unknown => None,
        };
        if let Some(id) = self.evacuations.iter().find_map(unheard) {
            return Decision::Duplicate(id);
        }
        let last = self.evacuations.keys().copied().rfind(|id| recent(*id));
        last.map_or(
            Decision::New(EvacuationStep::Begin),
            Decision::PossibleDuplicate,
        )
    }

    fn decide_return(&self, recent: impl Fn(CommandId) -> bool) -> Decision {
        let expired = self.returns.keys().copied().take_while(|id| !recent(*id));
        if let Some(last) = expired.last() {
            return Decision::New(EvacuationStep::Expire { last });
        }
        let unheard = |(id, state): (&CommandId, &AcknowledgementState)| {
            (state.is_free() && recent(*id)).then_some(*id)
        };
        if let Some(id) = self.returns.iter().find_map(unheard) {
            return Decision::Duplicate(id);
        }
        if let Some(id) = self.returns.keys().copied().find(|id| recent(*id)) {
            return Decision::PossibleDuplicate(id);
        }
        self.evacuation_to_end()
            .map_or(Decision::NothingToReturn, |ends| {
                Decision::New(EvacuationStep::Finish { ends })
            })
    }

    /// The evacuation that a return ends: one whose caller may have heard before one whose caller still sends it.
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

    /// Applies a committed step, which stands at `index` of the log. `false` if it has no effect, since it was decided
    /// on a state that has changed by now.
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

    /// A second evacuation does not begin while nobody can have heard of the first.
    fn begin(&mut self, index: CommandId) -> bool {
        let applies = !has_unsent(&self.evacuations);
        if applies {
            self.evacuations
                .insert(index, AcknowledgementState::NotSent);
        }
        applies
    }

    /// Nor does a second return.
    fn finish(&mut self, index: CommandId, ends: CommandId) -> bool {
        let applies = !has_unsent(&self.returns) && self.evacuations.remove(&ends).is_some();
        if applies {
            self.returns.insert(index, AcknowledgementState::NotSent);
        }
        applies
    }

    fn acknowledge(&mut self, id: CommandId, attempt: AcknowledgementAttempt) -> bool {
        let Some(state) = self.state_mut(id).filter(|state| state.is_free()) else {
            return false;
        };
        *state = AcknowledgementState::Sent(attempt);
        true
    }

    fn withdraw(&mut self, id: CommandId, attempt: AcknowledgementAttempt, written: bool) -> bool {
        let own = AcknowledgementState::Sent(attempt);
        let Some(state) = self.state_mut(id).filter(|state| **state == own) else {
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

    /// Whether nothing is known of the zone.
    pub fn is_empty(&self) -> bool {
        self.evacuations.is_empty() && self.returns.is_empty()
    }
}

/// Whether one of them has not been acknowledged to anybody.
fn has_unsent(commands: &BTreeMap<CommandId, AcknowledgementState>) -> bool {
    commands
        .values()
        .any(|state| *state == AcknowledgementState::NotSent)
}
