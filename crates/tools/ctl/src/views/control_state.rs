//! `control-state`: each key at each control node, its owner, the promised epoch and the replica there.
use crate::error::Error;
use crate::exit_code::ExitCode;
use crate::mesh_client::{MeshClient, MeshView};
use crate::output::table;
use crate::wire::{ControlState, NodeState};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// A control node that answered.
struct ControlNode<'v> {
    address: IpAddr,
    state: ControlState<'v>,
}

fn control_nodes(view: &MeshView) -> Vec<ControlNode<'_>> {
    let mut nodes = Vec::new();
    for (address, answer) in view {
        let state = answer.state.as_ref().and_then(NodeState::control_state);
        nodes.extend(state.map(|state| ControlNode { address: *address, state }));
    }
    nodes
}

/// Members of a replica set that do not answer, with the reason.
fn silent_replicas(view: &MeshView, nodes: &[ControlNode<'_>]) -> Vec<String> {
    let members: BTreeSet<&str> = nodes.iter().flat_map(|node| node.state.replica_set()).collect();
    view.iter()
        .filter(|(address, answer)| answer.state.is_none() && members.contains(address.to_string().as_str()))
        .map(|(address, answer)| format!("{address}: {}", answer.reason))
        .collect()
}

/// Keys that have no owner or more than one.
fn keys_without_one_owner(nodes: &[ControlNode<'_>]) -> Vec<String> {
    let mut owners: BTreeMap<&str, usize> = BTreeMap::new();
    for replica in nodes.iter().flat_map(|node| node.state.replicas()) {
        *owners.entry(replica.key()).or_default() += usize::from(replica.is_owner());
    }
    owners.into_iter().filter(|(_, count)| *count != 1).map(|(key, _)| key.to_string()).collect()
}

fn rows(nodes: &[ControlNode<'_>]) -> Vec<Vec<String>> {
    let mut rows = Vec::new();
    for node in nodes {
        rows.extend(node.state.replicas().map(|replica| {
            vec![
                replica.key().to_string(),
                node.address.to_string(),
                replica.role().to_string(),
                replica.owner().to_string(),
                replica.promised(),
                replica.accepted(),
            ]
        }));
    }
    rows.sort();
    rows
}

/// As scripts read it; the names within are those of the nodes' own JSON.
fn json_of(nodes: &[ControlNode<'_>], silent: &[String], without_one_owner: &[String]) -> Value {
    let node = |node: &ControlNode<'_>| {
        let state = node.state;
        json!({ "holder": node.address, "voter": state.json("voter"), "roster": state.json("roster"),
            "keys": state.json("keys"), "figures": state.json("figures") })
    };
    let nodes: Vec<Value> = nodes.iter().map(node).collect();
    json!({ "holders": nodes, "silent": silent, "withoutOneOwner": without_one_owner })
}

/// `control-state`.
///
/// # Errors
/// When none of the addresses given answers.
pub(crate) fn control_state(client: &MeshClient, as_json: bool) -> Result<ExitCode, Error> {
    let view = client.view()?;
    let nodes = control_nodes(&view);
    let silent = silent_replicas(&view, &nodes);
    let without_one_owner = keys_without_one_owner(&nodes);
    if as_json {
        println!("{}", json_of(&nodes, &silent, &without_one_owner));
    } else {
        let head = ["key", "replica at", "is", "owner", "promised", "accepted"];
        print!("{}", table(&head, &rows(&nodes)));
        silent.iter().for_each(|replica| println!("silent replica {replica}"));
        for key in &without_one_owner {
            println!("{key}: no single owner now (two of three control nodes have to be up)");
        }
        for node in nodes.iter().filter(|node| !node.state.is_voter()) {
            println!("{}: its disk is being repaired, it does not count yet", node.address);
        }
    }
    let is_complete = silent.is_empty() && without_one_owner.is_empty() && !nodes.is_empty();
    Ok(ExitCode::complete_if(is_complete))
}
