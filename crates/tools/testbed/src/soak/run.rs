//! A soak from its beginning to its verdict.
use super::changes::{filler, write_changes, Acknowledged};
use super::clients::{
    check_clients, leave_again_and_again, stay, CheckedMesh, ClientLog, ClientPlace, SLOW_WORK,
};
use super::long_requests::{
    check_long_requests, limits, long_routes, LongClient, LongLog, Stops, UPSTREAM_PACE,
};
use super::schedule::{draw, Drawing, Fault, FaultKind};
use super::watch::{watch, Disturbances, Observations, WatchedNode};
use crate::mesh::MeshPlan;
use crate::operator::patch;
use crate::testbed::{get_json, Testbed, STATE_PATH};
use crate::upstream::{Upstream, UpstreamBehaviour};
use crate::wait::wait_until;
use anyhow::{bail, Context, Result};
use std::collections::BTreeSet;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// All nodes have the same configuration in force so long after the last fault and the last change.
const CONVERGED_WITHIN: Duration = Duration::from_secs(10);
/// Lines of a log that are searched for broken invariants: all.
const ALL_LINES: usize = usize::MAX;
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

/// A fault begins or ends.
struct Step {
    at: Duration,
    is_end: bool,
    fault: Fault,
}

fn steps(faults: &[Fault]) -> Vec<Step> {
    let begin = |fault: &Fault| Step { at: fault.at, is_end: false, fault: *fault };
    let end = |fault: &Fault| Step { at: fault.until, is_end: true, fault: *fault };
    let mut steps: Vec<Step> = faults.iter().flat_map(|fault| [begin(fault), end(fault)]).collect();
    steps.sort_by_key(|step| (step.at, step.is_end));
    steps
}

/// Begin or end a fault.
fn carry_out(testbed: &mut Testbed, step: &Step, cut_off: &mut BTreeSet<usize>) -> Result<()> {
    let machine = step.fault.machine;
    match (step.fault.kind, step.is_end) {
        (FaultKind::Kill, false) => testbed.mesh.kill(machine)?,
        (FaultKind::Kill, true) => testbed.mesh.start(machine, false)?,
        (FaultKind::Pause, false) => testbed.mesh.freeze(machine)?,
        (FaultKind::Pause, true) => testbed.mesh.thaw(machine)?,
        (FaultKind::Cut, is_end) => {
            if is_end {
                cut_off.remove(&machine);
            } else {
                cut_off.insert(machine);
            }
            let machines: Vec<usize> = cut_off.iter().copied().collect();
            testbed.links.as_ref().context("links")?.cut(&machines);
        }
        (FaultKind::Terminate, false) => testbed.mesh.terminate(machine)?,
        (FaultKind::Terminate, true) => {
            if !testbed.mesh.has_ended(machine) {
                bail!("machine {machine} still runs after its grace");
            }
            testbed.mesh.start(machine, false)?;
        }
        (FaultKind::Reload | FaultKind::ReloadAtEnd, false) => testbed.mesh.hang_up(machine)?,
        (FaultKind::TerminateAgain, false) => testbed.mesh.terminate(machine)?,
        (FaultKind::Reload | FaultKind::ReloadAtEnd | FaultKind::TerminateAgain, true) => {}
    }
    Ok(())
}

/// When each machine was disturbed last.
struct Disturbed {
    /// By any fault: its configuration may be old.
    by_any: Disturbances,
    /// By an unplanned one: its clients may lose what is open.
    unplanned: Disturbances,
    /// Planned ends.
    stops: Stops,
}

async fn run_schedule(testbed: &mut Testbed, faults: &[Fault], disturbed: &Disturbed) -> Result<()> {
    let (began, mut cut_off) = (Instant::now(), BTreeSet::new());
    for step in steps(faults) {
        let fault = &step.fault;
        // A process has its grace from the moment at which it is told, which may be late on a busy machine.
        let is_end_of_grace = step.is_end && fault.kind == FaultKind::Terminate;
        let signalled_at = disturbed.stops.last(fault.machine).filter(|_| is_end_of_grace);
        let due = began + step.at;
        let due = signalled_at.map_or(due, |at| due.max(at + fault.until - fault.at));
        tokio::time::sleep_until(due).await;
        let until = Instant::now().max(began + fault.until);
        if !fault.kind.is_mere_signal() {
            disturbed.by_any.disturb(fault.machine, until);
        }
        if fault.kind.is_unplanned() {
            disturbed.unplanned.disturb(fault.machine, until);
        }
        if fault.kind == FaultKind::Cut {
            // Its neighbours' links to it are reset when it is joined again.
            let control_machines = testbed.mesh.control_machines();
            control_machines.for_each(|machine| disturbed.by_any.disturb(machine, Instant::now()));
        }
        if fault.kind == FaultKind::Terminate && !step.is_end {
            disturbed.stops.record(fault.machine);
        }
        carry_out(testbed, &step, &mut cut_off)?;
    }
    Ok(())
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
    ClientPlace {
        machine,
        outbound: testbed.mesh.outbound(machine),
        sender: testbed.mesh.machines[machine].service.clone(),
        service: testbed.services()[number % testbed.services().len()].clone(),
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

/// Play one seed.
///
/// # Errors
/// When the mesh does not start, or a fault can't be brought about.
pub async fn play(program: &Path, seed: u64, options: &SoakOptions) -> Result<SoakResult> {
    let behaviour =
        UpstreamBehaviour { slow_work: SLOW_WORK, read_pace: UPSTREAM_PACE, ..UpstreamBehaviour::default() };
    let mut testbed = Testbed::start(&plan(options), behaviour, program).await?;
    let service = testbed.services()[0].clone();
    testbed.operator.patch(&filler(&service, options.filler_routes)).await?;
    let long_routes: Vec<_> = testbed.services().iter().flat_map(|service| long_routes(service)).collect();
    testbed.operator.patch(&patch(&long_routes, &[], LONG_ROUTES_VERSION)).await?;
    testbed.operator.patch(&limits(LONG_ROUTES_VERSION)).await?;
    let (machines, control_count) = (testbed.mesh.machines.len(), testbed.mesh.control_machines().len());
    let (span, has_links) = (options.span, options.has_links());
    let faults = draw(seed, &Drawing { span, machines, control_count, has_links });
    let (acknowledged, observations) = (Acknowledged::default(), Observations::default());
    let disturbed = Disturbed {
        by_any: Disturbances::new(machines, control_count),
        unplanned: Disturbances::new(machines, control_count),
        stops: Stops::default(),
    };
    let addresses = testbed.mesh.control_machines().map(|machine| testbed.mesh.control(machine)).collect();
    let is_ending = Arc::new(AtomicBool::new(false));
    let operator = testbed.operator.clone();
    let writing = write_changes(operator, addresses, service, seed, acknowledged.clone(), is_ending.clone());
    let writer = tokio::spawn(writing);
    let client_log = ClientLog::default();
    let mut tasks = start_watchers(&testbed, &acknowledged, &disturbed.by_any, &observations);
    tasks.extend(start_clients(&testbed, seed, options.clients_per_side, &client_log));
    let long_log = LongLog::default();
    tasks.extend(start_long_clients(&testbed, seed, options, &long_log));
    let played = run_schedule(&mut testbed, &faults, &disturbed).await;
    // In calm, with changes still coming, for as long as a node takes to count again.
    tokio::time::sleep(Duration::from_secs(5)).await;
    is_ending.store(true, Relaxed);
    let stopped = writer.await?.err().map(|error| format!("the operator: {error:#}"));
    tasks.iter().for_each(JoinHandle::abort);
    let mut result = SoakResult {
        schedule: faults.iter().map(Fault::to_string).collect(),
        changes: acknowledged.count(),
        ..SoakResult::default()
    };
    result.faults.extend(played.err().map(|error| format!("{error:#}")));
    converge(&testbed, &mut result).await?;
    testbed.wait_until_idle().await?;
    let of_machine = |(machine, upstream): (&usize, &Upstream)| (upstream.id().to_string(), *machine);
    let machine_of = testbed.upstreams.iter().map(of_machine).collect();
    let (executions, unplanned) = (&testbed.executions, &disturbed.unplanned);
    let checked_mesh = CheckedMesh { executions, machine_of: &machine_of, unplanned };
    let of_clients = check_clients(&client_log, &checked_mesh);
    let of_long = check_long_requests(&long_log, &checked_mesh, &disturbed.stops);
    (result.long, result.through_stop) = (of_long.asked, of_long.through_stop);
    result.through_upstream_stop = of_long.through_upstream_stop;
    let observed = observations.get();
    result.checked = observed.checked;
    (result.left, result.stayed) = (of_clients.left, of_clients.stayed);
    result.faults.extend(observed.faults);
    result.faults.extend(of_clients.faults);
    result.faults.extend(of_long.faults);
    result.faults.extend(violations(&testbed));
    result.faults.extend(stopped);
    Ok(result)
}

fn print(seed: u64, result: &SoakResult) {
    let SoakResult { schedule, changes, checked, left, stayed, converged_after, faults, .. } = result;
    let SoakResult { long, through_stop, through_upstream_stop, .. } = result;
    println!(
        "seed {seed}: {} faults, {changes} changes, {checked} answers of nodes in touch checked, {left} requests of leavers, {stayed} of \
         stayers, {long} long ones ({through_stop} through a SIGTERM at their client's machine, {through_upstream_stop} at their upstream's), \
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
