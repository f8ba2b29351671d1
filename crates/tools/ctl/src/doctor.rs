//! Compares the pictures of all nodes and says what differs and the likely reason. No I/O.
use crate::apply::{revision, CONFIGURATION};
use crate::mesh::{list, text, Picture};
use crate::show::newest;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};

/// How bad it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Weight {
    /// Requests or operators' calls suffer, or will with one fault more.
    Bad,
    /// Good to know.
    Note,
}

/// What is not as it should be.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// How bad it is.
    pub weight: Weight,
    /// A short name for scripts.
    pub name: &'static str,
    /// Node, zone, service or key.
    pub about: String,
    /// What is seen.
    pub seen: String,
    /// The likely reason, and what to do.
    pub likely: String,
}

impl Finding {
    /// As JSON.
    pub fn json(&self) -> Value {
        let weight = if self.weight == Weight::Bad { "bad" } else { "note" };
        json!({ "weight": weight, "name": self.name, "about": self.about, "seen": self.seen, "likely": self.likely })
    }
}

struct Doctor<'p> {
    picture: &'p Picture,
    states: BTreeMap<String, &'p Value>,
    records: BTreeMap<String, Value>,
    found: Vec<Finding>,
}

/// A carrier whose news is older than this is behind, in microseconds.
const STALE: u64 = 5_000_000;

impl Doctor<'_> {
    fn bad(&mut self, name: &'static str, about: &str, seen: String, likely: &str) {
        self.put(Weight::Bad, name, about, seen, likely);
    }

    fn put(&mut self, weight: Weight, name: &'static str, about: &str, seen: String, likely: &str) {
        let likely = likely.to_string();
        self.found.push(Finding { weight, name, about: about.to_string(), seen, likely });
    }

    fn name(&self, ip: &str) -> String {
        self.states.get(ip).map_or_else(|| ip.to_string(), |s| format!("{ip} ({})", text(s, "node")))
    }

    fn silent(&mut self) {
        let silent: Vec<(String, String)> = self
            .picture
            .iter()
            .filter(|(_, t)| t.state.is_none())
            .map(|(ip, t)| (ip.to_string(), t.why.clone()))
            .collect();
        for (ip, why) in silent {
            let record = self.records.get(&ip).cloned().unwrap_or(Value::Null);
            if record["gone"] == true {
                let likely = "it was stopped or its machine is down; forgotten after a minute";
                self.put(
                    Weight::Note,
                    "gone",
                    &ip,
                    format!("gone, in zone {}", text(&record, "zone")),
                    likely,
                );
                continue;
            }
            let stands = self.states.values().filter(|s| sees(s, &ip)).count();
            let likely = "the process stands still or its control port can't be reached from here: its log, its machine, the network";
            self.bad(
                "silent",
                &ip,
                format!("does not answer ({why}), {stands} nodes take it for there"),
                likely,
            );
        }
    }

    fn disputed(&mut self) {
        let all: Vec<String> = self.states.keys().cloned().collect();
        for ip in &all {
            let gone: Vec<String> = self
                .states
                .iter()
                .filter(|(other, s)| {
                    *other != ip && list(s, "nodes").any(|n| text(n, "node") == ip && n["gone"] == true)
                })
                .map(|(other, _)| other.clone())
                .collect();
            if !gone.is_empty() {
                let seen = format!("answers here, but is gone for {} of {} nodes", gone.len(), all.len() - 1);
                let likely =
                    "datagrams are lost or the machine stood still: UDP on internalPorts, processor time";
                self.bad("taken for gone", &self.name(ip), seen, likely);
            }
            let unknown = self
                .states
                .iter()
                .filter(|(other, s)| *other != ip && !list(s, "nodes").any(|n| text(n, "node") == ip))
                .count();
            if unknown > 0 {
                let seen = format!("unknown to {unknown} of {} nodes", all.len() - 1);
                let likely = "cut off, or of another mesh: its seeds, TCP on internalPorts, its parent";
                self.bad("unknown", &self.name(ip), seen, likely);
            }
        }
    }

    fn delivery(&mut self) {
        let states: Vec<(String, Value)> =
            self.states.iter().map(|(ip, s)| (ip.clone(), (*s).clone())).collect();
        let mut keys: BTreeSet<String> = BTreeSet::new();
        for (_, s) in &states {
            keys.extend(list(s, "revisions").map(|r| text(r, "key").to_string()));
        }
        for (ip, s) in &states {
            let name = self.name(ip);
            let core = s["core"] == true;
            if s["configured"] != true && keys.contains(CONFIGURATION) {
                let likely =
                    "its links are cut, or nothing reached it since it started: seeds, TCP on internalPorts";
                self.bad("no configuration", &name, "has none, others have".to_string(), likely);
            }
            if !core && s["parent"].is_null() {
                let likely = "it reaches no node that has a way to an office: TCP on internalPorts, seeds, the offices";
                self.bad("cut off", &name, "has nobody from whom news comes".to_string(), likely);
            }
            if !core && s["newsAgeUs"].as_u64().is_some_and(|age| age > STALE) {
                let age = s["newsAgeUs"].as_u64().unwrap_or(0) / 1_000_000;
                let likely = "the link to its parent stalls, or the parent has no way to an office itself";
                self.bad("old news", &name, format!("last known to be in step {age} s ago"), likely);
            }
            if !core && s["configured"] == true && s["ready"] != true {
                self.bad("not ready", &name, "tells the platform no".to_string(), "it is being stopped");
            }
        }
        for key in &keys {
            let highest = states.iter().filter_map(|(_, s)| revision(s, key)).max();
            for (ip, s) in &states {
                let at = revision(s, key);
                if at < highest {
                    let seen = format!("{key}: {} here, {} elsewhere", shown(at), shown(highest));
                    let likely =
                        "news does not reach it: its parent, then TCP on internalPorts between the two";
                    self.bad("behind", &self.name(ip), seen, likely);
                }
            }
        }
    }

    fn evacuations(&mut self) {
        let mut zones: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for (ip, s) in &self.states {
            for zone in list(s, "evacuated").filter_map(Value::as_str) {
                zones.entry(zone.to_string()).or_default().insert(ip.clone());
            }
        }
        let all = self.states.len();
        for (zone, at) in zones {
            if at.len() == all {
                let likely = "an operator began it (`silvercrossctl evacuate ZONE --end` ends it)";
                self.put(
                    Weight::Note,
                    "evacuated",
                    &zone,
                    "nothing is sent to its upstreams".to_string(),
                    likely,
                );
            } else {
                let missing: Vec<&String> = self.states.keys().filter(|ip| !at.contains(*ip)).collect();
                let seen = format!("evacuated for {} of {all} nodes, not for {missing:?}", at.len());
                self.bad(
                    "evacuation differs",
                    &zone,
                    seen,
                    "news of it has not come everywhere: see who is behind or cut off",
                );
            }
        }
    }

    fn upstreams(&mut self) {
        let mut services: BTreeMap<String, (usize, usize)> = BTreeMap::new();
        let mut ids: BTreeMap<String, Vec<String>> = BTreeMap::new();
        let records: Vec<(String, Value)> =
            self.records.iter().map(|(ip, r)| (ip.clone(), r.clone())).collect();
        for (ip, r) in records.iter().filter(|(_, r)| r["gone"] != true) {
            let at = &r["at"];
            if !at.is_object() {
                if r["core"] != true {
                    let likely = "its upstream has not started, has signed off, or beats elsewhere: the application's log";
                    self.put(
                        Weight::Note,
                        "no upstream",
                        &self.name(ip),
                        "none beside it".to_string(),
                        likely,
                    );
                }
                continue;
            }
            let (service, id) = (text(at, "service").to_string(), text(at, "id").to_string());
            let usable = at["silent"] != true && at["draining"] != true && r["leaving"] != true;
            let count = services.entry(service).or_default();
            count.0 += 1;
            count.1 += usize::from(usable);
            if at["silent"] == true {
                let likely =
                    "it crashed, hangs, or refuses connections: the application's log on that machine";
                self.bad(
                    "upstream silent",
                    &self.name(ip),
                    format!("{id}: no beats, or it refuses connections"),
                    likely,
                );
            } else if at["draining"] == true {
                self.put(
                    Weight::Note,
                    "draining",
                    &self.name(ip),
                    format!("{id} drains"),
                    "a planned end or release",
                );
            }
            ids.entry(id).or_default().push(ip.clone());
        }
        for (id, at) in ids.into_iter().filter(|(_, at)| at.len() > 1) {
            let likely = "two machines were started from one image or settings file: give each its own";
            self.bad("upstream twice", &id, format!("beside {}", at.join(" and ")), likely);
        }
        for (service, (all, usable)) in &services {
            if *usable == 0 {
                let likely = "all of them drain, are silent or leave: start others";
                self.bad("no upstream usable", service, format!("{all} known, none can be sent to"), likely);
            }
        }
        for (ip, s) in self.states.clone() {
            for desk in
                self.picture_figures(&ip).iter().flat_map(|f| list(f, "desks").cloned().collect::<Vec<_>>())
            {
                let (listed, avoided) =
                    (desk["listed"].as_u64().unwrap_or(0), desk["avoided"].as_u64().unwrap_or(0));
                if listed > 0 && avoided == listed {
                    let seen = format!("avoids all {listed} upstreams of {}", text(&desk, "service"));
                    let likely = "they fail or can't be reached from its machine: if others avoid them too, look at the service, else at its network";
                    self.bad("avoids all", &self.name(&ip), seen, likely);
                }
            }
            let views: BTreeSet<String> = list(s, "nodes")
                .filter(|n| n["gone"] != true && n["at"].is_object())
                .map(|n| format!("{} {} {}", text(&n["at"], "id"), n["at"]["draining"], n["at"]["silent"]))
                .collect();
            let wanted: BTreeSet<String> = records
                .iter()
                .filter(|(_, r)| r["gone"] != true && r["at"].is_object())
                .map(|(_, r)| {
                    format!("{} {} {}", text(&r["at"], "id"), r["at"]["draining"], r["at"]["silent"])
                })
                .collect();
            let differ = views.symmetric_difference(&wanted).count();
            if differ > 0 {
                let likely = "news of upstreams does not reach it: its parent, TCP on internalPorts";
                self.bad(
                    "upstreams differ",
                    &self.name(&ip),
                    format!("{differ} differ from what others know"),
                    likely,
                );
            }
        }
    }

    fn picture_figures(&self, ip: &str) -> Option<Value> {
        self.picture.get(&ip.parse().ok()?)?.figures.clone()
    }

    fn ledger(&mut self) {
        let holders: Vec<(String, Value)> = self
            .states
            .iter()
            .filter(|(_, s)| s["ledger"].is_object())
            .map(|(ip, s)| (ip.clone(), s["ledger"].clone()))
            .collect();
        let roster = |l: &Value| {
            list(l, "roster").filter_map(Value::as_str).map(str::to_string).collect::<BTreeSet<_>>()
        };
        let rosters: BTreeSet<BTreeSet<String>> = holders.iter().map(|(_, l)| roster(l)).collect();
        if rosters.len() > 1 {
            let seen = holders
                .iter()
                .map(|(ip, l)| format!("{ip} names {:?}", roster(l)))
                .collect::<Vec<_>>()
                .join("; ");
            let likely = "their seeds differed at the first start: empty the dataDir of the odd one and start it with the others' seeds";
            self.bad("holders differ", "ledger", seen, likely);
        }
        for (ip, l) in &holders {
            if l["voter"] != true {
                let likely = "its disk was empty at the start: it counts again once both others were up and have answered";
                self.bad("repairing", &self.name(ip), "holds nothing yet".to_string(), likely);
            } else if !roster(l).contains(ip) {
                let likely =
                    "it was not among the seeds of the first start: it passes calls on and is no reserve";
                self.bad("no holder", &self.name(ip), "an office outside the roster".to_string(), likely);
            }
        }
        if let Some(all) = rosters.iter().next() {
            let up = holders.iter().filter(|(ip, l)| l["voter"] == true && all.contains(ip)).count();
            if up < all.len() / 2 + 1 {
                let seen = format!("{up} of {} holders answer", all.len());
                self.bad("no majority", "ledger", seen, "calls answer 503 until more are up: start them");
            }
        }
        let mut owners: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (ip, l) in &holders {
            for key in list(l, "keys") {
                let list = owners.entry(text(key, "key").to_string()).or_default();
                if key["role"] == "owner" {
                    list.push(ip.clone());
                }
            }
        }
        for (key, list) in owners {
            match list.as_slice() {
                [_] => {}
                [] => self.bad(
                    "no owner",
                    &key,
                    "nobody owns it".to_string(),
                    "its owner was lost and another takes it within seconds, or fewer than half of the holders are up",
                ),
                more => self.bad(
                    "two owners",
                    &key,
                    format!("{} each believe so", more.join(" and ")),
                    "one is cut off and has not noticed; it can settle nothing: links between offices",
                ),
            }
        }
    }

    fn settings(&mut self) {
        for (key, name) in [("zones", "zones differ"), ("version", "versions differ")] {
            let mut told: BTreeMap<String, Vec<String>> = BTreeMap::new();
            for (ip, s) in self.states.iter().filter(|(_, s)| !s[key].is_null()) {
                told.entry(s[key].to_string()).or_default().push(ip.clone());
            }
            if told.len() > 1 {
                let most =
                    told.iter().max_by_key(|(_, at)| at.len()).map(|(v, _)| v.clone()).unwrap_or_default();
                for (value, at) in told.iter().filter(|(v, _)| **v != most) {
                    let likely = if key == "zones" {
                        "its settings file names other zones: mend `zones` there and start it again"
                    } else {
                        "a release is under way, or stopped half-way"
                    };
                    self.bad(name, &at.join(", "), format!("{value} here, {most} at most others"), likely);
                }
            }
        }
        for (ip, _) in self.states.clone() {
            let Some(f) = self.picture_figures(&ip) else { continue };
            for (counter, likely) in [
                ("shutOut", "clients' connections were closed for want of descriptors: raise fileHandles"),
                ("strangers", "another version or something else calls its internalPorts: one version, ports closed to others"),
            ] {
                let n = f[counter].as_u64().unwrap_or(0);
                if n > 0 {
                    self.put(Weight::Note, counter, &self.name(&ip), format!("{counter} {n} since it began"), likely);
                }
            }
        }
    }

    /// Services that routes name and of which there is no upstream.
    fn routes(&mut self, standing: &Value) {
        let services: BTreeSet<String> = self
            .records
            .values()
            .filter(|r| r["gone"] != true && r["at"].is_object())
            .map(|r| text(&r["at"], "service").to_string())
            .collect();
        let mut named: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for lane in list(standing, "depots").flat_map(|d| list(d, "lanes")) {
            let split = list(lane, "split")
                .filter(|s| s["share"].as_f64() != Some(0.0))
                .map(|s| text(s, "destination"));
            for service in lane["destination"].as_str().into_iter().chain(split) {
                named.entry(service.to_string()).or_default().push(text(lane, "name").to_string());
            }
        }
        for (service, routes) in named.into_iter().filter(|(s, _)| !services.contains(s)) {
            let some = routes.iter().take(4).cloned().collect::<Vec<_>>().join(", ");
            let likely = "its machines are not up, or their settings name another destination";
            self.bad(
                "service without upstreams",
                &service,
                format!("named by {} routes ({some})", routes.len()),
                likely,
            );
        }
    }
}

fn sees(state: &Value, ip: &str) -> bool {
    list(state, "nodes").any(|n| text(n, "node") == ip && n["gone"] != true)
}

fn shown(at: Option<(u64, u32, u64)>) -> String {
    at.map_or_else(|| "nothing".to_string(), |(round, _, change)| format!("round {round} change {change}"))
}

/// What is not as it should be, the worst first.
pub fn look(picture: &Picture, standing: Option<&Value>) -> Vec<Finding> {
    let states = picture.iter().filter_map(|(ip, t)| Some((ip.to_string(), t.state.as_ref()?))).collect();
    let mut doctor = Doctor { picture, states, records: newest(picture), found: Vec::new() };
    doctor.silent();
    doctor.disputed();
    doctor.delivery();
    doctor.evacuations();
    doctor.upstreams();
    doctor.ledger();
    doctor.settings();
    if let Some(standing) = standing {
        doctor.routes(standing);
    }
    doctor.found.sort();
    doctor.found
}

/// Only what was seen both times: the rest passed by itself.
pub fn lasting(first: Vec<Finding>, second: Vec<Finding>) -> Vec<Finding> {
    let before: BTreeSet<(&'static str, String)> = first.into_iter().map(|f| (f.name, f.about)).collect();
    second.into_iter().filter(|f| before.contains(&(f.name, f.about.clone()))).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::mesh::Told;
    use std::net::IpAddr;

    fn record(n: u8, core: bool) -> Value {
        let at = json!({ "id": format!("u{n}"), "service": "quotes", "slots": 4, "draining": false, "silent": false });
        json!({ "node": format!("10.0.0.{n}"), "zone": "a", "core": core, "gone": false, "leaving": false, "life": 1, "seq": 1,
            "at": if core { Value::Null } else { at } })
    }

    /// Three offices and three carriers, all well.
    fn well() -> Picture {
        let nodes: Vec<Value> = (1..=6).map(|n| record(n, n <= 3)).collect();
        let one = |n: u8| {
            let keys = json!([{ "key": "configuration", "role": if n == 1 { "owner" } else { "holder" } }]);
            let ledger =
                json!({ "voter": true, "roster": ["10.0.0.1", "10.0.0.2", "10.0.0.3"], "keys": keys });
            let state = json!({ "node": format!("m{n}"), "ip": format!("10.0.0.{n}"), "core": n <= 3, "zones": ["a"],
                "version": "1", "ready": true, "configured": true, "evacuated": [], "nodes": nodes, "newsAgeUs": 1000,
                "parent": if n <= 3 { Value::Null } else { json!("10.0.0.1") },
                "revisions": [{ "key": "configuration", "round": 2, "owner": "10.0.0.1", "change": 7 }],
                "ledger": if n <= 3 { ledger } else { Value::Null } });
            let figures = json!({ "desks": [{ "service": "quotes", "listed": 3, "avoided": 0 }], "strangers": 0, "shutOut": 0 });
            let told = Told { at: None, state: Some(state), figures: Some(figures), why: String::new() };
            (format!("10.0.0.{n}").parse::<IpAddr>().expect("an address"), told)
        };
        (1..=6).map(one).collect()
    }

    fn state(p: &mut Picture, n: u8) -> &mut Value {
        let told = p.get_mut(&format!("10.0.0.{n}").parse::<IpAddr>().expect("an address")).expect("there");
        told.state.as_mut().expect("told")
    }

    fn all(p: &mut Picture, with: impl Fn(&mut Value)) {
        p.values_mut().filter_map(|t| t.state.as_mut()).for_each(with);
    }

    /// What is planted, and the name it is to be found under.
    type Planted = (&'static str, &'static str, fn(&mut Picture));

    #[test]
    fn a_well_mesh_has_no_findings_and_each_planted_fault_is_named() {
        assert_eq!(look(&well(), None), []);
        let planted: [Planted; 18] = [
            ("silent", "10.0.0.5", |p| drop(p.insert("10.0.0.5".parse().expect("ip"), Told::default()))),
            ("taken for gone", "m5", |p| {
                state(p, 6)["nodes"][4]["gone"] = json!(true);
            }),
            ("unknown", "m5", |p| drop(state(p, 2)["nodes"].as_array_mut().expect("list").remove(4))),
            ("no configuration", "m4", |p| state(p, 4)["configured"] = json!(false)),
            ("cut off", "m4", |p| state(p, 4)["parent"] = Value::Null),
            ("old news", "m4", |p| state(p, 4)["newsAgeUs"] = json!(9_000_000)),
            ("not ready", "m4", |p| state(p, 4)["ready"] = json!(false)),
            ("behind", "m6", |p| state(p, 6)["revisions"][0]["change"] = json!(6)),
            ("evacuation differs", "a", |p| state(p, 6)["evacuated"] = json!(["a"])),
            ("upstream silent", "m5", |p| all(p, |s| s["nodes"][4]["at"]["silent"] = json!(true))),
            ("upstream twice", "u4", |p| all(p, |s| s["nodes"][4]["at"]["id"] = json!("u4"))),
            ("no upstream usable", "quotes", |p| {
                all(p, |s| (3..6).for_each(|n| s["nodes"][n]["at"]["draining"] = json!(true)))
            }),
            ("avoids all", "m4", |p| {
                let told = p.get_mut(&"10.0.0.4".parse::<IpAddr>().expect("ip")).expect("there");
                told.figures.as_mut().expect("told")["desks"][0]["avoided"] = json!(3);
            }),
            ("upstreams differ", "m4", |p| state(p, 4)["nodes"][5]["at"]["draining"] = json!(true)),
            ("holders differ", "ledger", |p| state(p, 2)["ledger"]["roster"] = json!(["10.0.0.2"])),
            ("repairing", "m3", |p| state(p, 3)["ledger"]["voter"] = json!(false)),
            ("no owner", "configuration", |p| state(p, 1)["ledger"]["keys"][0]["role"] = json!("claiming")),
            ("zones differ", "10.0.0.2", |p| state(p, 2)["zones"] = json!(["b"])),
        ];
        for (name, about, plant) in planted {
            let mut picture = well();
            plant(&mut picture);
            let found = look(&picture, None);
            assert!(found.iter().any(|f| f.name == name && f.about.contains(about)), "{name}: {found:?}");
        }
        let standing =
            json!({ "depots": [{ "depot": "h", "lanes": [{ "name": "r", "destination": "nobody" }] }] });
        assert_eq!(look(&well(), Some(&standing))[0].name, "service without upstreams");
    }
}
