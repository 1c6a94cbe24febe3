//! Helpers of the tests that run whole processes: starting them and waiting for events.
#![allow(dead_code, reason = "each test program uses only a part of it")]

pub(crate) mod http_client;
pub(crate) mod mock_server;

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output};
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use http_client::get;

/// The program under test.
pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_shorefront");
/// Time limit for an expected event, long enough for a busy machine.
pub(crate) const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// Interval between two checks for an expected event.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A process that is killed when the test ends.
pub(crate) struct Process(pub(crate) Child);

impl Process {
    /// Kills the process with SIGKILL, and waits until it has ended.
    pub(crate) fn kill(&mut self) {
        self.0.kill().expect("killed");
        self.0.wait().expect("gone");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a role with the given settings, which are written to a file in `folder`.
pub(crate) fn start(folder: &Path, role: &str, settings: &Value) -> Process {
    let file = folder.join(format!("{role}.json"));
    std::fs::write(&file, settings.to_string()).expect("written");
    let child = Command::new(PROGRAM)
        .arg(role)
        .env("SHOREFRONT_SETTINGS", file)
        .spawn();
    Process(child.expect("started"))
}

/// Returns the exit status of a command, and what it wrote to standard output and standard error.
pub(crate) fn status_and_output(output: &Output) -> (Option<i32>, String) {
    let written = [&output.stdout[..], &output.stderr[..]].concat();
    let text = String::from_utf8_lossy(&written).into_owned();
    (output.status.code(), text)
}

/// Returns the loopback address with this port.
pub(crate) fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns a free port below the range that the system uses for outgoing connections, so that none of them can take it
/// between this check and its use.
pub(crate) fn free_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 10_000 + ((std::process::id() * 16) as u16).wrapping_add(step) % 20_000;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// Returns a free address on loopback.
pub(crate) fn free_address() -> SocketAddr {
    loopback(free_port())
}

/// Calls `poll` until it returns a value. Panics after [`WAIT_LIMIT`].
pub(crate) fn wait_for<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        if let Some(result) = poll() {
            return result;
        }
        assert!(
            started.elapsed() < WAIT_LIMIT,
            "{what}: not within {WAIT_LIMIT:?}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

/// Waits until a data-plane balancer reports readiness at this address.
pub(crate) fn wait_until_ready(readiness: SocketAddr) {
    wait_for("readiness", || {
        get(readiness, "r", "/-/ready").filter(|a| a.status == 200)
    });
}

/// Creates an empty folder for this test run.
pub(crate) fn temporary_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("shorefront-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// Settings that all processes of a test have in common.
pub(crate) struct SettingsTemplate {
    /// Address of the control balancer's HTTP API.
    pub(crate) ctl: SocketAddr,
    /// Port for connections between control processes.
    pub(crate) internal_port: u16,
    /// Address of the platform's API.
    pub(crate) platform: SocketAddr,
}

impl SettingsTemplate {
    /// Returns the settings of a process that stores its data in `folder`. A control process with `bootstrap` may
    /// initialize a new system.
    pub(crate) fn settings(
        &self,
        node: &str,
        folder: &Path,
        bootstrap: bool,
        listen: &Value,
    ) -> Value {
        let internal_port = self.internal_port;
        json!({"node": node, "ip": "127.0.0.1", "zone": "a", "region": "r", "zone_map": {"a": "r"},
            "listen": listen, "port_range": [internal_port, internal_port], "seeds": [self.ctl],
            "bootstrap": bootstrap, "data_dir": folder.join("data"),
            "cloud_api": {"addr": self.platform}})
    }
}

/// Returns an upstream as an entry of the platform's instance list.
pub(crate) fn instance(id: &str, service: &str, address: SocketAddr, slots: u32) -> Value {
    json!({"id": id, "svc": service, "addr": address, "zone": "a", "slots": slots,
        "state": "ready", "warm_left_ms": 0})
}

/// Returns the platform's instance list.
pub(crate) fn instance_list(instances: &[Value]) -> String {
    json!({"instances": instances, "next_token": null}).to_string()
}
