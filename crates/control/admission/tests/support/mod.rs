//! Time and reports as all tests of this package write them.
use silvercross_admission::UpstreamReport;
use silvercross_time::{Duration, Instant};

/// The service of every upstream.
pub const SERVICE: &str = "huvo";

/// So many milliseconds after the beginning of a test.
pub const fn at(millis: i64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

/// A span of so many milliseconds.
pub const fn ms(millis: i64) -> Duration {
    Duration::from_millis(millis)
}

/// A span of so many seconds.
pub const fn secs(seconds: i64) -> Duration {
    Duration::from_secs(seconds)
}

pub fn report(id: &str, slots: u32) -> UpstreamReport {
    UpstreamReport { id: id.into(), service: SERVICE.into(), slots }
}
