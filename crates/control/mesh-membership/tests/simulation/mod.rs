//! A mesh in simulated time: machines, links with delay, lossy datagrams, partitions, kills and freezes.
//! Equal seeds give equal runs.
#![allow(dead_code, reason = "each test program uses a part of it")]

mod checks;
mod delivery;
mod effects;
mod faults;
mod network;
pub mod schedules;
pub mod thin_links;
pub mod world;

pub use world::World;

use silvercross_mesh_membership::Node;
use silvercross_time::Duration;

pub const fn ms(count: i64) -> Duration {
    Duration::from_millis(count)
}

pub const fn secs(count: i64) -> Duration {
    Duration::from_secs(count)
}

pub fn control_node(zone: usize) -> Node {
    Node(1 + zone as u32)
}

pub fn sidecar(index: usize) -> Node {
    Node(100 + index as u32)
}

pub fn control_nodes() -> [Node; 3] {
    [control_node(0), control_node(1), control_node(2)]
}

pub fn is_control(node: Node) -> bool {
    node.0 < sidecar(0).0
}
