//! Tests what a leader concludes from individual responses of other members.

use raft::{
    AppendEntries, AppendResponse, Entry, Members, Message, MessageBody, NodeId, Payload,
    PersistentState, RaftNode, ReadState, Role, VoteResponse,
};

use crate::support::{self, TIMING};

/// The time of the election on the host's clock.
const ELECTION_AT_MS: u64 = 10_000;
const OWN: NodeId = 1;
const OTHER: NodeId = 2;
/// The index of an entry from term 1 that may or may not have been committed.
const EARLIER_INDEX: u64 = 1;

/// A leader in term 2 of a cluster of three, of which only one other member responds.
struct Elected {
    node: RaftNode,
}

impl Elected {
    /// Returns the leader right after its election, before any other member has its first entry.
    fn new() -> Self {
        let members = Members {
            voters: (1..=3).map(|id| (id, address(id))).collect(),
            ..Members::default()
        };
        let stored = PersistentState {
            term: 1,
            entries: vec![Entry {
                term: 1,
                index: EARLIER_INDEX,
                payload: Payload::Data(vec![7]),
            }],
            ..support::initial_state(members)
        };
        let mut elected = Self {
            node: support::start_node(OWN, 1, stored),
        };
        elected.node.tick(ELECTION_AT_MS);
        for pre_vote in [true, false] {
            elected.receive(vote(pre_vote));
            elected.sync();
        }
        let status = elected.node.status();
        assert_eq!(status.role, Role::Leader);
        assert_eq!(
            status.last_log_index,
            EARLIER_INDEX + 1,
            "a new leader appends an entry"
        );
        elected
    }

    /// Delivers a message from the other member to the leader.
    fn receive(&mut self, body: MessageBody) {
        self.node.step(Message {
            from: OTHER,
            to: OWN,
            term: 2,
            body,
        });
    }

    fn sync(&mut self) {
        let ready = self.node.take_ready();
        support::sync(&mut self.node, &ready);
    }

    /// Delivers the other member's acknowledgement of the log up to `match_index`.
    fn receive_acknowledgement(&mut self, match_index: u64) {
        self.receive(acknowledgement(match_index, 1));
        self.sync();
    }

    fn commit_index(&self) -> u64 {
        self.node.status().commit_index
    }
}

fn address(id: NodeId) -> String {
    format!("10.0.0.{id}:1")
}

fn vote(pre_vote: bool) -> MessageBody {
    MessageBody::VoteResponse(VoteResponse {
        pre_vote,
        granted: true,
    })
}

fn acknowledgement(match_index: u64, sequence: u64) -> MessageBody {
    MessageBody::AppendResponse(AppendResponse {
        accepted: true,
        match_index,
        sequence,
    })
}

#[test]
fn earlier_term_entry_commits_only_with_own_entry() {
    let mut elected = Elected::new();
    // A majority has the entry, but a third member whose log ends in a newer term could still be
    // elected and overwrite it.
    elected.receive_acknowledgement(EARLIER_INDEX);
    assert_eq!(elected.commit_index(), 0);
    elected.receive_acknowledgement(EARLIER_INDEX + 1);
    assert_eq!(elected.commit_index(), EARLIER_INDEX + 1);
}

#[test]
fn no_membership_change_before_own_commit() {
    // Otherwise two consecutive leaders could each add a different member, and their majorities
    // might not overlap.
    let mut elected = Elected::new();
    elected.receive_acknowledgement(EARLIER_INDEX);
    elected.node.handle_join_request(9, address(9));
    elected.sync();
    assert_eq!(elected.node.status().last_log_index, EARLIER_INDEX + 1);
    assert!(!elected.node.members().contains(9));
    elected.receive_acknowledgement(EARLIER_INDEX + 1);
    assert!(
        elected.node.members().contains(9),
        "the applicant becomes a learner"
    );
}

#[test]
fn leader_without_quorum_steps_down() {
    // Otherwise callers of a leader without a quorum would wait for requests that cannot complete.
    let mut elected = Elected::new();
    elected.receive_acknowledgement(EARLIER_INDEX + 1);
    let deadline = ELECTION_AT_MS + TIMING.election_timeout_ms;
    elected.node.tick(deadline);
    assert_eq!(
        elected.node.status().role,
        Role::Leader,
        "a response arrived within the timeout"
    );
    elected.node.tick(deadline + 1);
    assert_eq!(elected.node.status().role, Role::Follower);
    assert_eq!(elected.node.status().leader, None);
}

#[test]
fn read_waits_for_a_later_broadcast() {
    // A member that responded to a broadcast from before the read may have elected another leader
    // by the time the read was requested.
    let mut elected = Elected::new();
    elected.node.request_read(5);
    elected.receive(acknowledgement(EARLIER_INDEX + 1, 1));
    assert!(elected.node.take_ready().read_states.is_empty());
    elected.receive(acknowledgement(EARLIER_INDEX + 1, 2));
    let confirmed = ReadState {
        token: 5,
        index: Some(EARLIER_INDEX + 1),
    };
    assert_eq!(elected.node.take_ready().read_states, [confirmed]);
}

/// Ticks a node and returns the sequence numbers of the broadcasts that it sends.
fn broadcasts_by(node: &mut RaftNode, now: u64) -> Vec<u64> {
    node.tick(now);
    let ready = node.take_ready();
    support::sync(node, &ready);
    let sent = ready.messages.into_iter().chain(node.take_ready().messages);
    let sequence = |message: Message| match message.body {
        MessageBody::AppendEntries(AppendEntries { sequence, .. }) => Some(sequence),
        _ => None,
    };
    sent.filter_map(sequence).collect()
}

#[test]
fn leadership_is_confirmed_as_of_the_send_time() {
    let mut node = support::start_node(1, 7, support::initial_state(support::voters(1..=5)));
    let receive = |node: &mut RaftNode, from, term, body| {
        node.step(Message {
            from,
            to: 1,
            term,
            body,
        });
    };
    broadcasts_by(&mut node, 500);
    for pre_vote in [true, false] {
        for from in [2, 3] {
            let term = node.status().term + u64::from(pre_vote);
            receive(&mut node, from, term, vote(pre_vote));
        }
        broadcasts_by(&mut node, 500);
    }
    assert_eq!(
        (node.status().role, node.leadership_confirmed_at()),
        (Role::Leader, None),
        "no member has responded yet"
    );
    let first = *broadcasts_by(&mut node, 900).last().expect("a heartbeat");
    let second = *broadcasts_by(&mut node, 1250).last().expect("another");
    assert!(second > first);
    let term = node.status().term;
    receive(&mut node, 2, term, acknowledgement(0, first));
    assert_eq!(
        node.leadership_confirmed_at(),
        None,
        "two of five members are not a majority"
    );
    receive(&mut node, 3, term, acknowledgement(0, first));
    assert_eq!(
        node.leadership_confirmed_at(),
        Some(900),
        "confirmed as of the time at which the broadcast was sent"
    );
    receive(&mut node, 4, term, acknowledgement(0, second));
    receive(&mut node, 2, term, acknowledgement(0, second));
    assert_eq!(node.leadership_confirmed_at(), Some(1250));
}
