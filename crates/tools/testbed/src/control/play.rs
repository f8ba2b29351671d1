//! A play from its beginning to its verdict.
use super::model::{ControlPlay, PlayExtent, PlayResult};
use super::plays::Stage;
use super::reads::wait_for_read_back;
use super::writer::Writer;
use crate::checker::{check_attempts, Verdict};
use crate::testbed::{get_json, Testbed, STATE_PATH};
use crate::traffic::Clients;
use crate::upstream::UpstreamBehaviour;
use anyhow::Result;
use std::path::Path;

/// Lines of each control machine's log that are kept where a play fails.
const LOG_LINES: usize = 60;
/// Faults of a play that are shown.
const MAX_SHOWN_FAULTS: usize = 8;

/// Every machine that may hold the control state.
fn control_machines(testbed: &Testbed) -> impl Iterator<Item = usize> {
    testbed.mesh.control_machines().chain(testbed.mesh.spare_machines())
}

/// The control machines as they are now: what each knows, and what it logged last.
async fn describe_control_machines(testbed: &Testbed) -> Vec<String> {
    let mut lines = Vec::new();
    for machine in control_machines(testbed) {
        let (name, pid) = (&testbed.mesh.machines[machine].name, testbed.mesh.pid(machine));
        let state = get_json(testbed.mesh.control(machine), STATE_PATH).await;
        lines.push(format!("{name} (process {pid:?}) says of itself: {state}"));
        let log = testbed.mesh.log(machine, LOG_LINES);
        lines.extend(log.into_iter().map(|line| format!("{name} logged: {line}")));
    }
    lines
}

/// Play one; all that was seen.
///
/// # Errors
/// When the mesh does not start or does not get idle.
pub async fn play(play: ControlPlay, program: &Path, extent: PlayExtent) -> Result<PlayResult> {
    let mut testbed = Testbed::start(&play.plan(), UpstreamBehaviour::default(), program).await?;
    let load = extent.load;
    let clients = Clients::start_with(&testbed, load.clients_per_side, load.request_interval);
    clients.wait_for_more(50).await?;
    let writer = Writer::start(&testbed, load.change_interval);
    writer.wait_for_more(10, "at the start").await?;
    let mut result = PlayResult::default();
    let mut stage =
        Stage { testbed: &mut testbed, clients: &clients, writer: &writer, extent, result: &mut result };
    let played = match play {
        ControlPlay::Cut => stage.cut().await,
        ControlPlay::Replace => stage.replace(false).await,
        ControlPlay::ReplaceThenLoss => stage.replace(true).await,
        ControlPlay::Restart => stage.restart().await,
    };
    let mut faults = std::mem::take(&mut result.verdict.faults);
    if let Err(error) = played {
        faults.push(format!("{error:#}"));
        faults.extend(describe_control_machines(&testbed).await);
    }
    faults.extend(clients.wait_for_more(50).await.err().map(|error| format!("{error:#}")));
    result.changes = writer.count();
    drop(writer);
    let attempts = clients.end().await;
    testbed.wait_until_idle().await?;
    result.verdict = check_attempts(&attempts, &testbed.executions);
    // Every one that runs has all that was acknowledged.
    for machine in control_machines(&testbed).filter(|machine| testbed.mesh.pid(*machine).is_some()) {
        let what = format!("{} reads back what was acknowledged", testbed.mesh.machines[machine].name);
        if let Err(error) = wait_for_read_back(&testbed, machine, &what).await {
            faults.push(format!("{error:#}"));
        }
    }
    result.verdict.faults.extend(faults);
    Ok(result)
}

fn print(name: &str, result: &PlayResult) {
    let verdict = &result.verdict;
    println!("{name}: {}; {} changes acknowledged", verdict.summary(), result.changes);
    let Verdict { attempts, served, rejected, failed, not_sent, faults } = verdict;
    println!(
        "    clients: {attempts} attempts, {served} served, {rejected} rejected, {failed} lost, {not_sent} not sent"
    );
    for (answer, count) in &result.cut_off {
        println!("    cut off: {answer}, {count} times");
    }
    result.figures.iter().for_each(|figure| println!("    {figure}"));
    faults.iter().take(MAX_SHOWN_FAULTS).for_each(|fault| println!("    BROKEN {fault}"));
}

/// Play these at this size and print what was seen; whether nothing was wrong.
pub async fn run(program: &Path, plays: &[ControlPlay], extent: PlayExtent) -> bool {
    let mut is_kept = true;
    for one in plays {
        let result = match play(*one, program, extent).await {
            Ok(result) => result,
            Err(error) => {
                let verdict = Verdict::of_fault(format!("{error:#}"));
                PlayResult { verdict, ..PlayResult::default() }
            }
        };
        print(one.name(), &result);
        is_kept &= result.verdict.faults.is_empty();
    }
    println!(
        "kept: what was acknowledged is read back at every control machine; none that was cut off, restarted or new\n\
         reads out less than was acknowledged before it was asked; nothing that may run once ran twice or after a promise."
    );
    is_kept
}
