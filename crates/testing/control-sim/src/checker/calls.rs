//! The rules of what operators heard: no stale read, nothing acknowledged twice under one version, no rejection without a
//! reason.

use crate::history::{Answer, Operation, RejectionReason, RequestedItem, FIRST_ORDER_NAME};
use crate::violation::Violation;
use silvercross_time::Instant;
use std::collections::BTreeMap;

/// The lowest version of an item that a read may still find, and what it follows from.
struct Floor<'o> {
    version: u64,
    known: &'o Operation,
}

/// Raises the floors by what an operation has shown to be in force.
fn raise_floors<'o>(floors: &mut BTreeMap<u8, Floor<'o>>, known: &'o Operation) {
    let shown: Vec<(u8, u64)> = match &known.answer {
        Answer::Committed { .. } => known.items.iter().map(|item| (item.name, item.version)).collect(),
        Answer::Value(items) => items.iter().map(|(name, state)| (*name, state.version)).collect(),
        _ => Vec::new(),
    };
    for (name, version) in shown {
        if floors.get(&name).is_none_or(|floor| floor.version < version) {
            floors.insert(name, Floor { version, known });
        }
    }
}

/// A read sees whatever was acknowledged or read before it was sent.
pub(super) fn check_reads(operations: &[&Operation]) -> Result<(), Box<Violation>> {
    let mut answered: Vec<(Instant, &Operation)> =
        operations.iter().filter_map(|operation| Some((operation.answered_at?, *operation))).collect();
    answered.sort_by_key(|(answered_at, _)| *answered_at);
    let mut answered = answered.into_iter().peekable();
    let is_read = |operation: &&Operation| matches!(operation.answer, Answer::Value(_));
    let mut reads: Vec<&Operation> = operations.iter().copied().filter(is_read).collect();
    reads.sort_by_key(|read| read.invoked_at);
    let mut floors = BTreeMap::new();
    for read in reads {
        while let Some((_, known)) = answered.next_if(|(answered_at, _)| *answered_at < read.invoked_at) {
            raise_floors(&mut floors, known);
        }
        let Answer::Value(items) = &read.answer else { continue };
        for (name, floor) in &floors {
            if items.get(name).is_none_or(|state| state.version < floor.version) {
                let (known, read) = (floor.known.clone(), read.clone());
                return Err(Box::new(Violation::StaleRead { known, read }));
            }
        }
    }
    Ok(())
}

/// An acknowledged call.
#[derive(Clone, Copy)]
struct Acknowledged<'o> {
    at: Instant,
    operation: &'o Operation,
}

/// The content that a call asks for under a version.
fn requested_content(operation: &Operation, name: u8, version: u64) -> Option<u64> {
    let is_meant = |item: &&RequestedItem| (item.name, item.version) == (name, version);
    operation.items.iter().find(is_meant).map(|item| item.content)
}

/// No call changes the state twice, and two contents of one version are not both acknowledged, unless the second came after a
/// later version.
pub(super) fn check_acknowledged_once(operations: &[&Operation]) -> Result<(), Box<Violation>> {
    let mut acknowledged: BTreeMap<(u8, u64), Vec<Acknowledged>> = BTreeMap::new();
    for operation in operations.iter().copied().filter(|operation| operation.is_committed()) {
        let Some(at) = operation.answered_at else { continue };
        for item in operation.items.iter().filter(|item| item.name < FIRST_ORDER_NAME) {
            let key = (item.name, item.version);
            acknowledged.entry(key).or_default().push(Acknowledged { at, operation });
        }
    }
    for ((name, version), all) in &acknowledged {
        let changed_alone = |one: &&Acknowledged| {
            one.operation.items.len() == 1
                && matches!(one.operation.answer, Answer::Committed { changed: true, .. })
        };
        let mut changed = all.iter().filter(changed_alone);
        if let (Some(first), Some(second)) = (changed.next(), changed.next()) {
            let (first, second) = (first.operation.clone(), second.operation.clone());
            return Err(Box::new(Violation::ChangedTwice { first, second }));
        }
        let Some(first) = all.first() else { continue };
        let content = requested_content(first.operation, *name, *version);
        for other in all {
            if requested_content(other.operation, *name, *version) == content {
                continue;
            }
            let until = first.at.max(other.at);
            let is_later_version = |item: &RequestedItem| item.name == *name && item.version > *version;
            let came_between = |operation: &&Operation| {
                operation.invoked_at < until && operation.items.iter().any(is_later_version)
            };
            if !operations.iter().any(came_between) {
                let (first, second) = (first.operation.clone(), other.operation.clone());
                return Err(Box::new(Violation::BothAcknowledged { first, second }));
            }
        }
    }
    Ok(())
}

/// When each call was first acknowledged.
fn first_acknowledged(operations: &[&Operation]) -> BTreeMap<u64, Instant> {
    let mut first = BTreeMap::new();
    for operation in operations.iter().filter(|operation| operation.is_committed()) {
        let at = operation.answered_at.unwrap_or(Instant::MAX);
        let known = first.entry(operation.call_id).or_insert(at);
        *known = at.min(*known);
    }
    first
}

/// Whether another call asks, before this one was answered, for another content of one of its versions.
fn has_rival(operation: &Operation, operations: &[&Operation]) -> bool {
    let answered_at = operation.answered_at.unwrap_or(Instant::MAX);
    let conflicts = |a: &RequestedItem| {
        let is_other =
            |b: &RequestedItem| (a.name, a.version) == (b.name, b.version) && a.content != b.content;
        operation.items.iter().any(is_other)
    };
    let is_rival = |other: &&Operation| other.invoked_at <= answered_at && other.items.iter().any(conflicts);
    operations.iter().any(is_rival)
}

/// Whether all that a call needs was acknowledged before it was sent, and nobody drops it.
fn is_surely_valid(operation: &Operation, operations: &[&Operation]) -> bool {
    let is_surely_there = |needed: u8| {
        let acknowledged_before = |other: &&Operation| {
            other.is_committed()
                && other.answered_at.is_some_and(|at| at < operation.invoked_at)
                && other.items.iter().any(|item| item.name == needed && item.content != 0)
        };
        let drops =
            |other: &&Operation| other.items.iter().any(|item| item.name == needed && item.content == 0);
        operations.iter().any(acknowledged_before) && !operations.iter().any(drops)
    };
    operation.items.iter().map(|item| item.needs).filter(|needed| *needed != 0).all(is_surely_there)
}

/// A call that was acknowledged is not rejected when it is sent again; a conflict needs a rival; a call that needs an item
/// which was acknowledged before, and which nobody drops, is valid.
pub(super) fn check_rejections(operations: &[&Operation]) -> Result<(), Box<Violation>> {
    let acknowledged = first_acknowledged(operations);
    for operation in operations.iter().copied() {
        let Answer::Rejected(reason) = operation.answer else { continue };
        if acknowledged.get(&operation.call_id).is_some_and(|at| *at < operation.invoked_at) {
            return Err(Box::new(Violation::RepeatRejected(operation.clone())));
        }
        match reason {
            RejectionReason::Conflict if !has_rival(operation, operations) => {
                return Err(Box::new(Violation::ConflictWithoutRival(operation.clone())));
            }
            RejectionReason::Invalid if is_surely_valid(operation, operations) => {
                return Err(Box::new(Violation::ValidCallRejected(operation.clone())));
            }
            _ => {}
        }
    }
    Ok(())
}
