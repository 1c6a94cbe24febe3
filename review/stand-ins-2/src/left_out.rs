//! An upstream is left out of the platform's list once, because another one ends between two pages of it. Its keys move
//! to another upstream, while a balancer that stood still goes on sending it requests.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::platform::SlowTime;
use crate::record::Record;
use crate::two_holders::Stage;

/// How many upstreams stand before the first one in the list of its zone: it is the first one on the second page.
const OTHERS: usize = 50;
/// The upstream that leaves: it is listed as draining for `drain_ms`, and a little longer.
const LEAVING: &str = "d-7";
const DRAIN: Duration = Duration::from_millis(4500);
/// How long an answer of the platform takes while it is slow.
const ANSWER_AFTER: Duration = Duration::from_millis(300);
/// For how long a balancer stands still (`node_freeze`, `for_s`).
const FROZEN_FOR: Duration = Duration::from_millis(3400);

/// Runs the case. Returns whether the rule held, or what kept the case from running.
pub fn run(trouble: bool, record: &Arc<Record>) -> Result<bool, String> {
    let stage = Arc::new(Stage::start(record, OTHERS)?);
    let mut threads = Vec::new();
    let traffic = {
        let stage = stage.clone();
        thread::spawn(move || {
            let mut threads = Vec::new();
            for n in 0..260 {
                threads.push(stage.send(0, "steady", n));
                thread::sleep(Duration::from_millis(60));
            }
            threads
        })
    };
    thread::sleep(Duration::from_secs(3));
    record.say(&format!("upstream {LEAVING} is listed as draining"));
    for entry in &mut stage.platform.lock().expect("the platform").list {
        entry.draining |= entry.id == LEAVING;
    }
    thread::sleep(DRAIN);
    let slow = SlowTime {
        answer_after: if trouble {
            ANSWER_AFTER
        } else {
            Duration::ZERO
        },
        ends: LEAVING.into(),
    };
    let frozen_at = Instant::now();
    if trouble {
        let stopped = stage.system.signal(1, "data-plane", "STOP");
        stopped.map_err(|e| e.to_string())?;
        record.say("the platform answers slowly");
        stage.platform.lock().expect("the platform").slow = Some(slow);
    } else {
        record.say(&format!("upstream {LEAVING} has ended"));
        let mut platform = stage.platform.lock().expect("the platform");
        platform.list.retain(|entry| entry.id != LEAVING);
    }
    // Clients give up a balancer that has not read their request after a second.
    thread::sleep((FROZEN_FOR - Duration::from_millis(900)).saturating_sub(frozen_at.elapsed()));
    for n in 0..40 {
        threads.push(stage.send(1, "waiting", n));
        thread::sleep(Duration::from_millis(20));
    }
    if trouble {
        let resumed = stage.system.signal(1, "data-plane", "CONT");
        resumed.map_err(|e| e.to_string())?;
        stage.platform.lock().expect("the platform").slow = None;
    }
    threads.extend(traffic.join().unwrap_or_default());
    Ok(stage.check(record, threads))
}
