//! A point in time on a monotonic clock.
use crate::Duration;
use bitcode::{Decode, Encode};
use std::fmt;
use std::ops::{Add, AddAssign, Sub, SubAssign};

/// A point in time on the caller's monotonic clock, in whole microseconds since the origin of that clock. Instants of
/// different processes can't be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Instant(i64);

impl Instant {
    /// The origin of the clock.
    pub const ZERO: Instant = Instant(0);
    /// The latest instant; used for "never".
    pub const MAX: Instant = Instant(i64::MAX);
    /// The earliest instant; used for "long ago".
    pub const MIN: Instant = Instant(i64::MIN);

    /// The instant this many microseconds after the origin of the clock.
    pub const fn from_micros(micros: i64) -> Instant {
        Instant(micros)
    }

    /// Microseconds since the origin of the clock.
    pub const fn as_micros(self) -> i64 {
        self.0
    }

    /// The instant `span` later, saturating at the bounds of the type.
    pub const fn saturating_add(self, span: Duration) -> Instant {
        Instant(self.0.saturating_add(span.as_micros()))
    }

    /// The time since another instant, saturating at the bounds of the type; negative if that one is later.
    pub const fn saturating_since(self, earlier: Instant) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for Instant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} µs", self.0)
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;
    fn add(self, span: Duration) -> Instant {
        Instant(self.0 + span.as_micros())
    }
}

impl AddAssign<Duration> for Instant {
    fn add_assign(&mut self, span: Duration) {
        self.0 += span.as_micros();
    }
}

impl Sub<Duration> for Instant {
    type Output = Instant;
    fn sub(self, span: Duration) -> Instant {
        Instant(self.0 - span.as_micros())
    }
}

impl SubAssign<Duration> for Instant {
    fn sub_assign(&mut self, span: Duration) {
        self.0 -= span.as_micros();
    }
}

impl Sub for Instant {
    type Output = Duration;
    fn sub(self, earlier: Instant) -> Duration {
        Duration::from_micros(self.0 - earlier.0)
    }
}
