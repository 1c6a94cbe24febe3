//! How fresh the applied state of a member is known to be.
//!
//! **Quorum contact** is the moment up to which a member's applied state covers all that was
//! acknowledged anywhere. It is judged by when a broadcast, or the member's own request, was
//! *sent*, never by when a response was handled: a response that lay in a queue while a process was
//! frozen proves nothing about the time since. **Owns** the requests to the leader and the last
//! proven moment. **Leader silent:** the moment stays where it is, and its age grows.

use std::collections::VecDeque;

use crate::QuorumContactResponse;

/// Requests to the leader that may be unanswered at a time. A slow link has more than one under
/// way.
const MAX_OUTSTANDING_REQUESTS: usize = 4;

/// What a member has learnt from leaders about its contact with a majority.
#[derive(Debug, Default)]
pub(crate) struct ContactTracker {
    /// The requests that are not answered, oldest first.
    requests: VecDeque<ContactRequest>,
    /// Contact that counts once what it covers is applied, oldest first.
    unapplied: VecDeque<UnappliedContact>,
    confirmed_at: Option<u64>,
}

#[derive(Debug)]
struct ContactRequest {
    token: u64,
    sent_at: u64,
}

#[derive(Debug)]
struct UnappliedContact {
    at: u64,
    /// What has to be applied before it counts.
    index: u64,
}

impl ContactTracker {
    /// The moment up to which the applied state covers all that was acknowledged anywhere.
    pub(crate) fn confirmed_at(&self) -> Option<u64> {
        self.confirmed_at
    }

    /// Keeps the contact that this member has proven as a leader.
    pub(crate) fn set_confirmed_at(&mut self, at: Option<u64>) {
        self.confirmed_at = at;
    }

    /// A request to the leader is sent. The oldest unanswered one is forgotten if there are too
    /// many.
    pub(crate) fn on_request_sent(&mut self, token: u64, now: u64) {
        push_bounded(
            &mut self.requests,
            ContactRequest {
                token,
                sent_at: now,
            },
        );
    }

    /// The leader's response: `age_ms` before it handled the request, the leader sent what a majority
    /// has answered, and `index` covers all that was acknowledged before that. Responses to older
    /// requests are no longer awaited.
    pub(crate) fn on_response(&mut self, response: &QuorumContactResponse, applied_index: u64) {
        let Some(place) = self.requests.iter().position(|r| r.token == response.token) else {
            return;
        };
        // The leader took the age after the request was sent: its broadcast was sent no earlier
        // than this.
        let at = self.requests[place].sent_at.checked_sub(response.age_ms);
        self.requests.drain(..=place);
        if let Some(at) = at.filter(|at| self.confirmed_at.is_none_or(|known| *at > known)) {
            push_bounded(
                &mut self.unapplied,
                UnappliedContact {
                    at,
                    index: response.index,
                },
            );
            self.on_applied(applied_index);
        }
    }

    /// Contact counts once what it covers is applied.
    pub(crate) fn on_applied(&mut self, applied_index: u64) {
        while let Some(contact) = self
            .unapplied
            .pop_front_if(|contact| contact.index <= applied_index)
        {
            self.confirmed_at = self.confirmed_at.max(Some(contact.at));
        }
    }
}

/// Adds an element, in place of the oldest if there are as many as requests may be outstanding.
fn push_bounded<T>(queue: &mut VecDeque<T>, element: T) {
    if queue.len() == MAX_OUTSTANDING_REQUESTS {
        queue.pop_front();
    }
    queue.push_back(element);
}
