//! No node is called current with less than a majority had acknowledged before it started. The world judges every node
//! of every schedule so; here are those that bring it about.
mod common;
use common::starts::{calm, page, run, starts_during_a_read, Case, Outcome, Trouble, Ways, Who, NEW, OLD};
use common::{control_node, sidecar, World, MS, S};
use silvercross_mesh_membership::*;
use Trouble::*;
use Ways::*;
use Who::*;

/// When a node is current at the latest, or by which way else it gets ready.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Expected {
    Current(Micros),
    /// Not before.
    Bound(Micros),
}

fn fits(expected: Expected, freshness: Freshness) -> bool {
    match (expected, freshness) {
        (Expected::Current(latest), Freshness::Current { after }) => after <= latest,
        (Expected::Bound(least), Freshness::TimedOut { after }) => after >= least && after < least + 100 * MS,
        _ => false,
    }
}

/// What is to come of a case: whether old pages are had and reads not confirmed, and the way that it gets ready.
fn expected(case: &Case) -> (bool, Expected) {
    // What starts does so 1.32 s into the trouble, when the links between the core machines have been given up.
    let rest = case.span - 1_320 * MS;
    match (case.trouble, case.ways) {
        (CutBothWays | CutOut | CutIn, All) => (true, Expected::Current(S)),
        (CutBothWays | CutOut | CutIn, Below) if rest < READINESS_TIMEOUT => {
            (true, Expected::Current(rest + S))
        }
        (CutBothWays | CutOut | CutIn, Below) => (true, Expected::Bound(READINESS_TIMEOUT)),
        // Nothing is to be had until it goes on, past the bound too; then it hears of the change and a majority at once.
        (Frozen, _) => (false, Expected::Current(rest + S)),
        (Alone, _) => (true, Expected::Bound(READINESS_TIMEOUT)),
    }
}

#[test]
fn below_a_core_machine_in_trouble_nobody_is_current_with_an_old_page() {
    let mut wrong = Vec::new();
    for trouble in [CutBothWays, CutOut, CutIn, Frozen, Alone] {
        for (who, ways, span) in [Restarts, Joins, ZoneRestarts]
            .into_iter()
            .flat_map(|who| [All, Below].map(|ways| (who, ways)))
            .flat_map(|(who, ways)| [5, 20, 60].map(|span| (who, ways, span * S)))
            .filter(|(who, _, span)| *span < 60 * S || *who == Restarts)
        {
            let case = Case { trouble, who, ways, span };
            let (Outcome { had_old, unconfirmed, freshness }, _) = run(&case, None);
            let (old, expected) = expected(&case);
            if (had_old, unconfirmed) != (old, old) || !fits(expected, freshness) {
                wrong.push(format!("{case:?}: old {had_old}, unconfirmed {unconfirmed}, {freshness:?}"));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

#[test]
fn one_that_starts_during_a_read_waits_for_the_next() {
    let world = starts_during_a_read(None);
    assert_eq!(page(&world, sidecar(3)), Some(NEW));
}

/// Without trouble a start takes some round trips, and many at once share few reads.
#[test]
fn a_hundred_that_restart_together_share_a_few_reads() {
    let mut world = calm(100, 5, None);
    let quiet = world.reads;
    world.run(5 * S);
    assert_eq!(world.reads, quiet, "at rest nobody asks");
    let sides: Vec<Node> = (0..100).map(sidecar).collect();
    sides.iter().for_each(|node| world.kill(*node, false));
    for node in &sides {
        world.run(5 * MS);
        world.start(*node, 2);
    }
    world.run(2 * S);
    let after = |node: &Node| match world.membership(*node).freshness() {
        Freshness::Current { after } => after,
        other => panic!("{node:?} {other:?}"),
    };
    let longest = sides.iter().map(after).max().expect("some");
    println!("reads {}, longest {longest} us", world.reads.0 - quiet.0);
    assert!(longest <= 400 * MS, "{longest}");
    // Three core machines, 0.5 s: however many start, it is the pace that counts.
    let most = 3 * (500 * MS / FRESHNESS_READ_INTERVAL + 1) as u64;
    assert!(world.reads.0 - quiet.0 <= most, "{:?}", world.reads);
}

const ME: Node = Node(10);
const PARENTS: [Node; 2] = [Node(1), Node(2)];
const CHILDREN: [Node; 2] = [Node(20), Node(21)];

fn hello(node: Node) -> MembershipMessage<u32> {
    let is_control = PARENTS.contains(&node);
    let record =
        NodeRecord { node, incarnation: 1, sequence: 0, zone: "a".into(), is_control, gone: false, body: 1 };
    let position =
        TreePosition { path: if is_control { vec![node] } else { vec![] }, ..TreePosition::default() };
    MembershipMessage::Hello { record, digest: 0, known: 9, position }
}

fn node(is_control: bool) -> Membership<u32> {
    let start = MembershipConfig {
        local_node: ME,
        zone: "a".into(),
        is_control,
        seeds: vec![PARENTS[0]],
        incarnation: 5,
        random_seed: 1,
    };
    let mut membership = Membership::new(0, start, 0);
    for node in PARENTS.into_iter().chain(CHILDREN) {
        membership.link_up(0, node);
        membership.receive(0, node, hello(node));
    }
    membership
}

/// Requests and answers sent, to whom, under which number; reads begun are told by the node itself.
fn sent(membership: &mut Membership<u32>) -> Vec<(Node, u64, Option<Option<usize>>)> {
    let ours = |effect| match effect {
        Effect::SendMessage { to, message: MembershipMessage::FreshnessRequest { number } } => {
            Some((to, number, None))
        }
        Effect::SendMessage { to, message: MembershipMessage::FreshnessReply { number, revisions } } => {
            Some((to, number, Some(revisions.map(|revisions| revisions.len()))))
        }
        Effect::ConfirmRevisions { request_id } => Some((ME, request_id, None)),
        _ => None,
    };
    membership.take_effects().into_iter().filter_map(ours).collect()
}

fn ask(membership: &mut Membership<u32>, now: Micros, child: usize, number: u64) {
    membership.receive(now, CHILDREN[child], MembershipMessage::FreshnessRequest { number });
}

fn revisions(count: usize) -> Vec<(String, Revision)> {
    (0..count).map(|i| (format!("k{i}"), NEW)).collect()
}

#[test]
fn a_core_node_reads_once_for_all_that_waited_and_paces_its_reads() {
    let mut is_control = node(true);
    assert_eq!(is_control.freshness(), Freshness::Current { after: 0 });
    ask(&mut is_control, 1, 0, 70);
    let first = sent(&mut is_control)[0].1;
    ask(&mut is_control, 2, 0, 70);
    ask(&mut is_control, 2, 1, 90);
    ask(&mut is_control, 3, 1, 91);
    assert!(sent(&mut is_control).is_empty(), "one read at a time");
    is_control.revisions_confirmed(4, first + 1, Some(revisions(1)));
    is_control.revisions_confirmed(4, first, Some(revisions(2)));
    assert_eq!(sent(&mut is_control), [(CHILDREN[0], 70, Some(Some(2)))], "not the one that came meanwhile");
    assert_eq!(is_control.next_deadline().min(1 + FRESHNESS_READ_INTERVAL), 1 + FRESHNESS_READ_INTERVAL);
    is_control.tick(FRESHNESS_READ_INTERVAL);
    assert!(sent(&mut is_control).is_empty(), "paced");
    is_control.tick(1 + FRESHNESS_READ_INTERVAL);
    let second = sent(&mut is_control);
    assert_eq!(second, [(ME, first + 1, None)]);
    // The control store says nothing: given up. A late answer changes nothing.
    is_control.tick(1 + FRESHNESS_READ_INTERVAL + FRESHNESS_REQUEST_TIMEOUT);
    assert_eq!(sent(&mut is_control), [(CHILDREN[1], 91, Some(None))]);
    is_control.revisions_confirmed(9 * S, first + 1, Some(revisions(1)));
    assert!(sent(&mut is_control).is_empty());
    // Nobody is answered over a link that was lost, and more keys than there may be are no answer.
    ask(&mut is_control, 9 * S, 0, 71);
    ask(&mut is_control, 9 * S, 1, 92);
    is_control.link_down(9 * S, CHILDREN[0]);
    let third = sent(&mut is_control).last().expect("a read").1;
    is_control.revisions_confirmed(9 * S, third, Some(revisions(MAX_CONTROL_ENTRIES + 1)));
    assert!(sent(&mut is_control)
        .iter()
        .all(|said| said.0 != CHILDREN[0] && said.2 != Some(Some(MAX_CONTROL_ENTRIES + 1))));
}

#[test]
fn a_relay_passes_one_request_up_and_sends_it_again_to_another_parent() {
    let mut relay = node(false);
    let asked = sent(&mut relay);
    let parent = relay.parent().expect("a parent");
    let number = asked[0].1;
    assert_eq!(asked, [(parent, number, None)], "its own");
    ask(&mut relay, 1, 0, 70);
    ask(&mut relay, 2, 1, 90);
    assert!(sent(&mut relay).is_empty(), "one at a time");
    let answer = |number, revisions| MembershipMessage::FreshnessReply { number, revisions };
    relay.receive(3, parent, answer(number, Some(revisions(1))));
    assert_eq!(sent(&mut relay), [(parent, number + 1, None)], "one for both");
    assert_eq!(relay.freshness(), Freshness::Waiting, "it lacks a page");
    relay.link_down(4, parent);
    let other = relay.parent().expect("another");
    assert!(other != parent);
    assert_eq!(sent(&mut relay), [(other, number + 1, None)], "the same again");
    relay.tick(4 + FRESHNESS_REQUEST_TIMEOUT);
    assert!(sent(&mut relay).contains(&(other, number + 1, None)), "and after a while");
    relay.receive(3 * S, other, answer(number, Some(revisions(1))));
    assert!(sent(&mut relay).is_empty(), "too late");
    relay.receive(3 * S, other, answer(number + 1, None));
    assert_eq!(sent(&mut relay), [(CHILDREN[0], 70, Some(None)), (CHILDREN[1], 90, Some(None))]);
    let page = |key: &str, revision| ControlEntry { key: key.into(), revision, bytes: vec![] };
    relay.receive(
        3 * S,
        other,
        MembershipMessage::Update { records: vec![], entries: vec![page("k0", OLD), page("x", NEW)] },
    );
    assert_eq!(relay.freshness(), Freshness::Waiting, "an older one");
    relay.receive(
        3 * S + 5,
        other,
        MembershipMessage::Update { records: vec![], entries: vec![page("k0", (3, 0, 0))] },
    );
    assert_eq!(relay.freshness(), Freshness::Current { after: 3 * S + 5 });
}

/// Operators' calls are sent on to a core machine that can settle them.
#[test]
fn a_node_soon_knows_a_core_node_that_reaches_the_others() {
    for (lone, one_way) in [(control_node(0), false), (control_node(1), false), (control_node(2), true)] {
        let mut world = calm(12, 6, None);
        let nodes: Vec<Node> = world.living().into_iter().filter(|node| *node != lone).collect();
        let named = |world: &World, named: Node| {
            let names = |node: &&Node| world.membership(**node).reachable_control_nodes().contains(&named);
            nodes.iter().filter(names).count()
        };
        assert!(named(&world, lone) > 0, "the schedule is reached");
        for other in (0..3).map(control_node).filter(|other| *other != lone) {
            world.cut(lone, other);
            if !one_way {
                world.cut(other, lone);
            }
        }
        world.run(2 * S);
        assert_eq!(named(&world, lone), 0, "{lone:?}");
        assert!(nodes.iter().all(|node| !world.membership(*node).reachable_control_nodes().is_empty()));
        assert!(world.membership(lone).reachable_control_nodes().is_empty());
        world.heal();
        world.run(10 * S);
        assert!(named(&world, lone) > 0, "{lone:?} again");
    }
}
