//! One node with neighbours of the test's own making.
#![allow(dead_code, reason = "each test program uses a part of it")]

use silvercross_mesh_membership::*;
use silvercross_time::{Duration, Instant};

/// The beginning of every test.
pub const START: Instant = Instant::ZERO;

/// So many microseconds after the beginning.
pub const fn at(micros: i64) -> Instant {
    Instant::from_micros(micros)
}

/// A span after the beginning.
pub fn after(span: Duration) -> Instant {
    START + span
}

/// All nodes are of one zone.
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

/// A position directly below these control nodes.
pub fn position(path: &[Node]) -> TreePosition {
    TreePosition { path: path.to_vec(), ..TreePosition::default() }
}

/// The first message of a neighbour that knows other things.
pub fn hello(node: Node, is_control: bool) -> MembershipMessage<u32> {
    let record = NodeRecord { is_control, ..record(node, 1, 0) };
    let position = if is_control { position(&[node]) } else { TreePosition::default() };
    MembershipMessage::Hello { record, digest: 0, known_items: 9, position }
}

/// A keep-alive of a node directly below these control nodes.
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
pub const ME: Node = Node(10);
/// Its parent.
pub const PARENT: Node = Node(1);
/// The nodes that it is linked with.
pub const LINKED: [Node; 3] = [PARENT, Node(20), Node(21)];
/// A control entry's.
pub const KEY: &str = "k";

/// The node with its links up.
pub fn linked_membership() -> Membership<u32> {
    let mut membership = Membership::new(START, config(ME, false, PARENT, 5), 0);
    for node in LINKED {
        membership.link_up(START, node);
        membership.receive(START, node, hello(node, node == PARENT));
    }
    membership.take_effects();
    membership
}

/// A revision of the entry.
pub fn entry(revision: Revision, bytes: usize) -> ControlEntry {
    ControlEntry { key: KEY.into(), revision, bytes: vec![1; bytes] }
}

/// To whom updates of records were sent.
pub fn record_updates(effects: &[Effect<u32>]) -> Vec<Node> {
    let to = |effect: &Effect<u32>| match effect {
        Effect::SendMessage { to, message: MembershipMessage::Update { .. } } => Some(*to),
        _ => None,
    };
    effects.iter().filter_map(to).collect()
}
