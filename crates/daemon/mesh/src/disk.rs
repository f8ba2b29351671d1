//! The control store's disk: one redb file in `dataDir`, written by a thread of its own.
//!
//! Writes that have gathered share one transaction, and each is acknowledged only after that transaction is synced. A write
//! that finds no space is retried until there is some; a failed sync ends the process, for what the disk holds is then
//! unknown. A file is quarantined only if its content is shown to be damaged. Why: `docs/design/control.md`.
//!
//! Knows nothing of nodes, replicas or links. Read on in `thread.rs`, then `recovery.rs` (what the start makes of what it finds),
//! `writer.rs` and `database.rs`.
mod database;
mod error;
mod folder;
mod io_faults;
mod messages;
mod recovery;
#[cfg(test)]
mod tests;
mod thread;
mod writer;

pub(crate) use error::DiskError;
pub(crate) use messages::{DiskEvent, DiskWrite, DiskWriteSender};
pub(crate) use thread::open;
