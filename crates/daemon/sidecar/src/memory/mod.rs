//! What is kept in memory: connections, requests. No I/O and no decisions here.
pub mod connections;
pub mod requests;
