//! Neighbours' requests for a confirmation that are not answered yet, in their order. Independent of what a confirmation means,
//! and of links.
use super::record::RecordBody;
use silvercross_mesh_membership::{MembershipMessage, Node};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};

/// The maximum number of requests of a neighbour that wait for an answer. A node has fewer unanswered.
const MAX_HELD_REQUESTS: usize = 512;

/// What became of a request that is to be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Held {
    /// It waits behind others of the same neighbour.
    Queued,
    /// It is the first of its neighbour.
    First,
    /// There is no room for it.
    NoRoom,
}

/// A neighbour's request for its own record.
pub(super) struct HeldRequest {
    pub(super) message: MembershipMessage<RecordBody>,
    /// Whether it is to be answered once all that came before is durable.
    pub(super) is_durable: bool,
}

/// The requests of a neighbour that are not answered yet. They are answered in their order.
struct HeldRequests {
    /// The connection on which they came, by a number that is never used again.
    connection: u64,
    requests: VecDeque<HeldRequest>,
}

/// Requests for confirmations that are not answered yet, by neighbour.
#[derive(Default)]
pub(super) struct HeldConfirmations {
    by_node: RefCell<BTreeMap<Node, HeldRequests>>,
}

impl HeldConfirmations {
    /// The connection to a neighbour has ended or been replaced: earlier requests are not answered.
    pub(super) fn connection_changed(&self, node: Node) {
        self.by_node.borrow_mut().remove(&node);
    }

    /// Whether requests of a neighbour are held.
    pub(super) fn holds_any(&self, node: Node) -> bool {
        self.by_node.borrow().contains_key(&node)
    }

    /// Holds a request. `connection` is the number of the connection if it is the first one.
    pub(super) fn hold(&self, node: Node, connection: u64, request: HeldRequest) -> Held {
        let mut by_node = self.by_node.borrow_mut();
        match by_node.get_mut(&node) {
            Some(held) if held.requests.len() < MAX_HELD_REQUESTS => {
                held.requests.push_back(request);
                Held::Queued
            }
            Some(_) => Held::NoRoom,
            None => {
                by_node.insert(node, HeldRequests { connection, requests: VecDeque::from([request]) });
                Held::First
            }
        }
    }

    /// Whether this is still the connection on which the held requests of a neighbour came.
    pub(super) fn is_current(&self, node: Node, connection: u64) -> bool {
        self.by_node.borrow().get(&node).is_some_and(|held| held.connection == connection)
    }

    /// Whether the oldest request of a neighbour waits for durability; `None` if none is left.
    pub(super) fn front(&self, node: Node) -> Option<bool> {
        self.by_node.borrow().get(&node)?.requests.front().map(|request| request.is_durable)
    }

    /// Takes the oldest request of a neighbour.
    pub(super) fn pop(&self, node: Node) -> Option<HeldRequest> {
        let mut by_node = self.by_node.borrow_mut();
        let held = by_node.get_mut(&node)?;
        let request = held.requests.pop_front();
        if held.requests.is_empty() {
            by_node.remove(&node);
        }
        request
    }
}
