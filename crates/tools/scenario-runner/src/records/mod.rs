//! Rehearsals of what a fleet holds for others: a script with a table `[records]` played in simulated time on the deciding code
//! alone ([`sim`]), with schedules drawn by seed ([`draw`]); on processes by [`crate::fleet::sockets`].
pub mod clients;
pub mod cost;
pub mod disk;
pub mod draw;
pub mod sim;

use crate::fleet::{FleetFigures, FleetScript};
use silvercross_history_checker::idempotency::{check, IdempotencyReport};
use silvercross_history_checker::History;
use silvercross_time::Duration;
use std::collections::BTreeMap;

/// The judge's verdict on what was held, beside the figures of a run.
pub fn judge(script: &FleetScript, history: &History, figures: &mut FleetFigures) {
    let period = script.fleet.period_ms * 1e3;
    let settle = script.settle().max(4.0 * script.records.as_ref().map_or(0.0, |r| r.election));
    let once = script.records.as_ref().is_none_or(|r| r.refuse);
    let settle = Duration::from_micros((settle * period) as i64);
    let v: IdempotencyReport = check(history, settle, once);
    let mut all: BTreeMap<String, f64> = BTreeMap::new();
    let mut put = |name: &str, v: f64| {
        all.insert(name.to_string(), v);
    };
    put("operations", v.operations as f64);
    put("answered", v.answered_operations as f64);
    put("marked", v.marked_answers as f64);
    put("marked_same", v.repeated_marked_answers as f64);
    put("effects", v.effects as f64);
    put("longest_dark", v.longest_gap.as_micros() as f64 / period);
    put("too_hard", v.undecided_keys as f64);
    v.answered_after.into_iter().for_each(|a| put("answered_after", a.as_micros() as f64 / period));
    for (property, n) in &v.violations.counts {
        put(&format!("breaches.{property}"), *n as f64);
    }
    let more = v.violations.total() as f64;
    *all.entry("breaches".into()).or_default() +=
        more + figures.figures.get("breaches").copied().unwrap_or(0.0);
    figures.figures.extend(all);
    let words = v
        .violations
        .samples
        .iter()
        .map(|b| format!("{:.1}: {}: {}", b.at.as_micros() as f64 / period, b.property, b.text));
    figures.breaches.extend(words);
}
