//! Calls of upstreams, operators and the platform over HTTP.
//!
//! `calls.rs` and `member_calls.rs` declare each call beside its handler; `call.rs` is what a call is and how it is found,
//! `response.rs` what is answered, `changes.rs` how keys of the control store are changed and callers redirected, `listener.rs`
//! the connections. Paths, statuses and keys of JSON are the wire's (`docs/operators/mesh.md`).
mod call;
mod calls;
mod changes;
mod listener;
mod member_calls;
mod response;
#[cfg(test)]
mod tests;

pub(crate) use calls::{CONTROL_CALLS, READY_CALLS};
pub(crate) use listener::listen;
