//! The program `silvercross-scenario-runner`, as a library for its tests: the command line ([`commands`]), the driver of the
//! emulator on loopback sockets ([`sockets`]), fleets of processes and the faults between them ([`fleet`]), the report ([`report`]) and the measurement of one sidecar ([`load`]).
#![forbid(unsafe_code)]

pub mod commands;
pub mod fleet;
pub mod load;
pub mod log;
pub mod play;
pub mod records;
pub mod report;
pub mod sockets;
