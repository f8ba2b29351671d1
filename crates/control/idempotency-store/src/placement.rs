//! Placement of the replicas of a group: the next single-server change of its configuration, which the leader proposes through
//! the log. Changes are made one at a time.
use silvercross_raft::{Group, Node};
use siphasher::sip::SipHasher13;
use std::collections::BTreeMap;
use std::hash::Hasher;

/// A member of the fleet as seen by the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// The member.
    pub node: Node,
    /// Its zone.
    pub zone: String,
    /// Whether it is live in the leader's member list.
    pub alive: bool,
}

/// Input of a placement decision.
#[derive(Clone, Debug)]
pub struct PlacementInput<'a> {
    /// Number of the group; it enters the choice of members, so that groups are spread over the fleet.
    pub group_id: u32,
    /// Target number of voters.
    pub target_voters: usize,
    /// All members known to the leader.
    pub members: &'a [MemberStatus],
    /// For each voter, the number of voters that report it as gone.
    pub gone_reports: &'a BTreeMap<Node, usize>,
    /// Learners that have caught up.
    pub caught_up: &'a [Node],
    /// The leader.
    pub leader: Node,
}

/// The next configuration of the group, if a change is needed.
pub fn next_group(group: &Group, input: &PlacementInput<'_>) -> Option<Group> {
    let alive = |n: &Node| input.members.iter().any(|p| p.node == *n && p.alive);
    // A voter is gone when a majority of the other voters report it, each by its own member list. Not all of them need to agree:
    // a voter added as its replacement has not known it for long enough.
    let majority = group.voters.len().saturating_sub(1) / 2 + 1;
    let gone: Vec<Node> = group
        .voters
        .iter()
        .filter(|v| **v != input.leader && input.gone_reports.get(v).is_some_and(|n| *n >= majority))
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
    // A gone voter is removed only while the remaining ones reach the target, so its replacement is added first.
    if let Some(&node) = gone.first() {
        if live >= input.target_voters {
            return Some(Group { voters: without(&group.voters, node), learners: group.learners.clone() });
        }
    }
    if live < input.target_voters && group.learners.is_empty() {
        let zones = |zone: &str| {
            let in_zone = |v: &&Node| input.members.iter().any(|p| p.node == **v && p.zone == zone);
            group.voters.iter().filter(|v| !gone.contains(v)).filter(in_zone).count()
        };
        let weight = |p: &MemberStatus| {
            let mut hasher = SipHasher13::new_with_keys(u64::from(input.group_id), 0x686f_6c64_6572_7300);
            hasher.write_u64(p.node.0);
            hasher.finish()
        };
        let free =
            input.members.iter().filter(|p| p.alive && !group.is_voter(p.node) && p.node != input.leader);
        let learner = free.min_by_key(|p| (zones(&p.zone), weight(p)))?.node;
        return Some(Group { voters: group.voters.clone(), learners: vec![learner] });
    }
    None
}
