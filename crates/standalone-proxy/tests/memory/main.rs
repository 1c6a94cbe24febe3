//! A standalone proxy in front of clients that nobody controls: it stays within its memory, and ordinary requests beside
//! them are answered.

#[path = "../proxy/harness.rs"]
#[expect(dead_code, reason = "shared with the other tests of the proxy")]
mod harness;

use harness::{Client, Proxy, Upstream, config, ok, serving_entries, unsafe_request};
use serde_json::json;

/// The memory of the machine in MiB; an eighth of it is for request bodies.
const MACHINE_MEMORY_MB: usize = 32;
/// The maximum size of a body.
const MAX_BODY_BYTES: usize = 64 << 10;
/// The clients of a group, whose bodies need more than all memory for bodies.
const CLIENTS: usize = 80;
/// The groups that come one after another: each ends after the time that a body may take.
const GROUPS: usize = 4;

/// Returns the most resident memory that the proxy has ever had, in MiB.
fn peak_resident_mb(proxy: &Proxy) -> usize {
    let path = format!("/proc/{}/status", proxy.child.id());
    let status = std::fs::read_to_string(path).expect("it runs");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kb: usize = peak
        .and_then(|value| value.split_whitespace().next()?.parse().ok())
        .expect("VmHWM is a number");
    kb >> 10
}

/// Guards against stalled clients that occupy the memory for bodies, so that ordinary requests are refused.
#[test]
fn stalled_bodies_leave_memory_to_others() {
    let upstream = Upstream::start(|_| ok("ok"));
    let mut settings = config(&serving_entries(&[&upstream]));
    settings["limits"]["memory_mb"] = json!(MACHINE_MEMORY_MB);
    let mut proxy = Proxy::start(&settings);
    let mut group = Vec::new();
    for number in 0..GROUPS {
        for client in 0..CLIENTS {
            let id = format!("stalled-{number}-{client}");
            let request = unsafe_request(&id, 5000, &"x".repeat(MAX_BODY_BYTES));
            let mut client = Client::to(proxy.address);
            client.send(&request[..request.len() - 1]);
            group.push(client);
        }
        let ordinary = unsafe_request(&format!("ordinary-{number}"), 5000, "body");
        let response = proxy.client().request(&ordinary);
        assert_eq!(response.status(), 200, "beside group {number}");
    }
    let ended = proxy.child.try_wait().expect("a child");
    assert!(ended.is_none(), "the proxy has ended: {ended:?}");
    let peak_mb = peak_resident_mb(&proxy);
    assert!(
        peak_mb <= MACHINE_MEMORY_MB,
        "the proxy has held {peak_mb} MiB"
    );
}
