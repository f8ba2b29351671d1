//! An upper bound on the encoded size of the items as delivered to nodes: without their JSON text. It is cheap to
//! compute, so that the exact size is needed only near a limit. It assumes only that no encoding takes more than this.
use silvercross_config_item::{Entries, Entry};

use crate::change::ConfigurationChange;
use crate::configuration::Configuration;
use crate::destination::Destination;
use crate::route::{Route, WeightedDestination};

/// Bytes of an item besides its strings: numbers, lengths and the overhead of its map key.
const ITEM_BYTES: usize = 128;
/// Bytes of a destination in a split, or of a region, besides its name.
const ELEMENT_BYTES: usize = 16;

fn route_bytes(route: &Route) -> usize {
    let share_bytes = |to: &WeightedDestination| to.name.len() + ELEMENT_BYTES;
    let split: usize = route.split.iter().map(share_bytes).sum();
    let regions: usize = route.regions.iter().map(|region| region.len() + ELEMENT_BYTES).sum();
    route.name.len() + route.virtual_host.len() + route.path_prefix.len() + split + regions
}

fn destination_bytes(destination: &Destination) -> usize {
    destination.name.len() + destination.health_path.len() + destination.protocol.len()
}

fn entries_bytes<T>(entries: &Entries<T>, item_bytes: impl Fn(&T) -> usize) -> usize {
    let entry_bytes =
        |(name, entry): (&String, &Entry<T>)| name.len() + ITEM_BYTES + entry.parsed().map_or(0, &item_bytes);
    entries.iter().map(entry_bytes).sum()
}

impl Configuration {
    /// Upper bound on the bytes of the configuration as delivered to nodes.
    pub fn delivered_bytes_bound(&self) -> usize {
        let routes = entries_bytes(self.route_entries(), route_bytes);
        routes + entries_bytes(self.destination_entries(), destination_bytes) + ITEM_BYTES
    }
}

impl ConfigurationChange {
    /// Upper bound on the bytes by which the change makes a delivered configuration grow.
    pub fn delivered_bytes_bound(&self) -> usize {
        let routes = entries_bytes(&self.routes, route_bytes);
        routes + entries_bytes(&self.destinations, destination_bytes) + ITEM_BYTES
    }
}
