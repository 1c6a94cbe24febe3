//! Wire compatibility: the encoded frames of sample messages, kept as files that an earlier build wrote. Builds run
//! beside each other, so a frame has to be read, and written again, exactly as it stands in its file.
//!
//! `SHOREFRONT_WRITE_FIXTURES=1 cargo test -p messages --test golden` writes the files anew. Without the variable a
//! missing file is a failure.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use protocol::compact::CompactConfig;
use protocol::config::{Config, Kind, Limits, Part, Route, Service};
use protocol::keys::{Change, Holder, Owned, Row, Slices};
use protocol::wire::{
    Ask, Balancer, Bank, Control, Hello, LONGEST, News, PROTOCOL, Session, Tell, Word, digest,
    frame, parse,
};
use protocol::zones::{Told, Upstream, ZoneList};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Set to `1`, it has the files written instead of compared.
const WRITE: &str = "SHOREFRONT_WRITE_FIXTURES";

fn fixture_path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(format!("{name}.frame"))
}

/// Compares a message with the frame in its file: decoded, and encoded again.
fn assert_golden<T>(name: &str, sample: &T)
where
    T: Debug + PartialEq + Serialize + DeserializeOwned,
{
    let path = fixture_path(name);
    let encoded = frame(sample).expect("a frame");
    if std::env::var(WRITE).is_ok_and(|value| value == "1") {
        std::fs::write(&path, &encoded).expect("written");
    }
    let golden = std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    let (length, body) = golden.split_at(4);
    assert_eq!(length, (body.len() as u32).to_be_bytes(), "{name}: length of the body");
    let decoded: T = parse(body).unwrap_or_else(|e| panic!("{name}: {e}"));
    assert_eq!(&decoded, sample, "{name}: decoded");
    assert_eq!(frame(&decoded).expect("a frame"), golden, "{name}: encoded again");
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
        http: address("10.1.2.3:8080"),
    }
}

fn sample_balancer_with_ipv6() -> Balancer {
    Balancer { http: address("[2001:db8::7]:8080"), ..sample_balancer() }
}

fn sample_control() -> Control {
    Control {
        inner: address("10.1.2.4:7000"),
        zone: "zone-a".into(),
        region: "region-1".into(),
        disk: true,
    }
}

fn sample_control_without_disk() -> Control {
    Control { inner: address("[2001:db8::8]:7001"), disk: false, ..sample_control() }
}

fn sample_bank() -> Bank {
    Bank { balancers: 12, position: 300 }
}

fn sample_session() -> Session {
    Session { balancer: sample_balancer(), ready: true, leaving: false }
}

fn sample_leaving_session() -> Session {
    Session { balancer: sample_balancer_with_ipv6(), ready: false, leaving: true }
}

fn sample_counts() -> BTreeMap<String, Vec<(u16, u16)>> {
    BTreeMap::from([("one".into(), vec![(0, 1), (4095, u16::MAX)]), ("two".into(), Vec::new())])
}

fn sample_ask() -> Ask {
    Ask {
        config: 7,
        evacuated: 300,
        keys: 70_000,
        zones: BTreeMap::from([("zone-a".into(), 5_000_000_000), ("zone-b".into(), 0)]),
        bank: Some(sample_bank()),
        controls: u32::MAX,
        ready: true,
        leaving: true,
        second: true,
    }
}

fn sample_config() -> Config {
    let shared = Route {
        name: "shared".into(),
        host: "b.example".into(),
        path_prefix: "/".into(),
        kind: Kind::Mutating,
        deadline_ms: u64::MAX,
        target_ms: 250,
        prio: 3,
        svc: None,
        split: Some(vec![
            Part { svc: "one".into(), weight: 3 },
            Part { svc: "two".into(), weight: 0 },
        ]),
        tries: 1,
        home_regions: vec!["region-1".into(), "region-2".into()],
    };
    let single = Route {
        name: "single".into(),
        host: "a.example".into(),
        path_prefix: "/p/".into(),
        kind: Kind::Idempotent,
        svc: Some("two".into()),
        split: None,
        tries: 3,
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
    let two = Service { name: "two".into(), ..Service::default() };
    let limits = Limits {
        max_header_bytes: 8192,
        max_body_bytes: 1 << 20,
        header_timeout_ms: 700,
        idle_timeout_ms: 15_001,
    };
    Config { rev: 41, routes: vec![shared, single], services: vec![one, two], limits }
}

fn sample_compact_config() -> CompactConfig {
    CompactConfig::of(&sample_config())
}

fn sample_upstream(number: u8) -> Upstream {
    Upstream {
        id: format!("i-{number}"),
        svc: "one".into(),
        addr: SocketAddr::from(([10, 0, 0, number], 80)),
        slots: 4,
        draining: false,
        warm_left_ms: 0,
    }
}

/// A zone's list in which, after its first version, one upstream drains, one is new and cold, and one is gone; and
/// that first version.
fn sample_zone() -> (ZoneList, u64) {
    let (unix_ms, teller) = (1_700_000_000_000, 5);
    let mut zone = ZoneList::default();
    assert!(zone.listed((1..=4).map(sample_upstream).collect(), 0, unix_ms, teller));
    let first = zone.version();
    let draining = Upstream { draining: true, ..sample_upstream(2) };
    let cold = Upstream {
        addr: address("[2001:db8::9]:8443"),
        svc: "two".into(),
        warm_left_ms: 3000,
        ..sample_upstream(9)
    };
    let next = vec![sample_upstream(1), draining, sample_upstream(4), cold];
    assert!(zone.listed(next, 10, unix_ms + 10, teller));
    (zone, first)
}

fn sample_told_whole() -> Told {
    sample_zone().0.whole(10).expect("a list")
}

fn sample_told_change() -> Told {
    let (zone, first) = sample_zone();
    zone.since(first, 10).expect("news")
}

fn sample_rows() -> Vec<Row> {
    vec![Row(0, 4095, Some("i-1".into())), Row(4096, u16::MAX, None)]
}

fn sample_news() -> News {
    News {
        out_of_contact: true,
        config: Some((8, Arc::new(sample_compact_config()))),
        evacuated: Some((9, vec!["zone-b".into(), "zone-c".into()])),
        keys: Some((10, BTreeMap::from([("one".into(), sample_rows())]))),
        zones: BTreeMap::from([
            ("zone-a".into(), sample_told_whole()),
            ("zone-b".into(), sample_told_change()),
        ]),
        bank: Some(sample_bank()),
        controls: Some(vec![sample_control(), sample_control_without_disk()]),
    }
}

fn sample_holder() -> Holder {
    Holder { id: "i-1".into(), addr: address("10.0.0.1:80") }
}

fn sample_owned() -> [Owned; 4] {
    [
        Owned::Free,
        Owned::By(sample_holder(), None),
        Owned::By(sample_holder(), Some("handover".into())),
        Owned::Leaving(sample_holder()),
    ]
}

fn sample_change(owned: Owned) -> Change {
    Change { since: 16, to: 4095, was: 300, owned }
}

/// Slices of which one was cut, and each kind of owner is among them.
fn sample_slices() -> Slices {
    let mut slices = Slices::default();
    for (number, owned) in (0u16..).zip(sample_owned()) {
        let since = number * 4096;
        let change = Change { since, to: since + 4095, was: 0, owned };
        assert!(slices.apply(u64::from(number) + 1, &change));
    }
    let part = Change { since: 4100, to: 4199, was: 1, owned: Owned::Free };
    assert!(slices.apply(70_000, &part));
    slices
}

fn sample_tells() -> Vec<Tell> {
    let sessions = vec![sample_session(), sample_leaving_session()];
    let controls = vec![sample_control(), sample_control_without_disk()];
    vec![
        Tell::Join { id: u64::MAX, inner: address("10.1.2.4:7000") },
        Tell::Sessions { sessions: sessions.clone(), controls: controls.clone() },
        Tell::Moved { sessions, gone: vec!["edge-9".into()], controls: Some(controls) },
        Tell::Work(sample_counts()),
        Tell::Alive { leader: Some(address("10.1.2.4:7000")) },
        Tell::Confirm { token: 77 },
        Tell::Confirmed { token: 77 },
        Tell::Zone { zone: "zone-a".into(), told: sample_told_change() },
        Tell::Want { zone: "zone-a".into() },
    ]
}

// The names of the fixtures. A new variant does not compile without one; its sample goes to those above.

fn hello_fixture(hello: &Hello) -> &'static str {
    match hello {
        Hello::DataPlane { .. } => "hello-data-plane",
        Hello::Control { .. } => "hello-control",
    }
}

fn word_fixture(word: &Word) -> &'static str {
    match word {
        Word::Ask(_) => "word-ask",
        Word::Same => "word-same",
        Word::Work(_) => "word-work",
    }
}

fn told_fixture(told: &Told) -> &'static str {
    match told {
        Told::Whole(..) => "told-whole",
        Told::Change(_) => "told-change",
    }
}

fn owned_fixture(owned: &Owned) -> &'static str {
    match owned {
        Owned::Free => "key-change-free",
        Owned::By(_, None) => "key-change-by",
        Owned::By(_, Some(_)) => "key-change-by-with-handover",
        Owned::Leaving(_) => "key-change-leaving",
    }
}

/// `None` for messages of the log: `agreement` defines them.
fn tell_fixture(tell: &Tell) -> Option<&'static str> {
    match tell {
        Tell::Log(_) => None,
        Tell::Join { .. } => Some("tell-join"),
        Tell::Sessions { .. } => Some("tell-sessions"),
        Tell::Moved { .. } => Some("tell-moved"),
        Tell::Work(_) => Some("tell-work"),
        Tell::Alive { .. } => Some("tell-alive"),
        Tell::Confirm { .. } => Some("tell-confirm"),
        Tell::Confirmed { .. } => Some("tell-confirmed"),
        Tell::Zone { .. } => Some("tell-zone"),
        Tell::Want { .. } => Some("tell-want"),
    }
}

#[test]
fn protocol_number_and_longest_frame_are_fixed() {
    assert_eq!(PROTOCOL, 5);
    assert_eq!(LONGEST, 16 * 1024 * 1024);
    // CBOR takes five bytes for the kind and length of so long a string.
    let longest = "x".repeat(LONGEST - 5);
    assert_eq!(frame(&longest).expect("a frame").len(), LONGEST + 4);
    assert!(frame(&(longest + "x")).is_err());
}

#[test]
fn hello_frames_are_unchanged() {
    let balancer = sample_balancer();
    let data_plane = Hello::DataPlane { protocol: 5, balancer };
    let control = Hello::Control { protocol: 5, id: u64::MAX, at: sample_control() };
    for hello in [data_plane, control] {
        assert_golden(hello_fixture(&hello), &hello);
    }
}

#[test]
fn word_frames_are_unchanged() {
    for word in [Word::Ask(sample_ask()), Word::Same, Word::Work(sample_counts())] {
        assert_golden(word_fixture(&word), &word);
    }
    assert_golden("word-ask-default", &Word::Ask(Ask::default()));
    assert_golden("word-work-empty", &Word::Work(BTreeMap::new()));
    assert_golden("ask", &sample_ask());
    assert_golden("ask-default", &Ask::default());
}

#[test]
fn news_frames_are_unchanged() {
    assert_golden("news", &sample_news());
    assert_golden("news-empty", &News::default());
}

#[test]
fn told_frames_are_unchanged() {
    for told in [sample_told_whole(), sample_told_change()] {
        assert_golden(told_fixture(&told), &told);
    }
    assert_golden("told-whole-empty", &Told::Whole(1024, Vec::new()));
}

#[test]
fn tell_frames_are_unchanged() {
    let mut compared = BTreeSet::new();
    for tell in sample_tells() {
        let name = tell_fixture(&tell).expect("no message of the log");
        assert!(compared.insert(name), "{name} has two samples");
        assert_golden(name, &tell);
    }
    assert_eq!(compared.len(), 9, "one sample for each variant but `Log`");
    assert_golden("tell-alive-without-leader", &Tell::Alive { leader: None });
    let moved = Tell::Moved { sessions: Vec::new(), gone: Vec::new(), controls: None };
    assert_golden("tell-moved-empty", &moved);
}

#[test]
fn frames_of_parts_of_messages_are_unchanged() {
    assert_golden("session", &sample_session());
    assert_golden("session-leaving", &sample_leaving_session());
    assert_golden("balancer", &sample_balancer());
    assert_golden("balancer-ipv6", &sample_balancer_with_ipv6());
    assert_golden("control", &sample_control());
    assert_golden("control-without-disk", &sample_control_without_disk());
    assert_golden("bank", &sample_bank());
}

#[test]
fn compact_config_frame_is_unchanged() {
    assert_golden("compact-config", &sample_compact_config());
    assert_golden("compact-config-default", &CompactConfig::default());
    assert_eq!(sample_compact_config().config(), sample_config());
}

#[test]
fn key_change_and_slices_frames_are_unchanged() {
    for owned in sample_owned() {
        assert_golden(owned_fixture(&owned), &sample_change(owned));
    }
    assert_golden("key-slices", &sample_slices());
    assert_golden("key-slices-empty", &Slices::default());
    assert_golden("key-rows", &sample_slices().since(1));
}

#[test]
fn fields_left_out_take_their_defaults() {
    let empty_map = [0xa0];
    assert_eq!(parse::<Ask>(&empty_map).expect("an ask"), Ask::default());
    assert_eq!(parse::<News>(&empty_map).expect("news"), News::default());
}

#[test]
fn digests_are_unchanged() {
    let controls = digest(&vec![sample_control(), sample_control_without_disk()]);
    let none = digest(&Vec::<Control>::new());
    let Told::Change(change) = sample_told_change() else { panic!("not a difference") };
    assert_eq!((controls, none), (3_887_429_303, 1_069_182_125));
    assert_eq!((change.digest, change.version), (3_619_942_985, 1_740_800_000_010_245));
}
