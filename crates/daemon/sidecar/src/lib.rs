//! The silvercross sidecar: one process beside each calling process, which serves sockets and contains the decision module.
//!
//! From the outside in: [`lifecycle`] starts and stops the process, [`event_loop`] serves its sockets, [`wire`] reads and
//! writes the messages on them, and [`memory`] keeps the connections and requests. The crate `silvercross_facade` is the
//! facade, the only code that depends on the decision module; poller, tables, buffers and HTTP framing are in `silvercross_net`. `docs/design/sidecar.md` follows a request through all of them.
#![forbid(unsafe_code)]

pub mod event_loop;
pub mod lifecycle;
pub mod memory;
pub mod wire;
