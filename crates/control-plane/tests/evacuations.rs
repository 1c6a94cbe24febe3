//! Tests evacuations and returns of zones that operators resend, nest or request at the same time. Runs a single
//! control server, which is a majority by itself, on paused time.

use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use std::sync::mpsc as disk;
use std::time::Duration;

use control_plane::server::{Channels, ControlServer, Environment};
use control_plane::store::DiskRequest;
use protocol::settings::Settings;
use raft::{Members, PersistentState, Snapshot};
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

const TIMEOUT: Duration = Duration::from_millis(900);

/// Starts a control server that is the only voter, and waits until it is the leader.
async fn start_single_server() -> Rc<ControlServer> {
    let text = r#"{"node": "n", "ip": "127.0.0.1", "zone": "a", "region": "r",
        "zone_map": {"a": "r"}, "listen": {}, "port_range": [7000, 7010], "data_dir": "/none"}"#;
    let settings =
        Settings::parse(Path::new("boot.json"), text.as_bytes()).expect("valid settings");
    let voters = BTreeMap::from([(1, settings.internal_addr().to_string())]);
    let members = Members {
        voters,
        ..Members::default()
    };
    let snapshot = Some(Snapshot::initial(members));
    let stored = PersistentState {
        snapshot,
        ..PersistentState::default()
    };
    let (disk, requests) = disk::channel();
    let (dial, _) = mpsc::unbounded_channel();
    let (fatal_errors, _) = mpsc::unbounded_channel();
    let channels = Channels {
        disk,
        dial,
        fatal_errors,
    };
    let server = ControlServer::new(settings, 1, stored, channels, Environment::of_machine());
    let (reports, synced) = mpsc::unbounded_channel();
    spawn_local(server.clone().run_disk_events(synced));
    spawn_local(server.clone().run_clock());
    spawn_local(async move {
        loop {
            for request in requests.try_iter() {
                if let DiskRequest::Persist(request) = request {
                    let _ = reports.send(request.sequence);
                }
            }
            sleep(Duration::from_millis(1)).await;
        }
    });
    while !server.is_leader() {
        sleep(Duration::from_millis(50)).await;
    }
    server
}

/// The outcome of an acknowledgement.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    /// The caller disconnects before it is written.
    NotWritten,
    /// The caller reads it and closes.
    Read,
    /// The connection breaks after it is written.
    Broken,
    /// It is written, but the server learns nothing about its delivery.
    Unconfirmed,
}
use Delivery::*;

/// Evacuates or returns the zone, and returns the number of its evacuations afterwards.
async fn call(server: &Rc<ControlServer>, begin: bool, delivery: Delivery) -> usize {
    let mut acknowledgement = server
        .submit_zone_command("a", begin, TIMEOUT)
        .await
        .expect("a majority of one");
    if !matches!(delivery, NotWritten) {
        acknowledgement.mark_sent();
    }
    match delivery {
        NotWritten | Unconfirmed => drop(acknowledgement),
        Read => acknowledgement.confirm().await,
        Broken => acknowledgement.mark_connection_broken().await,
    }
    server.replicated_state().evacuation_count("a")
}

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a time after which callers no longer resend a call.
fn past_resend_window(server: &ControlServer) -> Duration {
    Duration::from_millis(server.settings.bounds.ack_ms + 1100)
}

#[tokio::test(start_paused = true)]
async fn resent_evacuation_is_a_duplicate() {
    // An evacuation whose acknowledgement was lost was once counted twice, which left its zone empty for the rest of
    // the day. A caller that reads an answer and then loses it looks to the server like one that received it, so even
    // a resend after `Read` is a duplicate.
    let deliveries = [NotWritten, Broken, Unconfirmed, Read];
    let test = async {
        let server = start_single_server().await;
        for first in deliveries {
            for second in deliveries {
                for delivery in [first, second, Read] {
                    assert_eq!(
                        call(&server, true, delivery).await,
                        1,
                        "{first:?}, {second:?}"
                    );
                    sleep(Duration::from_millis(300)).await;
                }
                assert_eq!(call(&server, false, Read).await, 0, "{first:?}, {second:?}");
            }
        }
        // The resend window counts from the first call, no matter how often the call is acknowledged meanwhile.
        let half = Duration::from_millis(server.settings.bounds.ack_ms / 2);
        for evacuations in [1, 1, 2, 2] {
            assert_eq!(call(&server, true, Broken).await, evacuations);
            sleep(half).await;
        }
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn age_of_an_evacuation_counts_from_arrival() {
    let test = async {
        let server = start_single_server().await;
        let accepted_at = Instant::now();
        assert_eq!(call(&server, true, Read).await, 1);
        let ack = Duration::from_millis(server.settings.bounds.ack_ms);
        // The next call arrives within the window, but waits for the outcome of the previous acknowledgement.
        sleep(ack - 2 * millis(100)).await;
        let mut before = server
            .submit_zone_command("a", true, TIMEOUT)
            .await
            .expect("a majority of one");
        before.mark_sent();
        let confirm_later = async {
            sleep(millis(400)).await;
            before.confirm().await;
        };
        let (_, evacuations) = tokio::join!(confirm_later, call(&server, true, Read));
        assert!(accepted_at.elapsed() > ack);
        assert_eq!(evacuations, 1);
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn late_evacuation_is_a_new_one() {
    // When two operators had evacuated a zone, the first return once reopened it for both.
    let test = async {
        let server = start_single_server().await;
        let calls = [
            (true, Read, 1),
            (true, Read, 2),
            (true, Unconfirmed, 3),
            (true, Broken, 4),
            (true, Read, 5),
            (false, Read, 4),
            (false, Unconfirmed, 3),
            (false, Unconfirmed, 2),
            (false, Read, 1),
            (false, Read, 0),
            // No caller received an answer, so the next call is a duplicate no matter how late it arrives.
            (true, NotWritten, 1),
            (true, Read, 1),
            (false, Read, 0),
        ];
        for (n, (begin, delivery, evacuations)) in calls.into_iter().enumerate() {
            assert_eq!(
                call(&server, begin, delivery).await,
                evacuations,
                "call {n}"
            );
            sleep(past_resend_window(&server)).await;
        }
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn resent_return_is_a_duplicate_until_confirmed() {
    let test = async {
        let server = start_single_server().await;
        for evacuations in 1..=5 {
            assert_eq!(call(&server, true, Read).await, evacuations);
            sleep(past_resend_window(&server)).await;
        }
        let returns = [
            (NotWritten, 4),
            (Read, 4),
            (Read, 3),
            (Broken, 2),
            (Read, 2),
            // The caller may not have received the answer. It is safer to count one return too few.
            (Unconfirmed, 1),
            (Read, 1),
            (Read, 0),
            (Read, 0),
        ];
        for (n, (delivery, evacuations)) in returns.into_iter().enumerate() {
            assert_eq!(
                call(&server, false, delivery).await,
                evacuations,
                "return {n}"
            );
            sleep(Duration::from_millis(300)).await;
        }
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn simultaneous_evacuations_are_one_and_confirmed_returns_each_count() {
    let test = async {
        let server = start_single_server().await;
        tokio::join!(call(&server, true, Read), call(&server, true, Read));
        assert_eq!(server.replicated_state().evacuation_count("a"), 1);
        sleep(past_resend_window(&server)).await;
        assert_eq!(call(&server, true, Read).await, 2);
        tokio::join!(call(&server, false, Read), call(&server, false, Read));
        assert_eq!(
            server.replicated_state().evacuation_count("a"),
            0,
            "both callers confirmed"
        );
        // The second call arrives at any point during the first.
        for after in (0..12).map(Duration::from_millis) {
            for begin in [true, false] {
                let second = async {
                    sleep(after).await;
                    call(&server, begin, Read).await
                };
                tokio::join!(call(&server, begin, Read), second);
                let evacuations = usize::from(begin);
                assert_eq!(
                    server.replicated_state().evacuation_count("a"),
                    evacuations,
                    "after {after:?}"
                );
            }
        }
        // A caller disconnects at any point during its call and retries at once.
        for after in 0..12 {
            for begin in [true, false] {
                let result =
                    timeout(Duration::from_millis(after), call(&server, begin, Read)).await;
                if result.is_err() {
                    call(&server, begin, Read).await;
                }
                let evacuations = usize::from(begin);
                assert_eq!(
                    server.replicated_state().evacuation_count("a"),
                    evacuations,
                    "disconnected after {after} ms"
                );
            }
        }
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn return_waits_for_the_previous_acknowledgement() {
    let test = async {
        for (read, evacuations) in [(false, 1), (true, 0)] {
            let server = start_single_server().await;
            for _ in 0..2 {
                call(&server, true, Read).await;
                sleep(past_resend_window(&server)).await;
            }
            let mut first = server
                .submit_zone_command("a", false, TIMEOUT)
                .await
                .expect("a majority of one");
            first.mark_sent();
            let report_later = async {
                sleep(Duration::from_millis(200)).await;
                if read {
                    first.confirm().await;
                } else {
                    first.mark_connection_broken().await;
                }
            };
            let (_, count) = tokio::join!(report_later, call(&server, false, Read));
            assert_eq!(count, evacuations);
        }
    };
    LocalSet::new().run_until(test).await;
}
