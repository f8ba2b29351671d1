//! The silvercross sidecar: one process on sockets beside each calling process, built round the decision module.
//!
//! Outside in: [`lifecycle`] starts and stops the process, [`event_loop`] serves its sockets, [`wire`] holds what is
//! spoken on them, [`memory`] what is kept between two readinesses. The facade that alone knows the decision module is the
//! crate `silvercross_facade`; poller, tables, buffers and HTTP framing are `silvercross_net`. `docs/design/sidecar.md` follows a request through all of them.
#![forbid(unsafe_code)]

pub mod event_loop;
pub mod lifecycle;
pub mod memory;
pub mod wire;
