//! Hashes that are the same in every process and build.

/// Returns the 64-bit FNV-1a hash of a text.
pub fn stable_hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Returns the hash of a routing key: the value itself if it is a hexadecimal number, else its FNV-1a hash.
pub fn key_hash(key: &str) -> u64 {
    u64::from_str_radix(key, 16).unwrap_or_else(|_| stable_hash(key))
}
