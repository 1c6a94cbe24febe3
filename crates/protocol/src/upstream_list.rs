//! A zone's upstreams as they are told from process to process: by difference to who has a version that the
//! difference can build on, whole to everyone else. No sockets and no clock: the host hands in the time.
//!
//! **Promises.** Whoever hears a list has, at each version, exactly what was told at it: a difference is taken
//! in only if its outcome has the digest that it names. A version never goes back. An upstream that was told to
//! drain once drains for good, on whatever path and under whatever version that was told: an id has one life,
//! and the end of it can't be taken back by a teller that knows less.
//! **Neighbours down.** Who hears nothing keeps what it has.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Steps that differences can reach back over. A zone's list changes a few times a second at most.
const STEPS: usize = 64;
/// Ids that are remembered to have drained, those in the list aside: many times what a zone replaces within
/// the time that any old word of them can still come.
const DRAINED: usize = 4096;
/// Two words of one cold spell may differ by so much: they are as of different moments.
const SAME_SPELL: u64 = 500;
/// The part of a version that tells its teller.
const TELLER_BITS: u32 = 10;

/// An upstream as its cell knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Row", into = "Row")]
pub struct Upstream {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub slots: u32,
    pub draining: bool,
    /// It is cold for so many milliseconds longer, as of when it is told.
    pub warmup_remaining_ms: u64,
}

/// Without the names of the fields: on a narrow link they would be most of it.
#[derive(Serialize, Deserialize)]
struct Row(String, String, SocketAddr, u32, bool, u64);

impl From<Row> for Upstream {
    fn from(Row(id, svc, addr, slots, draining, warm_left_ms): Row) -> Self {
        Self {
            id,
            service: svc,
            addr,
            slots,
            draining,
            warmup_remaining_ms: warm_left_ms,
        }
    }
}

impl From<Upstream> for Row {
    fn from(u: Upstream) -> Self {
        Self(
            u.id,
            u.service,
            u.addr,
            u.slots,
            u.draining,
            u.warmup_remaining_ms,
        )
    }
}

/// What is told of a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamUpdate {
    /// All of it, at this version.
    #[serde(rename = "w")]
    Snapshot(u64, Vec<Upstream>),
    /// What is other than at an earlier version.
    #[serde(rename = "c")]
    Delta(UpstreamDelta),
}

/// A difference.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamDelta {
    #[serde(rename = "v")]
    pub version: u64,
    /// Of the whole list that it leads to.
    #[serde(rename = "d")]
    pub digest: u32,
    /// Those that are new or other, as they are now.
    #[serde(rename = "n")]
    pub changed: Vec<Upstream>,
    /// Those that are there no more.
    #[serde(rename = "g")]
    pub removed: Vec<String>,
}

/// What became of something told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// It is not newer. Some ids may have been learned to drain all the same.
    Stale(BTreeSet<String>),
    /// These ids are other than before, those that are gone among them.
    Applied(BTreeSet<String>),
    /// It builds on something else: the whole list is wanted.
    MissingBase,
}

#[derive(Clone, Debug)]
struct Known {
    upstream: Upstream,
    /// When it was learned; its cold spell is as of then.
    at: u64,
}

/// A zone's list, at the cell that keeps it, at whoever passes it on and at whoever uses it.
#[derive(Clone, Debug, Default)]
pub struct UpstreamList {
    version: u64,
    /// What is told next has to be above this.
    floor: u64,
    digest: u32,
    known: BTreeMap<String, Known>,
    /// From which version each step led, and what it touched.
    steps: VecDeque<(u64, BTreeSet<String>)>,
    drained: BTreeSet<String>,
    /// The same in the order in which they were learned.
    drained_order: VecDeque<String>,
}

impl UpstreamList {
    /// The version that it has; 0 before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The upstreams as of `now`: what is known to drain drains.
    pub fn upstreams(&self, now: u64) -> impl Iterator<Item = Upstream> {
        self.known.values().map(move |k| self.as_of(k, now))
    }

    /// One of them.
    pub fn upstream(&self, id: &str, now: u64) -> Option<Upstream> {
        self.known.get(id).map(|k| self.as_of(k, now))
    }

    fn as_of(&self, known: &Known, now: u64) -> Upstream {
        let u = &known.upstream;
        Upstream {
            draining: u.draining || self.drained.contains(&u.id),
            warmup_remaining_ms: u
                .warmup_remaining_ms
                .saturating_sub(now.saturating_sub(known.at)),
            ..u.clone()
        }
    }

    /// A version above any that this list has had or heard of, and no other teller's.
    fn next(&self, unix_ms: u64, teller: u64) -> u64 {
        let above = (self.version.max(self.floor) >> TELLER_BITS) + 1;
        (above.max(unix_ms) << TELLER_BITS) | (teller & ((1 << TELLER_BITS) - 1))
    }

    /// Somebody has a version above this one, from this teller in an earlier life or from another: whatever
    /// is told next has to be above that.
    pub fn observe_version(&mut self, version: u64, unix_ms: u64, teller: u64) -> bool {
        self.floor = self.floor.max(version);
        // Before there is a list there is nothing to be told: an empty one would end every upstream.
        if version <= self.version || self.version == 0 {
            return false;
        }
        self.version = self.next(unix_ms, teller);
        self.steps.clear();
        true
    }

    /// The list as the platform has it, at the cell that keeps the zone. `true` if there is news to be told.
    pub fn set_platform_list(
        &mut self,
        list: Vec<Upstream>,
        now: u64,
        unix_ms: u64,
        teller: u64,
    ) -> bool {
        let mut next = BTreeMap::new();
        for mut upstream in list {
            upstream.draining |= self.drained.contains(&upstream.id);
            // A cold spell is told once; that it gets shorter is no news.
            let same = self.known.get(&upstream.id).filter(|k| {
                let left = self.as_of(k, now).warmup_remaining_ms;
                let warm_left_ms = k.upstream.warmup_remaining_ms;
                left + SAME_SPELL >= upstream.warmup_remaining_ms
                    && Upstream {
                        warmup_remaining_ms: warm_left_ms,
                        ..upstream.clone()
                    } == k.upstream
            });
            let known = same.cloned().unwrap_or(Known { upstream, at: now });
            next.insert(known.upstream.id.clone(), known);
        }
        let touched = self.others(&next);
        if touched.is_empty() && self.version > 0 {
            return false;
        }
        let version = self.next(unix_ms, teller);
        self.move_to(version, next, touched);
        true
    }

    /// The same list once more, with what was learned to drain meanwhile.
    pub fn refresh_platform_list(&mut self, now: u64, unix_ms: u64, teller: u64) -> bool {
        let list = self.upstreams(now).collect();
        self.version > 0 && self.set_platform_list(list, now, unix_ms, teller)
    }

    fn others(&self, next: &BTreeMap<String, Known>) -> BTreeSet<String> {
        let other = |(id, k): (&String, &Known)| {
            let same = next
                .get(id)
                .is_some_and(|n| n.upstream == k.upstream && n.at == k.at);
            (!same).then(|| id.clone())
        };
        let new = next
            .keys()
            .filter(|id| !self.known.contains_key(*id))
            .cloned();
        self.known.iter().filter_map(other).chain(new).collect()
    }

    fn move_to(&mut self, version: u64, next: BTreeMap<String, Known>, touched: BTreeSet<String>) {
        self.steps.push_back((self.version, touched));
        if self.steps.len() > STEPS {
            self.steps.pop_front();
        }
        self.digest = digest(&next);
        (self.version, self.known) = (version, next);
        let draining: Vec<String> = self
            .known
            .values()
            .filter(|k| k.upstream.draining)
            .map(|k| k.upstream.id.clone())
            .collect();
        for id in draining {
            self.drain(id);
        }
    }

    fn drain(&mut self, id: String) -> bool {
        if !self.drained.insert(id.clone()) {
            return false;
        }
        self.drained_order.push_back(id);
        while self.drained_order.len() > DRAINED {
            if let Some(oldest) = self.drained_order.pop_front() {
                self.drained.remove(&oldest);
            }
        }
        true
    }

    /// What somebody who has this version does not have; nothing if that is nothing.
    pub fn update_since(&self, version: u64, now: u64) -> Option<UpstreamUpdate> {
        if version >= self.version {
            return None;
        }
        let from = self
            .steps
            .iter()
            .position(|(base, _)| *base == version && version > 0);
        let Some(from) = from else {
            return self.snapshot(now);
        };
        let touched: BTreeSet<&String> = self.steps.range(from..).flat_map(|(_, t)| t).collect();
        let known = |id: &&String| self.known.contains_key(*id);
        let (now_there, gone): (Vec<&String>, Vec<&String>) = touched.into_iter().partition(known);
        let now_there = now_there
            .into_iter()
            .filter_map(|id| self.told(id, now))
            .collect();
        let gone = gone.into_iter().cloned().collect();
        let (version, digest) = (self.version, self.digest);
        Some(UpstreamUpdate::Delta(UpstreamDelta {
            version,
            digest,
            changed: now_there,
            removed: gone,
        }))
    }

    /// All of it.
    pub fn snapshot(&self, now: u64) -> Option<UpstreamUpdate> {
        let all = self
            .known
            .keys()
            .filter_map(|id| self.told(id, now))
            .collect();
        (self.version > 0).then_some(UpstreamUpdate::Snapshot(self.version, all))
    }

    /// As it was told here: the digest is of that. What is known besides to drain, its own teller tells.
    fn told(&self, id: &str, now: u64) -> Option<Upstream> {
        let known = self.known.get(id)?;
        let warm_left_ms = self.as_of(known, now).warmup_remaining_ms;
        Some(Upstream {
            warmup_remaining_ms: warm_left_ms,
            ..known.upstream.clone()
        })
    }

    /// Takes in what another process tells.
    pub fn apply_update(&mut self, told: &UpstreamUpdate, now: u64) -> UpdateOutcome {
        let rows = match told {
            UpstreamUpdate::Snapshot(_, all) => all,
            UpstreamUpdate::Delta(change) => &change.changed,
        };
        let mut drain = BTreeSet::new();
        for row in rows.iter().filter(|r| r.draining) {
            if self.drain(row.id.clone()) && self.known.contains_key(&row.id) {
                drain.insert(row.id.clone());
            }
        }
        let known = |u: &Upstream| {
            (
                u.id.clone(),
                Known {
                    upstream: u.clone(),
                    at: now,
                },
            )
        };
        let (version, next) = match told {
            UpstreamUpdate::Snapshot(version, _)
            | UpstreamUpdate::Delta(UpstreamDelta { version, .. })
                if *version <= self.version =>
            {
                return UpdateOutcome::Stale(drain);
            }
            UpstreamUpdate::Snapshot(version, all) => (*version, all.iter().map(known).collect()),
            UpstreamUpdate::Delta(change) => {
                let mut next = self.known.clone();
                change.removed.iter().for_each(|id| drop(next.remove(id)));
                next.extend(change.changed.iter().map(known));
                if digest(&next) != change.digest {
                    return UpdateOutcome::MissingBase;
                }
                (change.version, next)
            }
        };
        let touched: BTreeSet<String> = match told {
            UpstreamUpdate::Snapshot(..) => self.others(&next),
            UpstreamUpdate::Delta(c) => c
                .changed
                .iter()
                .map(|u| &u.id)
                .chain(&c.removed)
                .cloned()
                .collect(),
        };
        self.move_to(version, next, touched.clone());
        drain.extend(touched);
        UpdateOutcome::Applied(drain)
    }
}

/// Of all that matters for where requests may go, in the order of the ids.
fn digest(known: &BTreeMap<String, Known>) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    for Known { upstream: u, .. } in known.values() {
        for text in [&u.id, &u.service] {
            hasher.update(&(text.len() as u32).to_be_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(u.addr.to_string().as_bytes());
        hasher.update(&u.slots.to_be_bytes());
        hasher.update(&[u8::from(u.draining)]);
    }
    hasher.finalize()
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;
    use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

    use super::*;

    fn upstream(id: usize, draining: bool) -> Upstream {
        Upstream {
            id: format!("i-{id}"),
            service: "s".into(),
            addr: SocketAddr::from(([10, 0, 0, id as u8], 80)),
            slots: 4,
            draining,
            warmup_remaining_ms: 0,
        }
    }

    fn rows(list: &UpstreamList) -> Vec<Upstream> {
        list.upstreams(0).collect()
    }

    #[test]
    fn a_difference_carries_what_changed_and_nothing_else() {
        let mut cell = UpstreamList::default();
        let list: Vec<Upstream> = (0..100).map(|i| upstream(i, false)).collect();
        assert!(cell.set_platform_list(list.clone(), 0, 1000, 1));
        let first = cell.version();
        let mut balancer = UpstreamList::default();
        balancer.apply_update(&cell.snapshot(0).expect("a list"), 0);
        assert!(
            !cell.set_platform_list(list.clone(), 0, 2000, 1),
            "the same is no news"
        );
        let mut next = list;
        next[7].draining = true;
        next.remove(20);
        next.push(upstream(200, false));
        assert!(cell.set_platform_list(next, 0, 3000, 1));
        let told = cell.update_since(first, 0).expect("news");
        let UpstreamUpdate::Delta(change) = &told else {
            panic!("not whole")
        };
        assert_eq!((change.changed.len(), change.removed.len()), (2, 1));
        let mut bytes = Vec::new();
        ciborium::into_writer(&told, &mut bytes).expect("written");
        assert!(
            bytes.len() < 120,
            "{} bytes for three upstreams",
            bytes.len()
        );
        let ids = |ids: &[usize]| {
            ids.iter()
                .map(|i| format!("i-{i}"))
                .collect::<BTreeSet<_>>()
        };
        assert_eq!(
            balancer.apply_update(&told, 0),
            UpdateOutcome::Applied(ids(&[7, 20, 200]))
        );
        assert_eq!(rows(&balancer), rows(&cell));
        assert_eq!(cell.update_since(cell.version(), 0), None);
    }

    #[test]
    fn a_drain_holds_whoever_tells_what_after_it() {
        let mut cell = UpstreamList::default();
        cell.set_platform_list(vec![upstream(1, false), upstream(2, false)], 0, 1000, 1);
        let mut balancer = UpstreamList::default();
        balancer.apply_update(&cell.snapshot(0).expect("a list"), 0);
        cell.set_platform_list(vec![upstream(1, true), upstream(2, false)], 0, 2000, 1);
        balancer.apply_update(&cell.snapshot(0).expect("a list"), 0);
        // The cell dies, and what it gets from the platform in its new life is older.
        let mut reborn = UpstreamList::default();
        reborn.set_platform_list(vec![upstream(1, false), upstream(2, false)], 0, 3000, 1);
        assert!(matches!(
            balancer.apply_update(&reborn.snapshot(0).expect("a list"), 0),
            UpdateOutcome::Applied(_)
        ));
        assert!(balancer.upstream("i-1", 0).expect("known").draining);
        // It left, and comes again in an older list.
        reborn.set_platform_list(vec![upstream(2, false)], 0, 4000, 1);
        balancer.apply_update(&reborn.snapshot(0).expect("a list"), 0);
        reborn.set_platform_list(vec![upstream(1, false), upstream(2, false)], 0, 5000, 1);
        balancer.apply_update(&reborn.snapshot(0).expect("a list"), 0);
        assert!(balancer.upstream("i-1", 0).expect("known").draining);
        // The cell itself learns it from another that was told, under an older version too.
        let old = cell.snapshot(0).expect("a list");
        assert_eq!(
            reborn.apply_update(&old, 0),
            UpdateOutcome::Stale(BTreeSet::from(["i-1".to_string()]))
        );
        assert!(reborn.refresh_platform_list(0, 6000, 1), "it tells it on");
        assert!(reborn.upstream("i-1", 0).expect("known").draining);
    }

    #[test]
    fn a_cell_whose_clock_went_back_is_heard_all_the_same() {
        let mut cell = UpstreamList::default();
        cell.set_platform_list(vec![upstream(1, false)], 0, 9000, 1);
        let mut balancer = UpstreamList::default();
        balancer.apply_update(&cell.snapshot(0).expect("a list"), 0);
        let mut reborn = UpstreamList::default();
        reborn.set_platform_list(vec![upstream(1, true)], 0, 1000, 1);
        assert_eq!(
            reborn.update_since(balancer.version(), 0),
            None,
            "it is behind its own past"
        );
        assert!(reborn.observe_version(balancer.version(), 1000, 1));
        let told = reborn.update_since(balancer.version(), 0).expect("news");
        assert!(matches!(
            balancer.apply_update(&told, 0),
            UpdateOutcome::Applied(_)
        ));
        assert!(balancer.upstream("i-1", 0).expect("known").draining);
    }

    #[test]
    fn a_cold_spell_is_told_once_and_as_of_its_moment() {
        let mut cell = UpstreamList::default();
        let cold = |left| {
            vec![Upstream {
                warmup_remaining_ms: left,
                ..upstream(1, false)
            }]
        };
        assert!(cell.set_platform_list(cold(3000), 0, 1, 1));
        assert!(!cell.set_platform_list(cold(2100), 1000, 1001, 1));
        let left = cell
            .upstream("i-1", 2000)
            .expect("known")
            .warmup_remaining_ms;
        assert_eq!(left, 1000);
        assert!(
            matches!(cell.snapshot(2000), Some(UpstreamUpdate::Snapshot(_, all)) if all[0].warmup_remaining_ms == 1000)
        );
        assert!(
            cell.set_platform_list(cold(3000), 2000, 2001, 1),
            "it turned cold again"
        );
    }

    /// Steps of a small world: one platform, two cells that keep its zone in turn and may be reborn, and a
    /// balancer that hears both, over sessions that lag and lose.
    #[derive(Clone, Debug)]
    enum Step {
        Platform(usize, u8),
        Listed(usize, bool),
        Told(usize, bool),
        Peers(bool),
        Reborn(usize),
    }

    fn step() -> impl Strategy<Value = Step> {
        prop_oneof![
            (0..6usize, 0..3u8).prop_map(|(i, s)| Step::Platform(i, s)),
            (0..2usize, any::<bool>()).prop_map(|(c, old)| Step::Listed(c, old)),
            (0..2usize, any::<bool>()).prop_map(|(c, stale)| Step::Told(c, stale)),
            any::<bool>().prop_map(Step::Peers),
            (0..2usize).prop_map(Step::Reborn),
        ]
    }

    #[test]
    fn in_any_order_of_words_no_version_goes_back_and_no_drain_is_unseen() {
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
        let config = ProptestConfig {
            cases: 2000,
            failure_persistence: None,
            ..Default::default()
        };
        let mut runner = TestRunner::new_with_rng(config, rng);
        let steps = proptest::collection::vec(step(), 1..60);
        let outcome = runner.run(&steps, |steps| {
            let (mut platform, mut lagging) = (BTreeMap::new(), Vec::new());
            let mut cells = [UpstreamList::default(), UpstreamList::default()];
            let (mut balancer, mut unix) = (UpstreamList::default(), 1000);
            let (mut drained, mut stale) = (BTreeSet::new(), [0, 0]);
            for step in steps {
                unix += 1;
                let before = balancer.version();
                match step {
                    Step::Platform(i, state) => {
                        lagging = platform.values().cloned().collect();
                        // An id has one life: ready, draining, gone.
                        let was = platform
                            .get(&i)
                            .map_or(0, |u: &Upstream| u8::from(u.draining) + 1);
                        match state {
                            0 if was == 0 && !drained.contains(&i) => {
                                drop(platform.insert(i, upstream(i, false)));
                            }
                            1 if was == 1 => drop(platform.insert(i, upstream(i, true))),
                            2 if was == 2 => drop(platform.remove(&i)),
                            _ => {}
                        }
                        if platform.get(&i).is_some_and(|u| u.draining) {
                            drained.insert(i);
                        }
                    }
                    Step::Listed(c, old) => {
                        let list = if old {
                            lagging.clone()
                        } else {
                            platform.values().cloned().collect()
                        };
                        cells[c].set_platform_list(list, 0, unix, c as u64);
                    }
                    Step::Told(c, old) => {
                        // A session may tell on the ground of what was had a while ago.
                        let has = if old { stale[c] } else { balancer.version() };
                        cells[c].observe_version(balancer.version(), unix, c as u64);
                        let seen: Vec<String> = balancer
                            .upstreams(0)
                            .filter(|u| u.draining)
                            .map(|u| u.id)
                            .collect();
                        if let Some(told) = cells[c].update_since(has, 0) {
                            if balancer.apply_update(&told, 0) == UpdateOutcome::MissingBase {
                                let whole = cells[c].snapshot(0).expect("a list");
                                prop_assert!(matches!(
                                    balancer.apply_update(&whole, 0),
                                    UpdateOutcome::Applied(_)
                                ));
                            }
                            if balancer.version() == cells[c].version() {
                                let told: Vec<String> = cells[c].known.keys().cloned().collect();
                                let has: Vec<String> = balancer.known.keys().cloned().collect();
                                prop_assert_eq!(told, has);
                                prop_assert_eq!(cells[c].digest, balancer.digest);
                            }
                        }
                        let listed = cells[c].version() > 0;
                        prop_assert!(
                            listed || cells[c].update_since(0, 0).is_none(),
                            "nothing to tell"
                        );
                        for id in seen {
                            let now = balancer.upstream(&id, 0);
                            prop_assert!(now.is_none_or(|u| u.draining), "{} was unseen", id);
                        }
                        stale[c] = balancer.version();
                    }
                    Step::Peers(first) => {
                        let (from, to) = if first { (0, 1) } else { (1, 0) };
                        if let Some(told) = cells[from].snapshot(0) {
                            cells[to].apply_update(&told, 0);
                        }
                    }
                    Step::Reborn(c) => cells[c] = UpstreamList::default(),
                }
                prop_assert!(balancer.version() >= before);
            }
            Ok(())
        });
        assert!(outcome.is_ok(), "{outcome:?}");
    }
}
