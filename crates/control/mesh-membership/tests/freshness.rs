//! No node is called current with less than a majority had acknowledged before it started. The simulation
//! checks this for every node of every schedule; the schedules here provoke violations.
mod simulation;
use silvercross_mesh_membership::*;
use silvercross_time::Duration;
use simulation::schedules::{revision_at, run, settled, start_during_read, Case, Outcome, NEW};
use simulation::schedules::{Fault::*, Reachable, Starting::*};
use simulation::{control_node, control_nodes, ms, secs, sidecar, World};

/// Delay of the start after the fault; the links between control nodes have been closed by then.
const START_DELAY: Duration = ms(1_320);

/// Expected result: current no later than this, or ready by the time-out.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Expected {
    Current(Duration),
    /// Not earlier than this.
    TimedOut(Duration),
}

fn matches_expected(expected: Expected, freshness: Freshness) -> bool {
    match (expected, freshness) {
        (Expected::Current(latest), Freshness::Current { after }) => after <= latest,
        (Expected::TimedOut(least), Freshness::TimedOut { after }) => {
            after >= least && after < least + ms(100)
        }
        _ => false,
    }
}

/// Whether the starting node is expected to see the old entry and an unconfirmed read.
fn expects_old_entry(case: &Case) -> bool {
    // A frozen control node sends nothing until it resumes; then it learns of the change and of a majority
    // at once.
    case.fault != Frozen
}

/// How the first starting node is expected to become ready.
fn expected(case: &Case) -> Expected {
    let rest = case.span - START_DELAY;
    match (case.fault, case.reachable) {
        (CutBothWays | CutOut | CutIn, Reachable::All) => Expected::Current(secs(1)),
        (CutBothWays | CutOut | CutIn, Reachable::FirstControlNode) if rest < READINESS_TIMEOUT => {
            Expected::Current(rest + secs(1))
        }
        (CutBothWays | CutOut | CutIn, Reachable::FirstControlNode) => Expected::TimedOut(READINESS_TIMEOUT),
        (Frozen, _) => Expected::Current(rest + secs(1)),
        (ResumedAlone, _) => Expected::TimedOut(READINESS_TIMEOUT),
    }
}

/// All cases; the longest span only with a single restart.
fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for fault in [CutBothWays, CutOut, CutIn, Frozen, ResumedAlone] {
        for starting in [Restarts, Joins, ZoneRestarts] {
            for reachable in [Reachable::All, Reachable::FirstControlNode] {
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
        let old = expects_old_entry(&case);
        if (had_old, unconfirmed) != (old, old) || !matches_expected(expected(&case), freshness) {
            wrong.push(format!("{case:?}: {outcome:?}"));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[test]
fn a_node_that_starts_during_a_read_waits_for_the_next() {
    let world = start_during_read(None);
    assert_eq!(revision_at(&world, sidecar(3)), Some(NEW));
}

/// Without a fault a start takes a few round trips, and many simultaneous starts share few reads.
#[test]
fn a_hundred_that_restart_together_share_a_few_reads() {
    let mut world = settled(100, 5, None);
    let at_rest = world.reads;
    world.run(secs(5));
    assert_eq!(world.reads, at_rest, "no reads at rest");
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
    let reads = world.reads.begun - at_rest.begun;
    println!("reads {reads}, longest {longest}");
    assert!(longest <= ms(400), "{longest}");
    // Three control nodes during 0.5 s: the number of reads depends on their interval, not on the number of
    // starts.
    let max_reads = 3 * (ms(500) / FRESHNESS_READ_INTERVAL + 1) as u64;
    assert!(reads <= max_reads, "{:?}", world.reads);
}

/// Operators' calls are forwarded to a control node that can commit them.
#[test]
fn a_node_soon_knows_a_control_node_that_reaches_the_others() {
    for (isolated, one_way) in [(control_node(0), false), (control_node(1), false), (control_node(2), true)] {
        let mut world = settled(12, 6, None);
        let nodes: Vec<Node> = world.running().into_iter().filter(|node| *node != isolated).collect();
        let named = |world: &World, named: Node| {
            let names = |node: &&Node| world.membership(**node).reachable_control_nodes().contains(&named);
            nodes.iter().filter(names).count()
        };
        assert!(named(&world, isolated) > 0, "precondition of the schedule");
        for other in control_nodes().into_iter().filter(|other| *other != isolated) {
            world.cut(isolated, other);
            if !one_way {
                world.cut(other, isolated);
            }
        }
        world.run(secs(2));
        assert_eq!(named(&world, isolated), 0, "{isolated:?}");
        assert!(nodes.iter().all(|node| !world.membership(*node).reachable_control_nodes().is_empty()));
        assert!(world.membership(isolated).reachable_control_nodes().is_empty());
        world.heal();
        world.run(secs(10));
        assert!(named(&world, isolated) > 0, "{isolated:?} again");
    }
}
