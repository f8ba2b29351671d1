//! The seeded generator that tests and simulations draw from.
//!
//! Equal seeds give equal draws, now and in every later version: the seeds of past failures are kept in tests and incident
//! reports and have to replay the same schedule. `tests/sequence.rs` pins the first draws of some seeds.
//!
//! The generator is SplitMix64 (Steele, Lea and Flood, "Fast splittable pseudorandom number generators", OOPSLA 2014). It is
//! for tests only: it is neither unpredictable nor free of modulo bias. It must know nothing of what is drawn.
#![forbid(unsafe_code)]
#![deny(missing_docs, unreachable_pub)]
#![deny(clippy::too_many_lines, clippy::too_many_arguments)]

use silvercross_time::Duration;

/// A generator in the state that its seed and the draws so far have left.
#[derive(Clone, Debug)]
pub struct Rng {
    state: u64,
}

impl Rng {
    /// The generator of a seed.
    pub const fn new(seed: u64) -> Rng {
        Rng { state: seed }
    }

    /// The next number, of all 64 bits.
    pub fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number below the bound; a bound of 0 counts as 1. Takes one draw.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next_u64() % bound.max(1)
    }

    /// An index below the length; a length of 0 counts as 1. Takes one draw.
    pub fn index(&mut self, length: usize) -> usize {
        self.below(length as u64) as usize
    }

    /// A duration from the first up to, not including, the second, in whole microseconds; the first if there is none between.
    /// Takes one draw.
    pub fn duration(&mut self, low: Duration, high: Duration) -> Duration {
        let width_micros = (high - low).as_micros().max(1) as u64;
        low + Duration::from_micros(self.below(width_micros) as i64)
    }

    /// A duration below so many whole microseconds; none for 0. Takes one draw.
    pub fn micros_below(&mut self, bound: u64) -> Duration {
        Duration::from_micros(self.below(bound) as i64)
    }

    /// True once in so many times on average; always for 0 and 1. Takes one draw.
    pub fn one_in(&mut self, times: u64) -> bool {
        self.below(times) == 0
    }
}
