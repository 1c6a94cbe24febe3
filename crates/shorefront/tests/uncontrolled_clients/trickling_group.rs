//! Clients that make progress in tiny steps: they send or read a few bytes at a time, never finish, and connect again as
//! soon as their connection is closed.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::client_group::{GROUP_LIMIT, Refusal};
use crate::common::http_client::connect;

/// How often the start of the group checks whether its clients have begun.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// A client has begun once it has made this many steps on one connection.
const FIRST_STEPS: usize = 3;

/// What a client does at each step.
#[derive(Clone, Copy)]
pub(crate) enum Step {
    /// Sends one byte, as a chunk of the body.
    SendChunk,
    /// Sends one byte of the head or of a body with a length.
    SendByte,
    /// Reads at most this many bytes.
    Read(usize),
}

/// The behavior of each client of a group.
#[derive(Clone)]
pub(crate) struct Trickle {
    /// What a client sends right after it has connected. `{client}` stands for its number.
    pub(crate) first: String,
    pub(crate) step: Step,
    pub(crate) interval: Duration,
}

/// State that the clients of a group share.
#[derive(Default)]
struct Shared {
    stopping: AtomicBool,
    /// How many clients have begun.
    begun: AtomicUsize,
    refusals: Mutex<Vec<Refusal>>,
}

/// Clients that trickle until this value is dropped.
pub(crate) struct TricklingGroup {
    shared: Arc<Shared>,
    clients: Vec<JoinHandle<()>>,
}

impl TricklingGroup {
    /// Starts this number of clients, and returns when `begun` of them have made their first steps.
    pub(crate) fn start(at: SocketAddr, clients: usize, begun: usize, trickle: &Trickle) -> Self {
        let shared = Arc::<Shared>::default();
        let clients = (0..clients).map(|client| {
            let (shared, trickle) = (shared.clone(), trickle.clone());
            thread::spawn(move || trickle.run(at, client, &shared))
        });
        let group = Self {
            clients: clients.collect(),
            shared: shared.clone(),
        };
        let started = Instant::now();
        while shared.begun.load(Relaxed) < begun {
            assert!(
                started.elapsed() < GROUP_LIMIT,
                "fewer than {begun} clients have begun within {GROUP_LIMIT:?}"
            );
            thread::sleep(POLL_INTERVAL);
        }
        group
    }

    /// Ends all clients, and returns the refusals that they have received.
    pub(crate) fn stop(mut self) -> Vec<Refusal> {
        self.shared.stopping.store(true, Relaxed);
        for client in self.clients.drain(..) {
            client.join().expect("a client");
        }
        std::mem::take(&mut *self.shared.refusals.lock().expect("whole"))
    }
}

impl Drop for TricklingGroup {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Relaxed);
    }
}

impl Trickle {
    /// Connects again and again until the group is stopped.
    fn run(&self, at: SocketAddr, client: usize, shared: &Shared) {
        let mut has_begun = false;
        while !shared.stopping.load(Relaxed) {
            let refusal = self.run_connection(at, client, shared, &mut has_begun);
            shared.refusals.lock().expect("whole").extend(refusal);
            thread::sleep(self.interval);
        }
    }

    /// Makes steps until the connection ends. Returns the refusal, if there was one.
    fn run_connection(
        &self,
        at: SocketAddr,
        client: usize,
        shared: &Shared,
        has_begun: &mut bool,
    ) -> Option<Refusal> {
        let mut stream = connect(at).ok()?;
        let first = self.first.replace("{client}", &client.to_string());
        stream.write_all(first.as_bytes()).ok()?;
        stream.set_nonblocking(true).ok()?;
        let mut steps = 0;
        while !shared.stopping.load(Relaxed) {
            let is_sending = !matches!(self.step, Step::Read(_));
            if is_sending && let Some(head) = received(&mut stream)? {
                return Some(Refusal { client, head });
            }
            if !self.make_step(&mut stream) {
                // A response may have arrived before the connection was closed.
                let head = received(&mut stream)??;
                return is_sending.then_some(Refusal { client, head });
            }
            steps += 1;
            if steps == FIRST_STEPS && !std::mem::replace(has_begun, true) {
                shared.begun.fetch_add(1, Relaxed);
            }
            thread::sleep(self.interval);
        }
        None
    }

    /// Makes one step; returns false if the connection has ended.
    fn make_step(&self, stream: &mut TcpStream) -> bool {
        let outcome = match self.step {
            Step::SendChunk => stream.write(b"1\r\nx\r\n"),
            Step::SendByte => stream.write(b"x"),
            Step::Read(bytes) => stream.read(&mut vec![0; bytes]),
        };
        match outcome {
            Ok(bytes) => bytes > 0,
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        }
    }
}

/// Returns the response that has arrived: `Some(None)` if there is none yet, and `None` if the connection has ended.
fn received(stream: &mut TcpStream) -> Option<Option<String>> {
    let mut head = [0; 512];
    match stream.read(&mut head) {
        Ok(0) => None,
        Ok(bytes) => Some(Some(String::from_utf8_lossy(&head[..bytes]).into_owned())),
        Err(error) if error.kind() == ErrorKind::WouldBlock => Some(None),
        Err(_) => None,
    }
}
