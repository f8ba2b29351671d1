//! Compares a file's items with those in force and gives each change its version.
use super::change::{Change, FieldChange, Plan, Step};
use super::patch::faults_of;
use crate::items::{items_of, Item, ItemFault, VIRTUAL_HOST_KEY};
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;

/// Whether two values mean the same: numbers are compared as numbers, so that 5 is 5.0.
fn same(a: &Value, b: &Value) -> bool {
    match (a, b) {
        (Value::Number(x), Value::Number(y)) => x.as_f64() == y.as_f64(),
        (Value::Array(x), Value::Array(y)) => x.len() == y.len() && x.iter().zip(y).all(|(x, y)| same(x, y)),
        (Value::Object(x), Value::Object(y)) => {
            x.len() == y.len() && x.iter().all(|(key, x)| y.get(key).is_some_and(|y| same(x, y)))
        }
        _ => a == b,
    }
}

/// The fields in which two items differ.
pub(crate) fn differences(old: &Item, new: &Item) -> Vec<FieldChange> {
    let none = Map::new();
    let (before, after) = (old.fields.as_ref().unwrap_or(&none), new.fields.as_ref().unwrap_or(&none));
    let mut fields: Vec<&String> = before.keys().chain(after.keys()).collect();
    fields.sort();
    fields.dedup();
    let mut found = Vec::new();
    if old.virtual_host != new.virtual_host {
        let (before, after) = (json!(old.virtual_host), json!(new.virtual_host));
        found.push(FieldChange { field: VIRTUAL_HOST_KEY.to_string(), before, after });
    }
    for field in fields {
        let value_in = |map: &Map<String, Value>| map.get(field).cloned().unwrap_or(Value::Null);
        let (before, after) = (value_in(before), value_in(after));
        if !same(&before, &after) {
            found.push(FieldChange { field: field.clone(), before, after });
        }
    }
    found
}

fn step(item: &Item, in_force: Option<&Item>) -> Step {
    match (&item.fields, in_force) {
        (None, None) => Step::Same,
        (None, Some(_)) => Step::Withdrawn,
        (Some(_), None) => Step::New,
        (Some(_), Some(in_force)) => {
            let changed = differences(in_force, item);
            let is_raised = item.version.is_some() && item.version > in_force.version;
            if changed.is_empty() && !is_raised {
                Step::Same
            } else {
                Step::Changed(changed)
            }
        }
    }
}

/// What becomes of an item; a fault where the version it gives is not above the one in force.
fn change(item: Item, in_force: Option<&Item>) -> (Change, Option<ItemFault>) {
    let version_before = in_force.and_then(|in_force| in_force.version);
    let step = step(&item, in_force);
    let version = match &step {
        Step::Same => version_before.or(item.version).unwrap_or(0),
        _ => item.version.unwrap_or(version_before.map_or(1, |before| before.saturating_add(1))),
    };
    let fault = version_before.filter(|before| step != Step::Same && version <= *before).map(|before| {
        let reason = format!(
            "{} {}: edition {version} is not above {before}, which stands with other content (raise it, or leave it out)",
            item.kind.word(),
            item.name
        );
        ItemFault { position: item.position_of("edition"), reason }
    });
    (Change { item, step, version, version_before }, fault)
}

/// Compare a file's items with the configuration in force.
///
/// # Errors
/// All faults for which a control node would reject the change, in the file's order.
pub(crate) fn plan(items: Vec<Item>, configuration: &Value) -> Result<Plan, Vec<ItemFault>> {
    let in_force: BTreeMap<_, Item> =
        items_of(configuration).into_iter().map(|item| (item.identity(), item)).collect();
    let (mut plan, mut faults) = (Plan::default(), Vec::new());
    for item in items {
        let (change, fault) = {
            let known = in_force.get(&item.identity());
            change(item, known)
        };
        plan.lines.push(change);
        faults.extend(fault);
    }
    if faults.is_empty() {
        faults = faults_of(&plan, configuration);
    }
    if faults.is_empty() {
        return Ok(plan);
    }
    faults.sort_by_key(|fault| fault.position);
    faults.dedup();
    Err(faults)
}
