//! Processes in front of clients that nobody controls. Whatever these send, hold back or leave unread: no process ends,
//! none exceeds the memory or the descriptors of its machine, and an ordinary request beside them is answered.
//!
//! The machines are small, so that a small group of clients suffices. Nothing here depends on the speed of the machine. The tests
//! run one at a time, since each keeps the processor busy.

mod client_group;
#[path = "../common/mod.rs"]
mod common;
mod machine;
mod operator_interface;
#[path = "../whole_path/system.rs"]
mod system;
mod trickling;
mod trickling_group;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use serde_json::{Value, json};

use crate::client_group::{
    ClientGroup, Framing, GROUP_LIMIT, Refusal, Upload, exchange, send_upload, wait_until_settled,
};
use crate::common::mock_server::start_body_reading_server;
use crate::common::{WAIT_LIMIT, instance, wait_for};
use crate::machine::{FEW_FDS, MANY_FDS, Machine, check_process};
use crate::system::System;

/// The maximum size of a body in the configuration.
const MAX_BODY_BYTES: usize = 8 << 20;
/// The size of a large response: less than the 1 MiB that a balancer accepts.
const LARGE_RESPONSE_BYTES: usize = 1_000_000;
/// More clients than such a machine has connections.
const CLIENTS_FOR_FEW_FDS: usize = 40;

/// Lets the tests of this program run one at a time.
fn run_alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the length and the checksum (FNV-1a) of a body.
fn describe(body: impl Iterator<Item = u8>) -> String {
    let (mut length, mut hash) = (0_usize, 0xcbf2_9ce4_8422_2325_u64);
    for byte in body {
        length += 1;
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    format!("{length} bytes {hash:016x}")
}

fn describe_body(bytes: usize) -> String {
    describe((0..bytes).map(client_group::body_byte))
}

/// Starts an upstream that responds with what it has received, or with a large body where the path asks for one.
fn start_upstream() -> SocketAddr {
    start_recording_upstream(Arc::default())
}

/// Does the same, and records the ids of the requests.
fn start_recording_upstream(ids: Arc<Mutex<HashSet<String>>>) -> SocketAddr {
    start_body_reading_server(move |request_line, headers, body| {
        let id = headers
            .lines()
            .find_map(|line| line.strip_prefix("attempt-id: "));
        ids.lock().expect("whole").extend(id.map(str::to_string));
        if request_line.contains("/large") {
            "x".repeat(LARGE_RESPONSE_BYTES)
        } else {
            describe(body.iter().copied())
        }
    })
}

/// The `deadline_ms` and the `target_ms` of all routes.
#[derive(Clone, Copy)]
struct RouteTimes {
    deadline_ms: u64,
    target_ms: u64,
}

/// So long that a balancer on a busy machine reads a whole group in time.
const LONG_TIMES: RouteTimes = RouteTimes {
    deadline_ms: 600_000,
    target_ms: 60_000,
};

fn config(times: RouteTimes) -> Value {
    let RouteTimes {
        deadline_ms,
        target_ms,
    } = times;
    let route = |name: &str, kind: &str| {
        json!({"name": name, "host": "h", "path_prefix": format!("/{name}/"), "type": kind,
            "deadline_ms": deadline_ms, "target_ms": target_ms, "svc": "one", "tries": 2})
    };
    json!({"rev": 5, "services": [{"name": "one"}],
        "routes": [route("read", "idempotent"), route("write", "mutating")],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": 60_000, "idle_timeout_ms": 60_000}})
}

/// Returns the settings and the upstreams of a system whose upstreams are all at this address.
fn start_system(name: &str, machine: Machine, upstream: SocketAddr) -> System {
    start_system_with(name, machine, LONG_TIMES, upstream)
}

/// Does the same with these times of the routes.
fn start_system_with(
    name: &str,
    machine: Machine,
    times: RouteTimes,
    upstream: SocketAddr,
) -> System {
    let instances: Vec<_> = (0..16)
        .map(|number| instance(&format!("i-{number}"), "one", upstream, 8))
        .collect();
    let system = System::start_with(name, &machine.limits(), &instances);
    system.configure(&config(times));
    system
}

fn head(method: &str, path: &str) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: h\r\nDeadline-Ms: 600000\r\n")
}

/// Returns a request with a body, all of which the client sends.
fn upload(framing: Framing, body_bytes: usize) -> Upload {
    Upload {
        head: format!("{}Connection: close\r\n", head("POST", "/write/x")),
        framing,
        body_bytes,
        withheld_bytes: 0,
    }
}

/// Checks that the balancer lives within its limits, and that one ordinary request of each kind is answered.
fn check_balancer(system: &mut System, machine: Machine) {
    check_process("the balancer", &mut system.data_plane, machine);
    for request in ordinary_requests() {
        check_ordinary_request(system, &request);
    }
    check_process("the balancer", &mut system.data_plane, machine);
}

/// Returns one ordinary request of each kind.
fn ordinary_requests() -> [Upload; 3] {
    [
        upload(Framing::Length, 1000),
        upload(Framing::Chunks(500), 1000),
        Upload {
            head: format!("{}Connection: close\r\n", head("GET", "/read/x")),
            ..upload(Framing::Length, 0)
        },
    ]
}

/// Checks that an ordinary request is answered.
fn check_ordinary_request(system: &System, request: &Upload) {
    let response = exchange(system.http, request, WAIT_LIMIT);
    let expected = describe_body(request.body_bytes);
    assert_eq!(
        response,
        Some((200, expected)),
        "an ordinary request in {:?} beside the group",
        request.framing
    );
}

/// Lets a group send bodies of which most stop just short of their end, and checks the balancer while they stay open.
fn check_beside_uploads(name: &str, clients: usize, upload: &Upload) {
    let _alone = run_alone();
    let ids = Arc::new(Mutex::new(HashSet::new()));
    let mut system = start_system(name, MANY_FDS, start_recording_upstream(ids.clone()));
    let group = ClientGroup::upload(system.http, clients, upload);
    check_balancer(&mut system, MANY_FDS);
    let refusals = group.refusals();
    println!("{} of {clients} requests were refused", refusals.len());
    drop(group);
    check_balancer(&mut system, MANY_FDS);
    for Refusal { client, head } in refusals {
        let has_run = ids.lock().expect("whole").contains(&client.to_string());
        assert!(!has_run, "the request of client {client} ran: {head}");
        assert!(
            head.starts_with("HTTP/1.1 503") && head.contains("retry-after: "),
            "a refusal promises that the request may be sent again: {head}"
        );
    }
}

/// Guards against bodies in chunks that are collected without being counted.
#[test]
fn chunked_bodies_that_stop_short_stay_within_memory() {
    let upload = Upload {
        withheld_bytes: 64 << 10,
        ..upload(Framing::Chunks(64 << 10), MAX_BODY_BYTES)
    };
    check_beside_uploads("chunks", 32, &upload);
}

/// Guards against memory that grows with the number of chunks rather than with their bytes.
#[test]
fn tiny_chunks_that_stop_short_stay_within_memory() {
    let upload = Upload {
        withheld_bytes: 1,
        ..upload(Framing::Chunks(1), 256 << 10)
    };
    check_beside_uploads("tiny", 16, &upload);
}

/// Guards against stalled clients that occupy the memory for bodies, so that ordinary requests are refused.
#[test]
fn announced_bodies_that_stop_short_leave_room_for_others() {
    let upload = Upload {
        withheld_bytes: 1,
        ..upload(Framing::Length, MAX_BODY_BYTES)
    };
    check_beside_uploads("announced", 32, &upload);
}

/// Guards against memory that is reserved for what a client only announces.
#[test]
fn bodies_that_are_only_announced_leave_room_for_others() {
    let upload = Upload {
        withheld_bytes: MAX_BODY_BYTES - 1,
        ..upload(Framing::Length, MAX_BODY_BYTES)
    };
    check_beside_uploads("unsent", 32, &upload);
}

/// Guards against many small stalled bodies that together occupy all memory for bodies.
#[test]
fn small_bodies_that_stop_short_leave_room_for_others() {
    let upload = Upload {
        withheld_bytes: 1,
        ..upload(Framing::Chunks(16 << 10), 128 << 10)
    };
    check_beside_uploads("small", 300, &upload);
}

/// Guards against bodies that are no longer counted once their client has left, while a request that may run only once
/// is still in progress.
#[test]
fn bodies_of_clients_that_left_stay_within_memory() {
    let _alone = run_alone();
    let received = Arc::new(AtomicUsize::new(0));
    let (release, released) = channel::<()>();
    let upstream = start_held_upstream(received.clone(), released);
    let mut system = start_system("left", MANY_FDS, upstream);
    let upload = upload(Framing::Length, MAX_BODY_BYTES);
    for number in 0..24 {
        let received_before = received.load(Relaxed);
        let client = send_upload(system.http, number, &upload).expect("connected");
        client.set_nonblocking(true).expect("set");
        wait_for("the request at the upstream, or its refusal", || {
            let is_received = received.load(Relaxed) > received_before;
            let is_refused = client.peek(&mut [0]).is_ok();
            (is_received || is_refused).then_some(())
        });
    }
    check_process("the balancer", &mut system.data_plane, MANY_FDS);
    drop(release);
    check_balancer(&mut system, MANY_FDS);
}

/// Starts an upstream that counts the requests that it has received, and responds once the sender of `released` is
/// dropped.
fn start_held_upstream(received: Arc<AtomicUsize>, released: Receiver<()>) -> SocketAddr {
    let released = Arc::new(Mutex::new(released));
    start_body_reading_server(move |_, _, body| {
        received.fetch_add(1, Relaxed);
        // Fails once the sender is gone.
        let _ = released.lock().expect("whole").recv();
        describe(body.iter().copied())
    })
}

/// Guards against clients that occupy every connection with requests that they never finish.
#[test]
fn stalled_requests_leave_connections_to_others() {
    let upload = Upload {
        withheld_bytes: 50,
        ..upload(Framing::Length, 100)
    };
    check_beside_full_connections("slots", &upload.encode());
}

/// Guards against clients that occupy every connection with heads that they never finish.
#[test]
fn heads_that_stop_short_leave_connections_to_others() {
    let unfinished = format!("{}X: {}", head("GET", "/read/x"), "x".repeat(15_000));
    check_beside_full_connections("heads", unfinished.as_bytes());
}

/// Guards against clients that occupy every connection with responses that they don't read.
#[test]
fn unread_responses_leave_connections_to_others() {
    check_beside_full_connections("unread", &large_requests());
}

/// Returns requests for more large responses than the kernel buffers on one connection.
fn large_requests() -> Vec<u8> {
    let request = format!("{}\r\n", head("GET", "/read/large"));
    request.repeat(24).into_bytes()
}

/// Lets more clients than there are connections send these bytes, and checks the balancer while they stay open.
fn check_beside_full_connections(name: &str, bytes: &[u8]) {
    let _alone = run_alone();
    let mut system = start_system(name, FEW_FDS, start_upstream());
    let group = ClientGroup::send(system.http, CLIENTS_FOR_FEW_FDS, bytes);
    check_balancer(&mut system, FEW_FDS);
    drop(group);
    check_balancer(&mut system, FEW_FDS);
}

/// Guards against clients that don't read their responses and thereby occupy the memory for responses.
#[test]
fn unread_responses_leave_memory_to_others() {
    let _alone = run_alone();
    let mut system = start_system("responses", MANY_FDS, start_upstream());
    let group = ClientGroup::send(system.http, 40, &large_requests());
    wait_until_settled(system.http);
    check_balancer(&mut system, MANY_FDS);
    let large = Upload {
        head: format!("{}Connection: close\r\n", head("GET", "/read/large")),
        ..upload(Framing::Length, 0)
    };
    let response = exchange(system.http, &large, WAIT_LIMIT);
    let (status, bytes) = response.map_or((0, 0), |(status, body)| (status, body.len()));
    assert_eq!(
        (status, bytes),
        (200, LARGE_RESPONSE_BYTES),
        "a large response beside the group"
    );
    drop(group);
    check_balancer(&mut system, MANY_FDS);
}

/// Guards against a limit that refuses what the configuration allows, and against memory of several times a body.
#[test]
fn largest_body_is_served_in_calm() {
    let _alone = run_alone();
    let mut system = start_system("calm", MANY_FDS, start_upstream());
    for framing in [
        Framing::Length,
        Framing::Chunks(64 << 10),
        Framing::Chunks(1),
    ] {
        let response = exchange(system.http, &upload(framing, MAX_BODY_BYTES), GROUP_LIMIT);
        let expected = describe_body(MAX_BODY_BYTES);
        assert_eq!(response, Some((200, expected)), "{framing:?}");
        check_process("the balancer", &mut system.data_plane, MANY_FDS);
    }
}
