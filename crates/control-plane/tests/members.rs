//! Tests that silent members are removed and rejoin under their own ids, and that a leader hands over when it shuts
//! down.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::{Cluster, VOTERS};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

/// The time for an election and the removal or addition of two members after it.
const SETTLE_TIME: Duration = Duration::from_millis(6000);

/// The voters as the leader knows them.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Quorum {
    voters: usize,
    /// The number of voters that can be lost.
    tolerable_losses: usize,
}

const FULL: Quorum = Quorum {
    voters: VOTERS,
    tolerable_losses: 2,
};

fn quorum(cluster: &Cluster) -> Option<Quorum> {
    let status = cluster.server(cluster.leader()?)?.log_status();
    Some(Quorum {
        voters: status.members.voters.len(),
        tolerable_losses: status.report?.tolerable_losses,
    })
}

async fn with_cluster(test: impl AsyncFn(Rc<Cluster>)) {
    let run = async {
        let cluster = Cluster::new();
        sleep(SETTLE_TIME).await;
        assert_eq!(quorum(&cluster), Some(FULL));
        test(cluster).await;
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test(start_paused = true)]
async fn silent_members_are_removed_and_rejoin_when_they_return() {
    with_cluster(async |cluster| {
        // The lost members include the leader, and the next leader observes silence only from its election on.
        let leader = cluster.leader().expect("a leader");
        let lost = [leader, (leader + 1) % VOTERS];
        lost.iter().for_each(|i| cluster.kill(*i));
        sleep(SETTLE_TIME).await;
        assert_eq!(
            quorum(&cluster),
            Some(Quorum {
                voters: 3,
                tolerable_losses: 1
            }),
            "the remaining voters tolerate one more loss"
        );
        let third = (0..VOTERS).find(|i| !lost.contains(i) && cluster.leader() != Some(*i));
        cluster.kill(third.expect("three are up"));
        sleep(SETTLE_TIME).await;
        assert_eq!(
            quorum(&cluster),
            Some(Quorum {
                voters: 3,
                tolerable_losses: 0
            }),
            "one more voter is lost"
        );
        // The lost members return with disks on which they are still voters.
        lost.iter().for_each(|i| cluster.start(*i));
        sleep(SETTLE_TIME).await;
        let rejoined = quorum(&cluster).expect("a leader");
        assert!(
            rejoined.voters >= 4 && rejoined.tolerable_losses >= 1,
            "{rejoined:?}"
        );
        cluster.start(third.expect("three were up"));
        sleep(SETTLE_TIME).await;
        assert_eq!(quorum(&cluster), Some(FULL));
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn leader_that_shuts_down_hands_over_first() {
    with_cluster(async |cluster| {
        for _ in 0..VOTERS {
            let leader = cluster.leader().expect("a leader");
            let began = Instant::now();
            cluster
                .server(leader)
                .expect("the server is up")
                .shut_down(Duration::from_millis(1000))
                .await;
            assert!(
                began.elapsed() < Duration::from_millis(500),
                "the handover took as long as an election timeout"
            );
            cluster.kill(leader);
            assert!(cluster.leader().is_some_and(|next| next != leader));
            sleep(Duration::from_millis(500)).await;
            cluster.start(leader);
            sleep(SETTLE_TIME).await;
            assert_eq!(
                quorum(&cluster),
                Some(FULL),
                "a voter is missing after a restart"
            );
        }
    })
    .await;
}
