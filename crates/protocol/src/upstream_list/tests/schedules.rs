//! Property test with generated schedules: one platform, two writers that take turns polling its zone and may lose
//! their state, and a balancer that gets updates from both over sessions that delay and lose messages.

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestCaseError, TestRng, TestRunner};

use super::*;

/// One step of a schedule. Writers are identified by index.
#[derive(Clone, Debug)]
enum Step {
    /// The platform starts (0), drains (1) or removes (2) the upstream.
    ChangePlatform(usize, u8),
    /// A writer polls the platform; if true, the response is the list before the last change.
    Poll(usize, bool),
    /// A writer sends the balancer an update; if true, it is based on an earlier version of the balancer's list.
    Update(usize, bool),
    /// The first writer sends its list to the second (true), or the second to the first (false).
    Replicate(bool),
    /// A writer restarts and loses its state.
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..6usize, 0..3u8).prop_map(|(i, s)| Step::ChangePlatform(i, s)),
        (0..2usize, any::<bool>()).prop_map(|(a, old)| Step::Poll(a, old)),
        (0..2usize, any::<bool>()).prop_map(|(a, stale)| Step::Update(a, stale)),
        any::<bool>().prop_map(Step::Replicate),
        (0..2usize).prop_map(Step::Restart),
    ]
}

struct Cluster {
    unix_ms: u64,
    platform: BTreeMap<usize, Upstream>,
    /// The platform's list before the last change.
    previous_list: Vec<Upstream>,
    /// All upstreams that the platform has drained.
    drained: BTreeSet<usize>,
    writers: [UpstreamList; 2],
    balancer: UpstreamList,
    /// The balancer's version after the last update from each writer.
    stale_versions: [u64; 2],
}

impl Cluster {
    fn new() -> Self {
        Self {
            unix_ms: 1000,
            platform: BTreeMap::new(),
            previous_list: Vec::new(),
            drained: BTreeSet::new(),
            writers: [UpstreamList::default(), UpstreamList::default()],
            balancer: UpstreamList::default(),
            stale_versions: [0, 0],
        }
    }

    fn apply(&mut self, step: &Step) -> Result<(), TestCaseError> {
        self.unix_ms += 1;
        let before = self.balancer.version();
        match *step {
            Step::ChangePlatform(i, state) => self.change_platform(i, state),
            Step::Poll(writer, old) => {
                let list = if old {
                    self.previous_list.clone()
                } else {
                    self.platform.values().cloned().collect()
                };
                self.writers[writer].set_platform_list(list, 0, self.unix_ms, writer as u64);
            }
            Step::Update(writer, stale) => self.update_balancer(writer, stale)?,
            Step::Replicate(first) => {
                let (from, to) = if first { (0, 1) } else { (1, 0) };
                if let Some(update) = self.writers[from].snapshot(0) {
                    self.writers[to].apply_update(&update, 0);
                }
            }
            Step::Restart(writer) => self.writers[writer] = UpstreamList::default(),
        }
        prop_assert!(self.balancer.version() >= before);
        Ok(())
    }

    fn change_platform(&mut self, i: usize, state: u8) {
        self.previous_list = self.platform.values().cloned().collect();
        // An id is ready, then draining, then removed, and is never reused.
        let current = self
            .platform
            .get(&i)
            .map_or(0, |u| u8::from(u.draining) + 1);
        match state {
            0 if current == 0 && !self.drained.contains(&i) => {
                self.platform.insert(i, upstream(i, false));
            }
            1 if current == 1 => {
                self.platform.insert(i, upstream(i, true));
            }
            2 if current == 2 => {
                self.platform.remove(&i);
            }
            _ => {}
        }
        if self.platform.get(&i).is_some_and(|u| u.draining) {
            self.drained.insert(i);
        }
    }

    fn update_balancer(&mut self, writer: usize, stale: bool) -> Result<(), TestCaseError> {
        let (list, balancer) = (&mut self.writers[writer], &mut self.balancer);
        // A session may base its update on an earlier version of the balancer's list.
        let known_version = if stale {
            self.stale_versions[writer]
        } else {
            balancer.version()
        };
        list.observe_version(balancer.version(), self.unix_ms, writer as u64);
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
            "an update was built before the first list"
        );
        for id in draining {
            let now = balancer.upstream(&id, 0);
            prop_assert!(
                now.is_none_or(|u| u.draining),
                "the drain of {} was reverted",
                id
            );
        }
        self.stale_versions[writer] = balancer.version();
        Ok(())
    }
}

#[test]
fn any_message_order_preserves_versions_and_drains() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = ProptestConfig {
        cases: 2000,
        failure_persistence: None,
        ..Default::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec(step(), 1..60);
    let outcome = runner.run(&steps, |steps| {
        let mut cluster = Cluster::new();
        steps.iter().try_for_each(|step| cluster.apply(step))
    });
    assert!(outcome.is_ok(), "{outcome:?}");
}
