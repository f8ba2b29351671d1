//! The machines: an address each in a block of loopback that no other run has, a settings file, a data folder, and a process
//! of the real program that can be killed, stopped and started again. Read on at [`plan`](MeshPlan), then [`Mesh`].
mod address_block;
mod machines;
mod plan;
mod settings_file;

pub use machines::{Machine, Mesh, OtherProgram};
pub use plan::{Bound, MeshPlan, DRAIN_S};
