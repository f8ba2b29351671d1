//! The rules of what was in force: one value a revision, nothing lost between revisions, calls in force as a whole, and
//! everything acknowledged in force from there on.

use crate::history::{Answer, History, ObservedItems, ObservedRevision, Operation, FIRST_ORDER_NAME};
use crate::violation::Violation;
use std::collections::BTreeMap;

/// The values of a key in order of their revisions.
pub(super) type Values = BTreeMap<ObservedRevision, ObservedItems>;

/// Whether a later value has all that an earlier one has, or newer versions of it.
pub(super) fn covers(later: &ObservedItems, earlier: &ObservedItems) -> bool {
    earlier.iter().all(|(name, before)| match later.get(name) {
        Some(after) => after.version > before.version || after == before,
        None => false,
    })
}

/// The values that processes put into force: a revision has one value, and each later one has all that is in the one before.
pub(super) fn by_revision(history: &History, key: usize) -> Result<Values, Box<Violation>> {
    let mut values = Values::new();
    let all_applied = history.incarnations.iter().flat_map(|incarnation| &incarnation.applied);
    let mut first_applied = BTreeMap::new();
    for applied in all_applied.filter(|applied| applied.key == key) {
        let first = *first_applied.entry(applied.revision).or_insert(applied);
        if first.value != applied.value {
            let (first, second) = (first.clone(), applied.clone());
            return Err(Box::new(Violation::TwoValuesOfOneRevision { first, second }));
        }
        values.entry(applied.revision).or_insert_with(|| applied.value.clone());
    }
    for ((earlier, earlier_value), (later, later_value)) in values.iter().zip(values.iter().skip(1)) {
        if !covers(later_value, earlier_value) {
            return Err(Box::new(Violation::LostBetweenRevisions {
                earlier: *earlier,
                earlier_value: earlier_value.clone(),
                later: *later,
                later_value: later_value.clone(),
            }));
        }
    }
    Ok(values)
}

/// Whether all items of a call are in a value, or newer versions of them.
fn is_complete_in(operation: &Operation, value: &ObservedItems) -> bool {
    let is_there = |name: &u8, version| value.get(name).is_some_and(|known| known.version >= version);
    operation.items.iter().all(|item| is_there(&item.name, item.version))
}

/// What is in force was asked for and not rejected, calls are in force as a whole, and a version of an item has one content.
pub(super) fn check_contents(operations: &[&Operation], values: &Values) -> Result<(), Box<Violation>> {
    let mut requested: BTreeMap<(u8, u64, u64), Vec<&Operation>> = BTreeMap::new();
    for operation in operations {
        for item in &operation.items {
            requested.entry((item.name, item.version, item.content)).or_default().push(operation);
        }
    }
    let read = operations.iter().filter_map(|operation| match &operation.answer {
        Answer::Value(items) => Some(items),
        _ => None,
    });
    let mut contents: BTreeMap<(u8, u64), u64> = BTreeMap::new();
    for value in values.values().chain(read) {
        for (&name, state) in value {
            let (version, content) = (state.version, state.content);
            if *contents.entry((name, version)).or_insert(content) != content {
                return Err(Box::new(Violation::TwoContentsOfOneVersion { name, version }));
            }
            let asked_version = if name >= FIRST_ORDER_NAME { 0 } else { version };
            let Some(requests) = requested.get(&(name, asked_version, content)) else {
                return Err(Box::new(Violation::NeverRequested { name, version, content }));
            };
            let operation = || requests[0].clone();
            if requests.iter().all(|request| matches!(request.answer, Answer::Rejected(_))) {
                let value = value.clone();
                return Err(Box::new(Violation::RejectedInForce { operation: operation(), value }));
            }
            if !requests.iter().any(|request| is_complete_in(request, value)) {
                let value = value.clone();
                return Err(Box::new(Violation::PartOfCallInForce { operation: operation(), value }));
            }
        }
    }
    Ok(())
}

/// What was acknowledged is in the value of its revision, or of the first one after it that was seen.
pub(super) fn check_acknowledged(operations: &[&Operation], values: &Values) -> Result<(), Box<Violation>> {
    for operation in operations {
        let Answer::Committed { revision, .. } = &operation.answer else { continue };
        let Some((first, value)) = values.range(*revision..).next() else { continue };
        for item in &operation.items {
            let known = value.get(&item.name).copied().unwrap_or_default();
            let is_other = known.version == item.version && known.content != item.content;
            if known.version < item.version || is_other {
                return Err(Box::new(Violation::AcknowledgedNotInForce {
                    operation: (*operation).clone(),
                    revision: *first,
                    value: value.clone(),
                }));
            }
        }
    }
    Ok(())
}
