//! Watchers that tell each other of a node: what one has heard from another is not heard anew.
mod common;

use common::{core, side, World, MS, S};
use silvercross_mesh_membership::{Datagram, Effect, Letter, Membership, Node, Record, Standing, Start};

/// All that is left of a mesh agrees within this after a zone was lost.
const ZONE_LOST: i64 = 10 * S;

fn start(me: u32) -> Start {
    Start { me: Node(me), zone: "a".into(), core: false, seeds: vec![Node(9)], life: 1, seed: u64::from(me) }
}

fn record(node: u32) -> Record<u64> {
    Record {
        node: Node(node),
        life: 1,
        seq: 1,
        zone: "a".into(),
        core: node == 9,
        gone: false,
        body: u64::from(node),
    }
}

/// A node that knows nodes 2, 3 and 9, the last as its parent.
fn watcher() -> Membership<u64> {
    let mut membership = Membership::new(0, start(1), 1);
    membership.link_up(0, Node(9));
    let standing = Standing { path: vec![Node(9)], ..Standing::default() };
    membership.letter(0, Node(9), Letter::Hello { record: record(9), digest: 0, known: 4, standing });
    let records = vec![record(2), record(3), record(9)];
    membership.letter(0, Node(9), Letter::Snapshot { records, pages: Vec::new() });
    membership.tick(0);
    membership.effects();
    membership
}

fn answers(membership: &mut Membership<u64>) -> Vec<Datagram> {
    let effects = membership.effects().into_iter();
    effects
        .filter_map(|effect| match effect {
            Effect::Datagram {
                to: Node(3),
                datagram: told @ (Datagram::Heard { .. } | Datagram::Agree { .. }),
            } => Some(told),
            _ => None,
        })
        .collect()
}

/// Time goes on; the parent and node 3 are heard all the while.
fn pass(membership: &mut Membership<u64>, from: i64, to: i64) {
    for now in (from..to).step_by(100_000) {
        let standing = Standing { path: vec![Node(9)], ..Standing::default() };
        membership.letter(now, Node(9), Letter::Pulse { digest: 0, ask: false, standing });
        membership.datagram(now, Node(3), Datagram::Beat { life: 1, seq: 1 });
        membership.tick(now);
    }
}

#[test]
fn a_watcher_tells_how_long_ago_it_heard_and_hearsay_grows_no_younger() {
    let mut membership = watcher();
    let ask = Datagram::Ask { about: Node(2), life: 1 };
    let heard = |ago| Datagram::Heard { about: Node(2), life: 1, ago };
    pass(&mut membership, 0, S);
    membership.datagram(S, Node(2), Datagram::Beat { life: 1, seq: 1 });
    pass(&mut membership, S, S + 500 * MS);
    membership.effects();
    membership.datagram(S + 500 * MS, Node(3), ask.clone());
    assert_eq!(answers(&mut membership), [heard(500 * MS)]);
    pass(&mut membership, S + 500 * MS, S + 1_600 * MS);
    // Another has heard it no later than this node: that changes nothing, however late it is told.
    membership.datagram(S + 1_600 * MS, Node(3), heard(1_600 * MS));
    membership.datagram(S + 1_650 * MS, Node(3), ask.clone());
    assert_eq!(answers(&mut membership), [heard(1_650 * MS)]);
    pass(&mut membership, S + 1_600 * MS, S + 1_800 * MS);
    membership.datagram(S + 1_800 * MS, Node(3), ask);
    assert_eq!(answers(&mut membership), [Datagram::Agree { about: Node(2), life: 1 }]);
}

/// A node rejoins, then a zone loses its power: nobody that was lost is believed there for ever.
#[test]
fn a_lost_zone_is_found_gone_by_all() {
    for seed in 0..12 {
        let mut world = World::new(27, seed, 2 * S);
        world.run(10 * S);
        world.kill(side(0), false);
        world.run(5 * S);
        world.start(side(0), 2);
        world.run(10 * S);
        let lost: Vec<_> =
            world.machines.iter().filter(|(_, machine)| machine.zone == 2).map(|(node, _)| *node).collect();
        assert!(lost.contains(&core(2)));
        lost.into_iter().for_each(|node| world.kill(node, true));
        let took = world.until_agreed(ZONE_LOST);
        assert!(took.is_ok(), "seed {seed}: {took:?}");
    }
}
