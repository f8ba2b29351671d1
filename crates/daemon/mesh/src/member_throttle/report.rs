//! Reports the state of members on this node to operators. The JSON keys are part of the wire protocol.
use crate::node_state::NodeState;
use serde_json::{json, Value};
use silvercross_mesh_membership::Revision;
use silvercross_throttle::{lapse_key, LapseTime, Member, Plan};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

fn member_row(node_state: &NodeState, member: &Member, revisions: &BTreeMap<String, Revision>) -> Value {
    let members = &node_state.member_throttle;
    let status = members.lapses.borrow().status(node_state.now(), member);
    let due = match member.lapse_time {
        Some(LapseTime::At(at)) => Some(at),
        _ => {
            let observed = members.observed.borrow();
            let lapse = observed.get(&member.name).map(|observed| &observed.lapse);
            lapse.filter(|lapse| lapse.version == Some(member.version)).and_then(|lapse| lapse.due)
        }
    };
    let revision = revisions.get(&lapse_key(&member.name));
    json!({
        "name": member.name, "plan": if member.plan == Plan::Full { "full" } else { "trial" }, "edition": member.version,
        "step": status.throttle_step.step, "of": status.throttle_step.total_steps, "lapsed": status.begun,
        "ageS": status.age.map(|age| age.as_secs_f64()), "lapsesAt": due.map(|due| due.as_micros() as f64 / 1e6),
        "owner": revision.map(|revision| Ipv4Addr::from_bits(revision.owner as u32).to_string()),
        "round": revision.map(|revision| revision.epoch),
    })
}

/// The state of members on this node, and the control addresses of the other nodes.
pub(crate) fn members_report(node_state: &NodeState) -> Value {
    let (settings, now) = (&node_state.settings, node_state.now());
    let index = node_state.member_throttle.index();
    let revisions = node_state.revisions();
    let rows: Vec<Value> = index.members().map(|member| member_row(node_state, member, &revisions)).collect();
    let nodes: Vec<Value> = node_state.peers.membership(|membership| {
        let callable = membership.records().filter(|record| !record.gone && record.body.control_port > 0);
        let row = callable.map(|record| {
            let at = format!("{}:{}", Ipv4Addr::from_bits(record.node.0), record.body.control_port);
            json!({ "zone": record.zone, "core": record.is_control, "control": at })
        });
        row.collect()
    });
    let owner = node_state.member_throttle.owner.borrow();
    let clock = (settings.is_control && node_state.member_throttle.has_members())
        .then(|| json!({ "known": owner.clock.wall_time(now).is_some(), "set": owner.clock.stepped(now) }));
    json!({ "node": settings.name, "zone": settings.zone, "core": settings.is_control,
        "control": settings.control_address, "header": index.header(), "clock": clock, "members": rows,
        "nodes": nodes })
}
