//! Log lines for what anybody can cause at any rate: at most one in [`MIN_INTERVAL`], with how many it stands for.
use silvercross_time::{Duration, Instant};
use std::cell::Cell;

/// Time between two lines of a kind.
const MIN_INTERVAL: Duration = Duration::from_secs(10);

/// One kind of line.
#[derive(Default)]
pub(crate) struct RateLimitedLog {
    last_line: Cell<Option<Instant>>,
    since_last_line: Cell<u64>,
}

impl RateLimitedLog {
    /// It happened once more: for how many a line is due now, if one is.
    pub(crate) fn due(&self, now: Instant) -> Option<u64> {
        let count = self.since_last_line.get() + 1;
        if self.last_line.get().is_some_and(|last| now - last < MIN_INTERVAL) {
            self.since_last_line.set(count);
            return None;
        }
        self.last_line.set(Some(now));
        self.since_last_line.set(0);
        Some(count)
    }
}

#[cfg(test)]
mod tests;
