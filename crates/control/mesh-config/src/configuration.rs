//! The routes, destinations and limits in force.

use std::collections::BTreeMap;

use bitcode::{Decode, Encode};
use serde_json::Value;
use silvercross_config_item::{
    forget_tombstones, newer_entries, newer_item, store_entries, Entries, Entry, Item, MergeOutcome,
    Tombstone,
};
use silvercross_control_store::{Rejection, State};

use crate::change::ConfigurationChange;
use crate::client_limits::ClientLimits;
use crate::consistency::{NewerItems, Proposal};
use crate::destination::Destination;
use crate::history::ForgottenTombstone;
use crate::item_version::{ItemKind, ItemVersion};
use crate::mutation::{self, Mutation};
use crate::rejection::{invalid, version_taken};
use crate::route::Route;
use crate::wire::{CLIENT_LIMITS, ROUTES_OF_HOST, VIRTUAL_HOST, VIRTUAL_HOSTS};

/// Maximum number of tombstones, which keep older versions of withdrawn items from coming back. Beyond it the oldest
/// tombstones are removed; [`crate::History`] then keeps a version floor for groups of their names.
pub const MAX_TOMBSTONES: usize = 65_536;

/// The tombstone of a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NamedTombstone<'a> {
    /// The kind of item that had the name.
    pub kind: ItemKind,
    /// The name.
    pub name: &'a str,
    /// The version of the withdrawal.
    pub version: u64,
}

/// All items in force and the tombstones of withdrawn ones. At most [`MAX_ITEMS`](crate::MAX_ITEMS) and
/// [`MAX_TOMBSTONES`].
///
/// Two are equal if they have the same items and tombstones, whatever the order of the withdrawals.
#[derive(Clone, Debug, Default, Encode, Decode)]
pub struct Configuration {
    routes: Entries<Route>,
    destinations: Entries<Destination>,
    limits: Option<Item<ClientLimits>>,
    /// Number of withdrawals accepted so far.
    withdrawals: u64,
}

impl PartialEq for Configuration {
    fn eq(&self, other: &Self) -> bool {
        self.routes == other.routes && self.destinations == other.destinations && self.limits == other.limits
    }
}

impl State for Configuration {
    type Change = ConfigurationChange;

    /// The highest version of each name wins and lower versions are ignored; the same version with different content is
    /// a conflict. The resulting configuration is then checked as a whole. Items that change nothing are not checked
    /// again, so that a late repeat of a superseded call is still acknowledged.
    fn apply(&mut self, change: &ConfigurationChange) -> Result<bool, Rejection> {
        self.merge(change).map(|outcome| outcome.is_changed)
    }
}

impl Configuration {
    /// Applies a change like [`State::apply`] and returns the tombstones that were removed.
    pub(crate) fn merge(
        &mut self,
        change: &ConfigurationChange,
    ) -> Result<MergeOutcome<ForgottenTombstone>, Rejection> {
        let newer = self.newer_items(change)?;
        if newer.is_empty() {
            return Ok(MergeOutcome { is_changed: false, forgotten: Vec::new() });
        }
        let proposal = Proposal {
            routes: &self.routes,
            destinations: &self.destinations,
            has_limits: self.limits.is_some(),
            newer: &newer,
        };
        proposal.check().map_err(invalid)?;
        let NewerItems { routes, destinations, limits } = newer;
        store_entries(&mut self.routes, routes, &mut self.withdrawals);
        store_entries(&mut self.destinations, destinations, &mut self.withdrawals);
        if let Some(limits) = limits {
            self.limits = Some(limits.clone());
        }
        Ok(MergeOutcome { is_changed: true, forgotten: self.forget_oldest_tombstones() })
    }

    fn newer_items<'a>(&self, change: &'a ConfigurationChange) -> Result<NewerItems<'a>, Rejection> {
        let conflict = |name: &str, version| {
            if mutation::is_active(Mutation::SameVersionTwice) {
                return Ok(());
            }
            Err(version_taken(name, version))
        };
        Ok(NewerItems {
            routes: newer_entries(&self.routes, &change.routes, conflict)?,
            destinations: newer_entries(&self.destinations, &change.destinations, conflict)?,
            limits: newer_item(self.limits.as_ref(), change.limits.as_ref(), |version| {
                version_taken(CLIENT_LIMITS, version)
            })?,
        })
    }

    /// The current version of a name, set or withdrawn.
    pub(crate) fn current(&self, kind: ItemKind, name: &str) -> Option<ItemVersion<'_>> {
        match kind {
            ItemKind::Route => {
                self.routes.get_key_value(name).map(|(name, entry)| ItemVersion::of_route(name, entry))
            }
            ItemKind::Destination => {
                let entry = self.destinations.get_key_value(name);
                entry.map(|(name, entry)| ItemVersion::of_destination(name, entry))
            }
            ItemKind::ClientLimits => self.limits.as_ref().map(ItemVersion::of_limits),
            ItemKind::Member | ItemKind::MemberIdentification => None,
        }
    }

    /// All items in force, each as it was sent, laid out like `deliver` in a call of the operator.
    pub fn to_json(&self) -> String {
        let destinations = self.destinations.values().filter_map(Entry::item);
        let destinations: Vec<&str> = destinations.map(|item| item.raw_json.as_str()).collect();
        let mut out = format!("{{\"destinations\":[{}]", destinations.join(","));
        if let Some(limits) = &self.limits {
            out.push_str(&format!(",\"{CLIENT_LIMITS}\":{}", limits.raw_json));
        }
        let mut hosts: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for item in self.routes.values().filter_map(Entry::item) {
            hosts.entry(&item.parsed.virtual_host).or_default().push(&item.raw_json);
        }
        let host = |(host, routes): (&str, Vec<&str>)| {
            let name = Value::from(host);
            format!("{{\"{VIRTUAL_HOST}\":{name},\"{ROUTES_OF_HOST}\":[{}]}}", routes.join(","))
        };
        let hosts: Vec<String> = hosts.into_iter().map(host).collect();
        out.push_str(&format!(",\"{VIRTUAL_HOSTS}\":[{}]}}", hosts.join(",")));
        out
    }

    /// Removes the JSON of all items as sent, for less than half the size. The rest routes requests as before, but
    /// [`to_json`](Self::to_json) no longer works and no changes may be applied.
    pub fn clear_raw_json(&mut self) {
        self.routes.values_mut().for_each(Entry::clear_raw_json);
        self.destinations.values_mut().for_each(Entry::clear_raw_json);
        if let Some(limits) = &mut self.limits {
            limits.raw_json.clear();
        }
    }

    /// Routes and tombstones of routes.
    pub(crate) fn route_entries(&self) -> &Entries<Route> {
        &self.routes
    }

    /// Destinations and tombstones of destinations.
    pub(crate) fn destination_entries(&self) -> &Entries<Destination> {
        &self.destinations
    }

    /// The routes in force, by name.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().filter_map(Entry::parsed)
    }

    /// The destinations in force, by name.
    pub fn destinations(&self) -> impl Iterator<Item = &Destination> {
        self.destinations.values().filter_map(Entry::parsed)
    }

    /// The tombstones of routes and destinations.
    pub fn tombstones(&self) -> impl Iterator<Item = NamedTombstone<'_>> {
        let routes =
            self.routes.iter().filter(|(_, entry)| entry.item().is_none()).map(|(name, entry)| {
                NamedTombstone { kind: ItemKind::Route, name, version: entry.version() }
            });
        let destinations =
            self.destinations.iter().filter(|(_, entry)| entry.item().is_none()).map(|(name, entry)| {
                NamedTombstone { kind: ItemKind::Destination, name, version: entry.version() }
            });
        routes.chain(destinations)
    }

    /// The limits, if any were sent.
    pub fn limits(&self) -> Option<&ClientLimits> {
        self.limits.as_ref().map(|item| &item.parsed)
    }

    /// Whether no item is in force.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of items in force.
    pub fn len(&self) -> usize {
        self.routes().count() + self.destinations().count() + usize::from(self.limits.is_some())
    }

    /// Removes the oldest tombstones above the limit and returns them.
    fn forget_oldest_tombstones(&mut self) -> Vec<ForgottenTombstone> {
        let routes = self.routes.values().filter_map(Entry::tombstone_order);
        let destinations = self.destinations.values().filter_map(Entry::tombstone_order);
        let mut orders: Vec<u64> = routes.chain(destinations).collect();
        if orders.len() <= MAX_TOMBSTONES {
            return Vec::new();
        }
        orders.sort_unstable();
        let first_kept = orders[orders.len() - MAX_TOMBSTONES];
        let forgotten_of = |kind, tombstones: Vec<Tombstone>| {
            let forgotten = move |Tombstone { name, version }| ForgottenTombstone { kind, name, version };
            tombstones.into_iter().map(forgotten)
        };
        let routes = forgotten_of(ItemKind::Route, forget_tombstones(&mut self.routes, first_kept));
        let destinations =
            forgotten_of(ItemKind::Destination, forget_tombstones(&mut self.destinations, first_kept));
        routes.chain(destinations).collect()
    }
}
