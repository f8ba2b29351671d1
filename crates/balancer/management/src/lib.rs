//! The calls of a process's management endpoint and the metrics that it reports there. No I/O and no clock.
#![forbid(unsafe_code)]
#![deny(clippy::too_many_lines, clippy::too_many_arguments)]

mod call;
mod figures;

pub use call::{parse_call, response, Call, MAX_CALL_BYTES};
pub use figures::{Gauges, Metrics};
