//! The relay tree: this node's position in it, and selection of a sidecar's parent. The order of the
//! candidates is in `parent_candidates`, the links of control nodes in `control_links`.
use crate::freshness::Mutation;
use crate::limits::{MAX_CONCURRENT_DIALS, MAX_PATH_NODES, MAX_REPORTED_PEERS, TREE_FANOUT};
use crate::link_keepalive::DialFailure;
use crate::membership::Membership;
use crate::message::TreePosition;
use crate::node::Node;
use crate::parent_candidates::ParentCandidates;
use crate::timing::{KEEPALIVE_INTERVAL, NEXT_DIAL_DELAY, PARENT_RETRY_DELAY, UNROOTED_PARENT_TIMEOUT};
use silvercross_time::{Duration, Instant};
use std::fmt::Debug;

/// For this long after its start a node moves to its preferred parent after a short delay.
const NEW_NODE_PERIOD: Duration = Duration::from_secs(5);
const NEW_NODE_SETTLE_DELAY: Duration = Duration::from_millis(300);

/// A linked candidate and its rank among all candidates.
#[derive(Clone, Copy)]
struct LinkedCandidate {
    rank: usize,
    node: Node,
}

impl<T: Clone + PartialEq + Debug> Membership<T> {
    /// This node's position, as reported to its neighbours.
    pub(crate) fn position(&self) -> TreePosition {
        let local_node = self.config.local_node;
        if self.config.is_control {
            let linked = self
                .links
                .up
                .iter()
                .filter(|(node, link)| link.has_hello && self.placement.is_control(**node));
            let peers: Vec<Node> = linked.map(|(node, _)| *node).take(MAX_REPORTED_PEERS).collect();
            // A control node without a majority of the replicas receives no updates: its children have to
            // choose another parent.
            let is_linked = |node: Node| node == local_node || peers.contains(&node);
            let has_majority = if self.check.has_mutation(Mutation::CountsFormerControlNodes) {
                2 * (peers.len() + 1) > self.other_control_nodes().len() + 1
            } else {
                self.control_quorum.is_met_by(is_linked)
            };
            let path = if has_majority { vec![local_node] } else { Vec::new() };
            return TreePosition { path, peers, full: false };
        }
        let mut path = Vec::new();
        if let Some(link) = self.links.parent.and_then(|parent| self.links.up.get(&parent)) {
            if link.is_rooted_without(local_node) {
                path.push(local_node);
                path.extend(link.position().path.iter().take(MAX_PATH_NODES - 1));
            }
        }
        let children = self.links.up.len().saturating_sub(1);
        TreePosition { path, peers: Vec::new(), full: children > 2 * TREE_FANOUT }
    }

    /// Whether this node has a path to a control node that is linked with a majority of the replicas.
    pub fn has_path(&self) -> bool {
        !self.position().path.is_empty()
    }

    /// Control nodes that report a link to a majority of the replicas, as far as this node knows: the
    /// one at the end of its own path, or for a control node those that it is linked with.
    pub fn reachable_control_nodes(&self) -> Vec<Node> {
        if self.config.is_control {
            let local_node = self.config.local_node;
            let linked = self.links.up.iter();
            return linked
                .filter(|(node, link)| {
                    self.placement.is_control(**node) && link.is_rooted_without(local_node)
                })
                .map(|(node, _)| *node)
                .collect();
        }
        self.position().path.last().copied().into_iter().collect()
    }

    /// Notifies the neighbours at once when the path to a control node is lost or regained.
    pub(crate) fn announce_position(&mut self) {
        let rooted = match self.config.is_control {
            true => !self.position().path.is_empty(),
            false => self.links.parent.is_some_and(|parent| self.is_rooted(parent)),
        };
        if rooted != self.links.announced_rooted {
            self.links.announced_rooted = rooted;
            let linked = self.links.up.iter().filter(|(_, link)| link.has_hello);
            let linked: Vec<Node> = linked.map(|(node, _)| *node).collect();
            linked.into_iter().for_each(|node| self.send_keepalive(node, false));
        }
    }

    /// Opens and closes links so that they match the known nodes.
    pub(crate) fn choose_links(&mut self, now: Instant) {
        let placement_changed = std::mem::take(&mut self.links.placement_changed);
        self.links.next_choice_at = Instant::MAX;
        if self.own_record().is_none_or(|own| own.gone) {
            return;
        }
        if self.config.is_control {
            self.choose_control_links(now);
            return;
        }
        if placement_changed {
            let mut additional = self.links.former_control_nodes.clone();
            additional.extend(self.config.seeds.iter());
            additional.retain(|node| !self.is_known_sidecar(*node));
            self.links.candidates = ParentCandidates::for_node(
                &self.placement,
                self.config.local_node,
                &self.config.zone,
                &additional,
            );
        }
        self.choose_parent(now);
        self.search_parent(now);
    }

    fn is_rooted(&self, node: Node) -> bool {
        self.links.is_rooted(node, self.config.local_node)
    }

    fn is_suitable_parent(&self, parent: Node) -> bool {
        let full = self.links.up.get(&parent).is_some_and(|link| link.position().full);
        let is_preferred = self.links.candidates.preferred() == Some(parent);
        is_preferred
            || (!full && self.placement.is_suitable_parent(self.config.local_node, &self.config.zone, parent))
    }

    /// Selects the best of the established links as the parent's.
    fn choose_parent(&mut self, now: Instant) {
        let chosen = self.best_parent();
        if chosen == self.links.parent {
            return;
        }
        self.links.parent = chosen;
        self.metrics.parent_changes += u64::from(chosen.is_some());
        self.links.unsuitable_since = None;
        self.links.unrooted_since = None;
        if let Some(link) = chosen.and_then(|chosen| self.links.up.get_mut(&chosen)) {
            link.next_keepalive_at = link.next_keepalive_at.min(now + KEEPALIVE_INTERVAL);
        }
    }

    /// The best linked candidate. A suitable rooted parent is kept; if no candidate is rooted, an unrooted
    /// one that doesn't come after this node in tree order is used.
    fn best_parent(&self) -> Option<Node> {
        let candidates = &self.links.candidates;
        let linked: Vec<LinkedCandidate> = candidates
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| self.links.has_hello_from(**node))
            .map(|(rank, node)| LinkedCandidate { rank, node: *node })
            .collect();
        let rooted = linked.iter().find(|candidate| self.is_rooted(candidate.node));
        let unrooted = linked.iter().find(|candidate| candidate.rank < candidates.lower_end);
        match self.links.parent {
            Some(parent) if self.is_rooted(parent) && self.is_suitable_parent(parent) => Some(parent),
            Some(parent) if self.is_rooted(parent) => match rooted {
                Some(better) if better.rank < self.links.candidate_rank(parent) => Some(better.node),
                _ => Some(parent),
            },
            parent => {
                let kept = parent.filter(|parent| self.links.candidate_rank(*parent) < candidates.lower_end);
                rooted.map(|found| found.node).or(kept).or(unrooted.map(|found| found.node))
            }
        }
    }

    /// Dials better parents, and closes links that are not needed.
    fn search_parent(&mut self, now: Instant) {
        let Some(parent) = self.links.parent else {
            self.dial_next_candidate(now);
            return;
        };
        if !self.is_rooted(parent) {
            let since = *self.links.unrooted_since.get_or_insert(now);
            if now < since + UNROOTED_PARENT_TIMEOUT {
                self.links.next_choice_at = since + UNROOTED_PARENT_TIMEOUT;
            } else {
                self.dial_next_candidate(now);
            }
            return;
        }
        self.links.unrooted_since = None;
        let is_suitable = self.is_suitable_parent(parent);
        let wanted = self.links.candidates.preferred().filter(|_| !is_suitable);
        self.close_unused_links(wanted);
        match wanted {
            Some(preferred) => self.move_to_preferred(now, preferred),
            None => self.links.unsuitable_since = None,
        }
    }

    /// Closes links opened by this side except those to the parent and to `wanted`.
    fn close_unused_links(&mut self, wanted: Option<Node>) {
        let parent = self.links.parent;
        let outgoing = self.links.up.iter().filter(|(_, link)| link.is_outgoing).map(|(node, _)| *node);
        let unused: Vec<Node> = outgoing
            .chain(self.links.dials.keys().copied())
            .filter(|node| Some(*node) != parent && Some(*node) != wanted)
            .collect();
        unused.into_iter().for_each(|node| self.close_link(node));
    }

    /// Moves from a substitute to the preferred parent after a delay.
    fn move_to_preferred(&mut self, now: Instant, preferred: Node) {
        let since = *self.links.unsuitable_since.get_or_insert(now);
        let is_new = now - self.started_at < NEW_NODE_PERIOD;
        let settled_at = since + if is_new { NEW_NODE_SETTLE_DELAY } else { PARENT_RETRY_DELAY };
        let not_before = match self.links.failed.get(&preferred) {
            Some(failed) => settled_at.max(failed.retry_at),
            None => settled_at,
        };
        if self.links.dials.contains_key(&preferred) {
            // The outcome of the dial, or its time-out, triggers the next selection.
        } else if now < not_before {
            self.links.next_choice_at = not_before;
        } else if self.links.up.contains_key(&preferred) {
            self.reject_unrooted(now, preferred);
            self.links.next_choice_at = now + PARENT_RETRY_DELAY;
        } else {
            self.dial(now, preferred);
        }
    }

    /// Delays the next attempt at a linked node that has no path to a control node.
    fn reject_unrooted(&mut self, now: Instant, node: Node) {
        if self.links.has_hello_from(node) {
            self.back_off(now, node, DialFailure::Unrooted);
            if self.links.up.get(&node).is_some_and(|link| link.is_outgoing) {
                self.close_link(node);
            }
        }
    }

    /// Without a path to a control node: tries the remaining candidates, a few at a time.
    fn dial_next_candidate(&mut self, now: Instant) {
        let unrooted = self
            .links
            .up
            .iter()
            .filter(|(node, link)| link.is_outgoing && link.has_hello && Some(**node) != self.links.parent)
            .map(|(node, _)| *node)
            .filter(|node| !self.is_rooted(*node));
        let unrooted: Vec<Node> = unrooted.collect();
        unrooted.into_iter().for_each(|node| self.reject_unrooted(now, node));
        let mut earliest = Instant::MAX;
        let mut next = None;
        for node in &self.links.candidates.nodes {
            if self.links.is_linked_or_dialling(*node) {
                continue;
            }
            match self.links.failed.get(node).filter(|failed| failed.retry_at > now) {
                Some(failed) => earliest = earliest.min(failed.retry_at),
                None => {
                    next = Some(*node);
                    break;
                }
            }
        }
        if self.links.dials.len() >= MAX_CONCURRENT_DIALS {
            return;
        }
        if let Some(node) = next {
            if self.links.dials.is_empty() || now >= self.links.last_dial_at + NEXT_DIAL_DELAY {
                self.dial(now, node);
            }
            earliest = self.links.last_dial_at + NEXT_DIAL_DELAY;
        }
        self.links.next_choice_at = earliest.max(now + Duration::from_micros(1));
    }
}
