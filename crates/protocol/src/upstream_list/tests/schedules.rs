//! Generated schedules of a small world: one platform, two authors that poll its zone in turn and may be wiped, and a
//! balancer that hears both, over sessions that lag and lose messages.

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestCaseError, TestRng, TestRunner};

use super::*;

/// Authors are given by their positions.
#[derive(Clone, Debug)]
enum Step {
    /// The platform starts (0), drains (1) or removes (2) this upstream.
    ChangePlatform(usize, u8),
    /// An author polls the platform; its answer may be the list before the last change.
    Poll(usize, bool),
    /// An author sends the balancer what it lacks; it may know an earlier version of the balancer's.
    Update(usize, bool),
    /// The first author sends the second its list, or the second the first.
    Replicate(bool),
    /// An author is wiped.
    Wipe(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..6usize, 0..3u8).prop_map(|(i, s)| Step::ChangePlatform(i, s)),
        (0..2usize, any::<bool>()).prop_map(|(a, old)| Step::Poll(a, old)),
        (0..2usize, any::<bool>()).prop_map(|(a, stale)| Step::Update(a, stale)),
        any::<bool>().prop_map(Step::Replicate),
        (0..2usize).prop_map(Step::Wipe),
    ]
}

struct World {
    unix_ms: u64,
    platform: BTreeMap<usize, Upstream>,
    /// The platform's list before its last change.
    lagging_list: Vec<Upstream>,
    /// Every upstream that the platform ever drained.
    drained: BTreeSet<usize>,
    authors: [UpstreamList; 2],
    balancer: UpstreamList,
    /// The balancer's version after the last update of each author.
    stale_versions: [u64; 2],
}

impl World {
    fn new() -> Self {
        Self {
            unix_ms: 1000,
            platform: BTreeMap::new(),
            lagging_list: Vec::new(),
            drained: BTreeSet::new(),
            authors: [UpstreamList::default(), UpstreamList::default()],
            balancer: UpstreamList::default(),
            stale_versions: [0, 0],
        }
    }

    fn play(&mut self, step: &Step) -> Result<(), TestCaseError> {
        self.unix_ms += 1;
        let before = self.balancer.version();
        match *step {
            Step::ChangePlatform(i, state) => self.change_platform(i, state),
            Step::Poll(author, old) => {
                let list = if old {
                    self.lagging_list.clone()
                } else {
                    self.platform.values().cloned().collect()
                };
                self.authors[author].set_platform_list(list, 0, self.unix_ms, author as u64);
            }
            Step::Update(author, stale) => self.update_balancer(author, stale)?,
            Step::Replicate(first) => {
                let (from, to) = if first { (0, 1) } else { (1, 0) };
                if let Some(update) = self.authors[from].snapshot(0) {
                    self.authors[to].apply_update(&update, 0);
                }
            }
            Step::Wipe(author) => self.authors[author] = UpstreamList::default(),
        }
        prop_assert!(self.balancer.version() >= before);
        Ok(())
    }

    fn change_platform(&mut self, i: usize, state: u8) {
        self.lagging_list = self.platform.values().cloned().collect();
        // An id has one life: ready, draining, removed.
        let was = self
            .platform
            .get(&i)
            .map_or(0, |u| u8::from(u.draining) + 1);
        match state {
            0 if was == 0 && !self.drained.contains(&i) => {
                self.platform.insert(i, upstream(i, false));
            }
            1 if was == 1 => {
                self.platform.insert(i, upstream(i, true));
            }
            2 if was == 2 => {
                self.platform.remove(&i);
            }
            _ => {}
        }
        if self.platform.get(&i).is_some_and(|u| u.draining) {
            self.drained.insert(i);
        }
    }

    fn update_balancer(&mut self, author: usize, stale: bool) -> Result<(), TestCaseError> {
        let (list, balancer) = (&mut self.authors[author], &mut self.balancer);
        // A session may send on the ground of a version that the balancer had a while ago.
        let known_version = if stale {
            self.stale_versions[author]
        } else {
            balancer.version()
        };
        list.observe_version(balancer.version(), self.unix_ms, author as u64);
        let draining: Vec<String> = balancer
            .upstreams(0)
            .filter(|u| u.draining)
            .map(|u| u.id)
            .collect();
        if let Some(update) = list.update_since(known_version, 0) {
            if balancer.apply_update(&update, 0) == UpdateOutcome::MissingBase {
                let snapshot = list.snapshot(0).expect("a list");
                prop_assert!(matches!(
                    balancer.apply_update(&snapshot, 0),
                    UpdateOutcome::Applied(_)
                ));
            }
            if balancer.version() == list.version() {
                let sent: Vec<String> = list.entries.keys().cloned().collect();
                let received: Vec<String> = balancer.entries.keys().cloned().collect();
                prop_assert_eq!(sent, received);
                prop_assert_eq!(list.digest, balancer.digest);
            }
        }
        let has_list = list.version() > 0;
        prop_assert!(
            has_list || list.update_since(0, 0).is_none(),
            "nothing to send"
        );
        for id in draining {
            let now = balancer.upstream(&id, 0);
            prop_assert!(
                now.is_none_or(|u| u.draining),
                "the drain of {} was taken back",
                id
            );
        }
        self.stale_versions[author] = balancer.version();
        Ok(())
    }
}

#[test]
fn any_order_of_messages_keeps_versions_and_drains() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = ProptestConfig {
        cases: 2000,
        failure_persistence: None,
        ..Default::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec(step(), 1..60);
    let outcome = runner.run(&steps, |steps| {
        let mut world = World::new();
        steps.iter().try_for_each(|step| world.play(step))
    });
    assert!(outcome.is_ok(), "{outcome:?}");
}
