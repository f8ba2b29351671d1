//! Events of the mesh for other tools: JSON lines at the control address, read once or followed.
//!
//! Off unless the process is started with `--feed`. `silvercross-event-feed` keeps the events and detects which ones a reader
//! missed; `state.rs` publishes what this node learns, `query.rs` parses readers' calls, `serve.rs` answers them. Paths,
//! parameters and JSON keys are part of the wire protocol.
mod query;
mod serve;
mod state;
#[cfg(test)]
mod tests;

pub(crate) use query::is_event_stream_call;
pub(crate) use serve::serve;
pub(crate) use state::EventStream;
