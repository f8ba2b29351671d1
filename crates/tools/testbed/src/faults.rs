//! A short list of faults, each on a mesh of its own with clients on every side, and a table of what the checker saw.
use crate::checker::{check_attempts, Verdict};
use crate::client::{Client, RequestKind};
use crate::identifiers::attempt_id;
use crate::mesh::{MeshPlan, DRAIN_S};
use crate::operator::{patch, Operator, Route};
use crate::testbed::Testbed;
use crate::traffic::{Clients, CLIENTS_PER_SIDE};
use crate::upstream::UpstreamBehaviour;
use crate::wait::{wait_until, WAIT_TIMEOUT};
use anyhow::Result;
use serde_json::Value;
use std::path::Path;
use std::time::Duration;

/// How long a sidecar stands still.
const FREEZE_SPAN: Duration = Duration::from_secs(3);
/// Changes that each of two operators makes at once.
const RACING_CHANGES: u64 = 20;
/// Attempts before the fault and after it.
const ATTEMPTS_AROUND: usize = 200;
/// Faults of a play that are shown.
const MAX_SHOWN_FAULTS: usize = 5;

/// A fault that is played.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultPlay {
    /// None.
    Calm,
    /// A control machine is killed and loses its disk; then another one is killed.
    ControlWiped,
    /// All control machines are killed.
    AllControlKilled,
    /// A sidecar is killed.
    SideKilled,
    /// A sidecar stands still for seconds.
    SideFrozen,
    /// Sidecars are stopped and started, one after another.
    RollingRestart,
    /// A zone is evacuated and taken back.
    Evacuation,
    /// Two operators change one route at the same time.
    TwoOperators,
}

impl FaultPlay {
    /// All, in the order of the table.
    pub const ALL: [FaultPlay; 8] = [
        FaultPlay::Calm,
        FaultPlay::ControlWiped,
        FaultPlay::AllControlKilled,
        FaultPlay::SideKilled,
        FaultPlay::SideFrozen,
        FaultPlay::RollingRestart,
        FaultPlay::Evacuation,
        FaultPlay::TwoOperators,
    ];

    /// Its name on the command line and in the table.
    pub fn name(self) -> &'static str {
        match self {
            FaultPlay::Calm => "calm",
            FaultPlay::ControlWiped => "core-wiped",
            FaultPlay::AllControlKilled => "all-core-killed",
            FaultPlay::SideKilled => "side-killed",
            FaultPlay::SideFrozen => "side-frozen",
            FaultPlay::RollingRestart => "rolling-term",
            FaultPlay::Evacuation => "evacuation",
            FaultPlay::TwoOperators => "two-operators",
        }
    }
}

/// Play one fault under load: what the checker saw, with anything that should have happened and did not.
///
/// # Errors
/// When the mesh does not start or does not get idle.
pub async fn play(fault: FaultPlay, program: &Path) -> Result<Verdict> {
    let behaviour = UpstreamBehaviour::default();
    let mut testbed = Testbed::start(&MeshPlan::default(), behaviour, program).await?;
    let clients = Clients::start(&testbed);
    clients.wait_for_more(ATTEMPTS_AROUND).await?;
    let mut faults = match disturb(fault, &mut testbed, &clients).await {
        Ok(faults) => faults,
        Err(error) => vec![format!("{error:#}")],
    };
    if let Err(error) = clients.wait_for_more(ATTEMPTS_AROUND).await {
        faults.push(format!("{error:#}"));
    }
    let attempts = clients.end().await;
    testbed.wait_until_idle().await?;
    let mut verdict = check_attempts(&attempts, &testbed.executions);
    verdict.faults.append(&mut faults);
    match testbed.operator.configuration().await {
        Ok(configuration) => verdict.faults.extend(testbed.operator.missing_from(&configuration)),
        Err(error) => verdict.faults.push(format!("{error:#}")),
    }
    Ok(verdict)
}

async fn disturb(fault: FaultPlay, testbed: &mut Testbed, clients: &Clients) -> Result<Vec<String>> {
    match fault {
        FaultPlay::Calm => clients.wait_for_more(1000).await?,
        FaultPlay::ControlWiped => control_wiped(testbed, clients).await?,
        FaultPlay::AllControlKilled => all_control_killed(testbed, clients).await?,
        FaultPlay::SideKilled => side_killed(testbed, clients).await?,
        FaultPlay::SideFrozen => side_frozen(testbed).await?,
        FaultPlay::RollingRestart => rolling_restart(testbed).await?,
        FaultPlay::Evacuation => return evacuation(testbed, clients).await,
        FaultPlay::TwoOperators => two_operators(testbed).await?,
    }
    Ok(Vec::new())
}

/// A further route, at this version.
fn extra_route(testbed: &Testbed, version: u64) -> Value {
    let route = Route::of(&testbed.services()[0], RequestKind::Safe);
    let path_prefix = format!("/extra/{version}/");
    patch(&[Route { name: "r-extra".into(), path_prefix, ..route }], &[], version)
}

/// Whether a machine answers a read with all that this operator knows to be acknowledged.
async fn reads_back(operator: &Operator, address: std::net::SocketAddr) -> bool {
    let answer = operator.call_once(address, "GET", "/-/Config.Get", b"").await;
    answer.is_ok_and(|response| {
        response.status == 200
            && serde_json::from_slice(&response.body)
                .is_ok_and(|configuration| operator.missing_from(&configuration).is_empty())
    })
}

async fn control_wiped(testbed: &mut Testbed, clients: &Clients) -> Result<()> {
    testbed.mesh.kill(0)?;
    testbed.mesh.wipe(0)?;
    testbed.operator.patch(&extra_route(testbed, 2)).await?;
    clients.wait_for_more(300).await?;
    testbed.mesh.start(0, false)?;
    testbed.operator.patch(&extra_route(testbed, 5)).await?;
    // Once it is back, it answers as the others do; then another one may go.
    let address = testbed.mesh.control(0);
    wait_until("the wiped one answers Config.Get", WAIT_TIMEOUT, || reads_back(&testbed.operator, address))
        .await?;
    testbed.mesh.kill(1)?;
    clients.wait_for_more(300).await?;
    testbed.mesh.start(1, false)
}

async fn all_control_killed(testbed: &mut Testbed, clients: &Clients) -> Result<()> {
    testbed.operator.patch(&extra_route(testbed, 2)).await?;
    for machine in testbed.mesh.control_machines() {
        testbed.mesh.kill(machine)?;
    }
    clients.wait_for_more(500).await?;
    for machine in testbed.mesh.control_machines() {
        testbed.mesh.start(machine, false)?;
    }
    testbed.operator.patch(&extra_route(testbed, 4)).await
}

async fn side_killed(testbed: &mut Testbed, clients: &Clients) -> Result<()> {
    let side = testbed.mesh.side_machines().start;
    testbed.mesh.kill(side)?;
    clients.wait_for_more(300).await?;
    testbed.mesh.start(side, false)?;
    testbed.wait_until_settled().await
}

async fn side_frozen(testbed: &mut Testbed) -> Result<()> {
    let side = testbed.mesh.side_machines().start;
    testbed.mesh.freeze(side)?;
    tokio::time::sleep(FREEZE_SPAN).await;
    testbed.mesh.thaw(side)?;
    testbed.wait_until_settled().await
}

/// Stop a machine gracefully, its upstream first, and start it again; its upstream too, if it has one.
pub(crate) async fn restart_gracefully(testbed: &mut Testbed, machine: usize) -> Result<()> {
    if let Some(upstream) = testbed.upstreams.remove(&machine) {
        upstream.leave(Duration::from_secs_f64(DRAIN_S)).await;
    }
    testbed.mesh.terminate(machine)?;
    let what = format!("{} ends", testbed.mesh.machines[machine].name);
    wait_until(&what, WAIT_TIMEOUT, || std::future::ready(testbed.mesh.has_ended(machine))).await?;
    testbed.mesh.start(machine, false)?;
    if !testbed.mesh.machines[machine].is_control {
        testbed.start_upstream(machine).await?;
    }
    Ok(())
}

async fn rolling_restart(testbed: &mut Testbed) -> Result<()> {
    for machine in testbed.mesh.side_machines() {
        restart_gracefully(testbed, machine).await?;
        testbed.wait_until_settled().await?;
    }
    Ok(())
}

async fn evacuation(testbed: &mut Testbed, clients: &Clients) -> Result<Vec<String>> {
    let sides: Vec<usize> = testbed.mesh.side_machines().collect();
    let zone = testbed.mesh.machines[sides[0]].zone.clone();
    testbed.operator.set_evacuated(&zone, true).await?;
    let is_evacuated = |state: &Value| {
        state["evacuated"].as_array().is_some_and(|zones| zones.iter().any(|known| *known == zone))
    };
    testbed.wait_for_state("evacuated", &sides, is_evacuated).await?;
    // What was on its way before has its answer by now.
    clients.wait_for_more(CLIENTS_PER_SIDE * sides.len() * 2).await?;
    let upstreams = testbed.upstreams_in_zone(&zone);
    let counts = || -> Vec<u64> { upstreams.iter().map(|id| testbed.executions.count_at(id)).collect() };
    let before = counts();
    clients.wait_for_more(500).await?;
    let after = counts();
    let mut faults = Vec::new();
    if before != after {
        faults.push(format!("evacuated, yet sent to: {before:?} then {after:?}"));
    }
    testbed.operator.set_evacuated(&zone, false).await?;
    wait_until("the zone is sent to again", WAIT_TIMEOUT, || std::future::ready(counts()[0] > after[0]))
        .await?;
    Ok(faults)
}

/// Change the route that is raced for, at rising versions.
async fn race(operator: Operator, first_version: u64, service: String) -> Result<()> {
    let route = Route {
        name: "r-race".into(),
        path_prefix: "/race/".into(),
        ..Route::of(&service, RequestKind::Safe)
    };
    for number in 0..RACING_CHANGES {
        let change = patch(std::slice::from_ref(&route), &[], first_version + number * 7);
        operator.patch(&change).await?;
    }
    Ok(())
}

async fn two_operators(testbed: &mut Testbed) -> Result<()> {
    let services = testbed.services().to_vec();
    let one = race(testbed.operator.beginning_at(0), 10, services[0].clone());
    let other = race(testbed.operator.beginning_at(1), 11, services[1].clone());
    let (one, other) = tokio::join!(one, other);
    one.and(other)?;
    let of_last = testbed.upstreams.values().filter(|upstream| upstream.service() == services[1]);
    let right: Vec<String> = of_last.map(|upstream| upstream.id().into()).collect();
    for machine in testbed.mesh.side_machines() {
        let to = testbed.mesh.outbound(machine);
        wait_until("the last version is in force everywhere", WAIT_TIMEOUT, || async {
            let id = attempt_id();
            let outcome = Client::new(to).send("/race/x", &id, b"").await;
            let ran_at = testbed.executions.upstreams_of(&id);
            outcome.status() == Some(200) && ran_at.iter().all(|upstream| right.contains(upstream))
        })
        .await?;
    }
    Ok(())
}

/// Play these faults and print the table; whether nothing was wrong.
pub async fn run(program: &Path, plays: &[FaultPlay]) -> bool {
    println!(
        "{:<16} {:>8} {:>7} {:>9} {:>9} {:>9}  verdict",
        "fault", "attempts", "served", "rejected", "lost", "not-sent"
    );
    let mut is_kept = true;
    for fault in plays {
        let verdict = match play(*fault, program).await {
            Ok(verdict) => verdict,
            Err(error) => Verdict::of_fault(format!("{error:#}")),
        };
        let Verdict { attempts, served, rejected, failed, not_sent, faults } = &verdict;
        println!(
            "{:<16} {attempts:>8} {served:>7} {rejected:>9} {failed:>9} {not_sent:>9}  {}",
            fault.name(),
            verdict.summary()
        );
        faults.iter().take(MAX_SHOWN_FAULTS).for_each(|fault| println!("    {fault}"));
        is_kept &= faults.is_empty();
    }
    println!(
        "kept: nothing that may run once ran twice or after a promise, answers complete with the right stamp, the\n\
         configuration read back as acknowledged, and what each fault waits for came."
    );
    is_kept
}
