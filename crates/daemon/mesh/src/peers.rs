//! Between nodes: links, datagrams, and the two deciders behind them.
//!
//! Hands `silvercross-mesh-membership` and `silvercross-control-store` what arrives on links and datagrams, lets their time
//! pass, and carries out their effects. Decides nothing itself: what a frame means is the deciders' to say, and what follows
//! from a record or control entry for this process is [`crate::node_state`]'s.
//!
//! Read on in `state.rs` (what is shared), `deciders.rs` (their loop), `effects.rs`, then `links.rs` and `frame.rs` (what
//! goes between nodes) and `calls.rs` (operators' calls to the control store).
mod calls;
mod deciders;
mod effects;
mod frame;
mod frame_reader;
mod frame_writer;
mod links;
mod majority_read;
mod own_node;
mod record;
mod state;
#[cfg(test)]
mod tests;

pub(crate) use deciders::{follow_disk, receive_datagrams, run_deciders};
pub(crate) use links::accept_links;
pub(crate) use record::{RecordBody, UpstreamRecord};
pub(crate) use state::{LocalControlStore, Peers};
