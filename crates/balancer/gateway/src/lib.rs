//! Decisions of a gateway between sites, without I/O and with time as an argument: how many requests it offers to accept from
//! the other site ([`offer`]), what it knows of remote gateways and which requests may be sent there ([`peers`]), and which
//! sites a request has left ([`hops`]). [`statement`] is the encoding of an offer. The decision module picks the upstream or
//! the remote gateway of a request and decides on retries; `docs/design/gateway.md` describes how the two work together.
#![forbid(unsafe_code)]
#![deny(clippy::too_many_lines, clippy::too_many_arguments)]

pub mod hops;
pub mod offer;
pub mod peers;
pub mod statement;
