//! What is spoken on the wire with each of the sides the sidecar, or a gateway, talks to.
pub mod application;
pub mod batches;
pub mod discovery;
pub mod fleet;
pub mod operator;
pub mod peer;
pub mod upstream;
