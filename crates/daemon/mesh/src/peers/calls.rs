//! Operators' calls to the control store: passes them to the local replica and waits for their outcomes.
use super::state::Peers;
use crate::control_value::{ControlChange, ControlValue};
use crate::node_state::NodeState;
use silvercross_control_store::{CallOutcome, ControlStore};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// A call without an outcome after this time is reported as [`CallOutcome::Unknown`].
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A call whose outcome is pending.
pub(super) struct PendingCall {
    number: u64,
    outcome: oneshot::Receiver<CallOutcome<ControlValue>>,
}

impl Peers {
    /// Reads a key, confirmed by a majority. Returns `None` if this node can't serve the call and the caller
    /// has to use another node.
    pub(crate) async fn read_key(
        &self,
        node_state: &Rc<NodeState>,
        key: &str,
    ) -> Option<CallOutcome<ControlValue>> {
        self.call(node_state, key, None).await
    }

    /// Changes a key. Returns `None` if this node can't serve the call and the caller has to use another
    /// node.
    pub(crate) async fn change_key(
        &self,
        node_state: &Rc<NodeState>,
        key: &str,
        change: ControlChange,
    ) -> Option<CallOutcome<ControlValue>> {
        self.call(node_state, key, Some(change)).await
    }

    async fn call(
        &self,
        node_state: &Rc<NodeState>,
        key: &str,
        change: Option<ControlChange>,
    ) -> Option<CallOutcome<ControlValue>> {
        let store = self.control_store.as_ref()?;
        if store.borrow().is_outside() || node_state.is_outsider() {
            return None;
        }
        let call = self.begin_call(node_state, store, key, change);
        self.carry_out_effects(node_state);
        Some(self.outcome(call).await)
    }

    /// Passes a change to the control store, or a read if there is none. The call starts when the store's
    /// effects are next carried out.
    pub(super) fn begin_call(
        &self,
        node_state: &NodeState,
        store: &RefCell<ControlStore<ControlValue>>,
        key: &str,
        change: Option<ControlChange>,
    ) -> PendingCall {
        let number = self.take_number();
        let (sender, outcome) = oneshot::channel();
        self.pending_calls.borrow_mut().insert(number, sender);
        let now = node_state.now();
        match change {
            Some(change) => store.borrow_mut().call(now, number, key, change),
            None => store.borrow_mut().read(now, number, key),
        }
        PendingCall { number, outcome }
    }

    /// Waits for the outcome of a call, at most for [`CALL_TIMEOUT`].
    pub(super) async fn outcome(&self, call: PendingCall) -> CallOutcome<ControlValue> {
        let outcome = timeout(CALL_TIMEOUT, call.outcome).await;
        self.pending_calls.borrow_mut().remove(&call.number);
        outcome.ok().and_then(Result::ok).unwrap_or(CallOutcome::Unknown)
    }
}
