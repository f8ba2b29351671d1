//! Who is to hold copies of a group: the next single step from the group as it is, as its leader takes it through the log. A
//! step is taken by the group's agreement, one at a time, and never in haste.
use silvercross_raft::{Group, Node};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::Hasher;

/// What the leader knows of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// Which one.
    pub node: Node,
    /// Its zone.
    pub zone: String,
    /// It is there, by the leader's own list.
    pub alive: bool,
}

/// What the leader knows, and what is wanted.
#[derive(Clone, Debug)]
pub struct Facts<'a> {
    /// The number of the group, so that groups spread over members.
    pub number: u32,
    /// How many voters are wanted.
    pub holders: usize,
    /// All members that the leader knows of.
    pub places: &'a [Place],
    /// For each voter, how many voters hold it to be gone for good.
    pub gone: &'a BTreeMap<Node, usize>,
    /// Learners that have caught up.
    pub caught_up: &'a [Node],
    /// The leader.
    pub me: Node,
}

/// The next step, if one is to be taken.
pub fn next(group: &Group, facts: &Facts<'_>) -> Option<Group> {
    let alive = |n: &Node| facts.places.iter().any(|p| p.node == *n && p.alive);
    // A voter is gone when most of the others say so, each by its own list. One that came in its place knows it the shortest,
    // and is not waited for.
    let most = group.voters.len().saturating_sub(1) / 2 + 1;
    let gone: Vec<Node> = group
        .voters
        .iter()
        .filter(|v| **v != facts.me && facts.gone.get(v).is_some_and(|n| *n >= most))
        .copied()
        .collect();
    let without =
        |nodes: &[Node], node: Node| nodes.iter().copied().filter(|n| *n != node).collect::<Vec<_>>();
    if let Some(dead) = group.learners.iter().find(|l| !alive(l)) {
        return Some(Group { voters: group.voters.clone(), learners: without(&group.learners, *dead) });
    }
    let live = group.voters.len() - gone.len();
    if let Some(&ready) = group.learners.iter().find(|l| facts.caught_up.contains(l)) {
        if live < facts.holders {
            let mut voters = group.voters.clone();
            voters.push(ready);
            voters.sort();
            return Some(Group { voters, learners: without(&group.learners, ready) });
        }
        return Some(Group { voters: group.voters.clone(), learners: without(&group.learners, ready) });
    }
    // One that is gone leaves once the others are as many as wanted, or when nobody is there to take its place and the
    // group is larger than wanted.
    if let Some(&node) = gone.first() {
        if live >= facts.holders {
            return Some(Group { voters: without(&group.voters, node), learners: group.learners.clone() });
        }
    }
    if live < facts.holders && group.learners.is_empty() {
        let zones = |zone: &str| {
            let there = |v: &&Node| facts.places.iter().any(|p| p.node == **v && p.zone == zone);
            group.voters.iter().filter(|v| !gone.contains(v)).filter(there).count()
        };
        let weight = |p: &Place| {
            let mut h = SipHasher13::new_with_keys(u64::from(facts.number), 0x686f_6c64_6572_7300);
            h.write_u64(p.node.0);
            h.finish()
        };
        let free = facts.places.iter().filter(|p| p.alive && !group.is_voter(p.node) && p.node != facts.me);
        let learner = free.min_by_key(|p| (zones(&p.zone), weight(p)))?.node;
        return Some(Group { voters: group.voters.clone(), learners: vec![learner] });
    }
    None
}
