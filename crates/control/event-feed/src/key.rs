//! Keys of histories, and the hash by which states are compared.

/// The kind of a key: what stands before its first slash.
pub fn key_kind(key: &str) -> &str {
    key.split('/').next().unwrap_or(key)
}

/// A short hash of a text (FNV-1a of 64 bits, folded to 32). It stands in cursors, so it stays as it is.
pub(crate) fn short_hash(bytes: &[u8]) -> u32 {
    let hash = bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3));
    (hash ^ (hash >> 32)) as u32
}
