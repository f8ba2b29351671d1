//! What a file changes of what stands: the editions it takes, the call, and a diff for people. Checked whole, as an office will.
use crate::file::{items, Fault, Kind, Wanted};
use serde_json::{json, Map, Value};
use silvercross_control_store::State;
use silvercross_mesh_config::{parse_change, Configuration};
use std::collections::BTreeMap;

/// What becomes of one name.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// It stands so already.
    Same,
    /// It is new.
    New,
    /// It changes: field, before, after.
    Changed(Vec<(String, Value, Value)>),
    /// It is dropped.
    Dropped,
}

/// One name and what becomes of it.
#[derive(Clone, Debug)]
pub struct Line {
    /// What it is.
    pub item: Wanted,
    /// What becomes of it.
    pub step: Step,
    /// The edition it takes; that which stands where nothing changes.
    pub edition: u64,
    /// The edition that stands.
    pub was: Option<u64>,
}

/// A file against what stands.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Name by name, as in the file.
    pub lines: Vec<Line>,
}

fn same(a: &Value, b: &Value) -> bool {
    match (a, b) {
        (Value::Number(x), Value::Number(y)) => x.as_f64() == y.as_f64(),
        (Value::Array(x), Value::Array(y)) => x.len() == y.len() && x.iter().zip(y).all(|(x, y)| same(x, y)),
        (Value::Object(x), Value::Object(y)) => {
            x.len() == y.len() && x.iter().all(|(k, x)| y.get(k).is_some_and(|y| same(x, y)))
        }
        _ => a == b,
    }
}

fn differences(old: &Wanted, new: &Wanted) -> Vec<(String, Value, Value)> {
    let none = Map::new();
    let (a, b) = (old.fields.as_ref().unwrap_or(&none), new.fields.as_ref().unwrap_or(&none));
    let mut keys: Vec<&String> = a.keys().chain(b.keys()).collect();
    keys.sort();
    keys.dedup();
    let mut out = Vec::new();
    if old.depot != new.depot {
        out.push(("depot".to_string(), json!(old.depot), json!(new.depot)));
    }
    for key in keys {
        let (x, y) = (a.get(key).unwrap_or(&Value::Null), b.get(key).unwrap_or(&Value::Null));
        if !same(x, y) {
            out.push((key.clone(), x.clone(), y.clone()));
        }
    }
    out
}

/// Compare a file with what stands.
pub fn plan(wanted: Vec<Wanted>, standing: &Value) -> Result<Plan, Vec<Fault>> {
    let stands: BTreeMap<(Kind, String), Wanted> =
        items(standing).into_iter().map(|i| ((i.kind, i.name.clone()), i)).collect();
    let (mut lines, mut faults) = (Vec::new(), Vec::new());
    for item in wanted {
        let old = stands.get(&(item.kind, item.name.clone()));
        let was = old.and_then(|o| o.edition);
        let next = was.map_or(1, |e| e.saturating_add(1));
        let step = match (&item.fields, old) {
            (None, None) => Step::Same,
            (None, Some(_)) => Step::Dropped,
            (Some(_), None) => Step::New,
            (Some(_), Some(old)) => {
                let changed = differences(old, &item);
                let raised = item.edition.is_some() && item.edition > was;
                if changed.is_empty() && !raised {
                    Step::Same
                } else {
                    Step::Changed(changed)
                }
            }
        };
        let edition = match &step {
            Step::Same => was.or(item.edition).unwrap_or(0),
            _ => item.edition.unwrap_or(next),
        };
        if step != Step::Same && was.is_some_and(|was| edition <= was) {
            let why = format!(
                "{} {}: edition {edition} is not above {}, which stands with other content (raise it, or leave it out)",
                item.kind.word(),
                item.name,
                next - 1
            );
            faults.push(Fault { place: item.places.get("edition").copied().unwrap_or(item.place), why });
        }
        lines.push(Line { item, step, edition, was });
    }
    let plan = Plan { lines };
    if faults.is_empty() {
        faults = plan.check(standing);
    }
    if faults.is_empty() {
        Ok(plan)
    } else {
        faults.sort_by_key(|f| f.place);
        faults.dedup();
        Err(faults)
    }
}

fn call<'l>(lines: impl Iterator<Item = &'l Line>) -> Value {
    let (mut deliver, mut withdraw) = (Map::new(), json!({ "routes": [], "destinations": [] }));
    let (mut destinations, mut depots) = (Vec::new(), BTreeMap::<&str, Vec<Value>>::new());
    for line in lines {
        let item = &line.item;
        let Some(fields) = &item.fields else {
            let list = if item.kind == Kind::Route { "routes" } else { "destinations" };
            if let Some(list) = withdraw[list].as_array_mut() {
                list.push(json!({ "name": item.name, "edition": line.edition }));
            }
            continue;
        };
        let mut fields = fields.clone();
        fields.insert("edition".to_string(), json!(line.edition));
        match item.kind {
            Kind::Destination => destinations.push(Value::Object(fields)),
            Kind::Limits => drop(deliver.insert("sizeLimits".to_string(), Value::Object(fields))),
            Kind::Route => depots.entry(&item.depot).or_default().push(Value::Object(fields)),
        }
    }
    deliver.insert("destinations".to_string(), Value::Array(destinations));
    let depots = depots.into_iter().map(|(depot, lanes)| json!({ "depot": depot, "lanes": lanes }));
    deliver.insert("depots".to_string(), depots.collect());
    json!({ "deliver": deliver, "withdraw": withdraw })
}

impl Plan {
    /// What changes.
    pub fn changes(&self) -> impl Iterator<Item = &Line> {
        self.lines.iter().filter(|l| l.step != Step::Same)
    }

    /// The body of the call.
    pub fn call(&self) -> Value {
        call(self.changes())
    }

    /// All that an office would refuse.
    fn check(&self, standing: &Value) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut put = |line: &Line, key: &str, why: String| {
            let place = line.item.places.get(key).copied().unwrap_or(line.item.place);
            faults.push(Fault { place, why });
        };
        for line in self.changes() {
            if let Err(f) = parse_change(call([line].into_iter()).to_string().as_bytes()) {
                put(line, &f.key, f.to_string());
            }
        }
        if !faults.is_empty() {
            return faults;
        }
        let whole = json!({ "deliver": standing });
        let mut there = Configuration::default();
        let known = parse_change(whole.to_string().as_bytes()).map(|change| there.apply(&change));
        let refused = match parse_change(self.call().to_string().as_bytes()) {
            Err(f) => Some(f.to_string()),
            Ok(change) if matches!(known, Ok(Ok(_))) => there.apply(&change).err().map(|r| r.reason),
            Ok(_) => None,
        };
        if let Some(why) = refused {
            let (item, key) = named(&why);
            let line = self.lines.iter().find(|l| l.item.name == item);
            let place = line.map_or((1, 1), |l| l.item.places.get(key).copied().unwrap_or(l.item.place));
            faults.push(Fault { place, why });
        }
        faults
    }

    /// The diff, line by line.
    pub fn diff(&self) -> Vec<String> {
        let mut out = Vec::new();
        for line in &self.lines {
            let (kind, name) = (line.item.kind.word(), &line.item.name);
            let was = line.was.map_or_else(|| "-".to_string(), |e| e.to_string());
            match &line.step {
                Step::Same => {}
                Step::New => {
                    out.push(format!("+ {kind} {name} (edition {})", line.edition));
                    if !line.item.depot.is_empty() {
                        out.push(format!("    depot: {}", line.item.depot));
                    }
                    for (key, value) in line.item.fields.iter().flatten().filter(|(k, _)| *k != "name") {
                        out.push(format!("    {key}: {value}"));
                    }
                }
                Step::Changed(keys) => {
                    out.push(format!("~ {kind} {name} (edition {was} -> {})", line.edition));
                    out.extend(keys.iter().map(|(key, a, b)| format!("    {key}: {a} -> {b}")));
                }
                Step::Dropped => {
                    out.push(format!("- {kind} {name} (edition {was}, dropped at {})", line.edition))
                }
            }
        }
        out
    }

    /// What of it does not stand in a configuration that was read, with the likely reason.
    pub fn missing(&self, standing: &Value) -> Vec<String> {
        let stands: BTreeMap<(Kind, String), Wanted> =
            items(standing).into_iter().map(|i| ((i.kind, i.name.clone()), i)).collect();
        let mut out = Vec::new();
        for line in self.changes() {
            let (kind, name, edition) = (line.item.kind.word(), &line.item.name, line.edition);
            let found = stands.get(&(line.item.kind, name.clone()));
            match (line.item.fields.is_some(), found) {
                (false, None) => {}
                (true, None) => out.push(format!(
                    "{kind} {name}: does not stand; it was dropped at edition {edition} or above (give a higher edition)"
                )),
                (set, Some(found)) => {
                    let (now, equal) = (found.edition.unwrap_or(0), differences(found, &line.item).is_empty());
                    if !set || now > edition || !equal {
                        out.push(format!("{kind} {name}: edition {now} of another call stands (`silvercrossctl get`, then again)"));
                    }
                }
            }
        }
        out
    }
}

/// The item and key that a refusal names.
fn named(why: &str) -> (&str, &str) {
    let rest = why.strip_prefix("item ").unwrap_or(why);
    let (item, rest) = rest.split_once(", key ").unwrap_or((rest, ""));
    (item, rest.split(':').next().unwrap_or_default())
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::file::read;

    fn standing() -> Value {
        json!({ "destinations": [{ "name": "quotes", "lineCap": 120, "edition": 3 }],
            "depots": [{ "depot": "shop.example", "lanes": [{ "name": "r-1", "lane": "/q/", "routeKind": "safe",
                "deadlineS": 5, "destination": "quotes", "edition": 7 }] }] })
    }

    const ROUTE: &str = "[routes.r-1]\ndepot = \"shop.example\"\nlane = \"/q/\"\nkind = \"safe\"\ndeadline_s = 5.0\ndestination = \"quotes\"\n";

    #[test]
    fn what_stands_already_is_no_change_and_editions_rise_by_themselves() {
        let same = plan(read(ROUTE).expect("well-formed"), &standing()).expect("valid");
        assert_eq!((same.changes().count(), same.diff().len()), (0, 0));
        let other = plan(read(&ROUTE.replace("5.0", "4")).expect("well-formed"), &standing()).expect("valid");
        assert_eq!(other.diff(), ["~ route r-1 (edition 7 -> 8)", "    deadlineS: 5 -> 4"]);
        assert_eq!(other.call()["deliver"]["depots"][0]["lanes"][0]["edition"], 8);
        assert_eq!(other.missing(&standing()).len(), 1);
    }

    #[test]
    fn faults_that_an_office_would_find_are_found_with_their_place() {
        for (text, place, word) in [
            (ROUTE.replace("\"quotes\"", "\"none\""), (6, 15), "no destination"),
            (ROUTE.replace("\"/q/\"", "\"q\""), (3, 8), "slash"),
            (format!("{}edition = 7\n", ROUTE.replace("5.0", "6")), (7, 11), "not above"),
            ("[withdraw]\ndestinations = [\"quotes\"]\n".to_string(), (2, 17), "move that route"),
        ] {
            let faults = plan(read(&text).expect("well-formed"), &standing()).expect_err("faulty");
            assert_eq!(faults[0].place, place, "{faults:?}");
            assert!(faults[0].why.contains(word), "{faults:?}");
        }
    }
}
