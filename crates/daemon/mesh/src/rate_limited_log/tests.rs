//! In the package, because a binary has no library to import.
use super::{RateLimitedLog, MIN_INTERVAL};
use silvercross_time::{Duration, Instant};

#[test]
fn a_flood_is_a_line_now_and_then_that_counts_it() {
    let log = RateLimitedLog::default();
    let end = (MIN_INTERVAL * 2).as_micros();
    let seconds = (0..=end).step_by(Duration::from_secs(1).as_micros() as usize);
    let lines: Vec<u64> = seconds.filter_map(|at| log.due(Instant::from_micros(at))).collect();
    assert_eq!(lines, [1, 10, 10]);
}
