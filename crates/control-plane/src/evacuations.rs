//! Evacuations of zones as replicated state. An order to evacuate a zone, or to return it, has no identity on the
//! wire, so each one that is taken gets one here: its place in the log. What a like order is that comes later
//! depends on whether the earlier one may still be sent again, and on what is known of its acknowledgement:
//!
//! - an *evacuation* that comes while the earlier one may be sent again is the same, whatever became of its
//!   acknowledgement: counted twice, its one return would leave the zone empty for good. While nobody can have heard
//!   of the earlier one, the later one is the same however late it comes;
//! - a *return* that comes while the earlier one may be sent again is another one only if the earlier one was heard.
//!
//! **Promise.** A zone has at least as many evacuations here as operators have heard acknowledged and have not
//! begun to return, where two evacuations of one zone begin further apart than an order is sent again. Closer ones
//! are one evacuation. The cases are listed in `docs/design/0010-orders.md`.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// An order's identity: its place in the log.
pub type CommandId = u64;

/// One try to acknowledge an order. There is one leader a term, and it numbers its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcknowledgementAttempt {
    pub term: u64,
    pub number: u64,
}

/// Whether an order's caller may have heard that it is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcknowledgementState {
    /// Surely not: no acknowledgement was written.
    #[serde(rename = "Unwritten")]
    NotSent,
    /// This attempt has written it, or is about to.
    #[serde(rename = "Written")]
    Sent(AcknowledgementAttempt),
    /// It was written, and the connection broke: most likely not.
    #[serde(rename = "Broken")]
    ConnectionBroken,
    /// It was taken by a build that did not keep this.
    Unknown,
}

/// A step of an order, each an entry of the log.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum EvacuationStep {
    /// An evacuation.
    Begin,
    /// A return, which ends this evacuation.
    Finish { ends: CommandId },
    /// This attempt is about to acknowledge the order; only if that succeeds, it may.
    Acknowledge {
        order: CommandId,
        attempt: AcknowledgementAttempt,
    },
    /// That attempt did not come to write the acknowledgement, or (`written`) its connection broke after it.
    Withdraw {
        order: CommandId,
        attempt: AcknowledgementAttempt,
        written: bool,
    },
    /// The caller of a return has heard: the like that comes is another one.
    Confirm { order: CommandId },
    /// Nobody sends the returns up to this one again.
    Expire { last: CommandId },
}

/// The orders that a zone is subject to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneEvacuations {
    /// Evacuations that were not returned.
    pub evacuations: BTreeMap<CommandId, AcknowledgementState>,
    /// Returns that were carried out, as long as they may be sent again.
    pub returns: BTreeMap<CommandId, AcknowledgementState>,
}

/// What is to be done with an order that has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// It is a new one: this is its first step.
    New(EvacuationStep),
    /// It is this one, sent again.
    Duplicate(CommandId),
    /// It may be this one, sent again, whose caller may have heard: acknowledged without effect.
    PossibleDuplicate(CommandId),
    /// There is nothing to return.
    NothingToReturn,
}

impl AcknowledgementState {
    /// Whether an attempt may acknowledge the order: no other has, as far as is known.
    fn is_free(self) -> bool {
        matches!(self, Self::NotSent | Self::ConnectionBroken)
    }
}

impl ZoneEvacuations {
    /// What an order is that has come. `recent` tells whether an order was taken (a return: or acknowledged) so lately
    /// that its caller may still send it again.
    pub fn decide(&self, begin: bool, recent: impl Fn(CommandId) -> bool) -> Decision {
        let again = |(order, answer): (&CommandId, &AcknowledgementState)| match answer {
            AcknowledgementState::NotSent if begin => Some(*order),
            AcknowledgementState::NotSent | AcknowledgementState::ConnectionBroken => {
                recent(*order).then_some(*order)
            }
            AcknowledgementState::Sent(_) | AcknowledgementState::Unknown => None,
        };
        if begin {
            if let Some(order) = self.evacuations.iter().find_map(again) {
                return Decision::Duplicate(order);
            }
            let last = self
                .evacuations
                .keys()
                .copied()
                .rfind(|order| recent(*order));
            return last.map_or(
                Decision::New(EvacuationStep::Begin),
                Decision::PossibleDuplicate,
            );
        }
        if let Some(last) = self
            .returns
            .keys()
            .copied()
            .take_while(|r| !recent(*r))
            .last()
        {
            return Decision::New(EvacuationStep::Expire { last });
        }
        if let Some(order) = self.returns.iter().find_map(again) {
            return Decision::Duplicate(order);
        }
        if let Some(order) = self.returns.keys().copied().find(|order| recent(*order)) {
            return Decision::PossibleDuplicate(order);
        }
        let ends = self.to_end();
        ends.map_or(Decision::NothingToReturn, |ends| {
            Decision::New(EvacuationStep::Finish { ends })
        })
    }

    /// The evacuation that a return ends: one that may have been heard of rather than one whose caller still asks.
    fn to_end(&self) -> Option<CommandId> {
        let rank = |answer: &AcknowledgementState| match answer {
            AcknowledgementState::Sent(_) | AcknowledgementState::Unknown => 0,
            AcknowledgementState::ConnectionBroken => 1,
            AcknowledgementState::NotSent => 2,
        };
        self.evacuations
            .iter()
            .min_by_key(|(id, answer)| (rank(answer), **id))
            .map(|(id, _)| *id)
    }

    /// Applies a step that stands at this place of the log; whether it counts. One that was decided on what no
    /// longer holds does not.
    pub fn apply(&mut self, index: CommandId, step: EvacuationStep) -> bool {
        let unwritten = |orders: &BTreeMap<CommandId, AcknowledgementState>| {
            orders
                .values()
                .any(|answer| *answer == AcknowledgementState::NotSent)
        };
        match step {
            EvacuationStep::Begin => {
                let counts = !unwritten(&self.evacuations);
                if counts {
                    self.evacuations
                        .insert(index, AcknowledgementState::NotSent);
                }
                counts
            }
            EvacuationStep::Finish { ends } => {
                let counts = !unwritten(&self.returns) && self.evacuations.remove(&ends).is_some();
                if counts {
                    self.returns.insert(index, AcknowledgementState::NotSent);
                }
                counts
            }
            EvacuationStep::Acknowledge { order, attempt } => {
                let answer = self.answer(order).filter(|answer| answer.is_free());
                answer
                    .map(|answer| *answer = AcknowledgementState::Sent(attempt))
                    .is_some()
            }
            EvacuationStep::Withdraw {
                order,
                attempt,
                written,
            } => {
                let to = if written {
                    AcknowledgementState::ConnectionBroken
                } else {
                    AcknowledgementState::NotSent
                };
                let own = AcknowledgementState::Sent(attempt);
                self.answer(order)
                    .filter(|a| **a == own)
                    .map(|answer| *answer = to)
                    .is_some()
            }
            EvacuationStep::Confirm { order } => self.returns.remove(&order).is_some(),
            EvacuationStep::Expire { last } => {
                let before = self.returns.len();
                self.returns.retain(|order, _| *order > last);
                self.returns.len() < before
            }
        }
    }

    fn answer(&mut self, order: CommandId) -> Option<&mut AcknowledgementState> {
        self.evacuations
            .get_mut(&order)
            .or_else(|| self.returns.get_mut(&order))
    }

    /// Whether nothing is known of the zone.
    pub fn is_empty(&self) -> bool {
        self.evacuations.is_empty() && self.returns.is_empty()
    }
}
