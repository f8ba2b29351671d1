//! HTTP calls from upstreams, operators and the platform.
//!
//! `calls.rs` and `member_calls.rs` declare each call beside its handler. `call.rs` defines calls and finds the one that a
//! request means, `response.rs` defines responses, `acceptor.rs` accepts connections, `changes.rs` changes keys of the control store and redirects callers,
//! and `listener.rs` serves connections. Paths, statuses and JSON keys are part of the protocol (`docs/operators/mesh.md`).
mod acceptor;
mod call;
mod calls;
mod changes;
mod listener;
mod member_calls;
mod order_condition;
mod query;
mod response;
#[cfg(test)]
mod tests;

pub(crate) use calls::{CONTROL_CALLS, READY_CALLS};
pub(crate) use listener::listen;
