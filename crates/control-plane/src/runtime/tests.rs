//! Tests of the identity that a machine keeps on its disk.

use std::path::Path;

use protocol::settings::Settings;
use raft::PersistentState;

use super::open_store;

#[tokio::test]
async fn machine_with_a_damaged_file_becomes_a_new_member() {
    let dir = crate::store::tests::empty_dir("again");
    let text = r#"{"node": "n", "ip": "127.0.0.1", "zone": "a", "region": "r",
        "zone_map": {"a": "r"}, "listen": {"ctl": "127.0.0.1:9"}, "port_range": [7000, 7010],
        "seeds": ["127.0.0.1:9"], "bootstrap": true}"#;
    let settings = Settings::parse(Path::new("boot.json"), text.as_bytes()).expect("good");
    let voters = |s: &PersistentState| s.snapshot.as_ref().map_or(0, |s| s.members.voters.len());
    let first = open_store(&settings, &dir).await.expect("a new store");
    let founder = first.id;
    assert_eq!(voters(&first.stored), 1);
    drop(first);
    let again = open_store(&settings, &dir).await.expect("the same store");
    assert_eq!(again.id, founder);
    drop(again);
    let file = dir.join("control.redb");
    let mut bytes = std::fs::read(&file).expect("readable");
    bytes[..16].fill(7);
    std::fs::write(&file, bytes).expect("written");
    let other = open_store(&settings, &dir).await.expect("a new store");
    assert_ne!(
        other.id, founder,
        "with its old id it might vote twice in a term"
    );
    assert_eq!(voters(&other.stored), 0, "a new member is not a founder");
    let _ = std::fs::remove_dir_all(&dir);
}
