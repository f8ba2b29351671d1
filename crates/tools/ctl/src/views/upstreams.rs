//! `upstreams`: all upstreams by service, and what they do now.
use crate::error::Error;
use crate::exit_code::ExitCode;
use crate::mesh_client::{newest_records, MeshClient, MeshView};
use crate::output::table;
use crate::wire::{Metric, NodeMetrics, NodeRecord, NodeState, UpstreamRecord};
use serde_json::{json, Value};
use std::collections::BTreeSet;

struct Row<'a> {
    record: NodeRecord<'a>,
    upstream: UpstreamRecord<'a>,
    /// The metrics of the sidecar beside it, if that answers.
    metrics: Option<&'a NodeMetrics>,
    is_evacuated: bool,
}

impl<'a> Row<'a> {
    fn new(record: NodeRecord<'a>, view: &'a MeshView, evacuated: &BTreeSet<&str>) -> Option<Self> {
        let upstream = record.upstream().filter(|_| !record.is_gone())?;
        let answer = record.address().parse().ok().and_then(|address| view.get(&address));
        let metrics = answer.and_then(|answer| answer.metrics.as_ref());
        Some(Row { record, upstream, metrics, is_evacuated: evacuated.contains(record.zone()) })
    }

    fn standing(&self) -> &'static str {
        if self.upstream.is_silent() {
            "silent"
        } else if self.upstream.is_draining() {
            "draining"
        } else if self.record.is_leaving() {
            "its sidecar leaves"
        } else if self.is_evacuated {
            "evacuated"
        } else {
            "there"
        }
    }

    fn cells(&self) -> Vec<String> {
        let load = self.metrics.map_or_else(
            || "-".to_string(),
            |m| format!("{}+{}", m.json(Metric::GateInFlight), m.json(Metric::GateQueued)),
        );
        vec![
            self.upstream.service().to_string(),
            self.upstream.id().to_string(),
            self.record.zone().to_string(),
            self.record.address().to_string(),
            self.standing().to_string(),
            self.upstream.slots().to_string(),
            load,
        ]
    }

    fn json(&self) -> Value {
        json!({ "service": self.upstream.service(), "id": self.upstream.id(), "zone": self.record.zone(),
            "node": self.record.address(), "is": self.standing(), "slots": self.upstream.slots(),
            "out": self.metrics.map(|m| m.json(Metric::GateInFlight)),
            "waiting": self.metrics.map(|m| m.json(Metric::GateQueued)) })
    }
}

/// `upstreams`.
///
/// # Errors
/// When none of the addresses given answers.
pub(crate) fn upstreams(client: &MeshClient, as_json: bool) -> Result<ExitCode, Error> {
    let view = client.view()?;
    let states = view.values().filter_map(|answer| answer.state.as_ref());
    let evacuated: BTreeSet<&str> = states.flat_map(NodeState::evacuated_zones).collect();
    let records = newest_records(&view);
    let mut rows: Vec<Row<'_>> =
        records.values().filter_map(|record| Row::new(*record, &view, &evacuated)).collect();
    rows.sort_by_key(|row| (row.upstream.service(), row.record.zone(), row.record.address()));
    if as_json {
        println!("{}", Value::Array(rows.iter().map(Row::json).collect()));
    } else {
        let head = ["service", "upstream", "zone", "node", "is", "slots", "at work"];
        print!("{}", table(&head, &rows.iter().map(Row::cells).collect::<Vec<_>>()));
    }
    Ok(ExitCode::Done)
}
