//! The mixing function behind digests, ring positions and random values. Part of the protocol: all nodes
//! must compute the same values.

/// Spreads the bits of a number: the output function of SplitMix64 (Steele, Lea and Flood, 2014).
pub(crate) fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// [`mix`] over a byte string, including its length.
pub(crate) fn mix_bytes(bytes: &[u8]) -> u64 {
    bytes.iter().fold(mix(bytes.len() as u64), |sum, byte| mix(sum ^ u64::from(*byte)))
}
