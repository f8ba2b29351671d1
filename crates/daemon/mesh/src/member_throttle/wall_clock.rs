//! The machine's wall clock, which may step at any moment; `silvercross-throttle` decides whether it is trusted.
use std::time::{SystemTime, UNIX_EPOCH};

/// A reading of a replica's wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WallClock {
    /// In microseconds since 1970.
    pub(crate) wall_micros: i64,
    /// Whether that clock stepped recently.
    pub(crate) stepped: bool,
}

/// The wall-clock time, in microseconds since 1970.
pub(super) fn wall_micros() -> i64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    i64::try_from(since.as_micros()).unwrap_or(i64::MAX)
}
