//! Sharded services, whose upstreams each own a part of the keys.

use serde_json::json;

use crate::common::http_client::send;
use crate::common::wait_for;
use crate::system::System;

const GRANT: &str = "POST /-/grant HTTP/1.1";

fn grants(system: &System) -> usize {
    let lines = system.request_lines();
    lines.iter().filter(|line| *line == GRANT).count()
}

#[test]
fn restarted_control_process_renews_existing_leases() {
    let mut system = System::start("keys");
    system.configure(
        &json!({"rev": 5, "services": [{"name": "one", "sharded": true}],
        "routes": [{"name": "r", "host": "h", "path_prefix": "/p/", "type": "idempotent",
            "deadline_ms": 5000, "target_ms": 1000, "svc": "one", "tries": 2}]}),
    );
    let headers = "Host: h\r\nAttempt-Id: 1\r\nDeadline-Ms: 4000\r\nConnection: close\r\n";
    let request = format!("GET /p/x HTTP/1.1\r\n{headers}Shard-Key: 70\r\n\r\n");
    let response = wait_for("an owner of the key", || {
        send(system.http, &request).filter(|a| a.status == 200)
    });
    assert_eq!(response.body, "from i-1");
    wait_for("a grant", || (grants(&system) > 0).then_some(()));
    // The restarted process reads the owners of the keys from its disk, and renews their leases.
    system.kill_control();
    let before = grants(&system);
    system.restart_control();
    wait_for("a renewal", || (grants(&system) > before).then_some(()));
    let response = send(system.http, &request).map(|a| a.body);
    assert_eq!(response, Some("from i-1".into()));
    let lines = system.request_lines();
    assert!(
        !lines.iter().any(|l| l.starts_with("POST /-/release")),
        "{lines:?}"
    );
}
