//! Answers neighbours' requests for a confirmation: at once, or once all that came before is durable. Those of one neighbour are
//! answered in their order, so that it can tell which answer belongs to which request.
use super::durable_departures::DURABLE_KEY;
use super::held_confirmations::{Held, HeldRequest};
use super::record::RecordBody;
use super::state::Peers;
use crate::node_state::NodeState;
use silvercross_mesh_membership::{MembershipMessage, Node};
use std::rc::Rc;

impl Peers {
    /// Takes a neighbour's request for a confirmation, or returns a message that is none, or that membership may answer
    /// at once.
    pub(super) fn hold_confirmation(
        &self,
        node_state: &Rc<NodeState>,
        from: Node,
        mut message: MembershipMessage<RecordBody>,
    ) -> Option<MembershipMessage<RecordBody>> {
        let MembershipMessage::Fetch { nodes, keys } = &mut message else { return Some(message) };
        if *nodes != [from] {
            return Some(message);
        }
        let key_count = keys.len();
        keys.retain(|key| key != DURABLE_KEY);
        let is_durable = keys.len() < key_count;
        if !is_durable && !self.held_confirmations.holds_any(from) {
            return Some(message);
        }
        let connection = self.take_number();
        match self.held_confirmations.hold(from, connection, HeldRequest { message, is_durable }) {
            Held::Queued => {}
            Held::NoRoom => node_state.counters.count_foreign_message(),
            Held::First => {
                tokio::task::spawn_local(answer_held_requests(node_state.clone(), from, connection));
            }
        }
        None
    }
}

/// Answers the requests of a neighbour in their order, until none is left or the connection has changed.
async fn answer_held_requests(node_state: Rc<NodeState>, from: Node, connection: u64) {
    let peers = &node_state.peers;
    while peers.held_confirmations.is_current(from, connection) {
        let Some(is_durable) = peers.held_confirmations.front(from) else { return };
        if is_durable {
            wait_until_durable(&node_state, from).await;
        }
        if !peers.held_confirmations.is_current(from, connection) {
            return;
        }
        let Some(request) = peers.held_confirmations.pop(from) else { return };
        let now = node_state.now();
        peers.membership.borrow_mut().receive(now, from, request.message);
        peers.carry_out_effects(&node_state);
    }
}

/// Waits until a neighbour may be told that what it sent is durable. Another control node counts this one's disk itself.
async fn wait_until_durable(node_state: &Rc<NodeState>, from: Node) {
    let peers = &node_state.peers;
    match peers.control_store.is_some() && peers.is_control_node(from) {
        true => peers.sync_departures(node_state).await,
        false => peers.make_departures_durable(node_state).await,
    }
}
