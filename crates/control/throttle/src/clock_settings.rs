//! When a clock is trusted.

use silvercross_time::{Duration, Instant};

const MILLION: i128 = 1_000_000;

/// Limits of what is trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockSettings {
    /// The time of day moved against the monotonic clock by more than this between two readings: a step.
    pub max_step: Duration,
    /// What it may move besides, in millionths of the time between.
    pub max_drift_ppm: i64,
    /// So long without a step, and read at least as often, a clock is steady.
    pub steady_after: Duration,
    /// What another node said counts for so long.
    pub reading_lifetime: Duration,
    /// An answer whose round trip took longer says nothing.
    pub max_round_trip: Duration,
    /// Two clocks that are no further apart agree.
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
    /// How far a clock may move against a monotonic one in a span without having stepped.
    pub(crate) fn allowed_move(&self, span: Duration) -> Duration {
        let micros = i128::from(span.as_micros().max(0));
        let drift = micros * i128::from(self.max_drift_ppm) / MILLION;
        self.max_step.saturating_add(Duration::from_micros(drift as i64))
    }

    /// Whether a step, if there was any, is too recent for the clock to be steady.
    pub(crate) fn is_recent(&self, now: Instant, step: Option<Instant>) -> bool {
        step.is_some_and(|at| now.saturating_since(at) < self.steady_after)
    }

    /// Whether a reading of this moment still counts.
    pub(crate) fn is_fresh(&self, now: Instant, read_at: Instant) -> bool {
        now.saturating_since(read_at) <= self.reading_lifetime
    }
}
