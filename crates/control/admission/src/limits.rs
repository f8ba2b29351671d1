//! Bounds on memory use and on waiting times.
use silvercross_time::Duration;

/// Requests that may be sent to an upstream beyond its slots, to be queued there.
pub const UPSTREAM_QUEUE_SLOTS: u32 = 2;
/// A higher number of reported slots is reduced to this, so that every queue here stays bounded.
pub const MAX_SLOTS: u32 = 4096;
/// The longest time that a request may be pending, whatever it asks for.
pub const MAX_PENDING_TIME: Duration = Duration::from_secs(10);
/// The most attempt ids kept to detect duplicates: remembered ones and those pending or in flight. At this limit, further
/// non-idempotent requests are rejected as `AtCapacity`.
pub const MAX_REMEMBERED_IDS: usize = 65_536;
/// How long the id of a non-idempotent request that was begun is remembered after its end.
pub const ID_RETENTION: Duration = Duration::from_secs(60);
/// Ended incarnations that are remembered; the oldest is forgotten first.
pub(crate) const MAX_ENDED_INCARNATIONS: usize = 16;
/// The shortest `retry_after`.
pub(crate) const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// The longest `retry_after`.
pub(crate) const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longer spans and later instants are reduced to this, so that sums of them don't overflow.
pub(crate) const MAX_SPAN: Duration = Duration::from_micros(i64::MAX / 4);
