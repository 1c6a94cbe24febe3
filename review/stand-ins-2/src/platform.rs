//! The platform's list of upstreams (`GET /instances`).

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::http::read_message;

/// An entry of the list.
#[derive(Clone)]
pub struct Listed {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub slots: u32,
}

/// The list, which a case may change while it is served.
pub type List = Arc<Mutex<Vec<Listed>>>;

/// Serves the list until the program ends.
pub fn serve(listener: TcpListener, list: List) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || {
                let mut writer = stream.try_clone().expect("a copy of the socket");
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read_message(&mut reader) {
                    let target = request.start.get(1).cloned().unwrap_or_default();
                    let body = answer(&target, &list.lock().expect("the list"));
                    let head = format!(
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                        body.len()
                    );
                    if writer.write_all((head + &body).as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

fn answer(target: &str, list: &[Listed]) -> String {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let zone = query.split('&').find_map(|part| part.strip_prefix("zone="));
    let entries = list.iter().filter(|e| zone.is_none_or(|z| z == e.zone));
    let entries = entries.map(|e| {
        format!(
            r#"{{"svc":"{}","addr":"{}","zone":"{}","rev":"v1","slots":{},"state":"ready","warm_left_ms":0,"id":"{}"}}"#,
            e.service, e.addr, e.zone, e.slots, e.id
        )
    });
    let entries: Vec<String> = entries.collect();
    format!(
        r#"{{"instances":[{}],"next_token":null}}"#,
        entries.join(",")
    )
}
