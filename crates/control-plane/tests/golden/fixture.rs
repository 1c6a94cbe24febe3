//! Fixture files with bytes that an earlier build wrote, which this build must decode and encode identically. A run
//! with `SHOREFRONT_WRITE_FIXTURES=1` writes missing files, for new variants, and never overwrites one.
#![allow(dead_code, reason = "no test program uses all helpers")]

use std::fmt::Debug;
use std::path::PathBuf;

use serde::Serialize;
use serde::de::DeserializeOwned;

pub(crate) fn path(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

fn is_write_run() -> bool {
    std::env::var("SHOREFRONT_WRITE_FIXTURES").is_ok_and(|value| value == "1")
}

/// Returns the bytes of a fixture. In a write run, a missing fixture is first created from `sample`.
pub(crate) fn bytes(name: &str, sample: &[u8]) -> Vec<u8> {
    let path = path(name);
    if is_write_run() && !path.exists() {
        std::fs::write(&path, sample).unwrap_or_else(|e| panic!("{name}: {e}"));
    }
    std::fs::read(&path).unwrap_or_else(|e| panic!("fixture {name}: {e}"))
}

pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("encoded");
    bytes
}

/// Checks that the sample encodes to the fixture, and that the fixture decodes to the sample and encodes to the same
/// bytes again.
pub(crate) fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, sample: &T) {
    let sample_bytes = encode(sample);
    let fixture = bytes(name, &sample_bytes);
    assert_eq!(sample_bytes, fixture, "{name}: encoded");
    let decoded: T = ciborium::from_reader(&fixture[..]).expect(name);
    assert_eq!(decoded, *sample, "{name}: decoded");
    assert_eq!(encode(&decoded), fixture, "{name}: encoded again");
}
