//! What a gateway between sites decides beside the module, without I/O and with time as an argument: how much it offers the
//! other side ([`offer`]), what it knows of far gateways and what may go there ([`peers`]), and what has crossed already
//! ([`hops`]). The words in which two gateways speak of it are in [`statement`]. Which server or far gateway a request goes to,
//! and whether again, is the module's; `docs/design/gateway.md` says how the two fit.
#![forbid(unsafe_code)]
#![deny(clippy::too_many_lines, clippy::too_many_arguments)]

pub mod hops;
pub mod offer;
pub mod peers;
pub mod statement;
