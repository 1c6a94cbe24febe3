//! Tests of adding and removing upstreams, and of their server ids.

use std::net::SocketAddr;

use super::*;
use crate::upstream_pool::PoolConfig;
use crate::upstream_pool::tests::test_protocol;

fn pool() -> Rc<UpstreamPool> {
    UpstreamPool::new(PoolConfig {
        max_connections: 1,
        keepalive: Duration::from_secs(5),
        connect_timeout: Duration::from_millis(250),
        max_response_bytes: 1 << 20,
        protocol: test_protocol(),
    })
}

fn upstream(id: &str, status: Status) -> ListedUpstream {
    ListedUpstream {
        id: id.to_string(),
        address: Some(SocketAddr::from(([127, 0, 0, 1], 1))),
        zone: 0,
        kind: 0,
        cell: 0,
        status,
        weight: 1.0,
        slots: 0,
        started: None,
    }
}

#[tokio::test]
async fn server_ids_are_not_reused() {
    let pool = tokio::task::LocalSet::new()
        .run_until(async { pool() })
        .await;
    let mut upstreams = UpstreamRegistry::new(Duration::from_millis(400));
    let mut next_server_id = 0;
    let mut update = |id: &str, status, kind| {
        let list = [upstream(id, status)];
        let endpoints = upstreams.update(&list, kind, &pool, &mut next_server_id);
        upstreams.remove_gone(&pool);
        (
            endpoints.first().map(|e| e.id),
            upstreams.server_ids.len(),
            upstreams.upstreams.len(),
        )
    };
    let mut seen = std::collections::HashSet::new();
    for i in 0..2000 {
        // New ids at the same address. An upstream is removed by its status or by its absence from the next list.
        let name = format!("s-{i}");
        let (id, ids, targets) = update(&name, Status::Live, MembershipKind::Complete);
        assert_eq!((ids, targets), (1, 1));
        assert!(
            seen.insert(id.expect("an endpoint")),
            "a server id was reused"
        );
        if i % 2 == 0 {
            let (_, ids, targets) = update(&name, Status::Gone, MembershipKind::Update);
            assert_eq!((ids, targets), (0, 0));
        }
    }
    assert_eq!(
        update("never-seen", Status::Gone, MembershipKind::Update).0,
        None
    );
}

#[tokio::test]
async fn upstream_in_use_is_kept_and_stays_closed() {
    let pool = tokio::task::LocalSet::new()
        .run_until(async { pool() })
        .await;
    let mut upstreams = UpstreamRegistry::new(Duration::from_millis(400));
    let mut next_server_id = 0;
    let list = [upstream("a", Status::Live)];
    let id = upstreams.update(&list, MembershipKind::Complete, &pool, &mut next_server_id)[0].id;
    let target = upstreams.target(id).expect("known");
    upstreams.update(&[], MembershipKind::Complete, &pool, &mut next_server_id);
    upstreams.remove_gone(&pool);
    assert!(target.closed_at.get().is_some() && upstreams.target(id).is_some());
    drop(target);
    upstreams.remove_gone(&pool);
    assert!(upstreams.target(id).is_none() && upstreams.server_ids.is_empty());
}
