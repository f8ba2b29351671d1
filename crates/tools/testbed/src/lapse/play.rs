//! A play from its beginning to what was wrong with it.
use super::clients::{start_clients, start_looks};
use super::disturbance::{disturb, wait_for_step};
use super::model::{member_call, LapseOptions, LapsePlay, IN_FORCE_S, SPAN_S, STEPS};
use super::observation::{Observations, Requester, Watch};
use super::plot::plot;
use super::spread::{spread, Spread};
use super::statistics::{count_orders, median_ms, print_table, OrderCounts};
use crate::checker::check_attempts;
use crate::mesh::MeshPlan;
use crate::testbed::Testbed;
use crate::upstream::UpstreamBehaviour;
use anyhow::Result;
use std::ops::Range;
use std::path::Path;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::Arc;
use std::time::Duration;

/// Requests go on for so long before there is any member, in seconds.
const BEFORE_S: f64 = 3.0;
/// The first requests are not compared, in seconds.
const START_S: f64 = 0.5;
/// So long at the end is compared with the beginning, in seconds.
const END_S: f64 = 2.5;
/// Once all is slowed, requests go on for so much longer than a change takes, in seconds.
const FULL_S: f64 = 1.5;
/// A read that is slowed in full takes 150 to 300 ms more; less than this is not slowed, in milliseconds.
const MIN_SLOWED_MS: f64 = 120.0;
/// More than this is still slowed after a renewal, in milliseconds.
const MAX_RENEWED_MS: f64 = 60.0;
/// Faults of a play that are shown.
const MAX_SHOWN_FAULTS: usize = 8;

/// How much slower the member's reads were at the end than at first, over all sides, in milliseconds.
struct SlowerMs {
    least: f64,
    most: f64,
    faults: Vec<String>,
}

fn slower(seen: &Observations, side_names: &[String], end_s: f64, is_renewed: bool) -> SlowerMs {
    let mut slower = SlowerMs { least: f64::INFINITY, most: 0.0, faults: Vec::new() };
    for (side, name) in side_names.iter().enumerate() {
        let median_within = |span: Range<f64>| {
            median_ms(seen, |sample| {
                sample.requester == Requester::MemberRead
                    && sample.side == side
                    && span.contains(&sample.at_s)
            })
        };
        let (before, after) = (median_within(START_S..BEFORE_S), median_within(end_s - END_S..end_s));
        let (Some(before), Some(after)) = (before, after) else {
            slower.faults.push(format!("{name}: no reads at the beginning or the end"));
            continue;
        };
        let by = after - before;
        (slower.least, slower.most) = (slower.least.min(by), slower.most.max(by));
        if is_renewed && by > MAX_RENEWED_MS || !is_renewed && by < MIN_SLOWED_MS {
            slower.faults.push(format!("{name}: {before:.0} ms at first, {after:.0} ms at the end"));
        }
    }
    slower
}

fn print_figures(seen: &Observations, counts: OrderCounts, spread: &Spread, slower: &SlowerMs) {
    let OrderCounts { served, lost, ran_twice, unknown } = counts;
    let rejected = seen.attempts.iter().filter(|attempt| attempt.outcome.status() == Some(429)).count();
    println!(
        "  orders and reads {}: served {served}, lost {lost}, twice {ran_twice}, unknown {unknown}; attempts {}, rejected for want of time {rejected}\n  \
         steps {} followed, the last node in touch {:.2} s after the first at worst; reads at the end {:+.0} to {:+.0} ms over nodes",
        seen.orders.len(),
        seen.attempts.len(),
        spread.step_count,
        spread.worst_s,
        slower.least,
        slower.most,
    );
}

/// What a play left to be judged.
struct Played {
    testbed: Testbed,
    seen: Observations,
    spread: Spread,
    end_s: f64,
    is_renewed: bool,
    faults: Vec<String>,
}

async fn perform(play: LapsePlay, program: &Path, options: &LapseOptions) -> Result<Played> {
    let plan = MeshPlan { side_count: options.side_count, ..MeshPlan::default() };
    let mut testbed = Testbed::start(&plan, UpstreamBehaviour::default(), program).await?;
    let watch = Arc::new(Watch::new(options.side_count));
    let mut clients = start_clients(&testbed, &watch);
    let looks = start_looks(&testbed, &watch);
    // Before there is any member.
    tokio::time::sleep(Duration::from_secs_f64(BEFORE_S)).await;
    testbed.operator.patch(&member_call()).await?;
    let mut disturbed = disturb(play, &mut testbed, &watch).await;
    if !disturbed.outages.is_empty() {
        println!("  machines disturbed, one after another: {}", disturbed.outages.len());
    }
    let is_renewed = watch.highest_step().version > 1;
    if !is_renewed {
        if let Err(error) = wait_for_step(&watch, STEPS).await {
            disturbed.faults.push(format!("{error:#}"));
        }
        // Slowed in full for a while, everywhere.
        tokio::time::sleep(Duration::from_secs_f64(IN_FORCE_S + FULL_S)).await;
    }
    let end_s = watch.now_s();
    watch.stop.store(true, Relaxed);
    for client in clients.0.drain(..) {
        // A client that panicked is missed by its orders.
        let _ = client.await;
    }
    drop(looks);
    testbed.wait_until_idle().await?;
    let seen = watch.with(std::mem::take);
    let spread = spread(&seen.steps, testbed.mesh.machines.len(), &disturbed.outages);
    Ok(Played { testbed, seen, spread, end_s, is_renewed, faults: disturbed.faults })
}

async fn play(play: LapsePlay, program: &Path, options: &LapseOptions) -> Result<Vec<String>> {
    let played = perform(play, program, options).await?;
    let Played { testbed, seen, spread, mut faults, .. } = played;
    let mesh = &testbed.mesh;
    let side_names: Vec<String> =
        mesh.side_machines().map(|machine| mesh.machines[machine].name.clone()).collect();
    print_table(&seen, &side_names);
    let slower = slower(&seen, &side_names, played.end_s, played.is_renewed);
    let counts = count_orders(&seen.orders, &testbed.executions);
    print_figures(&seen, counts, &spread, &slower);
    faults.extend(slower.faults);
    let is_member_slowed =
        |sample: &super::observation::Sample| sample.is_slowed && sample.requester == Requester::MemberRead;
    if !seen.samples.iter().any(is_member_slowed) {
        faults.push("no answer named a step".to_string());
    }
    for (count, what) in [(counts.lost, "lost"), (counts.ran_twice, "ran twice")] {
        if count > 0 {
            faults.push(format!("{count} {what}"));
        }
    }
    faults.extend(check_attempts(&seen.attempts, &testbed.executions).faults);
    faults.extend(spread.faults);
    if let Some(folder) = &options.plot_folder {
        std::fs::create_dir_all(folder)?;
        let file = folder.join(format!("lapse-{}.svg", play.name()));
        plot(&file, play.name(), &seen, mesh.machines.len(), side_names.len())?;
        println!("  {}", file.display());
    }
    Ok(faults)
}

/// Play these; whether nothing was wrong.
pub async fn run(program: &Path, options: &LapseOptions) -> bool {
    let mut is_kept = true;
    for one in &options.plays {
        let (control_count, side_count) = (MeshPlan::default().control_count, options.side_count);
        println!(
            "{}: {control_count} control machines, {side_count} sides, {STEPS} steps over {SPAN_S} s",
            one.name()
        );
        let faults = play(*one, program, options).await.unwrap_or_else(|error| vec![format!("{error:#}")]);
        let summary = if faults.is_empty() { "kept".to_string() } else { format!("{} BROKEN", faults.len()) };
        println!("  {summary}");
        faults.iter().take(MAX_SHOWN_FAULTS).for_each(|fault| println!("    {fault}"));
        is_kept &= faults.is_empty();
    }
    is_kept
}
