//! The mesh's executable, the same on all machines.
//!
//! `silvercross-mesh sidecar` runs on machines with an upstream, `silvercross-mesh control` on those that hold the control state. It
//! does the I/O (sockets, timers, disk); the packages it depends on make the decisions (`docs/design/mesh.md`).
//!
//! Start with `startup.rs` (startup) and `runtime.rs` (signals and shutdown). A request goes through
//! `client_listener`, `service_balancer` and `peer_connection` to another sidecar's `upstream_gate`; `peers` handles messages
//! between nodes; `node_state` is the state shared by the tasks.
#![forbid(unsafe_code)]
// Not in tests: test files hold long tables of cases, and helpers that all tests share.
#![cfg_attr(not(test), deny(missing_docs, unreachable_pub))]
#![cfg_attr(not(test), deny(clippy::too_many_lines, clippy::too_many_arguments))]

mod body_budget;
mod body_buffer;
mod cancellation;
mod client_listener;
mod command_line;
mod control;
mod control_value;
mod disk;
mod event_loop_turns;
mod event_stream;
mod forwarding_headers;
mod graceful_stop;
mod idle_timeout;
mod member_throttle;
mod members_command;
mod metrics;
mod mutation;
mod node_state;
mod peer_connection;
mod peers;
mod periodic;
mod rate_limited_log;
mod reload;
mod request_encoding;
mod response_replay_cache;
mod runtime;
mod service_balancer;
mod settings;
mod startup;
mod state_report;
#[cfg(test)]
mod tests;
mod upstream_gate;
mod wire;

fn main() {
    command_line::main();
}
