//! What a process tells of itself: counters, and the state that operators ask for.
use crate::control_value::ControlValue;
use crate::node_state::NodeState;
use crate::peers::RecordBody;
use crate::service_balancer::UpstreamCounts;
use serde_json::{json, Value};
use silvercross_control_store::{ControlStore, Role};
use silvercross_mesh_membership::{Freshness, NodeRecord};
use std::net::Ipv4Addr;

/// The counters, by name.
pub fn figures(node_state: &NodeState) -> Value {
    let c = &node_state.counters;
    let replay_cache = node_state.response_replay_cache.load();
    let (out, waiting) = node_state.gate.with_admission(|w| w.load());
    let service_balancers: Vec<Value> = node_state
        .service_balancers()
        .iter()
        .map(|(name, service_balancer)| {
            let UpstreamCounts { listed, avoided } = service_balancer.upstream_counts();
            json!({ "service": name, "listed": listed, "avoided": avoided, "open": service_balancer.open_requests() })
        })
        .collect();
    let mut all = json!({
        "clients": c.client_connections.get(), "shutOut": c.rejected_clients.get(), "hops": c.hop_connections.get(),
        "hopsIdle": c.idle_hop_connections.get(), "hopsShutOut": c.rejected_hops.get(), "linksShutOut": c.rejected_links.get(), "callsShutOut": c.rejected_calls.get(), "requests": c.requests.get(),
        "refused": c.refused_requests.get(), "failed": c.failed_requests.get(), "delivered": c.delivered_requests.get(),
        "turned": c.rejected_by_gate.get(), "beats": c.heartbeats.get(), "calls": c.control_calls.get(),
        "letters": c.frames_sent.get(), "datagrams": c.datagrams_sent.get(), "strangers": c.foreign_messages.get(),
        "gateOut": out, "gateWaiting": waiting, "idle": node_state.pool.idle_count(),
        "asked": c.outcome_queries.get(), "recovered": c.recovered_requests.get(), "orphans": c.orphaned_requests.get(),
        "receipts": replay_cache.entries, "keptBytes": replay_cache.response_bytes,
        "freshnessAsked": node_state.peers.membership(|r| r.metrics().freshness_requests), "noRoom": c.rejected_for_memory.get(), "heldBytes": node_state.body_budget.reserved_bytes(), "desks": service_balancers,
        "feed": node_state.event_stream.get().map(|f| f.figures()),
    });
    if let Some(members) = node_state.member_throttle.figures() {
        all["members"] = members;
    }
    all
}

fn address(node: u32) -> String {
    Ipv4Addr::from_bits(node).to_string()
}

fn control(node: u32, port: u16) -> Option<String> {
    (port > 0).then(|| format!("{}:{port}", address(node)))
}

fn node(n: &NodeRecord<RecordBody>) -> Value {
    let upstream = n.body.station.as_ref().map(|s| {
        json!({ "id": s.id, "service": s.service, "slots": s.slots, "draining": s.draining, "silent": s.silent,
            "colds": s.colds })
    });
    json!({ "node": address(n.node.0), "zone": n.zone, "core": n.is_control, "gone": n.gone, "leaving": n.body.leaving,
        "life": n.incarnation, "seq": n.sequence, "holders": n.body.roster.iter().map(|h| address(*h)).collect::<Vec<_>>(),
        "control": control(n.node.0, n.body.control),
        "upstream": n.body.station.as_ref().map(|s| s.id.clone()),
        "service": n.body.station.as_ref().map(|s| s.service.clone()), "at": upstream })
}

/// What the ledger on this machine holds: each key as it stands here, and what this holder is to it.
fn ledger(ledger: &ControlStore<ControlValue>) -> Value {
    let keys: Vec<Value> = ledger
        .key_states()
        .iter()
        .map(|k| {
            let role = match k.role {
                Role::Owner => "owner",
                Role::Claiming => "claiming",
                Role::Replica => "holder",
                Role::Repairing => "repairing",
            };
            json!({ "key": k.key, "role": role, "owner": k.owner.map(|n| address(n.0)),
                "promised": { "round": k.promised.round, "owner": address(k.promised.owner) },
                "accepted": { "round": k.accepted.epoch.round, "owner": address(k.accepted.epoch.owner),
                    "change": k.accepted.sequence } })
        })
        .collect();
    let f = ledger.metrics();
    let roster: Vec<String> = ledger.replica_nodes().iter().map(|n| address(n.0)).collect();
    json!({ "voter": ledger.is_voter(), "roster": roster, "keys": keys,
        "figures": { "claims": f.claims, "taken": f.taken, "steppedDown": f.stepped_down, "copiesSent": f.copies_sent,
            "wholesSent": f.wholes_sent, "behind": f.behind, "refusedLowerEpoch": f.rejected_lower_epoch,
            "strangers": f.strangers, "unsettled": f.unsettled, "passed": f.forwarded, "repairs": f.repairs,
            "outlived": f.outlived, "replicaSets": f.replica_sets, "wentBack": f.went_back, "diskFull": f.no_room,
            "unsaid": f.unsaid } })
}

/// The disk under the ledger: whether it takes writes, and if not what an operator has to do.
fn disk(node_state: &NodeState) -> Value {
    match node_state.peers.disk_full() {
        None => json!({ "state": "ok" }),
        Some(why) => json!({ "state": "full", "why": why, "mend": "free room on the disk of dataDir" }),
    }
}

/// Who is there, what is in force, and, where this machine holds the ledger, its keys.
pub fn state(node_state: &NodeState) -> Value {
    let revisions: Vec<Value> = node_state
        .revisions()
        .iter()
        .map(|(key, r)| json!({ "key": key, "round": r.0, "owner": address(r.1 as u32), "change": r.2 }))
        .collect();
    let nodes: Vec<Value> = node_state.peers.membership(|r| r.records().map(node).collect());
    let parent = node_state.peers.membership(|r| r.parent()).map(|p| address(p.0));
    let linked: Vec<String> =
        node_state.peers.membership(|r| r.linked_nodes().iter().map(|n| address(n.0)).collect());
    let age = node_state.peers.membership(|r| r.last_sync_age(node_state.now().as_micros()));
    let keys = node_state.peers.control_store(|l| {
        l.owned_keys()
            .iter()
            .map(|(key, epoch, at)| json!({ "key": key, "round": epoch.round, "change": at.sequence }))
            .collect::<Vec<_>>()
    });
    let (freshness, after) = match node_state.freshness() {
        Freshness::Waiting => ("waiting", None),
        Freshness::Current { after } => ("current", Some(after)),
        Freshness::TimedOut { after } => ("bound passed", Some(after)),
    };
    json!({ "node": node_state.settings.node, "ip": node_state.settings.ip.to_string(), "zone": node_state.settings.zone, "zones": node_state.settings.zones,
        "core": node_state.settings.core, "version": env!("CARGO_PKG_VERSION"), "parent": parent, "linked": linked,
        "newsAgeUs": age, "ready": node_state.ready(), "unready": node_state.unready(), "freshness": freshness, "freshnessUs": after,
        "configured": node_state.configured(), "evacuated": node_state.evacuated(),
        "revisions": revisions, "nodes": nodes, "owns": keys, "ledger": node_state.peers.control_store(ledger),
        "disk": node_state.peers.control_store(|_| disk(node_state)) })
}
