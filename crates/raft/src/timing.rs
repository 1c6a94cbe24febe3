//! Intervals and timeouts of the protocol.

/// Intervals and timeouts, in milliseconds of the clock passed to
/// [`RaftNode::tick`](crate::RaftNode::tick).
///
/// The election timeout should be several heartbeat intervals, and a heartbeat interval longer than
/// a round trip plus a disk sync (Raft paper, section 5.6).
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The maximum time between two messages from the leader to each member.
    pub heartbeat_interval_ms: u64,
    /// The time without a message from a leader after which a member campaigns, after an additional
    /// delay of up to the same time. A leader steps down if a majority has not responded to it for
    /// this long.
    pub election_timeout_ms: u64,
}
