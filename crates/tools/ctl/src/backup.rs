//! `backup FILE` and `restore FILE`: all items, and their return.
use crate::apply::{carry_out, plan_file};
use crate::command_line::ChangeOptions;
use crate::configuration::current_configuration;
use crate::error::Error;
use crate::exit_code::ExitCode;
use crate::items::{items_of, Item, ItemKind};
use crate::mesh_client::{AddressedState, MeshClient};
use crate::output::print_result;
use crate::wire::list;
use serde_json::{json, Value};
use std::path::Path;

/// The form of a backup file that this program writes and reads.
const BACKUP_FORM: u64 = 1;
/// How far a name that is not in force is raised above its version in a backup.
const WITHDRAWN_VERSION_STEP: u64 = 1000;

/// Write a file beside its place and rename it, so that it is complete or not there.
fn write_complete(path: &Path, text: &str) -> Result<(), Error> {
    let beside = path.with_extension("part");
    std::fs::write(&beside, text)
        .and_then(|()| std::fs::File::open(&beside)?.sync_all())
        .and_then(|()| std::fs::rename(&beside, path))
        .map_err(Error::write_file(path))
}

/// `backup FILE`: all items and evacuations.
///
/// # Errors
/// When no control node answers or the file can't be written.
pub(crate) fn backup(client: &MeshClient, path: &Path, as_json: bool) -> Result<ExitCode, Error> {
    let configuration = current_configuration(client)?;
    let AddressedState { node, state } = client.first_state()?;
    let evacuated = &state.json()["evacuated"];
    let count = items_of(&configuration).len();
    let value = json!({ "form": BACKUP_FORM, "from": node, "items": configuration, "evacuated": evacuated });
    write_complete(path, &format!("{value:#}\n"))?;
    let name = path.display().to_string();
    let lines = [format!("{name}: {count} items")];
    print_result(as_json, &json!({ "items": count, "file": name }), &lines);
    Ok(ExitCode::Done)
}

fn read_backup(path: &Path) -> Result<Value, Error> {
    let text = std::fs::read_to_string(path).map_err(Error::read_file(path))?;
    let no_backup = |syntax| Error::NoBackup { path: path.to_path_buf(), syntax };
    let value: Value = serde_json::from_str(&text).map_err(|error| no_backup(Some(error)))?;
    if value["form"] == BACKUP_FORM {
        Ok(value)
    } else {
        Err(no_backup(None))
    }
}

/// Raise versions of a backup's items so that each comes into force again over those in force.
fn raise_versions(items: &mut [Item], in_force: &[Item]) {
    for item in items {
        match in_force.iter().find(|known| known.identity() == item.identity()) {
            // Below the one in force the version is raised by the plan; above it, it stays, so that a withdrawal since then is not
            // above it by much.
            Some(known) if known.version >= item.version => item.version = None,
            Some(_) => {}
            // A name that was withdrawn since stands at a version that no node tells: well above it.
            None => item.version = item.version.map(|v| v.saturating_add(WITHDRAWN_VERSION_STEP)),
        }
    }
}

/// Withdrawals of all items in force that a backup does not name. Limits can't be withdrawn.
fn withdrawals(items: &[Item], in_force: &[Item]) -> Vec<Item> {
    let later = in_force.iter().filter(|known| {
        known.kind != ItemKind::Limits && !items.iter().any(|item| item.identity() == known.identity())
    });
    later.map(|known| Item { fields: None, version: None, ..known.clone() }).collect()
}

/// `restore FILE`: what a backup holds is in force again, at versions above those in force. What came after it is withdrawn only
/// where that is asked for (`is_exact`).
///
/// # Errors
/// When the file is no backup, the mesh rejects it or it is not settled.
pub(crate) fn restore(
    client: &MeshClient,
    path: &Path,
    is_exact: bool,
    options: ChangeOptions,
) -> Result<ExitCode, Error> {
    let backup = read_backup(path)?;
    let configuration = current_configuration(client)?;
    let in_force = items_of(&configuration);
    let mut items = items_of(&backup["items"]);
    raise_versions(&mut items, &in_force);
    if is_exact {
        let later = withdrawals(&items, &in_force);
        items.extend(later);
    }
    let plan = plan_file(path, items, &configuration)?;
    let code = carry_out(client, &plan, options)?;
    if !options.as_json {
        for zone in list(&backup, "evacuated").filter_map(Value::as_str) {
            println!(
                "{zone} was evacuated when the backup was made; that is not brought back (`silvercrossctl evacuate {zone}`)"
            );
        }
    }
    Ok(code)
}
