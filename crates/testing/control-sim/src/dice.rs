//! A small seeded generator: equal seeds give equal schedules.

/// Draws.
pub struct Dice(pub u64);

impl Dice {
    /// The next number.
    pub fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        x ^ (x >> 31)
    }

    /// One below the bound.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.draw() % bound.max(1)
    }

    /// An index below the bound.
    pub fn index(&mut self, bound: usize) -> usize {
        self.below(bound as u64) as usize
    }

    /// Between both, the second not included.
    pub fn between(&mut self, low: i64, high: i64) -> i64 {
        low + self.below((high - low).max(1) as u64) as i64
    }

    /// True once in so many times.
    pub fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }
}
