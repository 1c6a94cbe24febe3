//! Sessions with the control plane: asks with the versions it has, takes what is new, and thereby shows that
//! it is there. It keeps two sessions, with the nearest control balancers that answer, so that a silent one is
//! not silence.
//!
//! A control balancer that is out of contact with a majority says so. A session that hears that moves to another
//! control balancer at once, if one may be of more use; never both sessions at a time, because the directory names
//! those whose session stands somewhere.
//!
//! Seeds may name control balancers without a disk, which hold nothing that is agreed on. They tell who serves
//! control, and a session with one keeps the balancer in the directory while nobody else answers; but the other
//! session goes on looking for a member of the core.
//!
//! **Neighbours down.** Without any control balancer, or with none in contact, all stays as it was last told; who
//! was told nothing yet is not ready.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::change_notifier::ChangeWatcher;
use protocol::key_load::KeyLoadReport;
use protocol::wire::{
    self, Balancer, ControlNode, FleetView, Handshake, PROTOCOL_VERSION, SessionMessage,
    WatchRequest, WatchUpdate,
};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, BufReader, BufWriter, WriteHalf};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// A word at least this often, in both directions.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1000);
/// Without a word for so long, the other side is not there.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(2500);
/// A connection that does not come up within this, longer than a round trip takes anywhere, is tried anew: a
/// machine that was without power a moment ago has dropped the opening packet.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Sessions at the same time.
const SESSIONS: usize = 2;
/// A control balancer that failed is called again before others only after this.
const REST: Duration = Duration::from_secs(5);
/// One that was out of contact is called again before others only after this: it may be cut off for long.
const REST_OUT_OF_CONTACT: Duration = Duration::from_secs(10);
/// Between two calls.
const AGAIN: Duration = Duration::from_millis(200);

/// What changed here is said to the control balancers at most this often, unless they wait for it.
const GATHER: Duration = Duration::from_millis(400);

/// Sets a connection up. Silence ends it by the time limits on every read and write; what was written and nobody
/// acknowledges ends it too.
pub fn configure_socket(stream: &TcpStream) {
    // Without them words are only later; a connection that is broken says so when it is read.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(IDLE_TIMEOUT));
}

/// A connection to another process of the system.
pub async fn dial(at: SocketAddr) -> io::Result<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(at)).await??;
    configure_socket(&stream);
    Ok(stream)
}

/// How control balancers are reached.
pub trait Network: 'static {
    /// A connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + 'static;

    /// Connects to a control balancer.
    fn dial(&self, at: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;
}

/// The machine's own network.
pub struct TcpNetwork;

impl Network for TcpNetwork {
    type Stream = TcpStream;

    async fn dial(&self, at: SocketAddr) -> io::Result<TcpStream> {
        dial(at).await
    }
}

/// Whoever wants the news.
pub trait UpdateHandler: 'static {
    /// The versions it has by now; the bank and the control balancers are the session's own.
    fn ask(&self) -> WatchRequest;
    /// Takes news in; what is not newer changes nothing. Whether something has to be told anew.
    fn take(&self, news: &WatchUpdate) -> bool;
    /// The work on keys that upstreams divide, since this was asked last.
    fn work(&self) -> KeyLoadReport;
    /// The bank as the sessions tell it.
    fn bank(&self, bank: FleetView);
    /// Wakes when there is something else to ask.
    fn changes(&self) -> ChangeWatcher;
    /// Wakes the sessions.
    fn wake(&self);
}

/// What is known of a control balancer.
#[derive(Default)]
struct Known {
    at: Option<ControlNode>,
    /// It failed, or was out of contact: until then others come first.
    rests_until: Option<Instant>,
    in_use: bool,
}

impl Known {
    /// Until when others come first, if they do.
    fn rest(&self) -> Option<Instant> {
        self.rests_until.filter(|until| Instant::now() < *until)
    }

    /// Whether it is known to take part in the log: those that are told of do.
    fn is_member(&self) -> bool {
        self.at.is_some()
    }
}

/// How a control balancer compares with others: the least is called first. Of those that rest it is the one whose
/// rest ends first, so that they are called in turn.
type Distance = (Option<Instant>, u8, u64);

/// Why a session ended.
#[derive(Debug, thiserror::Error)]
enum Ended {
    #[error("a nearer control balancer is there")]
    Nearer,
    #[error("it is out of contact with a majority")]
    OutOfContact,
    #[error(transparent)]
    Failed(#[from] io::Error),
}

impl From<wire::FrameError> for Ended {
    fn from(error: wire::FrameError) -> Self {
        Self::Failed(error.into())
    }
}

impl Ended {
    /// How long the control balancer comes after others.
    fn rest(&self) -> Option<Duration> {
        match self {
            Self::Nearer => None,
            Self::OutOfContact => Some(REST_OUT_OF_CONTACT),
            Self::Failed(_) => Some(REST),
        }
    }
}

/// The sessions of one data-plane balancer.
pub struct ControlClient<F, N = TcpNetwork> {
    me: Balancer,
    follower: Rc<F>,
    network: N,
    known: RefCell<BTreeMap<SocketAddr, Known>>,
    /// The session that brings the news.
    first: Cell<Option<SocketAddr>>,
    /// Those with whom a session stands, and is to stand on.
    standing: RefCell<BTreeSet<SocketAddr>>,
    banks: RefCell<BTreeMap<SocketAddr, FleetView>>,
}

impl<F: UpdateHandler> ControlClient<F> {
    pub fn new(me: Balancer, follower: Rc<F>) -> Rc<Self> {
        Self::with_network(TcpNetwork, me, follower)
    }
}

impl<F: UpdateHandler, N: Network> ControlClient<F, N> {
    /// Keeps its sessions over this network.
    pub fn with_network(network: N, me: Balancer, follower: Rc<F>) -> Rc<Self> {
        Rc::new(Self {
            me,
            follower,
            network,
            known: RefCell::default(),
            first: Cell::default(),
            standing: RefCell::default(),
            banks: RefCell::default(),
        })
    }

    /// Other addresses to try.
    pub fn add_seeds(&self, seeds: impl Iterator<Item = SocketAddr>) {
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
            self.standing.borrow_mut().remove(&at);
            self.banks.borrow_mut().remove(&at);
            self.no_longer_first(at);
            let Err(cause) = ended;
            tracing::debug!(%at, %cause, "session over");
            let rests_until = cause.rest().map(|rest| Instant::now() + rest);
            self.mark(at, |k| (k.in_use, k.rests_until) = (false, rests_until));
            // There was another one to go to, and this one rests: nothing is asked in a circle.
            if !matches!(cause, Ended::OutOfContact) {
                sleep(AGAIN).await;
            }
        }
    }

    fn mark(&self, at: SocketAddr, set: impl FnOnce(&mut Known)) {
        if let Some(known) = self.known.borrow_mut().get_mut(&at) {
            set(known);
        }
    }

    /// How far a control balancer is, and in one order for each balancer, so that they spread.
    fn distance(&self, at: SocketAddr, known: &Known) -> Distance {
        let far = match &known.at {
            Some(c) if c.zone == self.me.zone => 0,
            Some(c) if c.region == self.me.region => 1,
            _ => 2,
        };
        let spread = load_balancing::settings::stable_hash(&format!("{at}{}", self.me.node));
        (known.rest(), far, spread)
    }

    /// Whether another session is with a control balancer that is no member, while members are known. Failure: after
    /// a loss of power both were, while the members rested, and a change was missed as they stood still.
    fn has_stopgap(&self, at: Option<SocketAddr>) -> bool {
        let known = self.known.borrow();
        let stopgap =
            |(other, k): (&SocketAddr, &Known)| Some(*other) != at && k.in_use && !k.is_member();
        known.values().any(Known::is_member) && known.iter().any(stopgap)
    }

    fn nearest(&self) -> Option<SocketAddr> {
        let members_only = self.has_stopgap(None);
        let known = self.known.borrow();
        let free = known
            .iter()
            .filter(|(_, k)| !k.in_use && (k.is_member() || !members_only));
        free.min_by_key(|(at, k)| self.distance(**at, k))
            .map(|(at, _)| *at)
    }

    /// Whether another one that is not in use is nearer than this, or this is the second that is no member.
    fn is_far(&self, at: SocketAddr) -> bool {
        let is_second_stopgap = self.has_stopgap(Some(at));
        let known = self.known.borrow();
        let Some(own) = known.get(&at) else {
            return false;
        };
        if is_second_stopgap && !own.is_member() {
            return true;
        }
        let own = self.distance(at, own);
        let free = known.iter().filter(|(_, k)| !k.in_use && k.is_member());
        let best = free.map(|(at, k)| self.distance(*at, k)).min();
        best.is_some_and(|best| (best.0.is_some(), best.1) < (own.0.is_some(), own.1))
    }

    /// Another session brings the news from now on; it hears of that by what is said next.
    fn no_longer_first(&self, at: SocketAddr) {
        if self.first.get() == Some(at) {
            self.first.set(None);
            self.follower.wake();
        }
    }

    /// Whether this session may end by itself: the directory names a balancer while a session of it stands
    /// somewhere. One that was told nothing yet is not ready, and is not named.
    fn may_leave(&self, at: SocketAddr) -> bool {
        let stands = self.standing.borrow().iter().any(|other| *other != at);
        stands || self.follower.ask().config_index == 0
    }

    /// Whether another control balancer may be of more use than this one, which is out of contact.
    fn has_other(&self, at: SocketAddr) -> bool {
        let known = self.known.borrow();
        let free = |k: &Known| !k.in_use && k.rest().is_none();
        let any_member = known.values().any(Known::is_member);
        known
            .iter()
            .any(|(other, k)| *other != at && free(k) && (k.is_member() || !any_member))
    }

    /// Says what is other than said last. Once news has come on it, a session is the first if there is none.
    async fn say(
        &self,
        writer: &mut BufWriter<WriteHalf<N::Stream>>,
        said: &mut Option<WatchRequest>,
        ask: WatchRequest,
    ) -> io::Result<()> {
        let word = if said.as_ref() == Some(&ask) {
            SessionMessage::KeepAlive
        } else {
            SessionMessage::Watch(ask.clone())
        };
        *said = Some(ask);
        wire::send_message(writer, &word).await?;
        timeout(IDLE_TIMEOUT, writer.flush()).await?
    }

    fn ask(&self, at: SocketAddr, bank: Option<FleetView>, controls: u32) -> WatchRequest {
        let second = self.first.get().is_some_and(|first| first != at);
        WatchRequest {
            fleet: bank,
            control_nodes_digest: controls,
            is_secondary: second,
            ..self.follower.ask()
        }
    }

    async fn session(&self, at: SocketAddr) -> Result<Infallible, Ended> {
        let (reader, writer) = tokio::io::split(self.network.dial(at).await?);
        let (mut reader, mut writer) = (BufReader::new(reader), BufWriter::new(writer));
        let hello = Handshake::DataPlane {
            protocol_version: PROTOCOL_VERSION,
            balancer: self.me.clone(),
        };
        wire::send_message(&mut writer, &hello).await?;
        let mut changes = self.follower.changes();
        let (mut bank, mut controls, mut said) = (None, 0, None);
        self.say(&mut writer, &mut said, self.ask(at, bank, controls))
            .await?;
        let mut next = Instant::now() + HEARTBEAT_INTERVAL;
        loop {
            let news: WatchUpdate = {
                // A frame half read must not be dropped.
                let news = timeout(IDLE_TIMEOUT, wire::receive_message(&mut reader));
                tokio::pin!(news);
                loop {
                    tokio::select! {
                        // In this order, so that a simulation plays the same each time, and what is due is said
                        // however much comes.
                        biased;
                        () = sleep_until(next) => {
                            let ask = self.ask(at, bank, controls);
                            let first = !ask.is_secondary;
                            self.say(&mut writer, &mut said, ask).await?;
                            next = Instant::now() + HEARTBEAT_INTERVAL;
                            let work = if first { self.follower.work() } else { KeyLoadReport::new() };
                            if !work.is_empty() {
                                wire::send_message(&mut writer, &SessionMessage::KeyLoad(work)).await?;
                                let flushed = timeout(IDLE_TIMEOUT, writer.flush()).await;
                                flushed.map_err(io::Error::from)??;
                            }
                        }
                        news = &mut news => break news.map_err(io::Error::from)??,
                        () = changes.changed() => {
                            let ask = self.ask(at, bank, controls);
                            let waited_for = said.as_ref().is_none_or(|s| s.is_urgent_change(&ask));
                            let soon = if waited_for { Duration::ZERO } else { GATHER };
                            next = next.min(Instant::now() + soon);
                        }
                    }
                }
            };
            self.standing.borrow_mut().insert(at);
            if news.out_of_contact {
                self.no_longer_first(at);
            } else if self.first.get().is_none() {
                self.first.set(Some(at));
                self.follower.wake();
            }
            if let Some(told) = news.fleet {
                bank = Some(told);
                self.banks.borrow_mut().insert(at, told);
                let banks = self.banks.borrow();
                // Who sees the larger bank sees more of it.
                if let Some(most) = banks.values().max_by_key(|b| b.balancers) {
                    self.follower.bank(*most);
                }
            }
            if let Some(told) = &news.control_nodes {
                controls = wire::digest(told);
                let mut known = self.known.borrow_mut();
                for control in told {
                    known.entry(control.internal_addr).or_default().at = Some(control.clone());
                }
            }
            if self.follower.take(&news) {
                (said, next) = (None, Instant::now());
            }
            let ends = if news.out_of_contact && self.has_other(at) {
                Some(Ended::OutOfContact)
            } else {
                self.is_far(at).then_some(Ended::Nearer)
            };
            if let Some(cause) = ends.filter(|_| self.may_leave(at)) {
                return Err(cause);
            }
        }
    }
}
