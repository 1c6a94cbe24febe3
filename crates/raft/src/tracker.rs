//! The leader's view of the progress of the other members.

mod inflights;
mod outgoing_transfer;
mod progress;

pub(crate) use inflights::MAX_WINDOW_BYTES;
pub(crate) use outgoing_transfer::{OutgoingTransfer, TransferData};
pub(crate) use progress::{Progress, ProgressState};

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::{LogPosition, NodeId};

/// The progress of each other member. It is kept after this member loses leadership, until it
/// becomes leader again.
#[derive(Debug, Default)]
pub(crate) struct ProgressTracker {
    by_id: BTreeMap<NodeId, Progress>,
}

impl ProgressTracker {
    pub(crate) fn get(&self, id: NodeId) -> Option<&Progress> {
        self.by_id.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: NodeId) -> Option<&mut Progress> {
        self.by_id.get_mut(&id)
    }

    /// Removes a member's progress, so that messages can be built from it while the rest of the
    /// node is borrowed.
    pub(crate) fn take(&mut self, id: NodeId) -> Option<Progress> {
        self.by_id.remove(&id)
    }

    /// Puts back progress removed by [`ProgressTracker::take`].
    pub(crate) fn put(&mut self, id: NodeId, progress: Progress) {
        self.by_id.insert(id, progress);
    }

    pub(crate) fn clear(&mut self) {
        self.by_id.clear();
    }

    /// Stops tracking all but the given members.
    pub(crate) fn retain(&mut self, ids: &[NodeId]) {
        self.by_id.retain(|id, _| ids.contains(id));
    }

    /// Starts to track a member unless it is tracked already.
    pub(crate) fn track(&mut self, id: NodeId, next_index: u64, now: u64) {
        self.by_id
            .entry(id)
            .or_insert_with(|| Progress::new(next_index, now));
    }

    /// Returns the index of the last entry known to be synced on a member's disk.
    pub(crate) fn match_index(&self, id: NodeId) -> u64 {
        self.get(id).map_or(0, |progress| progress.match_index)
    }

    /// Returns the index of the last entry that all other members have, or will have once their
    /// transfers are complete. Returns `None` if there are no other members.
    pub(crate) fn min_replicated_index(&self) -> Option<u64> {
        self.by_id.values().map(Progress::replicated_index).min()
    }

    /// Returns the transfer data for `position` if it is already being sent to another member.
    pub(crate) fn transfer_data(&self, position: LogPosition) -> Option<Arc<TransferData>> {
        self.by_id
            .values()
            .find_map(|progress| match &progress.state {
                ProgressState::Transfer(transfer) if transfer.position() == position => {
                    Some(transfer.data().clone())
                }
                _ => None,
            })
    }
}
