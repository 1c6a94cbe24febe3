use super::*;

fn load(key: u16, units: u16) -> BucketLoad {
    BucketLoad {
        bucket: key / KEYS_PER_BUCKET,
        units,
    }
}

#[test]
fn busy_keys_have_more_load_and_old_load_decays() {
    let mut key_load = KeyLoad::default();
    let all = key_load.range_load(0, u16::MAX);
    assert!(
        (key_load.range_load(0, 32767) / all - 0.5).abs() < 1e-9,
        "without reports all keys have equal load"
    );
    key_load.record(&[load(100, 50), load(40_000, 50)]);
    key_load.refresh(1000);
    let all = key_load.range_load(0, u16::MAX);
    let busy = key_load.range_load(96, 111) / all;
    assert!((0.4..0.5).contains(&busy), "{busy}");
    let split = key_load
        .split_point(0, u16::MAX, all / 2.0)
        .expect("a split");
    assert!((200..40_000).contains(&split), "{split}");
    assert_eq!(
        key_load.split_point(7, 7, 0.0),
        None,
        "one key can't be split"
    );
    key_load.refresh(100_000);
    key_load.record(&[load(5000, 10)]);
    key_load.refresh(100_100);
    assert!(key_load.range_load(96, 111) / key_load.range_load(0, u16::MAX) < 0.01);
}
