//! What nodes tell, as tables.
use crate::mesh::{list, text, Door, Picture};
use crate::outcome::{DONE, NOT_SO};
use anyhow::Result;
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Rows with columns as wide as they have to be.
pub fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = head.iter().map(|h| h.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let head: Vec<String> = head.iter().map(|h| h.to_string()).collect();
    let mut out = String::new();
    for row in std::iter::once(&head).chain(rows) {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        out.push_str(cells.join("  ").trim_end());
        out.push('\n');
    }
    out
}

fn yes(value: &Value) -> &'static str {
    if value == &Value::Bool(true) {
        "yes"
    } else {
        "no"
    }
}

/// What most others say of a node: the newest record of it.
pub fn newest(picture: &Picture) -> BTreeMap<String, Value> {
    let mut out: BTreeMap<String, Value> = BTreeMap::new();
    let order = |n: &Value| (n["life"].as_u64(), n["seq"].as_u64(), n["gone"] == true);
    for node in picture.values().filter_map(|t| t.state.as_ref()).flat_map(|s| list(s, "nodes")) {
        let name = text(node, "node").to_string();
        if out.get(&name).is_none_or(|old| order(old) < order(node)) {
            out.insert(name, node.clone());
        }
    }
    out
}

/// `nodes`.
pub fn nodes(door: &Door, as_json: bool) -> Result<u8> {
    let picture = door.picture()?;
    let records = newest(&picture);
    let (mut rows, mut values, mut silent) = (Vec::new(), Vec::new(), 0);
    for (ip, told) in &picture {
        let record = records.get(&ip.to_string()).cloned().unwrap_or(Value::Null);
        let state = told.state.clone().unwrap_or(Value::Null);
        let stands = match () {
            () if told.state.is_some() && record["leaving"] == true => "leaving",
            () if told.state.is_some() => "there",
            () if record["gone"] == true => "gone",
            () => "silent",
        };
        silent += usize::from(stands == "silent");
        let of = if told.state.is_some() { &state } else { &record };
        let parent = if state["core"] == true { "-" } else { text(&state, "parent") };
        rows.push(vec![
            ip.to_string(),
            text(&state, "node").to_string(),
            if of["core"] == true { "office" } else { "carrier" }.to_string(),
            text(of, "zone").to_string(),
            stands.to_string(),
            if state["core"] == true { "-" } else { yes(&state["ready"]) }.to_string(),
            parent.to_string(),
            text(&record, "upstream").to_string(),
            told.why.clone(),
        ]);
        values.push(
            json!({ "ip": ip, "control": told.at, "stands": stands, "why": told.why, "record": record,
            "state": { "node": state["node"], "core": of["core"], "zone": of["zone"], "ready": state["ready"],
                "parent": state["parent"], "version": state["version"] } }),
        );
    }
    if as_json {
        println!("{}", Value::Array(values));
    } else {
        let head = ["address", "name", "role", "zone", "is", "ready", "news from", "upstream", ""];
        print!("{}", table(&head, &rows));
    }
    Ok(if silent == 0 { DONE } else { NOT_SO })
}

/// `upstreams`.
pub fn upstreams(door: &Door, as_json: bool) -> Result<u8> {
    let picture = door.picture()?;
    let mut evacuated: Vec<String> = picture
        .values()
        .filter_map(|t| t.state.as_ref())
        .flat_map(|s| list(s, "evacuated").filter_map(Value::as_str).map(str::to_string))
        .collect();
    evacuated.sort();
    evacuated.dedup();
    let (mut rows, mut values) = (Vec::new(), Vec::new());
    let mut all: Vec<Value> =
        newest(&picture).into_values().filter(|n| n["gone"] != true && n["at"].is_object()).collect();
    all.sort_by_key(|n| {
        (text(n, "service").to_string(), text(n, "zone").to_string(), text(n, "node").to_string())
    });
    for node in &all {
        let at = &node["at"];
        let is = match () {
            () if at["silent"] == true => "silent",
            () if at["draining"] == true => "draining",
            () if node["leaving"] == true => "its sidecar leaves",
            () if evacuated.iter().any(|z| z == text(node, "zone")) => "evacuated",
            () => "there",
        };
        let told =
            text(node, "node").parse().ok().and_then(|ip| picture.get(&ip)).and_then(|t| t.figures.as_ref());
        let load = told.map_or_else(|| "-".to_string(), |f| format!("{}+{}", f["gateOut"], f["gateWaiting"]));
        rows.push(vec![
            text(at, "service").to_string(),
            text(at, "id").to_string(),
            text(node, "zone").to_string(),
            text(node, "node").to_string(),
            is.to_string(),
            at["slots"].to_string(),
            load,
        ]);
        values.push(json!({ "service": at["service"], "id": at["id"], "zone": node["zone"], "node": node["node"], "is": is,
            "slots": at["slots"], "out": told.map(|f| &f["gateOut"]), "waiting": told.map(|f| &f["gateWaiting"]) }));
    }
    if as_json {
        println!("{}", Value::Array(values));
    } else {
        print!("{}", table(&["service", "upstream", "zone", "node", "is", "slots", "at work"], &rows));
    }
    Ok(DONE)
}

/// `routes`.
pub fn routes(door: &Door, as_json: bool) -> Result<u8> {
    let whole = crate::apply::standing(door)?;
    if as_json {
        println!("{}", whole["depots"]);
        return Ok(DONE);
    }
    let mut rows = Vec::new();
    for depot in list(&whole, "depots") {
        for lane in list(depot, "lanes") {
            let to = match lane["split"].as_array() {
                Some(split) => split
                    .iter()
                    .map(|s| format!("{} {}", text(s, "destination"), s["share"]))
                    .collect::<Vec<_>>()
                    .join(", "),
                None => text(lane, "destination").to_string(),
            };
            let plain = |key: &str| if lane[key].is_null() { "-".to_string() } else { lane[key].to_string() };
            rows.push(vec![
                text(lane, "name").to_string(),
                text(depot, "depot").to_string(),
                text(lane, "lane").to_string(),
                text(lane, "routeKind").to_string(),
                plain("deadlineS"),
                plain("priority"),
                plain("attempts"),
                to,
                plain("edition"),
            ]);
        }
    }
    let head = ["route", "host", "path", "kind", "deadline s", "rank", "attempts", "to", "edition"];
    print!("{}", table(&head, &rows));
    Ok(DONE)
}

fn place(at: &Value) -> String {
    format!("{} {} {}", at["round"], text(at, "owner"), at["change"])
}

/// `ledger`: each key at each holder.
pub fn ledger(door: &Door, as_json: bool) -> Result<u8> {
    let picture = door.picture()?;
    let (mut rows, mut values, mut well) = (Vec::new(), Vec::new(), true);
    let mut owners: BTreeMap<String, usize> = BTreeMap::new();
    for (ip, told) in &picture {
        let Some(ledger) = told.state.as_ref().map(|s| &s["ledger"]).filter(|l| l.is_object()) else {
            continue;
        };
        for key in list(ledger, "keys") {
            let owns = key["role"] == "owner";
            *owners.entry(text(key, "key").to_string()).or_default() += usize::from(owns);
            rows.push(vec![
                text(key, "key").to_string(),
                ip.to_string(),
                text(key, "role").to_string(),
                text(key, "owner").to_string(),
                format!("{} {}", key["promised"]["round"], text(&key["promised"], "owner")),
                place(&key["accepted"]),
            ]);
        }
        values.push(json!({ "holder": ip, "voter": ledger["voter"], "roster": ledger["roster"], "keys": ledger["keys"],
            "figures": ledger["figures"] }));
    }
    let silent: Vec<String> = picture
        .iter()
        .filter(|(ip, t)| {
            let named = ip.to_string();
            t.state.is_none() && values.iter().any(|v| list(v, "roster").any(|n| n == named.as_str()))
        })
        .map(|(ip, t)| format!("{ip}: {}", t.why))
        .collect();
    let unowned: Vec<&String> = owners.iter().filter(|(_, n)| **n != 1).map(|(key, _)| key).collect();
    well &= silent.is_empty() && unowned.is_empty() && !values.is_empty();
    if as_json {
        println!("{}", json!({ "holders": values, "silent": silent, "withoutOneOwner": unowned }));
    } else {
        rows.sort();
        print!("{}", table(&["key", "holder", "is", "owner", "promised", "copy here"], &rows));
        silent.iter().for_each(|s| println!("silent holder {s}"));
        unowned
            .iter()
            .for_each(|key| println!("{key}: no single owner now (two of three offices have to be up)"));
        for value in values.iter().filter(|v| v["voter"] != true) {
            println!("{}: its disk is being repaired, it does not count yet", text(value, "holder"));
        }
    }
    Ok(if well { DONE } else { NOT_SO })
}
