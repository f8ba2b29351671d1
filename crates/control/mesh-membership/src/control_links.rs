//! The links of a control node: one to each other control node that it ever knew. Sidecars choose theirs in `relay_tree`.
use crate::link::FailedDial;
use crate::membership::Membership;
use crate::node::Node;
use crate::timing::NEXT_DIAL_DELAY;
use silvercross_time::{Duration, Instant};
use std::fmt::Debug;

impl<T: Clone + PartialEq + Debug> Membership<T> {
    /// All other control nodes that it ever knew, those that are gone too.
    pub(crate) fn other_control_nodes(&self) -> Vec<Node> {
        let local_node = self.config.local_node;
        let mut known: Vec<Node> = self.placement.control_nodes().keys().copied().collect();
        known.extend(self.links.former_control_nodes.iter());
        if known.iter().all(|node| *node == local_node) {
            // Nobody is known yet: those that the operator named.
            known.extend(self.config.seeds.iter());
        }
        known.sort_unstable();
        known.dedup();
        known.retain(|node| *node != local_node && !self.is_known_sidecar(*node));
        known
    }

    /// Dials the control nodes to which there is no link, and drops links to sidecars that were taken for control nodes.
    pub(crate) fn choose_control_links(&mut self, now: Instant) {
        let local_node = self.config.local_node;
        let mut targets = self.other_control_nodes();
        let seeds = self.config.seeds.iter();
        targets.extend(seeds.filter(|node| **node != local_node && !self.is_known_sidecar(**node)));
        targets.sort_unstable();
        targets.dedup();
        let useless = self.links.up.iter().filter(|(_, link)| link.dialled_here).map(|(node, _)| *node);
        let useless: Vec<Node> = useless.filter(|node| self.is_known_sidecar(*node)).collect();
        useless.into_iter().for_each(|node| self.drop_link(node));
        for node in targets {
            if self.links.has_or_dials(node) {
                continue;
            }
            // The higher one waits a moment for the other's link.
            let delay = if node < local_node { NEXT_DIAL_DELAY } else { Duration::ZERO };
            let first = FailedDial { retry_at: now + delay, attempts: 0 };
            let retry_at = self.links.failed.entry(node).or_insert(first).retry_at;
            if now >= retry_at {
                self.dial(now, node);
            } else {
                self.links.next_choice_at = self.links.next_choice_at.min(retry_at);
            }
        }
    }
}
