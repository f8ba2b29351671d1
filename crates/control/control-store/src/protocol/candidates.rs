//! Who is to be replaced, when, and by whom; and how long a replica that stops is still needed.

use crate::limits::{
    MAX_CANDIDATES, MAX_STOPPING_NODES, PROPOSAL_STAGGER, UNREACHABLE_REPLACE_DELAY,
    UNREACHABLE_REPLACE_DELAY_DURING_STOP,
};
use crate::message::Message;
use crate::mutation::Mutation;
use crate::store::ControlStore;
use crate::types::Node;
use crate::value::State;
use silvercross_time::Instant;

/// A replica that is to be replaced, and from when on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DueReplacement {
    pub(crate) from: Instant,
    pub(crate) node: Node,
}

impl<V: State> ControlStore<V> {
    /// A control node with a disk that is in no replica set that it knows of: it may replace a replica that is unreachable.
    /// `is_available` is whether it can still be reached and says so.
    pub fn set_candidate(&mut self, now: Instant, node: Node, is_available: bool) {
        if !is_available {
            self.candidates.remove(&node);
            return;
        }
        let has_room = self.candidates.len() < MAX_CANDIDATES;
        if node != self.node && has_room && self.candidates.insert(node) {
            if self.replica_set.version == 0 {
                self.send(node, Message::ReplicaSetRequest);
            }
            self.tick(now);
        }
    }

    /// This node is told to stop: as long as it is still there the others replace it, if there is a candidate, and take over
    /// what it owns. [`ControlStore::is_still_needed`] says how long it is to stay for that.
    pub fn begin_graceful_stop(&mut self, now: Instant) {
        self.set_stopping(now, self.node, true);
    }

    /// Whether a control node has said that it stops. Holds until its next start says otherwise, also when it is unreachable.
    pub fn set_stopping(&mut self, now: Instant, node: Node, is_stopping: bool) {
        let has_room = self.stopping.len() < MAX_STOPPING_NODES;
        if !is_stopping && self.stopping.remove(&node).is_some() {
            self.tick(now);
        } else if is_stopping && has_room && !self.stopping.contains_key(&node) {
            self.stopping.insert(node, now);
            self.tick(now);
        }
    }

    /// Whether this node, which stops, is still needed as a replica: it is being replaced or could be, or the replica set
    /// without it is not in force yet.
    pub fn is_still_needed(&self) -> bool {
        match &self.votes_without_this {
            Some(voters) => {
                let voters: Vec<Node> = voters.iter().copied().collect();
                !self.has_mutation(Mutation::StopsBeforeReplicaSetInForce)
                    && !self.replica_set.is_majority(&voters, None)
            }
            None => {
                let is_wanted = self.replica_set.is_joint()
                    || self.replacement_candidate().is_some()
                    || self.awaits_candidate();
                !self.is_outside() && is_wanted
            }
        }
    }

    /// Whether the others that can be reached are no majority, and one may join that can't at this moment: the link to it is
    /// down, or it hasn't heard yet that the replacement in which it joined was abandoned.
    fn awaits_candidate(&self) -> bool {
        let others: Vec<Node> = self.reachable.iter().copied().collect();
        let is_free = |n: &Node| !self.replica_set.contains(*n) && !self.stopping.contains_key(n);
        let is_known = self.candidates.iter().chain(&self.abandoned).any(is_free);
        is_known && !self.replica_set.is_majority(&others, None)
    }

    /// Who could replace a replica now; the one with which a replacement was abandoned last comes last.
    pub(crate) fn replacement_candidate(&self) -> Option<Node> {
        let is_free = |node: &&Node| self.reachable.contains(node) && !self.replica_set.contains(**node);
        let free = self.candidates.iter().filter(is_free).copied();
        free.min_by_key(|node| (Some(*node) == self.abandoned, *node))
    }

    /// From when on a replica that can't be reached counts as lost.
    fn lost_from(&self, node: Node) -> Option<Instant> {
        let stops =
            |other: Node| other != node && self.is_present(other) && self.stopping.contains_key(&other);
        let delay = if self.replica_set.nodes().any(stops) {
            UNREACHABLE_REPLACE_DELAY_DURING_STOP
        } else {
            UNREACHABLE_REPLACE_DELAY
        };
        self.unreachable_since.get(&node).map(|since| *since + delay)
    }

    /// Whether a replica counts as lost.
    pub(crate) fn is_lost(&self, now: Instant, node: Node) -> bool {
        self.lost_from(node).is_some_and(|from| now >= from)
    }

    /// From when on this replica is to be replaced: if it is lost, or has said that it stops. Then it proposes that first
    /// itself, for its own word needs no other that knows of it.
    fn replace_from(&self, node: Node) -> Option<Instant> {
        let Some(said) = self.stopping.get(&node) else { return self.lost_from(node) };
        Some(if node == self.node { *said } else { *said + PROPOSAL_STAGGER })
    }

    fn replacements(&self) -> impl Iterator<Item = DueReplacement> + '_ {
        let due = |node| self.replace_from(node).map(|from| DueReplacement { from, node });
        self.replica_set.nodes().filter_map(due)
    }

    /// The replica whose time to be replaced comes first.
    pub(crate) fn first_replacement(&self) -> Option<DueReplacement> {
        self.replacements().min()
    }

    /// Whom to replace now: of those whose time it is one that can't be reached goes before one that is still there.
    pub(crate) fn replica_to_replace(&self, now: Instant) -> Option<Node> {
        let due = self.replacements().filter(|due| due.from <= now);
        due.min_by_key(|due| (!self.unreachable_since.contains_key(&due.node), *due)).map(|due| due.node)
    }

    /// Whether a replica other than these can't be reached.
    pub(crate) fn is_another_unreachable(&self, except: &[Node]) -> bool {
        let is_gone = |node: Node| !except.contains(&node) && self.unreachable_since.contains_key(&node);
        self.replica_set.nodes().any(is_gone)
    }
}
