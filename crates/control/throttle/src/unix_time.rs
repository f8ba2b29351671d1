//! Times of day.

use bitcode::{Decode, Encode};
use silvercross_time::{Duration, Instant};

/// A time of day: microseconds since 1970, by whichever machine's clock. Encoded as the integer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct UnixTime(i64);

impl UnixTime {
    /// Later than every other time, for "never".
    pub const MAX: UnixTime = UnixTime(i64::MAX);

    /// The time so many microseconds after the beginning of 1970.
    pub const fn from_micros(micros: i64) -> UnixTime {
        UnixTime(micros)
    }

    /// Microseconds since the beginning of 1970.
    pub const fn as_micros(self) -> i64 {
        self.0
    }

    /// The later time, held at the bounds of the type.
    pub const fn saturating_add(self, span: Duration) -> UnixTime {
        UnixTime(self.0.saturating_add(span.as_micros()))
    }

    /// The time since an earlier one, held at the bounds of the type; negative if that one is later.
    pub const fn saturating_since(self, earlier: UnixTime) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// How far this time is ahead of a monotonic clock at the moment that clock shows `at`.
    pub(crate) const fn offset_from(self, at: Instant) -> Duration {
        Duration::from_micros(self.0.saturating_sub(at.as_micros()))
    }

    /// The time at a moment of a monotonic clock that this offset is from.
    pub(crate) const fn at_offset(at: Instant, offset: Duration) -> UnixTime {
        UnixTime(offset.as_micros().saturating_add(at.as_micros()))
    }
}
