//! A seed from its beginning to its verdict.
use super::player::Player;
use super::rounds::{draw, Round};
use super::watch::{check, start_clients, Evacuation, SentRequests};
use crate::mesh::MeshPlan;
use crate::soak::{write_changes, Acknowledged as AcknowledgedChanges, Disturbances};
use crate::testbed::Testbed;
use crate::upstream::UpstreamBehaviour;
use anyhow::Result;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Control machines that may take the place of one that leaves.
const SPARES: usize = 2;
/// Faults of a seed that are shown.
const MAX_SHOWN_FAULTS: usize = 9;

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct EvacuationOptions {
    /// The first seed.
    pub first_seed: u64,
    /// How many seeds, one after the other.
    pub seeds: u64,
    /// Evacuations of each seed, one after the other.
    pub rounds: usize,
    /// Machines with an upstream.
    pub side_count: usize,
}

impl EvacuationOptions {
    /// The full size.
    pub const FULL: EvacuationOptions =
        EvacuationOptions { first_seed: 1, seeds: 10, rounds: 3, side_count: 6 };
    /// As CI plays it.
    pub const SHORT: EvacuationOptions = EvacuationOptions { seeds: 4, rounds: 1, ..EvacuationOptions::FULL };
}

/// What a seed showed.
#[derive(Clone, Debug, Default)]
pub struct EvacuationResult {
    /// Its rounds, in words.
    pub schedule: Vec<String>,
    /// Evacuations that were acknowledged and ended.
    pub evacuations: usize,
    /// Requests of machines in touch that ran elsewhere while a zone had to be empty.
    pub checked: usize,
    /// From sending to acknowledgement, of each evacuation.
    pub acknowledged_after: Vec<Duration>,
    /// Changes of the configuration that were acknowledged.
    pub changes: usize,
    /// What was wrong.
    pub faults: Vec<String>,
}

/// Play one seed.
///
/// # Errors
/// When the mesh does not start.
pub async fn play(program: &Path, seed: u64, options: &EvacuationOptions) -> Result<EvacuationResult> {
    let plan = MeshPlan {
        side_count: options.side_count,
        spare_count: SPARES,
        has_links: true,
        ..MeshPlan::default()
    };
    let mut testbed = Testbed::start(&plan, UpstreamBehaviour::default(), program).await?;
    let disturbances = Disturbances::new(testbed.mesh.machines.len(), testbed.mesh.control_machines().len());
    let rounds = draw(seed, options.rounds, plan.zone_count);
    let (sent, changes) = (SentRequests::default(), AcknowledgedChanges::default());
    let tasks = start_clients(&testbed, &sent);
    let is_ending = Arc::new(AtomicBool::new(false));
    let control = testbed.mesh.control_machines().chain(testbed.mesh.spare_machines());
    let addresses = control.map(|machine| testbed.mesh.control(machine)).collect();
    let (operator, service) = (testbed.operator.clone(), testbed.services()[0].clone());
    let writing = write_changes(operator, addresses, service, seed, changes.clone(), is_ending.clone());
    let writer = tokio::spawn(writing);
    let mut player = Player::new(&mut testbed, &disturbances);
    let mut result = EvacuationResult::default();
    for round in &rounds {
        if let Err(error) = player.play(round).await {
            result.faults.push(format!("{error:#}"));
            result.faults.extend(player.describe_control().await);
            break;
        }
    }
    let Player { evacuations, zone_of, faults, .. } = player;
    is_ending.store(true, Relaxed);
    result.faults.extend(writer.await?.err().map(|error| format!("the operator: {error:#}")));
    tasks.iter().for_each(JoinHandle::abort);
    testbed.wait_until_idle().await?;
    let verdict = check(&evacuations, &zone_of, &sent, &testbed.executions, &disturbances);
    result.schedule = rounds.iter().map(|round: &Round| format!("{round:?}")).collect();
    (result.evacuations, result.checked) = (evacuations.len(), verdict.checked);
    let took = |evacuation: &Evacuation| evacuation.start.at - evacuation.start.sent_at;
    result.acknowledged_after = evacuations.iter().map(took).collect();
    result.changes = changes.count();
    result.faults.extend(faults);
    result.faults.extend(verdict.faults);
    Ok(result)
}

fn print(seed: u64, result: &EvacuationResult) {
    let EvacuationResult { schedule, evacuations, checked, acknowledged_after, changes, faults } = result;
    println!(
        "seed {seed}: {evacuations} evacuations (acknowledged after {acknowledged_after:?}), {checked} requests of machines in touch checked, {changes} changes, {} wrong",
        faults.len()
    );
    if !faults.is_empty() {
        schedule.iter().for_each(|round| println!("    {round}"));
        faults.iter().take(MAX_SHOWN_FAULTS).for_each(|fault| println!("    BROKEN {fault}"));
    }
}

/// Play the seeds and print what was seen; whether nothing was wrong.
pub async fn run(program: &Path, options: &EvacuationOptions) -> bool {
    let mut is_kept = true;
    for seed in options.first_seed..options.first_seed + options.seeds {
        let result = match play(program, seed, options).await {
            Ok(result) => result,
            Err(error) => {
                EvacuationResult { faults: vec![format!("{error:#}")], ..EvacuationResult::default() }
            }
        };
        print(seed, &result);
        is_kept &= result.faults.is_empty();
    }
    is_kept
}
