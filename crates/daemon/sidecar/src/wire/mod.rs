//! Connections of a sidecar or gateway, one module for each kind of peer: reading, writing and parsing.
pub mod application;
pub mod batches;
pub mod discovery;
pub mod fleet;
pub mod operator;
pub mod peer;
pub mod upstream;
