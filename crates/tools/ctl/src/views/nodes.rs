//! `nodes`: all nodes, whether they answer and where their updates come from.
use crate::error::Error;
use crate::exit_code::ExitCode;
use crate::mesh_client::{newest_records, MeshClient, NodeAnswer};
use crate::output::table;
use crate::wire::NodeRecord;
use serde_json::{json, Value};
use std::net::IpAddr;

/// What a node does, as far as can be seen from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    There,
    Leaving,
    Gone,
    Silent,
}

impl Standing {
    fn of(answer: &NodeAnswer, record: Option<NodeRecord<'_>>) -> Self {
        match (answer.state.is_some(), record) {
            (true, Some(record)) if record.is_leaving() => Standing::Leaving,
            (true, _) => Standing::There,
            (false, Some(record)) if record.is_gone() => Standing::Gone,
            (false, _) => Standing::Silent,
        }
    }

    fn word(self) -> &'static str {
        match self {
            Standing::There => "there",
            Standing::Leaving => "leaving",
            Standing::Gone => "gone",
            Standing::Silent => "silent",
        }
    }
}

struct Row<'a> {
    address: IpAddr,
    answer: &'a NodeAnswer,
    record: Option<NodeRecord<'a>>,
    standing: Standing,
}

impl Row<'_> {
    fn is_control(&self) -> bool {
        match &self.answer.state {
            Some(state) => state.is_control(),
            None => self.record.is_some_and(NodeRecord::is_control),
        }
    }

    fn zone(&self) -> &str {
        match &self.answer.state {
            Some(state) => state.zone(),
            None => self.record.map_or("-", NodeRecord::zone),
        }
    }

    fn cells(&self) -> Vec<String> {
        let state = self.answer.state.as_ref();
        let is_control = state.is_some_and(|state| state.is_control());
        let ready = match state {
            Some(state) if state.is_control() => "-",
            Some(state) if state.is_ready() => "yes",
            _ => "no",
        };
        let parent = if is_control { None } else { state.and_then(|state| state.parent()) };
        vec![
            self.address.to_string(),
            state.map_or("-", |state| state.name()).to_string(),
            if self.is_control() { "control" } else { "sidecar" }.to_string(),
            self.zone().to_string(),
            self.standing.word().to_string(),
            ready.to_string(),
            parent.unwrap_or("-").to_string(),
            self.record.map_or("-", NodeRecord::upstream_id).to_string(),
            self.answer.reason.clone(),
        ]
    }

    /// As scripts read it. The inner names are those of the nodes' own JSON.
    fn json(&self) -> Value {
        let record = self.record.map_or(&Value::Null, NodeRecord::json);
        let state = self.answer.state.as_ref().map_or(&Value::Null, |state| state.json());
        let of = if state.is_null() { record } else { state };
        json!({ "ip": self.address, "control": self.answer.control_address, "stands": self.standing.word(),
            "why": self.answer.reason, "record": record,
            "state": { "node": state["node"], "core": of["core"], "zone": of["zone"], "ready": state["ready"],
                "parent": state["parent"], "version": state["version"] } })
    }
}

/// `nodes`.
///
/// # Errors
/// When none of the addresses given answers.
pub(crate) fn nodes(client: &MeshClient, as_json: bool) -> Result<ExitCode, Error> {
    let view = client.view()?;
    let records = newest_records(&view);
    let row = |(address, answer): (&IpAddr, _)| {
        let record = records.get(&address.to_string()).copied();
        Row { address: *address, answer, record, standing: Standing::of(answer, record) }
    };
    let rows: Vec<Row<'_>> = view.iter().map(row).collect();
    if as_json {
        println!("{}", Value::Array(rows.iter().map(Row::json).collect()));
    } else {
        let head = ["address", "name", "role", "zone", "is", "ready", "updates from", "upstream", ""];
        print!("{}", table(&head, &rows.iter().map(Row::cells).collect::<Vec<_>>()));
    }
    Ok(ExitCode::complete_if(rows.iter().all(|row| row.standing != Standing::Silent)))
}
