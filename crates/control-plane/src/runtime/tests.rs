//! A machine's identity on its disk.

use std::path::Path;

use protocol::settings::Settings;
use raft::PersistentState;

use super::open_store;

#[tokio::test]
async fn a_damaged_file_makes_a_new_member() {
    let folder = crate::store::tests::folder("again");
    let text = r#"{"node": "n", "ip": "127.0.0.1", "zone": "a", "region": "r",
        "zone_map": {"a": "r"}, "listen": {"ctl": "127.0.0.1:9"}, "port_range": [7000, 7010],
        "seeds": ["127.0.0.1:9"], "bootstrap": true}"#;
    let settings = Settings::parse(Path::new("boot.json"), text.as_bytes()).expect("good");
    let voters = |s: &PersistentState| s.snapshot.as_ref().map_or(0, |s| s.members.voters.len());
    let first = open_store(&settings, &folder).await.expect("a new one");
    let founder = first.id;
    assert_eq!(voters(&first.stored), 1);
    drop(first);
    let again = open_store(&settings, &folder)
        .await
        .expect("the same again");
    assert_eq!(again.id, founder);
    drop(again);
    let file = folder.join("control.redb");
    let mut bytes = std::fs::read(&file).expect("readable");
    bytes[..16].fill(7);
    std::fs::write(&file, bytes).expect("written");
    let other = open_store(&settings, &folder).await.expect("a new one");
    assert_ne!(other.id, founder, "under its old name it might vote twice");
    assert_eq!(voters(&other.stored), 0, "and it founds nothing");
    let _ = std::fs::remove_dir_all(&folder);
}
