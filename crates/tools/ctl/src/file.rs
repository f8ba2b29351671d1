//! Operators' files: items in TOML or JSON, read whole; every fault with its line and column.
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;
use std::ops::Range;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// No file is larger.
pub const LARGEST: u64 = 8 << 20;

/// What an item is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A service.
    Destination,
    /// What a client may send.
    Limits,
    /// Requests of a host and a beginning of the path.
    Route,
}

impl Kind {
    /// The operator's word for it.
    pub fn word(self) -> &'static str {
        match self {
            Kind::Destination => "destination",
            Kind::Limits => "limits",
            Kind::Route => "route",
        }
    }
}

/// A place in a file: line and column from 1 on.
pub type Place = (usize, usize);

/// An item that is to stand, or a name that is to be dropped.
#[derive(Clone, Debug)]
pub struct Wanted {
    /// What it is.
    pub kind: Kind,
    /// Its name.
    pub name: String,
    /// A route's host.
    pub depot: String,
    /// Its fields as the mesh takes them, without the edition; `None`: it is to be dropped.
    pub fields: Option<Map<String, Value>>,
    /// Its edition, where the file gives one.
    pub edition: Option<u64>,
    /// Where it stands in the file.
    pub place: Place,
    /// Where its fields stand.
    pub places: BTreeMap<String, Place>,
}

/// A fault with its place and mend.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Where.
    pub place: Place,
    /// What, and the mend.
    pub why: String,
}

const DESTINATION: [&str; 7] =
    ["health_path", "line_cap", "protocol", "sealed", "cold_s", "cold_rate_s", "edition"];
const LIMITS: [&str; 5] = ["envelope_bytes", "content_bytes", "envelope_s", "idle_s", "edition"];
const ROUTE: [&str; 11] = [
    "depot",
    "lane",
    "kind",
    "deadline_s",
    "target_s",
    "priority",
    "attempts",
    "destination",
    "split",
    "delivery_regions",
    "edition",
];

/// The mesh's word for a field of the file.
pub fn camel(key: &str) -> String {
    if key == "kind" {
        return "routeKind".to_string();
    }
    let mut parts = key.split('_');
    let mut out = parts.next().unwrap_or_default().to_string();
    for part in parts {
        let mut letters = part.chars();
        out.extend(letters.next().map(|c| c.to_ascii_uppercase()));
        out.push_str(letters.as_str());
    }
    out
}

/// The file's word for a field of the mesh.
pub fn snake(key: &str) -> String {
    if key == "routeKind" {
        return "kind".to_string();
    }
    let mut out = String::new();
    for c in key.chars() {
        if c.is_ascii_uppercase() {
            out.push('_');
        }
        out.push(c.to_ascii_lowercase());
    }
    out
}

fn place(text: &str, at: usize) -> Place {
    let before = text.get(..at).unwrap_or(text);
    let line = before.matches('\n').count() + 1;
    let start = before.rfind('\n').map_or(0, |n| n + 1);
    (line, before[start..].chars().count() + 1)
}

struct Reader<'t> {
    text: &'t str,
    faults: Vec<Fault>,
    wanted: Vec<Wanted>,
}

type Table<'t> = DeTable<'t>;

impl Reader<'_> {
    fn fault(&mut self, at: Range<usize>, why: impl Into<String>) {
        let place = place(self.text, at.start);
        self.faults.push(Fault { place, why: why.into() });
    }

    fn value(&mut self, value: &Spanned<DeValue>) -> Value {
        match value.get_ref() {
            DeValue::String(s) => json!(s),
            DeValue::Boolean(b) => json!(b),
            DeValue::Integer(n) => match i64::from_str_radix(n.as_str(), n.radix()) {
                Ok(n) => json!(n),
                Err(_) => {
                    self.fault(value.span(), "the number is too large (give a smaller one)");
                    Value::Null
                }
            },
            DeValue::Float(x) => match x.as_str().parse::<f64>().ok().filter(|x| x.is_finite()) {
                Some(x) => json!(x),
                None => {
                    self.fault(value.span(), "the number is not finite (leave the key out for no bound)");
                    Value::Null
                }
            },
            DeValue::Datetime(d) => json!(d.to_string()),
            DeValue::Array(list) => Value::Array(list.iter().map(|v| self.value(v)).collect()),
            DeValue::Table(t) => {
                Value::Object(t.iter().map(|(k, v)| (k.get_ref().to_string(), self.value(v))).collect())
            }
        }
    }

    fn table<'v, 't>(&mut self, what: &str, value: &'v Spanned<DeValue<'t>>) -> Option<&'v Table<'t>> {
        match value.get_ref() {
            DeValue::Table(table) => Some(table),
            _ => {
                self.fault(
                    value.span(),
                    format!("{what} is not a table (write [{what}.NAME] and its keys below)"),
                );
                None
            }
        }
    }

    fn item(&mut self, kind: Kind, name: &str, at: Range<usize>, table: &Table) {
        let known: &[&str] = match kind {
            Kind::Destination => &DESTINATION,
            Kind::Limits => &LIMITS,
            Kind::Route => &ROUTE,
        };
        let (mut fields, mut places) = (Map::new(), BTreeMap::new());
        let (mut depot, mut edition) = (String::new(), None);
        for (key, value) in table {
            let word = key.get_ref().as_ref();
            if !known.contains(&word) {
                let known = known.join(", ");
                self.fault(key.span(), format!("{word} is no key of a {} (one of {known})", kind.word()));
                continue;
            }
            places.insert(camel(word), place(self.text, value.span().start));
            match word {
                "edition" => match self.value(value).as_u64() {
                    Some(n) => edition = Some(n),
                    None => self.fault(
                        value.span(),
                        "edition is no whole number from 0 on (leave it out to have it raised)",
                    ),
                },
                "depot" => match value.get_ref() {
                    DeValue::String(s) => depot = s.to_string(),
                    _ => self.fault(value.span(), "depot is not text (give the host)"),
                },
                "split" => {
                    let Some(shares) = self.table("split", value) else { continue };
                    let shares = shares
                        .iter()
                        .map(|(k, v)| json!({ "destination": k.get_ref(), "share": self.value(v) }));
                    let shares: Vec<Value> = shares.collect();
                    fields.insert("split".to_string(), Value::Array(shares));
                }
                _ => {
                    let value = self.value(value);
                    fields.insert(camel(word), value);
                }
            }
        }
        let place = place(self.text, at.start);
        if kind == Kind::Route && depot.is_empty() && !places.contains_key("depot") {
            self.fault(at, format!("route {name}: depot is missing (give the host)"));
        }
        if kind != Kind::Limits {
            fields.insert("name".to_string(), json!(name));
        }
        let name = name.to_string();
        self.wanted.push(Wanted { kind, name, depot, fields: Some(fields), edition, place, places });
    }

    fn drops(&mut self, kind: Kind, value: &Spanned<DeValue>) {
        let put = |me: &mut Self, name: String, edition: Option<u64>, at: Range<usize>| {
            let place = place(me.text, at.start);
            let places = BTreeMap::new();
            me.wanted.push(Wanted { kind, name, depot: String::new(), fields: None, edition, place, places });
        };
        match value.get_ref() {
            DeValue::Array(names) => {
                for name in names {
                    match name.get_ref() {
                        DeValue::String(s) => put(self, s.to_string(), None, name.span()),
                        _ => self.fault(name.span(), "is not a name (give names in quotes)"),
                    }
                }
            }
            DeValue::Table(names) => {
                for (name, edition) in names {
                    let number = self.value(edition).as_u64();
                    if number.is_none() {
                        self.fault(edition.span(), "is no edition (give a whole number, or a list of names)");
                    }
                    put(self, name.get_ref().to_string(), number, name.span());
                }
            }
            _ => self.fault(value.span(), "is no list of names (write [\"name\", ...])"),
        }
    }

    fn whole(&mut self, root: &Table) {
        for (key, value) in root {
            match key.get_ref().as_ref() {
                word @ ("destinations" | "routes") => {
                    let kind = if word == "routes" { Kind::Route } else { Kind::Destination };
                    let Some(items) = self.table(word, value) else { continue };
                    for (name, item) in items {
                        let Some(table) = self.table(&format!("{word}.{}", name.get_ref()), item) else {
                            continue;
                        };
                        self.item(kind, name.get_ref(), name.span(), table);
                    }
                }
                "limits" => {
                    if let Some(table) = self.table("limits", value) {
                        self.item(Kind::Limits, "sizeLimits", key.span(), table);
                    }
                }
                "withdraw" => {
                    let Some(table) = self.table("withdraw", value) else { continue };
                    for (key, value) in table {
                        match key.get_ref().as_ref() {
                            "routes" => self.drops(Kind::Route, value),
                            "destinations" => self.drops(Kind::Destination, value),
                            other => self.fault(
                                key.span(),
                                format!("{other} can't be dropped (routes or destinations)"),
                            ),
                        }
                    }
                }
                other => {
                    let why = format!("{other} is not known (destinations, routes, limits or withdraw)");
                    self.fault(key.span(), why);
                }
            }
        }
    }
}

fn read_toml(text: &str) -> Result<Vec<Wanted>, Vec<Fault>> {
    let root = DeTable::parse(text).map_err(|e| {
        let at = e.span().map_or(0, |s| s.start);
        vec![Fault { place: place(text, at), why: e.message().to_string() }]
    })?;
    let mut reader = Reader { text, faults: Vec::new(), wanted: Vec::new() };
    reader.whole(root.get_ref());
    if reader.faults.is_empty() {
        reader.wanted.sort_by_key(|w| w.place);
        Ok(reader.wanted)
    } else {
        reader.faults.sort_by_key(|f| f.place);
        Err(reader.faults)
    }
}

/// Where a name is first given as text.
fn quoted(text: &str, name: &str) -> Place {
    let quoted = Value::from(name).to_string();
    text.find(&quoted).map_or((1, 1), |at| place(text, at))
}

fn read_json(text: &str) -> Result<Vec<Wanted>, Vec<Fault>> {
    let root: Value = serde_json::from_str(text)
        .map_err(|e| vec![Fault { place: (e.line(), e.column().max(1)), why: e.to_string() }])?;
    let call = if root.get("deliver").is_some() || root.get("withdraw").is_some() {
        root
    } else {
        json!({ "deliver": root })
    };
    // All that the mesh itself would say of its form.
    let mut filled = call.clone();
    editions(&mut filled);
    if let Err(f) = silvercross_mesh_config::parse_change(filled.to_string().as_bytes()) {
        return Err(vec![Fault { place: quoted(text, &f.item), why: f.to_string() }]);
    }
    let mut wanted = items(&call["deliver"]);
    for (kind, key) in [(Kind::Route, "routes"), (Kind::Destination, "destinations")] {
        for drop in call["withdraw"][key].as_array().into_iter().flatten() {
            let name = drop["name"].as_str().unwrap_or_default().to_string();
            let (edition, depot, places) = (drop["edition"].as_u64(), String::new(), BTreeMap::new());
            wanted.push(Wanted { kind, name, depot, fields: None, edition, place: (1, 1), places });
        }
    }
    wanted.iter_mut().for_each(|w| w.place = quoted(text, &w.name));
    Ok(wanted)
}

/// Give every item an edition where it has none.
fn editions(call: &mut Value) {
    fn put(value: &mut Value) {
        if let Some(map) = value.as_object_mut() {
            map.entry("edition").or_insert(json!(0));
        }
    }
    let each = |value: Option<&mut Value>, with: &mut dyn FnMut(&mut Value)| {
        value.and_then(Value::as_array_mut).into_iter().flatten().for_each(with);
    };
    if let Some(deliver) = call.get_mut("deliver") {
        each(deliver.get_mut("destinations"), &mut put);
        deliver.get_mut("sizeLimits").into_iter().for_each(put);
        each(deliver.get_mut("depots"), &mut |d| each(d.get_mut("lanes"), &mut put));
    }
    if let Some(withdraw) = call.get_mut("withdraw") {
        each(withdraw.get_mut("routes"), &mut put);
        each(withdraw.get_mut("destinations"), &mut put);
    }
}

/// The items of a configuration as the mesh gives it.
pub fn items(whole: &Value) -> Vec<Wanted> {
    let mut all = Vec::new();
    let mut put = |kind: Kind, depot: &str, value: &Value| {
        let Some(map) = value.as_object() else { return };
        let mut fields = map.clone();
        let edition = fields.remove("edition").and_then(|e| e.as_u64().or(e.as_f64().map(|x| x as u64)));
        // The order of shares means nothing.
        if let Some(split) = fields.get_mut("split").and_then(Value::as_array_mut) {
            split.sort_by_key(|s| s["destination"].as_str().unwrap_or_default().to_string());
        }
        let name = if kind == Kind::Limits { "sizeLimits" } else { map["name"].as_str().unwrap_or_default() };
        all.push(Wanted {
            kind,
            name: name.to_string(),
            depot: depot.to_string(),
            fields: Some(fields),
            edition,
            place: (1, 1),
            places: BTreeMap::new(),
        });
    };
    let list = |v: &Value| v.as_array().cloned().unwrap_or_default();
    list(&whole["destinations"]).iter().for_each(|d| put(Kind::Destination, "", d));
    put(Kind::Limits, "", &whole["sizeLimits"]);
    for depot in list(&whole["depots"]) {
        let host = depot["depot"].as_str().unwrap_or_default().to_string();
        list(&depot["lanes"]).iter().for_each(|r| put(Kind::Route, &host, r));
    }
    all
}

/// Read a file's text. JSON begins with a brace.
pub fn read(text: &str) -> Result<Vec<Wanted>, Vec<Fault>> {
    if text.trim_start().starts_with('{') {
        read_json(text)
    } else {
        read_toml(text)
    }
}

fn number(value: &Value) -> String {
    match value {
        Value::String(s) => toml::Value::String(s.clone()).to_string(),
        Value::Array(list) => format!("[{}]", list.iter().map(number).collect::<Vec<_>>().join(", ")),
        other => other.to_string(),
    }
}

fn bare(name: &str) -> String {
    let plain = !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_".contains(&b));
    if plain {
        name.to_string()
    } else {
        toml::Value::String(name.to_string()).to_string()
    }
}

/// The items as a file. `None` where one has a field that the form has no key for.
pub fn write(items: &[Wanted]) -> Option<String> {
    let mut out = String::new();
    for item in items {
        let fields = item.fields.as_ref()?;
        let (head, known): (String, &[&str]) = match item.kind {
            Kind::Destination => (format!("[destinations.{}]", bare(&item.name)), &DESTINATION),
            Kind::Limits => ("[limits]".to_string(), &LIMITS),
            Kind::Route => (format!("[routes.{}]", bare(&item.name)), &ROUTE),
        };
        out.push_str(&head);
        out.push('\n');
        if item.kind == Kind::Route {
            out.push_str(&format!("depot = {}\n", number(&Value::from(item.depot.as_str()))));
        }
        for (key, value) in fields.iter().filter(|(k, v)| *k != "name" && !v.is_null()) {
            let word = snake(key);
            if !known.contains(&word.as_str()) {
                return None;
            }
            if word == "split" {
                let share =
                    |s: &Value| Some(format!("{} = {}", bare(s["destination"].as_str()?), s["share"]));
                let shares: Option<Vec<String>> = value.as_array()?.iter().map(share).collect();
                out.push_str(&format!("split = {{ {} }}\n", shares?.join(", ")));
            } else {
                out.push_str(&format!("{word} = {}\n", number(value)));
            }
        }
        if let Some(edition) = item.edition {
            out.push_str(&format!("edition = {edition}\n"));
        }
        out.push('\n');
    }
    Some(out)
}

#[cfg(test)]
mod tests {
    use super::*;

    const FILE: &str = "# the shop\n[destinations.quotes]\nline_cap = 120\ncold_s = 3\n\n[routes.r-1]\ndepot = \"shop.example\"\n\
        lane = \"/q/\"\nkind = \"safe\"\ndeadline_s = 5\nsplit = { quotes = 0.9, \"o.ld\" = 0.1 }\nedition = 4\n\n\
        [withdraw]\nroutes = [\"r-9\"]\ndestinations = { old = 3 }\n";

    #[test]
    fn a_file_is_read_as_items_with_their_places() {
        let all = read(FILE).expect("well-formed");
        let route = &all[1];
        assert_eq!((route.kind, route.place, route.edition), (Kind::Route, (6, 9), Some(4)));
        assert_eq!(route.places["deadlineS"], (10, 14));
        let fields = route.fields.as_ref().expect("set");
        assert_eq!(fields["split"][0], json!({ "destination": "o.ld", "share": 0.1 }));
        assert_eq!(fields["routeKind"], "safe");
        let drops: Vec<_> =
            all[2..].iter().map(|w| (w.name.as_str(), w.edition, w.fields.is_none())).collect();
        assert_eq!(drops, [("r-9", None, true), ("old", Some(3), true)]);
    }

    #[test]
    fn every_fault_comes_with_line_and_column() {
        let bad = FILE
            .replace("line_cap", "linecap")
            .replace("cold_s = 3", "cold_s = 1e999")
            .replace("\"r-9\"", "9");
        let faults = read(&bad).expect_err("three faults");
        let places: Vec<Place> = faults.iter().map(|f| f.place).collect();
        assert_eq!(places, [(3, 1), (4, 10), (15, 11)], "{faults:?}");
        let broken = read("[a\nb = 1\n").expect_err("not TOML");
        assert_eq!(broken[0].place.0, 1);
        assert_eq!(read("{\"deliver\":\n  {\"x\" 1}}").expect_err("not JSON")[0].place.0, 2);
    }

    #[test]
    fn what_is_written_is_read_back() {
        let all = read(FILE).expect("well-formed");
        let text = write(&all[..2]).expect("all keys are known");
        let again = read(&text).expect("well-formed");
        let plain = |w: &Wanted| (w.kind, w.name.clone(), w.depot.clone(), w.fields.clone(), w.edition);
        assert_eq!(
            all[..2].iter().map(plain).collect::<Vec<_>>(),
            again.iter().map(plain).collect::<Vec<_>>()
        );
    }
}
