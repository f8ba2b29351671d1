//! The unit of time in this package. The current time is always passed in by the caller.

/// Microseconds, as a point on a monotonic clock or as a duration.
pub type Micros = i64;
