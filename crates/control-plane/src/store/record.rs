//! The encoding of a record: the value as CBOR, preceded by its CRC-32 in four bytes (little-endian).

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::error::Corruption;

/// The size of the checksum.
const CHECKSUM_BYTES: usize = 4;

/// Encodes a value as a record.
pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut record = vec![0; CHECKSUM_BYTES];
    // Writing to memory does not fail.
    let _ = ciborium::into_writer(value, &mut record);
    let checksum = crc32fast::hash(&record[CHECKSUM_BYTES..]);
    record[..CHECKSUM_BYTES].copy_from_slice(&checksum.to_le_bytes());
    record
}

/// Verifies a record's checksum and decodes its value.
pub(super) fn decode<T: DeserializeOwned>(record: &[u8]) -> Result<T, Corruption> {
    let (checksum, value) = record
        .split_at_checked(CHECKSUM_BYTES)
        .ok_or(Corruption::Truncated)?;
    if checksum != crc32fast::hash(value).to_le_bytes() {
        return Err(Corruption::RecordChecksum);
    }
    Ok(ciborium::from_reader(value)?)
}
