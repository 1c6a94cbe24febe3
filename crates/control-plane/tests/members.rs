//! Members of the log that stay away are removed, and join again under their own ids; a leader that ends hands over.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::{Net, SIZE};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

/// An election, and what it takes to remove or add two members after it.
const SETTLE_TIME: Duration = Duration::from_millis(6000);

/// The voters as the leader knows them.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Quorum {
    voters: usize,
    /// How many of them can be lost.
    tolerable_losses: usize,
}

const FULL: Quorum = Quorum {
    voters: SIZE,
    tolerable_losses: 2,
};

fn quorum(net: &Net) -> Option<Quorum> {
    let status = net.cell(net.leader()?)?.log_status();
    Some(Quorum {
        voters: status.members.voters.len(),
        tolerable_losses: status.report?.tolerable_losses,
    })
}

async fn with_net(test: impl AsyncFn(Rc<Net>)) {
    let run = async {
        let net = Net::new();
        sleep(SETTLE_TIME).await;
        assert_eq!(quorum(&net), Some(FULL));
        test(net).await;
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test(start_paused = true)]
async fn silent_members_are_removed_and_join_again_when_they_return() {
    with_net(async |net| {
        // The leader is among them: the next one knows only from then on who is silent.
        let leader = net.leader().expect("a leader");
        let lost = [leader, (leader + 1) % SIZE];
        lost.iter().for_each(|i| net.kill(*i));
        sleep(SETTLE_TIME).await;
        assert_eq!(
            quorum(&net),
            Some(Quorum {
                voters: 3,
                tolerable_losses: 1
            }),
            "one more can be lost"
        );
        let third = (0..SIZE).find(|i| !lost.contains(i) && net.leader() != Some(*i));
        net.kill(third.expect("three are up"));
        sleep(SETTLE_TIME).await;
        assert_eq!(
            quorum(&net),
            Some(Quorum {
                voters: 3,
                tolerable_losses: 0
            }),
            "and is"
        );
        // They return with disks on which they are voters still.
        lost.iter().for_each(|i| net.start(*i));
        sleep(SETTLE_TIME).await;
        let rejoined = quorum(&net).expect("a leader");
        assert!(
            rejoined.voters >= 4 && rejoined.tolerable_losses >= 1,
            "{rejoined:?}"
        );
        net.start(third.expect("three were up"));
        sleep(SETTLE_TIME).await;
        assert_eq!(quorum(&net), Some(FULL));
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn leader_that_shuts_down_hands_over_first() {
    with_net(async |net| {
        for _ in 0..SIZE {
            let leader = net.leader().expect("a leader");
            let began = Instant::now();
            net.cell(leader)
                .expect("it is up")
                .shut_down(Duration::from_millis(1000))
                .await;
            assert!(
                began.elapsed() < Duration::from_millis(500),
                "sooner than by a time-out"
            );
            net.kill(leader);
            assert!(net.leader().is_some_and(|next| next != leader));
            sleep(Duration::from_millis(500)).await;
            net.start(leader);
            sleep(SETTLE_TIME).await;
            assert_eq!(quorum(&net), Some(FULL), "no vote is lost by a restart");
        }
    })
    .await;
}
