//! Configuration reload on SIGHUP, while requests are served.

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
    assert_eq!(client.request(&safe_request("r1", 5000)).body, b"old");
    let (_, watch) = proxy.discovery.watch();
    // With an invalid file, the proxy keeps the old configuration.
    proxy.reconfigure("{");
    assert_eq!(client.request(&safe_request("r2", 5000)).body, b"old");

    let new_discovery = Discovery::start();
    config["discovery"] = json!(new_discovery.address.to_string());
    proxy.reconfigure(&config.to_string());
    let (request_line, mut second) = new_discovery.watch();
    assert_eq!(
        request_line, "GET /api/targets?stream=1&index=0 HTTP/1.1",
        "the revision of the old agent was used"
    );
    // The upstream, its connection and the client's connection are kept.
    assert_eq!(client.request(&safe_request("r3", 5000)).body, b"old");
    // The revision of the new list is lower than the last known one.
    let list = json!({"revision": 7, "complete": true,
        "members": [entry_of("s-9", new.address, "SERVING")]});
    send_chunk(&mut second, &format!("{list}\n"));
    let start = std::time::Instant::now();
    while client.request(&safe_request("r4", 5000)).body != b"new" {
        assert!(
            start.elapsed() < EVENT_TIMEOUT,
            "the new list was not applied"
        );
    }
    // The end of the old watch is ignored; the end of the new one causes a reconnect.
    drop(watch);
    drop(second);
    let (request_line, _) = new_discovery.watch();
    assert_eq!(request_line, "GET /api/targets?stream=1&index=7 HTTP/1.1");
    assert!(
        proxy.child.try_wait().expect("a child").is_none(),
        "the proxy exited"
    );
    let ports: std::collections::HashSet<_> = std::iter::from_fn(|| old.events.try_recv().ok())
        .filter_map(|event| {
            if let UpstreamEvent::Request(peer, _) = event {
                Some(peer)
            } else {
                None
            }
        })
        .collect();
    assert_eq!(ports.len(), 1, "the upstream connection was not kept");
}
