//! Persistent storage of the control store: one redb file in `dataDir`, written by a dedicated thread.
//!
//! Pending writes share one transaction, and each is acknowledged only after that transaction is synced. A write that
//! runs out of space is retried until there is some; a failed sync ends the process, since the content on disk is then
//! unknown. A file is quarantined only if its content is proven to be damaged. Rationale: `docs/design/control.md`.
//!
//! Independent of nodes, replicas and links. Start reading at `thread.rs`, then `recovery.rs` (opening, reading and
//! quarantining at startup), `writer.rs` and `database.rs`.
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
pub(crate) use messages::{
    DepartureWrite, DiskEvent, DiskRequest, DiskWrite, DiskWriteSender, StoredDeparture,
};
pub(crate) use thread::open;
