//! Clients that trickle: each sends or reads a little at a time, so that it never counts as stalled, and connects again
//! when it is disconnected. Many more of them than a machine has connections, beside ordinary requests.

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::client_group::{ClientGroup, Refusal};
use crate::common::http_client::get;
use crate::common::wait_for;
use crate::machine::{FEW_FDS, Machine, check_process};
use crate::trickling_group::{Step, Trickle, TricklingGroup};
use crate::{
    RouteTimes, check_balancer, check_ordinary_request, head, large_requests, ordinary_requests,
    run_alone, start_recording_upstream, start_system, start_system_with, start_upstream,
};

/// More clients than a machine with few descriptors and its accept queue have room for.
const CLIENTS: usize = 200;
/// The number of clients that have begun before the balancer is checked: more than there are connections, so that none is free.
const BEGUN_CLIENTS: usize = 100;
/// The time between two steps of a client, below every time after which a client counts as stalled.
const SHORT_INTERVAL: Duration = Duration::from_millis(200);
/// A longer time between two steps.
const LONG_INTERVAL: Duration = Duration::from_millis(400);
/// How many bytes a client reads at each step.
const READ_BYTES: usize = 512;

/// Lets clients trickle that never complete a request, and checks the balancer meanwhile.
fn check_beside_trickling_requests(name: &str, trickle: &Trickle) {
    let _alone = run_alone();
    let ids = Arc::new(Mutex::new(HashSet::new()));
    let mut system = start_system(name, FEW_FDS, start_recording_upstream(ids.clone()));
    let group = TricklingGroup::start(system.http, CLIENTS, BEGUN_CLIENTS, trickle);
    check_balancer(&mut system, FEW_FDS);
    let refusals = group.stop();
    println!("{} requests were refused", refusals.len());
    check_balancer(&mut system, FEW_FDS);
    let ids = ids.lock().expect("whole");
    for client in 0..CLIENTS {
        let has_run = ids.contains(&client.to_string());
        assert!(!has_run, "the incomplete request of client {client} ran");
    }
    for Refusal { head, .. } in refusals {
        assert!(
            head.starts_with("HTTP/1.1 503") && head.contains("retry-after: "),
            "a refusal promises that the request may be sent again: {head}"
        );
    }
}

/// Returns the head of a request with a body in chunks.
fn chunked_head() -> String {
    let head = head("POST", "/write/x");
    format!("{head}Attempt-Id: {{client}}\r\nTransfer-Encoding: chunked\r\n\r\n")
}

/// Guards against clients that keep all connections with bodies of which a byte arrives now and then.
#[test]
fn trickling_bodies_leave_connections_to_others() {
    let trickle = Trickle {
        first: chunked_head(),
        step: Step::SendChunk,
        interval: SHORT_INTERVAL,
    };
    check_beside_trickling_requests("trickle", &trickle);
}

/// Guards against the same with longer pauses: each of these clients has stalled before its next byte arrives.
#[test]
fn slowly_trickling_bodies_leave_connections_to_others() {
    let trickle = Trickle {
        first: chunked_head(),
        step: Step::SendChunk,
        interval: LONG_INTERVAL,
    };
    check_beside_trickling_requests("slow-trickle", &trickle);
}

/// Guards against clients that keep all connections with a head that never ends.
#[test]
fn trickling_heads_leave_connections_to_others() {
    let trickle = Trickle {
        first: format!("{}Attempt-Id: {{client}}\r\nX: ", head("POST", "/write/x")),
        step: Step::SendByte,
        interval: SHORT_INTERVAL,
    };
    check_beside_trickling_requests("trickling-heads", &trickle);
}

/// Returns clients that ask for large responses and read a little of them at a time.
fn trickling_readers() -> Trickle {
    Trickle {
        first: String::from_utf8(large_requests()).expect("text"),
        step: Step::Read(READ_BYTES),
        interval: SHORT_INTERVAL,
    }
}

/// Guards against clients that keep all connections with responses of which they read a little now and then.
#[test]
fn trickling_readers_leave_connections_to_others() {
    let _alone = run_alone();
    let mut system = start_system("trickling-readers", FEW_FDS, start_upstream());
    let readers = trickling_readers();
    let group = TricklingGroup::start(system.http, CLIENTS, BEGUN_CLIENTS, &readers);
    check_balancer(&mut system, FEW_FDS);
    drop(group.stop());
    check_balancer(&mut system, FEW_FDS);
}

/// Guards against clients that keep all connections of the operators' interface with configurations of which a byte
/// arrives now and then.
#[test]
fn trickling_configurations_leave_connections_to_operators() {
    let _alone = run_alone();
    let mut system = start_system("ctl-trickle", FEW_FDS, start_upstream());
    let head = "POST /-/Config.Replace HTTP/1.1\r\nHost: c\r\nBase-Version: 5\r\n";
    let trickle = Trickle {
        first: format!("{head}Transfer-Encoding: chunked\r\n\r\n"),
        step: Step::SendChunk,
        interval: SHORT_INTERVAL,
    };
    let group = TricklingGroup::start(system.ctl, CLIENTS, BEGUN_CLIENTS, &trickle);
    wait_for("a response to an operator beside the group", || {
        get(system.ctl, "c", "/-/Config.Read").filter(|response| response.status == 200)
    });
    check_process("the control balancer", system.control(), FEW_FDS);
    drop(group.stop());
}

/// A machine whose memory for responses is occupied by sixteen large ones, with room for all connections of the group.
const LITTLE_MEMORY: Machine = Machine {
    memory_mb: 64,
    max_fds: 1024,
};
/// The target is far above what an ordinary request takes, and far below what waiting for all responses of a group takes.
const SHORT_TARGET: RouteTimes = RouteTimes {
    deadline_ms: 60_000,
    target_ms: 10_000,
};
/// The number of ordinary requests of each kind that are sent one after the other beside a group.
const REQUESTS_OF_EACH_KIND: usize = 20;

/// Checks that each of many ordinary requests is answered.
fn check_many_ordinary_requests(system: &crate::System) {
    for _ in 0..REQUESTS_OF_EACH_KIND {
        for request in ordinary_requests() {
            check_ordinary_request(system, &request);
        }
    }
}

/// Guards against responses that wait for memory, because clients leave theirs unread, and thereby have ordinary
/// requests refused that need next to none.
#[test]
fn unread_responses_leave_upstreams_to_others() {
    let _alone = run_alone();
    let mut system =
        start_system_with("unread-many", LITTLE_MEMORY, SHORT_TARGET, start_upstream());
    let group = ClientGroup::send(system.http, CLIENTS, &large_requests());
    check_many_ordinary_requests(&system);
    check_balancer(&mut system, LITTLE_MEMORY);
    drop(group);
    check_balancer(&mut system, LITTLE_MEMORY);
}

/// Guards against the same with clients that read a little now and then.
#[test]
fn trickling_readers_leave_upstreams_to_others() {
    let _alone = run_alone();
    let mut system = start_system_with(
        "trickling-many",
        LITTLE_MEMORY,
        SHORT_TARGET,
        start_upstream(),
    );
    let readers = trickling_readers();
    let group = TricklingGroup::start(system.http, CLIENTS, BEGUN_CLIENTS, &readers);
    check_many_ordinary_requests(&system);
    check_balancer(&mut system, LITTLE_MEMORY);
    drop(group.stop());
    check_balancer(&mut system, LITTLE_MEMORY);
}
