//! Changing what stands: items from a file, evacuations, a backup and its return. Each waits until it is in force at every node.
use crate::file::{self, Fault, Kind, Wanted};
use crate::mesh::{list, reason, text, Door, Picture};
use crate::outcome::{end, DONE, NOT_SO, REFUSED, UNREACHED, UNUSABLE};
use crate::plan::{plan, Plan};
use anyhow::{Context, Result};
use serde_json::{json, Value};
use std::path::Path;
use std::time::{Duration, Instant};

/// The ledger's key of all items.
pub const CONFIGURATION: &str = "configuration";
/// Before a zone's name: the ledger's key of its evacuation.
pub const EVACUATION: &str = "evacuation/";
/// Between two looks at all nodes.
const LOOK: Duration = Duration::from_millis(250);

/// What stands, as the mesh gives it.
pub fn standing(door: &Door) -> Result<Value> {
    let (status, body) = door.settle("GET", "/-/Config.Get", b"")?;
    if status != 200 {
        return Err(end(UNREACHED, format!("Config.Get: {status} {}", reason(&body))));
    }
    serde_json::from_str(&body).context("Config.Get: no JSON")
}

/// The revision of a key in force at a node: round, owner, change.
pub fn revision(state: &Value, key: &str) -> Option<(u64, u32, u64)> {
    let r = list(state, "revisions").find(|r| r["key"] == key)?;
    let owner: std::net::Ipv4Addr = text(r, "owner").parse().ok()?;
    Some((r["round"].as_u64()?, owner.to_bits(), r["change"].as_u64()?))
}

fn behind(picture: &Picture, key: &str, goal: Option<(u64, u32, u64)>) -> Vec<String> {
    let mut out = Vec::new();
    for (ip, told) in picture {
        match &told.state {
            Some(state) if revision(state, key) >= goal => {}
            Some(state) => {
                let parent = match state["parent"].as_str() {
                    Some(parent) => format!("its news comes from {parent}"),
                    None if state["core"] == true => "an office".to_string(),
                    None => "cut off: it has nobody from whom news comes".to_string(),
                };
                out.push(format!("{ip} ({}): not yet, {parent}", text(state, "node")));
            }
            None if told.why == "gone" => {}
            None => out.push(format!("{ip}: not known, {}", told.why)),
        }
    }
    out
}

/// Wait until every node that is there has what the key's owner has now. The rest, if time ran out.
pub fn in_force(door: &Door, key: &str, wait: Duration, quiet: bool) -> Result<(usize, Vec<String>)> {
    let began = Instant::now();
    let mut goal = None;
    let mut said = Instant::now();
    loop {
        let picture = door.picture()?;
        // The owner has it in force before it answers, so the highest there is now is no older than the call.
        let highest =
            picture.values().filter_map(|t| t.state.as_ref()).filter_map(|s| revision(s, key)).max();
        goal = goal.or(highest);
        let rest = behind(&picture, key, goal);
        let there = picture.values().filter(|t| t.state.is_some()).count();
        if rest.is_empty() || began.elapsed() >= wait {
            return Ok((there, rest));
        }
        if !quiet && said.elapsed() >= Duration::from_secs(1) {
            said = Instant::now();
            let done = picture.len().saturating_sub(rest.len());
            eprintln!("{:.0} s: in force at {done} of {}", began.elapsed().as_secs_f64(), picture.len());
        }
        std::thread::sleep(LOOK);
    }
}

fn faulty(path: &Path, faults: &[Fault]) -> anyhow::Error {
    let lines: Vec<String> =
        faults.iter().map(|f| format!("{}:{}:{}: {}", path.display(), f.place.0, f.place.1, f.why)).collect();
    end(
        UNUSABLE,
        format!(
            "{} fault{}, nothing was sent\n{}",
            faults.len(),
            if faults.len() == 1 { "" } else { "s" },
            lines.join("\n")
        ),
    )
}

fn read(path: &Path) -> Result<Vec<Wanted>> {
    let named = path.display();
    let size = std::fs::metadata(path)
        .map_err(|e| end(UNUSABLE, format!("{named}: {e} (name a readable file)")))?
        .len();
    if size > file::LARGEST {
        return Err(end(
            UNUSABLE,
            format!("{named}: above {} bytes (part it into more files)", file::LARGEST),
        ));
    }
    let text = std::fs::read_to_string(path).map_err(|e| end(UNUSABLE, format!("{named}: {e}")))?;
    file::read(&text).map_err(|faults| faulty(path, &faults))
}

fn report(json: bool, value: Value, lines: &[String]) {
    if json {
        println!("{value}");
    } else {
        lines.iter().for_each(|l| println!("{l}"));
    }
}

/// How a change is made.
#[derive(Clone, Copy, Debug)]
pub struct How {
    /// Say what it would change, and end.
    pub dry: bool,
    /// As one JSON value.
    pub json: bool,
    /// How long it may take until every node goes by it.
    pub wait: Duration,
}

fn carry_out(door: &Door, plan: &Plan, how: How) -> Result<u8> {
    let diff = plan.diff();
    if diff.is_empty() {
        report(
            how.json,
            json!({ "changed": 0, "diff": [] }),
            &["nothing changes: all of it stands already".to_string()],
        );
        return Ok(DONE);
    }
    if how.dry {
        let mut lines = diff.clone();
        lines.push(format!("{} would change; nothing was sent", plan.changes().count()));
        report(how.json, json!({ "changed": 0, "diff": diff, "dryRun": true }), &lines);
        return Ok(DONE);
    }
    let (status, body) = door.settle("POST", "/-/Config.Patch", plan.call().to_string().as_bytes())?;
    if status != 200 {
        let more = if status == 409 {
            " (another operator was first: look at the diff with --dry-run, then again)"
        } else {
            ""
        };
        return Err(end(REFUSED, format!("{status} {}{more}", reason(&body))));
    }
    let missing = plan.missing(&standing(door)?);
    let (there, behind) = in_force(door, CONFIGURATION, how.wait, how.json)?;
    let changed = plan.changes().count();
    let mut lines = diff.clone();
    lines.push(format!("acknowledged, {changed} changed"));
    lines.extend(missing.iter().map(|m| format!("overtaken: {m}")));
    if behind.is_empty() {
        lines.push(format!("in force at all {there} nodes"));
    } else {
        lines.push(format!("not in force everywhere after {:.0} s:", how.wait.as_secs_f64()));
        lines.extend(behind.iter().map(|b| format!("    {b}")));
    }
    let value = json!({ "changed": changed, "diff": diff, "overtaken": missing, "nodes": there, "notInForce": behind });
    report(how.json, value, &lines);
    Ok(if missing.is_empty() && behind.is_empty() { DONE } else { NOT_SO })
}

/// `apply FILE`.
pub fn apply(door: &Door, path: &Path, how: How) -> Result<u8> {
    let wanted = read(path)?;
    let plan = plan(wanted, &standing(door)?).map_err(|faults| faulty(path, &faults))?;
    carry_out(door, &plan, how)
}

/// `get`.
pub fn get(door: &Door, json: bool) -> Result<u8> {
    let whole = standing(door)?;
    match file::write(&file::items(&whole)).filter(|_| !json) {
        Some(text) => print!("{text}"),
        None => println!("{}", serde_json::to_string_pretty(&whole)?),
    }
    Ok(DONE)
}

/// `evacuate ZONE`.
pub fn evacuate(door: &Door, zone: &str, on: bool, how: How) -> Result<u8> {
    let zone_path: String = zone
        .bytes()
        .map(|b| {
            if b.is_ascii_alphanumeric() || b"-_.".contains(&b) {
                char::from(b).to_string()
            } else {
                format!("%{b:02X}")
            }
        })
        .collect();
    let path = format!("/-/Evacuate.{}/{zone_path}", if on { "Start" } else { "End" });
    let (status, body) = door.settle("POST", &path, b"")?;
    if status != 200 {
        return Err(end(REFUSED, format!("{status} {}", reason(&body))));
    }
    let (there, behind) = in_force(door, &format!("{EVACUATION}{zone}"), how.wait, how.json)?;
    let what = if on {
        "evacuated: nothing more is sent to its upstreams"
    } else {
        "back: its upstreams begin as cold ones"
    };
    let mut lines = vec![format!("{zone} {what}")];
    if behind.is_empty() {
        lines.push(format!("in force at all {there} nodes"));
    } else {
        lines.push(format!("not in force everywhere after {:.0} s:", how.wait.as_secs_f64()));
        lines.extend(behind.iter().map(|b| format!("    {b}")));
    }
    report(how.json, json!({ "zone": zone, "evacuated": on, "nodes": there, "notInForce": behind }), &lines);
    Ok(if behind.is_empty() { DONE } else { NOT_SO })
}

/// `backup FILE`: all items and evacuations.
pub fn backup(door: &Door, path: &Path, json: bool) -> Result<u8> {
    let whole = standing(door)?;
    let (at, state) = door.first()?;
    let value = json!({ "form": 1, "from": at, "items": whole, "evacuated": state["evacuated"] });
    let named = path.display();
    // Written beside and renamed, so that a backup is whole or not there.
    let beside = path.with_extension("part");
    std::fs::write(&beside, serde_json::to_string_pretty(&value)? + "\n")
        .and_then(|()| std::fs::File::open(&beside)?.sync_all())
        .and_then(|()| std::fs::rename(&beside, path))
        .map_err(|e| end(UNUSABLE, format!("{named}: {e} (name a file that can be written)")))?;
    let count = file::items(&whole).len();
    report(json, json!({ "items": count, "file": named.to_string() }), &[format!("{named}: {count} items")]);
    Ok(DONE)
}

/// `restore FILE`: what a backup holds stands again, at editions above those that stand now. What came after it is dropped only
/// where that is asked for.
pub fn restore(door: &Door, path: &Path, exact: bool, how: How) -> Result<u8> {
    let named = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| end(UNUSABLE, format!("{named}: {e}")))?;
    let value: Value = serde_json::from_str(&text)
        .map_err(|e| end(UNUSABLE, format!("{named}:{}:{}: {e} (is it a backup?)", e.line(), e.column())))?;
    if value["form"] != 1 {
        return Err(end(
            UNUSABLE,
            format!("{named}: no backup of form 1 (use a file that `silvercrossctl backup` wrote)"),
        ));
    }
    let now = standing(door)?;
    let stands = file::items(&now);
    let mut wanted = file::items(&value["items"]);
    for item in &mut wanted {
        let old = stands.iter().find(|s| (s.kind, &s.name) == (item.kind, &item.name));
        // Below what stands the edition is raised; above it, it stays, so that a drop since then is not above it by much.
        if old.is_some_and(|o| o.edition >= item.edition) {
            item.edition = None;
        } else if old.is_none() {
            // A name that was dropped since stands at an edition that nobody tells: well above it.
            item.edition = item.edition.map(|e| e.saturating_add(RAISED));
        }
    }
    if exact {
        for old in stands.iter().filter(|s| s.kind != Kind::Limits) {
            if !wanted.iter().any(|w| (w.kind, &w.name) == (old.kind, &old.name)) {
                wanted.push(Wanted { fields: None, edition: None, ..old.clone() });
            }
        }
    }
    let plan = plan(wanted, &now).map_err(|faults| faulty(path, &faults))?;
    let code = carry_out(door, &plan, how)?;
    if how.json {
        return Ok(code);
    }
    for zone in list(&value, "evacuated").filter_map(Value::as_str) {
        println!("{zone} was evacuated when the backup was made; that is not brought back (`silvercrossctl evacuate {zone}`)");
    }
    Ok(code)
}

/// How far a name that does not stand is raised above its edition in a backup.
const RAISED: u64 = 1000;
