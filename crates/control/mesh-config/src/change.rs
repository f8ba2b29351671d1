//! What one call of the operator says.

use bitcode::{Decode, Encode};
use silvercross_config_item::{Entries, Item};
use silvercross_throttle::MemberListChange;

use crate::client_limits::ClientLimits;
use crate::destination::Destination;
use crate::item_version::{ItemKind, ItemVersion};
use crate::route::Route;

/// What a call says of everything but members, checked as far as it can be without the present configuration. Holds at
/// most what a body of [`MAX_BODY_BYTES`](crate::MAX_BODY_BYTES) says.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ConfigurationChange {
    pub(crate) routes: Entries<Route>,
    pub(crate) destinations: Entries<Destination>,
    pub(crate) limits: Option<Item<ClientLimits>>,
}

/// One call of the operator that says something of members.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ConfigurationUpdate {
    /// What it says of everything else.
    pub configuration: ConfigurationChange,
    /// What it says of members.
    pub members: MemberListChange,
}

impl ConfigurationChange {
    /// The change without these items.
    pub(crate) fn without(&self, items: &[ItemVersion<'_>]) -> ConfigurationChange {
        let mut rest = self.clone();
        for item in items {
            match item.kind {
                ItemKind::Route => rest.routes.remove(item.name).is_some(),
                ItemKind::Destination => rest.destinations.remove(item.name).is_some(),
                _ => false,
            };
        }
        rest
    }

    /// The versions of all items it sets or withdraws.
    pub(crate) fn item_versions(&self) -> impl Iterator<Item = ItemVersion<'_>> {
        let routes = self.routes.iter().map(|(name, entry)| ItemVersion::of_route(name, entry));
        let destinations =
            self.destinations.iter().map(|(name, entry)| ItemVersion::of_destination(name, entry));
        routes.chain(destinations).chain(self.limits.as_ref().map(ItemVersion::of_limits))
    }

    /// Whether the call names no item.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How many items the call sets or withdraws.
    pub fn len(&self) -> usize {
        self.routes.len() + self.destinations.len() + usize::from(self.limits.is_some())
    }
}
