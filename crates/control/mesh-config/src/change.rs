//! Parsed calls of an operator.

use bitcode::{Decode, Encode};
use silvercross_config_item::{Entries, Item};
use silvercross_throttle::MemberListChange;

use crate::client_limits::ClientLimits;
use crate::destination::Destination;
use crate::item_version::{ItemKind, ItemVersion};
use crate::route::Route;

/// Everything in a call but members, checked as far as possible without the current configuration. Its size is bounded
/// by [`MAX_BODY_BYTES`](crate::MAX_BODY_BYTES).
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ConfigurationChange {
    pub(crate) routes: Entries<Route>,
    pub(crate) destinations: Entries<Destination>,
    pub(crate) limits: Option<Item<ClientLimits>>,
}

/// One call of the operator, members included.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ConfigurationUpdate {
    /// Everything but members.
    pub configuration: ConfigurationChange,
    /// Members and how requests name them.
    pub members: MemberListChange,
}

impl ConfigurationChange {
    /// The change without these items.
    pub(crate) fn without(&self, items: &[ItemVersion<'_>]) -> ConfigurationChange {
        let mut remaining = self.clone();
        for item in items {
            match item.kind {
                ItemKind::Route => remaining.routes.remove(item.name).is_some(),
                ItemKind::Destination => remaining.destinations.remove(item.name).is_some(),
                _ => false,
            };
        }
        remaining
    }

    /// The versions of all items that the call sets or withdraws.
    pub(crate) fn item_versions(&self) -> impl Iterator<Item = ItemVersion<'_>> {
        let routes = self.routes.iter().map(|(name, entry)| ItemVersion::of_route(name, entry));
        let destinations =
            self.destinations.iter().map(|(name, entry)| ItemVersion::of_destination(name, entry));
        routes.chain(destinations).chain(self.limits.as_ref().map(ItemVersion::of_limits))
    }

    /// Whether the call contains no items.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of items that the call sets or withdraws.
    pub fn len(&self) -> usize {
        self.routes.len() + self.destinations.len() + usize::from(self.limits.is_some())
    }
}
