//! What connections between nodes are made of, and what goes over them.

use crate::content::{Change, Items};
use silvercross_control_store as control;
use silvercross_mesh_membership::MembershipMessage;
use silvercross_time::Instant;

/// A connection, by a number that is never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// A direction between two nodes, by their indices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Direction {
    /// The sender.
    pub from: usize,
    /// The receiver.
    pub to: usize,
}

impl Direction {
    /// The way back.
    pub fn reversed(self) -> Direction {
        Direction { from: self.to, to: self.from }
    }
}

/// What a node announces of itself to all others.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeStatus {
    /// Of a control node: the node ids of the replicas, as it knows them.
    pub replica_ids: Vec<u32>,
    /// It stops gracefully.
    pub is_stopping: bool,
}

/// What goes over a connection.
#[derive(Clone)]
pub(crate) enum Frame {
    /// Of membership.
    Membership(MembershipMessage<NodeStatus>),
    /// Of the control store.
    Store {
        /// The version of the replica set that it was sent under.
        version: u64,
        /// What.
        message: control::Message<Items, Change>,
    },
    /// The other side has closed the connection, or knows nothing of it.
    Closed,
}

/// One end of a connection, by what goes towards it.
pub(crate) struct ConnectionEnd {
    /// The node, by its index.
    pub(crate) node: usize,
    /// When what was sent last arrives: nothing overtakes it.
    pub(crate) last_arrival: Instant,
    /// What a partition holds back, in order.
    pub(crate) held_back: Vec<Frame>,
}

/// A connection between two nodes.
pub(crate) struct Connection {
    /// The dialling node's end, and the other one's.
    pub(crate) ends: [ConnectionEnd; 2],
}

impl Connection {
    /// The place in `ends` of the end that is not this node's.
    pub(crate) fn far_end(&self, node: usize) -> usize {
        usize::from(self.ends[0].node == node)
    }
}
