//! A mesh in simulated time: machines, links with delay, datagrams that get lost, partitions, kills and freezes. Equal seeds
//! give equal runs.
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

/// A span of so many milliseconds.
pub const fn ms(count: i64) -> Duration {
    Duration::from_millis(count)
}

/// A span of so many seconds.
pub const fn secs(count: i64) -> Duration {
    Duration::from_secs(count)
}

/// The control node of a zone.
pub fn control_node(zone: usize) -> Node {
    Node(1 + zone as u32)
}

/// The sidecar of this number.
pub fn sidecar(index: usize) -> Node {
    Node(100 + index as u32)
}

/// All control nodes.
pub fn control_nodes() -> [Node; 3] {
    [control_node(0), control_node(1), control_node(2)]
}

pub fn is_control(node: Node) -> bool {
    node.0 < sidecar(0).0
}
