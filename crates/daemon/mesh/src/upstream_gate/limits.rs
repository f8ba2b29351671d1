//! Limits and timeouts of the gate.
use silvercross_time::Duration;
use std::time::Duration as StdDuration;

/// The earliest time after which an origin retries when the memory budget for bodies is exhausted. Also sent with a
/// connection that is rejected.
pub(crate) const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(100);
/// How many bodies that await `100 Continue` are received concurrently. More would delay the small requests behind
/// them.
pub(super) const MAX_CONCURRENT_UPLOADS: usize = 2;
/// The share of its latency target, as a divisor, that a request may be pending before it is sent elsewhere.
pub(super) const PENDING_TIME_DIVISOR: i64 = 4;
/// A connection on which no request arrives is closed after this.
pub(super) const IDLE_TIMEOUT: StdDuration = StdDuration::from_secs(30);
/// Timeout for receiving the rest of a head, and a buffered body. Origins send these only once they have them whole.
pub(super) const RECEIVE_TIMEOUT: StdDuration = StdDuration::from_secs(5);
/// How long input after the last response is read and discarded.
pub(super) const DISCARD_TIMEOUT: StdDuration = StdDuration::from_millis(500);
/// The share of the file descriptors, as a divisor, that connections of other sidecars may use.
pub(crate) const SIDECAR_CONNECTION_DIVISOR: u64 = 4;
/// How many connections over that limit are answered with a rejection concurrently. Others are closed immediately.
pub(super) const MAX_CONCURRENT_REJECTIONS: u64 = 32;
/// Delay after a failed accept, usually caused by a lack of file descriptors.
pub(super) const ACCEPT_RETRY_DELAY: StdDuration = StdDuration::from_millis(20);
