//! The report as one HTML document.
use super::html::{plot, table};
use super::samples::{level, rates, Sample};
use crate::diagnosis::{Finding, Severity};
use crate::mesh_client::MeshView;
use crate::wire::{Metric, NodeState};
use std::fmt::Write as _;

const HEAD: &str =
    "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>The mesh</title>\n<style>body{font:15px system-ui,sans-serif;\
     margin:2em auto;max-width:60em;padding:0 1em;color:#222}svg{width:100%;background:#fafafa}polyline{fill:none;stroke-width:1.6}\
     .g{stroke:#ddd}text{font-size:11px;fill:#555}.e{text-anchor:end}.m{text-anchor:middle}table{border-collapse:collapse;width:100%}\
     td,th{border-bottom:1px solid #ddd;padding:.2em .6em;text-align:left;vertical-align:top}.k{margin-top:0}h2{margin-bottom:.2em}</style></head><body>\n";

/// What a report is made of.
pub(crate) struct Report<'r> {
    /// All looks, in the order of time.
    pub(crate) samples: &'r [Sample],
    /// The last view of the mesh.
    pub(crate) view: &'r MeshView,
    /// What the doctor found at both ends of the watch.
    pub(crate) findings: &'r [Finding],
    /// Events in words, the newest last.
    pub(crate) events: &'r [String],
}

impl Report<'_> {
    fn summary(&self) -> String {
        let answering = self.view.values().filter(|answer| answer.state.is_some()).count();
        let span_s = self.samples.last().map_or(0.0, |sample| sample.at_s);
        let bad = self.findings.iter().filter(|finding| finding.severity == Severity::Bad).count();
        format!(
            "<h1>The mesh</h1><p>{answering} of {} nodes answer; watched for {span_s:.0} s; {bad} findings to mend.</p>\n",
            self.view.len()
        )
    }

    fn plots(&self) -> String {
        let rate = |counters: &[Metric]| rates(self.samples, counters);
        let levels = [
            level(self.samples, "at work at upstreams", |metrics| metrics.gauge(Metric::GateInFlight)),
            level(self.samples, "waiting at gates", |metrics| metrics.gauge(Metric::GateQueued)),
            level(self.samples, "upstreams avoided, over all sidecars", |metrics| {
                metrics.balancers().map(|balancer| balancer.avoided() as f64).sum()
            }),
        ];
        [
            plot("Requests read, by sidecar", "a second", &rate(&[Metric::Requests])),
            plot(
                "Answered with Retry-After, or failed",
                "a second",
                &rate(&[Metric::Refused, Metric::Failed]),
            ),
            plot("Rejected by gates", "a second", &rate(&[Metric::GateRejected])),
            plot("At work, waiting, avoided", "now", &levels),
        ]
        .concat()
    }

    fn findings(&self) -> String {
        let row = |finding: &Finding| {
            let Finding { about, seen, likely, .. } = finding.clone();
            vec![finding.name.to_string(), about, seen, likely]
        };
        let rows: Vec<Vec<String>> = self.findings.iter().map(row).collect();
        format!("<h2>Findings</h2>\n{}", table(&["what", "where", "seen", "likely"], &rows))
    }

    fn owners(&self) -> String {
        let mut rows = Vec::new();
        for (address, answer) in self.view {
            let state = answer.state.as_ref().and_then(NodeState::control_state);
            let replicas = state.into_iter().flat_map(|state| state.replicas());
            rows.extend(replicas.filter(|replica| replica.is_owner()).map(|replica| {
                let (epoch, change) = (replica.accepted_epoch(), replica.accepted_change());
                vec![replica.key().to_string(), address.to_string(), epoch.to_string(), change.to_string()]
            }));
        }
        rows.sort();
        format!("<h2>Owners</h2>\n{}", table(&["key", "owner", "epoch", "change"], &rows))
    }

    fn events(&self) -> String {
        let rows: Vec<Vec<String>> = self.events.iter().map(|event| vec![event.clone()]).collect();
        format!("<h2>Events, the newest last</h2>\n{}", table(&["event"], &rows))
    }

    /// The whole document.
    pub(crate) fn html(&self) -> String {
        let mut html = String::from(HEAD);
        // Writing to a string can't fail.
        let _ = writeln!(
            html,
            "{}{}{}{}{}</body></html>",
            self.summary(),
            self.plots(),
            self.findings(),
            self.owners(),
            self.events()
        );
        html
    }
}
