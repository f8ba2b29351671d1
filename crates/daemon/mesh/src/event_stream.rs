//! What happens in the mesh as events, for other tools: JSON lines at `control`, read at once or followed.
//!
//! Off unless the role is started with `--feed`. `silvercross-event-feed` decides which events there are and who has missed
//! which; `state.rs` hands it what this node learns, `query.rs` reads what a reader asks for, `serve.rs` answers.
//! Paths, parameters and the keys of the JSON are the wire's.
mod query;
mod serve;
mod state;
#[cfg(test)]
mod tests;

pub(crate) use query::is_event_stream_call;
pub(crate) use serve::serve;
pub(crate) use state::EventStream;
