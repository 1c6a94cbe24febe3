//! Wire compatibility tests: compare encoded sample messages with fixture files written by an earlier build. Different
//! builds run at the same time, so each frame has to decode, and encode again, to exactly the bytes of its fixture.
//!
//! `SHOREFRONT_WRITE_FIXTURES=1 cargo test -p protocol --test golden` rewrites the fixtures. Without the variable, a
//! missing fixture fails the test.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use protocol::compact_config::CompactConfig;
use protocol::config::{Config, RequestKind, RequestLimits, Route, Service, TrafficSplit};
use protocol::key_load::{BucketLoad, KeyLoadReport};
use protocol::key_ranges::{KeyRangeChange, KeyRangeMap, KeyRangeRow, LeaseHolder, Ownership};
use protocol::upstream_list::{Upstream, UpstreamList, UpstreamSnapshot, UpstreamUpdate};
use protocol::wire::{
    Balancer, ControlNode, FleetView, Handshake, Indexed, MAX_FRAME_BYTES, PROTOCOL_VERSION,
    PeerMessage, Session, SessionMessage, WatchRequest, WatchUpdate, decode_body, digest,
    encode_frame,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Environment variable that, if set to `1`, makes the tests write the fixtures before they compare them.
const WRITE_FIXTURES_ENV_VAR: &str = "SHOREFRONT_WRITE_FIXTURES";

fn fixture_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(format!("{name}.frame"))
}

/// Compares a message with the frame in its fixture: encoded, decoded, and encoded again.
fn assert_golden<T>(name: &str, sample: &T)
where
    T: Debug + PartialEq + Serialize + DeserializeOwned,
{
    let path = fixture_path(name);
    let encoded = encode_frame(sample).expect("a frame");
    if std::env::var(WRITE_FIXTURES_ENV_VAR).is_ok_and(|value| value == "1") {
        std::fs::write(&path, &encoded).expect("written");
    }
    let golden = std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    let (length, body) = golden.split_at(4);
    assert_eq!(
        length,
        (body.len() as u32).to_be_bytes(),
        "{name}: length of the body"
    );
    let decoded: T = decode_body(body).unwrap_or_else(|e| panic!("{name}: {e}"));
    assert_eq!(&decoded, sample, "{name}: decoded");
    assert_eq!(
        encode_frame(&decoded).expect("a frame"),
        golden,
        "{name}: encoded again"
    );
    assert_eq!(encoded, golden, "{name}: encoded");
}

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

fn sample_balancer() -> Balancer {
    Balancer {
        node: "edge-1".into(),
        zone: "zone-a".into(),
        region: "region-1".into(),
        http_addr: address("10.1.2.3:8080"),
    }
}

fn sample_balancer_ipv6() -> Balancer {
    Balancer {
        http_addr: address("[2001:db8::7]:8080"),
        ..sample_balancer()
    }
}

fn sample_control_node() -> ControlNode {
    ControlNode {
        internal_addr: address("10.1.2.4:7000"),
        zone: "zone-a".into(),
        region: "region-1".into(),
        has_disk: true,
    }
}

fn sample_control_node_without_disk() -> ControlNode {
    ControlNode {
        internal_addr: address("[2001:db8::8]:7001"),
        has_disk: false,
        ..sample_control_node()
    }
}

fn sample_fleet() -> FleetView {
    FleetView {
        balancers: 12,
        position: 300,
    }
}

fn sample_session() -> Session {
    Session {
        balancer: sample_balancer(),
        ready: true,
        draining: false,
    }
}

fn sample_draining_session() -> Session {
    Session {
        balancer: sample_balancer_ipv6(),
        ready: false,
        draining: true,
    }
}

fn sample_key_load() -> KeyLoadReport {
    let load = |bucket, units| BucketLoad { bucket, units };
    [
        ("one".into(), vec![load(0, 1), load(4095, u16::MAX)]),
        ("two".into(), Vec::new()),
    ]
    .into_iter()
    .collect()
}

fn sample_watch_request() -> WatchRequest {
    WatchRequest {
        config_index: 7,
        evacuations_index: 300,
        key_ranges_index: 70_000,
        zone_versions: BTreeMap::from([("zone-a".into(), 5_000_000_000), ("zone-b".into(), 0)]),
        fleet: Some(sample_fleet()),
        control_nodes_digest: u32::MAX,
        ready: true,
        draining: true,
        is_secondary: true,
    }
}

fn sample_config() -> Config {
    let shared = Route {
        name: "shared".into(),
        host: "b.example".into(),
        path_prefix: "/".into(),
        kind: RequestKind::Mutating,
        deadline_ms: u64::MAX,
        target_ms: 250,
        priority: 3,
        service: None,
        split: Some(vec![
            TrafficSplit {
                service: "one".into(),
                weight: 3,
            },
            TrafficSplit {
                service: "two".into(),
                weight: 0,
            },
        ]),
        max_attempts: 1,
        home_regions: vec!["region-1".into(), "region-2".into()],
    };
    let single = Route {
        name: "single".into(),
        host: "a.example".into(),
        path_prefix: "/p/".into(),
        kind: RequestKind::Idempotent,
        service: Some("two".into()),
        split: None,
        max_attempts: 3,
        home_regions: Vec::new(),
        ..shared.clone()
    };
    let one = Service {
        name: "one".into(),
        health_path: "/health".into(),
        max_conns: 9,
        warmup_s: 3.5,
        warmup_per_s: 4.1,
        sharded: true,
    };
    let two = Service {
        name: "two".into(),
        ..Service::default()
    };
    let limits = RequestLimits {
        max_header_bytes: 8192,
        max_body_bytes: 1 << 20,
        header_timeout_ms: 700,
        idle_timeout_ms: 15_001,
    };
    Config {
        revision: 41,
        routes: vec![shared, single],
        services: vec![one, two],
        limits,
    }
}

fn sample_compact_config() -> CompactConfig {
    CompactConfig::from_config(&sample_config())
}

fn sample_upstream(number: u8) -> Upstream {
    Upstream {
        id: format!("i-{number}"),
        service: "one".into(),
        addr: SocketAddr::from(([10, 0, 0, number], 80)),
        slots: 4,
        draining: false,
        warmup_remaining_ms: 0,
    }
}

/// Returns a zone's list and its first version. Since that version, one upstream started to drain, one was added in
/// slow start, and one was removed.
fn sample_zone() -> (UpstreamList, u64) {
    let (unix_ms, writer_id) = (1_700_000_000_000, 5);
    let mut zone = UpstreamList::default();
    assert!(zone.set_platform_list(
        (1..=4).map(sample_upstream).collect(),
        0,
        unix_ms,
        writer_id
    ));
    let first = zone.version();
    let draining = Upstream {
        draining: true,
        ..sample_upstream(2)
    };
    let warming = Upstream {
        addr: address("[2001:db8::9]:8443"),
        service: "two".into(),
        warmup_remaining_ms: 3000,
        ..sample_upstream(9)
    };
    let next = vec![sample_upstream(1), draining, sample_upstream(4), warming];
    assert!(zone.set_platform_list(next, 10, unix_ms + 10, writer_id));
    (zone, first)
}

fn sample_snapshot() -> UpstreamUpdate {
    sample_zone().0.snapshot(10).expect("a list")
}

fn sample_delta() -> UpstreamUpdate {
    let (zone, first) = sample_zone();
    zone.update_since(first, 10).expect("an update")
}

fn sample_rows() -> Vec<KeyRangeRow> {
    vec![
        KeyRangeRow {
            first: 0,
            last: 4095,
            owner: Some("i-1".into()),
        },
        KeyRangeRow {
            first: 4096,
            last: u16::MAX,
            owner: None,
        },
    ]
}

fn indexed<T>(index: u64, value: T) -> Indexed<T> {
    Indexed { index, value }
}

fn sample_watch_update() -> WatchUpdate {
    WatchUpdate {
        out_of_contact: true,
        config: Some(indexed(8, Arc::new(sample_compact_config()))),
        evacuated_zones: Some(indexed(9, vec!["zone-b".into(), "zone-c".into()])),
        key_ranges: Some(indexed(10, BTreeMap::from([("one".into(), sample_rows())]))),
        zone_updates: BTreeMap::from([
            ("zone-a".into(), sample_snapshot()),
            ("zone-b".into(), sample_delta()),
        ]),
        fleet: Some(sample_fleet()),
        control_nodes: Some(vec![
            sample_control_node(),
            sample_control_node_without_disk(),
        ]),
    }
}

fn sample_holder() -> LeaseHolder {
    LeaseHolder {
        id: "i-1".into(),
        addr: address("10.0.0.1:80"),
    }
}

fn sample_ownerships() -> [Ownership; 4] {
    [
        Ownership::Unowned,
        Ownership::Assigned(sample_holder(), None),
        Ownership::Assigned(sample_holder(), Some("handover".into())),
        Ownership::Releasing(sample_holder()),
    ]
}

fn sample_change(ownership: Ownership) -> KeyRangeChange {
    KeyRangeChange {
        first: 16,
        last: 4095,
        expected_token: 300,
        ownership,
    }
}

/// Returns ranges with each kind of ownership, one of which was split.
fn sample_key_range_map() -> KeyRangeMap {
    let mut ranges = KeyRangeMap::default();
    for (number, ownership) in (0u16..).zip(sample_ownerships()) {
        let first = number * 4096;
        let change = KeyRangeChange {
            first,
            last: first + 4095,
            expected_token: 0,
            ownership,
        };
        assert!(ranges.apply(u64::from(number) + 1, &change));
    }
    let part = KeyRangeChange {
        first: 4100,
        last: 4199,
        expected_token: 1,
        ownership: Ownership::Unowned,
    };
    assert!(ranges.apply(70_000, &part));
    ranges
}

fn sample_peer_messages() -> Vec<PeerMessage> {
    let sessions = vec![sample_session(), sample_draining_session()];
    let control_nodes = vec![sample_control_node(), sample_control_node_without_disk()];
    vec![
        PeerMessage::Join {
            node_id: u64::MAX,
            internal_addr: address("10.1.2.4:7000"),
        },
        PeerMessage::Sessions {
            sessions: sessions.clone(),
            control_nodes: control_nodes.clone(),
        },
        PeerMessage::SessionChanges {
            changed: sessions,
            removed: vec!["edge-9".into()],
            control_nodes: Some(control_nodes),
        },
        PeerMessage::KeyLoad(sample_key_load()),
        PeerMessage::Heartbeat {
            leader: Some(address("10.1.2.4:7000")),
        },
        PeerMessage::ConfirmLeadership { token: 77 },
        PeerMessage::LeadershipConfirmed { token: 77 },
        PeerMessage::ZoneUpdate {
            zone: "zone-a".into(),
            update: sample_delta(),
        },
        PeerMessage::ZoneSnapshotRequest {
            zone: "zone-a".into(),
        },
    ]
}

// Fixture names. The matches are exhaustive, so that a new variant does not compile without a fixture name. Its sample
// is to be added above.

fn handshake_fixture(handshake: &Handshake) -> &'static str {
    match handshake {
        Handshake::DataPlane { .. } => "hello-data-plane",
        Handshake::Control { .. } => "hello-control",
    }
}

fn session_message_fixture(message: &SessionMessage) -> &'static str {
    match message {
        SessionMessage::Watch(_) => "word-ask",
        SessionMessage::KeepAlive => "word-same",
        SessionMessage::KeyLoad(_) => "word-work",
    }
}

fn upstream_update_fixture(update: &UpstreamUpdate) -> &'static str {
    match update {
        UpstreamUpdate::Snapshot(_) => "told-whole",
        UpstreamUpdate::Delta(_) => "told-change",
    }
}

fn ownership_fixture(ownership: &Ownership) -> &'static str {
    match ownership {
        Ownership::Unowned => "key-change-free",
        Ownership::Assigned(_, None) => "key-change-by",
        Ownership::Assigned(_, Some(_)) => "key-change-by-with-handover",
        Ownership::Releasing(_) => "key-change-leaving",
    }
}

/// Returns `None` for [`PeerMessage::Raft`], whose messages the `raft` crate defines.
fn peer_message_fixture(message: &PeerMessage) -> Option<&'static str> {
    match message {
        PeerMessage::Raft(_) => None,
        PeerMessage::Join { .. } => Some("tell-join"),
        PeerMessage::Sessions { .. } => Some("tell-sessions"),
        PeerMessage::SessionChanges { .. } => Some("tell-moved"),
        PeerMessage::KeyLoad(_) => Some("tell-work"),
        PeerMessage::Heartbeat { .. } => Some("tell-alive"),
        PeerMessage::ConfirmLeadership { .. } => Some("tell-confirm"),
        PeerMessage::LeadershipConfirmed { .. } => Some("tell-confirmed"),
        PeerMessage::ZoneUpdate { .. } => Some("tell-zone"),
        PeerMessage::ZoneSnapshotRequest { .. } => Some("tell-want"),
    }
}

#[test]
fn protocol_version_and_frame_limit() {
    assert_eq!(PROTOCOL_VERSION, 5);
    assert_eq!(MAX_FRAME_BYTES, 16 * 1024 * 1024);
    // CBOR uses five bytes for the type and length of a string of this size.
    let longest = "x".repeat(MAX_FRAME_BYTES - 5);
    assert_eq!(
        encode_frame(&longest).expect("a frame").len(),
        MAX_FRAME_BYTES + 4
    );
    assert!(encode_frame(&(longest + "x")).is_err());
}

#[test]
fn handshake_frames() {
    let balancer = sample_balancer();
    let data_plane = Handshake::DataPlane {
        protocol_version: 5,
        balancer,
    };
    let control = Handshake::Control {
        protocol_version: 5,
        node_id: u64::MAX,
        control_node: sample_control_node(),
    };
    for handshake in [data_plane, control] {
        assert_golden(handshake_fixture(&handshake), &handshake);
    }
}

#[test]
fn session_message_frames() {
    for message in [
        SessionMessage::Watch(sample_watch_request()),
        SessionMessage::KeepAlive,
        SessionMessage::KeyLoad(sample_key_load()),
    ] {
        assert_golden(session_message_fixture(&message), &message);
    }
    assert_golden(
        "word-ask-default",
        &SessionMessage::Watch(WatchRequest::default()),
    );
    assert_golden(
        "word-work-empty",
        &SessionMessage::KeyLoad(KeyLoadReport::new()),
    );
    assert_golden("ask", &sample_watch_request());
    assert_golden("ask-default", &WatchRequest::default());
}

#[test]
fn watch_update_frames() {
    assert_golden("news", &sample_watch_update());
    assert_golden("news-empty", &WatchUpdate::default());
}

#[test]
fn upstream_update_frames() {
    for update in [sample_snapshot(), sample_delta()] {
        assert_golden(upstream_update_fixture(&update), &update);
    }
    assert_golden(
        "told-whole-empty",
        &UpstreamUpdate::Snapshot(UpstreamSnapshot {
            version: 1024,
            upstreams: Vec::new(),
        }),
    );
}

#[test]
fn peer_message_frames() {
    let mut compared = BTreeSet::new();
    for message in sample_peer_messages() {
        let name = peer_message_fixture(&message).expect("not a Raft message");
        assert!(compared.insert(name), "{name} has two samples");
        assert_golden(name, &message);
    }
    assert_eq!(compared.len(), 9, "one sample for each variant but `Raft`");
    assert_golden(
        "tell-alive-without-leader",
        &PeerMessage::Heartbeat { leader: None },
    );
    let empty_changes = PeerMessage::SessionChanges {
        changed: Vec::new(),
        removed: Vec::new(),
        control_nodes: None,
    };
    assert_golden("tell-moved-empty", &empty_changes);
}

#[test]
fn frames_of_message_parts() {
    assert_golden("session", &sample_session());
    assert_golden("session-leaving", &sample_draining_session());
    assert_golden("balancer", &sample_balancer());
    assert_golden("balancer-ipv6", &sample_balancer_ipv6());
    assert_golden("control", &sample_control_node());
    assert_golden("control-without-disk", &sample_control_node_without_disk());
    assert_golden("bank", &sample_fleet());
}

#[test]
fn compact_config_frame() {
    assert_golden("compact-config", &sample_compact_config());
    assert_golden("compact-config-default", &CompactConfig::default());
    assert_eq!(sample_compact_config().to_config(), sample_config());
}

#[test]
fn key_range_frames() {
    for ownership in sample_ownerships() {
        assert_golden(ownership_fixture(&ownership), &sample_change(ownership));
    }
    assert_golden("key-slices", &sample_key_range_map());
    assert_golden("key-slices-empty", &KeyRangeMap::default());
    assert_golden("key-rows", &sample_key_range_map().changed_since(1));
}

#[test]
fn omitted_fields_take_defaults() {
    let empty_map = [0xa0];
    assert_eq!(
        decode_body::<WatchRequest>(&empty_map).expect("a request"),
        WatchRequest::default()
    );
    assert_eq!(
        decode_body::<WatchUpdate>(&empty_map).expect("an update"),
        WatchUpdate::default()
    );
}

#[test]
fn digest_values() {
    let control_nodes = digest(&vec![
        sample_control_node(),
        sample_control_node_without_disk(),
    ]);
    let none = digest(&Vec::<ControlNode>::new());
    let UpstreamUpdate::Delta(change) = sample_delta() else {
        panic!("not a delta")
    };
    assert_eq!((control_nodes, none), (3_887_429_303, 1_069_182_125));
    assert_eq!(
        (change.digest, change.version),
        (3_619_942_985, 1_740_800_000_010_245)
    );
}
