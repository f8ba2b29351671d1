//! Operators' calls on members.
use super::call::{call, Call, ReceivedCall};
use super::changes::{abandoned, ask_again, change_configuration, redirect};
use super::order_condition::{item_version_of, OrderCondition};
use super::response::CallResponse;
use crate::control_value::{ControlValue, CONFIGURATION_KEY};
use crate::member_throttle::{
    item_version, lapsed_item, members_report, percent_decoded, renewed_item, ItemChangeError,
};
use crate::node_state::NodeState;
use silvercross_control_store::CallOutcome;
use std::rc::Rc;

call!(MEMBERS_LIST, "GET", "/-/Members.List", members_list);
async fn members_list(node_state: &Rc<NodeState>, _: &ReceivedCall<'_>) -> CallResponse {
    CallResponse::json(200, members_report(node_state).to_string())
}

call!(MEMBERS_RENEW, "POST", "/-/Members.Renew/{}", members_renew, ends_with_caller: true);
async fn members_renew(node_state: &Rc<NodeState>, call: &ReceivedCall<'_>) -> CallResponse {
    let path = format!("/-/Members.Renew/{}", call.name);
    change_member(node_state, call, &path, |item| renewed_item(item, &call.body)).await
}

call!(MEMBERS_LAPSE, "POST", "/-/Members.Lapse/{}", members_lapse, ends_with_caller: true);
async fn members_lapse(node_state: &Rc<NodeState>, call: &ReceivedCall<'_>) -> CallResponse {
    let path = format!("/-/Members.Lapse/{}", call.name);
    change_member(node_state, call, &path, lapsed_item).await
}

/// Read a member's current item, change it, and write it as the next version. Of two concurrent changes one is committed
/// and the other rejected as a conflict, unless they are equal. A caller whose order may be older than the latest change of
/// the configuration is asked again.
async fn change_member(
    node_state: &Rc<NodeState>,
    call: &ReceivedCall<'_>,
    path: &str,
    change: impl FnOnce(&str) -> Result<String, ItemChangeError>,
) -> CallResponse {
    let (all, revision) = match node_state.peers.read_key(node_state, CONFIGURATION_KEY).await {
        Some(CallOutcome::Value { value: ControlValue::WithMembers(all), revision }) => (all, revision),
        Some(CallOutcome::Value { .. }) => return CallResponse::error(404, "no member was ever sent"),
        Some(_) => return CallResponse::retry_later(),
        None => return redirect(node_state, path),
    };
    let name = &call.name;
    let Some(item) = percent_decoded(name).and_then(|name| all.member_list.raw_json(&name)) else {
        return CallResponse::error(404, &format!("{name:?} is no member here (see /-/Members.List)"));
    };
    if call.caller_has_left() {
        return abandoned(node_state, call);
    }
    let version = item_version(item);
    match item_version_of(call.target) {
        Some(asked) if asked != version => {
            node_state.count_unsettled_order(path);
            return CallResponse::retry_later();
        }
        Some(_) => {}
        None if node_state.is_order_newer(CONFIGURATION_KEY, revision, call.opened_after) => {}
        None => return ask_again(node_state, call, OrderCondition::ItemVersion(version), path),
    }
    match change(item) {
        Ok(patch) => change_configuration(node_state, call, patch.as_bytes(), path).await,
        Err(error) => CallResponse::error(400, &error.to_string()),
    }
}
