//! The body of the call that makes a plan's changes, and what a control node would say of it.
use super::change::{Change, Plan};
use crate::items::{ItemFault, ItemKind, Position};
use serde_json::{json, Map, Value};
use silvercross_control_store::State;
use silvercross_mesh_config::{parse_change, Configuration};
use std::collections::BTreeMap;

fn body<'c>(changes: impl Iterator<Item = &'c Change>) -> Value {
    let (mut deliver, mut withdraw) = (Map::new(), json!({ "routes": [], "destinations": [] }));
    let (mut destinations, mut hosts) = (Vec::new(), BTreeMap::<&str, Vec<Value>>::new());
    for change in changes {
        let item = &change.item;
        let Some(fields) = &item.fields else {
            let list = if item.kind == ItemKind::Route { "routes" } else { "destinations" };
            if let Some(list) = withdraw[list].as_array_mut() {
                list.push(json!({ "name": item.name, "edition": change.version }));
            }
            continue;
        };
        let mut fields = fields.clone();
        fields.insert("edition".to_string(), json!(change.version));
        match item.kind {
            ItemKind::Destination => destinations.push(Value::Object(fields)),
            ItemKind::Limits => drop(deliver.insert("sizeLimits".to_string(), Value::Object(fields))),
            ItemKind::Route => hosts.entry(&item.virtual_host).or_default().push(Value::Object(fields)),
        }
    }
    deliver.insert("destinations".to_string(), Value::Array(destinations));
    let hosts = hosts.into_iter().map(|(host, routes)| json!({ "depot": host, "lanes": routes }));
    deliver.insert("depots".to_string(), hosts.collect());
    json!({ "deliver": deliver, "withdraw": withdraw })
}

impl Plan {
    /// The body of the call that makes all changes.
    pub(crate) fn patch(&self) -> Value {
        body(self.changes())
    }
}

/// Faults of single items.
fn faults_of_items(plan: &Plan) -> Vec<ItemFault> {
    let mut faults = Vec::new();
    for change in plan.changes() {
        if let Err(fault) = parse_change(body([change].into_iter()).to_string().as_bytes()) {
            let position = change.item.position_of(&fault.key);
            faults.push(ItemFault { position, reason: fault.to_string() });
        }
    }
    faults
}

/// Why a control node with this configuration would reject the whole change.
fn rejection(plan: &Plan, configuration: &Value) -> Option<String> {
    let everything = json!({ "deliver": configuration });
    let mut in_force = Configuration::default();
    let known = parse_change(everything.to_string().as_bytes()).map(|change| in_force.apply(&change));
    match parse_change(plan.patch().to_string().as_bytes()) {
        Err(fault) => Some(fault.to_string()),
        Ok(change) if matches!(known, Ok(Ok(_))) => {
            in_force.apply(&change).err().map(|rejected| rejected.reason)
        }
        Ok(_) => None,
    }
}

/// The item and field that a rejection names.
struct Named<'r> {
    item: &'r str,
    field: &'r str,
}

fn named(reason: &str) -> Named<'_> {
    let rest = reason.strip_prefix("item ").unwrap_or(reason);
    let (item, rest) = rest.split_once(", key ").unwrap_or((rest, ""));
    Named { item, field: rest.split(':').next().unwrap_or_default() }
}

/// All for which a control node with this configuration would reject the plan.
pub(crate) fn faults_of(plan: &Plan, configuration: &Value) -> Vec<ItemFault> {
    let faults = faults_of_items(plan);
    if !faults.is_empty() {
        return faults;
    }
    let Some(reason) = rejection(plan, configuration) else { return faults };
    let named = named(&reason);
    let line = plan.lines.iter().find(|line| line.item.name == named.item);
    let position = line.map_or(Position::START, |line| line.item.position_of(named.field));
    vec![ItemFault { position, reason }]
}
