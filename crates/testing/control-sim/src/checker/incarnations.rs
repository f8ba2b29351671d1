//! The rules of each process: it never goes back, and reports itself ready only with all that was acknowledged before its
//! start, or after the wait limit.

use super::values::covers;
use crate::history::{
    AppliedValue, History, Incarnation, ObservedItems, Operation, ReadyReason, RequestedItem,
};
use crate::violation::Violation;
use silvercross_time::Duration;

/// Nobody reports itself ready without proof before this has passed since its start.
pub const READY_WAIT_LIMIT: Duration = Duration::from_secs(8);

/// Holds each process against the operations of a key.
pub(super) fn check(history: &History, operations: &[&Operation], key: usize) -> Result<(), Box<Violation>> {
    for incarnation in &history.incarnations {
        let applied: Vec<&AppliedValue> =
            incarnation.applied.iter().filter(|applied| applied.key == key).collect();
        check_order(incarnation, &applied)?;
        check_readiness(incarnation, &applied, operations)?;
    }
    Ok(())
}

fn check_order(incarnation: &Incarnation, applied: &[&AppliedValue]) -> Result<(), Box<Violation>> {
    for pair in applied.windows(2) {
        let (before, after) = (pair[0], pair[1]);
        if after.revision <= before.revision || !covers(&after.value, &before.value) {
            return Err(Box::new(Violation::WentBack {
                node: incarnation.node,
                before: before.clone(),
                after: after.clone(),
            }));
        }
    }
    Ok(())
}

fn check_readiness(
    incarnation: &Incarnation,
    applied: &[&AppliedValue],
    operations: &[&Operation],
) -> Result<(), Box<Violation>> {
    let Some(ready) = incarnation.ready else { return Ok(()) };
    let is_early = ready.at - incarnation.started_at < READY_WAIT_LIMIT;
    match ready.reason {
        ReadyReason::WaitLimit if is_early => {
            return Err(Box::new(Violation::ReadyTooEarly(incarnation.clone())));
        }
        ReadyReason::WaitLimit | ReadyReason::Configured => return Ok(()),
        ReadyReason::Current => {}
    }
    let nothing = ObservedItems::new();
    let at_ready = applied.iter().rfind(|applied| applied.at <= ready.at);
    let value = at_ready.map_or(&nothing, |applied| &applied.value);
    let is_missing =
        |item: &RequestedItem| value.get(&item.name).is_none_or(|state| state.version < item.version);
    let is_before = |operation: &&&Operation| {
        operation.is_committed() && operation.answered_at.is_some_and(|at| at < incarnation.started_at)
    };
    let missed = operations.iter().filter(is_before).find(|operation| operation.items.iter().any(is_missing));
    missed.map_or(Ok(()), |operation| {
        Err(Box::new(Violation::ReadyWithoutAcknowledged {
            incarnation: incarnation.clone(),
            operation: (*operation).clone(),
            value: value.clone(),
        }))
    })
}
