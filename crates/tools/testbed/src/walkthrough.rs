//! The newcomer's command: a mesh starts, an operator sets its routes, a request is served, and each step is shown.
use crate::checker::{check_attempts, Attempt};
use crate::client::{Client, Outcome, RequestKind, DEADLINE_MS, HOST};
use crate::http_connection::Response;
use crate::identifiers::attempt_id;
use crate::mesh::MeshPlan;
use crate::operator::{patch, Route};
use crate::testbed::{get_json, Testbed, METRICS_PATH, STATE_PATH};
use crate::upstream::UpstreamBehaviour;
use crate::wait::{wait_until, WAIT_TIMEOUT};
use anyhow::{bail, Result};
use serde_json::Value;
use std::path::Path;
use std::time::Instant;

/// The request that is followed.
const TARGET: &str = "/welcome/traveller";

fn delivered(metrics: &Value) -> u64 {
    metrics["delivered"].as_u64().unwrap_or(0)
}

/// Show it; every line goes to standard output.
///
/// # Errors
/// When something does not start, or the request is not served as it should be.
pub async fn run(program: &Path) -> Result<()> {
    let began = Instant::now();
    let plan = MeshPlan::default();
    println!(
        "Starting {} control and {} side machines, each an address on loopback ...",
        plan.control_count, plan.side_count
    );
    let testbed = Testbed::start(&plan, UpstreamBehaviour::default(), program).await?;
    println!(
        "  up after {:.1} s; settings, disks and logs in {}",
        began.elapsed().as_secs_f64(),
        testbed.mesh.dir().display()
    );
    show_members(&testbed).await;
    let service = testbed.services()[0].clone();
    set_route(&testbed, &service).await?;
    let machines = &testbed.mesh.machines;
    let mut sides = testbed.mesh.side_machines();
    let first_side = sides.start;
    let origin = sides.find(|side| machines[*side].service != service).unwrap_or(first_side);
    let address = testbed.mesh.outbound(origin);
    // The route takes hold at this side a moment after it was acknowledged.
    wait_until("the new route takes hold", WAIT_TIMEOUT, || async move {
        let mut client = Client::new(address);
        client.send("/welcome/first", &attempt_id(), b"").await.status() == Some(200)
    })
    .await?;
    follow_request(&testbed, origin, &service).await?;
    let configuration = testbed.operator.configuration().await?;
    let missing = testbed.operator.missing_from(&configuration);
    if !missing.is_empty() {
        bail!("acknowledged, but not read back: {missing:?}");
    }
    println!(
        "\nServed once, complete, with the right stamp; the configuration was read back as acknowledged."
    );
    drop(testbed);
    println!("All processes are ended, their folder is removed ({:.1} s).", began.elapsed().as_secs_f64());
    Ok(())
}

async fn show_members(testbed: &Testbed) {
    let machines = &testbed.mesh.machines;
    println!("\nWho is in the mesh, as {} knows it:", machines[0].name);
    println!("  {:<8} {:<13} {:<5} {:<8} upstream", "machine", "address", "zone", "service");
    let state = get_json(testbed.mesh.control(0), STATE_PATH).await;
    for machine in machines {
        let address = machine.address.to_string();
        let mut nodes = state["nodes"].as_array().into_iter().flatten();
        let node = nodes.find(|node| node["node"] == address.as_str());
        let upstream = node.and_then(|node| node["upstream"].as_str()).unwrap_or("-");
        let service = if machine.is_control { "-" } else { &machine.service };
        let is_known = node.is_some() || machine.name == machines[0].name;
        let remark = if is_known { "" } else { "  (not known there)" };
        println!("  {:<8} {address:<13} {:<5} {service:<8} {upstream}{remark}", machine.name, machine.zone);
    }
}

async fn set_route(testbed: &Testbed, service: &str) -> Result<()> {
    let route = Route {
        name: "r-welcome".into(),
        path_prefix: "/welcome/".into(),
        ..Route::of(service, RequestKind::Safe)
    };
    let call = patch(&[route], &[], 2);
    println!("\nThe operator calls {}:", testbed.mesh.control(0));
    println!("  POST /-/Config.Patch\n  {call}");
    testbed.operator.patch(&call).await?;
    println!("  -> 200: kept on disk by more than one control machine before the answer");
    Ok(())
}

async fn side_metrics(testbed: &Testbed) -> Vec<Value> {
    let mut metrics = Vec::new();
    for side in testbed.mesh.side_machines() {
        metrics.push(get_json(testbed.mesh.control(side), METRICS_PATH).await);
    }
    metrics
}

/// Send one request and show its way.
async fn follow_request(testbed: &Testbed, origin: usize, service: &str) -> Result<()> {
    let (mesh, machine) = (&testbed.mesh, &testbed.mesh.machines[origin]);
    let before = side_metrics(testbed).await;
    let id = attempt_id();
    println!("\nA client on {} asks its own sidecar at {}:", machine.name, mesh.outbound(origin));
    println!("  GET {TARGET} HTTP/1.1\n  Host: {HOST}\n  Attempt-Id: {id}\n  Deadline-Ms: {DEADLINE_MS}");
    let sent = Instant::now();
    let outcome = Client::new(mesh.outbound(origin)).send(TARGET, &id, b"").await;
    let took_ms = sent.elapsed().as_secs_f64() * 1e3;
    println!("\nWhat happened on its way:");
    println!(
        "  {:<8} took it in, found route r-welcome -> {service}, picked an upstream by what it knows",
        machine.name
    );
    let after = side_metrics(testbed).await;
    for ((side, before), after) in mesh.side_machines().zip(&before).zip(&after) {
        if delivered(after) > delivered(before) {
            let side = &mesh.machines[side];
            println!(
                "  {:<8} (zone {}) let it through its gate to the upstream beside it",
                side.name, side.zone
            );
        }
    }
    let ran_at = testbed.executions.upstreams_of(&id);
    for (side, upstream) in &testbed.upstreams {
        if ran_at.iter().any(|id| id == upstream.id()) {
            println!("  {:<8} ran it, at {}", upstream.id(), mesh.upstream(*side));
        }
    }
    let (sender, target) = (machine.service.clone(), TARGET.to_string());
    let kind = RequestKind::Safe;
    let attempt = Attempt { id, kind, target, sender, body: Vec::new(), outcome: outcome.clone() };
    let Outcome::Answer(response) = outcome else { bail!("no answer came") };
    show_answer(&response, took_ms);
    let verdict = check_attempts(&[attempt], &testbed.executions);
    if verdict.served != 1 || !verdict.faults.is_empty() {
        bail!("it was not served as it should be: {verdict:?}");
    }
    Ok(())
}

fn show_answer(response: &Response, took_ms: f64) {
    println!("\nThe answer, after {took_ms:.1} ms:");
    println!("  {}\n  stamp: {}", response.status, response.stamp.clone().unwrap_or_default());
    println!("  {}", String::from_utf8_lossy(&response.body).trim_end());
}
