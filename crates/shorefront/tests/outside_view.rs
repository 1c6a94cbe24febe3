//! Golden tests of what operators and other programs see of shorefront: command-line help, exit statuses with their
//! error texts, `shorefront status`, and the names in `/-/metrics` and `/-/Status`. They must not change unnoticed.
//!
//! `SHOREFRONT_WRITE_FIXTURES=1 cargo test -p shorefront --test outside_view` rewrites the golden files. Without the
//! variable a missing file is a failure.

mod common;

use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::thread;
use std::time::Duration;

use common::http_client::{connect, get, replace_config};
use common::mock_server::start_mock_server;
use common::{
    PROGRAM, Process, SettingsTemplate, free_address, free_port, instance, instance_list, start,
    status_and_output, temporary_folder, wait_for, wait_until_ready,
};
use serde_json::{Value, json};

/// Environment variable that, set to `1`, has the golden files written before they are compared.
const WRITE_FIXTURES_ENV_VAR: &str = "SHOREFRONT_WRITE_FIXTURES";

/// Compares a text with its golden file.
fn assert_golden(name: &str, text: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name);
    if std::env::var(WRITE_FIXTURES_ENV_VAR).is_ok_and(|value| value == "1") {
        std::fs::write(&path, text).expect("written");
    }
    let golden = std::fs::read_to_string(&path);
    let golden = golden.unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    assert_eq!(text, golden, "{name}");
}

/// Runs the program in a folder. Returns its exit status, and what it wrote to standard output and standard error.
fn run(folder: &Path, arguments: &[&str], settings: Option<&str>) -> (Option<i32>, String) {
    let mut command = Command::new(PROGRAM);
    command.current_dir(folder).args(arguments);
    command
        .env_remove("SHOREFRONT_SETTINGS")
        .env_remove("SHOREFRONT_LOG");
    if let Some(file) = settings {
        command.env("SHOREFRONT_SETTINGS", file);
    }
    status_and_output(&command.output().expect("run"))
}

fn usable_settings() -> Value {
    json!({"node": "edge-1", "ip": "127.0.0.1", "zone": "a", "region": "r", "zone_map": {"a": "r"},
        "listen": {}, "port_range": [7000, 7010]})
}

fn settings_with(field: &str, value: Value) -> String {
    let mut settings = usable_settings();
    settings[field] = value;
    settings.to_string()
}

#[test]
fn command_line_help_is_unchanged() {
    let commands: [&[&str]; 14] = [
        &[],
        &["data-plane"],
        &["control"],
        &["check"],
        &["config"],
        &["config", "get"],
        &["config", "replace"],
        &["config", "amend"],
        &["config", "check"],
        &["config", "diff"],
        &["drain"],
        &["drain", "begin"],
        &["drain", "finish"],
        &["status"],
    ];
    let mut text = String::new();
    for command in commands {
        let (status, help) = run(Path::new("/"), &[command, &["--help"]].concat(), None);
        assert_eq!(status, Some(0), "{help}");
        let _ = writeln!(
            text,
            "{}:\n{help}",
            [&["shorefront"], command].concat().join(" ")
        );
    }
    assert_golden("help.txt", &text);
}

#[test]
fn unusable_settings_end_with_78_and_name_file_and_field() {
    let folder = temporary_folder("outside-settings");
    let file = folder.join("boot.json");
    let mut without_ip = usable_settings();
    without_ip.as_object_mut().expect("an object").remove("ip");
    let cases = [
        ("a field is missing", without_ip.to_string()),
        ("a field of the wrong type", settings_with("node", json!(7))),
        (
            "a nested field of the wrong type",
            settings_with("bounds", json!({"drain_ms": "x"})),
        ),
        (
            "an address that is none",
            settings_with("listen", json!({"http": "nowhere"})),
        ),
        (
            "ports in the wrong order",
            settings_with("port_range", json!([7010, 7000])),
        ),
        (
            "its own zone is unknown",
            settings_with("zone_map", json!({"b": "r"})),
        ),
        ("no heartbeat", settings_with("heartbeat_ms", json!(0))),
        ("not JSON", "{\"node\"".to_string()),
    ];
    let mut text = String::new();
    for (case, settings) in &cases {
        std::fs::write(&file, settings).expect("written");
        let (status, error) = run(&folder, &["check", "boot.json"], None);
        let _ = writeln!(text, "{case}: {status:?}\n{error}");
        assert_eq!(status, Some(78), "{case}: {error}");
        for role in ["data-plane", "control"] {
            let ended = run(&folder, &[role], Some("boot.json"));
            assert_eq!(ended, (status, error.clone()), "{case}: {role}");
        }
    }
    let (status, error) = run(&folder, &["check", "missing.json"], None);
    let _ = writeln!(text, "no file: {status:?}\n{error}");
    let (status, error) = run(&folder, &["data-plane"], None);
    let _ = writeln!(text, "no file is named: {status:?}\n{error}");
    assert_golden("unusable-settings.txt", &text);
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn exit_statuses_tell_success_failure_and_misuse() {
    let folder = temporary_folder("outside-statuses");
    std::fs::write(folder.join("good.json"), usable_settings().to_string()).expect("written");
    let good = (Some(0), "edge-1: good\n".to_string());
    assert_eq!(run(&folder, &["check", "good.json"], None), good);
    assert_eq!(run(&folder, &["check"], Some("good.json")), good);

    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let in_use = listener.local_addr().expect("an address");
    let mut settings = usable_settings();
    settings["port_range"] = json!([in_use.port(), in_use.port()]);
    settings["listen"] = json!({"http": in_use, "readiness": in_use, "ctl": in_use});
    settings["data_dir"] = json!(folder.join("data"));
    std::fs::write(folder.join("in-use.json"), settings.to_string()).expect("written");
    for role in ["data-plane", "control"] {
        let (status, error) = run(&folder, &[role], Some("in-use.json"));
        assert_eq!(status, Some(1), "{role}: {error}");
        assert!(error.contains("shorefront: "), "{role}: {error}");
    }

    let (status, error) = run(&folder, &["config", "check", "missing.json"], None);
    assert_eq!(status, Some(1), "{error}");
    assert_eq!(run(&folder, &["no-such-command"], None).0, Some(2));
    let unreachable = free_address().to_string();
    let arguments = ["status", "--patience", "0.1", "--at", &unreachable];
    assert_eq!(run(&folder, &arguments, None).0, Some(4));
    let _ = std::fs::remove_dir_all(&folder);
}

fn leader_status() -> Value {
    let member = |address: &str, voter: bool, in_contact: bool| {
        json!({"address": address, "id": "00000000000000ab", "voter": voter, "in_contact": in_contact,
            "silence_ms": 120, "behind": 3})
    };
    let balancer = |node: &str, ready: bool, leaving: bool| json!({"node": node, "zone": "zone-a", "http": "10.0.1.1:80", "ready": ready, "leaving": leaving});
    json!({"node": "control-1", "id": "00000000000000ab", "role": "leader", "term": 4,
        "leader": "10.0.0.1:7000", "in_contact": true, "contact_age_ms": 10, "commit": 250, "last": 251,
        "voters": ["10.0.0.1:7000", "10.0.0.2:7000"], "learners": ["10.0.0.3:7000"],
        "members": [member("10.0.0.1:7000", true, true), member("10.0.0.3:7000", false, false)],
        "losses_borne": 1, "rev": 41,
        "balancers": [balancer("edge-1", true, false), balancer("edge-2", false, false),
            balancer("edge-3", true, true)],
        "evacuated": {"zone-b": 2},
        "keys": {"one": {"slices": 5, "leaving": 1, "held": {"i-1": 3, "i-2": 1}}}})
}

fn follower_status() -> Value {
    json!({"node": "control-2", "id": "00000000000000cd", "role": "follower", "term": 4, "leader": null,
        "in_contact": false, "contact_age_ms": null, "commit": 200, "last": 200,
        "voters": ["10.0.0.1:7000", "10.0.0.2:7000"], "learners": [], "members": null,
        "losses_borne": null, "rev": 40, "balancers": [], "evacuated": {}, "keys": {}})
}

#[test]
fn status_output_for_fixed_responses_is_unchanged() {
    let serve = |status: Value| start_mock_server(move |_, _| status.to_string()).to_string();
    let (leader, follower) = (serve(leader_status()), serve(follower_status()));
    let cases: [(&str, Vec<&str>); 4] = [
        ("a leader", vec!["--at", &leader]),
        (
            "a leader and a follower",
            vec!["--at", &follower, "--at", &leader],
        ),
        ("a follower without a leader", vec!["--at", &follower]),
        ("as JSON", vec!["--at", &leader, "--output", "json"]),
    ];
    let mut text = String::new();
    for (case, arguments) in cases {
        let (status, shown) = run(
            Path::new("/"),
            &[&["status"], &arguments[..]].concat(),
            None,
        );
        assert_eq!(status, Some(0), "{shown}");
        let _ = writeln!(text, "{case}:\n{shown}");
    }
    assert_golden("status.txt", &text);
}

/// A control balancer and a data-plane balancer on loopback, with mock servers for the platform and one upstream.
struct System {
    folder: PathBuf,
    ctl: SocketAddr,
    http: SocketAddr,
    readiness: SocketAddr,
    _processes: [Process; 2],
}

impl System {
    fn start(name: &str) -> Self {
        let folder = temporary_folder(name);
        let upstream = start_mock_server(|request_line, _| {
            if request_line.contains("/slow") {
                thread::sleep(Duration::from_millis(300));
            }
            "answered".into()
        });
        let list = instance_list(&[instance("i-1", "one", upstream, 8)]);
        let (ctl, http, readiness) = (free_address(), free_address(), free_address());
        let template = SettingsTemplate {
            ctl,
            internal_port: free_port(),
            platform: start_mock_server(move |_, _| list.clone()),
        };
        let settings = |listen: &Value| template.settings("edge-1", &folder, true, listen);
        let control = start(&folder, "control", &settings(&json!({"ctl": ctl})));
        let listen = json!({"http": http, "readiness": readiness});
        let data_plane = start(&folder, "data-plane", &settings(&listen));
        let system = Self {
            folder,
            ctl,
            http,
            readiness,
            _processes: [control, data_plane],
        };
        system.configure();
        system
    }

    fn configure(&self) {
        let route = |name: &str, kind: &str| {
            json!({"name": name, "host": "h", "path_prefix": format!("/{name}/"), "type": kind,
                "deadline_ms": 5000, "target_ms": 1000, "svc": "one", "tries": 2})
        };
        let config = json!({"rev": 5, "services": [{"name": "one"}],
            "routes": [route("repeated", "idempotent"), route("once", "mutating")]});
        wait_for("the configuration", || {
            replace_config(self.ctl, 0, &config).filter(|status| *status == 200)
        });
        wait_until_ready(self.readiness);
    }

    /// Sends a request, and closes the connection before the response.
    fn abandon_request(&self, path: &str) {
        let headers = "Host: h\r\nAttempt-Id: 7\r\nDeadline-Ms: 4000\r\n\r\n";
        let mut client = connect(self.http).expect("reachable");
        client
            .write_all(format!("GET {path} HTTP/1.1\r\n{headers}").as_bytes())
            .expect("sent");
        thread::sleep(Duration::from_millis(100));
    }
}

impl Drop for System {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns the names, types, units and labels of metrics, sorted, without values and without the ports of this run.
fn metric_names(text: &str) -> String {
    let lines = text
        .lines()
        .filter(|l| !l.starts_with("# HELP") && *l != "# EOF");
    let names = lines.map(|line| match line.strip_prefix("# ") {
        Some(_) => line.to_string(),
        None => without_port(line.rsplit_once(' ').map_or(line, |(name, _)| name)),
    });
    names
        .collect::<BTreeSet<_>>()
        .into_iter()
        .map(|name| name + "\n")
        .collect()
}

fn without_port(name: &str) -> String {
    match name.split_once("member=\"127.0.0.1:") {
        Some((before, port)) => {
            let after = port.trim_start_matches(|c: char| c.is_ascii_digit());
            format!("{before}member=\"127.0.0.1:PORT{after}")
        }
        None => name.to_string(),
    }
}

/// Adds the paths of all fields of a JSON document to `names`. The items of a list share their paths.
fn field_names(value: &Value, path: &str, names: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                field_names(value, &format!("{path}.{name}"), names);
            }
        }
        Value::Array(items) => {
            items
                .iter()
                .for_each(|item| field_names(item, &format!("{path}[]"), names));
        }
        _ => {}
    }
    names.insert(path.to_string());
}

#[test]
fn names_of_metrics_and_of_status_fields_are_unchanged() {
    let system = System::start("outside-names");
    let response = get(system.http, "h", "/once/x");
    assert_eq!(response.map(|a| a.status), Some(200));
    let metrics = |at: SocketAddr| get(at, "r", "/-/metrics").map(|response| response.body);
    // The two ways in which an attempt ends after its client has disconnected.
    let ends = [
        r#"seconds_count{end="Cancelled"}"#,
        r#"seconds_count{end="Finished"}"#,
    ];
    let data_plane = wait_for("abandoned attempts", || {
        system.abandon_request("/repeated/slow");
        system.abandon_request("/once/slow");
        let metrics = metrics(system.readiness)?;
        let has_all = ends.iter().all(|end| metrics.contains(end));
        has_all.then_some(metrics)
    });
    assert_golden("data-plane-metrics.txt", &metric_names(&data_plane));

    let control = metrics(system.ctl).expect("metrics");
    assert_golden("control-plane-metrics.txt", &metric_names(&control));

    let status = wait_for("status", || {
        get(system.ctl, "c", "/-/Status").filter(|a| a.status == 200)
    });
    let status: Value = serde_json::from_str(&status.body).expect("JSON");
    assert_eq!(status["role"], "leader");
    let mut names = BTreeSet::new();
    field_names(&status, "", &mut names);
    let names: String = names.into_iter().map(|name| name + "\n").collect();
    assert_golden("status-fields.txt", &names);
}
