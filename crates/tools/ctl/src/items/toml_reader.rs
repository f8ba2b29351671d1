//! Reads a TOML file of items; every fault with its line and column.
use super::item::{Item, ItemFault, ItemKind, Position};
use super::key_names::mesh_name;
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;
use std::ops::Range;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

type Table<'t> = DeTable<'t>;

struct Reader<'t> {
    text: &'t str,
    faults: Vec<ItemFault>,
    items: Vec<Item>,
}

/// The fields of an item, as far as they were read.
#[derive(Default)]
struct Fields {
    fields: Map<String, Value>,
    positions: BTreeMap<String, Position>,
    virtual_host: String,
    version: Option<u64>,
}

impl Reader<'_> {
    fn fault(&mut self, span: Range<usize>, reason: impl Into<String>) {
        let position = Position::of_byte(self.text, span.start);
        self.faults.push(ItemFault { position, reason: reason.into() });
    }

    fn value(&mut self, value: &Spanned<DeValue>) -> Value {
        match value.get_ref() {
            DeValue::String(text) => json!(text),
            DeValue::Boolean(flag) => json!(flag),
            DeValue::Integer(number) => match i64::from_str_radix(number.as_str(), number.radix()) {
                Ok(number) => json!(number),
                Err(_) => {
                    self.fault(value.span(), "the number is too large (give a smaller one)");
                    Value::Null
                }
            },
            DeValue::Float(number) => {
                match number.as_str().parse::<f64>().ok().filter(|number| number.is_finite()) {
                    Some(number) => json!(number),
                    None => {
                        self.fault(value.span(), "the number is not finite (leave the key out for no bound)");
                        Value::Null
                    }
                }
            }
            DeValue::Datetime(time) => json!(time.to_string()),
            DeValue::Array(list) => Value::Array(list.iter().map(|element| self.value(element)).collect()),
            DeValue::Table(table) => Value::Object(
                table.iter().map(|(key, value)| (key.get_ref().to_string(), self.value(value))).collect(),
            ),
        }
    }

    fn table<'v, 't>(&mut self, name: &str, value: &'v Spanned<DeValue<'t>>) -> Option<&'v Table<'t>> {
        match value.get_ref() {
            DeValue::Table(table) => Some(table),
            _ => {
                self.fault(
                    value.span(),
                    format!("{name} is not a table (write [{name}.NAME] and its keys below)"),
                );
                None
            }
        }
    }

    fn field(&mut self, key: &str, value: &Spanned<DeValue>, into: &mut Fields) {
        match key {
            "edition" => match self.value(value).as_u64() {
                Some(version) => into.version = Some(version),
                None => self.fault(
                    value.span(),
                    "edition is no whole number from 0 on (leave it out to have it raised)",
                ),
            },
            "depot" => match value.get_ref() {
                DeValue::String(host) => into.virtual_host = host.to_string(),
                _ => self.fault(value.span(), "`depot` is not text (give the host)"),
            },
            "split" => {
                let Some(shares) = self.table("split", value) else { return };
                let shares: Vec<Value> = shares
                    .iter()
                    .map(|(name, share)| json!({ "destination": name.get_ref(), "share": self.value(share) }))
                    .collect();
                into.fields.insert("split".to_string(), Value::Array(shares));
            }
            _ => {
                let value = self.value(value);
                into.fields.insert(mesh_name(key), value);
            }
        }
    }

    fn item(&mut self, kind: ItemKind, name: &str, span: Range<usize>, table: &Table) {
        let known = kind.file_keys();
        let mut read = Fields::default();
        for (key, value) in table {
            let word = key.get_ref().as_ref();
            if !known.contains(&word) {
                let known = known.join(", ");
                self.fault(key.span(), format!("{word} is no key of a {} (one of {known})", kind.word()));
                continue;
            }
            let position = Position::of_byte(self.text, value.span().start);
            read.positions.insert(mesh_name(word), position);
            self.field(word, value, &mut read);
        }
        let position = Position::of_byte(self.text, span.start);
        if kind == ItemKind::Route && read.virtual_host.is_empty() && !read.positions.contains_key("depot") {
            self.fault(span, format!("route {name}: `depot` is missing (give the host)"));
        }
        if kind != ItemKind::Limits {
            read.fields.insert("name".to_string(), json!(name));
        }
        self.items.push(Item {
            kind,
            name: name.to_string(),
            virtual_host: read.virtual_host,
            fields: Some(read.fields),
            version: read.version,
            position,
            field_positions: read.positions,
        });
    }

    fn withdrawn(&mut self, kind: ItemKind, name: String, version: Option<u64>, span: Range<usize>) {
        let position = Position::of_byte(self.text, span.start);
        self.items.push(Item::withdrawn(kind, name, version, position));
    }

    fn withdrawals(&mut self, kind: ItemKind, value: &Spanned<DeValue>) {
        match value.get_ref() {
            DeValue::Array(names) => {
                for name in names {
                    match name.get_ref() {
                        DeValue::String(text) => self.withdrawn(kind, text.to_string(), None, name.span()),
                        _ => self.fault(name.span(), "is not a name (give names in quotes)"),
                    }
                }
            }
            DeValue::Table(names) => {
                for (name, version) in names {
                    let number = self.value(version).as_u64();
                    if number.is_none() {
                        self.fault(version.span(), "is no edition (give a whole number, or a list of names)");
                    }
                    self.withdrawn(kind, name.get_ref().to_string(), number, name.span());
                }
            }
            _ => self.fault(value.span(), "is no list of names (write [\"name\", ...])"),
        }
    }

    fn named_items(&mut self, kind: ItemKind, key: &str, value: &Spanned<DeValue>) {
        let Some(items) = self.table(key, value) else { return };
        for (name, item) in items {
            let Some(table) = self.table(&format!("{key}.{}", name.get_ref()), item) else { continue };
            self.item(kind, name.get_ref(), name.span(), table);
        }
    }

    fn withdraw_table(&mut self, value: &Spanned<DeValue>) {
        let Some(table) = self.table("withdraw", value) else { return };
        for (key, value) in table {
            match key.get_ref().as_ref() {
                "routes" => self.withdrawals(ItemKind::Route, value),
                "destinations" => self.withdrawals(ItemKind::Destination, value),
                other => {
                    self.fault(key.span(), format!("{other} can't be dropped (routes or destinations)"));
                }
            }
        }
    }

    fn file(&mut self, root: &Table) {
        for (key, value) in root {
            match key.get_ref().as_ref() {
                word @ "destinations" => self.named_items(ItemKind::Destination, word, value),
                word @ "routes" => self.named_items(ItemKind::Route, word, value),
                "limits" => {
                    if let Some(table) = self.table("limits", value) {
                        self.item(ItemKind::Limits, "sizeLimits", key.span(), table);
                    }
                }
                "withdraw" => self.withdraw_table(value),
                other => {
                    let reason = format!("{other} is not known (destinations, routes, limits or withdraw)");
                    self.fault(key.span(), reason);
                }
            }
        }
    }
}

/// Read a file's text.
///
/// # Errors
/// All faults, in the file's order.
pub(crate) fn read(text: &str) -> Result<Vec<Item>, Vec<ItemFault>> {
    let root = DeTable::parse(text).map_err(|error| {
        let start = error.span().map_or(0, |span| span.start);
        vec![ItemFault { position: Position::of_byte(text, start), reason: error.message().to_string() }]
    })?;
    let mut reader = Reader { text, faults: Vec::new(), items: Vec::new() };
    reader.file(root.get_ref());
    if reader.faults.is_empty() {
        reader.items.sort_by_key(|item| item.position);
        Ok(reader.items)
    } else {
        reader.faults.sort_by_key(|fault| fault.position);
        Err(reader.faults)
    }
}
