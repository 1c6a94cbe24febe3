//! A proxy in front of an upstream that delays what goes to it, like a link that has become narrow. What comes back is
//! not delayed. The delay may change while it serves.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::{Duration, Instant};

/// Serves until the program ends.
pub fn serve(listener: TcpListener, to: SocketAddr, delay_ms: Arc<AtomicU64>) {
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let delay_ms = delay_ms.clone();
            thread::spawn(move || forward(client, to, &delay_ms));
        }
    });
}

fn forward(mut client: TcpStream, to: SocketAddr, delay_ms: &AtomicU64) -> Option<()> {
    let mut server = TcpStream::connect(to).ok()?;
    server.set_nodelay(true).ok()?;
    client.set_nodelay(true).ok()?;
    let (mut from_server, mut to_client) = (server.try_clone().ok()?, client.try_clone().ok()?);
    thread::spawn(move || {
        let mut buffer = [0; 16 << 10];
        while let Ok(n) = from_server.read(&mut buffer) {
            if n == 0 || to_client.write_all(&buffer[..n]).is_err() {
                break;
            }
        }
        let _ = to_client.shutdown(Shutdown::Both);
    });
    let (sender, delayed) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        for (at, bytes) in delayed {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || server.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = server.shutdown(Shutdown::Both);
    });
    let mut buffer = [0; 16 << 10];
    loop {
        let n = client.read(&mut buffer).unwrap_or(0);
        let delay = Duration::from_millis(delay_ms.load(SeqCst));
        sender
            .send((Instant::now() + delay, buffer[..n].to_vec()))
            .ok()?;
        if n == 0 {
            return None;
        }
    }
}
