//! Changing keys of the control store, and redirecting callers to a replica.
use super::call::ReceivedCall;
use super::order_condition::{epoch_of, OrderCondition};
use super::response::CallResponse;
use crate::control_value::{ControlChange, ControlValue, CONFIGURATION_KEY};
use crate::node_state::NodeState;
use silvercross_control_store::{CallOutcome, Epoch, ReadEpoch, Rejection};
use slog::info;
use std::rc::Rc;

/// Apply a configuration update on behalf of a call to `path`.
pub(super) async fn change_configuration(
    node_state: &Rc<NodeState>,
    call: &ReceivedCall<'_>,
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

fn count_call(node_state: &NodeState) {
    node_state.counters.control_calls.set(node_state.counters.control_calls.get() + 1);
}

/// Change a key on behalf of a call to `path`.
async fn change_key(
    node_state: &Rc<NodeState>,
    call: &ReceivedCall<'_>,
    key: &str,
    change: ControlChange,
    path: &str,
) -> CallResponse {
    count_call(node_state);
    let outcome = node_state.peers.change_key(node_state, key, change).await;
    respond(node_state, call, key, path, outcome)
}

/// Change a key by an order without a version on behalf of a call to `path`: only if none that came later was acknowledged
/// since its caller sent it. A caller whose order may be older is asked again.
pub(super) async fn change_key_in_order(
    node_state: &Rc<NodeState>,
    call: &ReceivedCall<'_>,
    key: &str,
    change: ControlChange,
    path: &str,
) -> CallResponse {
    count_call(node_state);
    let called_at = node_state.now();
    let epoch = match epoch_of(call.target) {
        Some(epoch) => epoch,
        None => match epoch_for_new_order(node_state, call, key, &change, path).await {
            Ok(epoch) => epoch,
            Err(response) => return response,
        },
    };
    if call.caller_has_left() {
        return abandoned(node_state, call);
    }
    let read = ReadEpoch { epoch, called_at };
    let outcome = node_state.peers.change_key_under(node_state, key, change, read).await;
    if matches!(outcome, Some(CallOutcome::Unknown)) {
        node_state.count_unsettled_order(path);
    }
    respond(node_state, call, key, path, outcome)
}

/// The epoch under which an order may be carried out, as it is newer than all that were acknowledged under earlier ones.
///
/// # Errors
/// The response to the call, if the order can't be carried out now or may be older.
async fn epoch_for_new_order(
    node_state: &Rc<NodeState>,
    call: &ReceivedCall<'_>,
    key: &str,
    change: &ControlChange,
    path: &str,
) -> Result<Epoch, CallResponse> {
    match node_state.peers.read_key(node_state, key).await {
        Some(CallOutcome::Value { revision, value }) => {
            let is_newer = node_state.is_order_newer(key, revision, call.opened_after);
            if is_newer || !value.is_reversed_by(change) {
                return Ok(revision.epoch);
            }
            Err(ask_again(node_state, call, OrderCondition::Epoch(revision.epoch), path))
        }
        Some(_) => Err(CallResponse::retry_later()),
        None => Err(redirect(node_state, path)),
    }
}

/// Ask the caller whether it still gives its order: redirect it to this node, where the order is carried out under this
/// condition only. A caller who has gone on does not follow.
pub(super) fn ask_again(
    node_state: &NodeState,
    call: &ReceivedCall<'_>,
    condition: OrderCondition,
    path: &str,
) -> CallResponse {
    let caller = call.caller().map_or_else(String::new, |caller| caller.to_string());
    node_state.count_order_asked_again(path, &caller, call.opened_after);
    match node_state.own_control_address() {
        Some(address) => CallResponse::redirect_under(format!("http://{address}{path}"), condition),
        None => CallResponse::retry_later(),
    }
}

/// Give up a call whose caller has left. The response is for one that has only closed its sending direction.
pub(super) fn abandoned(node_state: &NodeState, call: &ReceivedCall<'_>) -> CallResponse {
    let caller = call.caller().map_or_else(String::new, |caller| caller.to_string());
    node_state.count_abandoned_call(&call.name, &caller, call.received_at.elapsed());
    CallResponse::retry_later()
}

fn respond(
    node_state: &NodeState,
    call: &ReceivedCall<'_>,
    key: &str,
    path: &str,
    outcome: Option<CallOutcome<ControlValue>>,
) -> CallResponse {
    match outcome {
        Some(CallOutcome::Committed { revision, changed }) => {
            if changed {
                info!(node_state.log, "acknowledged"; "key" => key, "round" => revision.epoch.round, "change" => revision.sequence,
                    "call" => path, "opened_us" => (node_state.now() - call.opened_after).as_micros(), "caller" => call.caller().map(|caller| caller.to_string()),
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
