//! Routes, destinations and limits in force.

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

/// How many withdrawals are remembered by name, so that an older version of a withdrawn item does not come back. Beyond it
/// those that were taken first are forgotten here; what is then known of them is in [`crate::History`].
pub const MAX_TOMBSTONES: usize = 65_536;

/// A name that was withdrawn and is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NamedTombstone<'a> {
    /// What it was the name of.
    pub kind: ItemKind,
    /// The name.
    pub name: &'a str,
    /// The version of the withdrawal.
    pub version: u64,
}

/// All items that stand, and the versions at which names were withdrawn. At most
/// [`MAX_ITEMS`](crate::MAX_ITEMS) and [`MAX_TOMBSTONES`].
///
/// Two are equal if the same stands in them, whenever it was withdrawn.
#[derive(Clone, Debug, Default, Encode, Decode)]
pub struct Configuration {
    routes: Entries<Route>,
    destinations: Entries<Destination>,
    limits: Option<Item<ClientLimits>>,
    /// Withdrawals taken so far.
    withdrawals: u64,
}

impl PartialEq for Configuration {
    fn eq(&self, other: &Self) -> bool {
        self.routes == other.routes && self.destinations == other.destinations && self.limits == other.limits
    }
}

impl State for Configuration {
    type Change = ConfigurationChange;

    /// The highest version of each name stands, a lower one changes nothing, and the same version with another content is
    /// a conflict. What the call would put in force is then checked as a whole. Items that change nothing are not checked
    /// again: a late repeat of a superseded call stays acknowledged.
    fn apply(&mut self, change: &ConfigurationChange) -> Result<bool, Rejection> {
        self.merge(change).map(|outcome| outcome.is_changed)
    }
}

impl Configuration {
    /// Apply a change as [`State::apply`] and say which tombstones were forgotten for it.
    pub(crate) fn merge(
        &mut self,
        change: &ConfigurationChange,
    ) -> Result<MergeOutcome<ForgottenTombstone>, Rejection> {
        let newer = self.newer(change)?;
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
        Ok(MergeOutcome { is_changed: true, forgotten: self.forget_first_tombstones() })
    }

    fn newer<'a>(&self, change: &'a ConfigurationChange) -> Result<NewerItems<'a>, Rejection> {
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

    /// The version that stands of a name, set or withdrawn.
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

    /// All items that stand, each as it was sent, laid out as `deliver` in a call of the operator.
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

    /// Forgets the JSON of all items as sent. What is left routes requests alike, and takes less than half of the bytes; it can't be
    /// read back ([`to_json`](Self::to_json)) and takes no calls.
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

    /// The routes that stand, by name.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().filter_map(Entry::parsed)
    }

    /// The destinations that stand, by name.
    pub fn destinations(&self) -> impl Iterator<Item = &Destination> {
        self.destinations.values().filter_map(Entry::parsed)
    }

    /// Names that were withdrawn and are remembered.
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

    /// Whether no item stands.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How many items stand.
    pub fn len(&self) -> usize {
        self.routes().count() + self.destinations().count() + usize::from(self.limits.is_some())
    }

    /// Forget the tombstones that were taken first, down to the limit.
    fn forget_first_tombstones(&mut self) -> Vec<ForgottenTombstone> {
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
