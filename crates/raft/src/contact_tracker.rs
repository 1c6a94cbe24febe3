//! Tracks how recent the applied state of a member is known to be.
//!
//! **Quorum contact** is the latest time for which the member's applied state is known to include
//! everything that had been acknowledged anywhere by then. It is derived from the times at which a
//! broadcast and the member's own request were *sent*, never from the time at which a response was
//! handled: a response that sat in a queue while the process was suspended proves nothing about the
//! time since. If no leader responds, the time stays the same and its age grows.

use std::collections::VecDeque;

use crate::QuorumContactResponse;

/// The maximum number of unanswered requests to the leader. On a slow link more than one is in
/// flight.
const MAX_OUTSTANDING_REQUESTS: usize = 4;

/// The quorum contact of a member, and the requests and responses from which it is derived.
#[derive(Debug, Default)]
pub(crate) struct ContactTracker {
    /// The unanswered requests, oldest first.
    requests: VecDeque<ContactRequest>,
    /// Contact reported by a leader that is valid only once its index is applied, oldest first.
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
    /// The index that has to be applied first.
    index: u64,
}

impl ContactTracker {
    /// Returns the latest time for which the applied state is known to include everything
    /// acknowledged by then.
    pub(crate) fn confirmed_at(&self) -> Option<u64> {
        self.confirmed_at
    }

    /// Sets the contact that this member has proven as a leader.
    pub(crate) fn set_confirmed_at(&mut self, at: Option<u64>) {
        self.confirmed_at = at;
    }

    /// Records a request to the leader. If there are too many unanswered requests, the oldest one
    /// is dropped.
    pub(crate) fn on_request_sent(&mut self, token: u64, now: u64) {
        push_bounded(
            &mut self.requests,
            ContactRequest {
                token,
                sent_at: now,
            },
        );
    }

    /// Handles the leader's response: the broadcast that a majority has answered was sent `age_ms`
    /// before the leader handled the request, and `index` covers everything acknowledged before
    /// that broadcast. Drops older requests as well.
    pub(crate) fn on_response(&mut self, response: &QuorumContactResponse, applied_index: u64) {
        let Some(position) = self.requests.iter().position(|r| r.token == response.token) else {
            return;
        };
        // The leader computed the age after the request was sent, so its broadcast was sent no
        // earlier than this.
        let at = self.requests[position].sent_at.checked_sub(response.age_ms);
        self.requests.drain(..=position);
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

    /// Promotes the contact whose index is applied to confirmed contact.
    pub(crate) fn on_applied(&mut self, applied_index: u64) {
        while let Some(contact) = self
            .unapplied
            .pop_front_if(|contact| contact.index <= applied_index)
        {
            self.confirmed_at = self.confirmed_at.max(Some(contact.at));
        }
    }
}

/// Appends an element, dropping the oldest one if there are already [`MAX_OUTSTANDING_REQUESTS`].
fn push_bounded<T>(queue: &mut VecDeque<T>, element: T) {
    if queue.len() == MAX_OUTSTANDING_REQUESTS {
        queue.pop_front();
    }
    queue.push_back(element);
}
