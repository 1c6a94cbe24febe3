//! A control balancer and a data-plane balancer, with mock servers for the platform and an upstream.
#![allow(dead_code, reason = "each test program uses only a part of it")]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

use serde_json::{Value, json};

use crate::common::http_client::replace_config;
use crate::common::mock_server::start_mock_server;
use crate::common::{
    Process, SettingsTemplate, free_address, free_port, instance, instance_list, loopback, start,
    temporary_folder, wait_for, wait_until_ready,
};

pub(crate) struct System {
    pub(crate) folder: PathBuf,
    pub(crate) ctl: SocketAddr,
    pub(crate) http: SocketAddr,
    pub(crate) readiness: SocketAddr,
    settings: SettingsTemplate,
    control: Option<Process>,
    pub(crate) data_plane: Process,
    /// Request lines that the upstream has received.
    request_lines: Arc<Mutex<Vec<String>>>,
}

impl System {
    /// Starts the system with upstream `i-1` of service `one` and `i-2` of service `two`. Each responds with the
    /// name of the upstream that the request was meant for.
    pub(crate) fn start(name: &str) -> Self {
        let request_lines = Arc::new(Mutex::new(Vec::new()));
        let upstream = start_upstream(request_lines.clone());
        let instances = [
            instance("i-1", "one", upstream, 2),
            instance("i-2", "two", upstream, 2),
        ];
        let mut system = Self::start_with(name, &json!({}), &instances);
        system.request_lines = request_lines;
        system
    }

    /// Starts the system on machines with these limits (`limits` of the settings), with these upstreams.
    pub(crate) fn start_with(name: &str, limits: &Value, instances: &[Value]) -> Self {
        let folder = temporary_folder(name);
        let list = instance_list(instances);
        let platform = start_mock_server(move |_, _| list.clone());
        let (ctl, http, readiness) = (free_address(), free_address(), free_address());
        let settings = SettingsTemplate {
            ctl,
            internal_port: free_port(),
            platform,
        };
        let of = |listen: &Value| {
            let mut settings = settings.settings("edge-1", &folder, true, listen);
            settings["limits"] = limits.clone();
            settings
        };
        let control = start(&folder, "control", &of(&json!({"ctl": ctl})));
        let listen = json!({"http": http, "readiness": readiness});
        let data_plane = start(&folder, "data-plane", &of(&listen));
        Self {
            folder,
            ctl,
            http,
            readiness,
            settings,
            control: Some(control),
            data_plane,
            request_lines: Arc::default(),
        }
    }

    /// Returns the running control balancer.
    pub(crate) fn control(&mut self) -> &mut Process {
        self.control.as_mut().expect("it runs")
    }

    /// Returns the address for other control processes and for balancers.
    pub(crate) fn internal(&self) -> SocketAddr {
        loopback(self.settings.internal_port)
    }

    /// Applies the first configuration, and waits until the data plane is ready.
    pub(crate) fn configure(&self, config: &Value) {
        wait_for("the configuration", || {
            replace_config(self.ctl, 0, config).filter(|status| *status == 200)
        });
        wait_until_ready(self.readiness);
    }

    /// Kills the control balancer with SIGKILL.
    pub(crate) fn kill_control(&mut self) {
        self.control().kill();
        self.control = None;
    }

    /// Starts the control balancer again with its stored data.
    pub(crate) fn restart_control(&mut self) {
        let listen = json!({"ctl": self.ctl});
        let settings = self
            .settings
            .settings("edge-1", &self.folder, false, &listen);
        self.control = Some(start(&self.folder, "control", &settings));
    }

    /// Returns the request lines that the upstream has received so far.
    pub(crate) fn request_lines(&self) -> Vec<String> {
        self.request_lines.lock().expect("whole").clone()
    }
}

impl Drop for System {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn start_upstream(request_lines: Arc<Mutex<Vec<String>>>) -> SocketAddr {
    start_mock_server(move |request_line, headers| {
        let line = request_line.trim_end().to_string();
        request_lines.lock().expect("whole").push(line);
        // Each request says which upstream it is meant for.
        let target = headers
            .lines()
            .find_map(|l| l.strip_prefix("target-instance: "));
        format!("from {}", target.unwrap_or("nobody"))
    })
}
