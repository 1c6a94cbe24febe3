//! Mock HTTP servers on loopback that stand in for the platform, upstreams and control balancers.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

/// Starts a server on a free port that runs until the test ends. `respond` returns the body of each response, given the
/// request line and the headers in lower case. The status is 200.
pub(crate) fn start_mock_server(
    respond: impl Fn(&str, &str) -> String + Send + Clone + 'static,
) -> SocketAddr {
    start_body_reading_server(move |request_line, headers, _| respond(request_line, headers))
}

/// Does the same, and passes the body of each request to `respond` too.
pub(crate) fn start_body_reading_server(
    respond: impl Fn(&str, &str, &[u8]) -> String + Send + Clone + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let respond = respond.clone();
            thread::spawn(move || serve(&stream, respond));
        }
    });
    address
}

/// Serves one connection until it ends.
fn serve(stream: &TcpStream, respond: impl Fn(&str, &str, &[u8]) -> String) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().expect("a copy"));
    loop {
        let (request_line, headers, body) = read_request(&mut reader)?;
        let body = respond(&request_line, &headers, &body);
        let length = body.len();
        let id = headers.lines().find(|l| l.starts_with("attempt-id: "));
        let echo = id.map(|id| format!("{id}\r\n")).unwrap_or_default();
        let response = format!(
            "HTTP/1.1 200 OK\r\n{echo}Upstream-Seal: s\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        (&mut &*stream).write_all(response.as_bytes()).ok()?;
    }
}

/// Reads one request, and returns the request line, the headers in lower case and the body.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<(String, String, Vec<u8>)> {
    let (mut request_line, mut headers) = (String::new(), String::new());
    if reader.read_line(&mut request_line).unwrap_or(0) == 0 {
        return None;
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 || line == "\r\n" {
            break;
        }
        headers += &line.to_ascii_lowercase();
    }
    let length = headers
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "));
    let mut body = vec![0; length.and_then(|l| l.parse().ok()).unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some((request_line, headers, body))
}
