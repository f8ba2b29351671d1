//! Who is to hold copies of a group: the next single step from the group as it is, as its leader takes it through the log. A
//! step is taken by the group's agreement, one at a time, and never in haste.
use silvercross_raft::{Group, Node};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::Hasher;

/// What the leader knows of a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// Which one.
    pub node: Node,
    /// Its zone.
    pub zone: String,
    /// It is there, by the leader's own list.
    pub alive: bool,
}

/// What the leader knows, and what is wanted.
#[derive(Clone, Debug)]
pub struct PlacementInput<'a> {
    /// The number of the group, so that groups spread over members.
    pub group_id: u32,
    /// How many voters are wanted.
    pub target_voters: usize,
    /// All members that the leader knows of.
    pub members: &'a [MemberStatus],
    /// For each voter, how many voters hold it to be gone for good.
    pub gone_reports: &'a BTreeMap<Node, usize>,
    /// Learners that have caught up.
    pub caught_up: &'a [Node],
    /// The leader.
    pub leader: Node,
}

/// The next step, if one is to be taken.
pub fn next_group(group: &Group, input: &PlacementInput<'_>) -> Option<Group> {
    let alive = |n: &Node| input.members.iter().any(|p| p.node == *n && p.alive);
    // A voter is gone when most of the others say so, each by its own list. One that came in its place knows it the shortest,
    // and is not waited for.
    let most = group.voters.len().saturating_sub(1) / 2 + 1;
    let gone: Vec<Node> = group
        .voters
        .iter()
        .filter(|v| **v != input.leader && input.gone_reports.get(v).is_some_and(|n| *n >= most))
        .copied()
        .collect();
    let without =
        |nodes: &[Node], node: Node| nodes.iter().copied().filter(|n| *n != node).collect::<Vec<_>>();
    if let Some(dead) = group.learners.iter().find(|l| !alive(l)) {
        return Some(Group { voters: group.voters.clone(), learners: without(&group.learners, *dead) });
    }
    let live = group.voters.len() - gone.len();
    if let Some(&ready) = group.learners.iter().find(|l| input.caught_up.contains(l)) {
        if live < input.target_voters {
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
        if live >= input.target_voters {
            return Some(Group { voters: without(&group.voters, node), learners: group.learners.clone() });
        }
    }
    if live < input.target_voters && group.learners.is_empty() {
        let zones = |zone: &str| {
            let there = |v: &&Node| input.members.iter().any(|p| p.node == **v && p.zone == zone);
            group.voters.iter().filter(|v| !gone.contains(v)).filter(there).count()
        };
        let weight = |p: &MemberStatus| {
            let mut h = SipHasher13::new_with_keys(u64::from(input.group_id), 0x686f_6c64_6572_7300);
            h.write_u64(p.node.0);
            h.finish()
        };
        let free =
            input.members.iter().filter(|p| p.alive && !group.is_voter(p.node) && p.node != input.leader);
        let learner = free.min_by_key(|p| (zones(&p.zone), weight(p)))?.node;
        return Some(Group { voters: group.voters.clone(), learners: vec![learner] });
    }
    None
}
