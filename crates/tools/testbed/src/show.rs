//! The newcomer's command: a mesh starts, an operator sets its routes, a request is served, and each step is told.
use crate::client::{self, Client, Kind, HOST};
use crate::mesh::Plan;
use crate::operator::{patch, Route};
use crate::station::Manner;
use crate::village::{told, Village};
use crate::witness::{judge, Tried};
use anyhow::{bail, Result};
use serde_json::Value;
use std::path::Path;
use std::time::Instant;

fn count(figures: &Value, name: &str) -> u64 {
    figures[name].as_u64().unwrap_or(0)
}

/// Show it; every line goes to standard output.
pub async fn show(program: &Path) -> Result<()> {
    let began = Instant::now();
    let plan = Plan::default();
    println!("Starting {} core and {} side machines, each an address on loopback ...", plan.core, plan.side);
    let village = Village::open(&plan, Manner::default(), program).await?;
    let mesh = &village.mesh;
    println!(
        "  up after {:.1} s; settings, disks and logs in {}",
        began.elapsed().as_secs_f64(),
        mesh.dir().display()
    );
    println!("\nWho is in the mesh, as {} knows it:", mesh.machines[0].name);
    println!("  {:<8} {:<13} {:<5} {:<8} upstream", "machine", "address", "zone", "service");
    let state = told(mesh.control(0), "/-/Post.State").await;
    for m in &mesh.machines {
        let ip = m.ip.to_string();
        let mut nodes = state["nodes"].as_array().into_iter().flatten();
        let node = nodes.find(|n| n["node"] == ip.as_str());
        let upstream = node.and_then(|n| n["upstream"].as_str()).unwrap_or("-");
        let service = if m.core { "-" } else { &m.service };
        let known =
            if node.is_some() || m.name == mesh.machines[0].name { "" } else { "  (not known there)" };
        println!("  {:<8} {ip:<13} {:<5} {service:<8} {upstream}{known}", m.name, m.zone);
    }

    let service = village.services()[0].clone();
    let route =
        Route { name: "r-welcome".into(), lane: "/welcome/".into(), ..Route::of(&service, Kind::Safe) };
    let call = patch(&[route], &[], 2);
    println!("\nThe operator calls {}:", mesh.control(0));
    println!("  POST /-/Config.Patch\n  {call}");
    village.operator.patch(&call).await?;
    println!("  -> 200: kept on disk by more than one core machine before the answer");
    let sides: Vec<usize> = mesh.sides().collect();
    let origin = sides.iter().copied().find(|m| mesh.machines[*m].service != service).unwrap_or(sides[0]);
    let mut client = Client::new(mesh.outbound(origin));
    // The route takes hold at this side a moment after it was acknowledged.
    crate::until("the new route takes hold", crate::village::LIMIT, || {
        let mut asker = Client::new(mesh.outbound(origin));
        async move { asker.ask("/welcome/first", &client::id(), b"").await.status() == Some(200) }
    })
    .await?;

    let me = &mesh.machines[origin];
    let mut before = Vec::new();
    for m in &sides {
        before.push(told(mesh.control(*m), "/-/Post.Figures").await);
    }
    let (id, target) = (client::id(), "/welcome/traveller");
    println!("\nA client on {} asks its own sidecar at {}:", me.name, mesh.outbound(origin));
    println!(
        "  GET {target} HTTP/1.1\n  Host: {HOST}\n  Attempt-Id: {id}\n  Deadline-Ms: {}",
        client::DEADLINE_MS
    );
    let asked = Instant::now();
    let came = client.ask(target, &id, b"").await;
    let took = asked.elapsed();
    println!("\nWhat happened on its way:");
    println!(
        "  {:<8} took it in, found route r-welcome -> {service}, picked an upstream by what it knows",
        me.name
    );
    for (m, before) in sides.iter().zip(&before) {
        let now = told(mesh.control(*m), "/-/Post.Figures").await;
        if count(&now, "delivered") > count(before, "delivered") {
            let m = &mesh.machines[*m];
            println!("  {:<8} (zone {}) let it through its gate to the upstream beside it", m.name, m.zone);
        }
    }
    for (m, station) in &village.stations {
        if village.runs.of(&id).iter().any(|s| s == station.id()) {
            println!("  {:<8} ran it, at {}", station.id(), mesh.station(*m));
        }
    }
    let tried = Tried {
        id,
        kind: Kind::Safe,
        target: target.into(),
        sender: me.service.clone(),
        body: Vec::new(),
        came: came.clone(),
    };
    let client::Came::Answer(answer) = came else { bail!("no answer came") };
    println!("\nThe answer, after {:.1} ms:", took.as_secs_f64() * 1e3);
    println!("  {}\n  Postmark: {}", answer.status, answer.stamp.clone().unwrap_or_default());
    println!("  {}", String::from_utf8_lossy(&answer.body).trim_end());
    let judged = judge(&[tried], &village.runs);
    if judged.served != 1 || !judged.faults.is_empty() {
        bail!("it was not served as it should be: {judged:?}");
    }
    let missing = village.operator.missing(&village.operator.get().await?);
    if !missing.is_empty() {
        bail!("acknowledged, but not read back: {missing:?}");
    }
    println!("\nServed once, whole, with the right stamp; the configuration was read back as acknowledged.");
    drop(village);
    println!("All processes are ended, their folder is removed ({:.1} s).", began.elapsed().as_secs_f64());
    Ok(())
}
