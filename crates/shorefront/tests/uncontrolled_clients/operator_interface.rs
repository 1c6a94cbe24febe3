//! ClientGroups at the interface for operators.

use serde_json::json;

use crate::client_group::{ClientGroup, Framing, Upload, wait_until_settled};
use crate::common::http_client::{get, post, replace_config, send};
use crate::common::wait_for;
use crate::machine::{FEW_FDS, MANY_FDS, Machine, check_process};
use crate::system::System;
use crate::{LONG_TIMES, config, run_alone, start_system, start_upstream};

/// The maximum size of a configuration.
const MAX_CONFIGURATION_BYTES: usize = 8 << 20;
/// The callers in a group.
const CALLERS: usize = 32;
/// The callers in a group that sends tiny chunks.
const CALLERS_WITH_TINY_CHUNKS: usize = 16;

/// The error text of a change that is refused for lack of memory.
const NO_MEMORY: &str = "no memory";

/// Lets a group send configurations of which most stop just short of their end, and checks the control balancer while
/// they stay open: it lives within its limits, and one ordinary call of each kind succeeds.
fn check_beside_configurations(name: &str, callers: usize, framing: Framing, body_bytes: usize) {
    let _alone = run_alone();
    let mut system = start_system(name, MANY_FDS, start_upstream());
    let upload = Upload {
        head: "POST /-/Config.Replace HTTP/1.1\r\nHost: c\r\nBase-Version: 5\r\n".into(),
        framing,
        body_bytes,
        withheld_bytes: match framing {
            Framing::Length => 1,
            Framing::Chunks(bytes) => bytes,
        },
    };
    let group = ClientGroup::upload(system.ctl, callers, &upload);
    check_process("the control balancer", system.control(), MANY_FDS);
    let amendment = json!({"rev": 7, "upsert": {}, "remove": {}});
    // Where the log takes long to sync, an operator is told to send the change again (503).
    let status = wait_for("an amendment beside the group", || {
        let response = post(system.ctl, "/-/Config.Amend", 5, &amendment)?;
        assert!(!response.body.contains(NO_MEMORY), "{}", response.body);
        (response.status != 503).then_some(response.status)
    });
    assert_eq!(status, 200, "an amendment beside the group");
    drop(group);
    let revision = wait_for("the configuration", || {
        get(system.ctl, "c", "/-/Config.Read").filter(|response| response.status == 200)
    });
    assert!(revision.body.contains("\"rev\":7"), "{}", revision.body);
    check_process("the control balancer", system.control(), MANY_FDS);
}

/// Guards against configurations of which each is limited, but not all together.
#[test]
fn announced_configurations_that_stop_short_stay_within_memory() {
    check_beside_configurations(
        "ctl-length",
        CALLERS,
        Framing::Length,
        MAX_CONFIGURATION_BYTES,
    );
}

/// Guards against the same in chunks.
#[test]
fn chunked_configurations_that_stop_short_stay_within_memory() {
    let framing = Framing::Chunks(64 << 10);
    check_beside_configurations("ctl-chunks", CALLERS, framing, MAX_CONFIGURATION_BYTES);
}

/// Guards against memory that grows with the number of chunks of a configuration.
#[test]
fn configurations_in_tiny_chunks_stay_within_memory() {
    let framing = Framing::Chunks(1);
    check_beside_configurations("ctl-tiny", CALLERS_WITH_TINY_CHUNKS, framing, 256 << 10);
}

/// The size of a configuration that callers read.
const LARGE_CONFIGURATION_BYTES: usize = 1 << 20;
/// Calls on one connection: their responses are more than the kernel buffers.
const CALLS_PER_CONNECTION: usize = 12;

/// Guards against a copy of the configuration for each caller that does not read it.
#[test]
fn unread_configurations_stay_within_memory() {
    let _alone = run_alone();
    let mut system = start_system("ctl-unread", MANY_FDS, start_upstream());
    let mut large = config(LONG_TIMES);
    large["rev"] = json!(7);
    large["comment"] = json!("x".repeat(LARGE_CONFIGURATION_BYTES));
    wait_for("the large configuration", || {
        replace_config(system.ctl, 5, &large).filter(|status| *status == 200)
    });
    let call = "GET /-/Config.Read HTTP/1.1\r\nHost: c\r\n\r\n";
    let group = ClientGroup::send(
        system.ctl,
        120,
        call.repeat(CALLS_PER_CONNECTION).as_bytes(),
    );
    wait_until_settled(system.ctl);
    for _ in 0..10 {
        let read = wait_for("a response beside the group", || {
            get(system.ctl, "c", "/-/Config.Read").filter(|response| response.status == 200)
        });
        assert!(read.body.len() > LARGE_CONFIGURATION_BYTES);
    }
    check_process("the control balancer", system.control(), MANY_FDS);
    drop(group);
}

/// Checks that the control balancer lives within its limits, and that a caller gets the configuration.
fn check_control_balancer(system: &mut System, machine: Machine) {
    wait_for("the configuration", || {
        get(system.ctl, "c", "/-/Config.Read").filter(|response| response.status == 200)
    });
    check_process("the control balancer", system.control(), machine);
}

/// Guards against a configuration whose values take many times the memory of its text: it is parsed as a whole.
#[test]
fn configurations_of_many_small_values_stay_within_memory() {
    let _alone = run_alone();
    let mut system = start_system("ctl-values", MANY_FDS, start_upstream());
    for value in [r#"{"a":0}"#, "[0]", "0", r#""""#] {
        let values = format!("{value},").repeat(MAX_CONFIGURATION_BYTES / (value.len() + 1) - 16);
        let body = format!(r#"{{"rev":7,"upsert":{{"routes":[{values}{value}]}}}}"#);
        for call in ["Replace", "Amend"] {
            let request = format!(
                "POST /-/Config.{call} HTTP/1.1\r\nHost: c\r\nBase-Version: 5\r\nConnection: close\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let status = send(system.ctl, &request).map(|response| response.status);
            check_process("the control balancer", system.control(), MANY_FDS);
            assert_eq!(status, Some(413), "{call} of {value}");
        }
    }
    check_control_balancer(&mut system, MANY_FDS);
}

/// Connections to the port for other processes: more than the machine has descriptors.
const UNFINISHED_HANDSHAKES: usize = 400;

/// Guards against connections on which no handshake arrives, and against memory for handshakes that never end.
#[test]
fn unfinished_handshakes_leave_descriptors_and_memory_to_others() {
    let _alone = run_alone();
    let mut system = start_system("handshakes", FEW_FDS, start_upstream());
    let mut frame = u32::to_be_bytes(MAX_CONFIGURATION_BYTES as u32).to_vec();
    frame.resize(1 << 20, 0);
    let group = ClientGroup::send(system.internal(), UNFINISHED_HANDSHAKES, &frame);
    check_control_balancer(&mut system, FEW_FDS);
    drop(group);
    check_control_balancer(&mut system, FEW_FDS);
}
