//! Changes of the configuration, and their durability when the control process is killed.

use serde_json::{Value, json};

use crate::common::http_client::{Response, get, replace_config};
use crate::common::{wait_for, wait_until_ready};
use crate::system::System;

fn config(revision: u64, service: &str) -> Value {
    json!({"rev": revision, "services": [{"name": "one"}, {"name": "two"}],
        "routes": [{"name": "r", "host": "h.example", "path_prefix": "/p/", "type": "idempotent",
            "deadline_ms": 5000, "target_ms": 1000, "svc": service, "tries": 2}]})
}

fn response_from(upstream: &str) -> Option<Response> {
    Some(Response {
        status: 200,
        body: format!("from {upstream}"),
    })
}

/// Checks the metrics of the data plane, on its readiness address, and of the control plane, on `ctl`.
fn check_metrics(system: &System) {
    let data_plane_metrics = get(system.readiness, "r", "/-/metrics").expect("metrics");
    for line in [
        "shorefront_requests_total{route=\"r\",outcome=\"Served\"} 1",
        "shorefront_unrouted_requests_total 1",
        "shorefront_configuration_version 5",
        "shorefront_upstreams 2",
    ] {
        let metrics = &data_plane_metrics.body;
        assert!(metrics.contains(line), "no {line}: {metrics}");
    }
    let control_metrics = get(system.ctl, "c", "/-/metrics").expect("metrics");
    for line in [
        "shorefront_control_leads 1",
        "shorefront_control_upstreams{zone=\"a\"} 2",
    ] {
        let metrics = &control_metrics.body;
        assert!(metrics.contains(line), "no {line}: {metrics}");
    }
}

#[test]
fn changed_route_takes_effect_and_survives_a_kill_of_the_control_process() {
    let mut system = System::start("path");
    let (ctl, http) = (system.ctl, system.http);
    let replace = |base, config: &Value| replace_config(ctl, base, config);
    wait_for("the first configuration", || {
        replace(0, &config(5, "one")).filter(|status| *status == 200)
    });
    let again = replace(0, &config(5, "one"));
    assert_eq!(again, Some(200), "sent again unchanged");
    let on_other_base = replace(0, &config(6, "two"));
    assert_eq!(
        on_other_base,
        Some(412),
        "on a revision that is not current"
    );
    let unknown_service = replace(5, &config(6, "three"));
    assert_eq!(unknown_service, Some(400), "an unknown service");

    wait_until_ready(system.readiness);
    assert_eq!(get(http, "h.example", "/p/x"), response_from("i-1"));
    assert_eq!(get(http, "h.example", "/q/").map(|a| a.status), Some(404));
    check_metrics(&system);

    assert_eq!(replace(5, &config(8, "two")), Some(200));
    wait_for("the changed route", || {
        get(http, "h.example", "/p/x").filter(|a| a.body == "from i-2")
    });

    // After a kill the control process recovers what it acknowledged. Requests are served meanwhile.
    system.kill_control();
    assert_eq!(get(http, "h.example", "/p/x"), response_from("i-2"));
    system.restart_control();
    let recovered = wait_for("the configuration", || {
        get(ctl, "c", "/-/Config.Read").filter(|a| a.status == 200)
    });
    let recovered: Value = serde_json::from_str(&recovered.body).expect("JSON");
    assert_eq!(recovered, config(8, "two"));
}
