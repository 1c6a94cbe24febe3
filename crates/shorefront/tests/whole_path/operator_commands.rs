//! The operator's commands, run against a running system.

use std::path::PathBuf;
use std::process::Command;

use serde_json::{Value, json};

use crate::common::{PROGRAM, free_address, status_and_output, wait_for};
use crate::system::System;

fn config(revision: u64, service: &str) -> Value {
    json!({"rev": revision, "services": [{"name": "one"}],
        "routes": [{"name": "r", "host": "h", "path_prefix": "/p/", "type": "mutating",
            "deadline_ms": 5000, "target_ms": 1000, "svc": service, "tries": 2}]})
}

/// Runs commands against a system, with one file for configurations.
struct Operator<'a> {
    system: &'a System,
    file: PathBuf,
}

impl Operator<'_> {
    fn run(&self, arguments: &[&str]) -> (Option<i32>, String) {
        let mut command = Command::new(PROGRAM);
        command
            .args(arguments)
            .args(["--at", &self.system.ctl.to_string()])
            .env_remove("SHOREFRONT_SETTINGS");
        status_and_output(&command.output().expect("run"))
    }

    fn file(&self) -> &str {
        self.file.to_str().expect("a name")
    }

    fn write(&self, text: &str) {
        std::fs::write(&self.file, text).expect("written");
    }

    fn write_config(&self, config: &Value) {
        self.write(&config.to_string());
    }
}

fn check_config_commands(operator: &Operator) {
    let file = operator.file();
    operator.write_config(&config(5, "one"));
    let (_, text) = wait_for("a leader", || {
        Some(operator.run(&["config", "replace", file])).filter(|r| r.0 == Some(0))
    });
    let expected = "version 5 is in force, on top of 0";
    assert!(text.contains(expected), "{text}");
    let (status, _) = operator.run(&["config", "replace", file, "--base", "0"]);
    assert_eq!(status, Some(0), "sent again unchanged");
    let (status, text) = operator.run(&["config", "get", "--output", "json"]);
    assert_eq!(
        (status, serde_json::from_str(&text).ok()),
        (Some(0), Some(config(5, "one")))
    );

    operator.write_config(&json!({"rev": 7, "upsert": {"services": [{"name": "two"}]}}));
    assert_eq!(operator.run(&["config", "amend", file]).0, Some(0));
    operator.write_config(&config(9, "one"));
    let (status, text) = operator.run(&["config", "diff", file]);
    assert_eq!(status, Some(0), "{text}");
    assert!(
        text.contains("rev 7 -> 9") && text.contains("- services two"),
        "{text}"
    );
    let (status, text) = operator.run(&["config", "replace", file, "--base", "5"]);
    assert!(
        status == Some(3) && text.contains("version 7"),
        "{status:?} {text}"
    );
}

fn check_unusable_input(operator: &Operator) {
    let file = operator.file();
    operator.write_config(&config(9, "nobody"));
    for arguments in [["config", "check", file], ["config", "replace", file]] {
        let (status, text) = operator.run(&arguments);
        assert!(
            status != Some(0) && text.contains("unknown service `nobody`"),
            "{text}"
        );
    }
    operator.write("{\"rev\"");
    let (_, text) = operator.run(&["config", "replace", file]);
    assert!(text.contains("not JSON"), "{text}");
    let (_, text) = operator.run(&["config", "get", "--patience=-1"]);
    assert!(text.contains("--patience"), "{text}");
}

fn check_evacuation_and_status(operator: &Operator) {
    let (_, text) = operator.run(&["drain", "begin", "a"]);
    assert!(text.contains("evacuated (1 times)"), "{text}");
    let (status, text) = operator.run(&["status"]);
    assert_eq!(status, Some(0), "{text}");
    for part in [
        "CONTROL",
        "leader",
        "zone a is evacuated",
        "BALANCER",
        "edge-1",
    ] {
        assert!(text.contains(part), "no {part}: {text}");
    }
    let (_, text) = operator.run(&["drain", "finish", "a"]);
    assert!(text.contains("not evacuated"), "{text}");
    let (status, text) = operator.run(&["drain", "begin", "nowhere"]);
    assert!(
        status == Some(3) && text.contains("no zone"),
        "{status:?} {text}"
    );
}

/// Checks the exit status when no control balancer responds, and the error when no address is known.
fn check_without_control_balancer() {
    let unreachable = Command::new(PROGRAM)
        .args(["config", "get", "--patience", "0.2", "--at"])
        .arg(free_address().to_string())
        .output();
    assert_eq!(unreachable.expect("run").status.code(), Some(4));
    let unnamed = Command::new(PROGRAM)
        .arg("status")
        .env_remove("SHOREFRONT_SETTINGS")
        .output();
    let error = unnamed.expect("run").stderr;
    assert!(String::from_utf8_lossy(&error).contains("--at"));
}

#[test]
fn operator_commands_change_configuration_evacuate_a_zone_and_report_status() {
    let system = System::start("commands");
    let operator = Operator {
        system: &system,
        file: system.folder.join("config.json"),
    };
    check_config_commands(&operator);
    check_unusable_input(&operator);
    check_evacuation_and_status(&operator);
    check_without_control_balancer();
}
