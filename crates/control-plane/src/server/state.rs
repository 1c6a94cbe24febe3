//! The state of one control process, divided by owner. Each owner keeps its fields private, so that only its own
//! methods change them; [`State`] implements the operations that involve more than one owner.
//!
//! | Owner | What it owns | Changed by |
//! | --- | --- | --- |
//! | [`ReplicatedLog`] | Raft node, replicated state, applied index | `server::log_driver` |
//! | [`PendingCommands`] | callers that wait for a command's outcome | `server::commands`, `server::log_driver` |
//! | [`ReadRequests`] | readers that wait for a read of the log | `server::contact`, `server::log_driver` |
//! | [`QuorumContact`] | when this process was last known to be current | `server::contact` |
//! | [`PeerRegistry`] | other control processes, and what they reported | `server::peers` |
//! | [`SessionRegistry`] | sessions of the data plane with this process | `server::sessions` |
//! | [`ZoneRegistry`] | each zone's upstreams | `server::zones` |
//! | [`ZoneCommands`] | evacuations and returns in progress | `server::commands`, `server::log_driver` |
//! | [`KeyLoadCounts`] | request counts by key, as reported by balancers | `server::keys` |
//!
//! All of it is in memory. The Raft log is also on disk (`store`); everything else is lost when the process ends and is
//! obtained again from peers, balancers and the platform.

mod key_load_counts;
mod peer_registry;
mod pending_commands;
mod quorum_contact;
mod read_requests;
mod replicated_log;
mod session_registry;
mod zone_commands;
mod zone_registry;

use std::rc::Rc;

use protocol::wire::{PeerMessage, Session};
use raft::{Entry, Payload, Snapshot};
use tokio::time::Instant;

pub(super) use self::key_load_counts::KeyLoadCounts;
pub(super) use self::peer_registry::{MessageAdmission, PeerRegistry};
pub(super) use self::pending_commands::{PendingCommand, PendingCommands};
pub(super) use self::quorum_contact::QuorumContact;
pub(super) use self::read_requests::{PeerReadToken, ReadRequests, ReadToken, Reader};
pub(super) use self::replicated_log::ReplicatedLog;
pub use self::session_registry::SessionId;
pub(super) use self::session_registry::SessionRegistry;
pub(super) use self::zone_commands::ZoneCommands;
pub(super) use self::zone_registry::ZoneRegistry;

use super::FatalError;
use crate::configuration::{Command, CommandOutcome};

/// Index of an entry in the log, with the term in which it was proposed. Only the two together identify an entry (Raft
/// paper, 5.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LogPosition {
    pub(super) term: u64,
    pub(super) index: u64,
}

/// The state of a [`super::ControlServer`], by owner.
pub(super) struct State {
    pub(super) log: ReplicatedLog,
    pub(super) pending_commands: PendingCommands,
    pub(super) reads: ReadRequests,
    pub(super) contact: QuorumContact,
    pub(super) peers: PeerRegistry,
    pub(super) sessions: SessionRegistry,
    pub(super) zones: ZoneRegistry,
    pub(super) zone_commands: ZoneCommands,
    pub(super) key_load: KeyLoadCounts,
}

impl State {
    /// Replaces the replicated state by that of a snapshot. The snapshot doesn't contain the outcomes of the commands
    /// that it covers, so their callers get none.
    pub(super) fn restore(&mut self, snapshot: &Snapshot) -> Result<(), FatalError> {
        self.pending_commands.discard_through(snapshot.index);
        self.log.restore(snapshot)
    }

    /// Applies a committed entry. Returns whether it changed anything that watchers see.
    pub(super) fn apply_entry(&mut self, entry: &Entry) -> Result<bool, FatalError> {
        let changed = match &entry.payload {
            Payload::Data(data) => {
                self.log.advance_applied(entry.index, data.len());
                ciborium::from_reader::<Command, _>(&data[..])
                    .map(|command| self.apply_command(entry, &command))
                    .map_err(|source| FatalError::UnreadableEntry {
                        index: entry.index,
                        source,
                    })
            }
            Payload::Members(_) => {
                self.log.advance_applied(entry.index, 0);
                Ok(true)
            }
            Payload::Empty => {
                self.log.advance_applied(entry.index, 0);
                Ok(false)
            }
        };
        // A command still pending at this index was proposed by an earlier leader and replaced by this entry.
        self.pending_commands.abandon(entry.index);
        changed
    }

    /// Applies a command and sends the outcome to its caller. Returns whether it changed anything.
    fn apply_command(&mut self, entry: &Entry, command: &Command) -> bool {
        let position = LogPosition {
            term: entry.term,
            index: entry.index,
        };
        let outcome = self.log.apply(entry.index, command);
        let is_applied = outcome == CommandOutcome::Applied;
        if is_applied && let Command::ZoneStep { step, .. } = command {
            self.zone_commands.record_applied_step(
                entry.index,
                step,
                self.log.state(),
                Instant::now(),
            );
        }
        self.pending_commands.complete(position, outcome);
        is_applied
    }

    /// Completes a read of the log. The reader must wait until the entry at `index` is applied; `None` means that the
    /// read failed.
    pub(super) fn complete_read(&mut self, token: ReadToken, index: Option<u64>) {
        match self.reads.remove(token) {
            Some(Reader::Local(answer)) => {
                // The caller may have timed out.
                let _ = answer.send(index);
            }
            Some(Reader::Peer { address, token }) if index.is_some() => {
                let token = token.get();
                self.peers
                    .send(address, PeerMessage::LeadershipConfirmed { token });
            }
            // A peer whose read failed repeats its request.
            Some(Reader::Peer { .. }) | None => {}
        }
    }

    /// Returns all open sessions with any control process, ordered by node.
    pub(super) fn all_sessions(&mut self) -> Rc<Vec<Session>> {
        self.sessions.all(self.peers.sessions())
    }
}
