//! Names that no other run has, and short hashes.

/// A short hash of bytes (FNV-1a), for stamps that are checked at the other end.
pub fn hash(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

/// A number that no other run has, for names and addresses.
pub fn unique_number() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::hash::RandomState::new().build_hasher().finish()
}

/// A name for an attempt.
pub fn attempt_id() -> String {
    format!("{:016x}", unique_number())
}
