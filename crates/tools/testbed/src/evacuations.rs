//! Evacuations of zones in series, on the real program: drawn freezes with orders left in sockets, cuts between control machines,
//! kills, planned replacements and restarts, while clients in every zone go on asking and the configuration changes. Claimed and
//! checked from outside: once an order is acknowledged and its time has passed, nothing that a machine in touch sends reaches the zone
//! until an acknowledged order takes it back; and that opens the zone again.
//!
//! Read on at `evacuations/run.rs` (a seed from beginning to verdict), then `rounds.rs` (what is drawn) and `player.rs` (how it is carried
//! out); `watch.rs` has what is sent and what is checked.
mod orders;
mod player;
mod rounds;
mod run;
mod watch;

pub use orders::{AbandonedOrder, Abandonment, Order};
pub use run::{play, run, EvacuationOptions, EvacuationResult};
