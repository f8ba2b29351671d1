//! Limits and timeouts of the gate.
use silvercross_time::Duration;
use std::time::Duration as StdDuration;

/// Where the memory for bodies is in use, the origin retries after this at the earliest.
pub(crate) const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Bodies that are held back until they are asked for are received this many at a time: many together would delay all
/// that is small behind them.
pub(super) const MAX_CONCURRENT_UPLOADS: usize = 2;
/// A request may be pending here for this part of its latency target before it is sent elsewhere.
pub(super) const PENDING_TIME_DIVISOR: i64 = 4;
/// A connection on which no request comes is closed after this.
pub(super) const IDLE_TIMEOUT: StdDuration = StdDuration::from_secs(30);
/// The rest of a head, and of a body, is received within this: the origin has them whole.
pub(super) const RECEIVE_TIMEOUT: StdDuration = StdDuration::from_secs(5);
/// Input behind a last response is read away for this long.
pub(super) const DISCARD_TIMEOUT: StdDuration = StdDuration::from_millis(500);
/// Connections of other sidecars may take this part of the file descriptors.
pub(crate) const SIDECAR_CONNECTION_DIVISOR: u64 = 4;
/// This many connections beyond that are told so at a time; others are closed at once.
pub(super) const MAX_CONCURRENT_REJECTIONS: u64 = 32;
/// After a failed accept, mostly for want of descriptors, the next one waits this long.
pub(super) const ACCEPT_RETRY_DELAY: StdDuration = StdDuration::from_millis(20);
