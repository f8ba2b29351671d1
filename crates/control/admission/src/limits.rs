//! Bounds on what is kept here and on how long a request waits.
use silvercross_time::Duration;

/// How many requests an upstream may hold beyond its slots.
pub const UPSTREAM_QUEUE_SLOTS: u32 = 2;
/// Slots beyond this count as this many, so that every queue here stays bounded.
pub const MAX_SLOTS: u32 = 4096;
/// The longest that a request is pending here, whatever it asks for.
pub const MAX_PENDING_TIME: Duration = Duration::from_secs(10);
/// The most ids of non-idempotent requests that were begun here, kept to know them again. While as many are younger than
/// [`ID_RETENTION`], further non-idempotent requests are rejected as `AtCapacity`.
pub const MAX_REMEMBERED_IDS: usize = 65_536;
/// How long the id of such a request is kept after its end.
pub const ID_RETENTION: Duration = Duration::from_secs(60);
/// How many ended incarnations are known again; the oldest is forgotten first.
pub(crate) const MAX_ENDED_INCARNATIONS: usize = 16;
/// The shortest time that a rejected request is asked to stay away.
pub(crate) const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// The longest time that a rejected request is asked to stay away.
pub(crate) const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Spans and moments beyond this count as this, so that sums of them don't overflow.
pub(crate) const MAX_SPAN: Duration = Duration::from_micros(i64::MAX / 4);
