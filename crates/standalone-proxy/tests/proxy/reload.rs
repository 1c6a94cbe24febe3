//! SIGHUP: the configuration is read again under load.

use crate::harness::*;
use serde_json::json;

#[test]
fn sighup_moves_the_discovery_watch_and_keeps_the_rest() {
    let (old, new) = (
        Upstream::start(|_| ok("old")),
        Upstream::start(|_| ok("new")),
    );
    let mut config = config(&serving_entries(&[&old]));
    let mut proxy = Proxy::start(&config);
    let mut client = proxy.client();
    assert_eq!(client.ask(&safe_request("r1", 5000)).body, b"old");
    let (_, watch) = proxy.discovery.watch();
    // A file that can't be used: the program stays on the old one.
    proxy.reconfigure("{");
    assert_eq!(client.ask(&safe_request("r2", 5000)).body, b"old");

    let moved = Discovery::start();
    config["discovery"] = json!(moved.address.to_string());
    proxy.reconfigure(&config.to_string());
    let (call, mut second) = moved.watch();
    assert_eq!(
        call, "GET /api/targets?stream=1&index=0 HTTP/1.1",
        "another agent counts anew"
    );
    // The upstream, its connection and the client's are as before.
    assert_eq!(client.ask(&safe_request("r3", 5000)).body, b"old");
    // Its revision is lower than the last one known.
    let list = json!({"revision": 7, "complete": true,
        "members": [entry_of("s-9", new.address, "SERVING")]});
    send_chunk(&mut second, &format!("{list}\n"));
    let from = std::time::Instant::now();
    while client.ask(&safe_request("r4", 5000)).body != b"new" {
        assert!(from.elapsed() < EVENT_TIMEOUT, "the new list is not used");
    }
    // The end of the old watch is no news any more; that of the new one is.
    drop(watch);
    drop(second);
    let (call, _) = moved.watch();
    assert_eq!(call, "GET /api/targets?stream=1&index=7 HTTP/1.1");
    assert!(
        proxy.child.try_wait().expect("a child").is_none(),
        "it ended"
    );
    let ports: std::collections::HashSet<_> = std::iter::from_fn(|| old.seen.try_recv().ok())
        .filter_map(|s| {
            if let UpstreamEvent::Request(from, _) = s {
                Some(from)
            } else {
                None
            }
        })
        .collect();
    assert_eq!(ports.len(), 1, "its connection was not kept");
}
