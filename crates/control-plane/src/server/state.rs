//! What one control process knows, divided by owner. Each owner keeps its fields private, so that only its own methods
//! change them; [`State`] holds what takes more than one owner.
//!
//! | Owner | What it owns | Who changes it |
//! | --- | --- | --- |
//! | [`ReplicatedLog`] | member of the log, replicated state, applied index | `server::log_driver` |
//! | [`PendingCommands`] | callers that wait for a command's outcome | `server::commands`, `server::log_driver` |
//! | [`ReadRequests`] | callers that wait for a read of the log | `server::contact`, `server::log_driver` |
//! | [`QuorumContact`] | when this process was last known to be current | `server::contact` |
//! | [`PeerRegistry`] | other control processes, and what they said | `server::peers` |
//! | [`SessionRegistry`] | sessions of the data plane with this process | `server::sessions` |
//! | [`ZoneRegistry`] | each zone's upstreams | `server::zones` |
//! | [`ZoneCommands`] | evacuations and returns under way | `server::commands`, `server::log_driver` |
//! | [`KeyLoadCounts`] | requests that balancers counted by key | `server::keys` |
//!
//! All of it is in memory. The log's own state is also on disk (`store`); everything else is lost when the process ends
//! and is learnt anew from peers, balancers and the platform.

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

/// Position of an entry in the log, with the term that it was proposed in: only together do they name one entry
/// (Raft paper, 5.3).
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
    /// Replaces the replicated state by a snapshot's. Commands up to its last entry had their outcomes elsewhere:
    /// their callers here get none.
    pub(super) fn restore(&mut self, snapshot: &Snapshot) -> Result<(), FatalError> {
        self.pending_commands.discard_through(snapshot.index);
        self.log.restore(snapshot)
    }

    /// Applies a committed entry. Returns whether it changed anything that is watched.
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
        // A command that still waits at this index was proposed by an earlier leader, and replaced by this entry.
        self.pending_commands.abandon(entry.index);
        changed
    }

    /// Applies a command and tells its caller. Returns whether it changed anything.
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

    /// A read of the log has ended: `index` is to be applied before it is answered; `None` where it failed.
    pub(super) fn complete_read(&mut self, token: ReadToken, index: Option<u64>) {
        match self.reads.remove(token) {
            Some(Reader::Local(answer)) => {
                // A caller that no longer waits has timed out.
                let _ = answer.send(index);
            }
            Some(Reader::Peer { address, token }) if index.is_some() => {
                let token = token.get();
                self.peers
                    .send(address, PeerMessage::LeadershipConfirmed { token });
            }
            // A peer whose read failed asks again by itself.
            Some(Reader::Peer { .. }) | None => {}
        }
    }

    /// All sessions that stand with any control process, ordered by node.
    pub(super) fn all_sessions(&mut self) -> Rc<Vec<Session>> {
        self.sessions.all(self.peers.sessions())
    }
}
