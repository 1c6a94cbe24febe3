//! An upstream of a service that is divided by key: it runs requests only for the keys that it holds.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, read_message};
use crate::record::Record;

/// A time in which the upstream held keys.
#[derive(Clone, Debug)]
pub struct Hold {
    pub first: u16,
    pub last: u16,
    pub fence: u64,
    pub from: Instant,
    /// When it was last granted.
    pub granted: Instant,
    /// The end: set by the grant, and earlier once a release has arrived.
    pub until: Instant,
}

#[derive(Default)]
pub struct State {
    /// All holds, also those that have ended.
    pub holds: Vec<Hold>,
    /// The highest fence seen, by keys.
    seen: Vec<(u16, u16, u64)>,
    /// Keys of the requests at work.
    running: Vec<u16>,
    /// When the upstream began a request, and its key.
    pub begun: Vec<(Instant, u16)>,
    /// The connections on which grants were answered, each with its last answer to one.
    last_answers: Vec<(TcpStream, Vec<u8>)>,
    /// How many answers it has sent.
    pub answers: usize,
}

#[derive(Clone)]
pub struct KeyedUpstream {
    pub id: String,
    pub work: Duration,
    pub state: Arc<Mutex<State>>,
    pub record: Arc<Record>,
}

fn number(body: &str, field: &str) -> Option<u64> {
    let (_, rest) = body.split_once(&format!("\"{field}\":"))?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

impl KeyedUpstream {
    /// Serves until the program ends. Returns the address.
    pub fn serve(&self, listener: TcpListener) -> SocketAddr {
        let address = listener.local_addr().expect("an address");
        let this = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || {
                    let _ = this.connection(stream);
                });
            }
        });
        address
    }

    /// Sends the last answer to a grant a second time on each connection that has carried one: surplus answers, which
    /// belong to no request.
    pub fn send_surplus(&self) {
        let mut state = self.state.lock().expect("the state");
        let sent = |(stream, answer): &mut (TcpStream, Vec<u8>)| stream.write_all(answer).is_ok();
        let sent = state
            .last_answers
            .iter_mut()
            .map(sent)
            .filter(|sent| *sent)
            .count();
        let (id, answers) = (&self.id, state.answers);
        self.record.say(&format!(
            "upstream {id}: after {answers} answers, sends {sent} surplus ones: its last answer to a grant again"
        ));
    }

    fn connection(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        let port = writer.peer_addr()?.port();
        while let Some(request) = read_message(&mut reader)? {
            let target = request.header("target-instance");
            let path = request.start.get(1).cloned().unwrap_or_default();
            let answer = match path.as_str() {
                "/health" => format!(
                    "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                ),
                _ if target.is_some_and(|target| target != self.id) => self.not_run(&request, 421),
                "/-/grant" => self.grant(&request),
                "/-/release" => self.release(&request),
                _ => self.run(&request),
            };
            writer.write_all(answer.as_bytes())?;
            let mut state = self.state.lock().expect("the state");
            state.answers += 1;
            if path == "/-/grant" {
                let is_other = |s: &TcpStream| s.peer_addr().is_ok_and(|peer| peer.port() != port);
                state.last_answers.retain(|(stream, _)| is_other(stream));
                state
                    .last_answers
                    .push((writer.try_clone()?, answer.into_bytes()));
            }
        }
        let is_other = |s: &TcpStream| s.peer_addr().is_ok_and(|peer| peer.port() != port);
        self.state
            .lock()
            .expect("the state")
            .last_answers
            .retain(|(s, _)| is_other(s));
        Ok(())
    }

    fn not_run(&self, request: &Message, status: u16) -> String {
        let attempt = request.header("attempt-id").unwrap_or("-");
        format!(
            "HTTP/1.1 {status} Not Run\r\nAttempt-Id: {attempt}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
        )
    }

    fn grant(&self, request: &Message) -> String {
        let body = request.text();
        let fields = ["since", "target_rev", "fence", "hold_ms"].map(|field| number(&body, field));
        let [Some(first), Some(last), Some(fence), Some(hold_ms)] = fields else {
            return "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n".into();
        };
        let (first, last, now) = (first as u16, last as u16, Instant::now());
        let mut state = self.state.lock().expect("the state");
        let id = &self.id;
        if state
            .seen
            .iter()
            .any(|(a, b, seen)| *a <= last && first <= *b && *seen > fence)
        {
            self.record.say(&format!(
                "upstream {id}: answers 409 to the grant of {first} to {last}, fence {fence}"
            ));
            return "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n".into();
        }
        let until = now + Duration::from_millis(hold_ms);
        state.seen.push((first, last, fence));
        let renewed = state.holds.iter_mut().find(|hold| {
            (hold.first, hold.last, hold.fence) == (first, last, fence) && hold.until >= now
        });
        if let Some(hold) = renewed {
            (hold.granted, hold.until) = (now, until);
            self.record.say(&format!(
                "upstream {id}: holds {first} to {last} for {hold_ms} ms more"
            ));
        } else {
            self.record.say(&format!(
                "upstream {id}: holds {first} to {last}, fence {fence}"
            ));
            state.holds.push(Hold {
                first,
                last,
                fence,
                from: now,
                granted: now,
                until,
            });
        }
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".into()
    }

    fn release(&self, request: &Message) -> String {
        let body = request.text();
        let (first, last) = (number(&body, "since"), number(&body, "target_rev"));
        let (first, last) = (first.unwrap_or(0) as u16, last.unwrap_or(0) as u16);
        let fence = number(&body, "fence").unwrap_or(0);
        let id = &self.id;
        self.record.say(&format!(
            "upstream {id}: is to release {first} to {last}, fence {fence}"
        ));
        {
            let mut state = self.state.lock().expect("the state");
            let now = Instant::now();
            state.seen.push((first, last, fence));
            let mut rest = Vec::new();
            for hold in state.holds.iter_mut().filter(|hold| hold.until > now) {
                if hold.first <= last && first <= hold.last {
                    if hold.first < first {
                        rest.push(Hold {
                            last: first - 1,
                            from: now,
                            ..hold.clone()
                        });
                    }
                    if hold.last > last {
                        rest.push(Hold {
                            first: last + 1,
                            from: now,
                            ..hold.clone()
                        });
                    }
                    hold.until = now;
                }
            }
            state.holds.extend(rest);
        }
        let is_running = || {
            let state = self.state.lock().expect("the state");
            state.running.iter().any(|key| (first..=last).contains(key))
        };
        while is_running() {
            thread::sleep(Duration::from_millis(2));
        }
        self.record
            .say(&format!("upstream {id}: has released {first} to {last}"));
        format!("HTTP/1.1 200 OK\r\nHandoff: h{fence}\r\nContent-Length: 0\r\n\r\n")
    }

    fn run(&self, request: &Message) -> String {
        let attempt = request.header("attempt-id").unwrap_or("-").to_string();
        let key = request
            .header("shard-key")
            .and_then(|key| key.parse().ok())
            .unwrap_or(0);
        let id = &self.id;
        {
            let mut state = self.state.lock().expect("the state");
            let now = Instant::now();
            let is_held = |hold: &Hold| hold.until > now && (hold.first..=hold.last).contains(&key);
            if !state.holds.iter().any(is_held) {
                self.record.say(&format!(
                    "upstream {id}: doesn't hold key {key}, answers 421 to attempt {attempt}"
                ));
                return self.not_run(request, 421);
            }
            state.begun.push((now, key));
            state.running.push(key);
        }
        self.record.say(&format!(
            "upstream {id}: begins attempt {attempt}, key {key}"
        ));
        thread::sleep(self.work);
        let mut state = self.state.lock().expect("the state");
        if let Some(at) = state.running.iter().position(|running| *running == key) {
            state.running.swap_remove(at);
        }
        let body = format!("done by {id}\n");
        format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nUpstream-Seal: seal.{attempt}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }
}
