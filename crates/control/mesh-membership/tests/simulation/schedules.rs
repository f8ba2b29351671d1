//! Schedules in which nodes start while a control node is faulty.
use super::{control_node, control_nodes, ms, secs, sidecar, World};
use silvercross_mesh_membership::*;
use silvercross_time::Duration;

/// Key of the entry that changes.
pub const KEY: &str = "k";
pub const OLD: Revision = Revision::new(1, 0, 0);
pub const NEW: Revision = Revision::new(2, 0, 0);

/// A mesh in which all nodes have the old entry.
pub fn settled(sidecars: usize, seed: u64, mutation: Option<Mutation>) -> World {
    let mut world = World::new(sidecars, seed, ms(500));
    world.mutate_all(mutation);
    assert!(world.acknowledge(control_node(0), KEY, OLD));
    assert!(world.run_until_agreed(secs(3)).is_ok());
    world.run(secs(2));
    world
}

/// The revision of the entry at a node.
pub fn revision_at(world: &World, node: Node) -> Option<Revision> {
    world.membership(node).control_entry(KEY).map(|entry| entry.revision)
}

/// Fault of the first control node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    CutBothWays,
    /// Everything that it sends to the others is lost.
    CutOut,
    /// Everything that the others send to it is lost.
    CutIn,
    Frozen,
    /// It is frozen, a change is acknowledged, the others stop, it resumes, and only the starting nodes can
    /// reach it.
    ResumedAlone,
}

/// Which sidecars start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Starting {
    Restarts,
    Joins,
    /// All sidecars of the first control node's zone restart.
    ZoneRestarts,
}

/// Which machines the starting nodes can reach. Their only seed is the first control node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reachable {
    All,
    /// Only the first control node and each other.
    FirstControlNode,
}

#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub fault: Fault,
    pub starting: Starting,
    pub reachable: Reachable,
    pub span: Duration,
}

/// Result for the first of the starting nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outcome {
    /// It had the old entry while a majority had the new one.
    pub had_old: bool,
    /// The first control node's read was not confirmed by a majority.
    pub unconfirmed: bool,
    pub freshness: Freshness,
}

/// The starting nodes, which are down or don't exist yet.
fn prepare_starting(world: &mut World, case: &Case) -> Vec<Node> {
    let faulty = control_node(0);
    let joining = sidecar(90);
    let starting: Vec<Node> = match case.starting {
        Starting::Restarts => vec![sidecar(0)],
        Starting::Joins => vec![joining],
        Starting::ZoneRestarts => {
            world.running().into_iter().filter(|n| world.machines[n].zone == 0 && *n != faulty).collect()
        }
    };
    if case.starting == Starting::Joins {
        world.add(joining, 0, false);
    } else {
        starting.iter().for_each(|node| world.kill(*node));
    }
    if case.reachable == Reachable::FirstControlNode {
        let mut others = world.nodes();
        others.retain(|node| *node != faulty && !starting.contains(node));
        starting.iter().for_each(|node| world.cut_off(*node, &others));
    }
    starting
}

/// Time after which a link between control nodes that is cut or frozen has been closed.
fn links_given_up() -> Duration {
    CONTROL_LINK_TIMEOUT + CONTROL_KEEPALIVE_INTERVAL + ms(200)
}

fn begin_fault(world: &mut World, case: &Case) {
    let faulty = control_node(0);
    let others = [control_node(1), control_node(2)];
    match case.fault {
        Fault::CutBothWays => world.cut_off(faulty, &others),
        Fault::CutOut => others.into_iter().for_each(|other| world.cut(faulty, other)),
        Fault::CutIn => others.into_iter().for_each(|other| world.cut(other, faulty)),
        Fault::Frozen | Fault::ResumedAlone => world.freeze(faulty, case.span),
    }
    world.run(links_given_up());
    let acknowledged = world.acknowledge(control_node(1), KEY, NEW);
    assert!(acknowledged && revision_at(world, faulty) == Some(OLD), "precondition of the schedule");
    world.run(ms(20));
}

/// Runs one case, and returns the result for the first starting node; every node is checked at the moment
/// when it calls itself current.
pub fn run(case: &Case, mutation: Option<Mutation>) -> (Outcome, World) {
    let mut world = settled(6, 3, mutation);
    let starting = prepare_starting(&mut world, case);
    let end = world.now + case.span;
    begin_fault(&mut world, case);
    let resumed_alone = case.fault == Fault::ResumedAlone;
    if resumed_alone {
        [control_node(1), control_node(2)].into_iter().for_each(|other| world.power_off(other));
        let mut others = world.running();
        others.retain(|node| !starting.contains(node));
        world.cut_off(control_node(0), &others);
        world.run_to(end);
    }
    let before = world.reads.unconfirmed;
    starting.iter().for_each(|node| world.start_with_seeds(*node, 2, vec![control_node(0)]));
    let subject = starting[0];
    let mut had_old = false;
    let until = if resumed_alone { end + secs(12) } else { end };
    while world.now < until + secs(1) {
        world.run(ms(5));
        had_old |= revision_at(&world, subject) == Some(OLD);
        if world.now == until && case.fault != Fault::Frozen {
            world.heal();
        }
    }
    let unconfirmed = world.reads.unconfirmed > before;
    world.heal();
    if resumed_alone {
        [control_node(1), control_node(2)].into_iter().for_each(|other| world.start(other, 2));
        world.publish(control_node(1), KEY, NEW);
    }
    world.run(secs(5));
    assert!(mutation.is_some() || revision_at(&world, subject) == Some(NEW), "{case:?}: at the end");
    (Outcome { had_old, unconfirmed, freshness: world.membership(subject).freshness() }, world)
}

/// A node starts while a read is in flight that began before a change was acknowledged.
pub fn start_during_read(mutation: Option<Mutation>) -> World {
    let mut world = settled(6, 4, mutation);
    world.read_delay = ms(150);
    let (first, second) = (sidecar(0), sidecar(3));
    [first, second].into_iter().for_each(|node| world.kill(node));
    world.run(secs(1));
    let reads = world.reads.begun;
    world.start_with_seeds(first, 2, vec![control_node(0)]);
    world.run(ms(20));
    assert_eq!(world.reads.begun, reads + 1, "the first one's read is in flight");
    world.cut_off(control_node(0), &control_nodes()[1..]);
    assert!(world.acknowledge(control_node(1), KEY, NEW));
    world.start_with_seeds(second, 2, vec![control_node(0)]);
    world.run(ms(100));
    assert_eq!(world.reads.begun, reads + 1, "no second read so far");
    assert_eq!(revision_at(&world, second), Some(OLD), "the second one asks during the read");
    world.heal();
    world.run(secs(3));
    for node in [first, second] {
        assert!(matches!(world.membership(node).freshness(), Freshness::Current { .. }), "{node:?}");
    }
    world
}
