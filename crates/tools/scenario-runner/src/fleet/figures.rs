//! What a run of a fleet comes to: the judge's verdict and what it cost, by names that scripts expect things of.
use super::script::{Expect, FleetScript};
use serde::Serialize;
use silvercross_history_checker::membership::{self, MembershipReport, SenderRange};
use silvercross_history_checker::{EventKind, History, Violation};
use silvercross_time::Duration;
use std::collections::BTreeMap;

/// All figures of a run. Times are in protocol periods.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FleetFigures {
    /// The script.
    pub script: String,
    /// How it was played.
    pub mode: &'static str,
    /// Its seed.
    pub seed: u64,
    /// Why it counts for nothing.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub void: Option<String>,
    /// Each by its name.
    pub figures: BTreeMap<String, f64>,
    /// Promises broken, in words, with the period when.
    pub breaches: Vec<String>,
    /// What was expected, and whether it held.
    pub expectations: Vec<(String, Option<f64>, bool)>,
    /// How often each view was told.
    pub views: BTreeMap<String, usize>,
}

impl FleetFigures {
    /// Whether it counts, no promise was broken, and all that was expected came.
    pub fn is_good(&self) -> bool {
        self.void.is_none() && self.breaches.is_empty() && self.expectations.iter().all(|e| e.2)
    }

    /// Judge a history, and hold the figures against what the script expects.
    pub fn judged(
        script: &FleetScript,
        mode: &'static str,
        seed: u64,
        history: &History,
        mut figures: BTreeMap<String, f64>,
    ) -> Self {
        let period = script.fleet.period_ms * 1e3;
        let settle = Duration::from_micros((script.settle() * period) as i64);
        let report = membership::check(history, settle);
        let periods = |span: Duration| span.as_micros() as f64 / period;
        let MembershipReport { violations, agreed_after, lists_read, failed_while_running, views, .. } =
            report;
        let (senders, drain) = (report.senders, report.drain_known_after);
        figures.extend(drain.map(|d| ("drain_known_after".to_string(), periods(d))));
        figures.insert("breaches".into(), violations.total() as f64);
        for (property, n) in violations.counts {
            figures.insert(format!("breaches.{property}"), n as f64);
        }
        figures.extend(agreed_after.map(|a| ("agreed_after".to_string(), periods(a))));
        figures.insert("looks".into(), lists_read as f64);
        figures.insert("failed_while_running".into(), failed_while_running as f64);
        figures.insert("settle".into(), script.settle());
        if let Some(SenderRange { least, most }) = senders {
            figures.insert("senders.least".into(), least as f64);
            figures.insert("senders.most".into(), most as f64);
        }
        let (mut served, mut refused, mut other) = (0u64, 0u64, 0u64);
        for e in &history.events {
            if let EventKind::Request { status, .. } = &e.kind {
                match status {
                    200 => served += 1,
                    429 | 503 => refused += 1,
                    _ => other += 1,
                }
            }
        }
        let all = served + refused + other;
        if all > 0 {
            figures.insert("requests".into(), all as f64);
            figures.insert("served".into(), served as f64 / all as f64);
            figures.insert("unanswered".into(), other as f64 / all as f64);
        }
        for (view, n) in &views {
            figures.insert(format!("view.{view}"), *n as f64);
        }
        let words =
            |b: Violation| format!("{:.1}: {}: {}", b.at.as_micros() as f64 / period, b.property, b.text);
        let mut new = FleetFigures {
            script: script.name.clone(),
            mode,
            seed,
            void: None,
            figures,
            breaches: violations.samples.into_iter().map(words).collect(),
            expectations: Vec::new(),
            views,
        };
        new.expected(script);
        new
    }

    /// Hold the figures against what the script expects.
    pub fn expected(&mut self, script: &FleetScript) {
        self.expectations = script.expects.iter().map(|e| self.holds(e)).collect();
    }

    fn holds(&self, e: &Expect) -> (String, Option<f64>, bool) {
        let value = self.figures.get(&e.figure).copied();
        let held = value.is_some_and(|v| e.least.is_none_or(|l| v >= l) && e.most.is_none_or(|m| v <= m));
        let bound = |name: &str, v: Option<f64>| v.map_or(String::new(), |v| format!(" {name} {v}"));
        (format!("{}{}{}", e.figure, bound("at least", e.least), bound("at most", e.most)), value, held)
    }
}
