//! How many bytes the items take at most as nodes get them: without their JSON text. A bound that is cheap to compute, so that the
//! exact size has to be asked for only near a limit. Knows nothing of encodings but that none takes more than this.
use silvercross_config_item::{Entries, Entry};

use crate::change::ConfigurationChange;
use crate::configuration::Configuration;
use crate::destination::Destination;
use crate::route::{Route, WeightedDestination};

/// What an item takes besides its texts: numbers, lengths, and the key that it stands under.
const ITEM_BYTES: usize = 128;
/// The same for a destination of a split, or a region.
const ELEMENT_BYTES: usize = 16;

fn route_bytes(route: &Route) -> usize {
    let of_destination = |to: &WeightedDestination| to.name.len() + ELEMENT_BYTES;
    let split: usize = route.split.iter().map(of_destination).sum();
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
    /// The bytes that this takes on nodes, at most.
    pub fn delivered_bytes_bound(&self) -> usize {
        let routes = entries_bytes(self.route_entries(), route_bytes);
        routes + entries_bytes(self.destination_entries(), destination_bytes) + ITEM_BYTES
    }
}

impl ConfigurationChange {
    /// The bytes by which a configuration on nodes grows with this, at most.
    pub fn delivered_bytes_bound(&self) -> usize {
        let routes = entries_bytes(&self.routes, route_bytes);
        routes + entries_bytes(&self.destinations, destination_bytes) + ITEM_BYTES
    }
}
