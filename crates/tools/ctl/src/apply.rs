//! Changing items: a file is put in force, and what is in force is written as a file.
use crate::command_line::ChangeOptions;
use crate::configuration::{current_configuration, wait_until_in_force};
use crate::error::Error;
use crate::exit_code::ExitCode;
use crate::http_client::Request;
use crate::items::{self, Item};
use crate::mesh_client::{reason, MeshClient};
use crate::output::print_result;
use crate::plan::{plan, Plan};
use crate::wire::{CONFIGURATION_KEY, CONFIGURATION_PATCH_PATH};
use serde_json::{json, Value};
use std::path::Path;

/// The status with which a control node rejects a change because another one of the same items came first.
const CONFLICT: u16 = 409;

fn read_items(path: &Path) -> Result<Vec<Item>, Error> {
    let size = std::fs::metadata(path).map_err(Error::read_file(path))?.len();
    if size > items::MAX_FILE_BYTES {
        return Err(Error::FileTooLarge { path: path.to_path_buf(), limit: items::MAX_FILE_BYTES });
    }
    let text = std::fs::read_to_string(path).map_err(Error::read_file(path))?;
    items::read(&text).map_err(|faults| Error::FaultyItems { path: path.to_path_buf(), faults })
}

/// Make a plan's changes and wait until they are in force at every node.
///
/// # Errors
/// When the mesh rejects them or they are not settled.
pub(crate) fn carry_out(client: &MeshClient, plan: &Plan, options: ChangeOptions) -> Result<ExitCode, Error> {
    let (diff, changed) = (plan.diff(), plan.changes().count());
    if diff.is_empty() {
        let lines = ["nothing changes: all of it stands already".to_string()];
        print_result(options.as_json, &json!({ "changed": 0, "diff": [] }), &lines);
        return Ok(ExitCode::Done);
    }
    let mut lines = diff.clone();
    if options.is_dry_run {
        lines.push(format!("{changed} would change; nothing was sent"));
        print_result(options.as_json, &json!({ "changed": 0, "diff": diff, "dryRun": true }), &lines);
        return Ok(ExitCode::Done);
    }
    let body = plan.patch().to_string();
    let request = Request { method: "POST", path: CONFIGURATION_PATCH_PATH, body: body.as_bytes() };
    let response = client.call_until_settled(request)?;
    if response.status != 200 {
        let (status, reason) = (response.status, reason(&response.body));
        return Err(Error::Rejected { status, reason, is_conflict: status == CONFLICT });
    }
    let missing = plan.missing_from(&current_configuration(client)?);
    let convergence = wait_until_in_force(client, CONFIGURATION_KEY, options.timeout, !options.as_json)?;
    lines.push(format!("acknowledged, {changed} changed"));
    lines.extend(missing.iter().map(|line| format!("overtaken: {line}")));
    lines.extend(convergence.lines(options.timeout));
    let value = json!({ "changed": changed, "diff": diff, "overtaken": missing,
        "nodes": convergence.answering_nodes, "notInForce": convergence.nodes_behind });
    print_result(options.as_json, &value, &lines);
    Ok(ExitCode::complete_if(missing.is_empty() && convergence.is_complete()))
}

/// Compare items that a file names with the configuration in force.
///
/// # Errors
/// [`Error::FaultyItems`] with all for which a control node would reject them.
pub(crate) fn plan_file(path: &Path, items: Vec<Item>, configuration: &Value) -> Result<Plan, Error> {
    plan(items, configuration).map_err(|faults| Error::FaultyItems { path: path.to_path_buf(), faults })
}

/// `apply FILE`.
///
/// # Errors
/// When the file is faulty, the mesh rejects it or it is not settled.
pub(crate) fn apply(client: &MeshClient, path: &Path, options: ChangeOptions) -> Result<ExitCode, Error> {
    let items = read_items(path)?;
    let plan = plan_file(path, items, &current_configuration(client)?)?;
    carry_out(client, &plan, options)
}

/// `get`: as a file for `apply`, or as JSON where an item has a field that the file has no key for.
///
/// # Errors
/// When no control node answers.
pub(crate) fn get(client: &MeshClient, as_json: bool) -> Result<ExitCode, Error> {
    let configuration = current_configuration(client)?;
    match items::write(&items::items_of(&configuration)).filter(|_| !as_json) {
        Some(text) => print!("{text}"),
        None => println!("{configuration:#}"),
    }
    Ok(ExitCode::Done)
}
