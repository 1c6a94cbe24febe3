//! Evacuations as operators order them: sent again, nested, taken back.

use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use std::sync::mpsc as disk;
use std::time::Duration;

use agreement::{Members, Snapshot, Stored};
use control_plane::cell::{Cell, Ways};
use control_plane::configuration::Verdict;
use control_plane::store::Order;
use messages::settings::Settings;
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

const WITHIN: Duration = Duration::from_millis(900);

/// A control balancer that is all of the core, with a disk that syncs at once.
async fn alone() -> Rc<Cell> {
    let text = r#"{"node": "n", "ip": "127.0.0.1", "zone": "a", "region": "r",
        "zone_map": {"a": "r"}, "listen": {}, "port_range": [7000, 7010]}"#;
    let settings = Settings::parse(Path::new("boot.json"), text.as_bytes()).expect("good");
    let voters = BTreeMap::from([(1, settings.inner().to_string())]);
    let members = Members { voters, ..Members::default() };
    let snapshot = Some(Snapshot::of_founders(members));
    let stored = Stored { snapshot, ..Stored::default() };
    let (disk, orders) = disk::channel();
    let (dial, _) = mpsc::unbounded_channel();
    let (breaks, _) = mpsc::unbounded_channel();
    let cell = Cell::new(settings, 1, stored, Ways { disk, dial, breaks });
    let (done, saved) = mpsc::unbounded_channel();
    spawn_local(cell.clone().follow_disk(saved));
    spawn_local(cell.clone().keep_time());
    spawn_local(async move {
        loop {
            for order in orders.try_iter() {
                if let Order::Save(save) = order {
                    let _ = done.send(save.seq);
                }
            }
            sleep(Duration::from_millis(1)).await;
        }
    });
    while !cell.leads() {
        sleep(Duration::from_millis(50)).await;
    }
    cell
}

async fn order(cell: &Cell, begin: bool) -> (Verdict, u32) {
    let verdict = cell.drain("a", begin, WITHIN).await.expect("a majority of one");
    (verdict, cell.agreed().evacuated.get("a").copied().unwrap_or(0))
}

#[tokio::test(start_paused = true)]
async fn an_order_sent_again_is_the_same_and_a_later_one_is_another() {
    let test = async {
        let cell = alone().await;
        assert_eq!(order(&cell, false).await, (Verdict::AlreadyTaken, 0));
        assert_eq!(order(&cell, true).await, (Verdict::Taken, 1));
        sleep(Duration::from_secs(2)).await;
        assert_eq!(order(&cell, true).await, (Verdict::AlreadyTaken, 1), "sent again");
        // Longer than `ack_ms` after the first: nobody sends that again.
        sleep(Duration::from_secs(5)).await;
        assert_eq!(order(&cell, true).await, (Verdict::Taken, 2));
        assert_eq!(order(&cell, false).await, (Verdict::Taken, 1), "the other one still holds it");
        sleep(Duration::from_secs(2)).await;
        assert_eq!(order(&cell, false).await, (Verdict::AlreadyTaken, 1), "sent again");
        sleep(Duration::from_secs(5)).await;
        assert_eq!(order(&cell, false).await, (Verdict::Taken, 0));
        assert_eq!(order(&cell, false).await, (Verdict::AlreadyTaken, 0));
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn two_calls_of_one_order_at_the_same_moment_count_once() {
    let test = async {
        let cell = alone().await;
        let both = tokio::join!(order(&cell, true), order(&cell, true));
        assert!([both.0.0, both.1.0].contains(&Verdict::AlreadyTaken));
        assert_eq!(cell.agreed().evacuated["a"], 1);
        assert_eq!(order(&cell, false).await, (Verdict::Taken, 0));
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn orders_whose_callers_were_answered_are_not_sent_again() {
    // Failure: two operators evacuated a zone a second apart, and the first return cleared it for both.
    let test = async {
        let cell = alone().await;
        for (begin, holds) in [(true, 1), (true, 2), (false, 1), (false, 0)] {
            assert_eq!(order(&cell, begin).await, (Verdict::Taken, holds));
            cell.drain_answered("a", begin);
            sleep(Duration::from_secs(1)).await;
        }
    };
    LocalSet::new().run_until(test).await;
}
