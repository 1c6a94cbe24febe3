//! Intervals and timeouts of the log.

/// Intervals and timeouts, in milliseconds of the clock that
/// [`RaftNode::tick`](crate::RaftNode::tick) is given. The election timeout is to be several
/// heartbeats, and a heartbeat more than a round trip and a disk sync (Raft paper, section 5.6).
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The leader sends each member a message at least this often.
    pub heartbeat_interval_ms: u64,
    /// A member that has not heard from a leader for this long campaigns, at up to twice this time.
    /// A leader that a majority has not answered for this long steps down.
    pub election_timeout_ms: u64,
}
