//! What operators ask of a process over its door, and the figures it reports there. No I/O and no clock.
#![forbid(unsafe_code)]

mod call;
mod figures;

pub use call::{answer, call, Call, CALL_MOST};
pub use figures::{Figures, Gauges};
