//! The platform's list of upstreams (`GET /instances`). It is paged by position: the token of a page is the number of the
//! entries before it.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::read_message;

/// Entries on a page (`discovery.page` in the site files).
const PAGE: usize = 50;

/// An entry of the list.
#[derive(Clone)]
pub struct Listed {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub draining: bool,
}

/// A time in which the platform answers slowly, and an upstream ends.
pub struct SlowTime {
    /// How long an answer takes.
    pub answer_after: Duration,
    /// The upstream that ends while the second page of its zone is being answered.
    pub ends: String,
}

#[derive(Default)]
pub struct State {
    pub list: Vec<Listed>,
    pub slow: Option<SlowTime>,
}

/// The platform, whose list a case may change while it is served.
pub type Platform = Arc<Mutex<State>>;

/// Serves the list until the program ends.
pub fn serve(listener: TcpListener, platform: Platform) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let platform = platform.clone();
            thread::spawn(move || {
                let _ = connection(stream, &platform);
            });
        }
    });
}

fn connection(stream: TcpStream, platform: &Mutex<State>) -> std::io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader)? {
        let target = request.start.get(1).cloned().unwrap_or_default();
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let field = |name| query.split('&').find_map(|part| part.strip_prefix(name));
        let zone = field("zone=");
        let first = field("page_token=p-").and_then(|number| number.parse().ok());
        let first = first.unwrap_or(0);
        let pause = {
            let state = &mut *platform.lock().expect("the platform");
            let slow = state.slow.as_ref();
            let pause = slow.map_or(Duration::ZERO, |slow| slow.answer_after);
            let is_ending =
                |e: &Listed| slow.is_some_and(|slow| slow.ends == e.id) && Some(&*e.zone) == zone;
            if first > 0 && state.list.iter().any(is_ending) {
                state.list.retain(|e| !is_ending(e));
            }
            pause
        };
        thread::sleep(pause);
        let body = page(&platform.lock().expect("the platform").list, zone, first);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all((head + &body).as_bytes())?;
    }
    Ok(())
}

/// Returns the page that begins with this entry.
fn page(list: &[Listed], zone: Option<&str>, first: usize) -> String {
    let of_zone = list.iter().filter(|e| zone.is_none_or(|z| z == e.zone));
    let of_zone: Vec<&Listed> = of_zone.collect();
    let next = if first + PAGE < of_zone.len() {
        format!("\"p-{}\"", first + PAGE)
    } else {
        "null".into()
    };
    let entries = of_zone.iter().skip(first).take(PAGE).map(|e| {
        let state = if e.draining { "draining" } else { "ready" };
        format!(
            r#"{{"svc":"{}","addr":"{}","zone":"{}","rev":"v1","slots":{},"state":"{state}","warm_left_ms":0,"id":"{}"}}"#,
            e.service, e.addr, e.zone, e.slots, e.id
        )
    });
    let entries: Vec<String> = entries.collect();
    format!(
        r#"{{"instances":[{}],"next_token":{next}}}"#,
        entries.join(",")
    )
}
