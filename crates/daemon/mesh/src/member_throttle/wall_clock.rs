//! The machine's time of day, which may step at any moment; `silvercross-throttle` decides whether it is believed.
use std::time::{SystemTime, UNIX_EPOCH};

/// A replica's time of day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct WallClock {
    /// In microseconds since 1970.
    pub(crate) wall_micros: i64,
    /// Whether that clock was set lately.
    pub(crate) stepped: bool,
}

/// The time of day, in microseconds since 1970.
pub(super) fn wall_micros() -> i64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    i64::try_from(since.as_micros()).unwrap_or(i64::MAX)
}
