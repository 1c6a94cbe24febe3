//! Changes of the configuration, and what is left of them when a control process is killed.

use serde_json::{Value, json};

use crate::common::http_client::{Answer, get, replace_config};
use crate::common::{wait_for, wait_until_ready};
use crate::system::System;

fn config(revision: u64, service: &str) -> Value {
    json!({"rev": revision, "services": [{"name": "one"}, {"name": "two"}],
        "routes": [{"name": "r", "host": "h.example", "path_prefix": "/p/", "type": "idempotent",
            "deadline_ms": 5000, "target_ms": 1000, "svc": service, "tries": 2}]})
}

fn answer_from(upstream: &str) -> Option<Answer> {
    Some(Answer {
        status: 200,
        body: format!("from {upstream}"),
    })
}

/// Metrics are served where the platform's checks go, and on `ctl`.
fn check_metrics(system: &System) {
    let of_data_plane = get(system.readiness, "r", "/-/metrics").expect("metrics");
    for line in [
        "shorefront_requests_total{route=\"r\",outcome=\"Served\"} 1",
        "shorefront_unrouted_requests_total 1",
        "shorefront_configuration_version 5",
        "shorefront_upstreams 2",
    ] {
        let metrics = &of_data_plane.body;
        assert!(metrics.contains(line), "no {line}: {metrics}");
    }
    let of_control = get(system.ctl, "c", "/-/metrics").expect("metrics");
    for line in [
        "shorefront_control_leads 1",
        "shorefront_control_upstreams{zone=\"a\"} 2",
    ] {
        let metrics = &of_control.body;
        assert!(metrics.contains(line), "no {line}: {metrics}");
    }
}

#[test]
fn a_change_moves_a_route_and_outlives_its_control_process() {
    let mut system = System::start("path");
    let (ctl, http) = (system.ctl, system.http);
    let replace = |base, config: &Value| replace_config(ctl, base, config);
    wait_for("the first configuration", || {
        replace(0, &config(5, "one")).filter(|status| *status == 200)
    });
    let again = replace(0, &config(5, "one"));
    assert_eq!(again, Some(200), "sent again unchanged");
    let on_another = replace(0, &config(6, "two"));
    assert_eq!(on_another, Some(412), "on a revision that is not current");
    let unknown_service = replace(5, &config(6, "three"));
    assert_eq!(unknown_service, Some(400), "an unknown service");

    wait_until_ready(system.readiness);
    assert_eq!(get(http, "h.example", "/p/x"), answer_from("i-1"));
    assert_eq!(get(http, "h.example", "/q/").map(|a| a.status), Some(404));
    check_metrics(&system);

    assert_eq!(replace(5, &config(8, "two")), Some(200));
    wait_for("the moved route", || {
        get(http, "h.example", "/p/x").filter(|a| a.body == "from i-2")
    });

    // Killed outright, it comes back with what it acknowledged; traffic goes on meanwhile.
    system.kill_control();
    assert_eq!(get(http, "h.example", "/p/x"), answer_from("i-2"));
    system.restart_control();
    let kept = wait_for("the configuration", || {
        get(ctl, "c", "/-/Config.Read").filter(|a| a.status == 200)
    });
    let kept: Value = serde_json::from_str(&kept.body).expect("JSON");
    assert_eq!(kept, config(8, "two"));
}
