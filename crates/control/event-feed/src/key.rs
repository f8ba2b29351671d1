//! Keys, and the hash by which states are compared.

/// The kind of a key: the part before its first slash.
pub fn key_kind(key: &str) -> &str {
    key.split('/').next().unwrap_or(key)
}

/// A short hash (64-bit FNV-1a, folded to 32 bits). It is part of the cursor format and must not change.
pub(crate) fn short_hash(bytes: &[u8]) -> u32 {
    let hash = bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3));
    (hash ^ (hash >> 32)) as u32
}
