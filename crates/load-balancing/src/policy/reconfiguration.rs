//! Settings that change at run time, while requests are open.
//!
//! A request keeps the class that it was accepted with until it ends
//! ([`PendingRequest::class`](super::state::request::PendingRequest::class)); new settings concern new requests only.
//! Estimates and breakers are kept by the index of a class. Once an index belongs to another class, they start anew, and
//! the open requests of the former class no longer use or change them. Capacity pools are made for the classes of the
//! settings and of open requests, so that nothing of a former class remains once its last request has ended and the
//! settings have changed again.

use std::sync::Arc;

use super::Balancer;
use super::state::capacity::CapacityPools;
use super::state::circuit_breaker::CircuitBreaker;
use crate::interface::{RequestClass, Settings, SettingsError};

impl Balancer {
    /// Replaces the settings at run time. Open requests keep the classes that they were accepted with.
    ///
    /// # Errors
    /// Returns an error if the settings can't be corrected to safe values, or have fewer classes than before. The old
    /// settings stay in force then.
    pub fn reconfigure(&mut self, settings: Settings) -> Result<(), SettingsError> {
        let settings = settings.into_validated()?;
        let classes_before = self.settings.classes.len();
        if settings.classes.len() < classes_before {
            return Err(SettingsError::FewerClasses(classes_before));
        }
        let before = std::mem::replace(&mut self.settings, settings);
        self.mean_latency_target = self.settings.mean_latency_target();
        self.resize_class_estimates();
        self.forget_replaced_classes(&before.classes);
        self.reassign_open_requests();
        self.assign_subset();
        self.refresh_estimates();
        Ok(())
    }

    fn resize_class_estimates(&mut self) {
        let classes = self.settings.classes.len();
        self.fleet.resize_classes(classes);
        for upstream in self.upstreams.iter_mut() {
            upstream
                .class_breakers
                .resize(classes, CircuitBreaker::default());
        }
    }

    /// Discards the estimates and breakers at each index that belonged to another class before.
    fn forget_replaced_classes(&mut self, before: &[Arc<RequestClass>]) {
        for (index, (class, former)) in self.settings.classes.iter().zip(before).enumerate() {
            if class.id == former.id {
                continue;
            }
            self.fleet.forget_class(index);
            for upstream in self.upstreams.iter_mut() {
                upstream.class_breakers[index] = CircuitBreaker::default();
            }
        }
    }

    /// Assigns the open requests to the new capacity pools and class indexes.
    fn reassign_open_requests(&mut self) {
        self.capacity = CapacityPools::new(&self.settings.classes);
        for request in self.requests.values_mut() {
            request.pool = self.capacity.index_or_insert(&request.class);
            request.class_index = request
                .class_index
                .filter(|&index| self.settings.classes[index].id == request.class.id);
            if request.is_queued {
                self.capacity.count_queued(request.pool, 1);
            }
        }
        let of_requests = self.requests.values().map(|r| r.class.latency_target);
        let shortest_target = of_requests.fold(self.settings.shortest_latency_target(), Ord::min);
        self.sweep_interval = self.settings.sweep_interval(shortest_target);
    }

    /// Returns the index of the estimates of a request's class; `None` if the index that the class had belongs to
    /// another one now.
    pub(super) fn index_of_class(&self, index: usize, class: &RequestClass) -> Option<usize> {
        let current = self.settings.classes.get(index)?;
        (current.id == class.id).then_some(index)
    }

    /// Returns the index of the capacity pool of a request's class. A class that the settings no longer contain, since
    /// they changed while the host received the request, may need another pool or more frequent sweeps.
    pub(super) fn pool_of_class(&mut self, class: &Arc<RequestClass>) -> usize {
        let sweep_interval = self.settings.sweep_interval(class.latency_target);
        self.sweep_interval = self.sweep_interval.min(sweep_interval);
        if let Some(pool) = self.capacity.index_of(class) {
            return pool;
        }
        let pool = self.capacity.index_or_insert(class);
        self.refresh_capacity_pool(pool);
        self.recount_in_flight();
        pool
    }
}
