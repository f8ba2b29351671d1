//! Links of a control node: one to every other control node it has known, as any may come back. Which of them make a majority
//! is in `control_quorum`. For sidecars see `relay_tree`.
use crate::link::FailedDial;
use crate::membership::Membership;
use crate::node::Node;
use crate::timing::NEXT_DIAL_DELAY;
use silvercross_time::{Duration, Instant};
use std::fmt::Debug;

impl<T: Clone + PartialEq + Debug> Membership<T> {
    /// All other control nodes known now or earlier, including those that are gone.
    pub(crate) fn other_control_nodes(&self) -> Vec<Node> {
        let local_node = self.config.local_node;
        let mut known: Vec<Node> = self.placement.control_nodes().keys().copied().collect();
        known.extend(self.links.former_control_nodes.iter());
        if known.iter().all(|node| *node == local_node) {
            // No other control node is known yet: falls back to the configured seeds.
            known.extend(self.config.seeds.iter());
        }
        known.sort_unstable();
        known.dedup();
        known.retain(|node| *node != local_node && !self.is_known_sidecar(*node));
        known
    }

    /// Dials control nodes that are not linked, and closes links to nodes that turned out to be sidecars.
    pub(crate) fn choose_control_links(&mut self, now: Instant) {
        let local_node = self.config.local_node;
        let mut targets = self.other_control_nodes();
        let seeds = self.config.seeds.iter();
        targets.extend(seeds.filter(|node| **node != local_node && !self.is_known_sidecar(**node)));
        targets.sort_unstable();
        targets.dedup();
        let sidecars = self.links.up.iter().filter(|(_, link)| link.is_outgoing).map(|(node, _)| *node);
        let sidecars: Vec<Node> = sidecars.filter(|node| self.is_known_sidecar(*node)).collect();
        sidecars.into_iter().for_each(|node| self.close_link(node));
        for node in targets {
            if self.links.is_linked_or_dialling(node) {
                continue;
            }
            // The higher node first waits briefly for a link opened by the lower one.
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
