//! A signed span of time.
use crate::{MICROS_PER_MILLI, MICROS_PER_SECOND};
use bitcode::{Decode, Encode};
use std::fmt;
use std::iter::Sum;
use std::ops::{Add, AddAssign, Div, Mul, Neg, Rem, Sub, SubAssign};

/// A span of time in whole microseconds. Signed: the difference of two instants may be negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Duration(i64);

impl Duration {
    /// A span of zero length.
    pub const ZERO: Duration = Duration(0);
    /// The maximum span; used for "never".
    pub const MAX: Duration = Duration(i64::MAX);

    /// A span of this many microseconds.
    pub const fn from_micros(micros: i64) -> Duration {
        Duration(micros)
    }

    /// A span of this many milliseconds.
    pub const fn from_millis(millis: i64) -> Duration {
        Duration(millis * MICROS_PER_MILLI)
    }

    /// A span of this many seconds.
    pub const fn from_secs(seconds: i64) -> Duration {
        Duration(seconds * MICROS_PER_SECOND)
    }

    /// The span in microseconds.
    pub const fn as_micros(self) -> i64 {
        self.0
    }

    /// The span in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND as f64
    }

    /// Converts the span to the standard library's type; a negative one becomes zero.
    pub fn to_std(self) -> std::time::Duration {
        std::time::Duration::from_micros(self.0.max(0) as u64)
    }

    /// Whether the span is negative.
    pub const fn is_negative(self) -> bool {
        self.0 < 0
    }

    /// The sum, saturating at the bounds of the type.
    pub const fn saturating_add(self, other: Duration) -> Duration {
        Duration(self.0.saturating_add(other.0))
    }

    /// The product, saturating at the bounds of the type.
    pub const fn saturating_mul(self, factor: i64) -> Duration {
        Duration(self.0.saturating_mul(factor))
    }
}

impl From<std::time::Duration> for Duration {
    fn from(span: std::time::Duration) -> Duration {
        Duration(i64::try_from(span.as_micros()).unwrap_or(i64::MAX))
    }
}

impl fmt::Display for Duration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} µs", self.0)
    }
}

impl Add for Duration {
    type Output = Duration;
    fn add(self, other: Duration) -> Duration {
        Duration(self.0 + other.0)
    }
}

impl AddAssign for Duration {
    fn add_assign(&mut self, other: Duration) {
        self.0 += other.0;
    }
}

impl Sub for Duration {
    type Output = Duration;
    fn sub(self, other: Duration) -> Duration {
        Duration(self.0 - other.0)
    }
}

impl SubAssign for Duration {
    fn sub_assign(&mut self, other: Duration) {
        self.0 -= other.0;
    }
}

impl Neg for Duration {
    type Output = Duration;
    fn neg(self) -> Duration {
        Duration(-self.0)
    }
}

impl Mul<i64> for Duration {
    type Output = Duration;
    fn mul(self, factor: i64) -> Duration {
        Duration(self.0 * factor)
    }
}

impl Div<i64> for Duration {
    type Output = Duration;
    fn div(self, divisor: i64) -> Duration {
        Duration(self.0 / divisor)
    }
}

impl Div for Duration {
    type Output = i64;
    fn div(self, divisor: Duration) -> i64 {
        self.0 / divisor.0
    }
}

impl Rem for Duration {
    type Output = Duration;
    fn rem(self, divisor: Duration) -> Duration {
        Duration(self.0 % divisor.0)
    }
}

impl Sum for Duration {
    fn sum<I: Iterator<Item = Duration>>(spans: I) -> Duration {
        spans.fold(Duration::ZERO, Add::add)
    }
}
