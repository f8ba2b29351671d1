//! What a request costs on its way through two sidecars, beside the same way through two bare forwarders in the same run.
mod comparison;
mod forwarder;
mod process;

pub use comparison::{run, LoadOptions};
