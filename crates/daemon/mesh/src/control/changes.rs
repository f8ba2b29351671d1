//! Changing keys of the control store, and redirecting callers to a replica.
use super::call::ReceivedCall;
use super::response::CallResponse;
use crate::control_value::{ControlChange, CONFIGURATION_KEY};
use crate::node_state::NodeState;
use silvercross_control_store::{CallOutcome, Rejection};
use slog::info;
use std::rc::Rc;

/// Apply a configuration update on behalf of a call to `path`.
pub(super) async fn change_configuration(
    node_state: &Rc<NodeState>,
    call: &ReceivedCall,
    body: &[u8],
    path: &str,
) -> CallResponse {
    let change = match silvercross_mesh_config::parse_update(body) {
        Ok(update) if update.members.is_empty() => ControlChange::Patch(update.configuration),
        Ok(update) => ControlChange::Call(Box::new(update)),
        Err(fault) => return CallResponse::error(400, &fault.to_string()),
    };
    change_key(node_state, call, CONFIGURATION_KEY, change, path).await
}

/// Change a key on behalf of a call to `path`.
pub(super) async fn change_key(
    node_state: &Rc<NodeState>,
    call: &ReceivedCall,
    key: &str,
    change: ControlChange,
    path: &str,
) -> CallResponse {
    node_state.counters.control_calls.set(node_state.counters.control_calls.get() + 1);
    match node_state.peers.change_key(node_state, key, change).await {
        Some(CallOutcome::Committed { revision, changed }) => {
            if changed {
                info!(node_state.log, "acknowledged"; "key" => key, "round" => revision.epoch.round, "change" => revision.sequence,
                    "call" => path, "caller" => call.caller.map(|caller| caller.to_string()),
                    "us" => call.received_at.elapsed().as_micros() as u64);
            }
            CallResponse::ok()
        }
        Some(CallOutcome::Rejected(rejection)) => rejected(node_state, key, &rejection),
        Some(CallOutcome::Value { .. } | CallOutcome::Unknown) => CallResponse::retry_later(),
        None => redirect(node_state, path),
    }
}

fn rejected(node_state: &NodeState, key: &str, rejection: &Rejection) -> CallResponse {
    if let Some(count) = node_state.rejected_calls_log.due(node_state.now()) {
        info!(node_state.log, "call rejected"; "key" => key, "why" => &rejection.reason, "count" => count);
    }
    if let Some(event_stream) = node_state.event_stream.get() {
        let incarnation = node_state.peers.membership(|membership| membership.incarnation());
        event_stream.call_rejected(node_state.settings.ip, incarnation, key, &rejection.reason);
    }
    CallResponse::error(if rejection.conflict { 409 } else { 400 }, &rejection.reason)
}

/// Redirect a call to `path` to a replica of the control store, since this node is none.
pub(super) fn redirect(node_state: &NodeState, path: &str) -> CallResponse {
    match node_state.control_address() {
        Some(address) => CallResponse::redirect(format!("http://{address}{path}")),
        None => CallResponse::retry_later(),
    }
}
