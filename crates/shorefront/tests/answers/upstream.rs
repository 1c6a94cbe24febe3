//! A mock upstream that can misbehave. The header `Plan` of each request says how the upstream responds. Every run and
//! the response to it are recorded under the id of the request.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How much of a body an upstream reads if it does not wait for the whole body.
const EARLY_START_BYTES: usize = 64 << 10;

/// The response to one run of a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Run {
    pub(crate) status: u16,
    pub(crate) body: String,
    /// Whether the upstream sends the whole response.
    pub(crate) is_complete: bool,
}

/// All runs, by request id.
#[derive(Clone, Default)]
pub(crate) struct Runs(Arc<Mutex<HashMap<String, Vec<Run>>>>);

impl Runs {
    /// Returns the runs of a request.
    pub(crate) fn of(&self, id: &str) -> Vec<Run> {
        self.0
            .lock()
            .expect("whole")
            .get(id)
            .cloned()
            .unwrap_or_default()
    }

    fn add(&self, id: &str, run: Run) {
        self.0
            .lock()
            .expect("whole")
            .entry(id.to_string())
            .or_default()
            .push(run);
    }
}

/// The headers of a request that decide how the upstream responds.
struct Request {
    id: String,
    /// How the upstream responds.
    plan: String,
    /// Length of the response body.
    body_bytes: usize,
}

impl Request {
    /// Whether the upstream does not wait for the whole body.
    fn starts_early(&self) -> bool {
        self.plan.starts_with("early-")
    }

    /// Whether the response is broken off.
    fn is_truncated(&self) -> bool {
        self.plan.ends_with("truncated")
    }
}

/// Reads a request, or as much of it as the upstream reads before it responds.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let find = |name: &str| {
        let value = |line: &str| {
            Some(
                line.split_once(": ")
                    .filter(|l| l.0.eq_ignore_ascii_case(name))?
                    .1
                    .to_string(),
            )
        };
        head.lines().find_map(value)
    };
    let number = |name: &str| find(name).and_then(|v| v.parse().ok()).unwrap_or(0);
    let request = Request {
        id: find("attempt-id")?,
        plan: find("plan").unwrap_or_default(),
        body_bytes: number("size"),
    };
    let length = number("content-length");
    let read = if request.starts_early() {
        length.min(EARLY_START_BYTES)
    } else {
        length
    };
    reader.read_exact(&mut vec![0; read]).ok()?;
    Some(request)
}

/// Returns the body of the response to a run, which differs from that of any other run.
fn response_body(id: &str, run: usize, size: usize) -> String {
    let name = format!("{id}/{run};");
    let mut body = name.repeat(size / name.len() + 1);
    body.truncate(size.max(name.len()));
    body
}

fn response_text(status: u16, id: Option<&str>, body: &str, is_chunked: bool) -> String {
    let echo = id
        .map(|id| format!("Attempt-Id: {id}\r\n"))
        .unwrap_or_default();
    let head = format!("HTTP/1.1 {status} Said\r\n{echo}Upstream-Seal: seal-{status}\r\n");
    let length = body.len();
    if is_chunked {
        return format!(
            "{head}Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n"
        );
    }
    format!("{head}Content-Length: {length}\r\n\r\n{body}")
}

/// Responds to the requests of one connection until it ends.
fn serve(stream: TcpStream, runs: &Runs) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    // The lock keeps a late response from being written in the middle of another one.
    let connection = Connection(Arc::new(Mutex::new(stream)));
    loop {
        let request = read_request(&mut reader)?;
        let id = request.id.as_str();
        if ["rejected", "early-rejected"].contains(&request.plan.as_str()) {
            connection.send(&format!(
                "HTTP/1.1 503 No\r\nAttempt-Id: {id}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
            ))?;
            if request.starts_early() {
                return connection.shut_down();
            }
            continue;
        }
        let status = match request.plan.as_str() {
            "error" => 500,
            "unproven-rejection" => 503,
            _ => 200,
        };
        let number = runs.of(id).len();
        let body = response_body(id, number, request.body_bytes);
        let is_complete = !request.is_truncated() && !request.plan.ends_with("no-response");
        let run = Run {
            status,
            body,
            is_complete,
        };
        runs.add(id, run.clone());
        connection.respond(&request, run)?;
    }
}

/// The sending side of a connection.
#[derive(Clone)]
struct Connection(Arc<Mutex<TcpStream>>);

impl Connection {
    fn send(&self, text: &str) -> Option<()> {
        let mut stream = self.0.lock().expect("whole");
        stream.write_all(text.as_bytes()).ok()
    }

    /// Closes the connection. Returns `None`, since no further request is read from it.
    fn shut_down(&self) -> Option<()> {
        let stream = self.0.lock().expect("whole");
        // The balancer may have closed it already.
        let _ = stream.shutdown(Shutdown::Both);
        None
    }

    /// Responds to a request according to its plan. Returns `None` if the connection has ended.
    fn respond(&self, request: &Request, run: Run) -> Option<()> {
        let (id, body) = (request.id.as_str(), run.body);
        let is_chunked = request.body_bytes % 2 == 1;
        let own = response_text(run.status, Some(id), &body, is_chunked);
        let surplus =
            |status, echo| response_text(status, echo, &format!("surplus of {id}"), false);
        match request.plan.as_str() {
            "truncated" | "no-response" | "early-truncated" | "early-no-response" => {
                if request.is_truncated() {
                    self.send(&own[..own.len() - body.len() / 2 - 1])?;
                }
                // Nothing may follow: a late response to an earlier request would be read as the rest of this one.
                self.shut_down()
            }
            "without-id" => {
                // On a reused connection the balancer goes on waiting for a response with the request's id.
                self.send(&response_text(200, None, &body, false))?;
                self.shut_down()
            }
            "slow" => {
                thread::sleep(Duration::from_millis(20));
                self.send(&own)
            }
            "surplus" => self.send(&(own + &surplus(200, Some(id)))),
            "surplus-error" => self.send(&(own + &surplus(500, Some(id)))),
            "surplus-without-id" => self.send(&(own + &surplus(200, None))),
            "garbage" => self.send(&(own + "\x16\x03 no response\r\n\r\n")),
            late if late.starts_with("late-") => {
                self.send(&own)?;
                let late = match late {
                    "late-surplus-error" => surplus(500, Some(id)),
                    "late-surplus-without-id" => surplus(200, None),
                    _ => surplus(200, Some(id)),
                };
                let (connection, delay_ms) = (self.clone(), request.body_bytes as u64 % 40);
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(delay_ms));
                    // The balancer may have closed the connection.
                    let _ = connection.send(&late);
                });
                Some(())
            }
            raw if raw.starts_with("raw ") => {
                let text = raw[4..].replace('|', "\r\n").replace("{id}", id);
                self.send(&text.replace("{body}", &body))
            }
            _ => self.send(&own),
        }
    }
}

/// Starts an upstream on a free port that runs until the test ends.
pub(crate) fn start_upstream(runs: &Runs) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let runs = runs.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let runs = runs.clone();
            thread::spawn(move || serve(stream, &runs));
        }
    });
    address
}
