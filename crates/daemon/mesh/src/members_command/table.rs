//! Prints the nodes' reports for the operator: all members over all nodes, or one member node by node.
use super::client::NodeReport;
use anyhow::{bail, Result};
use serde_json::{json, Value};
use std::collections::BTreeSet;

/// Prints all members, or the one of this name.
pub(super) fn print(reports: &[NodeReport], name: Option<&str>, as_json: bool) -> Result<()> {
    match name {
        _ if as_json => print_json(reports, name),
        Some(name) => return print_member(reports, name),
        None => print_all(reports),
    }
    Ok(())
}

fn answers(reports: &[NodeReport]) -> impl Iterator<Item = &Value> {
    reports.iter().filter_map(|report| report.members.as_ref())
}

fn rows<'a>(answer: &'a Value, name: &'a str) -> impl Iterator<Item = &'a Value> {
    answer["members"].as_array().into_iter().flatten().filter(move |member| member["name"] == name)
}

fn step_text(row: &Value) -> String {
    format!("{}/{}", row["step"], row["of"])
}

fn print_json(reports: &[NodeReport], name: Option<&str>) {
    let members = |answer: &Value| match name {
        Some(name) => rows(answer, name).cloned().collect(),
        None => answer["members"].as_array().cloned().unwrap_or_default(),
    };
    let nodes: Vec<Value> = reports
        .iter()
        .map(|report| {
            let answer = report.members.as_ref();
            json!({ "at": report.address, "node": answer.map(|answer| answer["node"].clone()),
                "members": answer.map(members) })
        })
        .collect();
    println!("{}", json!({ "nodes": nodes }));
}

fn print_member(reports: &[NodeReport], name: &str) -> Result<()> {
    if !answers(reports).any(|answer| rows(answer, name).next().is_some()) {
        bail!("{name:?}: no member on any node (see members list)");
    }
    println!(
        "{:<22} {:<12} {:<6} {:>8} {:>7} {:>7} {:>8}  owner",
        "at", "node", "plan", "edition", "lapsed", "step", "age s"
    );
    for NodeReport { address, members: answer } in reports {
        let row = answer.as_ref().and_then(|answer| rows(answer, name).next());
        let node = answer.as_ref().and_then(|answer| answer["node"].as_str()).unwrap_or("-");
        match row {
            Some(row) => println!(
                "{address:<22} {node:<12} {:<6} {:>8} {:>7} {:>7} {:>8}  {}",
                row["plan"].as_str().unwrap_or("-"),
                row["edition"].to_string(),
                if row["lapsed"] == true { "yes" } else { "no" },
                step_text(row),
                row["ageS"].as_f64().map_or("-".to_string(), |seconds| format!("{seconds:.1}")),
                row["owner"].as_str().unwrap_or("-")
            ),
            None if answer.is_some() => println!("{address:<22} {node:<12} knows no such member"),
            None => println!("{address:<22} does not answer"),
        }
    }
    Ok(())
}

/// A step of a member, and the number of nodes on which it is in force.
struct StepCount {
    step: u64,
    text: String,
    nodes: usize,
}

fn step_counts(rows: &[&Value]) -> Vec<StepCount> {
    let mut counts: Vec<StepCount> = Vec::new();
    for row in rows {
        let text = step_text(row);
        match counts.iter_mut().find(|count| count.text == text) {
            Some(count) => count.nodes += 1,
            None => counts.push(StepCount { step: row["step"].as_u64().unwrap_or(0), text, nodes: 1 }),
        }
    }
    counts.sort_by(|a, b| (a.step, &a.text).cmp(&(b.step, &b.text)));
    counts
}

fn print_all(reports: &[NodeReport]) {
    let members = answers(reports).flat_map(|answer| answer["members"].as_array().into_iter().flatten());
    let names: BTreeSet<&str> = members.filter_map(|member| member["name"].as_str()).collect();
    println!(
        "{:<24} {:<6} {:>8}  steps over {} nodes ({} answered)",
        "member",
        "plan",
        "edition",
        reports.len(),
        answers(reports).count()
    );
    for name in names {
        let found: Vec<&Value> = answers(reports).filter_map(|answer| rows(answer, name).next()).collect();
        let counts = step_counts(&found);
        let steps: Vec<String> =
            counts.iter().map(|count| format!("{} on {}", count.text, count.nodes)).collect();
        let newest = found.iter().max_by_key(|row| row["edition"].as_u64());
        let plan = newest.and_then(|row| row["plan"].as_str()).unwrap_or("-");
        let version = newest.map_or("-".to_string(), |row| row["edition"].to_string());
        println!("{name:<24} {plan:<6} {version:>8}  {}", steps.join(", "));
    }
}
