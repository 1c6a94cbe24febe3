//! Who holds which keys, as agreed on, and how much work there is for them.

use protocol::key_load::{BucketLoad, KeyLoadReport};
use protocol::key_ranges::{KeyRangeChange, KeyRangeMap};

use super::ControlServer;
use crate::configuration::Command;

impl ControlServer {
    /// Puts changes of who holds which keys into the log; whether they count shows once they are agreed on.
    pub fn propose_key_changes(&self, service: &str, changes: Vec<KeyRangeChange>) {
        let mut data = Vec::new();
        let command = Command::AssignKeys {
            service: service.to_string(),
            changes,
        };
        if ciborium::into_writer(&command, &mut data).is_ok() {
            let _ = self.with_core(|core| core.propose(data));
        }
    }

    /// Balancers counted so many requests for keys.
    pub fn record_work(&self, counts: KeyLoadReport) {
        let mut inner = self.inner.borrow_mut();
        for (service, runs) in counts {
            let known = inner.work.entry(service).or_default();
            for BucketLoad { bucket, units } in runs {
                let known = known.entry(bucket).or_default();
                *known = known.saturating_add(units);
            }
        }
    }

    /// What was counted and not taken yet.
    pub fn take_work_counts(&self) -> KeyLoadReport {
        let work = std::mem::take(&mut self.inner.borrow_mut().work);
        work.into_iter()
            .map(|(service, runs)| {
                let load = |(bucket, units)| BucketLoad { bucket, units };
                (service, runs.into_iter().map(load).collect())
            })
            .collect()
    }

    /// Looks at a service's slices, as agreed on.
    pub fn with_key_ranges<T>(&self, service: &str, look: impl FnOnce(&KeyRangeMap) -> T) -> T {
        let inner = self.inner.borrow();
        match inner.agreed.keys.get(service) {
            Some(slices) => look(slices),
            None => look(&KeyRangeMap::default()),
        }
    }

    /// The place in the log of the configuration, and the services in it whose upstreams divide their keys, if
    /// it is another place than `known`.
    pub fn sharded_services_since(&self, known: u64) -> Option<(u64, Vec<String>)> {
        let inner = self.inner.borrow();
        let agreed = &inner.agreed;
        (agreed.config_index != known).then(|| (agreed.config_index, agreed.sharded()))
    }
}
