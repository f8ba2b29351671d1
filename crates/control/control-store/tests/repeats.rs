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
    LaterOfOthers,
    LaterOfTheSame,
    OwnerCut,
    OwnerRestarts,
    OwnerWiped,
    OtherWiped,
    PowerLost,
    OwnerReplaced,
}

const EVENTS: [Event; 8] = [
    Event::LaterOfOthers,
    Event::LaterOfTheSame,
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

    fn entries(&self) -> Vec<usize> {
        (0..4).filter(|node| !self.lost.contains(node)).collect()
    }

    fn owner(&self) -> usize {
        // A node that was cut off may still believe that it is the owner: the highest epoch counts.
        let owned = |i: &usize| self.cluster.stores[*i].owned_keys().first().map(|owned| owned.epoch);
        self.entries().into_iter().max_by_key(owned).expect("an owner")
    }

    fn begin(&mut self, node: usize, change: &[(u8, u64, u64)]) -> u64 {
        self.token += 1;
        self.cluster.stores[node].call(self.cluster.now, self.token, KEY, change.to_vec());
        self.token
    }

    /// The final outcome. A call without a definite answer is repeated a few times.
    fn settle(&mut self, node: usize, change: &[(u8, u64, u64)]) -> CallOutcome<Notes> {
        for _ in 0..6 {
            let token = self.begin(node, change);
            self.cluster.advance(Duration::from_millis(900));
            match self.cluster.answers.get(&token) {
                Some(CallOutcome::Unknown) => {}
                Some(verdict) => return verdict.clone(),
                None => panic!("no answer in time"),
            }
        }
        panic!("{change:?} at {node}: never settled");
    }

    fn done(&mut self, node: usize, change: &[(u8, u64, u64)]) -> bool {
        matches!(self.settle(node, change), CallOutcome::Committed { .. })
    }

    fn happens(&mut self, event: Event) {
        let owner = self.owner();
        let other = self.cluster.stores[owner].replica_nodes().into_iter().map(|n| n.0 as usize);
        let other = other.filter(|n| *n != owner && !self.lost.contains(n)).min().expect("another");
        self.version += 1;
        let version = self.version;
        match event {
            Event::LaterOfOthers => assert!(self.done(other, &[(3, version, 1), (4, version, 1)])),
            Event::LaterOfTheSame => assert!(self.done(other, &[(1, version, 9)])),
            Event::OwnerCut => {
                self.cluster.isolate(owner);
                self.cluster.advance(Duration::from_millis(1_500));
                self.cluster.rejoin(owner);
            }
            Event::OwnerRestarts => self.cluster.restart(owner),
            Event::OwnerWiped => self.cluster.wipe(owner),
            Event::OtherWiped => self.cluster.wipe(other),
            Event::PowerLost => {
                for node in self.entries() {
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
fn a_call_that_was_taken_is_acknowledged_again_whatever_came_between() {
    for first in EVENTS {
        for second in EVENTS {
            let mut case = Case::new(None);
            let entry = case.entries()[1];
            assert!(case.done(entry, X));
            for event in [first, second] {
                case.happens(event);
                for node in case.entries() {
                    assert!(case.done(node, X), "{first:?}, {second:?}: refused at {node} after {event:?}");
                }
            }
        }
    }
}

/// A change is called for, with every combination of message losses between the owner and the others. Another
/// change under the same version is then called for at each node, with and without a change of the owner, and
/// both are repeated.
fn races(mutation: Option<Mutation>) -> Result<u64, String> {
    let mut refused = 0;
    for lost in 0..16_u8 {
        for (second, event) in (0..3).flat_map(|n| [None, Some(Event::OwnerCut)].map(|e| (n, e))) {
            let (mut cluster, owner) = Cluster::settled();
            cluster.set_mutation(mutation);
            let (x, y) = others(owner);
            let ways = [(owner, x), (owner, y), (x, owner), (y, owner)];
            cluster.cut_links.extend((0..4).filter(|i| lost & (1 << i) != 0).map(|i| ways[i]));
            let mut case = Case { cluster, token: 0, version: 9, lost: BTreeSet::new() };
            let first = case.begin(owner, X);
            case.cluster.run();
            if event.is_some() {
                case.cluster.isolate(owner);
                case.cluster.advance(Duration::from_millis(1_500));
            }
            let other = case.begin((owner + second) % 3, Y);
            case.cluster.advance(Duration::from_millis(200));
            case.cluster.cut_links.clear();
            case.cluster.link_all();
            case.cluster.advance(Duration::from_secs(4));
            let said = |token| match case.cluster.answers.get(&token) {
                Some(CallOutcome::Committed { .. }) => Some(true),
                Some(CallOutcome::Rejected(_)) => Some(false),
                _ => None,
            };
            let mut clear = [said(first), said(other)];
            for node in 0..3 {
                for (at, change) in [(0, X), (1, Y)] {
                    let now = case.done(node, change);
                    let name = format!("lost {lost:04b}, second at {second}, {event:?}, repeat at {node}");
                    match clear[at] {
                        Some(before) if before != now => {
                            return Err(format!("{name}: call {at} was done {before}, and again {now}"));
                        }
                        _ => clear[at] = Some(now),
                    }
                }
            }
            if clear == [Some(true), Some(true)] {
                return Err(format!("lost {lost:04b}, second at {second}, {event:?}: both done"));
            }
            if clear == [Some(false), Some(false)] {
                return Err(format!("lost {lost:04b}, second at {second}, {event:?}: none done"));
            }
            let held = case.cluster.read(x, 9_999).0[&1];
            if held != (5, if clear[0] == Some(true) { 7 } else { 8 }) {
                return Err(format!("lost {lost:04b}: {held:?} is in force"));
            }
            refused += u64::from(clear[0] == Some(false));
        }
    }
    Ok(refused)
}

#[test]
fn of_two_operators_under_one_version_exactly_one_wins_and_each_hears_the_same_again() {
    let refused = races(None).unwrap_or_else(|why| panic!("{why}"));
    assert!((1..96).contains(&refused), "either won at times: {refused}");
}

/// Eight concurrent calls through all nodes, of which the others depend on the first, with and without a
/// change of the owner: no answer may depend on a change that is not committed.
fn eight_at_once(mutation: Option<Mutation>) -> Result<(), String> {
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
            let words = lost == 3;
            if words {
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
            let told = cluster.answers.clone();
            let held = cluster.read(x, 99);
            let name = format!("cut {cut}, lost {lost}, {early:?} said early");
            for (token, verdict) in told.range(10..18) {
                match verdict {
                    CallOutcome::Committed { .. } if held.0.get(&1) != Some(&(1, 7)) => {
                        return Err(format!("{name}: {token} is done without what it rests on"));
                    }
                    CallOutcome::Committed { .. } if *token > 10 && !held.0.contains_key(&(*token as u8)) => {
                        return Err(format!("{name}: {token} is done and not in force"));
                    }
                    _ => {}
                }
            }
            // The other content was rejected, so the first one has to be in force.
            if matches!(told.get(&18), Some(CallOutcome::Rejected(_))) && held.0.get(&1) != Some(&(1, 7)) {
                return Err(format!("{name}: refused for a change that is not in force"));
            }
            if !cut && lost == 0 && !(10..18).all(|token| cluster.is_committed(token)) {
                return Err(format!("{name}: not all done: {told:?}"));
            }
        }
    }
    Ok(())
}

#[test]
fn eight_calls_at_once_of_which_seven_rest_on_the_first() {
    eight_at_once(None).unwrap_or_else(|why| panic!("{why}"));
}

/// An owner that was cut off and superseded receives a call that has become valid since. Returns whether it
/// is committed, by token.
fn at_an_overtaken_owner(mutation: Option<Mutation>) -> Vec<(u64, bool)> {
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
fn a_call_that_rests_on_an_acknowledged_one_is_taken_by_an_overtaken_owner_too() {
    assert_eq!(at_an_overtaken_owner(None), [(2, true)]);
}

#[cfg(feature = "mutants")]
#[test]
fn a_refusal_by_an_overtaken_owner_is_caught() {
    assert_eq!(at_an_overtaken_owner(Some(Mutation::RejectsWithoutConfirmation)), [(2, false)]);
}

#[cfg(feature = "mutants")]
#[test]
fn what_rests_on_a_change_under_way_and_is_told_at_once_is_caught() {
    let why = eight_at_once(Some(Mutation::AnswersFromUncommitted)).expect_err("not found");
    println!("{why}");
    assert!(why.contains("refused for a change that is not in force"), "{why}");
}

#[cfg(feature = "mutants")]
#[test]
fn same_version_of_two_operators_both_done_is_caught() {
    for mutation in [Mutation::AnswersBeforeQuorum, Mutation::ClaimsWithoutQuorum] {
        let why = races(Some(mutation)).expect_err("not found");
        println!("{mutation:?}: {why}");
        assert!(why.contains("both done") || why.contains("and again false"), "{why}");
    }
}
