//! The state page: known nodes, revisions in force, and, on a control node, the control store's keys. The JSON keys are a public
//! interface and keep their names even where the code uses others.
use crate::control_value::ControlValue;
use crate::node_state::{NodeState, ZoneOrder};
use crate::peers::RecordBody;
use serde_json::{json, Value};
use silvercross_control_store::{ControlStore, Role};
use silvercross_mesh_membership::{Freshness, NodeRecord};
use silvercross_time::Duration;
use std::net::Ipv4Addr;

fn address(node: u32) -> String {
    Ipv4Addr::from_bits(node).to_string()
}

fn node_row(record: &NodeRecord<RecordBody>) -> Value {
    let body = &record.body;
    let upstream = body.upstream.as_ref();
    let at = upstream.map(|upstream| {
        json!({ "id": upstream.id, "service": upstream.service, "slots": upstream.slots,
            "draining": upstream.draining, "silent": upstream.silent, "colds": upstream.warm_ups })
    });
    let control =
        (body.control_port > 0).then(|| format!("{}:{}", address(record.node.0), body.control_port));
    json!({ "node": address(record.node.0), "zone": record.zone, "core": record.is_control, "gone": record.gone,
        "leaving": body.stopping, "life": record.incarnation, "seq": record.sequence,
        "holders": body.replica_set.iter().map(|replica| address(*replica)).collect::<Vec<_>>(),
        "control": control, "upstream": upstream.map(|upstream| upstream.id.clone()),
        "service": upstream.map(|upstream| upstream.service.clone()), "at": at })
}

/// The content of this node's control store: each key's state, and this replica's role for it.
fn store_report(store: &ControlStore<ControlValue>) -> Value {
    let keys: Vec<Value> = store
        .key_states()
        .iter()
        .map(|key| {
            let role = match key.role {
                Role::Owner => "owner",
                Role::Claiming => "claiming",
                Role::Replica => "holder",
                Role::Repairing => "repairing",
            };
            json!({ "key": key.key, "role": role, "owner": key.owner.map(|node| address(node.0)),
                "promised": { "round": key.promised.round, "owner": address(key.promised.owner) },
                "accepted": { "round": key.accepted.epoch.round, "owner": address(key.accepted.epoch.owner),
                    "change": key.accepted.sequence } })
        })
        .collect();
    let replicas: Vec<String> = store.replica_nodes().iter().map(|node| address(node.0)).collect();
    json!({ "voter": store.is_voter(), "roster": replicas, "keys": keys, "figures": store_metrics(store) })
}

fn store_metrics(store: &ControlStore<ControlValue>) -> Value {
    let metrics = store.metrics();
    json!({ "claims": metrics.claims, "taken": metrics.ownerships_taken, "steppedDown": metrics.stepped_down,
        "copiesSent": metrics.appends_sent, "wholesSent": metrics.snapshots_sent, "behind": metrics.lagging_replicas,
        "refusedLowerEpoch": metrics.rejected_lower_epoch, "strangers": metrics.unknown_senders,
        "unsettled": metrics.unknown_outcomes, "passed": metrics.forwarded, "repairs": metrics.repairs_answered,
        "outlived": metrics.stale_incarnations, "replicaSets": metrics.replica_sets_adopted, "wentBack": metrics.disk_rollbacks,
        "diskFull": metrics.disk_full, "unsaid": metrics.replies_withheld })
}

/// The state of the control store's disk: whether it accepts writes, and if not, what an operator has to do.
fn disk_report(node_state: &NodeState) -> Value {
    match node_state.peers.disk_full() {
        None => json!({ "state": "ok" }),
        Some(error) => {
            json!({ "state": "full", "why": error.to_string(), "mend": "free space on the disk of dataDir" })
        }
    }
}

fn owned_keys(store: &ControlStore<ControlValue>) -> Vec<Value> {
    let owned = store.owned_keys();
    let row = owned.iter().map(
        |owned| json!({ "key": owned.key, "round": owned.epoch.round, "change": owned.revision.sequence }),
    );
    row.collect()
}

/// The order in force for each zone that ever had one.
fn zone_order_rows(node_state: &NodeState) -> Vec<Value> {
    let now = node_state.now();
    let row = |(zone, order): (&String, &ZoneOrder)| {
        let revision = order.revision;
        json!({ "zone": zone, "on": order.is_evacuated, "round": revision.epoch, "owner": address(revision.owner as u32),
            "change": revision.sequence, "sinceUs": (now - order.since).as_micros() })
    };
    node_state.zone_orders().iter().map(row).collect()
}

/// Known nodes, revisions in force, and, if this node has a control store, its keys.
pub(crate) fn state_report(node_state: &NodeState) -> Value {
    let (settings, peers) = (&node_state.settings, &node_state.peers);
    let revisions: Vec<Value> = node_state
        .revisions()
        .iter()
        .map(|(key, revision)| {
            json!({ "key": key, "round": revision.epoch, "owner": address(revision.owner as u32), "change": revision.sequence })
        })
        .collect();
    let nodes: Vec<Value> = peers.membership(|membership| membership.records().map(node_row).collect());
    let parent = peers.membership(|membership| membership.parent()).map(|parent| address(parent.0));
    let linked: Vec<String> =
        peers.membership(|membership| membership.linked_nodes().iter().map(|node| address(node.0)).collect());
    let sync_age = peers.membership(|membership| membership.last_sync_age(node_state.now()));
    let has_path = peers.membership(|membership| membership.has_path());
    let evacuations = zone_order_rows(node_state);
    let (freshness, after) = match node_state.freshness() {
        Freshness::Waiting => ("waiting", None),
        Freshness::Current { after } => ("current", Some(after)),
        Freshness::TimedOut { after } => ("bound passed", Some(after)),
    };
    json!({ "node": settings.name, "ip": settings.ip.to_string(), "zone": settings.zone, "zones": settings.zones,
        "core": settings.is_control, "version": env!("CARGO_PKG_VERSION"), "parent": parent, "linked": linked,
        "pathToControl": has_path, "evacuations": evacuations, "newsAgeUs": sync_age.map(Duration::as_micros), "ready": node_state.is_ready(),
        "unready": node_state.not_ready().map(|reason| reason.to_string()), "freshness": freshness,
        "freshnessUs": after.map(Duration::as_micros), "configured": node_state.configured(), "evacuated": node_state.evacuated_zones(),
        "revisions": revisions, "nodes": nodes, "owns": peers.control_store(owned_keys),
        "ledger": peers.control_store(store_report),
        "disk": peers.control_store(|_| disk_report(node_state)) })
}
