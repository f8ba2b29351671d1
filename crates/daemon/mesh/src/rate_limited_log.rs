//! Rate limiting of log lines that remote parties can trigger: at most one in [`MIN_INTERVAL`], with the number of occurrences.
use silvercross_time::{Duration, Instant};
use std::cell::Cell;

/// Minimum time between two lines of the same kind.
const MIN_INTERVAL: Duration = Duration::from_secs(10);

/// The rate limit of one kind of line.
#[derive(Default)]
pub(crate) struct RateLimitedLog {
    last_line: Cell<Option<Instant>>,
    since_last_line: Cell<u64>,
}

impl RateLimitedLog {
    /// Records one occurrence; if a line is due, returns the number of occurrences it stands for.
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
