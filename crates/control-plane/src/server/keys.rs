//! The replicated assignment of key ranges to upstreams, and the load on the keys.

use protocol::key_load::KeyLoadReport;
use protocol::key_ranges::{KeyRangeChange, KeyRangeMap};

use super::ControlServer;
use crate::configuration::Command;

/// The services whose keys are sharded among their upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardedServices {
    /// Log index of the configuration that this list is taken from.
    pub config_index: u64,
    /// The names of the services.
    pub services: Vec<String>,
}

impl ControlServer {
    /// Proposes changes of a service's key ranges, if this process leads. Each change is accepted or rejected when it
    /// is applied.
    pub fn propose_key_changes(&self, service: &str, changes: Vec<KeyRangeChange>) {
        let command = Command::AssignKeys {
            service: service.to_string(),
            changes,
        };
        let mut data = Vec::new();
        match ciborium::into_writer(&command, &mut data) {
            // If this process no longer leads, the next leader makes a new plan.
            Ok(()) => drop(self.with_raft_node(|node| node.propose(data))),
            Err(error) => tracing::error!(service, %error, "failed to encode key range changes"),
        }
    }

    /// Adds request counts by key, as reported by balancers.
    pub fn record_key_load(&self, counts: KeyLoadReport) {
        self.state.borrow_mut().key_load.record(counts);
    }

    /// Returns the request counts collected since the last call.
    pub fn take_key_load(&self) -> KeyLoadReport {
        self.state.borrow_mut().key_load.take()
    }

    /// Calls `read` with the replicated key ranges of a service.
    pub fn with_key_ranges<T>(&self, service: &str, read: impl FnOnce(&KeyRangeMap) -> T) -> T {
        let state = self.state.borrow();
        match state.log.state().keys.get(service) {
            Some(ranges) => read(ranges),
            None => read(&KeyRangeMap::default()),
        }
    }

    /// Returns the sharded services, unless the current configuration is the one at `known_index`.
    pub fn sharded_services_since(&self, known_index: u64) -> Option<ShardedServices> {
        let state = self.state.borrow();
        let replicated = state.log.state();
        (replicated.config_index != known_index).then(|| ShardedServices {
            config_index: replicated.config_index,
            services: replicated.sharded_services(),
        })
    }
}
