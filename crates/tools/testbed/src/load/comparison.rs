//! Both ways under load in turns, and what each has cost.
use super::forwarder::Forwarder;
use super::process::{cpu_us, resident_kib};
use crate::client::{Client, Outcome, RequestKind};
use crate::identifiers::{attempt_id, unique_number};
use crate::mesh::{Mesh, MeshPlan};
use crate::operator::{patch, Route};
use crate::testbed::{get_json, Testbed, METRICS_PATH};
use crate::upstream::UpstreamBehaviour;
use crate::wait::{wait_until, WAIT_TIMEOUT};
use anyhow::{Context, Result};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// The chain of sidecars costs at most so many times what the forwarders do.
const MAX_COST_RATIO: f64 = 2.0;
/// A process at rest holds less memory than this, in KiB.
const MAX_RESIDENT_KIB: u64 = 16 * 1024;
/// Chain and forwarders take turns so often.
const ROUNDS: u32 = 3;
/// The path prefix that is loaded.
const PATH_PREFIX: &str = "/load/";
/// Lines of a log that are shown where requests failed.
const LOG_LINES: usize = 4;

/// What is asked of both ways.
#[derive(Clone, Copy, Debug)]
pub struct LoadOptions {
    /// How long each way is loaded, in seconds.
    pub seconds: f64,
    /// Clients, each with one connection.
    pub connections: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Requests a second over all clients; 0: each asks again at once.
    pub rate: f64,
    /// So many members are in force, and requests carry a member's key; with 0 they carry it and no member was ever sent.
    pub members: Option<usize>,
}

/// What one way has cost.
#[derive(Clone, Debug, Default)]
struct PathCost {
    served: u64,
    /// Answers other than 200, by what they were.
    failed: BTreeMap<String, u64>,
    seconds: f64,
    cpu_us: u64,
}

impl PathCost {
    fn cpu_us_per_request(&self) -> f64 {
        self.cpu_us as f64 / self.served.max(1) as f64
    }

    fn print(&self, name: &str) {
        let rate = self.served as f64 / self.seconds.max(1e-9);
        let failed = self.failed.values().sum::<u64>();
        println!("{name:<26} {rate:>12.0} {failed:>8} {:>16.1}", self.cpu_us_per_request());
        for (what, count) in &self.failed {
            println!("    {count} times {what}");
        }
    }
}

/// What one client got.
struct ClientCounts {
    served: u64,
    failed: Vec<String>,
}

async fn run_client(options: LoadOptions, span: Duration, to: SocketAddr, number: usize) -> ClientCounts {
    let mut client = Client::new(to);
    if options.members.is_some() {
        client = client.with_header("Club", "k-0");
    }
    let (target, body) = (format!("{PATH_PREFIX}{number}"), vec![b'x'; options.body_bytes]);
    let (mut counts, first_id) = (ClientCounts { served: 0, failed: Vec::new() }, unique_number());
    let (began, mut sent) = (Instant::now(), 0_u64);
    while began.elapsed() < span {
        let id = format!("{:016x}", first_id.wrapping_add(sent));
        sent += 1;
        match client.send(&target, &id, &body).await {
            Outcome::Answer(response) if response.status == 200 => counts.served += 1,
            Outcome::Answer(response) => {
                let reason = String::from_utf8_lossy(&response.body).trim().to_string();
                counts.failed.push(format!("{} {reason}", response.status));
            }
            other => counts.failed.push(format!("{other:?}")),
        }
        if options.rate > 0.0 {
            let next_s = sent as f64 * options.connections as f64 / options.rate;
            tokio::time::sleep(Duration::from_secs_f64(next_s).saturating_sub(began.elapsed())).await;
        }
    }
    counts
}

/// Load one way for a span, and add what its processes used.
async fn load_path(
    options: LoadOptions,
    span: Duration,
    to: SocketAddr,
    pids: &[u32],
    cost: &mut PathCost,
) -> Result<()> {
    let used = || pids.iter().map(|pid| cpu_us(*pid)).sum::<Option<u64>>().context("a process has ended");
    let (before, began) = (used()?, Instant::now());
    let client = |number| tokio::spawn(run_client(options, span, to, number));
    let clients: Vec<_> = (0..options.connections).map(client).collect();
    for client in clients {
        let counts = client.await?;
        cost.served += counts.served;
        counts.failed.into_iter().for_each(|what| *cost.failed.entry(what).or_default() += 1);
    }
    cost.seconds += began.elapsed().as_secs_f64();
    cost.cpu_us += used()? - before;
    Ok(())
}

/// A mesh of two sidecars in which one way is routed from the first to the second.
async fn start_chain(program: &Path, options: LoadOptions) -> Result<Testbed> {
    let plan = MeshPlan { control_count: 1, side_count: 2, zone_count: 1, ..MeshPlan::default() };
    let slots = options.connections.max(16);
    let behaviour =
        UpstreamBehaviour { slots, work: Duration::ZERO, is_recorded: false, ..UpstreamBehaviour::default() };
    let testbed = Testbed::start(&plan, behaviour, program).await?;
    let sides: Vec<usize> = testbed.mesh.side_machines().collect();
    let service = testbed.mesh.machines[sides[1]].service.clone();
    // Ranked first and repeatable: nothing but the way is measured.
    let route = Route {
        name: "r-load".into(),
        path_prefix: PATH_PREFIX.into(),
        ..Route::of(&service, RequestKind::Safe)
    };
    testbed.operator.patch(&patch(&[route], &[], 2)).await?;
    if let Some(members) = options.members.filter(|count| *count > 0) {
        let item = |number| json!({ "name": format!("m-{number}"), "key": format!("k-{number}"), "plan": "trial", "lapsesAt": 4e9, "edition": 1 });
        let items: Vec<_> = (0..members).map(item).collect();
        let call =
            json!({ "deliver": { "membership": { "header": "club", "edition": 1 }, "members": items } });
        testbed.operator.patch(&call).await?;
    }
    let to = testbed.mesh.outbound(sides[0]);
    wait_until("the route takes hold", WAIT_TIMEOUT, || async {
        Client::new(to).send("/load/first", &attempt_id(), b"").await.status() == Some(200)
    })
    .await?;
    Ok(testbed)
}

async fn print_sides(mesh: &Mesh) {
    for machine in mesh.side_machines() {
        let metrics = get_json(mesh.control(machine), METRICS_PATH).await;
        println!("    {}: {metrics}", mesh.machines[machine].name);
        mesh.log(machine, LOG_LINES).iter().for_each(|line| println!("      {line}"));
    }
}

fn megabytes(kib: &[u64]) -> String {
    kib.iter().map(|kib| format!("{:.1}", *kib as f64 / 1024.0)).collect::<Vec<_>>().join(" ")
}

fn met(is_met: bool) -> &'static str {
    if is_met {
        "met"
    } else {
        "NOT met"
    }
}

/// Measure and print; whether both goals were met.
///
/// # Errors
/// When something does not start, or ends during the measurement.
pub async fn run(program: &Path, options: LoadOptions) -> Result<bool> {
    let testbed = start_chain(program, options).await?;
    let mesh = &testbed.mesh;
    let sides: Vec<usize> = mesh.side_machines().collect();
    let pid = |machine: usize| mesh.pid(machine).context("a process has ended");
    let chain = [pid(sides[0])?, pid(sides[1])?];
    let all: Vec<u32> = (0..mesh.machines.len()).filter_map(|machine| mesh.pid(machine)).collect();
    let resident = || -> Vec<u64> { all.iter().filter_map(|pid| resident_kib(*pid)).collect() };
    let at_rest = resident();
    let second = Forwarder::start(mesh.upstream(sides[1]))?;
    let first = Forwarder::start(second.address())?;
    let forwarders = [first.pid(), second.pid()];
    let (mut sidecars, mut bare) = (PathCost::default(), PathCost::default());
    let span = Duration::from_secs_f64(options.seconds / f64::from(ROUNDS));
    for _ in 0..ROUNDS {
        load_path(options, span, mesh.outbound(sides[0]), &chain, &mut sidecars).await?;
        load_path(options, span, first.address(), &forwarders, &mut bare).await?;
    }
    let after = resident();
    let LoadOptions { connections, seconds, body_bytes, .. } = options;
    println!("{connections} connections, {seconds} s each, bodies of {body_bytes} bytes");
    println!("{:<26} {:>12} {:>8} {:>16}", "two hops through", "requests/s", "failed", "CPU us/request");
    sidecars.print("two sidecars");
    bare.print("two bare forwarders");
    if !sidecars.failed.is_empty() {
        print_sides(mesh).await;
    }
    let ratio = sidecars.cpu_us_per_request() / bare.cpu_us_per_request().max(1e-9);
    let (is_cheap, is_small) = (ratio <= MAX_COST_RATIO, at_rest.iter().all(|kib| *kib < MAX_RESIDENT_KIB));
    println!("ratio {ratio:.2} (goal: at most {MAX_COST_RATIO:.1}): {}", met(is_cheap));
    println!(
        "resident MB at rest, control then sides: {} (goal: under 16): {}",
        megabytes(&at_rest),
        met(is_small)
    );
    println!("resident MB after the load:              {}", megabytes(&after));
    Ok(is_cheap && is_small)
}
