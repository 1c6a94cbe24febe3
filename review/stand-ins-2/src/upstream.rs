//! An upstream: runs requests for a while and answers them, or loses an answer.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicI32, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Message, read_message};
use crate::record::Record;

/// What an upstream does with a request: runs it for a while and answers. While the counter is above 0, an answer is lost
/// instead: the connection is closed.
pub struct Work {
    pub after: Duration,
    pub losses: Arc<AtomicI32>,
}

/// A request that an upstream began to work on.
#[derive(Clone)]
pub struct Run {
    pub attempt: String,
    pub path: String,
    pub upstream: String,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Decides what the upstream does with a request.
pub type Decide = Arc<dyn Fn(&Message) -> Work + Send + Sync>;

#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    pub runs: Runs,
    pub decide: Decide,
    pub record: Arc<Record>,
}

impl Upstream {
    /// Serves until the program ends. Returns the address.
    pub fn serve(self, listener: TcpListener) -> SocketAddr {
        let address = listener.local_addr().expect("an address");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = self.clone();
                thread::spawn(move || {
                    let _ = upstream.connection(stream);
                });
            }
        });
        address
    }

    fn connection(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            if request.start.get(1).is_some_and(|path| path == "/health") {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                writer.write_all(head.as_bytes())?;
                continue;
            }
            if !self.handle(&request, &mut writer)? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Handles a request. Returns whether the connection goes on.
    fn handle(&self, request: &Message, writer: &mut TcpStream) -> std::io::Result<bool> {
        let attempt = request.header("attempt-id").unwrap_or("-").to_string();
        let method = request.start.first().cloned().unwrap_or_default();
        let path = request.start.get(1).cloned().unwrap_or_default();
        let say = |what: &str| {
            let id = &self.id;
            let line = format!("upstream {id}: {what} {method} {path} attempt {attempt}");
            self.record.say(&line);
        };
        let is_other = |target: &str| target != self.id;
        let target = request.header("target-instance");
        if target.is_some_and(is_other) {
            say("answers 421 (not the target) to");
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: {attempt}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
            );
            writer.write_all(answer.as_bytes())?;
            return Ok(true);
        }
        let Work { after, losses } = (self.decide)(request);
        say("begins to run");
        self.runs.lock().expect("the runs").push(Run {
            attempt: attempt.clone(),
            path: path.clone(),
            upstream: self.id.clone(),
        });
        thread::sleep(after);
        let takes_one = |left: i32| (left > 0).then(|| left - 1);
        if losses.fetch_update(SeqCst, SeqCst, takes_one).is_ok() {
            say("has run, and loses its answer to");
            writer.shutdown(std::net::Shutdown::Both)?;
            return Ok(false);
        }
        let body = format!("done by {} for {attempt}\n", self.id);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nUpstream-Seal: seal.{attempt}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        writer.write_all(answer.as_bytes())?;
        Ok(true)
    }
}
