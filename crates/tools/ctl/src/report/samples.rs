//! Counters over time: looks at all nodes' metrics, and the curves that they make.
use crate::mesh_client::MeshView;
use crate::wire::{Metric, NodeMetrics};
use std::collections::BTreeMap;

/// Curves of a plot at most; the rest is summed up.
pub(crate) const MAX_CURVES: usize = 8;
/// The name of the curve that sums up the rest.
const REST: &str = "others";
/// The shortest time between two looks that a rate is taken over, in seconds.
const MIN_INTERVAL_S: f64 = 0.001;

/// A point of a curve.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Point {
    /// Seconds since the watch began.
    pub(crate) at_s: f64,
    /// The value.
    pub(crate) value: f64,
}

/// A named curve.
#[derive(Clone, Debug)]
pub(crate) struct Curve {
    /// Its name.
    pub(crate) name: String,
    /// Its points, in the order of time.
    pub(crate) points: Vec<Point>,
}

/// One look at all nodes' metrics.
#[derive(Clone, Debug)]
pub(crate) struct Sample {
    /// Seconds since the watch began.
    pub(crate) at_s: f64,
    /// Metrics by node.
    pub(crate) metrics: BTreeMap<String, NodeMetrics>,
}

impl Sample {
    /// The metrics in a view of the mesh.
    pub(crate) fn new(at_s: f64, view: &MeshView) -> Self {
        let answered =
            view.iter().filter_map(|(address, answer)| Some((address.to_string(), answer.metrics.clone()?)));
        Sample { at_s, metrics: answered.collect() }
    }
}

fn sum(metrics: &NodeMetrics, counters: &[Metric]) -> u64 {
    counters.iter().filter_map(|counter| metrics.count(*counter)).sum()
}

fn all_rates(samples: &[Sample], counters: &[Metric]) -> Vec<Curve> {
    let mut curves: BTreeMap<&str, Vec<Point>> = BTreeMap::new();
    for pair in samples.windows(2) {
        let [before, after] = pair else { continue };
        let interval_s = (after.at_s - before.at_s).max(MIN_INTERVAL_S);
        for (node, metrics) in &after.metrics {
            let Some(count_before) = before.metrics.get(node).map(|metrics| sum(metrics, counters)) else {
                continue;
            };
            // A process that began anew counts from 0.
            let rise = sum(metrics, counters).saturating_sub(count_before);
            let point = Point { at_s: after.at_s, value: rise as f64 / interval_s };
            curves.entry(node).or_default().push(point);
        }
    }
    curves.into_iter().map(|(name, points)| Curve { name: name.to_string(), points }).collect()
}

/// The sum of curves, at the milliseconds of their points.
fn summed(curves: &[Curve]) -> Curve {
    let mut by_ms: BTreeMap<u64, f64> = BTreeMap::new();
    for point in curves.iter().flat_map(|curve| &curve.points) {
        *by_ms.entry((point.at_s * 1e3) as u64).or_default() += point.value;
    }
    let points = by_ms.into_iter().map(|(ms, value)| Point { at_s: ms as f64 / 1e3, value }).collect();
    Curve { name: REST.to_string(), points }
}

/// How much counters rose a second, node by node, the largest first; of the smaller ones the sum.
pub(crate) fn rates(samples: &[Sample], counters: &[Metric]) -> Vec<Curve> {
    let mut curves = all_rates(samples, counters);
    curves.retain(|curve| curve.points.iter().any(|point| point.value > 0.0));
    let total = |curve: &Curve| curve.points.iter().map(|point| point.value).sum::<f64>();
    curves.sort_by(|a, b| total(b).total_cmp(&total(a)));
    if curves.len() > MAX_CURVES {
        let rest = summed(&curves.split_off(MAX_CURVES - 1));
        curves.push(rest);
    }
    curves
}

/// A gauge over time, summed over all nodes.
pub(crate) fn level(samples: &[Sample], name: &str, gauge: impl Fn(&NodeMetrics) -> f64) -> Curve {
    let point =
        |sample: &Sample| Point { at_s: sample.at_s, value: sample.metrics.values().map(&gauge).sum() };
    Curve { name: name.to_string(), points: samples.iter().map(point).collect() }
}
