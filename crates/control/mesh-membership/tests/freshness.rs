//! No node is called current with less than a majority had acknowledged before it started. The simulation checks every node
//! of every schedule so; here are those that bring it about.
mod simulation;
use silvercross_mesh_membership::*;
use silvercross_time::Duration;
use simulation::schedules::{revision_at, run, settled, starts_during_a_read, Case, Outcome, NEW};
use simulation::schedules::{Fault::*, Reachable, Starting::*};
use simulation::{control_node, control_nodes, ms, secs, sidecar, World};

/// What starts does so this long into the fault, when the links between the control nodes have been given up.
const START_DELAY: Duration = ms(1_320);

/// When a node is current at the latest, or that it is ready by the time-out.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Expected {
    Current(Duration),
    /// Not before.
    TimedOut(Duration),
}

fn fits(expected: Expected, freshness: Freshness) -> bool {
    match (expected, freshness) {
        (Expected::Current(latest), Freshness::Current { after }) => after <= latest,
        (Expected::TimedOut(least), Freshness::TimedOut { after }) => {
            after >= least && after < least + ms(100)
        }
        _ => false,
    }
}

/// Whether old entries are had and reads not confirmed.
fn has_old(case: &Case) -> bool {
    // Nothing is to be had of a frozen one until it goes on; then it hears of the change and a majority at once.
    case.fault != Frozen
}

/// How the first one that starts gets ready.
fn expected(case: &Case) -> Expected {
    let rest = case.span - START_DELAY;
    match (case.fault, case.reachable) {
        (CutBothWays | CutOut | CutIn, Reachable::All) => Expected::Current(secs(1)),
        (CutBothWays | CutOut | CutIn, Reachable::Below) if rest < READINESS_TIMEOUT => {
            Expected::Current(rest + secs(1))
        }
        (CutBothWays | CutOut | CutIn, Reachable::Below) => Expected::TimedOut(READINESS_TIMEOUT),
        (Frozen, _) => Expected::Current(rest + secs(1)),
        (Alone, _) => Expected::TimedOut(READINESS_TIMEOUT),
    }
}

/// All cases; the longest span only with a single restart.
fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for fault in [CutBothWays, CutOut, CutIn, Frozen, Alone] {
        for starting in [Restarts, Joins, ZoneRestarts] {
            for reachable in [Reachable::All, Reachable::Below] {
                let spans = [5, 20, 60].into_iter().filter(|span| *span < 60 || starting == Restarts);
                cases.extend(spans.map(|span| Case { fault, starting, reachable, span: secs(span) }));
            }
        }
    }
    cases
}

#[test]
fn below_a_faulty_control_node_no_sidecar_is_current_with_an_old_entry() {
    let cases = cases();
    assert_eq!(cases.len(), 70);
    let mut wrong = Vec::new();
    for case in cases {
        let (outcome, _) = run(&case, None);
        let Outcome { had_old, unconfirmed, freshness } = outcome;
        let old = has_old(&case);
        if (had_old, unconfirmed) != (old, old) || !fits(expected(&case), freshness) {
            wrong.push(format!("{case:?}: {outcome:?}"));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[test]
fn a_node_that_starts_during_a_read_waits_for_the_next() {
    let world = starts_during_a_read(None);
    assert_eq!(revision_at(&world, sidecar(3)), Some(NEW));
}

/// Without a fault a start takes some round trips, and many at once share few reads.
#[test]
fn a_hundred_that_restart_together_share_a_few_reads() {
    let mut world = settled(100, 5, None);
    let quiet = world.reads;
    world.run(secs(5));
    assert_eq!(world.reads, quiet, "at rest nobody asks");
    let sidecars: Vec<Node> = (0..100).map(sidecar).collect();
    sidecars.iter().for_each(|node| world.kill(*node));
    for node in &sidecars {
        world.run(ms(5));
        world.start(*node, 2);
    }
    world.run(secs(2));
    let after = |node: &Node| match world.membership(*node).freshness() {
        Freshness::Current { after } => after,
        other => panic!("{node:?} {other:?}"),
    };
    let longest = sidecars.iter().map(after).max().expect("some");
    let reads = world.reads.begun - quiet.begun;
    println!("reads {reads}, longest {longest}");
    assert!(longest <= ms(400), "{longest}");
    // Three control nodes, 0.5 s: however many start, it is the interval between reads that counts.
    let most = 3 * (ms(500) / FRESHNESS_READ_INTERVAL + 1) as u64;
    assert!(reads <= most, "{:?}", world.reads);
}

/// Operators' calls are forwarded to a control node that can commit them.
#[test]
fn a_node_soon_knows_a_control_node_that_reaches_the_others() {
    for (lone, one_way) in [(control_node(0), false), (control_node(1), false), (control_node(2), true)] {
        let mut world = settled(12, 6, None);
        let nodes: Vec<Node> = world.living().into_iter().filter(|node| *node != lone).collect();
        let named = |world: &World, named: Node| {
            let names = |node: &&Node| world.membership(**node).reachable_control_nodes().contains(&named);
            nodes.iter().filter(names).count()
        };
        assert!(named(&world, lone) > 0, "the schedule is reached");
        for other in control_nodes().into_iter().filter(|other| *other != lone) {
            world.cut(lone, other);
            if !one_way {
                world.cut(other, lone);
            }
        }
        world.run(secs(2));
        assert_eq!(named(&world, lone), 0, "{lone:?}");
        assert!(nodes.iter().all(|node| !world.membership(*node).reachable_control_nodes().is_empty()));
        assert!(world.membership(lone).reachable_control_nodes().is_empty());
        world.heal();
        world.run(secs(10));
        assert!(named(&world, lone) > 0, "{lone:?} again");
    }
}
