//! The program `silvercross-rehearse`, as a library for its tests: the command line ([`commands`]), the driver of the
//! emulator on loopback sockets ([`sockets`]) and the report ([`report`]).
#![forbid(unsafe_code)]

pub mod commands;
pub mod play;
pub mod sockets;
