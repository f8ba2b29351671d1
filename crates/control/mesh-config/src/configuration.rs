//! What is in force.

use std::collections::{BTreeMap, BTreeSet};

use bitcode::{Decode, Encode};
use serde_json::Value;
use silvercross_control_store::{Rejection, State};

use crate::history::{Forgotten, ItemKind, Said};
use crate::item::{
    host_key, ClientLimits, ConfigurationChange, ConfigurationError, Destination, Entries, Entry, Item,
    Route, Versioned,
};
use crate::mutation::{self, Mutation};
use crate::read::same_place;

/// No more items stand at a time; a call that would go beyond is refused whole.
pub const MAX_ITEMS: usize = 16_384;

/// How many drops are remembered by name, so that an older setting of a dropped name does not come back. Beyond it the
/// drops that were taken first are forgotten here; what is then known of them is in [`crate::History`].
pub const MAX_TOMBSTONES: usize = 65_536;

/// All items that stand, and the editions at which names were dropped. At most [`MAX_ITEMS`] and [`MAX_TOMBSTONES`].
///
/// Two are equal if the same holds in them, whenever it was dropped.
#[derive(Clone, Debug, Default, Encode, Decode)]
pub struct Configuration {
    routes: Entries<Route>,
    destinations: Entries<Destination>,
    limits: Option<Item<ClientLimits>>,
    /// Drops taken so far.
    drops: u64,
}

impl PartialEq for Configuration {
    fn eq(&self, other: &Self) -> bool {
        self.routes == other.routes && self.destinations == other.destinations && self.limits == other.limits
    }
}

impl State for Configuration {
    type Change = ConfigurationChange;

    /// The higher edition of each name holds, a lower one changes nothing, and the same edition with other content is a
    /// conflict. What the call would put in force is then checked as a whole. Items that change nothing are not
    /// checked again: a late repeat of an overtaken call stays acknowledged.
    fn apply(&mut self, change: &ConfigurationChange) -> Result<bool, Rejection> {
        self.merge(change).map(|taken| taken.is_some())
    }
}

impl Configuration {
    /// The same; `None` if nothing changed, else the drops that were forgotten for it.
    pub(crate) fn merge(
        &mut self,
        change: &ConfigurationChange,
    ) -> Result<Option<Vec<Forgotten>>, Rejection> {
        let routes = newer(&self.routes, &change.routes)?;
        let destinations = newer(&self.destinations, &change.destinations)?;
        let limits = match (&self.limits, &change.limits) {
            (_, None) => None,
            (None, new) => new.as_ref(),
            (Some(old), Some(new)) => match new.parsed.version.cmp(&old.parsed.version) {
                std::cmp::Ordering::Greater => Some(new),
                std::cmp::Ordering::Equal if old != new => {
                    return Err(conflict("sizeLimits", new.parsed.version))
                }
                _ => None,
            },
        };
        if routes.is_empty() && destinations.is_empty() && limits.is_none() {
            return Ok(None);
        }
        self.check(&routes, &destinations, limits.is_some()).map_err(invalid)?;
        take(&mut self.routes, routes, &mut self.drops);
        take(&mut self.destinations, destinations, &mut self.drops);
        if let Some(limits) = limits {
            self.limits = Some(limits.clone());
        }
        Ok(Some(self.forget()))
    }

    /// What holds for a name, set or dropped.
    pub(crate) fn current(&self, kind: ItemKind, name: &str) -> Option<Said<'_>> {
        match kind {
            ItemKind::Route => self.routes.get_key_value(name).map(|(name, e)| Said::route(name, e)),
            ItemKind::Destination => {
                self.destinations.get_key_value(name).map(|(name, e)| Said::destination(name, e))
            }
            ItemKind::ClientLimits => self.limits.as_ref().map(Said::limits),
            ItemKind::Member | ItemKind::Membership => None,
        }
    }

    /// All items that stand, each as it was sent, laid out as `deliver` in a call of the operator.
    pub fn to_json(&self) -> String {
        let mut out = String::from("{\"destinations\":[");
        join(&mut out, items(&self.destinations).map(|item| item.raw_json.as_str()));
        out.push(']');
        if let Some(limits) = &self.limits {
            out.push_str(",\"sizeLimits\":");
            out.push_str(&limits.raw_json);
        }
        out.push_str(",\"depots\":[");
        let mut depots: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for item in items(&self.routes) {
            depots.entry(&item.parsed.virtual_host).or_default().push(&item.raw_json);
        }
        for (i, (virtual_host, lanes)) in depots.into_iter().enumerate() {
            out.push_str(if i == 0 { "{\"depot\":" } else { ",{\"depot\":" });
            out.push_str(&Value::from(virtual_host).to_string());
            out.push_str(",\"lanes\":[");
            join(&mut out, lanes.into_iter());
            out.push_str("]}");
        }
        out.push_str("]}");
        out
    }

    /// The routes that stand, by name.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().filter_map(Entry::parsed)
    }

    /// The destinations that stand, by name.
    pub fn destinations(&self) -> impl Iterator<Item = &Destination> {
        self.destinations.values().filter_map(Entry::parsed)
    }

    /// Names that were dropped and are remembered: what they were, and the edition of the drop.
    pub fn tombstones(&self) -> impl Iterator<Item = (&'static str, &str, u64)> {
        let routes = self.routes.iter().filter(|(_, e)| e.item().is_none());
        let destinations = self.destinations.iter().filter(|(_, e)| e.item().is_none());
        let routes = routes.map(|(name, e)| ("route", name.as_str(), e.version()));
        routes.chain(destinations.map(|(name, e)| ("destination", name.as_str(), e.version())))
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

    /// Whether the configuration would be valid with these entries in place of the present ones.
    fn check(
        &self,
        routes: &Newer<Route>,
        destinations: &Newer<Destination>,
        limits: bool,
    ) -> Result<(), ConfigurationError> {
        let stands = |name: &str| {
            let entry = destinations.get(name).copied().or_else(|| self.destinations.get(name));
            entry.is_some_and(|entry| entry.item().is_some())
        };
        for route in routes.values().filter_map(|entry| entry.parsed()) {
            if let Some((name, _)) = route.split.iter().find(|(name, _)| !stands(name)) {
                let key = if route.split.len() == 1 { "destination" } else { "split" };
                let reason =
                    format!("names {name}, which is no destination here (send that destination as well)");
                return Err(ConfigurationError::new(&route.name, key, reason));
            }
        }
        let gone: BTreeSet<&str> =
            destinations.iter().filter(|(_, entry)| entry.item().is_none()).map(|(name, _)| *name).collect();
        if !gone.is_empty() {
            for route in resulting(&self.routes, routes) {
                if let Some((name, _)) = route.split.iter().find(|(name, _)| gone.contains(name.as_str())) {
                    let reason =
                        format!("is withdrawn while route {} names it (move that route first)", route.name);
                    return Err(ConfigurationError::new(name, "name", reason));
                }
            }
        }
        if routes.values().any(|entry| entry.item().is_some()) {
            let mut places = BTreeMap::new();
            for route in resulting(&self.routes, routes) {
                if let Some(other) =
                    places.insert((host_key(&route.virtual_host), route.path_prefix.as_str()), &route.name)
                {
                    return Err(same_place(route, other));
                }
            }
        }
        let count = resulting(&self.routes, routes).count()
            + resulting(&self.destinations, destinations).count()
            + usize::from(limits || self.limits.is_some());
        if count > MAX_ITEMS {
            let reason = format!("would be {count}, above {MAX_ITEMS} (withdraw some first)");
            return Err(ConfigurationError::new("body", "items", reason));
        }
        Ok(())
    }

    /// Forget the drops that were taken first, down to the bound.
    fn forget(&mut self) -> Vec<Forgotten> {
        let mut forgotten = Vec::new();
        let mut orders: Vec<u64> = orders(&self.routes).chain(orders(&self.destinations)).collect();
        if orders.len() > MAX_TOMBSTONES {
            orders.sort_unstable();
            let kept = orders[orders.len() - MAX_TOMBSTONES];
            retain(ItemKind::Route, &mut self.routes, kept, &mut forgotten);
            retain(ItemKind::Destination, &mut self.destinations, kept, &mut forgotten);
        }
        forgotten
    }
}

/// Keeps the drops from this one on.
fn retain<T: Versioned>(kind: ItemKind, entries: &mut Entries<T>, kept: u64, forgotten: &mut Vec<Forgotten>) {
    entries.retain(|name, entry| {
        let keeps = order(entry).is_none_or(|order| order >= kept);
        if !keeps {
            forgotten.push(Forgotten { kind, name: name.clone(), version: entry.version() });
        }
        keeps
    });
}

/// The entries of a call that take the place of the present ones.
type Newer<'a, T> = BTreeMap<&'a str, &'a Entry<T>>;

fn newer<'a, T>(present: &Entries<T>, sent: &'a Entries<T>) -> Result<Newer<'a, T>, Rejection>
where
    T: Versioned + PartialEq,
{
    let mut newer = Newer::new();
    for (name, new) in sent {
        match present.get(name) {
            Some(old) if new.version() < old.version() => {}
            Some(old) if new.version() == old.version() => {
                if old != new && !mutation::is(Mutation::SameVersionTwice) {
                    return Err(conflict(name, new.version()));
                }
            }
            _ => {
                newer.insert(name, new);
            }
        }
    }
    Ok(newer)
}

fn take<T: Clone>(present: &mut Entries<T>, newer: Newer<T>, drops: &mut u64) {
    for (name, new) in newer {
        let entry = match new {
            Entry::Set(item) => Entry::Set(item.clone()),
            Entry::Dropped { version, .. } => {
                *drops += 1;
                Entry::Dropped { version: *version, order: *drops }
            }
        };
        present.insert(name.to_string(), entry);
    }
}

/// What would stand with the newer entries in place.
fn resulting<'a, T>(present: &'a Entries<T>, newer: &'a Newer<'a, T>) -> impl Iterator<Item = &'a T> {
    let old = present.iter().filter(|(name, _)| !newer.contains_key(name.as_str())).map(|(_, entry)| entry);
    old.chain(newer.values().copied()).filter_map(Entry::parsed)
}

fn items<T>(entries: &Entries<T>) -> impl Iterator<Item = &Item<T>> {
    entries.values().filter_map(Entry::item)
}

fn order<T>(entry: &Entry<T>) -> Option<u64> {
    match entry {
        Entry::Set(_) => None,
        Entry::Dropped { order, .. } => Some(*order),
    }
}

fn orders<T>(entries: &Entries<T>) -> impl Iterator<Item = u64> + '_ {
    entries.values().filter_map(order)
}

fn join<'a>(out: &mut String, parts: impl Iterator<Item = &'a str>) {
    for (i, part) in parts.enumerate() {
        if i > 0 {
            out.push(',');
        }
        out.push_str(part);
    }
}

pub(crate) fn conflict(name: &str, version: u64) -> Rejection {
    let reason =
        format!("{version} stands already with other content (read the configuration, raise the edition)");
    Rejection { conflict: true, reason: ConfigurationError::new(name, "edition", reason).to_string() }
}

fn invalid(fault: ConfigurationError) -> Rejection {
    Rejection { conflict: false, reason: fault.to_string() }
}
