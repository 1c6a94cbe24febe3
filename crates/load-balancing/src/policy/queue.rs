//! The queue: first come, first served, with strict ordering of requests that share a key.
//!
//! A request that leaves the queue is only marked; its entry is skipped the next time the queue is traversed. The
//! counts of queued requests in [`CapacityPools`](super::state::capacity::CapacityPools) follow the mark.

use super::Balancer;
use super::state::request::{OrderedQueue, PendingRequest};
use crate::interface::{RequestId, Time};

impl Balancer {
    /// Queues a request: retries at the head, new requests at the tail.
    pub(super) fn enqueue(&mut self, id: RequestId, at_head: bool) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.is_queued = true;
        self.capacity.count_queued(request.pool, 1);
        if at_head {
            self.queue.push_front(id);
        } else {
            self.queue.push_back(id);
        }
    }

    /// Marks a request as no longer queued; its entry in the queue is skipped from then on.
    pub(super) fn dequeue(&mut self, id: RequestId) {
        let queued = self.requests.get_mut(&id).filter(|r| r.is_queued);
        if let Some(request) = queued {
            request.is_queued = false;
            self.capacity.count_queued(request.pool, -1);
        }
    }

    /// Appends a request of an ordered class to the queue of its key.
    pub(super) fn join_ordered_queue(&mut self, now: Time, id: RequestId) {
        let Some(key) = self.requests.get(&id).and_then(|r| r.ordering_key) else {
            return;
        };
        self.ordered_queues
            .entry(key)
            .or_insert_with(|| OrderedQueue::new(now))
            .waiting
            .push_back(id);
    }

    /// Returns whether a request is the first of its key and the key is not blocked. Always true once it has been sent.
    pub(super) fn has_turn(&self, now: Time, id: RequestId, request: &PendingRequest) -> bool {
        let Some(queue) = request
            .ordering_key
            .and_then(|key| self.ordered_queues.get(&key))
        else {
            return true;
        };
        let is_next = queue.waiting.front() == Some(&id) && now >= queue.blocked_until;
        !request.attempts.is_empty() || is_next
    }

    pub(super) fn drop_idle_ordered_queues(&mut self, now: Time) {
        self.ordered_queues
            .retain(|_, queue| !queue.waiting.is_empty() || now < queue.blocked_until);
    }
}
