//! Clients: send requests to a balancer and keep what they were answered.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::http::call;
use crate::record::Record;

/// The host of all routes.
pub const HOST: &str = "desk.example";

/// What a client was answered. Status 0: the connection ended without an answer.
#[derive(Clone)]
pub struct Answered {
    pub attempt: String,
    pub path: String,
    pub status: u16,
}

#[derive(Clone)]
pub struct Clients {
    pub to: SocketAddr,
    pub record: Arc<Record>,
    pub answered: Arc<Mutex<Vec<Answered>>>,
}

impl Clients {
    /// Sends one request from a thread of its own.
    pub fn send(
        &self,
        method: &'static str,
        path: &str,
        attempt: &str,
        deadline_ms: u64,
    ) -> JoinHandle<()> {
        self.send_key(method, path, attempt, deadline_ms, None)
    }

    /// Sends one request, with a `Shard-Key` if there is one.
    pub fn send_key(
        &self,
        method: &'static str,
        path: &str,
        attempt: &str,
        deadline_ms: u64,
        key: Option<u16>,
    ) -> JoinHandle<()> {
        let (this, path, attempt) = (self.clone(), path.to_string(), attempt.to_string());
        thread::spawn(move || {
            let mut headers = vec![
                ("Host", HOST.to_string()),
                ("Attempt-Id", attempt.clone()),
                ("Deadline-Ms", deadline_ms.to_string()),
            ];
            headers.extend(key.map(|key| ("Shard-Key", key.to_string())));
            let body: &[u8] = if method == "GET" { b"" } else { b"pay 12 to 7" };
            this.record
                .say(&format!("client: sends {method} {path} attempt {attempt}"));
            let within = Duration::from_millis(deadline_ms);
            let answer = call(this.to, method, &path, &headers, body, within);
            let status = answer.map_or(0, |answer| answer.status());
            this.record
                .say(&format!("client: attempt {attempt} answered {status}"));
            this.answered.lock().expect("the answers").push(Answered {
                attempt,
                path,
                status,
            });
        })
    }
}
