//! Whether all nodes that were in touch followed the steps in time, and none went back.
use super::disturbance::Outage;
use super::model::IN_FORCE_S;
use super::observation::{LapseStep, StepSample};

/// Steps as nodes in touch followed them.
#[derive(Debug, Default)]
pub(crate) struct Spread {
    /// Steps that were seen.
    pub(crate) step_count: usize,
    /// The longest from the first node to the last in touch, in seconds.
    pub(crate) worst_s: f64,
    pub(crate) faults: Vec<String>,
}

/// When the first of these samples came to a step; infinity if none did.
fn first_reached<'s>(samples: impl Iterator<Item = &'s StepSample>, step: LapseStep) -> f64 {
    let reached = samples.filter(|sample| sample.step >= step);
    reached.map(|sample| sample.at_s).fold(f64::INFINITY, f64::min)
}

/// Whether a node was out of touch at any time between two moments, or came back shortly before.
fn was_away(outages: &[Outage], node: usize, from_s: f64, to_s: f64) -> bool {
    outages.iter().any(|out| out.node == node && out.from_s <= to_s && from_s <= out.to_s + IN_FORCE_S)
}

/// Hold all steps against the time in which they have to be in force everywhere.
pub(crate) fn spread(samples: &[StepSample], node_count: usize, outages: &[Outage]) -> Spread {
    let mut spread = Spread::default();
    let mut steps: Vec<LapseStep> =
        samples.iter().map(|sample| sample.step).filter(|step| step.step > 0).collect();
    steps.sort_unstable();
    steps.dedup();
    let last_s = samples.iter().map(|sample| sample.at_s).fold(0.0, f64::max);
    for step in steps {
        let first_s = first_reached(samples.iter(), step);
        let due_s = first_s + IN_FORCE_S;
        spread.step_count += 1;
        for node in 0..node_count {
            // A step at the very end may still be on its way.
            if was_away(outages, node, first_s, due_s) || due_s > last_s {
                continue;
            }
            let own = samples.iter().filter(|sample| sample.node == node);
            let delay_s = first_reached(own, step) - first_s;
            spread.worst_s = spread.worst_s.max(delay_s);
            if delay_s > IN_FORCE_S {
                let LapseStep { version, step } = step;
                let fault = format!(
                    "node {node} had step {step} of version {version} {delay_s:.1} s after the first"
                );
                spread.faults.push(fault);
            }
        }
    }
    spread.faults.extend((0..node_count).filter_map(|node| step_back(samples, node, outages)));
    spread
}

/// A fault if a node in touch went back.
fn step_back(samples: &[StepSample], node: usize, outages: &[Outage]) -> Option<String> {
    let in_touch =
        |sample: &&StepSample| sample.node == node && !was_away(outages, node, sample.at_s, sample.at_s);
    let own: Vec<&StepSample> = samples.iter().filter(in_touch).collect();
    let back = own.windows(2).find(|pair| pair[1].step < pair[0].step)?;
    Some(format!("node {node} went back from {} to {}", back[0].step.step, back[1].step.step))
}
