//! A small mesh of the real program on loopback: a machine is an address, a role is a process of ours, and what stands around
//! it (upstreams, clients, an operator) are stand-ins in this process. Everything started ends with its [`Testbed`].
//!
//! It must not know how the program works inside: it speaks to it as platforms, clients, upstreams and operators do. Read on at
//! [`testbed`], then [`mesh`] and [`upstream`], then a play: [`faults`], [`control`], [`soak`] or [`lapse`].
#![forbid(unsafe_code)]
#![deny(missing_docs, unreachable_pub)]
#![deny(clippy::too_many_lines, clippy::too_many_arguments)]

pub mod checker;
pub mod client;
pub mod control;
pub mod evacuations;
pub mod execution_log;
pub mod faults;
pub mod http_connection;
pub mod identifiers;
pub mod lapse;
pub mod links;
pub mod load;
pub mod mesh;
pub mod operator;
pub mod program;
pub mod soak;
pub mod testbed;
pub mod traffic;
pub mod upgrade;
pub mod upstream;
pub mod wait;
pub mod walkthrough;

pub use testbed::Testbed;
pub use wait::{wait_until, WAIT_TIMEOUT};
