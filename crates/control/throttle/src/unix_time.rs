//! Wall clock time.

use bitcode::{Decode, Encode};
use silvercross_time::{Duration, Instant};

/// A wall clock time in microseconds since the Unix epoch. Encoded as the integer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct UnixTime(i64);

impl UnixTime {
    /// The latest time, which stands for "never".
    pub const MAX: UnixTime = UnixTime(i64::MAX);

    /// Creates a time from microseconds since the Unix epoch.
    pub const fn from_micros(micros: i64) -> UnixTime {
        UnixTime(micros)
    }

    /// Microseconds since the Unix epoch.
    pub const fn as_micros(self) -> i64 {
        self.0
    }

    /// The time `span` later, clamped to the range of the type.
    pub const fn saturating_add(self, span: Duration) -> UnixTime {
        UnixTime(self.0.saturating_add(span.as_micros()))
    }

    /// The time since `earlier`, clamped to the range of the type; negative if `earlier` is later.
    pub const fn saturating_since(self, earlier: UnixTime) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The offset of this time from a monotonic clock that reads `at`.
    pub(crate) const fn offset_from(self, at: Instant) -> Duration {
        Duration::from_micros(self.0.saturating_sub(at.as_micros()))
    }

    /// The time at `offset` from a monotonic clock that reads `at`.
    pub(crate) const fn at_offset(at: Instant, offset: Duration) -> UnixTime {
        UnixTime(offset.as_micros().saturating_add(at.as_micros()))
    }
}
