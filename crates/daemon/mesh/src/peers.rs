//! Communication with other nodes: links, datagrams, and the two decision modules, membership and the control
//! store.
//!
//! Passes received frames and datagrams to `silvercross-mesh-membership` and `silvercross-control-store`,
//! calls their timers, and carries out their effects. It makes no decisions itself: those crates interpret
//! the messages, and [`crate::node_state`] determines what a record or control entry changes in this process.
//!
//! Start reading in `state.rs` (shared state), `deciders.rs` (the loop of the decision modules) and
//! `effects.rs`, then `links.rs` and `frame.rs` (the protocol between nodes) and `calls.rs` (operators' calls
//! to the control store).
mod calls;
mod confirmation_replies;
mod confirmations;
mod deciders;
mod departure_log;
mod durable_departures;
mod effects;
mod frame;
mod frame_reader;
mod frame_writer;
mod held_confirmations;
mod links;
mod majority_read;
mod own_node;
mod record;
mod state;
#[cfg(test)]
mod tests;
mod tombstone_record;
mod tombstones;

pub(crate) use deciders::{follow_disk, receive_datagrams, run_decision_modules};
pub(crate) use links::accept_links;
pub(crate) use record::{RecordBody, UpstreamRecord};
pub(crate) use state::{LocalControlStore, Peers};
pub(crate) use tombstones::CONFIRMATION_TIMEOUT;
