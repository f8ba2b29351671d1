//! State kept in memory: connections and requests. No I/O and no decisions.
pub mod connections;
pub mod requests;
