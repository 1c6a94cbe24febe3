//! Explores a model of log replication with membership changes exhaustively: three members, a spare
//! node and two membership changes, with every order of elections, replications and commits, up to
//! two terms and four entries.
//!
//! It models the protocol's rules, not the implementation: a request and its response are one step,
//! and pre-votes, timeouts and snapshots are omitted because they affect when a step happens, not
//! whether it is allowed. The tests in `consensus` run the implementation.

use stateright::{Checker, Model, Property};

const MAX_TERMS: u8 = 2;
const MAX_ENTRIES: usize = 4;
const MAX_CHANGES: usize = 2;
/// The initial voters, one bit per node.
const INITIAL_VOTERS: u8 = 0b0111;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Payload {
    Empty,
    /// Sets the voters, one bit per node.
    Voters(u8),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Entry {
    term: u8,
    payload: Payload,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Node {
    term: u8,
    voted_for: Option<usize>,
    is_leader: bool,
    log: Vec<Entry>,
    commit_index: usize,
    /// On a leader, the number of its entries that each node has.
    match_index: Vec<usize>,
}

impl Node {
    fn voters(&self) -> u8 {
        let voters = |entry: &Entry| match entry.payload {
            Payload::Voters(voters) => Some(voters),
            Payload::Empty => None,
        };
        self.log
            .iter()
            .rev()
            .find_map(voters)
            .unwrap_or(INITIAL_VOTERS)
    }

    fn is_majority(&self, nodes: u8) -> bool {
        (nodes & self.voters()).count_ones() * 2 > self.voters().count_ones()
    }

    /// Returns the term and index of the last entry.
    fn last_position(&self) -> (u8, usize) {
        (self.log.last().map_or(0, |e| e.term), self.log.len())
    }

    fn become_follower(&mut self, term: u8) {
        if term > self.term {
            (self.term, self.voted_for) = (term, None);
        }
        // Only a leader's commit index matters, since `Cluster` records the committed entries.
        (self.is_leader, self.match_index, self.commit_index) = (false, Vec::new(), 0);
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Cluster {
    nodes: Vec<Node>,
    /// The entries committed by any leader.
    committed: Vec<Entry>,
    /// Whether two leaders have committed different entries at one index.
    diverged: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// A node is elected with the votes of a set of nodes, one bit each.
    Elect(usize, u8),
    /// A leader (first) adds or removes one voter.
    Change(usize, usize),
    /// A leader (first) replicates its log to another node.
    Replicate(usize, usize),
    /// A leader commits the entries that a majority has.
    Commit(usize),
}

/// The rules of the model. Each can be disabled to check that the exploration finds a violation.
#[derive(Clone)]
struct Rules {
    nodes: usize,
    single_pending_change: bool,
    vote_only_for_up_to_date_logs: bool,
}

const RULES: Rules = Rules {
    nodes: 4,
    single_pending_change: true,
    vote_only_for_up_to_date_logs: true,
};

impl Rules {
    fn can_vote(&self, voter: &Node, candidate: &Node, id: usize) -> bool {
        let term = candidate.term + 1;
        let has_vote =
            voter.term < term || (voter.term == term && voter.voted_for.is_none_or(|v| v == id));
        has_vote
            && (voter.last_position() <= candidate.last_position()
                || !self.vote_only_for_up_to_date_logs)
    }

    fn can_change_voters(&self, leader: &Node) -> bool {
        let is_change = |e: &&Entry| matches!(e.payload, Payload::Voters(_));
        let has_pending = leader.log[leader.commit_index..]
            .iter()
            .any(|e| is_change(&e));
        let has_own_commit =
            leader.commit_index > 0 && leader.log[leader.commit_index - 1].term == leader.term;
        let changes = leader.log.iter().filter(is_change).count();
        changes < MAX_CHANGES && (!self.single_pending_change || (has_own_commit && !has_pending))
    }

    /// Adds the elections that node `id` can win, each with the smallest possible majority.
    fn elections(&self, cluster: &Cluster, id: usize, actions: &mut Vec<Action>) {
        let candidate = &cluster.nodes[id];
        let votes = |nodes: u8| (0..self.nodes).filter(move |n| nodes & (1 << n) != 0);
        let can_campaign = candidate.term < MAX_TERMS && candidate.log.len() < MAX_ENTRIES;
        for nodes in 0..1u8 << self.nodes {
            let includes_self = nodes & (1 << id) != 0 && nodes & !candidate.voters() == 0;
            let grants = |n| n == id || self.can_vote(&cluster.nodes[n], candidate, id);
            let is_minimal = nodes.count_ones() == candidate.voters().count_ones() / 2 + 1;
            if can_campaign && includes_self && is_minimal && votes(nodes).all(grants) {
                actions.push(Action::Elect(id, nodes));
            }
        }
    }
}

impl Cluster {
    fn record_committed(&mut self, log: &[Entry]) {
        let common = log.len().min(self.committed.len());
        self.diverged |= log[..common] != self.committed[..common];
        if log.len() > common {
            self.committed = log.to_vec();
        }
    }

    /// Returns the leader of the latest term.
    fn leader(&self) -> Option<&Node> {
        self.nodes
            .iter()
            .filter(|n| n.is_leader)
            .max_by_key(|n| n.term)
    }
}

impl Model for Rules {
    type State = Cluster;
    type Action = Action;

    fn init_states(&self) -> Vec<Cluster> {
        vec![Cluster {
            nodes: vec![Node::default(); self.nodes],
            ..Cluster::default()
        }]
    }

    fn actions(&self, cluster: &Cluster, actions: &mut Vec<Action>) {
        for (id, node) in cluster.nodes.iter().enumerate() {
            self.elections(cluster, id, actions);
            if !node.is_leader {
                continue;
            }
            let is_behind = |to: &usize| {
                node.match_index[*to] < node.log.len() && cluster.nodes[*to].term <= node.term
            };
            actions.extend(
                (0..self.nodes)
                    .filter(is_behind)
                    .map(|to| Action::Replicate(id, to)),
            );
            if node.log.len() < MAX_ENTRIES && self.can_change_voters(node) {
                let others = (0..self.nodes).filter(|n| *n != id);
                actions.extend(others.map(|n| Action::Change(id, n)));
            }
            actions.push(Action::Commit(id));
        }
    }

    fn next_state(&self, before: &Cluster, action: Action) -> Option<Cluster> {
        let mut cluster = before.clone();
        match action {
            Action::Elect(id, nodes) => {
                let term = cluster.nodes[id].term + 1;
                for n in (0..self.nodes).filter(|n| nodes & (1 << n) != 0) {
                    cluster.nodes[n].become_follower(term);
                    cluster.nodes[n].voted_for = Some(id);
                }
                let leader = &mut cluster.nodes[id];
                leader.log.push(Entry {
                    term,
                    payload: Payload::Empty,
                });
                (leader.is_leader, leader.match_index) = (true, vec![0; self.nodes]);
                leader.match_index[id] = leader.log.len();
            }
            Action::Change(id, other) => {
                let leader = &mut cluster.nodes[id];
                let payload = Payload::Voters(leader.voters() ^ (1 << other));
                leader.log.push(Entry {
                    term: leader.term,
                    payload,
                });
                leader.match_index[id] = leader.log.len();
            }
            Action::Replicate(id, to) => {
                let leader = &before.nodes[id];
                let follower = &mut cluster.nodes[to];
                follower.become_follower(leader.term);
                if !follower.log.starts_with(&leader.log) {
                    follower.log.clone_from(&leader.log);
                }
                cluster.nodes[id].match_index[to] = leader.log.len();
            }
            Action::Commit(id) => {
                let leader = &before.nodes[id];
                let has = |n: usize| {
                    let nodes = (0..self.nodes).filter(|other| leader.match_index[*other] >= n);
                    nodes.fold(0, |all, other| all | 1 << other)
                };
                let can_commit = |n: &usize| {
                    leader.log[n - 1].term == leader.term && leader.is_majority(has(*n))
                };
                let commit_index = (leader.commit_index + 1..=leader.log.len())
                    .rev()
                    .find(can_commit)?;
                cluster.nodes[id].commit_index = commit_index;
                cluster.record_committed(&leader.log[..commit_index]);
            }
        }
        Some(cluster)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one leader per term", |_, cluster: &Cluster| {
                let mut terms: Vec<u8> = cluster
                    .nodes
                    .iter()
                    .filter(|n| n.is_leader)
                    .map(|n| n.term)
                    .collect();
                let leaders = terms.len();
                terms.sort_unstable();
                terms.dedup();
                terms.len() == leaders
            }),
            Property::always(
                "at most one entry is committed at each index",
                |_, cluster: &Cluster| !cluster.diverged,
            ),
            Property::always(
                "the latest leader has all committed entries",
                |_, cluster: &Cluster| {
                    cluster.leader().is_none_or(|leader| {
                        let latest = cluster
                            .committed
                            .last()
                            .is_none_or(|e| e.term <= leader.term);
                        !latest || leader.log.starts_with(&cluster.committed)
                    })
                },
            ),
            Property::sometimes("both changes are committed", |_, cluster: &Cluster| {
                let change = |e: &&Entry| matches!(e.payload, Payload::Voters(_));
                cluster.committed.iter().filter(change).count() == MAX_CHANGES
            }),
        ]
    }
}

/// Explores the model. Returns the violated properties and the number of states explored.
fn explore(rules: Rules) -> (Vec<&'static str>, usize) {
    let checker = rules.checker().threads(2).spawn_bfs().join();
    let expected = "both changes are committed";
    let violated = checker
        .discoveries()
        .into_keys()
        .filter(|name| *name != expected)
        .collect();
    assert!(
        checker.discovery(expected).is_some(),
        "the exploration never committed both changes"
    );
    println!(
        "{} states, depth {}",
        checker.unique_state_count(),
        checker.max_depth()
    );
    (violated, checker.unique_state_count())
}

#[test]
fn rules_hold_in_every_order() {
    let (violated, states) = explore(RULES);
    assert!(violated.is_empty(), "{violated:?}");
    assert!(states > 10_000, "{states} states");
}

#[test]
fn exploration_finds_missing_rules() {
    let (violated, _) = explore(Rules {
        single_pending_change: false,
        ..RULES
    });
    assert!(
        !violated.is_empty(),
        "the exploration missed the effect of two pending changes"
    );
    let (violated, _) = explore(Rules {
        vote_only_for_up_to_date_logs: false,
        ..RULES
    });
    assert!(
        !violated.is_empty(),
        "the exploration missed the effect of votes for outdated logs"
    );
}
