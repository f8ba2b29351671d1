//! `doctor`: asks all nodes twice and prints what was found both times.
use crate::configuration::current_configuration;
use crate::diagnosis::{diagnose, lasting, Finding, Severity};
use crate::error::Error;
use crate::exit_code::ExitCode;
use crate::mesh_client::MeshClient;
use serde_json::{json, Value};
use std::time::Duration;

/// Between the two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(1500);

struct Look {
    node_count: usize,
    findings: Vec<Finding>,
}

fn look(client: &MeshClient) -> Result<Look, Error> {
    let view = client.view()?;
    // Without a control node that answers, all else is looked at all the same.
    let configuration = current_configuration(client).ok();
    Ok(Look { node_count: view.len(), findings: diagnose(&view, configuration.as_ref()) })
}

/// `doctor`.
///
/// # Errors
/// When none of the addresses given answers.
pub(crate) fn doctor(client: &MeshClient, as_json: bool) -> Result<ExitCode, Error> {
    let first = look(client)?;
    std::thread::sleep(LOOK_INTERVAL);
    let second = look(client)?;
    let (node_count, findings) = (second.node_count, lasting(&first.findings, second.findings));
    let bad = findings.iter().filter(|finding| finding.severity == Severity::Bad).count();
    if as_json {
        let list: Vec<Value> = findings.iter().map(Finding::json).collect();
        println!("{}", json!({ "nodes": node_count, "findings": list }));
    } else {
        findings.iter().for_each(|finding| println!("{}", finding.text()));
        println!("{node_count} nodes looked at twice, {bad} to mend, {} to know", findings.len() - bad);
    }
    Ok(ExitCode::complete_if(bad == 0))
}
