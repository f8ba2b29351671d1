//! A plan in words: what changes, and afterwards what of it is not in force.
use super::change::{Change, Plan, Step};
use super::compare::differences;
use crate::items::{items_of, Item, VIRTUAL_HOST_KEY};
use serde_json::Value;
use std::collections::BTreeMap;

fn lines_of(change: &Change) -> Vec<String> {
    let (kind, name, version) = (change.item.kind.word(), &change.item.name, change.version);
    let before = change.version_before.map_or_else(|| "-".to_string(), |before| before.to_string());
    let mut lines = Vec::new();
    match &change.step {
        Step::Same => {}
        Step::New => {
            lines.push(format!("+ {kind} {name} (edition {version})"));
            if !change.item.virtual_host.is_empty() {
                lines.push(format!("    {VIRTUAL_HOST_KEY}: {}", change.item.virtual_host));
            }
            let fields = change.item.fields.iter().flatten().filter(|(field, _)| *field != "name");
            lines.extend(fields.map(|(field, value)| format!("    {field}: {value}")));
        }
        Step::Changed(fields) => {
            lines.push(format!("~ {kind} {name} (edition {before} -> {version})"));
            lines.extend(fields.iter().map(|f| format!("    {}: {} -> {}", f.field, f.before, f.after)));
        }
        Step::Withdrawn => {
            lines.push(format!("- {kind} {name} (edition {before}, dropped at {version})"));
        }
    }
    lines
}

/// Why a change is not in force, where it is not.
fn missing_line(change: &Change, in_force: Option<&Item>) -> Option<String> {
    let (kind, name, version) = (change.item.kind.word(), &change.item.name, change.version);
    let Some(in_force) = in_force else {
        return change.item.fields.is_some().then(|| {
            format!(
                "{kind} {name}: does not stand; it was dropped at edition {version} or above (give a higher edition)"
            )
        });
    };
    let now = in_force.version.unwrap_or(0);
    let is_equal = differences(in_force, &change.item).is_empty();
    let is_overtaken = change.item.fields.is_none() || now > version || !is_equal;
    is_overtaken.then(|| {
        format!("{kind} {name}: edition {now} of another call stands (`silvercrossctl get`, then again)")
    })
}

impl Plan {
    /// The diff, line by line.
    pub(crate) fn diff(&self) -> Vec<String> {
        self.lines.iter().flat_map(lines_of).collect()
    }

    /// What of it is not in force in a configuration that was read, with the likely reason.
    pub(crate) fn missing_from(&self, configuration: &Value) -> Vec<String> {
        let in_force: BTreeMap<_, Item> =
            items_of(configuration).into_iter().map(|item| (item.identity(), item)).collect();
        let missing = |change: &Change| missing_line(change, in_force.get(&change.item.identity()));
        self.changes().filter_map(missing).collect()
    }
}
