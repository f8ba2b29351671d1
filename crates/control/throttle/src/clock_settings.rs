//! Settings of [`TrustedClock`](crate::TrustedClock).

use silvercross_time::{Duration, Instant};

const MILLION: i128 = 1_000_000;

/// Limits within which a clock is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockSettings {
    /// Largest difference between the progress of the wall clock and of the monotonic clock between two readings,
    /// apart from drift. A larger one counts as a clock step.
    pub max_step: Duration,
    /// Drift allowed in addition to `max_step`, in parts per million of the time between the readings.
    pub max_drift_ppm: i64,
    /// Time without a step, and without a longer gap between readings, after which a clock is steady.
    pub steady_after: Duration,
    /// Time for which a reading, a node's own or a peer's, counts.
    pub reading_lifetime: Duration,
    /// Longest round trip; answers that took longer are ignored.
    pub max_round_trip: Duration,
    /// Largest distance between two clocks that agree.
    pub agreement_tolerance: Duration,
}

impl Default for ClockSettings {
    fn default() -> Self {
        ClockSettings {
            max_step: Duration::from_secs(1),
            max_drift_ppm: 1_000,
            steady_after: Duration::from_secs(600),
            reading_lifetime: Duration::from_secs(30),
            max_round_trip: Duration::from_secs(1),
            agreement_tolerance: Duration::from_secs(2),
        }
    }
}

impl ClockSettings {
    /// Largest move of a wall clock against the monotonic clock within `span` that is not a step.
    pub(crate) fn allowed_move(&self, span: Duration) -> Duration {
        let micros = i128::from(span.as_micros().max(0));
        let drift = micros * i128::from(self.max_drift_ppm) / MILLION;
        self.max_step.saturating_add(Duration::from_micros(drift as i64))
    }

    /// Whether the last step, if any, is too recent for the clock to be steady.
    pub(crate) fn is_recent(&self, now: Instant, step: Option<Instant>) -> bool {
        step.is_some_and(|at| now.saturating_since(at) < self.steady_after)
    }

    /// Whether a reading taken at `read_at` still counts.
    pub(crate) fn is_fresh(&self, now: Instant, read_at: Instant) -> bool {
        now.saturating_since(read_at) <= self.reading_lifetime
    }
}
