//! Operators' calls to the control store: passes them to the local replica and waits for their outcomes.
use super::state::Peers;
use crate::control_value::{ControlChange, ControlValue};
use crate::node_state::NodeState;
use silvercross_control_store::{CallOutcome, ControlStore, ReadEpoch};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// A call without an outcome after this time is reported as [`CallOutcome::Unknown`].
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// What a call asks of a key.
pub(super) enum KeyRequest {
    /// Its value.
    Read,
    /// A change.
    Change(ControlChange),
    /// A change only while the key is owned under this epoch.
    ChangeUnder(ControlChange, ReadEpoch),
}

/// A call whose outcome is pending. Dropping it gives the call up.
pub(super) struct PendingCall<'p> {
    peers: &'p Peers,
    number: u64,
    outcome: oneshot::Receiver<CallOutcome<ControlValue>>,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        let is_pending = self.peers.pending_calls.borrow_mut().remove(&self.number).is_some();
        if let Some(store) = self.peers.control_store.as_ref().filter(|_| is_pending) {
            store.borrow_mut().cancel(self.number);
        }
    }
}

impl Peers {
    /// Reads a key, confirmed by a majority. Returns `None` if this node can't serve the call and the caller
    /// has to use another node.
    pub(crate) async fn read_key(
        &self,
        node_state: &Rc<NodeState>,
        key: &str,
    ) -> Option<CallOutcome<ControlValue>> {
        self.call(node_state, key, KeyRequest::Read).await
    }

    /// Changes a key. Returns `None` if this node can't serve the call and the caller has to use another
    /// node.
    pub(crate) async fn change_key(
        &self,
        node_state: &Rc<NodeState>,
        key: &str,
        change: ControlChange,
    ) -> Option<CallOutcome<ControlValue>> {
        self.call(node_state, key, KeyRequest::Change(change)).await
    }

    /// Changes a key only while it is owned under the epoch that a read has returned. Returns `None` as
    /// [`Peers::change_key`] does.
    pub(crate) async fn change_key_under(
        &self,
        node_state: &Rc<NodeState>,
        key: &str,
        change: ControlChange,
        read: ReadEpoch,
    ) -> Option<CallOutcome<ControlValue>> {
        self.call(node_state, key, KeyRequest::ChangeUnder(change, read)).await
    }

    async fn call(
        &self,
        node_state: &Rc<NodeState>,
        key: &str,
        request: KeyRequest,
    ) -> Option<CallOutcome<ControlValue>> {
        let store = self.control_store.as_ref()?;
        if store.borrow().is_outside() || node_state.is_outsider() {
            return None;
        }
        let call = self.begin_call(node_state, store, key, request);
        self.carry_out_effects(node_state);
        Some(self.outcome(call).await)
    }

    /// Passes a request to the control store. The call starts when the store's effects are next carried out.
    pub(super) fn begin_call(
        &self,
        node_state: &NodeState,
        store: &RefCell<ControlStore<ControlValue>>,
        key: &str,
        request: KeyRequest,
    ) -> PendingCall<'_> {
        let number = self.take_number();
        let (sender, outcome) = oneshot::channel();
        self.pending_calls.borrow_mut().insert(number, sender);
        let now = node_state.now();
        match request {
            KeyRequest::Read => store.borrow_mut().read(now, number, key),
            KeyRequest::Change(change) => store.borrow_mut().call(now, number, key, change),
            KeyRequest::ChangeUnder(change, read) => {
                store.borrow_mut().call_under(now, number, key, change, read);
            }
        }
        PendingCall { peers: self, number, outcome }
    }

    /// Waits for the outcome of a call, at most for [`CALL_TIMEOUT`].
    pub(super) async fn outcome(&self, mut call: PendingCall<'_>) -> CallOutcome<ControlValue> {
        let outcome = timeout(CALL_TIMEOUT, &mut call.outcome).await;
        outcome.ok().and_then(Result::ok).unwrap_or(CallOutcome::Unknown)
    }
}
