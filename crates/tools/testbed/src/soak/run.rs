//! A soak from its beginning to its verdict.
use super::changes::{filler, write_changes, Acknowledged};
use super::clients::{
    check_clients, leave_again_and_again, stay, CheckedMesh, ClientLog, ClientPlace, SLOW_WORK,
};
use super::departures::{check_departures, DepartureLog};
use super::long_requests::{
    check_long_requests, limits, long_routes, LongClient, LongLog, Stops, UPSTREAM_PACE,
};
use super::loss::{draw_loss, play_loss};
use super::player::{run_schedule, Disturbed, Schedule};
use super::schedule::{draw, draw_departures, Departure, Drawing, Fault};
use super::watch::{watch, Disturbances, Observations, WatchedNode};
use crate::mesh::MeshPlan;
use crate::operator::patch;
use crate::testbed::{get_json, Testbed, METRICS_PATH, STATE_PATH};
use crate::upstream::{Upstream, UpstreamBehaviour};
use crate::wait::wait_until;
use anyhow::Result;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// How long nothing happens at the end.
const CALM: Duration = Duration::from_secs(5);
/// Lines of the log of a sidecar whose upstream is not sent to.
const UNSERVED_LOG_LINES: usize = 30;
/// All nodes have the same configuration in force so long after the last fault and the last change.
const CONVERGED_WITHIN: Duration = Duration::from_secs(10);
/// Lines of a log that are searched for broken invariants: all.
const ALL_LINES: usize = usize::MAX;
/// The log line of a change.
const CONFIGURED: &str = "configuration in force";
/// The log line of a broken invariant.
const VIOLATION: &str = "invariant violated";
/// The version of the routes and limits for long requests.
const LONG_ROUTES_VERSION: u64 = 3;
/// Faults of a seed that are shown.
const MAX_SHOWN_FAULTS: usize = 5;

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct SoakOptions {
    /// The first seed.
    pub first_seed: u64,
    /// How many seeds, one after the other.
    pub seeds: u64,
    /// How long faults are drawn for, of each seed.
    pub span: Duration,
    /// Machines with an upstream, in one zone, so that there are relays.
    pub side_count: usize,
    /// Routes that make the configuration large.
    pub filler_routes: usize,
    /// What a connection between two machines carries in each direction, in bytes a second. Beyond [`MAX_LINKED_SIDES`] sides nothing
    /// stands between machines, and none is cut off.
    pub link_bytes_per_second: u64,
    /// Clients that leave, and clients that stay, at each side.
    pub clients_per_side: usize,
    /// Clients of long requests at each side.
    pub long_clients_per_side: usize,
    /// Whether some of their bodies fill the buffers of all systems on their way before a slow reader.
    pub has_very_long_bodies: bool,
}

/// Sides that links can stand between.
pub const MAX_LINKED_SIDES: usize = 11;

impl SoakOptions {
    /// The full size.
    pub const FULL: SoakOptions = SoakOptions {
        first_seed: 1,
        seeds: 20,
        span: Duration::from_secs(15),
        side_count: 9,
        filler_routes: 300,
        link_bytes_per_second: 150_000,
        clients_per_side: 1,
        long_clients_per_side: 3,
        has_very_long_bodies: true,
    };
    /// As CI plays it.
    pub const SHORT: SoakOptions = SoakOptions {
        seeds: 3,
        span: Duration::from_secs(9),
        side_count: 6,
        long_clients_per_side: 2,
        has_very_long_bodies: false,
        ..SoakOptions::FULL
    };

    fn has_links(&self) -> bool {
        self.side_count <= MAX_LINKED_SIDES
    }
}

/// What a seed showed.
#[derive(Clone, Debug, Default)]
pub struct SoakResult {
    /// Its faults, in words.
    pub schedule: Vec<String>,
    /// Changes that were acknowledged.
    pub changes: usize,
    /// Answers of nodes in touch that were checked.
    pub checked: u64,
    /// Requests whose clients had left while an upstream was at work, that were checked.
    pub left: usize,
    /// Requests of clients that stayed.
    pub stayed: usize,
    /// Departures of upstreams that were acknowledged.
    pub departed: usize,
    /// Long requests.
    pub long: usize,
    /// Those that had reached an upstream while the process of their client's machine was told to end.
    pub through_stop: usize,
    /// The same for the process beside their upstream.
    pub through_upstream_stop: usize,
    /// From the end of the faults and changes until all nodes agreed.
    pub converged_after: Option<Duration>,
    /// What was wrong.
    pub faults: Vec<String>,
}

/// The revision of the configuration in force at each node, as text.
async fn revisions(testbed: &Testbed) -> BTreeSet<String> {
    let mut all = BTreeSet::new();
    for machine in testbed.mesh.control_machines().chain(testbed.mesh.side_machines()) {
        let state = get_json(testbed.mesh.control(machine), STATE_PATH).await;
        all.insert(state["revisions"]["configuration"].to_string());
    }
    all
}

fn violations(testbed: &Testbed) -> Vec<String> {
    let machines = testbed.mesh.control_machines().chain(testbed.mesh.side_machines());
    let of_machine = |machine: usize| {
        let log = testbed.mesh.log(machine, ALL_LINES);
        log.into_iter().filter(|line| line.contains(VIOLATION))
    };
    machines.flat_map(of_machine).collect()
}

fn plan(options: &SoakOptions) -> MeshPlan {
    MeshPlan {
        side_count: options.side_count,
        zone_count: 1,
        has_links: options.has_links(),
        link_bytes_per_second: options.has_links().then_some(options.link_bytes_per_second),
        ..MeshPlan::default()
    }
}

/// Where a machine's client of this number is, and whom it asks.
fn client_place(testbed: &Testbed, machine: usize, number: usize) -> ClientPlace {
    // Machines of either service have clients of both.
    let services = testbed.services();
    let service = services[(machine / services.len() + number) % services.len()].clone();
    ClientPlace {
        machine,
        outbound: testbed.mesh.outbound(machine),
        sender: testbed.mesh.machines[machine].service.clone(),
        service,
    }
}

/// Clients that leave and clients that stay, at each side.
fn start_clients(testbed: &Testbed, seed: u64, count: usize, log: &ClientLog) -> Vec<JoinHandle<()>> {
    let mut tasks = Vec::new();
    for machine in testbed.mesh.side_machines() {
        for number in 0..count {
            let place = client_place(testbed, machine, number);
            let seed = seed ^ ((machine * count + number) as u64) << 32;
            tasks.push(tokio::spawn(leave_again_and_again(place.clone(), seed, log.clone())));
            tasks.push(tokio::spawn(stay(place, log.clone())));
        }
    }
    tasks
}

/// Clients of long requests at each side.
fn start_long_clients(
    testbed: &Testbed,
    seed: u64,
    options: &SoakOptions,
    log: &LongLog,
) -> Vec<JoinHandle<()>> {
    let mut tasks = Vec::new();
    let count = options.long_clients_per_side;
    for machine in testbed.mesh.side_machines() {
        for number in 0..count {
            let client = LongClient::new(
                client_place(testbed, machine, number),
                log.clone(),
                options.has_very_long_bodies,
            );
            let seed = (seed << 32) ^ (machine * count + number) as u64;
            tasks.push(tokio::spawn(client.ask_again_and_again(seed)));
        }
    }
    tasks
}

/// A watcher at each side.
fn start_watchers(
    testbed: &Testbed,
    acknowledged: &Acknowledged,
    disturbances: &Disturbances,
    observations: &Observations,
) -> Vec<JoinHandle<()>> {
    let watcher = |machine: usize| {
        let (name, outbound) = (testbed.mesh.machines[machine].name.clone(), testbed.mesh.outbound(machine));
        let node = WatchedNode { machine, name, outbound };
        tokio::spawn(watch(node, acknowledged.clone(), disturbances.clone(), observations.clone()))
    };
    testbed.mesh.side_machines().map(watcher).collect()
}

/// What is wrong, or how long it took, until all nodes agree.
async fn converge(testbed: &Testbed, result: &mut SoakResult) -> Result<()> {
    let ended = Instant::now();
    let agreed = wait_until("all nodes have the same configuration in force", CONVERGED_WITHIN, || async {
        revisions(testbed).await.len() == 1
    })
    .await;
    match agreed {
        Ok(()) => result.converged_after = Some(ended.elapsed()),
        Err(error) => result.faults.push(format!("{error:#}: {:?}", revisions(testbed).await)),
    }
    let missing = testbed.operator.missing_from(&testbed.operator.configuration().await?);
    result.faults.extend(missing.into_iter().map(|fault| format!("read back: {fault}")));
    Ok(())
}

/// What is wrong with the upstreams that are there: each is sent to in calm.
async fn check_service(testbed: &Testbed) -> Vec<String> {
    let count = |upstream: &Upstream| testbed.executions.count_at(upstream.id());
    let before: BTreeMap<usize, u64> =
        testbed.upstreams.iter().map(|(m, upstream)| (*m, count(upstream))).collect();
    tokio::time::sleep(CALM).await;
    let mut faults = Vec::new();
    for (machine, upstream) in &testbed.upstreams {
        if count(upstream) <= before[machine] {
            faults.push(describe_unserved(testbed, *machine, upstream.id()).await);
        }
    }
    faults
}

/// An upstream that is not sent to: what another machine knows of its sidecar, and the sidecar's log.
async fn describe_unserved(testbed: &Testbed, machine: usize, id: &str) -> String {
    let other = testbed.mesh.side_machines().find(|other| *other != machine).unwrap_or(machine);
    let address = testbed.mesh.control(other);
    let (state, metrics) = (get_json(address, STATE_PATH).await, get_json(address, METRICS_PATH).await);
    let nodes = state["nodes"].as_array().into_iter().flatten();
    let known: Vec<String> = nodes.map(Value::to_string).filter(|node| node.contains(id)).collect();
    let log = testbed.mesh.log(machine, ALL_LINES);
    let log: Vec<String> = log.into_iter().filter(|line| !line.contains(CONFIGURED)).collect();
    let log = log[log.len().saturating_sub(UNSERVED_LOG_LINES)..].join("\n");
    format!(
        "nothing was sent to {id} of machine {machine} for {CALM:?} in calm; machine {other} knows {known:?} and balances {}; log:\n{log}",
        metrics["desks"]
    )
}

/// What is written down while a seed is played.
#[derive(Default)]
struct Logs {
    acknowledged: Acknowledged,
    observations: Observations,
    clients: ClientLog,
    long_requests: LongLog,
    departures: DepartureLog,
}

/// Start the mesh, with routes for all clients.
async fn start_testbed(program: &Path, options: &SoakOptions) -> Result<Testbed> {
    let behaviour =
        UpstreamBehaviour { slow_work: SLOW_WORK, read_pace: UPSTREAM_PACE, ..UpstreamBehaviour::default() };
    let testbed = Testbed::start(&plan(options), behaviour, program).await?;
    testbed.operator.patch(&filler(&testbed.services()[0], options.filler_routes)).await?;
    let long_routes: Vec<_> = testbed.services().iter().flat_map(|service| long_routes(service)).collect();
    testbed.operator.patch(&patch(&long_routes, &[], LONG_ROUTES_VERSION)).await?;
    testbed.operator.patch(&limits(LONG_ROUTES_VERSION)).await?;
    Ok(testbed)
}

/// Hold what was written down against what upstreams ran.
fn check_logs(testbed: &Testbed, logs: &Logs, disturbed: &Disturbed, result: &mut SoakResult) {
    let of_machine = |(machine, upstream): (&usize, &Upstream)| (upstream.id().to_string(), *machine);
    let mut machine_of: BTreeMap<String, usize> = testbed.upstreams.iter().map(of_machine).collect();
    machine_of.extend(logs.departures.machines());
    let (executions, unplanned) = (&testbed.executions, &disturbed.unplanned);
    let departures = &logs.departures;
    let checked_mesh = CheckedMesh { executions, machine_of: &machine_of, unplanned, departures };
    let of_clients = check_clients(&logs.clients, &checked_mesh);
    let of_long = check_long_requests(&logs.long_requests, &checked_mesh, &disturbed.stops);
    let sent = logs.clients.requests().into_iter().chain(logs.long_requests.requests());
    result.faults.extend(check_departures(departures, sent, executions, &disturbed.by_any));
    let observed = logs.observations.get();
    (result.long, result.through_stop) = (of_long.asked, of_long.through_stop);
    result.through_upstream_stop = of_long.through_upstream_stop;
    (result.left, result.stayed) = (of_clients.left, of_clients.stayed);
    (result.changes, result.checked) = (logs.acknowledged.count(), observed.checked);
    result.departed = departures.acknowledged_count();
    result.faults.extend(observed.faults);
    result.faults.extend(of_clients.faults);
    result.faults.extend(of_long.faults);
    result.faults.extend(violations(testbed));
}

/// Play one seed.
///
/// # Errors
/// When the mesh does not start, or a fault can't be brought about.
pub async fn play(program: &Path, seed: u64, options: &SoakOptions) -> Result<SoakResult> {
    let mut testbed = start_testbed(program, options).await?;
    let (machines, control_count) = (testbed.mesh.machines.len(), testbed.mesh.control_machines().len());
    let (span, has_links) = (options.span, options.has_links());
    let drawing = Drawing { span, machines, control_count, has_links };
    let faults = draw(seed, &drawing);
    let departures = draw_departures(seed, &drawing, &faults);
    let disturbed = Disturbed {
        by_any: Disturbances::new(machines, control_count),
        unplanned: Disturbances::new(machines, control_count),
        stops: Stops::default(),
    };
    let logs = Logs::default();
    let addresses = testbed.mesh.control_machines().map(|machine| testbed.mesh.control(machine)).collect();
    let is_ending = Arc::new(AtomicBool::new(false));
    let (operator, service) = (testbed.operator.clone(), testbed.services()[0].clone());
    let acknowledged = logs.acknowledged.clone();
    let writing = write_changes(operator, addresses, service, seed, acknowledged, is_ending.clone());
    let writer = tokio::spawn(writing);
    let mut tasks = start_watchers(&testbed, &logs.acknowledged, &disturbed.by_any, &logs.observations);
    tasks.extend(start_clients(&testbed, seed, options.clients_per_side, &logs.clients));
    tasks.extend(start_long_clients(&testbed, seed, options, &logs.long_requests));
    let schedule = Schedule { faults: &faults, departures: &departures };
    let mut played = run_schedule(&mut testbed, &schedule, &disturbed, &logs.departures).await;
    let loss = draw_loss(seed, &drawing);
    if played.is_ok() {
        played = play_loss(&mut testbed, &loss, &disturbed, &logs.departures).await;
    }
    // In calm, with changes still coming, for as long as a node takes to count again.
    let unserved = check_service(&testbed).await;
    is_ending.store(true, Relaxed);
    let stopped = writer.await?.err().map(|error| format!("the operator: {error:#}"));
    tasks.iter().for_each(JoinHandle::abort);
    let of_departures = departures.iter().map(Departure::to_string);
    let schedule =
        faults.iter().map(Fault::to_string).chain(of_departures).chain([loss.to_string()]).collect();
    let mut result = SoakResult { schedule, ..SoakResult::default() };
    result.faults.extend(played.err().map(|error| format!("{error:#}")));
    result.faults.extend(unserved);
    converge(&testbed, &mut result).await?;
    testbed.wait_until_idle().await?;
    check_logs(&testbed, &logs, &disturbed, &mut result);
    result.faults.extend(stopped);
    Ok(result)
}

fn print(seed: u64, result: &SoakResult) {
    let SoakResult { schedule, changes, checked, left, stayed, converged_after, faults, .. } = result;
    let SoakResult { departed, long, through_stop, through_upstream_stop, .. } = result;
    println!(
        "seed {seed}: {} faults, {changes} changes, {checked} answers of nodes in touch checked, {left} requests of leavers, {stayed} of \
         stayers, {departed} departures acknowledged, {long} long requests ({through_stop} through a SIGTERM at their client's machine, {through_upstream_stop} at their upstream's), \
         agreed after {converged_after:?}, {} wrong",
        schedule.len(),
        faults.len()
    );
    if !faults.is_empty() {
        schedule.iter().for_each(|fault| println!("    {fault}"));
        faults.iter().take(MAX_SHOWN_FAULTS).for_each(|fault| println!("    BROKEN {fault}"));
    }
}

/// Play the seeds and print what was seen; whether nothing was wrong.
pub async fn run(program: &Path, options: &SoakOptions) -> bool {
    let mut is_kept = true;
    for seed in options.first_seed..options.first_seed + options.seeds {
        let result = match play(program, seed, options).await {
            Ok(result) => result,
            Err(error) => SoakResult { faults: vec![format!("{error:#}")], ..SoakResult::default() },
        };
        print(seed, &result);
        is_kept &= result.faults.is_empty();
    }
    is_kept
}
