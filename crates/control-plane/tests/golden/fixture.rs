//! Fixture files: bytes that an earlier build wrote, which this build reads and writes alike. A run with
//! `SHOREFRONT_WRITE_FIXTURES=1` writes the files that are missing, for new variants; it never overwrites one.
#![allow(dead_code, reason = "no test program uses all of it")]

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

/// The bytes of a fixture; in a write run, `sample` becomes the fixture where there is none yet.
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

/// The sample is encoded as the fixture, which is decoded as the sample and encoded again to the same bytes.
pub(crate) fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, sample: &T) {
    let sample_bytes = encode(sample);
    let fixture = bytes(name, &sample_bytes);
    assert_eq!(sample_bytes, fixture, "{name}: encoded");
    let decoded: T = ciborium::from_reader(&fixture[..]).expect(name);
    assert_eq!(decoded, *sample, "{name}: decoded");
    assert_eq!(encode(&decoded), fixture, "{name}: encoded again");
}
