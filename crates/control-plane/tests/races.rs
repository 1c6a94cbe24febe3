//! Two operators who change the configuration on top of the same version, one at each side of a cut, while
//! leaders die: at most one of them is acknowledged, and what was acknowledged is in force in the end. Real cells
//! over a seeded network and disks, on paused time.

use std::cell::{Cell as Plain, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::mpsc as disk;
use std::time::Duration;

use agreement::{Members, Snapshot, Stored};
use control_plane::cell::{Cell, Unclear, Wanted, Ways};
use control_plane::configuration::{Command, Verdict};
use control_plane::store::Order;
use data_plane::upstreams::AbortOnDrop;
use messages::settings::Settings;
use oorandom::Rand64;
use tokio::sync::mpsc;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

const SIZE: usize = 5;
/// Of six races each.
const SEEDS: u64 = 15;
const ORDER: Duration = Duration::from_millis(900);

fn settings(i: usize) -> Settings {
    let ip = format!("10.0.0.{}", i + 1);
    let text = format!(
        r#"{{"node": "n{i}", "ip": "{ip}", "zone": "a", "region": "r", "zone_map": {{"a": "r"}},
            "listen": {{"ctl": "{ip}:70"}}, "port_range": [7000, 7010], "data_dir": "/none"}}"#
    );
    Settings::parse(Path::new("boot.json"), text.as_bytes()).expect("good")
}

struct Net {
    cells: RefCell<Vec<Option<Rc<Cell>>>>,
    stored: RefCell<Vec<Stored>>,
    tasks: RefCell<Vec<Vec<AbortOnDrop>>>,
    /// Ordered pairs that do not reach each other.
    cut: RefCell<BTreeSet<(usize, usize)>>,
    /// Changes with every healed cut and restart: connections come up anew.
    round: Plain<u64>,
}

fn spawn(task: impl Future<Output = ()> + 'static) -> AbortOnDrop {
    AbortOnDrop(spawn_local(task))
}

fn write(stored: &mut Stored, order: Order) {
    match order {
        Order::Save(save) => {
            (stored.term, stored.vote) = (save.term, save.vote);
            if let Some(snapshot) = save.snapshot {
                stored.entries.clear();
                stored.snapshot = Some(snapshot);
            }
            if let Some(first) = save.entries.first().map(|e| e.index) {
                stored.entries.retain(|e| e.index < first);
                stored.entries.extend(save.entries);
            }
        }
        Order::Compact(snapshot) => {
            stored.entries.retain(|e| e.index > snapshot.index);
            stored.snapshot = Some(snapshot);
        }
    }
}

impl Net {
    fn new() -> Rc<Self> {
        let at = |i: usize| settings(i).inner().to_string();
        let voters: BTreeMap<u64, String> = (0..SIZE).map(|i| (i as u64 + 1, at(i))).collect();
        let snapshot = Some(Snapshot::of_founders(Members { voters, ..Members::default() }));
        let stored = Stored { snapshot, ..Stored::default() };
        let net = Rc::new(Self {
            cells: RefCell::new(vec![None; SIZE]),
            stored: RefCell::new(vec![stored; SIZE]),
            tasks: RefCell::new((0..SIZE).map(|_| Vec::new()).collect()),
            cut: RefCell::default(),
            round: Plain::new(0),
        });
        (0..SIZE).for_each(|i| net.start(i));
        net
    }

    fn start(self: &Rc<Self>, i: usize) {
        let (to_disk, orders) = disk::channel();
        let (dial, mut wanted) = mpsc::unbounded_channel::<Wanted>();
        let (breaks, _) = mpsc::unbounded_channel();
        let stored = self.stored.borrow()[i].clone();
        let ways = Ways { disk: to_disk, dial, breaks };
        let cell = Cell::new(settings(i), i as u64 + 1, stored, ways);
        self.cells.borrow_mut()[i] = Some(cell.clone());
        self.round.set(self.round.get() + 1);
        let (done, saved) = mpsc::unbounded_channel();
        let (net, calls) = (self.clone(), self.clone());
        let follows = spawn(cell.clone().follow_disk(saved));
        let time = spawn(cell.keep_time());
        let disk = spawn(async move {
            loop {
                for order in orders.try_iter() {
                    let seq = if let Order::Save(save) = &order { Some(save.seq) } else { None };
                    write(&mut net.stored.borrow_mut()[i], order);
                    if let Some(seq) = seq {
                        let _ = done.send(seq);
                    }
                }
                sleep(Duration::from_millis(2)).await;
            }
        });
        let dials = spawn(async move {
            let mut links = Vec::new();
            while let Some(wanted) = wanted.recv().await {
                links.push(spawn(calls.clone().link(i, wanted)));
            }
        });
        self.tasks.borrow_mut()[i] = vec![follows, time, disk, dials];
    }

    fn kill(&self, i: usize) {
        self.cells.borrow_mut()[i] = None;
        self.tasks.borrow_mut()[i].clear();
    }

    fn cell(&self, i: usize) -> Option<Rc<Cell>> {
        self.cells.borrow()[i].clone()
    }

    /// Carries what one cell says to another.
    async fn link(self: Rc<Self>, from: usize, mut wanted: Wanted) {
        let to = (0..SIZE).find(|i| settings(*i).inner() == wanted.at).expect("one of them");
        let mut round = u64::MAX;
        loop {
            let tell = timeout(Duration::from_millis(50), wanted.queue.recv()).await;
            let (Some(near), Some(far)) = (self.cell(from), self.cell(to)) else { continue };
            if self.cut.borrow().contains(&(from, to)) {
                round = u64::MAX;
                continue;
            }
            sleep(Duration::from_millis(3)).await;
            if round != self.round.get() {
                round = self.round.get();
                far.called(near.id, near.me.clone());
                near.introduction().into_iter().for_each(|tell| far.told(near.me.inner, tell));
            }
            if let Ok(Some(tell)) = tell {
                far.told(near.me.inner, tell);
            }
        }
    }

    /// An operator's order, sent until there is a clear answer: whether it was acknowledged.
    async fn order(&self, side: &[usize], command: &Command, until: Instant) -> Option<bool> {
        let (mut at, all) = (0, (0..SIZE).collect::<Vec<_>>());
        while Instant::now() < until {
            let side = if self.cut.borrow().is_empty() { &all } else { side };
            let asked = side[at % side.len()];
            at += 1;
            let answer = match self.cell(asked) {
                Some(cell) => cell.order(command, ORDER).await,
                None => Err(Unclear::NoMajority),
            };
            match answer {
                Ok(Verdict::Taken | Verdict::AlreadyTaken) => return Some(true),
                Ok(Verdict::Stale { .. } | Verdict::Invalid(_)) => return Some(false),
                Ok(Verdict::Raced) | Err(Unclear::NoMajority) => {}
                Err(Unclear::NotLeader(leader)) => at = self.place(leader, side).unwrap_or(at),
            }
            sleep(Duration::from_millis(40)).await;
        }
        None
    }

    fn place(&self, leader: Option<SocketAddr>, side: &[usize]) -> Option<usize> {
        side.iter().position(|i| Some(settings(*i).inner()) == leader)
    }

    fn leader(&self) -> Option<usize> {
        (0..SIZE).find(|i| self.cell(*i).is_some_and(|c| c.leads()))
    }
}

fn change(base: u64, rev: u64, target: u64) -> Command {
    let body = format!(
        r#"{{"rev": {rev}, "services": [{{"name": "s"}}], "routes": [{{"name": "r", "host": "h",
            "path_prefix": "/a/", "type": "mutating", "deadline_ms": 100, "target_ms": {target},
            "svc": "s", "tries": 2}}]}}"#
    );
    Command::Replace { base, body }
}

async fn race(seed: u64) -> (usize, usize) {
    let mut rng = Rand64::new(u128::from(seed));
    let net = Net::new();
    let (mut rev, mut acknowledged, mut contested) = (0, 0, 0);
    for _ in 0..6 {
        while net.leader().is_none() {
            sleep(Duration::from_millis(50)).await;
        }
        // Two sides, with the leader on either; some cuts are one way only.
        let (mut left, mut right): (Vec<usize>, Vec<usize>) =
            (0..SIZE).partition(|_| rng.rand_range(0..2) == 0);
        if left.is_empty() || right.is_empty() {
            (left, right) = (vec![0, 1, 2], vec![3, 4]);
        }
        let one_way = rng.rand_range(0..3) == 0;
        for a in &left {
            for b in &right {
                net.cut.borrow_mut().insert((*a, *b));
                if !one_way {
                    net.cut.borrow_mut().insert((*b, *a));
                }
            }
        }
        let dies =
            (rng.rand_range(0..2) == 0).then(|| Duration::from_millis(rng.rand_range(0..1500)));
        let wait = Duration::from_millis(rng.rand_range(0..400));
        let until = Instant::now() + Duration::from_secs(10);
        // The same number with two contents, or two numbers.
        let (one, other) =
            (change(rev, rev + 2, 10), change(rev, rev + 2 + rng.rand_range(0..2), 20));
        let trouble = async {
            if let Some(after) = dies {
                sleep(after).await;
                if let Some(leader) = net.leader() {
                    net.kill(leader);
                    sleep(Duration::from_millis(300)).await;
                    net.start(leader);
                }
            }
            sleep(Duration::from_millis(3000)).await;
            net.cut.borrow_mut().clear();
            net.round.set(net.round.get() + 1);
        };
        let second = async {
            sleep(wait).await;
            net.order(&right, &other, until).await
        };
        let (first, second, ()) = tokio::join!(net.order(&left, &one, until), second, trouble);
        assert!(
            first != Some(true) || second != Some(true),
            "seed {seed}: both changes on top of version {rev} were acknowledged"
        );
        contested += usize::from(first.is_some() && second.is_some());
        acknowledged += usize::from(first == Some(true) || second == Some(true));
        // Read through the majority: what was acknowledged is in force at all.
        let mut read = None;
        while read.is_none() {
            sleep(Duration::from_millis(50)).await;
            let Some(cell) = net.leader().and_then(|l| net.cell(l)) else { continue };
            read = cell.catch_up(ORDER).await.then(|| cell.agreed());
        }
        let agreed = read.expect("read");
        for (outcome, target) in [(first, 10), (second, 20)] {
            let wins = agreed.config.contains(&format!("\"target_ms\":{target}"));
            assert!(outcome != Some(true) || wins, "seed {seed}: what was acknowledged is gone");
            assert!(outcome != Some(false) || !wins, "seed {seed}: what lost its race is in force");
        }
        rev = agreed.rev;
    }
    (acknowledged, contested)
}

#[test]
fn of_two_changes_on_one_version_across_a_cut_one_is_acknowledged() {
    let (mut acknowledged, mut contested) = (0, 0);
    for seed in 0..SEEDS {
        let mut runtime = tokio::runtime::Builder::new_current_thread();
        let runtime = runtime.enable_time().start_paused(true).build().expect("a runtime");
        let (one, both) = LocalSet::new().block_on(&runtime, race(seed));
        acknowledged += one;
        contested += both;
    }
    assert!(acknowledged >= 75, "of 90 races only {acknowledged} had a winner");
    assert!(contested >= 60, "only {contested} of 90 were decided for both");
}
