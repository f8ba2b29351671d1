//! Start and stop of the process (configuration, log, sockets, signals), and the operator commands.
pub mod config;
pub mod fleet;
pub mod gateway;
pub mod logging;
pub mod members;
pub mod migrate;
pub mod records;
pub mod seat;
pub mod start;
pub mod stop;
pub mod store;

pub use start::{run, run_deciding};
