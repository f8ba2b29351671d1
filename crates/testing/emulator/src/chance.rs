//! All chance of a run, from its seed. What belongs to a request or a server is drawn from a digest of its number, not
//! from a stream, so that it is alike whatever happened before: two policies are compared on equal luck.
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// A stream of its own for each purpose.
pub fn stream(seed: u64, purpose: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(mix(seed ^ mix(purpose)))
}

/// A number scattered over all 64 bits (the finisher of SplitMix64).
pub fn mix(n: u64) -> u64 {
    let n = n.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}

/// From 0 to 1 (less than 1), by two numbers.
pub fn unit(a: u64, b: u64) -> f64 {
    (mix(mix(a) ^ b) >> 11) as f64 / (1u64 << 53) as f64
}

/// The places of `n` things in an order drawn by the seed.
pub fn shuffled(seed: u64, purpose: u64, n: usize) -> Vec<usize> {
    let mut order: Vec<usize> = (0..n).collect();
    order.sort_by_key(|i| (mix(mix(seed ^ mix(purpose)) ^ *i as u64), *i));
    order
}
