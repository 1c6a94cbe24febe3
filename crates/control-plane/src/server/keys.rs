//! Which upstream holds which keys, as agreed on, and how much work there is for them.

use protocol::key_load::KeyLoadReport;
use protocol::key_ranges::{KeyRangeChange, KeyRangeMap};

use super::ControlServer;
use crate::configuration::Command;

/// The services whose upstreams divide their keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardedServices {
    /// Index of the configuration that names them.
    pub config_index: u64,
    /// Their names.
    pub services: Vec<String>,
}

impl ControlServer {
    /// Puts changes of a service's key ranges into the log, if this process leads. Whether they count shows once they
    /// are applied.
    pub fn propose_key_changes(&self, service: &str, changes: Vec<KeyRangeChange>) {
        let command = Command::AssignKeys {
            service: service.to_string(),
            changes,
        };
        let mut data = Vec::new();
        match ciborium::into_writer(&command, &mut data) {
            // Where it no longer leads, the next leader plans anew.
            Ok(()) => drop(self.with_raft_node(|node| node.propose(data))),
            Err(error) => tracing::error!(service, %error, "key changes can't be encoded"),
        }
    }

    /// Adds requests that balancers counted by key.
    pub fn record_key_load(&self, counts: KeyLoadReport) {
        self.state.borrow_mut().key_load.record(counts);
    }

    /// Takes the counts of requests that were not taken yet.
    pub fn take_key_load(&self) -> KeyLoadReport {
        self.state.borrow_mut().key_load.take()
    }

    /// Looks at a service's key ranges, as agreed on.
    pub fn with_key_ranges<T>(&self, service: &str, look: impl FnOnce(&KeyRangeMap) -> T) -> T {
        let state = self.state.borrow();
        match state.log.state().keys.get(service) {
            Some(ranges) => look(ranges),
            None => look(&KeyRangeMap::default()),
        }
    }

    /// The services whose upstreams divide their keys, if the configuration is another than the one at `known_index`.
    pub fn sharded_services_since(&self, known_index: u64) -> Option<ShardedServices> {
        let state = self.state.borrow();
        let replicated = state.log.state();
        (replicated.config_index != known_index).then(|| ShardedServices {
            config_index: replicated.config_index,
            services: replicated.sharded_services(),
        })
    }
}
