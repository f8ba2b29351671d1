//! The configuration in force, and whether it is in force everywhere.
use crate::error::Error;
use crate::http_client::Request;
use crate::mesh_client::{reason, Absence, MeshClient, MeshView};
use crate::wire::{NodeState, Revision, CONFIGURATION_GET_PATH};
use serde_json::Value;
use std::time::{Duration, Instant};

/// Between two looks at all nodes.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// Between two lines that show how far a change has come.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// All items in force, as the mesh gives them.
///
/// # Errors
/// When no control node answers the call.
pub(crate) fn current_configuration(client: &MeshClient) -> Result<Value, Error> {
    let request = Request { method: "GET", path: CONFIGURATION_GET_PATH, body: b"" };
    let response = client.call_until_settled(request)?;
    let called = CONFIGURATION_GET_PATH.trim_start_matches("/-/").to_string();
    if response.status != 200 {
        return Err(Error::Status { called, status: response.status, reason: reason(&response.body) });
    }
    serde_json::from_str(&response.body).map_err(|cause| Error::NotJson { called, cause })
}

/// How far a change has come.
#[derive(Clone, Debug)]
pub(crate) struct Convergence {
    /// Nodes that answered.
    pub(crate) answering_nodes: usize,
    /// Nodes where it is not in force, in words; empty once it is in force everywhere.
    pub(crate) nodes_behind: Vec<String>,
}

impl Convergence {
    /// Whether the change is in force at every node that is there.
    pub(crate) fn is_complete(&self) -> bool {
        self.nodes_behind.is_empty()
    }

    /// It in words, for an operator who waited so long.
    pub(crate) fn lines(&self, waited: Duration) -> Vec<String> {
        if self.is_complete() {
            return vec![format!("in force at all {} nodes", self.answering_nodes)];
        }
        let mut lines = vec![format!("not in force everywhere after {:.0} s:", waited.as_secs_f64())];
        lines.extend(self.nodes_behind.iter().map(|node| format!("    {node}")));
        lines
    }
}

fn way_of_updates(state: &NodeState) -> String {
    match state.parent() {
        Some(parent) => format!("its updates come from {parent}"),
        None if state.is_control() => "a control node".to_string(),
        None => "cut off: no node sends it updates".to_string(),
    }
}

fn nodes_behind(view: &MeshView, key: &str, target: Option<Revision>) -> Vec<String> {
    let mut behind = Vec::new();
    for (address, answer) in view {
        match &answer.state {
            Some(state) if state.revision(key) >= target => {}
            Some(state) => {
                behind.push(format!("{address} ({}): not yet, {}", state.name(), way_of_updates(state)));
            }
            None if answer.absence == Absence::Gone => {}
            None => behind.push(format!("{address}: not known, {}", answer.reason)),
        }
    }
    behind
}

/// Wait until every node that is there has the revision of the key that its owner has now, or until the time is out.
///
/// # Errors
/// When none of the addresses given answers any more.
pub(crate) fn wait_until_in_force(
    client: &MeshClient,
    key: &str,
    timeout: Duration,
    shows_progress: bool,
) -> Result<Convergence, Error> {
    let began = Instant::now();
    let mut target = None;
    let mut last_shown = Instant::now();
    loop {
        let view = client.view()?;
        let states = || view.values().filter_map(|answer| answer.state.as_ref());
        // The owner has it in force before it answers, so the highest there is now is no older than the call.
        target = target.or(states().filter_map(|state| state.revision(key)).max());
        let nodes_behind = nodes_behind(&view, key, target);
        if nodes_behind.is_empty() || began.elapsed() >= timeout {
            return Ok(Convergence { answering_nodes: states().count(), nodes_behind });
        }
        if shows_progress && last_shown.elapsed() >= PROGRESS_INTERVAL {
            last_shown = Instant::now();
            let done = view.len().saturating_sub(nodes_behind.len());
            eprintln!("{:.0} s: in force at {done} of {}", began.elapsed().as_secs_f64(), view.len());
        }
        std::thread::sleep(LOOK_INTERVAL);
    }
}
