//! Log lines for what strangers can cause at any rate: at most one in [`APART`], with how many it stands for.
use std::cell::Cell;

/// Time between two lines of a kind, in microseconds.
const APART: i64 = 10_000_000;

/// One kind of line.
#[derive(Default)]
pub struct RateLimitedLog {
    last: Cell<Option<i64>>,
    since: Cell<u64>,
}

impl RateLimitedLog {
    /// It happened once more: for how many a line is due now, if one is.
    pub fn due(&self, now: i64) -> Option<u64> {
        let count = self.since.get() + 1;
        if self.last.get().is_some_and(|last| now - last < APART) {
            self.since.set(count);
            return None;
        }
        self.last.set(Some(now));
        self.since.set(0);
        Some(count)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_is_a_line_now_and_then_that_counts_it() {
        let paced = RateLimitedLog::default();
        let lines: Vec<u64> = (0..=2 * APART).step_by(1_000_000).filter_map(|t| paced.due(t)).collect();
        assert_eq!(lines, [1, 10, 10]);
    }
}
