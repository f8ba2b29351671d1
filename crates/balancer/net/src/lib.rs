//! What every part of silvercross on sockets shares, and no part of it decides: which sockets are watched
//! ([`registry`], the one file with `unsafe`), tables whose handles go stale ([`table`]), buffers of one size
//! ([`buffers`]) and HTTP/1.1 heads and framing ([`http`]). Knows no service, no request and no upstream; the sidecar and
//! the emulator's sockets are built on it.
#![deny(unsafe_code)]
#![deny(clippy::too_many_lines, clippy::too_many_arguments)]

pub mod buffers;
pub mod http;
pub mod pending;
pub mod registry;
pub mod stream;
pub mod table;
