//! Reads items from JSON: a file with the body of `Config.Patch`, or what `Config.Get` gives.
use super::item::{Item, ItemFault, ItemKind, Position};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// The name under which size limits are an item; the wire's key for them.
const SIZE_LIMITS: &str = "sizeLimits";

/// Where a name is first given as text.
fn position_of_text(text: &str, name: &str) -> Position {
    let quoted = Value::from(name).to_string();
    text.find(&quoted).map_or(Position::START, |at| Position::of_byte(text, at))
}

fn elements(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

/// Give every item a version where it has none.
fn fill_versions(call: &mut Value) {
    fn fill(value: &mut Value) {
        if let Some(map) = value.as_object_mut() {
            map.entry("edition").or_insert(json!(0));
        }
    }
    fn each(value: Option<&mut Value>, change: &mut dyn FnMut(&mut Value)) {
        value.and_then(Value::as_array_mut).into_iter().flatten().for_each(change);
    }
    if let Some(deliver) = call.get_mut("deliver") {
        each(deliver.get_mut("destinations"), &mut fill);
        deliver.get_mut(SIZE_LIMITS).into_iter().for_each(fill);
        each(deliver.get_mut("depots"), &mut |host| each(host.get_mut("lanes"), &mut fill));
    }
    if let Some(withdraw) = call.get_mut("withdraw") {
        each(withdraw.get_mut("routes"), &mut fill);
        each(withdraw.get_mut("destinations"), &mut fill);
    }
}

/// Read a file's text.
///
/// # Errors
/// The first fault that the mesh itself would find in its form.
pub(crate) fn read(text: &str) -> Result<Vec<Item>, Vec<ItemFault>> {
    let root: Value = serde_json::from_str(text).map_err(|error| {
        let position = Position { line: error.line(), column: error.column().max(1) };
        vec![ItemFault { position, reason: error.to_string() }]
    })?;
    let is_call = root.get("deliver").is_some() || root.get("withdraw").is_some();
    let call = if is_call { root } else { json!({ "deliver": root }) };
    let mut filled = call.clone();
    fill_versions(&mut filled);
    if let Err(fault) = silvercross_mesh_config::parse_change(filled.to_string().as_bytes()) {
        let position = position_of_text(text, &fault.item);
        return Err(vec![ItemFault { position, reason: fault.to_string() }]);
    }
    let mut items = items_of(&call["deliver"]);
    for (kind, key) in [(ItemKind::Route, "routes"), (ItemKind::Destination, "destinations")] {
        for withdrawn in elements(&call["withdraw"][key]) {
            let name = withdrawn["name"].as_str().unwrap_or_default().to_string();
            items.push(Item::withdrawn(kind, name, withdrawn["edition"].as_u64(), Position::START));
        }
    }
    items.iter_mut().for_each(|item| item.position = position_of_text(text, &item.name));
    Ok(items)
}

fn version(value: &Value) -> Option<u64> {
    value.as_u64().or(value.as_f64().map(|number| number as u64))
}

fn item(kind: ItemKind, virtual_host: &str, value: &Value) -> Option<Item> {
    let mut fields = value.as_object()?.clone();
    let version = fields.remove("edition").as_ref().and_then(version);
    // The order of shares means nothing.
    if let Some(split) = fields.get_mut("split").and_then(Value::as_array_mut) {
        split.sort_by_key(|share| share["destination"].as_str().unwrap_or_default().to_string());
    }
    let name =
        if kind == ItemKind::Limits { SIZE_LIMITS } else { value["name"].as_str().unwrap_or_default() };
    Some(Item {
        kind,
        name: name.to_string(),
        virtual_host: virtual_host.to_string(),
        fields: Some(fields),
        version,
        position: Position::START,
        field_positions: BTreeMap::new(),
    })
}

/// The items of a configuration as the mesh gives it.
pub(crate) fn items_of(configuration: &Value) -> Vec<Item> {
    let mut items: Vec<Item> =
        elements(&configuration["destinations"]).filter_map(|d| item(ItemKind::Destination, "", d)).collect();
    items.extend(item(ItemKind::Limits, "", &configuration[SIZE_LIMITS]));
    for host in elements(&configuration["depots"]) {
        let name = host["depot"].as_str().unwrap_or_default();
        items.extend(elements(&host["lanes"]).filter_map(|route| item(ItemKind::Route, name, route)));
    }
    items
}
