//! One node under test, with neighbours simulated by the test.
#![allow(dead_code, reason = "each test program uses a part of it")]

use silvercross_mesh_membership::*;
use silvercross_time::{Duration, Instant};

/// Start time of every test.
pub const START: Instant = Instant::ZERO;

/// The time this many microseconds after the start.
pub const fn at(micros: i64) -> Instant {
    Instant::from_micros(micros)
}

/// The time after `span` has passed since the start.
pub fn after(span: Duration) -> Instant {
    START + span
}

/// The configuration of a node; all nodes are in the same zone.
pub fn config(local_node: Node, is_control: bool, seed: Node, incarnation: u64) -> MembershipConfig {
    MembershipConfig {
        local_node,
        zone: "a".into(),
        is_control,
        seeds: vec![seed],
        incarnation,
        random_seed: 1,
    }
}

/// A sidecar's record.
pub fn record(node: Node, incarnation: u64, sequence: u64) -> NodeRecord<u32> {
    NodeRecord { node, incarnation, sequence, zone: "a".into(), is_control: false, gone: false, body: 1 }
}

/// A position with the given path to a control node.
pub fn position(path: &[Node]) -> TreePosition {
    TreePosition { path: path.to_vec(), ..TreePosition::default() }
}

/// The first message of a neighbour that has different versions.
pub fn hello(node: Node, is_control: bool) -> MembershipMessage<u32> {
    let record = NodeRecord { is_control, ..record(node, 1, 0) };
    let position = if is_control { position(&[node]) } else { TreePosition::default() };
    MembershipMessage::Hello { record, digest: 0, known_items: 9, position }
}

/// A keep-alive of a node with the given path to a control node.
pub fn keepalive(path: &[Node]) -> MembershipMessage<u32> {
    MembershipMessage::KeepAlive { digest: 0, wants_reply: false, position: position(path) }
}

pub fn update(records: Vec<NodeRecord<u32>>, entries: Vec<ControlEntry>) -> MembershipMessage<u32> {
    MembershipMessage::Update { records, entries }
}

pub fn heartbeat(incarnation: u64, sequence: u64) -> Datagram {
    Datagram::Heartbeat { incarnation, sequence }
}

/// The node under test.
pub const LOCAL_NODE: Node = Node(10);
/// Its parent.
pub const PARENT: Node = Node(1);
/// Its linked neighbours.
pub const LINKED: [Node; 3] = [PARENT, Node(20), Node(21)];
/// Key of the control entry used in tests.
pub const KEY: &str = "k";

/// The node under test with its links up.
pub fn linked_membership() -> Membership<u32> {
    let mut membership = Membership::new(START, config(LOCAL_NODE, false, PARENT, 5), 0);
    for node in LINKED {
        membership.link_up(START, node);
        membership.receive(START, node, hello(node, node == PARENT));
    }
    membership.take_effects();
    membership
}

/// The control entry in a given revision and size.
pub fn entry(revision: Revision, bytes: usize) -> ControlEntry {
    ControlEntry { key: KEY.into(), revision, bytes: vec![1; bytes] }
}

/// Receivers of record updates.
pub fn record_updates(effects: &[Effect<u32>]) -> Vec<Node> {
    let to = |effect: &Effect<u32>| match effect {
        Effect::SendMessage { to, message: MembershipMessage::Update { .. } } => Some(*to),
        _ => None,
    };
    effects.iter().filter_map(to).collect()
}
