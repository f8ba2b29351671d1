//! Times, spans and reports for the tests of this package.
use silvercross_admission::UpstreamReport;
use silvercross_time::{Duration, Instant};

/// The service of the upstream in all tests.
pub const SERVICE: &str = "huvo";

/// The instant `millis` after the start of a test.
pub const fn at(millis: i64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

pub const fn ms(millis: i64) -> Duration {
    Duration::from_millis(millis)
}

pub const fn secs(seconds: i64) -> Duration {
    Duration::from_secs(seconds)
}

pub fn report(id: &str, slots: u32) -> UpstreamReport {
    UpstreamReport { id: id.into(), service: SERVICE.into(), slots }
}
