//! What is spoken on the wire with each of the three sides the sidecar talks to.
pub mod application;
pub mod discovery;
pub mod upstream;
