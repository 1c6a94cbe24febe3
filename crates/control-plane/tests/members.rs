//! Members of the log that stay away are removed, and come back under their own ids; a leader that ends hands over.

mod common;

use std::rc::Rc;
use std::time::Duration;

use common::{Net, SIZE};
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

/// An election, and what it takes to remove or take in two members after it.
const SETTLES: Duration = Duration::from_millis(6000);

/// How many vote, and how many of them can be lost, as the leader knows.
fn voters_and_margin(net: &Net) -> Option<(usize, usize)> {
    let status = net.cell(net.leader()?)?.log_status();
    Some((status.members.voters.len(), status.report?.tolerable_losses))
}

async fn with_net(test: impl AsyncFn(Rc<Net>)) {
    let run = async {
        let net = Net::new();
        sleep(SETTLES).await;
        assert_eq!(voters_and_margin(&net), Some((SIZE, 2)));
        test(net).await;
    };
    LocalSet::new().run_until(run).await;
}

#[tokio::test(start_paused = true)]
async fn members_that_stay_away_are_removed_and_taken_in_again_when_they_come_back() {
    with_net(async |net| {
        // The leader among them: who leads next knows only from then on who is silent.
        let leader = net.leader().expect("a leader");
        let lost = [leader, (leader + 1) % SIZE];
        lost.iter().for_each(|i| net.kill(*i));
        sleep(SETTLES).await;
        assert_eq!(
            voters_and_margin(&net),
            Some((3, 1)),
            "one more can be lost"
        );
        let third = (0..SIZE).find(|i| !lost.contains(i) && net.leader() != Some(*i));
        net.kill(third.expect("three are up"));
        sleep(SETTLES).await;
        assert_eq!(voters_and_margin(&net), Some((3, 0)), "and is");
        // They come back with disks on which they vote still.
        lost.iter().for_each(|i| net.start(*i));
        sleep(SETTLES).await;
        let (voters, margin) = voters_and_margin(&net).expect("a leader");
        assert!(
            voters >= 4 && margin >= 1,
            "{voters} voters, {margin} can be lost"
        );
        net.start(third.expect("three were up"));
        sleep(SETTLES).await;
        assert_eq!(voters_and_margin(&net), Some((SIZE, 2)));
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_leader_whose_process_ends_hands_over_before_it_does() {
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
            sleep(SETTLES).await;
            assert_eq!(
                voters_and_margin(&net),
                Some((SIZE, 2)),
                "no vote is lost by a restart"
            );
        }
    })
    .await;
}
