//! Checks that the configuration resulting from a call is valid as a whole.

use std::collections::BTreeSet;

use silvercross_config_item::{resulting_items, Entries, Entry, Item, ItemError, ItemProblem, NewerEntries};

use crate::client_limits::ClientLimits;
use crate::destination::Destination;
use crate::error::{ConfigurationError, ConfigurationProblem};
use crate::route::{check_path_prefixes, Route};

/// Maximum number of items in force; a call that would exceed it is rejected as a whole.
pub const MAX_ITEMS: usize = 16_384;

/// The items of a call that are newer than the current ones.
pub(crate) struct NewerItems<'a> {
    pub(crate) routes: NewerEntries<'a, Route>,
    pub(crate) destinations: NewerEntries<'a, Destination>,
    pub(crate) limits: Option<&'a Item<ClientLimits>>,
}

impl NewerItems<'_> {
    pub(crate) fn is_empty(&self) -> bool {
        self.routes.is_empty() && self.destinations.is_empty() && self.limits.is_none()
    }
}

/// The current items and those that would replace them.
pub(crate) struct Proposal<'a> {
    pub(crate) routes: &'a Entries<Route>,
    pub(crate) destinations: &'a Entries<Destination>,
    pub(crate) has_limits: bool,
    pub(crate) newer: &'a NewerItems<'a>,
}

impl Proposal<'_> {
    /// Checks the resulting configuration. Unchanged items are checked only for what the newer items can make invalid.
    pub(crate) fn check(&self) -> Result<(), ConfigurationError> {
        self.check_destinations_of_newer_routes()?;
        self.check_withdrawn_destinations()?;
        if self.newer.routes.values().any(|entry| entry.item().is_some()) {
            check_path_prefixes(resulting_items(self.routes, &self.newer.routes))?;
        }
        self.check_count()
    }

    fn will_be_in_force(&self, destination: &str) -> bool {
        let newer = self.newer.destinations.get(destination).copied();
        newer.or_else(|| self.destinations.get(destination)).is_some_and(|entry| entry.item().is_some())
    }

    fn check_destinations_of_newer_routes(&self) -> Result<(), ConfigurationError> {
        for route in self.newer.routes.values().filter_map(|entry| entry.parsed()) {
            if let Some(missing) = route.split.iter().find(|to| !self.will_be_in_force(&to.name)) {
                let key = if route.split.len() == 1 { "destination" } else { "split" };
                let problem = ConfigurationProblem::UnknownDestination { destination: missing.name.clone() };
                return Err(ItemError::new(&route.name, key, problem));
            }
        }
        Ok(())
    }

    fn check_withdrawn_destinations(&self) -> Result<(), ConfigurationError> {
        let is_tombstone = |entry: &Entry<Destination>| entry.item().is_none();
        let newer = self.newer.destinations.iter().filter(|(_, entry)| is_tombstone(entry));
        let withdrawn: BTreeSet<&str> = newer.map(|(name, _)| *name).collect();
        if withdrawn.is_empty() {
            return Ok(());
        }
        for route in resulting_items(self.routes, &self.newer.routes) {
            if let Some(used) = route.split.iter().find(|to| withdrawn.contains(to.name.as_str())) {
                let problem = ConfigurationProblem::DestinationInUse { route: route.name.clone() };
                return Err(ItemError::new(&used.name, "name", problem));
            }
        }
        Ok(())
    }

    fn check_count(&self) -> Result<(), ConfigurationError> {
        let count = resulting_items(self.routes, &self.newer.routes).count()
            + resulting_items(self.destinations, &self.newer.destinations).count()
            + usize::from(self.newer.limits.is_some() || self.has_limits);
        if count > MAX_ITEMS {
            return Err(ItemError::new("body", "items", ItemProblem::TooMany { count, max: MAX_ITEMS }));
        }
        Ok(())
    }
}
