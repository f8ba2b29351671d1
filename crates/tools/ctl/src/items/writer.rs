//! Writes items as a TOML file that `apply` reads back.
use super::item::{Item, ItemKind};
use super::key_names::file_key;
use serde_json::Value;
use std::fmt::Write as _;

fn literal(value: &Value) -> String {
    match value {
        Value::String(text) => toml::Value::String(text.clone()).to_string(),
        Value::Array(list) => format!("[{}]", list.iter().map(literal).collect::<Vec<_>>().join(", ")),
        other => other.to_string(),
    }
}

/// A name as a TOML key, in quotes only where it has to be.
fn toml_key(name: &str) -> String {
    let is_bare = !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_".contains(&b));
    if is_bare {
        name.to_string()
    } else {
        toml::Value::String(name.to_string()).to_string()
    }
}

fn split(shares: &Value) -> Option<String> {
    let share = |share: &Value| {
        let destination = share["destination"].as_str()?;
        Some(format!("{} = {}", toml_key(destination), share["share"]))
    };
    let shares: Option<Vec<String>> = shares.as_array()?.iter().map(share).collect();
    Some(format!("{{ {} }}", shares?.join(", ")))
}

fn header(item: &Item) -> String {
    match item.kind {
        ItemKind::Destination => format!("[destinations.{}]", toml_key(&item.name)),
        ItemKind::Limits => "[limits]".to_string(),
        ItemKind::Route => {
            let host = literal(&Value::from(item.virtual_host.as_str()));
            format!("[routes.{}]\ndepot = {host}", toml_key(&item.name))
        }
    }
}

/// The items as a file. `None` where one has a field that the file has no key for.
pub(crate) fn write(items: &[Item]) -> Option<String> {
    let mut text = String::new();
    for item in items {
        let fields = item.fields.as_ref()?;
        // Writing to a string can't fail.
        let _ = writeln!(text, "{}", header(item));
        for (name, value) in fields.iter().filter(|(name, value)| *name != "name" && !value.is_null()) {
            let key = file_key(name);
            if !item.kind.file_keys().contains(&key.as_str()) {
                return None;
            }
            let literal = if key == "split" { split(value)? } else { literal(value) };
            let _ = writeln!(text, "{key} = {literal}");
        }
        if let Some(version) = item.version {
            let _ = writeln!(text, "edition = {version}");
        }
        text.push('\n');
    }
    Some(text)
}
