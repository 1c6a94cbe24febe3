mod schedules;

use std::net::SocketAddr;

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
fn delta_carries_only_changes() {
    let mut writer = UpstreamList::default();
    let list: Vec<Upstream> = (0..100).map(|i| upstream(i, false)).collect();
    assert!(writer.set_platform_list(list.clone(), 0, 1000, 1));
    let first = writer.version();
    let mut balancer = UpstreamList::default();
    balancer.apply_update(&writer.snapshot(0).expect("a list"), 0);
    assert!(
        !writer.set_platform_list(list.clone(), 0, 2000, 1),
        "an equal list created a new version"
    );
    let mut next = list;
    next[7].draining = true;
    next.remove(20);
    next.push(upstream(200, false));
    assert!(writer.set_platform_list(next, 0, 3000, 1));
    let update = writer.update_since(first, 0).expect("an update");
    let UpstreamUpdate::Delta(change) = &update else {
        panic!("not a delta")
    };
    assert_eq!((change.changed.len(), change.removed.len()), (2, 1));
    let mut bytes = Vec::new();
    ciborium::into_writer(&update, &mut bytes).expect("written");
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
        balancer.apply_update(&update, 0),
        UpdateOutcome::Applied(ids(&[7, 20, 200]))
    );
    assert_eq!(rows(&balancer), rows(&writer));
    assert_eq!(writer.update_since(writer.version(), 0), None);
}

#[test]
fn drain_is_never_reverted() {
    let mut writer = UpstreamList::default();
    writer.set_platform_list(vec![upstream(1, false), upstream(2, false)], 0, 1000, 1);
    let mut balancer = UpstreamList::default();
    balancer.apply_update(&writer.snapshot(0).expect("a list"), 0);
    writer.set_platform_list(vec![upstream(1, true), upstream(2, false)], 0, 2000, 1);
    balancer.apply_update(&writer.snapshot(0).expect("a list"), 0);
    // The writer loses its state, and gets an older list from the platform.
    let mut restarted = UpstreamList::default();
    restarted.set_platform_list(vec![upstream(1, false), upstream(2, false)], 0, 3000, 1);
    assert!(matches!(
        balancer.apply_update(&restarted.snapshot(0).expect("a list"), 0),
        UpdateOutcome::Applied(_)
    ));
    assert!(balancer.upstream("i-1", 0).expect("known").draining);
    // The upstream is removed, and reappears in an older list.
    restarted.set_platform_list(vec![upstream(2, false)], 0, 4000, 1);
    balancer.apply_update(&restarted.snapshot(0).expect("a list"), 0);
    restarted.set_platform_list(vec![upstream(1, false), upstream(2, false)], 0, 5000, 1);
    balancer.apply_update(&restarted.snapshot(0).expect("a list"), 0);
    assert!(balancer.upstream("i-1", 0).expect("known").draining);
    // The writer itself learns of the drain from another process, even with an older version.
    let old = writer.snapshot(0).expect("a list");
    assert_eq!(
        restarted.apply_update(&old, 0),
        UpdateOutcome::Stale(BTreeSet::from(["i-1".to_string()]))
    );
    assert!(
        restarted.refresh_platform_list(0, 6000, 1),
        "the learned drain did not create a new version"
    );
    assert!(restarted.upstream("i-1", 0).expect("known").draining);
}

#[test]
fn restarted_writer_with_clock_behind_is_accepted() {
    let mut writer = UpstreamList::default();
    writer.set_platform_list(vec![upstream(1, false)], 0, 9000, 1);
    let mut balancer = UpstreamList::default();
    balancer.apply_update(&writer.snapshot(0).expect("a list"), 0);
    let mut restarted = UpstreamList::default();
    restarted.set_platform_list(vec![upstream(1, true)], 0, 1000, 1);
    assert_eq!(
        restarted.update_since(balancer.version(), 0),
        None,
        "its version is below the one that it sent before the restart"
    );
    assert!(restarted.observe_version(balancer.version(), 1000, 1));
    let update = restarted
        .update_since(balancer.version(), 0)
        .expect("an update");
    assert!(matches!(
        balancer.apply_update(&update, 0),
        UpdateOutcome::Applied(_)
    ));
    assert!(balancer.upstream("i-1", 0).expect("known").draining);
}

#[test]
fn slow_start_is_sent_once_and_counts_down() {
    let mut writer = UpstreamList::default();
    let warming = |remaining_ms| {
        vec![Upstream {
            warmup_remaining_ms: remaining_ms,
            ..upstream(1, false)
        }]
    };
    assert!(writer.set_platform_list(warming(3000), 0, 1, 1));
    assert!(!writer.set_platform_list(warming(2100), 1000, 1001, 1));
    let remaining_ms = writer
        .upstream("i-1", 2000)
        .expect("known")
        .warmup_remaining_ms;
    assert_eq!(remaining_ms, 1000);
    assert!(
        matches!(writer.snapshot(2000), Some(UpstreamUpdate::Snapshot(all)) if all.upstreams[0].warmup_remaining_ms == 1000)
    );
    assert!(
        writer.set_platform_list(warming(3000), 2000, 2001, 1),
        "a restarted slow start did not create a new version"
    );
}
