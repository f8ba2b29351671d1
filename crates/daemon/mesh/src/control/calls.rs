//! The calls, each declared beside its handler, and the lists of calls served by each listener.
use super::call::{call, Call, ReceivedCall};
use super::changes::{change_configuration, change_key_in_order, redirect};
use super::member_calls::{MEMBERS_LAPSE, MEMBERS_LIST, MEMBERS_RENEW};
use super::response::CallResponse;
use crate::control_value::{evacuation_key, ControlChange, ControlValue, CONFIGURATION_KEY};
use crate::metrics::metrics_report;
use crate::node_state::{ClaimOutcome, Heartbeat, NodeState};
use crate::state_report::state_report;
use silvercross_control_store::CallOutcome;
use std::rc::Rc;

/// Calls served at the address `control`.
pub(crate) const CONTROL_CALLS: [&Call; 11] = [
    &HEARTBEAT,
    &SIGN_OFF,
    &PATCH,
    &GET,
    &EVACUATE_START,
    &EVACUATE_END,
    &STATE,
    &METRICS,
    &MEMBERS_LIST,
    &MEMBERS_RENEW,
    &MEMBERS_LAPSE,
];
/// Calls served at the address `ready`.
pub(crate) const READY_CALLS: [&Call; 2] = [&READY, &METRICS];

call!(HEARTBEAT, "POST", "/-/Stations.Heartbeat/{}", heartbeat);
async fn heartbeat(node_state: &Rc<NodeState>, call: &ReceivedCall<'_>) -> CallResponse {
    let ReceivedCall { name: id, body, .. } = call;
    let heartbeat = match serde_json::from_slice::<Heartbeat>(body) {
        Ok(heartbeat) => heartbeat,
        Err(e) => return CallResponse::error(400, &format!("the heartbeat can't be read: {e}")),
    };
    let is_draining = heartbeat.is_draining();
    if !node_state.is_beside(&heartbeat) {
        return heartbeat_from_elsewhere(node_state, id, &heartbeat).await;
    }
    match node_state.settle_claim(id).await {
        ClaimOutcome::Accepted => {}
        ClaimOutcome::Refuted | ClaimOutcome::Unsettled if is_draining => {
            node_state.upstream_drains(id);
            return acknowledge_departure(node_state, id).await;
        }
        // It is late, or a further one settles it.
        ClaimOutcome::Refuted | ClaimOutcome::Unsettled => return CallResponse::ok(),
    }
    if !node_state.upstream_heartbeat(id, heartbeat) {
        CallResponse::error(409, "this incarnation has signed off (start under another id)")
    } else if is_draining {
        acknowledge_departure(node_state, id).await
    } else {
        CallResponse::ok()
    }
}

/// Handles a heartbeat of an upstream on another machine, whose sidecar may not have answered: a departure is
/// acknowledged by any node.
async fn heartbeat_from_elsewhere(
    node_state: &Rc<NodeState>,
    id: &str,
    heartbeat: &Heartbeat,
) -> CallResponse {
    if heartbeat.is_draining() {
        node_state.upstream_drains(id);
        return acknowledge_departure(node_state, id).await;
    }
    match node_state.sidecar_of(heartbeat) {
        Some(address) => CallResponse::redirect(format!("http://{address}/-/Stations.Heartbeat/{id}")),
        None => CallResponse::error(404, "the upstream is not on this machine (call the sidecar beside it)"),
    }
}

/// Acknowledges a departure once other nodes have it: this process may end at any time.
async fn acknowledge_departure(node_state: &Rc<NodeState>, id: &str) -> CallResponse {
    if node_state.replicate_departure(id).await {
        CallResponse::ok()
    } else {
        CallResponse::retry_later()
    }
}

call!(SIGN_OFF, "POST", "/-/Stations.SignOff/{}", sign_off);
async fn sign_off(node_state: &Rc<NodeState>, call: &ReceivedCall<'_>) -> CallResponse {
    node_state.upstream_signed_off(&call.name);
    acknowledge_departure(node_state, &call.name).await
}

call!(PATCH, "POST", "/-/Config.Patch", patch);
async fn patch(node_state: &Rc<NodeState>, call: &ReceivedCall<'_>) -> CallResponse {
    change_configuration(node_state, call, &call.body, PATCH.path).await
}

call!(GET, "GET", "/-/Config.Get", get);
async fn get(node_state: &Rc<NodeState>, _: &ReceivedCall<'_>) -> CallResponse {
    match node_state.peers.read_key(node_state, CONFIGURATION_KEY).await {
        Some(CallOutcome::Value { value: ControlValue::Configuration(configuration), .. }) => {
            CallResponse::json(200, configuration.to_json())
        }
        Some(CallOutcome::Value { value: ControlValue::WithMembers(all), .. }) => {
            CallResponse::json(200, all.to_json())
        }
        Some(CallOutcome::Value { .. }) => CallResponse::ok(),
        Some(_) => CallResponse::retry_later(),
        None => redirect(node_state, GET.path),
    }
}

call!(EVACUATE_START, "POST", "/-/Evacuate.Start/{}", evacuate_start, ends_with_caller: true);
async fn evacuate_start(node_state: &Rc<NodeState>, call: &ReceivedCall<'_>) -> CallResponse {
    evacuate(node_state, call, true).await
}

call!(EVACUATE_END, "POST", "/-/Evacuate.End/{}", evacuate_end, ends_with_caller: true);
async fn evacuate_end(node_state: &Rc<NodeState>, call: &ReceivedCall<'_>) -> CallResponse {
    evacuate(node_state, call, false).await
}

async fn evacuate(node_state: &Rc<NodeState>, call: &ReceivedCall<'_>, on: bool) -> CallResponse {
    let (zone, zones) = (&call.name, &node_state.settings.zones);
    if !zones.iter().any(|known| known == zone) {
        return CallResponse::error(400, &format!("zone {zone:?}: unknown (name one of {zones:?})"));
    }
    let path = format!("/-/Evacuate.{}/{zone}", if on { "Start" } else { "End" });
    change_key_in_order(node_state, call, &evacuation_key(zone), ControlChange::Evacuate(on), &path).await
}

call!(STATE, "GET", "/-/Post.State", state);
async fn state(node_state: &Rc<NodeState>, _: &ReceivedCall<'_>) -> CallResponse {
    CallResponse::json(200, state_report(node_state).to_string())
}

call!(METRICS, "GET", "/-/Post.Figures", metrics);
async fn metrics(node_state: &Rc<NodeState>, _: &ReceivedCall<'_>) -> CallResponse {
    CallResponse::json(200, metrics_report(node_state).to_string())
}

call!(READY, "GET", "/-/ready", ready);
async fn ready(node_state: &Rc<NodeState>, _: &ReceivedCall<'_>) -> CallResponse {
    match node_state.not_ready() {
        None => CallResponse::json(200, "{\"ready\":true}".to_string()),
        Some(reason) => {
            node_state.count_not_ready_reply();
            CallResponse::error(503, &reason.to_string())
        }
    }
}
