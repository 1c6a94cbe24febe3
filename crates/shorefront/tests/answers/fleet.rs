//! Several data-plane balancers with a control balancer, upstreams and a mock platform.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;

use serde_json::{Value, json};

use crate::common::http_client::replace_config;
use crate::common::mock_server::start_mock_server;
use crate::common::{
    Process, SettingsTemplate, free_address, free_port, instance, instance_list, start,
    temporary_folder, wait_for, wait_until_ready,
};
use crate::upstream::{Runs, start_upstream};

const UPSTREAMS: usize = 3;
const SLOTS: u32 = 16;
const DEADLINE_MS: u64 = 20_000;

/// How a balancer is stopped.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Stop {
    /// Graceful shutdown by SIGTERM.
    Terminate,
    /// Immediate end by SIGKILL.
    Kill,
}

pub(crate) struct Fleet {
    folder: PathBuf,
    /// The runs that the upstreams recorded.
    pub(crate) runs: Runs,
    settings: SettingsTemplate,
    /// Client address of each data-plane balancer.
    pub(crate) http: Vec<SocketAddr>,
    readiness: Vec<SocketAddr>,
    balancers: Vec<Option<Process>>,
    _control: Process,
}

impl Fleet {
    /// Starts a control balancer and this many data-plane balancers that share the same upstreams.
    pub(crate) fn start(name: &str, balancers: usize) -> Self {
        let (folder, runs) = (temporary_folder(name), Runs::default());
        let instances: Vec<Value> = (0..UPSTREAMS)
            .map(|n| instance(&format!("i-{n}"), "one", start_upstream(&runs), SLOTS))
            .collect();
        let list = instance_list(&instances);
        let settings = SettingsTemplate {
            ctl: free_address(),
            internal_port: free_port(),
            platform: start_mock_server(move |_, _| list.clone()),
        };
        let listen = json!({"ctl": settings.ctl});
        let control_settings = with_grace(settings.settings("control", &folder, true, &listen));
        let control = start(&folder, "control", &control_settings);
        let mut fleet = Self {
            folder,
            runs,
            settings,
            http: (0..balancers).map(|_| free_address()).collect(),
            readiness: (0..balancers).map(|_| free_address()).collect(),
            balancers: (0..balancers).map(|_| None).collect(),
            _control: control,
        };
        (0..balancers).for_each(|n| fleet.start_balancer(n));
        wait_for("the configuration", || {
            replace_config(fleet.settings.ctl, 0, &config()).filter(|status| *status == 200)
        });
        for readiness in &fleet.readiness {
            wait_until_ready(*readiness);
        }
        fleet
    }

    fn start_balancer(&mut self, balancer: usize) {
        let listen = json!({"http": self.http[balancer], "readiness": self.readiness[balancer]});
        let node = format!("edge-{balancer}");
        let folder = self.folder.join(&node);
        std::fs::create_dir_all(&folder).expect("a folder");
        let settings = with_grace(self.settings.settings(&node, &folder, true, &listen));
        self.balancers[balancer] = Some(start(&folder, "data-plane", &settings));
    }

    /// Stops a balancer, and starts it again.
    pub(crate) fn restart(&mut self, balancer: usize, stop: Stop) {
        let mut process = self.balancers[balancer].take().expect("it runs");
        match stop {
            Stop::Kill => process.kill(),
            Stop::Terminate => {
                let id = process.0.id().to_string();
                let status = Command::new("kill").args(["-TERM", &id]).status();
                assert!(status.expect("run").success());
                process.0.wait().expect("gone");
            }
        }
        self.start_balancer(balancer);
        wait_until_ready(self.readiness[balancer]);
    }

    /// Kills all data-plane balancers.
    pub(crate) fn stop_all(&mut self) {
        self.balancers.clear();
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Adds a short grace period for requests in flight when a balancer is shut down.
fn with_grace(mut settings: Value) -> Value {
    settings["bounds"] = json!({"grace_s": 3.0});
    settings
}

fn config() -> Value {
    let route = |name: &str, kind: &str, deadline_ms: u64| {
        json!({"name": name, "host": "h", "path_prefix": format!("/{name}/"), "type": kind,
            "deadline_ms": deadline_ms, "target_ms": 5000, "svc": "one", "tries": 3})
    };
    let routes = [
        route("m", "mutating", DEADLINE_MS),
        route("i", "idempotent", DEADLINE_MS),
        route("endless", "mutating", u64::MAX),
    ];
    json!({"rev": 5, "services": [{"name": "one"}], "routes": routes})
}
