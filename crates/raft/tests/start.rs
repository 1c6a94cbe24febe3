//! How soon there is a leader.

use std::collections::{BTreeMap, VecDeque};

use raft::{
    AppendEntries, AppendResponse, Members, Message, MessageBody, PersistentState, RaftNode, Role,
    Snapshot, Timing, VoteResponse,
};

const TIMING: Timing = Timing {
    heartbeat_interval_ms: 300,
    election_timeout_ms: 1000,
};
const STEP: u64 = 10;

/// Members that start at these times, with messages that take 30 ms and are lost where the other side is not
/// up yet. Gives the time from the last start to the first leader, its term, and the term ten seconds later.
fn leader_after(starts: &[u64], seed: u64) -> (u64, u64, u64) {
    let ids: Vec<u64> = (1..=starts.len() as u64).collect();
    let voters: BTreeMap<u64, String> = ids.iter().map(|id| (*id, id.to_string())).collect();
    let members = Members {
        voters,
        ..Members::default()
    };
    let mut cores: BTreeMap<u64, RaftNode> = BTreeMap::new();
    let mut wire: VecDeque<(u64, Message)> = VecDeque::new();
    let last = *starts.iter().max().expect("some");
    let mut first: Option<(u64, u64)> = None;
    for now in (0..last + 60_000).step_by(STEP as usize) {
        for (id, start) in ids.iter().zip(starts) {
            if now >= *start && !cores.contains_key(id) {
                let snapshot = Snapshot::initial(members.clone());
                let stored = PersistentState {
                    snapshot: Some(snapshot),
                    ..PersistentState::default()
                };
                let seed = seed * 100 + id;
                cores.insert(
                    *id,
                    RaftNode::new(*id, TIMING, seed, stored, Members::default()),
                );
            }
        }
        while wire.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, message)) = wire.pop_front()
                && let Some(core) = cores.get_mut(&message.to)
            {
                core.step(message);
            }
        }
        for core in cores.values_mut() {
            core.tick(now);
            let mut out = core.take_ready();
            while !out.persist_requests.is_empty() {
                wire.extend(out.messages.drain(..).map(|m| (now + 30, m)));
                out.persist_requests
                    .drain(..)
                    .for_each(|s| core.on_persisted(s.sequence));
                out = core.take_ready();
            }
            wire.extend(out.messages.into_iter().map(|m| (now + 30, m)));
        }
        let terms = |c: &RaftNode| (c.status().role == Role::Leader).then_some(c.status().term);
        if first.is_none() {
            first = cores.values().find_map(terms).map(|term| (now, term));
        }
        if let Some((at, term)) = first
            && now >= at + 10_000
        {
            let latest = cores.values().map(|c| c.status().term).max().unwrap_or(0);
            return (at.saturating_sub(last), term, latest);
        }
    }
    panic!("no leader within a minute: seed {seed}");
}

#[test]
fn a_core_that_starts_as_a_whole_has_a_leader_before_an_election_time_out() {
    // Failure: after a loss of power of all machines nothing was served for up to two seconds more.
    let mut waits: Vec<u64> = (0..200)
        .map(|seed| leader_after(&[0, 40, 250, 410], seed).0)
        .collect();
    waits.sort_unstable();
    let (median, most) = (waits[100], waits[199]);
    assert!(
        median <= TIMING.heartbeat_interval_ms,
        "{median} ms in the median"
    );
    assert!(
        most <= 2 * TIMING.election_timeout_ms,
        "{most} ms at the most: a split vote or two"
    );
}

#[test]
fn a_member_that_starts_does_not_unseat_the_leader() {
    // It asks for votes at once; those who hear the leader don't answer.
    for seed in 0..50 {
        let (wait, term, latest) = leader_after(&[0, 0, 5000], seed);
        assert_eq!((wait, latest), (0, term), "seed {seed}");
    }
}

/// A leader knows that it led when it sent what a majority has answered, not when the answers came.
#[test]
fn a_leader_surely_led_when_it_sent_what_a_majority_answered() {
    let voters = (1..=5).map(|id| (id, id.to_string())).collect();
    let snapshot = Snapshot::initial(Members {
        voters,
        ..Members::default()
    });
    let stored = PersistentState {
        snapshot: Some(snapshot),
        ..PersistentState::default()
    };
    let mut core = RaftNode::new(1, TIMING, 7, stored, Members::default());
    let says = |core: &mut RaftNode, from, body| {
        let term = core.status().term
            + u64::from(matches!(
                body,
                MessageBody::VoteResponse(VoteResponse { pre_vote: true, .. })
            ));
        core.step(Message {
            from,
            to: 1,
            term,
            body,
        });
    };
    // The rounds that it has sent by `now`.
    let rounds = |core: &mut RaftNode, now| {
        core.tick(now);
        let out = core.take_ready();
        out.persist_requests
            .iter()
            .for_each(|s| core.on_persisted(s.sequence));
        let sent = out.messages.into_iter().chain(core.take_ready().messages);
        let round = |m: Message| match m.body {
            MessageBody::AppendEntries(AppendEntries {
                sequence: round, ..
            }) => Some(round),
            _ => None,
        };
        sent.filter_map(round).collect::<Vec<u64>>()
    };
    rounds(&mut core, 500);
    for pre in [true, false] {
        for from in [2, 3] {
            says(
                &mut core,
                from,
                MessageBody::VoteResponse(VoteResponse {
                    pre_vote: pre,
                    granted: true,
                }),
            );
        }
        rounds(&mut core, 500);
    }
    assert_eq!(
        (core.status().role, core.leadership_confirmed_at()),
        (Role::Leader, None),
        "nobody has answered"
    );
    let first = *rounds(&mut core, 900).last().expect("a heartbeat");
    let second = *rounds(&mut core, 1250).last().expect("another");
    assert!(second > first);
    let answer = |round| {
        MessageBody::AppendResponse(AppendResponse {
            accepted: true,
            match_index: 0,
            sequence: round,
        })
    };
    says(&mut core, 2, answer(first));
    assert_eq!(
        core.leadership_confirmed_at(),
        None,
        "two of five are no majority"
    );
    says(&mut core, 3, answer(first));
    assert_eq!(
        core.leadership_confirmed_at(),
        Some(900),
        "answered late, it was sent then"
    );
    says(&mut core, 4, answer(second));
    says(&mut core, 2, answer(second));
    assert_eq!(core.leadership_confirmed_at(), Some(1250));
}
