//! The rules of orders, which have no versions: one that its operator had given up before a later one was sent is not carried
//! out once that one is acknowledged, and what was acknowledged is in its revision.

use super::values::Values;
use crate::history::{Answer, ObservedItems, Operation, FIRST_ORDER_NAME};
use crate::violation::Violation;
use silvercross_time::Instant;
use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

/// An order, by its name and content.
type Order = (u8, u64);

/// When the last sending of each order had ended: [`Instant::MAX`] while one is open.
fn last_ends(operations: &[&Operation]) -> BTreeMap<Order, Instant> {
    let mut ends = BTreeMap::new();
    for operation in operations {
        for item in operation.items.iter().filter(|item| item.name >= FIRST_ORDER_NAME) {
            let end = operation.ended_at.unwrap_or(Instant::MAX);
            let known = ends.entry((item.name, item.content)).or_insert(end);
            *known = end.max(*known);
        }
    }
    ends
}

/// Holds the orders in force against those that were acknowledged.
pub(super) fn check(operations: &[&Operation], values: &Values) -> Result<(), Box<Violation>> {
    let ends = last_ends(operations);
    let is_order = |operation: &&&Operation| operation.items.iter().any(|item| item.name >= FIRST_ORDER_NAME);
    for operation in operations.iter().filter(is_order) {
        let Answer::Committed { revision, .. } = &operation.answer else { continue };
        for item in &operation.items {
            let content = |value: &ObservedItems| value.get(&item.name).map(|s| s.content);
            if values.get(revision).is_some_and(|value| content(value) != Some(item.content)) {
                return Err(Box::new(Violation::OrderNotInForce((*operation).clone())));
            }
            let mut before = item.content;
            for (later, value) in values.range((Excluded(*revision), Unbounded)) {
                let Some(in_force) = content(value) else { continue };
                let had_ended =
                    ends.get(&(item.name, in_force)).is_some_and(|end| *end < operation.invoked_at);
                if in_force != before && had_ended {
                    return Err(Box::new(Violation::OrderAfterLater {
                        acknowledged: (*operation).clone(),
                        revision: *later,
                        content: in_force,
                    }));
                }
                before = in_force;
            }
        }
    }
    Ok(())
}
