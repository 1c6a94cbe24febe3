//! Whose answer a client gets, over processes: balancers between clients that come, give up and come again, and
//! upstreams that stutter, while balancers are stopped and killed. Every answer is compared with what its
//! upstream ran.

#[path = "common/mod.rs"]
mod common;
#[path = "common/stutter.rs"]
mod stutter;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::thread;
use std::time::{Duration, Instant};

use common::{Process, connect, folder, free_port, get, post, stand_in, start, wait};
use serde_json::{Value, json};
use stutter::{Record, upstream};

const BALANCERS: usize = 3;
const UPSTREAMS: usize = 3;
const CLIENTS: usize = 8;
/// So many answers are compared at least, and more until all restarts are done.
const ENOUGH: usize = 5000;
/// Longest wait for all of it.
const PATIENCE: Duration = Duration::from_secs(180);

/// Data-plane balancers with what they need around them.
struct Fleet {
    folder: PathBuf,
    record: Record,
    platform: SocketAddr,
    ctl: SocketAddr,
    http: Vec<SocketAddr>,
    ready: Vec<SocketAddr>,
    /// What balancers say to each other goes there.
    inner: u16,
    edges: Vec<Option<Process>>,
    _keeper: Process,
}

impl Fleet {
    fn start(name: &str, balancers: usize) -> Self {
        let (folder, record) = (folder(name), Record::default());
        let instances: Vec<Value> = (0..UPSTREAMS)
            .map(|n| {
                json!({"id": format!("i-{n}"), "svc": "one", "addr": upstream(&record), "zone": "a",
                    "slots": 16, "state": "ready", "warm_left_ms": 0})
            })
            .collect();
        let list = json!({"instances": instances, "next_token": null}).to_string();
        let platform = stand_in(move |_, _| list.clone());
        let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let ctl = at(free_port());
        let inner = free_port();
        let keeper = settings(
            "control",
            ctl,
            platform,
            inner,
            json!({"ctl": ctl}),
            &folder,
        );
        let keeper = start(&folder, "control", &keeper);
        let mut fleet = Self {
            folder,
            record,
            platform,
            ctl,
            http: (0..balancers).map(|_| at(free_port())).collect(),
            ready: (0..balancers).map(|_| at(free_port())).collect(),
            inner,
            edges: (0..balancers).map(|_| None).collect(),
            _keeper: keeper,
        };
        (0..balancers).for_each(|n| fleet.launch(n));
        let route = |name: &str, kind: &str, deadline_ms: u64| {
            json!({"name": name, "host": "h", "path_prefix": format!("/{name}/"), "type": kind,
                "deadline_ms": deadline_ms, "target_ms": 5000, "svc": "one", "tries": 3})
        };
        let ms = 20_000;
        let endless = route("endless", "mutating", u64::MAX);
        let routes = [
            route("m", "mutating", ms),
            route("i", "idempotent", ms),
            endless,
        ];
        let config = json!({"rev": 5, "services": [{"name": "one"}], "routes": routes});
        let taken = || post(ctl, "/-/Config.Replace", 0, &config).filter(|a| a.0 == 200);
        wait("the configuration", taken);
        (0..balancers).for_each(|n| fleet.wait_ready(n));
        fleet
    }

    fn launch(&mut self, edge: usize) {
        let listen = json!({"http": self.http[edge], "readiness": self.ready[edge]});
        let node = format!("edge-{edge}");
        let folder = self.folder.join(&node);
        std::fs::create_dir_all(&folder).expect("a folder");
        let settings = settings(&node, self.ctl, self.platform, self.inner, listen, &folder);
        self.edges[edge] = Some(start(&folder, "data-plane", &settings));
    }

    fn wait_ready(&self, edge: usize) {
        let ready = || get(self.ready[edge], "r", "/-/ready").filter(|a| a.0 == 200);
        wait("readiness", ready);
    }

    /// Stops a balancer, in order or not, and starts it again.
    fn restart(&mut self, edge: usize, in_order: bool) {
        let mut process = self.edges[edge].take().expect("it runs");
        if in_order {
            let id = process.0.id().to_string();
            let asked = Command::new("kill")
                .args(["-TERM", &id])
                .status()
                .expect("run");
            assert!(asked.success());
        } else {
            process.0.kill().expect("killed");
        }
        process.0.wait().expect("gone");
        self.launch(edge);
        self.wait_ready(edge);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn settings(
    node: &str,
    ctl: SocketAddr,
    platform: SocketAddr,
    inner: u16,
    listen: Value,
    folder: &std::path::Path,
) -> Value {
    json!({"node": node, "ip": "127.0.0.1", "zone": "a", "region": "r", "zone_map": {"a": "r"},
        "listen": listen, "port_range": [inner, inner], "seeds": [ctl], "bootstrap": true,
        "data_dir": folder.join("data"), "cloud_api": {"addr": platform}, "bounds": {"grace_s": 3.0}})
}

/// An answer as a client reads it.
#[derive(Debug)]
struct Heard {
    status: u16,
    head: String,
    body: Vec<u8>,
    whole: bool,
}

impl Heard {
    fn header(&self, name: &str) -> Option<&str> {
        let of = |line: &&str| line.to_ascii_lowercase().starts_with(&format!("{name}:"));
        self.head
            .lines()
            .find(of)
            .map(|line| line[name.len() + 1..].trim())
    }
}

/// Reads one answer; `None` where none has begun.
fn hear(stream: &mut TcpStream, bodied: bool) -> Option<Heard> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return None,
        }
    }
    let head = String::from_utf8(head).expect("text");
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    let status = status.unwrap_or_else(|| panic!("no answer: {head:?}"));
    let mut heard = Heard {
        status,
        head,
        body: Vec::new(),
        whole: true,
    };
    if !bodied {
        return Some(heard);
    }
    let length = heard.header("content-length").and_then(|l| l.parse().ok());
    let length: usize = length.unwrap_or_else(|| panic!("it would look whole anywhere: {heard:?}"));
    heard.body = vec![0; length];
    let mut read = 0;
    while read < length {
        match stream.read(&mut heard.body[read..]) {
            Ok(n) if n > 0 => read += n,
            _ => break,
        }
    }
    heard.body.truncate(read);
    heard.whole = read == length;
    Some(heard)
}

/// Whether an answer may be given to a request of which this is known.
fn judge(record: &Record, id: &str, heard: &Heard) {
    let runs = record.runs(id);
    let context = || {
        format!(
            "{id}: {:?} {:.200?} of {runs:.500?}",
            heard.head, heard.body
        )
    };
    if let Some(echoed) = heard.header("attempt-id") {
        assert_eq!(echoed, id, "{}", context());
    }
    let Some(seal) = heard.header("upstream-seal") else {
        assert!(
            [502, 503, 504].contains(&heard.status),
            "whose is that? {}",
            context()
        );
        return;
    };
    assert_eq!(seal, format!("seal-{}", heard.status), "{}", context());
    let own = runs.iter().any(|run| {
        run.status == heard.status
            && if heard.whole {
                run.whole && run.body.as_bytes() == heard.body
            } else {
                run.body.as_bytes().starts_with(&heard.body)
            }
    });
    assert!(own, "another's answer: {}", context());
}

/// A plain source of numbers.
struct Dice(u64);

impl Dice {
    fn below(&mut self, most: usize) -> usize {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as usize % most
    }

    fn plan(&mut self) -> &'static str {
        const STUTTERS: [&str; 14] = [
            "twice",
            "twice",
            "twice-error",
            "twice-nameless",
            "late",
            "late",
            "late-error",
            "late-nameless",
            "noise",
            "nameless",
            "cut",
            "silent",
            "error",
            "unpromised",
        ];
        match self.below(10) {
            0..3 => STUTTERS[self.below(STUTTERS.len())],
            3 => "slow",
            4 if self.below(4) == 0 => "turned-away",
            _ => "plain",
        }
    }

    fn size(&mut self) -> usize {
        match self.below(20) {
            0 => 100_000 + self.below(900_000),
            1..5 => 1000 + self.below(20_000),
            _ => self.below(200),
        }
    }
}

#[derive(Default)]
struct Tally {
    served: AtomicUsize,
    failed: AtomicUsize,
    refused: AtomicUsize,
    given_up: AtomicUsize,
    ended: AtomicUsize,
    over: AtomicBool,
}

/// What became of a request, by its id: whether it may not run twice, and whether it was promised not to run.
struct Asked {
    id: String,
    mutating: bool,
    promised: bool,
}

/// Ends all clients where one of them has seen a fault.
struct EndsAll<'a>(&'a Tally);

impl Drop for EndsAll<'_> {
    fn drop(&mut self) {
        if thread::panicking() {
            self.0.over.store(true, Relaxed);
        }
    }
}

/// One client after the other, until it is over.
fn client(number: usize, at: &[SocketAddr], record: &Record, tally: &Tally) -> Vec<Asked> {
    let _ends_all = EndsAll(tally);
    let mut dice = Dice(number as u64 + 1);
    let (mut asked, mut kept) = (Vec::new(), None::<TcpStream>);
    while !tally.over.load(Relaxed) {
        let stream = kept.take().filter(|_| dice.below(8) > 0);
        let stream = stream.or_else(|| connect(at[dice.below(at.len())]).ok());
        // That balancer is down for the moment.
        let Some(mut stream) = stream else { continue };
        let id = format!("c{number}-{}", asked.len());
        let (mutating, plan, size) = (dice.below(2) == 0, dice.plan(), dice.size());
        let (route, sent) = (
            if mutating { "m" } else { "i" },
            "x".repeat(dice.below(3000)),
        );
        let text = format!(
            "POST /{route}/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: {id}\r\nDeadline-Ms: 15000\r\n\
             Plan: {plan}\r\nSize: {size}\r\nContent-Length: {}\r\n\r\n{sent}",
            sent.len()
        );
        asked.push(Asked {
            id: id.clone(),
            mutating,
            promised: false,
        });
        if stream.write_all(text.as_bytes()).is_err() {
            tally.ended.fetch_add(1, Relaxed);
            continue;
        }
        if dice.below(20) == 0 {
            // Gone at once, or in the midst of the answer: with something unread, that is a reset.
            if dice.below(2) == 0 {
                let _ = stream.read(&mut [0; 20]);
            }
            tally.given_up.fetch_add(1, Relaxed);
            continue;
        }
        let Some(heard) = hear(&mut stream, true) else {
            tally.ended.fetch_add(1, Relaxed);
            continue;
        };
        judge(record, &id, &heard);
        let counter = match heard.status {
            _ if !heard.whole => &tally.ended,
            200 => &tally.served,
            503 => &tally.refused,
            _ => &tally.failed,
        };
        counter.fetch_add(1, Relaxed);
        asked.last_mut().expect("just added").promised =
            [408, 421, 429, 503].contains(&heard.status);
        let stays = heard.whole && heard.header("connection") != Some("close");
        if stays {
            assert_silent(&stream);
            kept = Some(stream);
        }
    }
    asked
}

/// Nothing comes on a connection on which no request waits.
fn assert_silent(stream: &TcpStream) {
    stream.set_nonblocking(true).expect("set");
    match stream.peek(&mut [0]) {
        Ok(0) => {}
        Ok(_) => panic!("an answer that nobody waits for"),
        Err(e) => {
            assert!(e.kind() == ErrorKind::WouldBlock || e.kind() == ErrorKind::ConnectionReset)
        }
    }
    stream.set_nonblocking(false).expect("set");
}

#[test]
fn every_answer_is_that_of_its_own_run_and_nothing_runs_twice_or_after_a_promise() {
    let mut fleet = Fleet::start("answers", BALANCERS);
    let (tally, at, record) = (Tally::default(), fleet.http.clone(), fleet.record.clone());
    let enough = |count: usize| {
        let from = Instant::now();
        while tally.served.load(Relaxed) < count {
            assert!(!tally.over.load(Relaxed), "a client saw a fault");
            assert!(from.elapsed() < PATIENCE, "too few are served");
            thread::sleep(Duration::from_millis(20));
        }
    };
    let asked: Vec<Asked> = thread::scope(|scope| {
        let one = |number| {
            scope.spawn({
                let (at, record, tally) = (&at, &record, &tally);
                move || client(number, at, record, tally)
            })
        };
        let clients: Vec<_> = (0..CLIENTS).map(one).collect();
        // Whatever fails, the clients end.
        let restarts = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            enough(ENOUGH / 4);
            fleet.restart(0, true);
            enough(ENOUGH / 2);
            fleet.restart(1, false);
            fleet.restart(2, true);
            enough(ENOUGH);
        }));
        tally.over.store(true, Relaxed);
        let asked = clients
            .into_iter()
            .flat_map(|c| c.join().expect("no client saw a fault"));
        let asked = asked.collect();
        restarts.expect("restarted");
        asked
    });
    // What is still under way when its balancer ends does not run after that.
    fleet.edges.clear();
    for request in &asked {
        let runs = record.runs(&request.id);
        assert!(
            !request.mutating || runs.len() <= 1,
            "{} ran {} times",
            request.id,
            runs.len()
        );
        let broken = request.mutating && request.promised && !runs.is_empty();
        assert!(!broken, "{} ran, and was promised not to", request.id);
    }
    let count = |counter: &AtomicUsize| counter.load(Relaxed);
    println!(
        "{} requests: {} served, {} failed, {} refused, {} given up, {} ended without an answer",
        asked.len(),
        count(&tally.served),
        count(&tally.failed),
        count(&tally.refused),
        count(&tally.given_up),
        count(&tally.ended),
    );
}

#[test]
fn an_answer_goes_to_its_client_as_its_upstream_meant_it() {
    let fleet = Fleet::start("wire", 1);
    let seal = "Attempt-Id: {id}|Upstream-Seal: s|";
    let ask = |line: &str, plan: &str, bodied: bool| {
        let mut stream = connect(fleet.http[0]).expect("reachable");
        let head = "Host: h\r\nAttempt-Id: a-1\r\nDeadline-Ms: 15000\r\nSize: 9";
        write!(stream, "{line}\r\n{head}\r\nPlan: {plan}\r\n\r\n").expect("sent");
        let heard = hear(&mut stream, bodied).expect("an answer");
        assert_silent(&stream);
        heard
    };
    // What concerns one connection, or the balancer alone, stays between it and the upstream.
    let plan = format!(
        "raw HTTP/1.1 200 OK|{seal}Connection: close, X-Hop|X-Hop: 1|Keep-Alive: timeout=5|\
         Upstream-Load: 1,0,8|X-Own: 1|Transfer-Encoding: chunked||3|own|0||"
    );
    let heard = ask("GET /i/x HTTP/1.1", &plan, true);
    assert_eq!((heard.status, &heard.body[..]), (200, &b"own"[..]));
    assert_eq!(heard.header("x-own"), Some("1"));
    assert_eq!(heard.header("attempt-id"), Some("a-1"));
    for name in [
        "connection",
        "x-hop",
        "keep-alive",
        "upstream-load",
        "transfer-encoding",
    ] {
        assert_eq!(heard.header(name), None, "{name}");
    }
    // An old client hears the same, and that its connection ends.
    let heard = ask("GET /i/x HTTP/1.0", &plan, true);
    assert!(heard.head.starts_with("HTTP/1.0 200"), "{heard:?}");
    assert_eq!(heard.body, b"own");
    // Answers without a body, with or without the length that one would have.
    let plan = format!("raw HTTP/1.1 200 OK|{seal}Content-Length: 100||");
    let heard = ask("HEAD /i/x HTTP/1.1", &plan, false);
    assert_eq!(
        (heard.status, heard.header("content-length")),
        (200, Some("100"))
    );
    for status in [204, 304] {
        let plan = format!("raw HTTP/1.1 {status} Bare|{seal}|");
        let heard = ask("GET /i/x HTTP/1.1", &plan, false);
        assert_eq!(
            (heard.status, heard.header("content-length")),
            (status, None)
        );
        assert_eq!(heard.header("upstream-seal"), Some("s"));
    }
    // An error bears its upstream's own status and seal, or is the balancer's and bears none.
    for (plan, status, sealed) in [("error", 500, true), ("unpromised", 502, false)] {
        let heard = ask("POST /m/x HTTP/1.1", plan, true);
        assert_eq!(
            (heard.status, heard.header("upstream-seal").is_some()),
            (status, sealed)
        );
    }
    // A deadline beyond any clock.
    let mut stream = connect(fleet.http[0]).expect("reachable");
    let sent = stream.write_all(b"GET /endless/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a-2\r\n\r\n");
    sent.expect("sent");
    assert_eq!(hear(&mut stream, true).map(|heard| heard.status), Some(200));
    // A success to it would end where its connection ends.
    let heard = ask("CONNECT /m/x HTTP/1.1", "plain", true);
    assert_eq!(heard.status, 400);
}
