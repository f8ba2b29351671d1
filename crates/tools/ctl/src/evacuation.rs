//! `evacuate ZONE`: nothing more is sent to a zone's upstreams, or they are sent to again.
use crate::command_line::ChangeOptions;
use crate::configuration::wait_until_in_force;
use crate::error::Error;
use crate::exit_code::ExitCode;
use crate::http_client::Request;
use crate::mesh_client::{reason, MeshClient};
use crate::output::print_result;
use crate::wire::{EVACUATION_END_PATH, EVACUATION_KEY_PREFIX, EVACUATION_START_PATH};
use serde_json::json;

/// A name as it stands in a path (RFC 3986, section 2.1).
fn percent_encoded(name: &str) -> String {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    name.bytes()
        .map(|byte| if is_plain(byte) { char::from(byte).to_string() } else { format!("%{byte:02X}") })
        .collect()
}

/// Begin or end the evacuation of a zone, and wait until that is in force at every node.
///
/// # Errors
/// When the mesh rejects it (it knows no such zone) or it is not settled.
pub(crate) fn evacuate(
    client: &MeshClient,
    zone: &str,
    ends: bool,
    options: ChangeOptions,
) -> Result<ExitCode, Error> {
    let call = if ends { EVACUATION_END_PATH } else { EVACUATION_START_PATH };
    let path = format!("{call}{}", percent_encoded(zone));
    let response = client.call_until_settled(Request { method: "POST", path: &path, body: b"" })?;
    if response.status != 200 {
        let (status, reason) = (response.status, reason(&response.body));
        return Err(Error::Rejected { status, reason, is_conflict: false });
    }
    let key = format!("{EVACUATION_KEY_PREFIX}{zone}");
    let convergence = wait_until_in_force(client, &key, options.timeout, !options.as_json)?;
    let outcome = if ends {
        "back: its upstreams begin with slow start"
    } else {
        "evacuated: nothing more is sent to its upstreams"
    };
    let mut lines = vec![format!("{zone} {outcome}")];
    lines.extend(convergence.lines(options.timeout));
    let value = json!({ "zone": zone, "evacuated": !ends, "nodes": convergence.answering_nodes,
        "notInForce": convergence.nodes_behind });
    print_result(options.as_json, &value, &lines);
    Ok(ExitCode::complete_if(convergence.is_complete()))
}
