//! Tests control servers that are partitioned or have been frozen. Such a server must not serve the replicated state,
//! confirm commands, or name a leader that it has not heard from recently, and its balancers must move to a server in
//! quorum contact.

mod common;

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use common::balancers::{SimulatedBalancer, balancer, wait_until};
use common::{COMMAND_TIMEOUT, Cluster, DISKLESS, VOTERS, change, run_on_paused_time, settings};
use control_plane::configuration::CommandOutcome;
use control_plane::connections::serve_connection;
use control_plane::server::{ControlServer, Indeterminate};
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, sleep};

const ALL: [usize; VOTERS] = [0, 1, 2, 3, 4];
const SECOND: Duration = Duration::from_millis(1000);
/// The time within which a new configuration must be in effect.
const APPLY_TIMEOUT: Duration = Duration::from_millis(2500);

/// Runs the test with the leader and with a follower as the affected server.
fn with_leader_and_follower<T: Future<Output = ()>>(test: impl Fn(Rc<Cluster>, usize) -> T) {
    for leads in [true, false] {
        run_on_paused_time(async {
            let cluster = Cluster::new();
            accept_revision(&cluster, &ALL, 0, 1).await;
            let leader = cluster.leader().expect("a leader");
            let follower = (leader + 1) % VOTERS;
            test(cluster, if leads { leader } else { follower }).await;
        });
    }
}

/// Submits a configuration with the given revision, and a `target_ms` equal to it, to the given servers until it is
/// acknowledged.
async fn accept_revision(cluster: &Rc<Cluster>, at: &[usize], base: u64, revision: u64) {
    let end = Instant::now() + 6 * SECOND;
    let answer = cluster
        .submit(at, &change(base, revision, revision), end)
        .await;
    assert_eq!(answer, Some(true), "revision {revision}");
}

/// Returns the text that identifies the configuration of a revision.
fn target_of(revision: u64) -> String {
    format!("\"target_ms\":{revision},")
}

fn all_but(server: usize) -> Vec<usize> {
    ALL.into_iter().filter(|i| *i != server).collect()
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one partition, from beginning to end"
)]
fn partitioned_server_sends_nothing_stale_and_its_balancers_move() {
    with_leader_and_follower(|cluster, isolated| async move {
        // `captive` and `lost` reach only the partitioned server, `pair` also one other, and the rest reach all.
        let (holder, _one) = balancer(&cluster, "holder", &[isolated], &ALL);
        let (captive, _two) = balancer(&cluster, "captive", &[isolated], &[isolated]);
        let others =
            ["a", "b", "c"].map(|name| balancer(&cluster, name, &[(isolated + 2) % VOTERS], &ALL));
        let (pair, _five) = balancer(
            &cluster,
            "pair",
            &[isolated],
            &[isolated, (isolated + 1) % VOTERS],
        );
        let all = 3 + others.len() as u32;
        assert!(
            wait_until(2 * SECOND, || holder.has(&target_of(1))
                && captive.has(&target_of(1)))
            .await
        );
        assert!(wait_until(2 * SECOND, || captive.fleet_size.get() == all).await);
        cluster.isolate(isolated, true);
        sleep(Duration::from_millis(100)).await;
        accept_revision(&cluster, &all_but(isolated), 1, 2).await;
        let acknowledged = Instant::now();
        let (starter, _three) = balancer(&cluster, "starter", &[isolated], &ALL);
        let (lost, _four) = balancer(&cluster, "lost", &[isolated], &[isolated]);
        assert!(
            wait_until(APPLY_TIMEOUT, || holder.has(&target_of(2))).await,
            "its second session does not deliver the update"
        );
        assert!(
            wait_until(APPLY_TIMEOUT, || starter.has(&target_of(2))).await,
            "it gets no configuration from another server"
        );
        assert_eq!(
            starter.dialled.borrow()[0],
            isolated,
            "it does not dial the partitioned server first"
        );
        assert_eq!(
            starter.received.borrow().len(),
            1,
            "the partitioned server sent it a stale configuration"
        );
        // Balancers that can reach another server move there and always keep a session.
        let leader = cluster
            .server(cluster.leader().expect("another leader"))
            .expect("up");
        let server = cluster.server(isolated).expect("up");
        let has_ready_session = |at: &ControlServer, balancer: &SimulatedBalancer| {
            at.all_sessions()
                .iter()
                .any(|s| s.balancer.node == balancer.node && s.ready)
        };
        while acknowledged.elapsed() < 18 * SECOND {
            sleep(Duration::from_millis(20)).await;
            for balancer in [&holder, &starter] {
                assert!(
                    has_ready_session(&leader, balancer),
                    "no ready session after {:?}",
                    acknowledged.elapsed()
                );
                let moved =
                    acknowledged.elapsed() < 3 * SECOND || !has_ready_session(&server, balancer);
                assert!(moved, "a balancer that reaches other servers stays");
            }
        }
        assert!(!server.has_quorum_contact());
        assert_eq!(
            lost.config(),
            0,
            "a balancer without a configuration became ready"
        );
        assert!(
            captive.has(&target_of(1)),
            "a balancer dropped its configuration"
        );
        assert!(
            captive.fleet_size.get() >= all,
            "the balancer considers others gone: {} left",
            captive.fleet_size.get()
        );
        accept_revision(&cluster, &all_but(isolated), 2, 3).await;
        let update_timeout = Duration::from_millis(200);
        assert!(
            wait_until(update_timeout, || pair.has(&target_of(3))).await,
            "its other session does not deliver the update"
        );
        cluster.isolate(isolated, false);
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
    with_leader_and_follower(|cluster, isolated| async move {
        let partner = (isolated + 1) % VOTERS;
        // The balancer reaches only one other server.
        let reachable = [isolated, partner, (isolated + 2) % VOTERS];
        let (holder, _one) = balancer(&cluster, "holder", &[isolated, partner], &reachable);
        let both = || {
            [isolated, partner].map(|i| cluster.server(i).expect("up").has_session(&holder.node))
        };
        let is_ready = || holder.has(&target_of(1)) && both() == [true, true];
        assert!(
            wait_until(2 * SECOND, is_ready).await,
            "no session with each server of the minority"
        );
        cluster.split(&[isolated, partner], true);
        let began = Instant::now();
        while began.elapsed() < 20 * SECOND {
            sleep(Duration::from_millis(10)).await;
            let servers = ALL.into_iter().filter_map(|i| cluster.server(i));
            let sessions = servers
                .filter(|server| server.has_session(&holder.node))
                .count();
            assert!(sessions > 0, "no session after {:?}", began.elapsed());
        }
        let majority: Vec<usize> = all_but(isolated)
            .into_iter()
            .filter(|i| *i != partner)
            .collect();
        accept_revision(&cluster, &majority, 1, 2).await;
        assert!(
            wait_until(APPLY_TIMEOUT, || holder.has(&target_of(2))).await,
            "it does not find the server in contact"
        );
    });
}

#[test]
fn commands_and_reads_in_a_minority_fail_within_the_callers_second() {
    with_leader_and_follower(|cluster, isolated| async move {
        let partner = (isolated + 1) % VOTERS;
        cluster.split(&[isolated, partner], true);
        let began = Instant::now();
        let mut n = 0;
        while began.elapsed() < 20 * SECOND {
            n += 1;
            let i = if n % 2 == 0 { isolated } else { partner };
            let server = cluster.server(i).expect("up");
            // Neither a change of the current revision nor one of a future revision may be decided.
            let command = change(1 + n % 3, 10 + n, 10);
            let asked = Instant::now();
            let led = [isolated, partner]
                .map(|i| cluster.server(i).is_some_and(|server| server.is_leader()));
            match server.submit_command(&command, COMMAND_TIMEOUT).await {
                Err(Indeterminate::NoMajority | Indeterminate::NotLeader(None)) => {}
                Err(Indeterminate::NotLeader(Some(at))) => {
                    let own = [isolated, partner].map(|i| settings(i).internal_addr() == at);
                    let led = own[0] && led[0] || own[1] && led[1];
                    let early = began.elapsed() < SECOND;
                    assert!(
                        at != settings(i).internal_addr() && (led || early),
                        "redirected to {at}"
                    );
                }
                Ok(outcome) => panic!("{outcome:?} in a minority"),
            }
            assert!(asked.elapsed() < SECOND, "{:?}", asked.elapsed());
            let asked = Instant::now();
            assert!(
                !server.wait_until_current(COMMAND_TIMEOUT).await,
                "a read is confirmed in a minority"
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
        let old = cluster.leader().expect("a leader");
        let at = |i: usize| Some(settings(i).internal_addr());
        let named = |i: usize| cluster.server(i).expect("up").leader_address();
        for i in all_but(old).into_iter().chain([DISKLESS]) {
            assert_eq!(named(i), at(old), "n{i} does not know the leader");
        }
        cluster.kill(old);
        // A command that arrives while there is no leader must wait for the election instead of failing.
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
                "redirected to a dead leader"
            );
            if let Some(new) = cluster
                .leader()
                .filter(|_| answer != Err(Indeterminate::NotLeader(None)))
            {
                assert!(waited, "no command arrived before there was a new leader");
                break (answer, new);
            }
            sleep(Duration::from_millis(1)).await;
        };
        for i in all_but(old) {
            assert_ne!(named(i), at(old), "n{i} redirects callers to a dead leader");
        }
        assert!(
            answer == Ok(CommandOutcome::Applied)
                || answer == Err(Indeterminate::NotLeader(at(new)))
        );
        // The new leader announces itself at once to the server without a disk, which has no other way to learn it.
        assert!(wait_until(Duration::from_millis(20), || named(DISKLESS) == at(new)).await);
        cluster.isolate(DISKLESS, true);
        sleep(Duration::from_millis(1600)).await;
        assert_eq!(
            named(DISKLESS),
            None,
            "it still names a leader without hearing from any server"
        );
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
            "its other session does not deliver the update"
        );
        sleep(15 * SECOND).await;
        // Its connection waits until the server resumes.
        let (starter, _two) = balancer(&cluster, "starter", &[frozen], &[frozen]);
        sleep(Duration::from_millis(100)).await;
        assert_eq!(starter.dialled.borrow()[0], frozen);
        cluster.freeze(frozen, false);
        let server = cluster.server(frozen).expect("up");
        assert!(
            !server.has_quorum_contact(),
            "the server claims contact before it has run"
        );
        // The command is based on the current revision, which the server does not know yet.
        let end = Instant::now() + 3 * SECOND;
        loop {
            match server
                .submit_command(&change(2, 3, 3), COMMAND_TIMEOUT)
                .await
            {
                Ok(CommandOutcome::Applied) => break,
                Ok(outcome) => panic!("{outcome:?}: decided on an outdated state"),
                Err(Indeterminate::NotLeader(Some(at)))
                    if at != server.control_node.internal_addr =>
                {
                    let leader = ALL.into_iter().find(|i| settings(*i).internal_addr() == at);
                    let leader = leader.and_then(|i| cluster.server(i)).expect("up");
                    assert!(
                        leader.is_leader() || Instant::now() < end,
                        "redirected to {at}"
                    );
                    if leader.is_leader() {
                        break;
                    }
                }
                Err(_) => assert!(Instant::now() < end, "no command is applied in time"),
            }
            sleep(Duration::from_millis(50)).await;
        }
        assert!(wait_until(APPLY_TIMEOUT, || starter.config() > 0).await);
        let received = starter.received.borrow();
        assert!(
            !received[0].text.contains(&target_of(1)),
            "it received a stale configuration"
        );
    });
}

#[test]
fn frozen_server_forgets_sessions_and_learns_them_again() {
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
        // The directory API does the same.
        server.expire_silent_peers();
        assert!(
            server.all_sessions().is_empty(),
            "sessions remain after ten seconds without reports"
        );
        assert!(
            wait_until(2 * SECOND, || server.all_sessions().len() == sessions.len()).await,
            "not all sessions are reported again"
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
            "a server without a disk has no replicated state"
        );
        assert!(!diskless.has_quorum_contact());
        // The balancer reaches only one voter, so its other session stays with the diskless server.
        let (holder, _one) = balancer(&cluster, "holder", &[follower], &[follower, DISKLESS]);
        assert!(wait_until(2 * APPLY_TIMEOUT, || holder.has(&target_of(1))).await);
        accept_revision(&cluster, &ALL, 1, 2).await;
        let update_timeout = Duration::from_millis(200);
        assert!(
            wait_until(update_timeout, || holder.has(&target_of(2))).await,
            "the update is delayed by the diskless server"
        );
    });
}

/// Guards against connections that occupy memory before it is known which process they belong to.
#[test]
fn long_handshake_is_not_received() {
    run_on_paused_time(async {
        let cluster = Cluster::new();
        let server = cluster.server(0).expect("it runs");
        let (near, mut far) = tokio::io::duplex(1 << 10);
        let announced = u32::to_be_bytes(1 << 20);
        far.write_all(&announced).await.expect("written");
        let error = serve_connection(server, near).await.expect_err("refused");
        assert_eq!(error.kind(), ErrorKind::InvalidData, "{error}");
    });
}
