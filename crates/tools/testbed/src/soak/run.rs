//! A soak from its beginning to its verdict.
use super::changes::{filler, write_changes, Acknowledged};
use super::schedule::{draw, Fault, FaultKind};
use super::watch::{watch, Disturbances, Observations, WatchedNode};
use crate::mesh::MeshPlan;
use crate::testbed::{get_json, Testbed, STATE_PATH};
use crate::upstream::UpstreamBehaviour;
use crate::wait::wait_until;
use anyhow::{Context, Result};
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
    /// What a connection between two machines carries in each direction, in bytes a second.
    pub link_bytes_per_second: u64,
}

impl SoakOptions {
    /// The full size.
    pub const FULL: SoakOptions = SoakOptions {
        first_seed: 1,
        seeds: 20,
        span: Duration::from_secs(15),
        side_count: 9,
        filler_routes: 300,
        link_bytes_per_second: 150_000,
    };
    /// As CI plays it.
    pub const SHORT: SoakOptions =
        SoakOptions { seeds: 1, span: Duration::from_secs(9), side_count: 6, ..SoakOptions::FULL };
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
    }
    Ok(())
}

async fn run_schedule(testbed: &mut Testbed, faults: &[Fault], disturbances: &Disturbances) -> Result<()> {
    let (began, mut cut_off) = (Instant::now(), BTreeSet::new());
    for step in steps(faults) {
        tokio::time::sleep_until(began + step.at).await;
        let fault = &step.fault;
        disturbances.disturb(fault.machine, Instant::now().max(began + fault.until));
        if fault.kind == FaultKind::Cut {
            // Its neighbours' links to it are reset when it is joined again.
            testbed.mesh.control_machines().for_each(|machine| disturbances.disturb(machine, Instant::now()));
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
        has_links: true,
        link_bytes_per_second: Some(options.link_bytes_per_second),
        ..MeshPlan::default()
    }
}

/// Play one seed.
///
/// # Errors
/// When the mesh does not start, or a fault can't be brought about.
pub async fn play(program: &Path, seed: u64, options: &SoakOptions) -> Result<SoakResult> {
    let mut testbed = Testbed::start(&plan(options), UpstreamBehaviour::default(), program).await?;
    let service = testbed.services()[0].clone();
    testbed.operator.patch(&filler(&service, options.filler_routes)).await?;
    let machines = testbed.mesh.machines.len();
    let control_count = testbed.mesh.control_machines().len();
    let faults = draw(seed, options.span, machines, control_count);
    let (acknowledged, observations) = (Acknowledged::default(), Observations::default());
    let disturbances = Disturbances::new(machines, control_count);
    let addresses = testbed.mesh.control_machines().map(|machine| testbed.mesh.control(machine)).collect();
    let is_ending = Arc::new(AtomicBool::new(false));
    let operator = testbed.operator.clone();
    let writing = write_changes(operator, addresses, service, seed, acknowledged.clone(), is_ending.clone());
    let writer = tokio::spawn(writing);
    let watchers: Vec<JoinHandle<()>> = testbed
        .mesh
        .side_machines()
        .map(|machine| {
            let (name, outbound) =
                (testbed.mesh.machines[machine].name.clone(), testbed.mesh.outbound(machine));
            let node = WatchedNode { machine, name, outbound };
            tokio::spawn(watch(node, acknowledged.clone(), disturbances.clone(), observations.clone()))
        })
        .collect();
    let played = run_schedule(&mut testbed, &faults, &disturbances).await;
    // In calm, with changes still coming, for as long as a node takes to count again.
    tokio::time::sleep(Duration::from_secs(5)).await;
    is_ending.store(true, Relaxed);
    let stopped = writer.await?.err().map(|error| format!("the operator: {error:#}"));
    watchers.iter().for_each(JoinHandle::abort);
    played?;
    let mut result = SoakResult {
        schedule: faults.iter().map(Fault::to_string).collect(),
        changes: acknowledged.count(),
        ..SoakResult::default()
    };
    let ended = Instant::now();
    let agreed = wait_until("all nodes have the same configuration in force", CONVERGED_WITHIN, || async {
        revisions(&testbed).await.len() == 1
    })
    .await;
    match agreed {
        Ok(()) => result.converged_after = Some(ended.elapsed()),
        Err(error) => result.faults.push(format!("{error:#}: {:?}", revisions(&testbed).await)),
    }
    let missing = testbed.operator.missing_from(&testbed.operator.configuration().await?);
    result.faults.extend(missing.into_iter().map(|fault| format!("read back: {fault}")));
    let observed = observations.get();
    result.checked = observed.checked;
    result.faults.extend(observed.faults);
    result.faults.extend(violations(&testbed));
    result.faults.extend(stopped);
    Ok(result)
}

fn print(seed: u64, result: &SoakResult) {
    let SoakResult { schedule, changes, checked, converged_after, faults } = result;
    println!(
        "seed {seed}: {} faults, {changes} changes, {checked} answers of nodes in touch checked, agreed after {converged_after:?}, {} wrong",
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
