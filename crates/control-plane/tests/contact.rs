//! What a control server serves while it is cut off, or after it was frozen: nothing of the replicated state, no
//! confirmation, and no leader that it did not hear lately. Balancers move to a server in contact.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::balancers::{SimulatedBalancer, balancer, wait_until};
use common::{COMMAND_TIMEOUT, Cluster, DISKLESS, VOTERS, change, run_on_paused_time, settings};
use control_plane::configuration::CommandOutcome;
use control_plane::server::{ControlServer, Indeterminate};
use tokio::time::{Instant, sleep};

const ALL: [usize; VOTERS] = [0, 1, 2, 3, 4];
const SECOND: Duration = Duration::from_millis(1000);
/// A new configuration has to be in force within this.
const APPLY_TIMEOUT: Duration = Duration::from_millis(2500);

/// Runs the test twice: with a leader, and with a follower, as the server in trouble.
fn with_leader_and_follower<T: Future<Output = ()>>(test: impl Fn(Rc<Cluster>, usize) -> T) {
    for leads in [true, false] {
        run_on_paused_time(async {
            let cluster = Cluster::new();
            accept_revision(&cluster, &ALL, 0, 1).await;
            let leader = cluster.leader().expect("it has agreed");
            let follower = (leader + 1) % VOTERS;
            test(cluster, if leads { leader } else { follower }).await;
        });
    }
}

/// Has a configuration of this revision, with a target of its own, acknowledged by one of these servers.
async fn accept_revision(cluster: &Rc<Cluster>, at: &[usize], base: u64, revision: u64) {
    let end = Instant::now() + 6 * SECOND;
    let answer = cluster
        .submit(at, &change(base, revision, revision), end)
        .await;
    assert_eq!(answer, Some(true), "revision {revision}");
}

/// What the configuration of a revision contains.
fn target_of(revision: u64) -> String {
    format!("\"target_ms\":{revision},")
}

fn all_but(server: usize) -> Vec<usize> {
    ALL.into_iter().filter(|i| *i != server).collect()
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one partition, from its beginning to its end"
)]
fn partitioned_server_sends_nothing_stale_and_its_balancers_move() {
    with_leader_and_follower(|cluster, cut| async move {
        let (holder, _one) = balancer(&cluster, "holder", &[cut], &ALL);
        let (captive, _two) = balancer(&cluster, "captive", &[cut], &[cut]);
        let others =
            ["a", "b", "c"].map(|name| balancer(&cluster, name, &[(cut + 2) % VOTERS], &ALL));
        let (pair, _five) = balancer(&cluster, "pair", &[cut], &[cut, (cut + 1) % VOTERS]);
        let all = 3 + others.len() as u32;
        assert!(
            wait_until(2 * SECOND, || holder.has(&target_of(1))
                && captive.has(&target_of(1)))
            .await
        );
        assert!(wait_until(2 * SECOND, || captive.fleet_size.get() == all).await);
        cluster.isolate(cut, true);
        sleep(Duration::from_millis(100)).await;
        accept_revision(&cluster, &all_but(cut), 1, 2).await;
        let acknowledged = Instant::now();
        let (starter, _three) = balancer(&cluster, "starter", &[cut], &ALL);
        let (lost, _four) = balancer(&cluster, "lost", &[cut], &[cut]);
        assert!(
            wait_until(APPLY_TIMEOUT, || holder.has(&target_of(2))).await,
            "it had two sessions"
        );
        assert!(
            wait_until(APPLY_TIMEOUT, || starter.has(&target_of(2))).await,
            "it begins elsewhere"
        );
        assert_eq!(
            starter.dialled.borrow()[0],
            cut,
            "it did call the one that is cut off"
        );
        assert_eq!(
            starter.received.borrow().len(),
            1,
            "and was told nothing old there"
        );
        // All that can have moved away, and had a session somewhere all the time.
        let leader = cluster
            .server(cluster.leader().expect("others lead"))
            .expect("up");
        let server = cluster.server(cut).expect("up");
        let stands = |at: &ControlServer, balancer: &SimulatedBalancer| {
            at.all_sessions()
                .iter()
                .any(|s| s.balancer.node == balancer.node && s.ready)
        };
        while acknowledged.elapsed() < 18 * SECOND {
            sleep(Duration::from_millis(20)).await;
            for balancer in [&holder, &starter] {
                assert!(stands(&leader, balancer), "{:?}", acknowledged.elapsed());
                let moved = acknowledged.elapsed() < 3 * SECOND || !stands(&server, balancer);
                assert!(moved, "one that can have better stays");
            }
        }
        assert!(!server.has_quorum_contact());
        assert_eq!(
            lost.config(),
            0,
            "one that starts with nothing is not ready"
        );
        assert!(
            captive.has(&target_of(1)),
            "one that holds something keeps it"
        );
        assert!(
            captive.fleet_size.get() >= all,
            "nor does it take the others for gone: {}",
            captive.fleet_size.get()
        );
        accept_revision(&cluster, &all_but(cut), 2, 3).await;
        let soon = Duration::from_millis(200);
        assert!(
            wait_until(soon, || pair.has(&target_of(3))).await,
            "its other session brings the news"
        );
        cluster.isolate(cut, false);
        assert!(
            wait_until(2 * APPLY_TIMEOUT, || lost.has(&target_of(3))
                && captive.has(&target_of(3)))
            .await
        );
        assert_eq!(lost.received.borrow().len(), 1);
    });
}

#[test]
fn balancer_with_both_sessions_out_of_contact_moves_one_at_a_time() {
    with_leader_and_follower(|cluster, cut| async move {
        let partner = (cut + 1) % VOTERS;
        // All others but one are out of its reach.
        let reaches = [cut, partner, (cut + 2) % VOTERS];
        let (holder, _one) = balancer(&cluster, "holder", &[cut, partner], &reaches);
        let both =
            || [cut, partner].map(|i| cluster.server(i).expect("up").has_session(&holder.node));
        let stands = || holder.has(&target_of(1)) && both() == [true, true];
        assert!(
            wait_until(2 * SECOND, stands).await,
            "both stand on one side"
        );
        cluster.split(&[cut, partner], true);
        let began = Instant::now();
        while began.elapsed() < 20 * SECOND {
            sleep(Duration::from_millis(10)).await;
            let servers = ALL.into_iter().filter_map(|i| cluster.server(i));
            let sessions = servers
                .filter(|server| server.has_session(&holder.node))
                .count();
            assert!(
                sessions > 0,
                "after {:?} no session stands",
                began.elapsed()
            );
        }
        let majority: Vec<usize> = all_but(cut).into_iter().filter(|i| *i != partner).collect();
        accept_revision(&cluster, &majority, 1, 2).await;
        assert!(
            wait_until(APPLY_TIMEOUT, || holder.has(&target_of(2))).await,
            "it found the one in contact"
        );
    });
}

#[test]
fn commands_and_reads_in_a_minority_fail_within_the_callers_second() {
    with_leader_and_follower(|cluster, cut| async move {
        let partner = (cut + 1) % VOTERS;
        cluster.split(&[cut, partner], true);
        let began = Instant::now();
        let mut n = 0;
        while began.elapsed() < 20 * SECOND {
            n += 1;
            let i = if n % 2 == 0 { cut } else { partner };
            let server = cluster.server(i).expect("up");
            // On the current revision, or on one that is not there yet: neither may be decided on.
            let command = change(1 + n % 3, 10 + n, 10);
            let asked = Instant::now();
            let led =
                [cut, partner].map(|i| cluster.server(i).is_some_and(|server| server.is_leader()));
            match server.submit_command(&command, COMMAND_TIMEOUT).await {
                Err(Indeterminate::NoMajority | Indeterminate::NotLeader(None)) => {}
                Err(Indeterminate::NotLeader(Some(at))) => {
                    let own = [cut, partner].map(|i| settings(i).internal_addr() == at);
                    let led = own[0] && led[0] || own[1] && led[1];
                    let early = began.elapsed() < SECOND;
                    assert!(
                        at != settings(i).internal_addr() && (led || early),
                        "sent to {at}"
                    );
                }
                Ok(outcome) => panic!("{outcome:?} in a minority"),
            }
            assert!(asked.elapsed() < SECOND, "{:?}", asked.elapsed());
            let asked = Instant::now();
            assert!(
                !server.wait_until_current(COMMAND_TIMEOUT).await,
                "nothing is read in a minority"
            );
            assert!(asked.elapsed() < SECOND);
        }
    });
}

#[test]
fn callers_are_not_redirected_to_a_dead_leader() {
    with_leader_and_follower(|cluster, _| async move {
        cluster.start(DISKLESS);
        sleep(3 * SECOND).await;
        let old = cluster.leader().expect("one leads");
        let at = |i: usize| Some(settings(i).internal_addr());
        let named = |i: usize| cluster.server(i).expect("up").leader_address();
        for i in all_but(old).into_iter().chain([DISKLESS]) {
            assert_eq!(named(i), at(old), "n{i} knows it");
        }
        cluster.kill(old);
        // A command that comes while nobody leads is not rejected if a leader is elected soon.
        let follower =
            |i: &usize| *i != old && !cluster.server(*i).is_some_and(|server| server.is_leader());
        let (answer, new) = loop {
            let waited = cluster.leader().is_none();
            let asked = ALL
                .into_iter()
                .find(follower)
                .and_then(|i| cluster.server(i))
                .expect("up");
            let answer = asked
                .submit_command(&change(1, 2, 2), COMMAND_TIMEOUT)
                .await;
            assert_ne!(
                answer,
                Err(Indeterminate::NotLeader(at(old))),
                "sent to one that is gone"
            );
            if let Some(new) = cluster
                .leader()
                .filter(|_| answer != Err(Indeterminate::NotLeader(None)))
            {
                assert!(waited, "it was turned away before");
                break (answer, new);
            }
            sleep(Duration::from_millis(1)).await;
        };
        for i in all_but(old) {
            assert_ne!(named(i), at(old), "n{i} sends callers to one that is gone");
        }
        assert!(
            answer == Ok(CommandOutcome::Applied)
                || answer == Err(Indeterminate::NotLeader(at(new)))
        );
        // It says so at once to one without a disk, which knows it from what is said only.
        assert!(wait_until(Duration::from_millis(20), || named(DISKLESS) == at(new)).await);
        cluster.isolate(DISKLESS, true);
        sleep(Duration::from_millis(1600)).await;
        assert_eq!(named(DISKLESS), None, "it hears nobody");
    });
}

#[test]
fn frozen_server_wakes_out_of_contact() {
    with_leader_and_follower(|cluster, frozen| async move {
        let (holder, _one) = balancer(&cluster, "holder", &[frozen], &ALL);
        assert!(wait_until(2 * SECOND, || holder.has(&target_of(1))).await);
        cluster.freeze(frozen, true);
        accept_revision(&cluster, &all_but(frozen), 1, 2).await;
        assert!(
            wait_until(APPLY_TIMEOUT, || holder.has(&target_of(2))).await,
            "the other session tells it"
        );
        sleep(15 * SECOND).await;
        // Its connection waits until the server wakes.
        let (starter, _two) = balancer(&cluster, "starter", &[frozen], &[frozen]);
        sleep(Duration::from_millis(100)).await;
        assert_eq!(starter.dialled.borrow()[0], frozen);
        cluster.freeze(frozen, false);
        let server = cluster.server(frozen).expect("up");
        assert!(!server.has_quorum_contact(), "before it has run at all");
        // On the revision that is in force, of which it has not heard.
        let end = Instant::now() + 3 * SECOND;
        loop {
            match server
                .submit_command(&change(2, 3, 3), COMMAND_TIMEOUT)
                .await
            {
                Ok(CommandOutcome::Applied) => break,
                Ok(outcome) => panic!("{outcome:?}: it judged by what it knew before"),
                Err(Indeterminate::NotLeader(Some(at)))
                    if at != server.control_node.internal_addr =>
                {
                    let leader = ALL.into_iter().find(|i| settings(*i).internal_addr() == at);
                    let leader = leader.and_then(|i| cluster.server(i)).expect("up");
                    assert!(leader.is_leader() || Instant::now() < end, "sent to {at}");
                    if leader.is_leader() {
                        break;
                    }
                }
                Err(_) => assert!(Instant::now() < end, "no command is applied"),
            }
            sleep(Duration::from_millis(50)).await;
        }
        assert!(wait_until(APPLY_TIMEOUT, || starter.config() > 0).await);
        let received = starter.received.borrow();
        assert!(
            !received[0].text.contains(&target_of(1)),
            "it was told what was old"
        );
    });
}

#[test]
fn frozen_server_forgets_sessions_and_learns_them_anew() {
    with_leader_and_follower(|cluster, frozen| async move {
        let sessions: Vec<_> = all_but(frozen)
            .into_iter()
            .flat_map(|i| {
                let (near, any) = (format!("near-{i}"), format!("any-{i}"));
                [
                    balancer(&cluster, &near, &[i], &[i]),
                    balancer(&cluster, &any, &[i], &all_but(frozen)),
                ]
            })
            .collect();
        sleep(3 * SECOND).await;
        let server = cluster.server(frozen).expect("up");
        assert_eq!(server.all_sessions().len(), sessions.len());
        cluster.freeze(frozen, true);
        sleep(10 * SECOND).await;
        cluster.freeze(frozen, false);
        // As the directory does it.
        server.expire_silent_peers();
        assert!(
            server.all_sessions().is_empty(),
            "nobody was heard of for ten seconds"
        );
        assert!(
            wait_until(2 * SECOND, || server.all_sessions().len() == sessions.len()).await,
            "all are told"
        );
    });
}

#[test]
fn diskless_server_is_never_in_contact_and_delays_no_update() {
    with_leader_and_follower(|cluster, follower| async move {
        cluster.start(DISKLESS);
        sleep(2 * SECOND).await;
        let diskless = cluster.server(DISKLESS).expect("up");
        assert!(
            !diskless.wait_until_current(SECOND).await,
            "it holds nothing of what is agreed on"
        );
        assert!(!diskless.has_quorum_contact());
        // It reaches one voter alone, so that it has nobody else for its other session.
        let (holder, _one) = balancer(&cluster, "holder", &[follower], &[follower, DISKLESS]);
        assert!(wait_until(2 * APPLY_TIMEOUT, || holder.has(&target_of(1))).await);
        accept_revision(&cluster, &ALL, 1, 2).await;
        let soon = Duration::from_millis(200);
        assert!(
            wait_until(soon, || holder.has(&target_of(2))).await,
            "told by who has it, not a moment later"
        );
    });
}
