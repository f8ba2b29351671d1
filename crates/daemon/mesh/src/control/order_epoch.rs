//! The epoch in the target of an order whose caller was asked again. Part of the protocol between a node and itself: callers
//! follow the redirect as it is.
use super::response::query_parameter;
use silvercross_control_store::Epoch;

/// Query parameter of the only epoch under which an order is to be carried out: round and owner.
const EPOCH_PARAMETER: &str = "epoch";

/// The epoch as a further parameter of a query.
pub(super) fn epoch_parameter(epoch: Epoch) -> String {
    format!("&{EPOCH_PARAMETER}={}.{}", epoch.round, epoch.owner)
}

/// The epoch in a target. One that can't be read is none: its order is treated as a new one.
pub(super) fn epoch_of(target: &str) -> Option<Epoch> {
    let (round, owner) = query_parameter(target, EPOCH_PARAMETER)?.split_once('.')?;
    Some(Epoch { round: round.parse().ok()?, owner: owner.parse().ok()? })
}
