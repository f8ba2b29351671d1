//! `routes`: the routes in force.
use crate::configuration::current_configuration;
use crate::error::Error;
use crate::exit_code::ExitCode;
use crate::mesh_client::MeshClient;
use crate::output::table;
use crate::wire::{list, text};
use serde_json::Value;

fn targets(route: &Value) -> String {
    if route["split"].is_array() {
        let share = |share| format!("{} {}", text(share, "destination"), share["share"]);
        list(route, "split").map(share).collect::<Vec<_>>().join(", ")
    } else {
        text(route, "destination").to_string()
    }
}

/// A row of the table; `host` is an element of the wire's `depots`, `route` one of its `lanes`.
fn cells(host: &Value, route: &Value) -> Vec<String> {
    let value = |key: &str| if route[key].is_null() { "-".to_string() } else { route[key].to_string() };
    vec![
        text(route, "name").to_string(),
        text(host, "depot").to_string(),
        text(route, "lane").to_string(),
        text(route, "routeKind").to_string(),
        value("deadlineS"),
        value("priority"),
        value("attempts"),
        targets(route),
        value("edition"),
    ]
}

/// `routes`.
///
/// # Errors
/// When no control node answers.
pub(crate) fn routes(client: &MeshClient, as_json: bool) -> Result<ExitCode, Error> {
    let configuration = current_configuration(client)?;
    if as_json {
        println!("{}", configuration["depots"]);
        return Ok(ExitCode::Done);
    }
    let hosts = list(&configuration, "depots");
    let rows: Vec<Vec<String>> =
        hosts.flat_map(|host| list(host, "lanes").map(move |route| cells(host, route))).collect();
    let head = ["route", "host", "path", "kind", "deadline s", "rank", "attempts", "to", "edition"];
    print!("{}", table(&head, &rows));
    Ok(ExitCode::Done)
}
