//! Schedules in which nodes start while a core machine is in trouble.
use super::{control_node, sidecar, World, MS, S};
use silvercross_mesh_membership::*;

pub const OLD: Revision = (1, 0, 0);
pub const NEW: Revision = (2, 0, 0);
/// After this a link between core machines that is cut or frozen has been given up.
const GIVEN_UP: Micros = CONTROL_LINK_TIMEOUT + CONTROL_KEEPALIVE_INTERVAL + 200 * MS;

pub fn calm(sides: usize, seed: u64, mutation: Option<Mutation>) -> World {
    let mut world = World::new(sides, seed, 500 * MS);
    world.break_all(mutation);
    assert!(world.acknowledge(control_node(0), "k", OLD));
    assert!(world.until_agreed(3 * S).is_ok());
    world.run(2 * S);
    world
}

pub fn page(world: &World, node: Node) -> Option<Revision> {
    world.membership(node).control_entry("k").map(|page| *page.0)
}

/// What becomes of control_node(0).
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    CutBothWays,
    /// What it says to the others is lost.
    CutOut,
    /// What the others say to it is lost.
    CutIn,
    Frozen,
    /// It stands still, a change is acknowledged, the others stop, it goes on, and only those that start reach it.
    Alone,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Who {
    Restarts,
    Joins,
    /// All sides of its zone restart.
    ZoneRestarts,
}

/// Which machines those reach that start; the seeds of all name control_node(0) alone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ways {
    All,
    /// Core(0) and each other.
    Below,
}

#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub trouble: Trouble,
    pub who: Who,
    pub ways: Ways,
    pub span: Micros,
}

/// How it went with the first of those that started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outcome {
    /// It had the old page while a majority had the new one.
    pub had_old: bool,
    /// Core(0) asked, and no majority confirmed.
    pub unconfirmed: bool,
    pub freshness: Freshness,
}

/// Those that start, down or not yet there.
fn subjects(world: &mut World, case: &Case) -> Vec<Node> {
    let zone: Vec<Node> = world.living().into_iter().filter(|node| world.machines[node].zone == 0).collect();
    let subjects: Vec<Node> = match case.who {
        Who::Restarts => vec![sidecar(0)],
        Who::Joins => vec![sidecar(90)],
        Who::ZoneRestarts => zone.into_iter().filter(|node| *node != control_node(0)).collect(),
    };
    if case.who == Who::Joins {
        world.add(sidecar(90), 0, false);
    } else {
        subjects.iter().for_each(|node| world.kill(*node, false));
    }
    if case.ways == Ways::Below {
        let others =
            world.machines.keys().filter(|node| **node != control_node(0) && !subjects.contains(node));
        let others: Vec<Node> = others.copied().collect();
        subjects.iter().for_each(|node| world.cut_off(*node, &others));
    }
    subjects
}

fn trouble(world: &mut World, case: &Case) {
    let others = [control_node(1), control_node(2)];
    match case.trouble {
        Trouble::CutBothWays => world.cut_off(control_node(0), &others),
        Trouble::CutOut => others.into_iter().for_each(|other| world.cut(control_node(0), other)),
        Trouble::CutIn => others.into_iter().for_each(|other| world.cut(other, control_node(0))),
        Trouble::Frozen | Trouble::Alone => world.freeze(control_node(0), case.span),
    }
    world.run(GIVEN_UP);
    assert!(
        world.acknowledge(control_node(1), "k", NEW) && page(world, control_node(0)) == Some(OLD),
        "the schedule is reached"
    );
    world.run(20 * MS);
}

/// One case; the world has judged every node at the moment it called itself current.
pub fn run(case: &Case, mutation: Option<Mutation>) -> (Outcome, World) {
    let mut world = calm(6, 3, mutation);
    let subjects = subjects(&mut world, case);
    let end = world.now + case.span;
    trouble(&mut world, case);
    let alone = case.trouble == Trouble::Alone;
    if alone {
        [control_node(1), control_node(2)].into_iter().for_each(|other| world.kill(other, true));
        let others = world.living().into_iter().filter(|node| !subjects.contains(node));
        world.cut_off(control_node(0), &others.collect::<Vec<Node>>());
        world.run_to(end);
    }
    let before = world.reads.1;
    subjects.iter().for_each(|node| world.start_with(*node, 2, vec![control_node(0)]));
    let subject = subjects[0];
    let mut had_old = false;
    let until = if alone { end + 12 * S } else { end };
    while world.now < until + S {
        world.run(5 * MS);
        had_old |= page(&world, subject) == Some(OLD);
        if world.now == until && case.trouble != Trouble::Frozen {
            world.heal();
        }
    }
    let unconfirmed = world.reads.1 > before;
    world.heal();
    if alone {
        [control_node(1), control_node(2)].into_iter().for_each(|other| world.start(other, 2));
        world.publish(control_node(1), "k", NEW);
    }
    world.run(5 * S);
    assert!(mutation.is_some() || page(&world, subject) == Some(NEW), "{case:?}: after all");
    (Outcome { had_old, unconfirmed, freshness: world.membership(subject).freshness() }, world)
}

/// One starts while a read is under way that began before a change was acknowledged.
pub fn starts_during_a_read(mutation: Option<Mutation>) -> World {
    let mut world = calm(6, 4, mutation);
    world.read_delay = 150 * MS;
    let (first, second) = (sidecar(0), sidecar(3));
    [first, second].into_iter().for_each(|node| world.kill(node, false));
    world.run(S);
    let reads = world.reads.0;
    world.start_with(first, 2, vec![control_node(0)]);
    world.run(20 * MS);
    assert_eq!(world.reads.0, reads + 1, "the first one's read is under way");
    world.cut_off(control_node(0), &[control_node(1), control_node(2)]);
    assert!(world.acknowledge(control_node(1), "k", NEW));
    world.start_with(second, 2, vec![control_node(0)]);
    world.run(100 * MS);
    assert_eq!(
        (world.reads.0, page(&world, second)),
        (reads + 1, Some(OLD)),
        "the second one asks meanwhile"
    );
    world.heal();
    world.run(3 * S);
    for node in [first, second] {
        assert!(matches!(world.membership(node).freshness(), Freshness::Current { .. }), "{node:?}");
    }
    world
}
