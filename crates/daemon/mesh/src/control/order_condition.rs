//! The condition in the target of an order whose caller was asked again: it is carried out only if nothing was acknowledged
//! since. Part of the protocol between a node and itself: callers follow the redirect as it is.
use super::query::query_parameter;
use silvercross_control_store::Epoch;

/// Query parameter of the only epoch under which an order is to be carried out: round and owner.
const EPOCH_PARAMETER: &str = "epoch";
/// Query parameter of the only version of an item that an order is to change.
const VERSION_PARAMETER: &str = "edition";

/// What has to hold still when the order is carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OrderCondition {
    /// The key has this epoch.
    Epoch(Epoch),
    /// The item has this version.
    ItemVersion(u64),
}

impl OrderCondition {
    /// The condition as a further parameter of a query.
    pub(super) fn query_suffix(self) -> String {
        match self {
            OrderCondition::Epoch(Epoch { round, owner }) => format!("&{EPOCH_PARAMETER}={round}.{owner}"),
            OrderCondition::ItemVersion(version) => format!("&{VERSION_PARAMETER}={version}"),
        }
    }
}

/// The epoch in a target. One that can't be read is none: its order is treated as a new one.
pub(super) fn epoch_of(target: &str) -> Option<Epoch> {
    let (round, owner) = query_parameter(target, EPOCH_PARAMETER)?.split_once('.')?;
    Some(Epoch { round: round.parse().ok()?, owner: owner.parse().ok()? })
}

/// The version in a target, likewise.
pub(super) fn item_version_of(target: &str) -> Option<u64> {
    query_parameter(target, VERSION_PARAMETER)?.parse().ok()
}
