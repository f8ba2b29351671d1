//! Networking code that the programs with sockets share: polling ([`registry`], the only file with `unsafe`), writing
//! without blocking ([`pending`]), what the system still has to send ([`send_queue`]), tables with generational handles ([`table`]), buffers of a fixed size ([`buffers`]),
//! HTTP/1.1 heads and framing ([`http`]) and streamed bodies ([`stream`]). It makes no decisions and knows no services,
//! requests or upstreams.
#![deny(unsafe_code)]
#![deny(clippy::too_many_lines, clippy::too_many_arguments)]

pub mod buffers;
pub mod http;
pub mod pending;
pub mod registry;
pub mod send_queue;
pub mod stream;
pub mod table;
