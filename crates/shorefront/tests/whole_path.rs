//! The whole path as processes on loopback: a control balancer, a data-plane balancer, and stand-ins for the
//! platform and an upstream. Waits for events, with a limit wide enough for a busy machine.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output};
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

const PROGRAM: &str = env!("CARGO_BIN_EXE_shorefront");
/// Longest wait for anything that has to happen.
const SOON: Duration = Duration::from_secs(30);

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Answers every request on a port by what `say` makes of its first line and head.
fn stand_in(say: impl Fn(&str, &str) -> String + Send + Clone + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let say = say.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
                loop {
                    let (mut first, mut head) = (String::new(), String::new());
                    if reader.read_line(&mut first).unwrap_or(0) == 0 {
                        return;
                    }
                    loop {
                        let mut line = String::new();
                        if reader.read_line(&mut line).unwrap_or(0) == 0 || line == "\r\n" {
                            break;
                        }
                        head += &line.to_ascii_lowercase();
                    }
                    let body = say(&first, &head);
                    let length = body.len();
                    let answer =
                        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
                    if (&stream).write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// One request on a connection of its own: status and body.
fn ask(at: SocketAddr, request: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(at).ok()?;
    stream.set_read_timeout(Some(SOON)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    let status = answer.split(' ').nth(1)?.parse().ok()?;
    Some((status, answer.split_once("\r\n\r\n")?.1.to_string()))
}

fn post(at: SocketAddr, path: &str, base: u64, body: &Value) -> Option<(u16, String)> {
    let body = body.to_string();
    let length = body.len();
    ask(
        at,
        &format!(
            "POST {path} HTTP/1.1\r\nHost: c\r\nBase-Version: {base}\r\nConnection: close\r\n\
             Content-Length: {length}\r\n\r\n{body}"
        ),
    )
}

fn get(at: SocketAddr, host: &str, path: &str) -> Option<(u16, String)> {
    let head = format!("Host: {host}\r\nAttempt-Id: 1\r\nDeadline-Ms: 5000\r\nConnection: close");
    ask(at, &format!("GET {path} HTTP/1.1\r\n{head}\r\n\r\n"))
}

fn wait<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let from = Instant::now();
    loop {
        if let Some(seen) = look() {
            return seen;
        }
        assert!(from.elapsed() < SOON, "{what}: not within {SOON:?}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// A port that is free, below those that the system gives to outgoing connections: none of them takes it
/// between this look and its use.
fn free_port() -> u16 {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 10_000 + ((std::process::id() * 16) as u16).wrapping_add(step) % 20_000;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

fn start(folder: &std::path::Path, role: &str, settings: &Value) -> Process {
    let file = folder.join(format!("{role}.json"));
    std::fs::write(&file, settings.to_string()).expect("written");
    let mut command = Command::new(PROGRAM);
    Process(command.arg(role).env("SHOREFRONT_SETTINGS", file).spawn().expect("started"))
}

fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("shorefront-{name}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

#[test]
fn a_request_is_served_a_route_moves_and_the_configuration_outlives_its_keeper() {
    let folder = folder("path");
    let upstream = stand_in(|_, head| {
        // Each request says whom it is meant for.
        let target = head.lines().find_map(|l| l.strip_prefix("target-instance: "));
        format!("from {}", target.unwrap_or("nobody"))
    });
    let platform = stand_in(move |_, _| {
        let instance = |id: &str, svc: &str| {
            json!({"id": id, "svc": svc, "addr": upstream, "zone": "a", "slots": 2,
                "state": "ready", "warm_left_ms": 0})
        };
        let list = [instance("i-1", "one"), instance("i-2", "two")];
        json!({"instances": list, "next_token": null}).to_string()
    });
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let (ctl, http, ready, inner) = (free_port(), free_port(), free_port(), free_port());
    let settings = |bootstrap: bool, listen: Value| {
        json!({"node": "edge-1", "ip": "127.0.0.1", "zone": "a", "region": "r",
            "zone_map": {"a": "r"}, "listen": listen, "port_range": [inner, inner],
            "seeds": [at(ctl)], "bootstrap": bootstrap, "data_dir": folder.join("data"),
            "cloud_api": {"addr": platform}})
    };
    let control =
        |first: bool| start(&folder, "control", &settings(first, json!({"ctl": at(ctl)})));
    let mut keeper = control(true);
    let listen = json!({"http": at(http), "readiness": at(ready)});
    let _edge = start(&folder, "data-plane", &settings(true, listen));

    let config = |rev: u64, svc: &str| {
        json!({"rev": rev, "services": [{"name": "one"}, {"name": "two"}],
            "routes": [{"name": "r", "host": "h.example", "path_prefix": "/p/", "type": "idempotent",
                "deadline_ms": 5000, "target_ms": 1000, "svc": svc, "tries": 2}]})
    };
    let put = |base, body: &Value| post(at(ctl), "/-/Config.Replace", base, body).map(|a| a.0);
    wait("the first configuration", || put(0, &config(5, "one")).filter(|s| *s == 200));
    assert_eq!(put(0, &config(5, "one")), Some(200), "sent again unchanged");
    assert_eq!(put(0, &config(6, "two")), Some(412), "on a version that is not in place");
    assert_eq!(put(5, &config(6, "three")), Some(400), "a service that nobody knows");

    wait("readiness", || get(at(ready), "r", "/-/ready").filter(|a| a.0 == 200));
    assert_eq!(get(at(http), "h.example", "/p/x"), Some((200, "from i-1".into())));
    assert_eq!(get(at(http), "h.example", "/q/").map(|a| a.0), Some(404));

    assert_eq!(put(5, &config(8, "two")), Some(200));
    let moved = || get(at(http), "h.example", "/p/x").filter(|a| a.1 == "from i-2");
    wait("the moved route", moved);

    // Killed outright, it comes back with what it acknowledged; traffic goes on meanwhile.
    keeper.0.kill().expect("killed");
    keeper.0.wait().expect("gone");
    assert_eq!(get(at(http), "h.example", "/p/x"), Some((200, "from i-2".into())));
    keeper = control(false);
    let read = || get(at(ctl), "c", "/-/Config.Read").filter(|a| a.0 == 200);
    let (_, kept) = wait("the configuration", read);
    let kept: Value = serde_json::from_str(&kept).expect("JSON");
    assert_eq!(kept, config(8, "two"));
    drop(keeper);
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn settings_that_cannot_be_used_name_the_file_the_field_and_the_line() {
    let folder = folder("settings");
    let file = folder.join("boot.json");
    let run = |text: &str| -> Output {
        std::fs::write(&file, text).expect("written");
        Command::new(PROGRAM).arg("check").arg(&file).output().expect("run")
    };
    let wrong = run("{\"node\": \"n\",\n\"ip\": 7}");
    assert_eq!(wrong.status.code(), Some(78));
    let said = String::from_utf8_lossy(&wrong.stderr).into_owned();
    assert!(
        said.contains("boot.json") && said.contains("`ip`") && said.contains("line 2"),
        "{said}"
    );
    assert_eq!(run("{\"node\"").status.code(), Some(78));
    let missing = Command::new(PROGRAM).args(["check", "/nowhere/boot.json"]).output();
    assert_eq!(missing.expect("run").status.code(), Some(78));
    let _ = std::fs::remove_dir_all(&folder);
}
