//! Competing changes under one version, repeated calls, and calls that depend on others, through changes of
//! the owner, restarts, wipes and replacements.

mod common;

use common::cluster::{others, Cluster, KEY};
use common::notes::{refers_to, Notes};
use silvercross_control_store::*;
use silvercross_time::Duration;
use std::collections::BTreeSet;

const X: &[(u8, u64, u64)] = &[(1, 5, 7), (2, 5, 7)];
const Y: &[(u8, u64, u64)] = &[(1, 5, 8)];

/// An event between a call and its repeat.
#[derive(Clone, Copy, Debug)]
enum Event {
    OthersChanged,
    SameChanged,
    OwnerCut,
    OwnerRestarts,
    OwnerWiped,
    OtherWiped,
    PowerLost,
    OwnerReplaced,
}

const EVENTS: [Event; 8] = [
    Event::OthersChanged,
    Event::SameChanged,
    Event::OwnerCut,
    Event::OwnerRestarts,
    Event::OwnerWiped,
    Event::OtherWiped,
    Event::PowerLost,
    Event::OwnerReplaced,
];

struct Case {
    cluster: Cluster,
    token: u64,
    version: u64,
    /// Lost permanently.
    lost: BTreeSet<usize>,
}

impl Case {
    fn new(mutation: Option<Mutation>) -> Case {
        let mut cluster = Cluster::with_spares(3, 1);
        cluster.set_mutation(mutation);
        cluster.announce_candidates();
        cluster.advance(Duration::from_secs(1));
        Case { cluster, token: 0, version: 9, lost: BTreeSet::new() }
    }

    fn live_nodes(&self) -> Vec<usize> {
        (0..4).filter(|node| !self.lost.contains(node)).collect()
    }

    fn owner(&self) -> usize {
        // A node that was cut off may still believe that it is the owner: the highest epoch counts.
        let owned = |i: &usize| self.cluster.stores[*i].owned_keys().first().map(|owned| owned.epoch);
        self.live_nodes().into_iter().max_by_key(owned).expect("an owner")
    }

    fn start_call(&mut self, node: usize, change: &[(u8, u64, u64)]) -> u64 {
        self.token += 1;
        self.cluster.stores[node].call(self.cluster.now, self.token, KEY, change.to_vec());
        self.token
    }

    /// The final outcome. A call without a definite answer is repeated a few times.
    fn settle(&mut self, node: usize, change: &[(u8, u64, u64)]) -> CallOutcome<Notes> {
        for _ in 0..6 {
            let token = self.start_call(node, change);
            self.cluster.advance(Duration::from_millis(900));
            match self.cluster.answers.get(&token) {
                Some(CallOutcome::Unknown) => {}
                Some(outcome) => return outcome.clone(),
                None => panic!("no answer in time"),
            }
        }
        panic!("{change:?} at {node}: never settled");
    }

    fn commits(&mut self, node: usize, change: &[(u8, u64, u64)]) -> bool {
        matches!(self.settle(node, change), CallOutcome::Committed { .. })
    }

    fn inject(&mut self, event: Event) {
        let owner = self.owner();
        let other = self.cluster.stores[owner].replica_nodes().into_iter().map(|n| n.0 as usize);
        let other = other.filter(|n| *n != owner && !self.lost.contains(n)).min().expect("another");
        self.version += 1;
        let version = self.version;
        match event {
            Event::OthersChanged => assert!(self.commits(other, &[(3, version, 1), (4, version, 1)])),
            Event::SameChanged => assert!(self.commits(other, &[(1, version, 9)])),
            Event::OwnerCut => {
                self.cluster.isolate(owner);
                self.cluster.advance(Duration::from_millis(1_500));
                self.cluster.rejoin(owner);
            }
            Event::OwnerRestarts => self.cluster.restart(owner),
            Event::OwnerWiped => self.cluster.wipe(owner),
            Event::OtherWiped => self.cluster.wipe(other),
            Event::PowerLost => {
                for node in self.live_nodes() {
                    self.cluster.restart(node);
                }
            }
            Event::OwnerReplaced if !self.lost.is_empty() => {}
            Event::OwnerReplaced => {
                self.cluster.isolate(owner);
                self.lost.insert(owner);
                self.cluster.advance(Duration::from_secs(8));
                assert!(
                    !self.cluster.stores[other].replica_nodes().contains(&Node(owner as u32)),
                    "replaced"
                );
            }
        }
        if let Some(lost) = self.lost.first().copied() {
            self.cluster.isolate(lost);
        }
        self.cluster.announce_candidates();
        self.cluster.advance(Duration::from_secs(3));
    }
}

#[test]
fn a_committed_change_is_acknowledged_again_after_any_two_events() {
    for first in EVENTS {
        for second in EVENTS {
            let mut case = Case::new(None);
            let entry = case.live_nodes()[1];
            assert!(case.commits(entry, X));
            for event in [first, second] {
                case.inject(event);
                for node in case.live_nodes() {
                    assert!(case.commits(node, X), "{first:?} {second:?}: fails at {node} after {event:?}");
                }
            }
        }
    }
}

/// A change is called for, with every combination of message losses between the owner and the others. Another
/// change under the same version is then called for at each node, with and without a change of the owner, and
/// both are repeated.
fn races(mutation: Option<Mutation>) -> Result<u64, String> {
    let mut rejected = 0;
    for lost in 0..16_u8 {
        for (second, event) in (0..3).flat_map(|n| [None, Some(Event::OwnerCut)].map(|e| (n, e))) {
            let (mut cluster, owner) = Cluster::settled();
            cluster.set_mutation(mutation);
            let (x, y) = others(owner);
            let ways = [(owner, x), (owner, y), (x, owner), (y, owner)];
            cluster.cut_links.extend((0..4).filter(|i| lost & (1 << i) != 0).map(|i| ways[i]));
            let mut case = Case { cluster, token: 0, version: 9, lost: BTreeSet::new() };
            let first = case.start_call(owner, X);
            case.cluster.run();
            if event.is_some() {
                case.cluster.isolate(owner);
                case.cluster.advance(Duration::from_millis(1_500));
            }
            let other = case.start_call((owner + second) % 3, Y);
            case.cluster.advance(Duration::from_millis(200));
            case.cluster.cut_links.clear();
            case.cluster.link_all();
            case.cluster.advance(Duration::from_secs(4));
            let outcome_of = |token| match case.cluster.answers.get(&token) {
                Some(CallOutcome::Committed { .. }) => Some(true),
                Some(CallOutcome::Rejected(_)) => Some(false),
                _ => None,
            };
            let mut outcomes = [outcome_of(first), outcome_of(other)];
            for node in 0..3 {
                for (at, change) in [(0, X), (1, Y)] {
                    let now = case.commits(node, change);
                    let name = format!("lost {lost:04b}, second at {second}, {event:?}, repeat at {node}");
                    match outcomes[at] {
                        Some(before) if before != now => {
                            return Err(format!(
                                "{name}: call {at} was committed: {before}, repeated: {now}"
                            ));
                        }
                        _ => outcomes[at] = Some(now),
                    }
                }
            }
            if outcomes == [Some(true), Some(true)] {
                return Err(format!("lost {lost:04b}, second at {second}, {event:?}: both committed"));
            }
            if outcomes == [Some(false), Some(false)] {
                return Err(format!("lost {lost:04b}, second at {second}, {event:?}: none committed"));
            }
            let value = case.cluster.read(x, 9_999).0[&1];
            if value != (5, if outcomes[0] == Some(true) { 7 } else { 8 }) {
                return Err(format!("lost {lost:04b}: {value:?} is in force"));
            }
            rejected += u64::from(outcomes[0] == Some(false));
        }
    }
    Ok(rejected)
}

#[test]
fn of_two_changes_under_one_version_exactly_one_wins_and_repeats_have_the_same_outcome() {
    let rejected = races(None).unwrap_or_else(|why| panic!("{why}"));
    assert!((1..96).contains(&rejected), "each won at least once: {rejected}");
}

/// Eight concurrent calls through all nodes, of which the others depend on the first, with and without a
/// change of the owner: no answer may depend on a change that is not committed.
fn eight_concurrent_calls(mutation: Option<Mutation>) -> Result<(), String> {
    for cut in [false, true] {
        for lost in 0..4_u8 {
            let (mut cluster, owner) = Cluster::settled();
            cluster.set_mutation(mutation);
            let (x, y) = others(owner);
            // Another append is in flight, so that the eight changes go into one append.
            cluster.stalled_disks.extend([x, y]);
            cluster.call(owner, 1, &[(9, 1, 1)]);
            cluster.stores[owner].call(cluster.now, 10, KEY, vec![(1, 1, 7)]);
            for token in 11..18 {
                let node = [owner, x, y][token as usize % 3];
                cluster.run();
                cluster.stores[node].call(cluster.now, token, KEY, vec![(token as u8, 1, refers_to(1))]);
            }
            // Another call that depends on an uncommitted change: a different content under the same version.
            cluster.stores[owner].call(cluster.now, 18, KEY, vec![(1, 1, 8)]);
            cluster.run();
            cluster.cut_links.extend([(owner, x), (owner, y)].iter().take(lost as usize % 3));
            let no_replies = lost == 3;
            if no_replies {
                cluster.cut_links.extend([(x, owner), (y, owner)]);
            }
            cluster.stalled_disks.clear();
            cluster.run();
            if cut {
                cluster.isolate(owner);
            }
            let early: Vec<u64> = (10..=18).filter(|token| cluster.answers.contains_key(token)).collect();
            cluster.advance(Duration::from_millis(1_500));
            cluster.cut_links.clear();
            cluster.link_all();
            cluster.advance(Duration::from_secs(4));
            let answers = cluster.answers.clone();
            let value = cluster.read(x, 99);
            let name = format!("cut {cut}, lost {lost}, {early:?} answered early");
            for (token, outcome) in answers.range(10..18) {
                match outcome {
                    CallOutcome::Committed { .. } if value.0.get(&1) != Some(&(1, 7)) => {
                        return Err(format!("{name}: {token} is committed without what it depends on"));
                    }
                    CallOutcome::Committed { .. }
                        if *token > 10 && !value.0.contains_key(&(*token as u8)) =>
                    {
                        return Err(format!("{name}: {token} is committed and not in force"));
                    }
                    _ => {}
                }
            }
            // The other content was rejected, so the first one has to be in force.
            if matches!(answers.get(&18), Some(CallOutcome::Rejected(_))) && value.0.get(&1) != Some(&(1, 7))
            {
                return Err(format!("{name}: rejected for a change that is not in force"));
            }
            if !cut && lost == 0 && !(10..18).all(|token| cluster.is_committed(token)) {
                return Err(format!("{name}: not all committed: {answers:?}"));
            }
        }
    }
    Ok(())
}

#[test]
fn eight_concurrent_calls_of_which_seven_depend_on_the_first() {
    eight_concurrent_calls(None).unwrap_or_else(|why| panic!("{why}"));
}

/// An owner that was cut off and superseded receives a call that has become valid since. Returns whether it
/// is committed, by token.
fn at_a_superseded_owner(mutation: Option<Mutation>) -> Vec<(u64, bool)> {
    let (mut cluster, owner) = Cluster::settled();
    cluster.set_mutation(mutation);
    let (x, y) = others(owner);
    cluster.cut_links.extend([(x, owner), (y, owner), (owner, x), (owner, y)]);
    cluster.call(x, 1, &[(1, 1, 7)]);
    cluster.advance(Duration::from_millis(900));
    assert!(cluster.is_committed(1));
    // It does not know yet that it was superseded.
    cluster.call(owner, 2, &[(2, 1, refers_to(1))]);
    cluster.advance(Duration::from_millis(100));
    cluster.cut_links.clear();
    cluster.advance(Duration::from_millis(600));
    [2].iter().map(|token| (*token, cluster.is_committed(*token))).collect()
}

#[test]
fn a_call_at_a_superseded_owner_that_depends_on_an_acknowledged_one_is_committed() {
    assert_eq!(at_a_superseded_owner(None), [(2, true)]);
}

#[cfg(feature = "mutants")]
#[test]
fn a_rejection_by_a_superseded_owner_is_caught() {
    assert_eq!(at_a_superseded_owner(Some(Mutation::RejectsWithoutConfirmation)), [(2, false)]);
}

#[cfg(feature = "mutants")]
#[test]
fn answering_from_an_uncommitted_change_is_caught() {
    let why = eight_concurrent_calls(Some(Mutation::AnswersFromUncommitted)).expect_err("not found");
    println!("{why}");
    assert!(why.contains("rejected for a change that is not in force"), "{why}");
}

#[cfg(feature = "mutants")]
#[test]
fn two_changes_committed_under_one_version_are_caught() {
    for mutation in [Mutation::AnswersBeforeQuorum, Mutation::ClaimsWithoutQuorum] {
        let why = races(Some(mutation)).expect_err("not found");
        println!("{mutation:?}: {why}");
        assert!(why.contains("both committed") || why.contains("repeated: false"), "{why}");
    }
}
