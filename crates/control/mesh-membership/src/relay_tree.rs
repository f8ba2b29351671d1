//! The relay tree: where this node stands in it, and which parent a sidecar has. The order of the candidates stands in
//! `parent_candidates`, the links of control nodes in `control_links`.
use crate::limits::{MAX_CONCURRENT_DIALS, MAX_PATH_NODES, MAX_REPORTED_PEERS, TREE_FANOUT};
use crate::link_keepalive::DialFailure;
use crate::membership::Membership;
use crate::message::TreePosition;
use crate::node::Node;
use crate::parent_candidates::ParentCandidates;
use crate::timing::{KEEPALIVE_INTERVAL, NEXT_DIAL_DELAY, PARENT_RETRY_DELAY, UNROOTED_PARENT_TIMEOUT};
use silvercross_time::{Duration, Instant};
use std::fmt::Debug;

/// A node is new for so long, and moves to its proper parent after a short delay.
const NEW_NODE_PERIOD: Duration = Duration::from_secs(5);
const NEW_NODE_SETTLE_DELAY: Duration = Duration::from_millis(300);

/// A candidate that is linked, and its rank among the candidates.
#[derive(Clone, Copy)]
struct LinkedCandidate {
    rank: usize,
    node: Node,
}

impl<T: Clone + PartialEq + Debug> Membership<T> {
    /// Where this node stands, as it reports to its neighbours.
    pub(crate) fn position(&self) -> TreePosition {
        let local_node = self.config.local_node;
        if self.config.is_control {
            let linked =
                self.links.up.iter().filter(|(node, link)| link.greeted && self.placement.is_control(**node));
            let peers: Vec<Node> = linked.map(|(node, _)| *node).take(MAX_REPORTED_PEERS).collect();
            // One that reaches no more than half of the control nodes gets no updates: its children go elsewhere.
            let has_majority = 2 * (peers.len() + 1) > self.other_control_nodes().len() + 1;
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

    /// Control nodes that report that they reach most of the control nodes, as far as is known here: the one at the end of
    /// this node's own path, or of a control node those that it is linked with.
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

    /// Notifies its neighbours at once when its path to a control node is lost or found again.
    pub(crate) fn announce_position(&mut self) {
        let rooted = match self.config.is_control {
            true => !self.position().path.is_empty(),
            false => self.links.parent.is_some_and(|parent| self.is_rooted(parent)),
        };
        if rooted != self.links.announced_rooted {
            self.links.announced_rooted = rooted;
            let greeted = self.links.up.iter().filter(|(_, link)| link.greeted);
            let greeted: Vec<Node> = greeted.map(|(node, _)| *node).collect();
            greeted.into_iter().for_each(|node| self.send_keepalive(node, false));
        }
    }

    /// Sees to it that the links are those that should be.
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
            let mut further = self.links.former_control_nodes.clone();
            further.extend(self.config.seeds.iter());
            further.retain(|node| !self.is_known_sidecar(*node));
            self.links.candidates =
                ParentCandidates::of(&self.placement, self.config.local_node, &self.config.zone, &further);
        }
        self.choose_parent(now);
        self.search_parent(now);
    }

    fn is_rooted(&self, node: Node) -> bool {
        self.links.is_rooted(node, self.config.local_node)
    }

    fn fits_parent(&self, parent: Node) -> bool {
        let full = self.links.up.get(&parent).is_some_and(|link| link.position().full);
        let is_proper = self.links.candidates.proper() == Some(parent);
        is_proper || (!full && self.placement.fits_parent(self.config.local_node, &self.config.zone, parent))
    }

    /// Takes the best of the links that are up for the parent's.
    fn choose_parent(&mut self, now: Instant) {
        let chosen = self.best_parent();
        if chosen == self.links.parent {
            return;
        }
        self.links.parent = chosen;
        self.metrics.parent_changes += u64::from(chosen.is_some());
        self.links.unfit_since = None;
        self.links.unrooted_since = None;
        if let Some(link) = chosen.and_then(|chosen| self.links.up.get_mut(&chosen)) {
            link.next_keepalive_at = link.next_keepalive_at.min(now + KEEPALIVE_INTERVAL);
        }
    }

    /// The best of the linked candidates. A rooted parent that fits is kept; without any rooted one a lower one is still
    /// better than none.
    fn best_parent(&self) -> Option<Node> {
        let candidates = &self.links.candidates;
        let linked: Vec<LinkedCandidate> = candidates
            .nodes
            .iter()
            .enumerate()
            .filter(|(_, node)| self.links.is_greeted(**node))
            .map(|(rank, node)| LinkedCandidate { rank, node: *node })
            .collect();
        let rooted = linked.iter().find(|candidate| self.is_rooted(candidate.node));
        let unrooted = linked.iter().find(|candidate| candidate.rank < candidates.lower);
        match self.links.parent {
            Some(parent) if self.is_rooted(parent) && self.fits_parent(parent) => Some(parent),
            Some(parent) if self.is_rooted(parent) => match rooted {
                Some(better) if better.rank < self.links.candidate_rank(parent) => Some(better.node),
                _ => Some(parent),
            },
            parent => {
                let kept = parent.filter(|parent| self.links.candidate_rank(*parent) < candidates.lower);
                rooted.map(|found| found.node).or(kept).or(unrooted.map(|found| found.node))
            }
        }
    }

    /// Makes links to better parents, and drops those that are of no use.
    fn search_parent(&mut self, now: Instant) {
        let Some(parent) = self.links.parent else {
            self.search_further(now);
            return;
        };
        if !self.is_rooted(parent) {
            let since = *self.links.unrooted_since.get_or_insert(now);
            if now < since + UNROOTED_PARENT_TIMEOUT {
                self.links.next_choice_at = since + UNROOTED_PARENT_TIMEOUT;
            } else {
                self.search_further(now);
            }
            return;
        }
        self.links.unrooted_since = None;
        let fits = self.fits_parent(parent);
        let wanted = self.links.candidates.proper().filter(|_| !fits);
        self.drop_unused_links(wanted);
        match wanted {
            Some(proper) => self.move_to(now, proper),
            None => self.links.unfit_since = None,
        }
    }

    /// Drops the links made from this side but the parent's and that of the parent wanted.
    fn drop_unused_links(&mut self, wanted: Option<Node>) {
        let parent = self.links.parent;
        let dialled_here = self.links.up.iter().filter(|(_, link)| link.dialled_here).map(|(node, _)| *node);
        let unused: Vec<Node> = dialled_here
            .chain(self.links.dials.keys().copied())
            .filter(|node| Some(*node) != parent && Some(*node) != wanted)
            .collect();
        unused.into_iter().for_each(|node| self.drop_link(node));
    }

    /// The parent is a substitute: goes to the proper one once it has been so for a while.
    fn move_to(&mut self, now: Instant, proper: Node) {
        let since = *self.links.unfit_since.get_or_insert(now);
        let is_new = now - self.started_at < NEW_NODE_PERIOD;
        let settled_at = since + if is_new { NEW_NODE_SETTLE_DELAY } else { PARENT_RETRY_DELAY };
        let not_before = match self.links.failed.get(&proper) {
            Some(failed) => settled_at.max(failed.retry_at),
            None => settled_at,
        };
        if self.links.dials.contains_key(&proper) {
            // Its outcome, or the end of its time, leads back here.
        } else if now < not_before {
            self.links.next_choice_at = not_before;
        } else if self.links.up.contains_key(&proper) {
            self.reject_unrooted(now, proper);
            self.links.next_choice_at = now + PARENT_RETRY_DELAY;
        } else {
            self.dial(now, proper);
        }
    }

    /// A linked node that leads to no control node is left alone for a while.
    fn reject_unrooted(&mut self, now: Instant, node: Node) {
        if self.links.is_greeted(node) {
            self.back_off(now, node, DialFailure::Unrooted);
            if self.links.up.get(&node).is_some_and(|link| link.dialled_here) {
                self.drop_link(node);
            }
        }
    }

    /// There is no path to a control node: goes through all candidates that could have one, a few at a time.
    fn search_further(&mut self, now: Instant) {
        let useless = self
            .links
            .up
            .iter()
            .filter(|(node, link)| link.dialled_here && link.greeted && Some(**node) != self.links.parent)
            .map(|(node, _)| *node)
            .filter(|node| !self.is_rooted(*node));
        let useless: Vec<Node> = useless.collect();
        useless.into_iter().for_each(|node| self.reject_unrooted(now, node));
        let mut earliest = Instant::MAX;
        let mut next = None;
        for node in &self.links.candidates.nodes {
            if self.links.has_or_dials(*node) {
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
