//! Time for code without I/O: an [`Instant`] on the caller's monotonic clock and a signed [`Duration`], both in whole
//! microseconds.
//!
//! No clock is read here: the caller passes the current instant to every call, so that a test can simulate hours. Both
//! types are encoded exactly as the integer that they hold, so they can be used in stored data and in messages between
//! nodes.
#![forbid(unsafe_code)]
#![deny(missing_docs, unreachable_pub)]
#![deny(clippy::too_many_lines, clippy::too_many_arguments)]

mod duration;
mod instant;

pub use duration::Duration;
pub use instant::Instant;

const MICROS_PER_MILLI: i64 = 1_000;
const MICROS_PER_SECOND: i64 = 1_000_000;
