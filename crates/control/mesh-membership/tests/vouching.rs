//! Watchers that tell each other of a node: what one has heard from another is not heard anew.
mod common;

use common::{control_node, sidecar, World, MS, S};
use silvercross_mesh_membership::{
    Datagram, Effect, Membership, MembershipConfig, MembershipMessage, Node, NodeRecord, TreePosition,
};

/// All that is left of a mesh agrees within this after a zone was lost.
const ZONE_LOST: i64 = 10 * S;

fn start(local_node: u32) -> MembershipConfig {
    MembershipConfig {
        local_node: Node(local_node),
        zone: "a".into(),
        is_control: false,
        seeds: vec![Node(9)],
        incarnation: 1,
        random_seed: u64::from(local_node),
    }
}

fn record(node: u32) -> NodeRecord<u64> {
    NodeRecord {
        node: Node(node),
        incarnation: 1,
        sequence: 1,
        zone: "a".into(),
        is_control: node == 9,
        gone: false,
        body: u64::from(node),
    }
}

/// A node that knows nodes 2, 3 and 9, the last as its parent.
fn watcher() -> Membership<u64> {
    let mut membership = Membership::new(0, start(1), 1);
    membership.link_up(0, Node(9));
    let position = TreePosition { path: vec![Node(9)], ..TreePosition::default() };
    membership.receive(
        0,
        Node(9),
        MembershipMessage::Hello { record: record(9), digest: 0, known: 4, position },
    );
    let records = vec![record(2), record(3), record(9)];
    membership.receive(0, Node(9), MembershipMessage::Snapshot { records, entries: Vec::new() });
    membership.tick(0);
    membership.take_effects();
    membership
}

fn answers(membership: &mut Membership<u64>) -> Vec<Datagram> {
    let effects = membership.take_effects().into_iter();
    effects
        .filter_map(|effect| match effect {
            Effect::SendDatagram {
                to: Node(3),
                datagram: told @ (Datagram::SuspectAlive { .. } | Datagram::SuspectConfirmed { .. }),
            } => Some(told),
            _ => None,
        })
        .collect()
}

/// Time goes on; the parent and node 3 are heard all the while.
fn pass(membership: &mut Membership<u64>, from: i64, to: i64) {
    for now in (from..to).step_by(100_000) {
        let position = TreePosition { path: vec![Node(9)], ..TreePosition::default() };
        membership.receive(now, Node(9), MembershipMessage::KeepAlive { digest: 0, ask: false, position });
        membership.receive_datagram(now, Node(3), Datagram::Heartbeat { incarnation: 1, sequence: 1 });
        membership.tick(now);
    }
}

#[test]
fn a_watcher_tells_how_long_ago_it_heard_and_hearsay_grows_no_younger() {
    let mut membership = watcher();
    let ask = Datagram::Suspect { about: Node(2), incarnation: 1 };
    let heard = |elapsed| Datagram::SuspectAlive { about: Node(2), incarnation: 1, elapsed };
    pass(&mut membership, 0, S);
    membership.receive_datagram(S, Node(2), Datagram::Heartbeat { incarnation: 1, sequence: 1 });
    pass(&mut membership, S, S + 500 * MS);
    membership.take_effects();
    membership.receive_datagram(S + 500 * MS, Node(3), ask.clone());
    assert_eq!(answers(&mut membership), [heard(500 * MS)]);
    pass(&mut membership, S + 500 * MS, S + 1_600 * MS);
    // Another has heard it no later than this node: that changes nothing, however late it is told.
    membership.receive_datagram(S + 1_600 * MS, Node(3), heard(1_600 * MS));
    membership.receive_datagram(S + 1_650 * MS, Node(3), ask.clone());
    assert_eq!(answers(&mut membership), [heard(1_650 * MS)]);
    pass(&mut membership, S + 1_600 * MS, S + 1_800 * MS);
    membership.receive_datagram(S + 1_800 * MS, Node(3), ask);
    assert_eq!(answers(&mut membership), [Datagram::SuspectConfirmed { about: Node(2), incarnation: 1 }]);
}

/// A node rejoins, then a zone loses its power: nobody that was lost is believed there for ever.
#[test]
fn a_lost_zone_is_found_gone_by_all() {
    for seed in 0..12 {
        let mut world = World::new(27, seed, 2 * S);
        world.run(10 * S);
        world.kill(sidecar(0), false);
        world.run(5 * S);
        world.start(sidecar(0), 2);
        world.run(10 * S);
        let lost: Vec<_> =
            world.machines.iter().filter(|(_, machine)| machine.zone == 2).map(|(node, _)| *node).collect();
        assert!(lost.contains(&control_node(2)));
        lost.into_iter().for_each(|node| world.kill(node, true));
        let took = world.until_agreed(ZONE_LOST);
        assert!(took.is_ok(), "seed {seed}: {took:?}");
    }
}
