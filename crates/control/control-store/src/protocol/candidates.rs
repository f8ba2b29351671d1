//! Which replica is to be replaced, when and by which node; and how long a stopping replica is still needed.

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

/// A replica that is to be replaced, and the time from which it may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DueReplacement {
    pub(crate) due_at: Instant,
    pub(crate) node: Node,
}

impl<V: State> ControlStore<V> {
    /// Reports a control node that has a disk and is in no replica set it knows of: it may replace an
    /// unreachable replica. `is_available` says whether the node is still reachable and offers itself.
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

    /// This node is stopping: while it is still running the others replace it, if there is a candidate, and
    /// take over its keys. [`ControlStore::is_still_needed`] says how long it has to keep running for that.
    pub fn begin_graceful_stop(&mut self, now: Instant) {
        self.set_stopping(now, self.node, true);
    }

    /// Reports whether a control node has announced that it is stopping. Holds until it is revoked after the
    /// node's next start, also while the node is unreachable.
    pub fn set_stopping(&mut self, now: Instant, node: Node, is_stopping: bool) {
        let has_room = self.stopping.len() < MAX_STOPPING_NODES;
        if !is_stopping && self.stopping.remove(&node).is_some() {
            self.tick(now);
        } else if is_stopping && has_room && !self.stopping.contains_key(&node) {
            self.stopping.insert(node, now);
            self.tick(now);
        }
    }

    /// Whether this stopping node is still needed as a replica: it is being replaced or could be, or the
    /// replica set without it is not in force yet.
    pub fn is_still_needed(&self) -> bool {
        match &self.voters_without_this {
            Some(voters) => {
                let voters: Vec<Node> = voters.iter().copied().collect();
                !self.has_mutation(Mutation::StopsBeforeReplicaSetInForce)
                    && !self.replica_set.is_majority(&voters, None)
            }
            None => {
                let can_be_replaced = self.replica_set.is_joint()
                    || self.replacement_candidate().is_some()
                    || self.awaits_candidate();
                !self.is_outside() && can_be_replaced
            }
        }
    }

    /// Whether the other reachable replicas are no majority while a node that could join is unavailable for
    /// now: its link is down, or it has not yet heard that the replacement in which it was joining was
    /// abandoned.
    fn awaits_candidate(&self) -> bool {
        let others: Vec<Node> = self.reachable.iter().copied().collect();
        let is_free = |n: &Node| !self.replica_set.contains(*n) && !self.stopping.contains_key(n);
        let is_known = self.candidates.iter().chain(&self.abandoned_joining).any(is_free);
        is_known && !self.replica_set.is_majority(&others, None)
    }

    /// The node that could replace a replica now. The one whose replacement was abandoned last is the last
    /// choice.
    pub(crate) fn replacement_candidate(&self) -> Option<Node> {
        let is_free = |node: &&Node| self.reachable.contains(node) && !self.replica_set.contains(**node);
        let free = self.candidates.iter().filter(is_free).copied();
        free.min_by_key(|node| (Some(*node) == self.abandoned_joining, *node))
    }

    /// When an unreachable replica counts as lost.
    fn lost_at(&self, node: Node) -> Option<Instant> {
        let is_stopping =
            |other: Node| other != node && self.is_present(other) && self.stopping.contains_key(&other);
        let delay = if self.replica_set.nodes().any(is_stopping) {
            UNREACHABLE_REPLACE_DELAY_DURING_STOP
        } else {
            UNREACHABLE_REPLACE_DELAY
        };
        self.unreachable_since.get(&node).map(|since| *since + delay)
    }

    /// Whether a replica counts as lost.
    pub(crate) fn is_lost(&self, now: Instant, node: Node) -> bool {
        self.lost_at(node).is_some_and(|from| now >= from)
    }

    /// When a replica is due for replacement: once it is lost, or has announced that it is stopping. A
    /// stopping replica proposes first, since its own proposal doesn't require others to know that it is
    /// stopping.
    fn replacement_due_at(&self, node: Node) -> Option<Instant> {
        let Some(said) = self.stopping.get(&node) else { return self.lost_at(node) };
        Some(if node == self.node { *said } else { *said + PROPOSAL_STAGGER })
    }

    fn replacements(&self) -> impl Iterator<Item = DueReplacement> + '_ {
        let due = |node| self.replacement_due_at(node).map(|due_at| DueReplacement { due_at, node });
        self.replica_set.nodes().filter_map(due)
    }

    /// The replacement that is due first.
    pub(crate) fn first_replacement(&self) -> Option<DueReplacement> {
        self.replacements().min()
    }

    /// The replica to replace now. Of those that are due, an unreachable one goes before one that is still
    /// reachable.
    pub(crate) fn replica_to_replace(&self, now: Instant) -> Option<Node> {
        let due = self.replacements().filter(|due| due.due_at <= now);
        due.min_by_key(|due| (!self.unreachable_since.contains_key(&due.node), *due)).map(|due| due.node)
    }

    /// Whether any replica other than these is unreachable.
    pub(crate) fn is_another_unreachable(&self, except: &[Node]) -> bool {
        let is_unreachable =
            |node: Node| !except.contains(&node) && self.unreachable_since.contains_key(&node);
        self.replica_set.nodes().any(is_unreachable)
    }
}
