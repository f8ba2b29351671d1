//! Random sequences of faults: after the last one all nodes agree, and a node that is ready stays ready.
mod simulation;
use bolero::generator::TypeGenerator;
use silvercross_mesh_membership::*;
use silvercross_time::Duration;
use simulation::world::StartCounts;
use simulation::{control_node, control_nodes, ms, secs, World};

/// Key of the entry that a majority acknowledges.
const ACKNOWLEDGED_KEY: &str = "c";

/// Random input: the kind of fault, the node and a duration.
#[derive(Clone, Copy, Debug, TypeGenerator)]
struct RandomFault {
    kind: u8,
    node: u8,
    span: u8,
}

#[derive(Clone, Copy, PartialEq, Debug)]
enum FaultKind {
    PowerOff,
    Kill,
    /// Starts all nodes that are down.
    StartAll,
    Freeze,
    CutOff,
    CutFromControlNodes,
    /// The node's zone is cut from the others.
    CutZone,
    /// Everything that the node sends to every other node is lost.
    CutOneWay,
    Heal,
}

impl RandomFault {
    fn kind(&self) -> FaultKind {
        match self.kind % 9 {
            0 => FaultKind::PowerOff,
            1 => FaultKind::Kill,
            2 => FaultKind::StartAll,
            3 => FaultKind::Freeze,
            4 => FaultKind::CutOff,
            5 => FaultKind::CutFromControlNodes,
            6 => FaultKind::CutZone,
            7 => FaultKind::CutOneWay,
            _ => FaultKind::Heal,
        }
    }

    /// How long the machine is frozen.
    fn freeze_span(&self) -> Duration {
        ms(20) * i64::from(self.span)
    }

    /// Time until the next fault.
    fn pause(&self) -> Duration {
        ms(15) * i64::from(self.span)
    }
}

/// A control node that reaches a majority publishes the acknowledged revision again.
fn publish_acknowledged(world: &mut World) {
    let mut control_nodes = control_nodes().into_iter();
    let owner =
        control_nodes.find(|node| world.machines[node].membership.is_some() && world.has_majority(*node));
    if let (Some(owner), Some(at)) = (owner, world.acknowledged.get(ACKNOWLEDGED_KEY).copied()) {
        world.publish(owner, ACKNOWLEDGED_KEY, at);
    }
}

fn start_all(world: &mut World, down: &mut Vec<Node>, incarnation: u64) {
    std::mem::take(down).into_iter().for_each(|node| world.start(node, incarnation));
    // Entries kept by the control store are published again.
    publish_acknowledged(world);
}

fn apply(world: &mut World, fault: &RandomFault, node: Node, nodes: &[Node], down: &mut Vec<Node>) {
    let runs = world.machines[&node].membership.is_some();
    match fault.kind() {
        FaultKind::PowerOff if runs => {
            world.power_off(node);
            down.push(node);
        }
        FaultKind::Kill if runs => {
            world.kill(node);
            down.push(node);
        }
        FaultKind::StartAll => start_all(world, down, u64::from(fault.span) / 16),
        FaultKind::Freeze => world.freeze(node, fault.freeze_span()),
        FaultKind::CutOff => world.cut_off(node, nodes),
        FaultKind::CutFromControlNodes => world.cut_off(node, &control_nodes()),
        FaultKind::CutZone => {
            let zone = world.machines[&node].zone;
            let (inside, outside): (Vec<Node>, Vec<Node>) =
                nodes.iter().partition(|other| world.machines[other].zone == zone);
            inside.iter().for_each(|node| world.cut_off(*node, &outside));
        }
        FaultKind::CutOneWay => {
            nodes.iter().skip(1).step_by(2).for_each(|other| world.cut(node, *other));
        }
        FaultKind::PowerOff | FaultKind::Kill | FaultKind::Heal => world.heal(),
    }
}

/// Runs the faults, and checks that all nodes agree afterwards.
fn run(sidecars: usize, seed: u64, faults: &[RandomFault]) -> StartCounts {
    let mut world = World::new(sidecars, seed, ms(500));
    world.run(secs(3));
    let nodes = world.nodes();
    let mut down: Vec<Node> = Vec::new();
    for (fault, change) in faults.iter().zip(1..) {
        let node = nodes[usize::from(fault.node) % nodes.len()];
        apply(&mut world, fault, node, &nodes, &mut down);
        world.update_body(node, change);
        if world.machines[&control_node(0)].membership.is_some() {
            world.publish(control_node(0), "k", Revision::new(0, change, 0));
        }
        let control = control_node(usize::from(fault.node % 3));
        world.acknowledge(control, ACKNOWLEDGED_KEY, Revision::new(1, change, 0));
        world.run(fault.pause());
    }
    world.heal();
    let frozen = faults.iter().filter(|fault| fault.kind() == FaultKind::Freeze);
    let longest_freeze = frozen.map(RandomFault::freeze_span).max();
    world.run(longest_freeze.unwrap_or(Duration::ZERO));
    start_all(&mut world, &mut down, 1);
    world.trace = std::env::var("TRACE").is_ok();
    let took = world.run_until_agreed(secs(2));
    assert!(took.is_ok(), "seed {seed}: {took:?} after {faults:?}");
    world.run(secs(8));
    assert_eq!(world.disagreement(), None, "seed {seed}");
    assert_eq!(world.cross_zone_links(), 3, "seed {seed}: {faults:?}");
    let is_waiting = |node: &Node| world.membership(*node).freshness() == Freshness::Waiting;
    assert!(!world.running().iter().any(is_waiting), "seed {seed}: {faults:?}");
    world.checked_starts
}

#[test]
fn all_agree_after_any_faults() {
    bolero::check!().with_iterations(60).with_type::<(u8, u64, Vec<RandomFault>)>().for_each(
        |(sidecars, seed, faults)| {
            run(3 + usize::from(sidecars % 24), *seed, &faults[..faults.len().min(12)]);
        },
    );
}

/// A longer run by seeds: `SEEDS=first..last cargo test --release -- --ignored faults_from_seeds`.
#[test]
#[ignore = "takes minutes; run manually in release mode"]
fn faults_from_seeds() {
    let range = std::env::var("SEEDS").unwrap_or_else(|_| "0..300".into());
    let (first, last) = range.split_once("..").expect("first..last");
    let mut failed = Vec::new();
    let mut checked = StartCounts::default();
    for seed in first.parse::<u64>().expect("a number")..last.parse().expect("a number") {
        let mut world = World::new(0, seed, Duration::from_micros(1));
        let faults: Vec<RandomFault> = (0..2 + world.random_below(14))
            .map(|_| {
                let (kind, node, span) =
                    (world.random_below(256), world.random_below(256), world.random_below(256));
                RandomFault { kind: kind as u8, node: node as u8, span: span as u8 }
            })
            .collect();
        let sidecars = 3 + world.random_below(40) as usize;
        match std::panic::catch_unwind(|| run(sidecars, seed, &faults)) {
            Ok(starts) => {
                checked.current += starts.current;
                checked.timed_out += starts.timed_out;
            }
            Err(_) => failed.push(seed),
        }
    }
    println!(
        "starts checked: {} current after something was acknowledged, {} timed out",
        checked.current, checked.timed_out
    );
    assert!(failed.is_empty(), "{failed:?}");
}
