//! What a leader may conclude from the answers of others, message by message: nothing before an entry of its own term
//! is committed, and nothing once a majority no longer answers.

use raft::{
    AppendResponse, Entry, Members, Message, MessageBody, NodeId, Payload, PersistRequest,
    PersistentState, RaftNode, ReadState, Role, Snapshot, Timing, VoteResponse,
};

const TIMING: Timing = Timing {
    heartbeat_interval_ms: 300,
    election_timeout_ms: 1000,
};
/// When the election is, on the host's clock.
const BEGIN: u64 = 10_000;
const OWN: NodeId = 1;
const OTHER: NodeId = 2;
/// The entry that the leader before has left in the log, committed or not.
const LEFT: u64 = 1;

struct Elected {
    core: RaftNode,
}

impl Elected {
    /// The leader of the second term, elected by one of two others, before anybody has its first entry.
    fn new() -> Self {
        let voters = (1..=3).map(|id| (id, address(id))).collect();
        let snapshot = Snapshot::initial(Members {
            voters,
            ..Members::default()
        });
        let left = Entry {
            term: 1,
            index: LEFT,
            payload: Payload::Data(vec![7]),
        };
        let stored = PersistentState {
            term: 1,
            snapshot: Some(snapshot),
            entries: vec![left],
            ..PersistentState::default()
        };
        let core = RaftNode::new(OWN, TIMING, 1, stored, Members::default());
        let mut elected = Self { core };
        elected.core.tick(BEGIN);
        elected.hears(
            2,
            MessageBody::VoteResponse(VoteResponse {
                pre_vote: true,
                granted: true,
            }),
        );
        elected.sync();
        elected.hears(
            2,
            MessageBody::VoteResponse(VoteResponse {
                pre_vote: false,
                granted: true,
            }),
        );
        elected.sync();
        assert_eq!(elected.core.status().role, Role::Leader);
        assert_eq!(
            elected.core.status().last_log_index,
            LEFT + 1,
            "its own first entry"
        );
        elected
    }

    fn hears(&mut self, term: u64, body: MessageBody) {
        self.core.step(Message {
            from: OTHER,
            to: OWN,
            term,
            body,
        });
    }

    /// Its disk has all that it was to write.
    fn sync(&mut self) {
        let saves: Vec<PersistRequest> = self.core.take_ready().persist_requests;
        saves
            .iter()
            .for_each(|save| self.core.on_persisted(save.sequence));
    }

    /// The other member says that its disk has the log up to there.
    fn acknowledged(&mut self, index: u64) {
        self.hears(
            2,
            MessageBody::AppendResponse(AppendResponse {
                accepted: true,
                match_index: index,
                sequence: 1,
            }),
        );
        self.sync();
    }
}

fn address(id: NodeId) -> String {
    format!("10.0.0.{id}:1")
}

#[test]
fn what_an_earlier_leader_left_is_committed_only_with_an_entry_of_the_own_term() {
    let mut elected = Elected::new();
    // A majority has it, and still a third member with a newer term in its log could be elected and replace it.
    elected.acknowledged(LEFT);
    assert_eq!(elected.core.status().commit_index, 0);
    elected.acknowledged(LEFT + 1);
    assert_eq!(elected.core.status().commit_index, LEFT + 1);
}

#[test]
fn the_members_are_not_changed_before_an_entry_of_the_own_term_is_committed() {
    // Two leaders in a row could else each add a member of its own, and their majorities need not meet.
    let mut elected = Elected::new();
    elected.acknowledged(LEFT);
    elected.core.handle_join_request(9, address(9));
    elected.sync();
    assert_eq!(elected.core.status().last_log_index, LEFT + 1);
    assert!(!elected.core.members().contains(9));
    elected.acknowledged(LEFT + 1);
    assert!(elected.core.members().contains(9), "it learns from then on");
}

#[test]
fn a_leader_that_a_majority_no_longer_answers_stands_down() {
    // Where it is cut off, whoever asks it would else be told of a leader, and wait for what it can't do.
    let mut elected = Elected::new();
    elected.acknowledged(LEFT + 1);
    elected.core.tick(BEGIN + TIMING.election_timeout_ms);
    assert_eq!(
        elected.core.status().role,
        Role::Leader,
        "it was answered a moment ago"
    );
    elected.core.tick(BEGIN + TIMING.election_timeout_ms + 1);
    assert_eq!(elected.core.status().role, Role::Follower);
    assert_eq!(elected.core.status().leader, None);
}

#[test]
fn a_read_waits_for_a_round_that_began_after_it() {
    // Whoever answers a round that was under way may have elected another leader since, before the read came.
    let mut elected = Elected::new();
    elected.core.request_read(5);
    let answer = |round| {
        MessageBody::AppendResponse(AppendResponse {
            accepted: true,
            match_index: LEFT + 1,
            sequence: round,
        })
    };
    elected.hears(2, answer(1));
    assert!(elected.core.take_ready().read_states.is_empty());
    elected.hears(2, answer(2));
    assert_eq!(
        elected.core.take_ready().read_states,
        [ReadState {
            token: 5,
            index: Some(LEFT + 1)
        }]
    );
}
