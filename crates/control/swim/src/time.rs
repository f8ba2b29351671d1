//! The unit of time in this package. It must not know of a clock: the caller says what time it is.

/// Microseconds, of a clock that only goes forward.
pub type Micros = i64;
