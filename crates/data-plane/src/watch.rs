//! Sessions with the control plane: asks with the versions it has, takes what is new, and thereby shows that
//! it is there. It keeps two sessions, with the nearest control balancers that answer, so that a silent one is
//! not silence.
//!
//! **Neighbours down.** Without any control balancer all stays as it was last told.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use messages::keys::Counts;
use messages::wire::{self, Ask, Balancer, Bank, Control, Hello, News, PROTOCOL, Word};
use socket2::SockRef;
use tokio::io::{AsyncWriteExt, BufReader, BufWriter};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// A word at least this often, in both directions.
pub const BEAT: Duration = Duration::from_millis(1000);
/// Without a word for so long, the other side is not there.
pub const SILENCE: Duration = Duration::from_millis(2500);
/// A connection that does not come up within this, longer than a round trip takes anywhere, is tried anew: a
/// machine that was without power a moment ago has dropped the opening packet.
pub const CONNECT: Duration = Duration::from_millis(400);
/// Sessions at the same time.
const SESSIONS: usize = 2;
/// A control balancer that failed is called again before others only after this.
const REST: Duration = Duration::from_secs(5);
/// Between two calls.
const AGAIN: Duration = Duration::from_millis(200);

/// What changed here is said to the control balancers at most this often, unless they wait for it.
const GATHER: Duration = Duration::from_millis(400);

/// Sets a connection up. Silence ends it by the time limits on every read and write; what was written and nobody
/// acknowledges ends it too.
pub fn tune(stream: &TcpStream) {
    // Without them words are only later; a connection that is broken says so when it is read.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(SILENCE));
}

/// A connection to another process of the system.
pub async fn dial(at: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT, TcpStream::connect(at)).await??;
    tune(&stream);
    Ok(stream)
}

/// Whoever wants the news.
pub trait Follower: 'static {
    /// The versions it has by now; the bank and the control balancers are the session's own.
    fn ask(&self) -> Ask;
    /// Takes news in; what is not newer changes nothing. Whether something has to be told anew.
    fn take(&self, news: &News) -> bool;
    /// The work on keys that upstreams divide, since this was asked last.
    fn work(&self) -> Counts;
    /// The bank as the sessions tell it.
    fn bank(&self, bank: Bank);
    /// Wakes when there is something else to ask.
    fn changes(&self) -> watch::Receiver<u64>;
    /// Wakes the sessions.
    fn wake(&self);
}

/// What is known of a control balancer.
#[derive(Default)]
struct Known {
    at: Option<Control>,
    failed: Option<Instant>,
    in_use: bool,
}

/// The sessions of one data-plane balancer.
pub struct Watch<F> {
    me: Balancer,
    follower: Rc<F>,
    known: RefCell<BTreeMap<SocketAddr, Known>>,
    /// The session that brings the news.
    first: Cell<Option<SocketAddr>>,
    banks: RefCell<BTreeMap<SocketAddr, Bank>>,
}

impl<F: Follower> Watch<F> {
    pub fn new(me: Balancer, follower: Rc<F>) -> Rc<Self> {
        let (known, first, banks) = (RefCell::default(), Cell::default(), RefCell::default());
        Rc::new(Self { me, follower, known, first, banks })
    }

    /// Other addresses to try.
    pub fn seeds(&self, seeds: impl Iterator<Item = SocketAddr>) {
        let mut known = self.known.borrow_mut();
        for seed in seeds {
            known.entry(seed).or_default();
        }
    }

    /// Keeps the sessions, for good.
    pub async fn run(self: Rc<Self>) {
        for _ in 1..SESSIONS {
            tokio::task::spawn_local(self.clone().keep());
        }
        self.keep().await;
    }

    async fn keep(self: Rc<Self>) {
        loop {
            let Some(at) = self.nearest() else {
                sleep(AGAIN).await;
                continue;
            };
            self.mark(at, |k| k.in_use = true);
            let ended = self.session(at).await;
            self.mark(at, |k| k.in_use = false);
            if self.first.get() == Some(at) {
                // The other one hears of it by what it says next.
                self.first.set(None);
                self.follower.wake();
            }
            self.banks.borrow_mut().remove(&at);
            if let Err(cause) = ended {
                tracing::debug!(%at, %cause, "session over");
                self.mark(at, |k| k.failed = Some(Instant::now()));
            }
            sleep(AGAIN).await;
        }
    }

    fn mark(&self, at: SocketAddr, set: impl FnOnce(&mut Known)) {
        if let Some(known) = self.known.borrow_mut().get_mut(&at) {
            set(known);
        }
    }

    /// How far a control balancer is, and in one order for each balancer, so that they spread.
    fn distance(&self, at: SocketAddr, known: &Known) -> (bool, u8, u64) {
        let resting = known.failed.is_some_and(|f| f.elapsed() < REST);
        let far = match &known.at {
            Some(c) if c.zone == self.me.zone => 0,
            Some(c) if c.region == self.me.region => 1,
            _ => 2,
        };
        let spread = decisions::settings::stable_hash(&format!("{at}{}", self.me.node));
        (resting, far, spread)
    }

    fn nearest(&self) -> Option<SocketAddr> {
        let known = self.known.borrow();
        let free = known.iter().filter(|(_, k)| !k.in_use);
        free.min_by_key(|(at, k)| self.distance(**at, k)).map(|(at, _)| *at)
    }

    /// Whether another one that is not in use is nearer than this.
    fn is_far(&self, at: SocketAddr) -> bool {
        let known = self.known.borrow();
        let own = known.get(&at).map(|k| self.distance(at, k));
        let free = known.iter().filter(|(_, k)| !k.in_use && k.at.is_some());
        let best = free.map(|(at, k)| self.distance(*at, k)).min();
        best.zip(own).is_some_and(|(best, own)| (best.0, best.1) < (own.0, own.1))
    }

    /// Says what is other than said last. Once news has come on it, a session is the first if there is none.
    async fn say(
        &self,
        writer: &mut BufWriter<OwnedWriteHalf>,
        said: &mut Option<Ask>,
        ask: Ask,
    ) -> io::Result<()> {
        let word = if said.as_ref() == Some(&ask) { Word::Same } else { Word::Ask(ask.clone()) };
        *said = Some(ask);
        wire::send(writer, &word).await?;
        timeout(SILENCE, writer.flush()).await?
    }

    fn ask(&self, at: SocketAddr, bank: Option<Bank>, controls: u32) -> Ask {
        let second = self.first.get().is_some_and(|first| first != at);
        Ask { bank, controls, second, ..self.follower.ask() }
    }

    async fn session(&self, at: SocketAddr) -> io::Result<()> {
        let (reader, writer) = dial(at).await?.into_split();
        let (mut reader, mut writer) = (BufReader::new(reader), BufWriter::new(writer));
        let hello = Hello::DataPlane { protocol: PROTOCOL, balancer: self.me.clone() };
        wire::send(&mut writer, &hello).await?;
        let mut changes = self.follower.changes();
        let (mut bank, mut controls, mut said) = (None, 0, None);
        // The first word may wait for a majority.
        let mut patience = 3 * SILENCE;
        self.say(&mut writer, &mut said, self.ask(at, bank, controls)).await?;
        let mut next = Instant::now() + BEAT;
        loop {
            let news: News = {
                // A frame half read must not be dropped.
                let news = timeout(patience, wire::receive(&mut reader));
                tokio::pin!(news);
                loop {
                    tokio::select! {
                        news = &mut news => break news??,
                        _ = changes.changed() => {
                            let ask = self.ask(at, bank, controls);
                            let waited_for = said.as_ref().is_none_or(|s| s.waits_for(&ask));
                            let soon = if waited_for { Duration::ZERO } else { GATHER };
                            next = next.min(Instant::now() + soon);
                        }
                        () = sleep_until(next) => {
                            let ask = self.ask(at, bank, controls);
                            let first = !ask.second;
                            self.say(&mut writer, &mut said, ask).await?;
                            next = Instant::now() + BEAT;
                            let work = if first { self.follower.work() } else { Counts::new() };
                            if !work.is_empty() {
                                wire::send(&mut writer, &Word::Work(work)).await?;
                                timeout(SILENCE, writer.flush()).await??;
                            }
                        }
                    }
                }
            };
            patience = SILENCE;
            if self.first.get().is_none() {
                self.first.set(Some(at));
                self.follower.wake();
            }
            if let Some(told) = news.bank {
                bank = Some(told);
                self.banks.borrow_mut().insert(at, told);
                let banks = self.banks.borrow();
                // Who sees the larger bank sees more of it.
                if let Some(most) = banks.values().max_by_key(|b| b.balancers) {
                    self.follower.bank(*most);
                }
            }
            if let Some(told) = &news.controls {
                controls = wire::digest(told);
                let mut known = self.known.borrow_mut();
                for control in told {
                    known.entry(control.inner).or_default().at = Some(control.clone());
                }
            }
            if self.follower.take(&news) {
                (said, next) = (None, Instant::now());
            }
            if self.is_far(at) {
                return Ok(());
            }
        }
    }
}
