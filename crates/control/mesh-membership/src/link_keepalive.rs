//! Link lifecycle: opening, keep-alives, time-outs and back-off. The selection of links is in `relay_tree`
//! and `control_links`.
use crate::effect::Effect;
use crate::link::{FailedDial, Link};
use crate::membership::Membership;
use crate::node::Node;
use crate::timing::{CONTROL_KEEPALIVE_INTERVAL, CONTROL_LINK_TIMEOUT, KEEPALIVE_INTERVAL, LINK_TIMEOUT};
use crate::timing::{LINK_CONNECT_TIMEOUT, LINK_RETRY_DELAY, PARENT_RETRY_DELAY};
use silvercross_time::{Duration, Instant};
use std::fmt::Debug;

/// After this many failed attempts a node is dialled less often.
const MAX_FREQUENT_ATTEMPTS: u32 = 8;
/// Times have microsecond resolution: a link counts as silent one microsecond after its time-out.
const ONE_MICROSECOND: Duration = Duration::from_micros(1);

/// Keep-alive interval and time-out of a link.
struct LinkTiming {
    keepalive_interval: Duration,
    timeout: Duration,
}

/// Why dialling a node is delayed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum DialFailure {
    /// The link went down or could not be opened.
    NoLink,
    /// The link came up, but the node has no path to a control node.
    Unrooted,
}

impl<T: Clone + PartialEq + Debug> Membership<T> {
    fn link_timing(&self, node: Node) -> LinkTiming {
        if self.config.is_control && self.placement.is_control(node) {
            LinkTiming { keepalive_interval: CONTROL_KEEPALIVE_INTERVAL, timeout: CONTROL_LINK_TIMEOUT }
        } else {
            LinkTiming { keepalive_interval: KEEPALIVE_INTERVAL, timeout: LINK_TIMEOUT }
        }
    }

    /// Registers an established link; there may already be one opened by the other side.
    pub(crate) fn add_link(&mut self, now: Instant, node: Node) {
        let dialled = self.links.dials.remove(&node).is_some();
        self.links.failed.remove(&node);
        let next_keepalive_at = now + self.link_timing(node).keepalive_interval;
        let link = self.links.up.entry(node).or_insert(Link::new(now, next_keepalive_at));
        link.connection_changed();
        link.heard_at = now;
        link.is_outgoing |= dialled;
    }

    /// Handles a link that went down or could not be opened.
    pub(crate) fn handle_link_down(&mut self, now: Instant, node: Node) {
        let link = self.links.up.remove(&node);
        let dialled = self.links.dials.remove(&node).is_some();
        self.check.link_lost(node);
        if link.is_none() && !dialled {
            return;
        }
        if self.links.parent == Some(node) {
            self.links.parent = None;
        }
        if dialled || link.is_some_and(|link| link.is_outgoing) {
            self.back_off(now, node, DialFailure::NoLink);
        }
        self.choose_links(now);
    }

    /// Delays the next dial of a node.
    pub(crate) fn back_off(&mut self, now: Instant, node: Node, failure: DialFailure) {
        let attempts = self.links.failed.get(&node).map_or(0, |failed| failed.attempts);
        let has_parent = !self.config.is_control && self.links.parent.is_some();
        let delay = if has_parent || failure == DialFailure::Unrooted {
            PARENT_RETRY_DELAY
        } else if attempts < MAX_FREQUENT_ATTEMPTS {
            LINK_RETRY_DELAY
        } else {
            LINK_RETRY_DELAY * 2
        };
        let failed = FailedDial { retry_at: now + delay, attempts: attempts.saturating_add(1) };
        self.links.failed.insert(node, failed);
    }

    /// Starts to open a link.
    pub(crate) fn dial(&mut self, now: Instant, node: Node) {
        self.links.dials.insert(node, now);
        self.links.last_dial_at = now;
        self.effects.push(Effect::OpenLink { to: node });
    }

    /// Closes a link that is not needed, or stops opening it.
    pub(crate) fn close_link(&mut self, node: Node) {
        self.links.up.remove(&node);
        self.links.dials.remove(&node);
        self.check.link_lost(node);
        self.effects.push(Effect::CloseLink { to: node });
    }

    /// Closes links that timed out, and sends keep-alives that are due.
    pub(crate) fn maintain_links(&mut self, now: Instant) {
        let silent = self
            .links
            .up
            .iter()
            .filter(|(node, link)| now - link.heard_at > self.link_timing(**node).timeout);
        let late = self.links.dials.iter().filter(|(_, since)| now - **since >= LINK_CONNECT_TIMEOUT);
        let lost: Vec<Node> = silent.map(|(node, _)| *node).chain(late.map(|(node, _)| *node)).collect();
        for node in lost {
            self.effects.push(Effect::CloseLink { to: node });
            self.handle_link_down(now, node);
        }
        let due = self
            .links
            .up
            .iter()
            .filter(|(node, link)| now >= link.next_keepalive_at && self.sends_keepalives(**node, link));
        let due: Vec<Node> = due.map(|(node, _)| *node).collect();
        for node in due {
            let interval = self.link_timing(node).keepalive_interval;
            if let Some(link) = self.links.up.get_mut(&node) {
                link.next_keepalive_at = now + interval;
            }
            self.send_keepalive(node, true);
        }
    }

    /// Whether this side sends the keep-alives of the link.
    fn sends_keepalives(&self, node: Node, link: &Link) -> bool {
        if self.config.is_control && self.placement.is_control(node) {
            self.config.local_node < node
        } else {
            link.is_outgoing || self.links.parent == Some(node)
        }
    }

    /// When a link next needs attention.
    pub(crate) fn links_deadline(&self) -> Instant {
        let up = self.links.up.iter().map(|(node, link)| {
            let silent_at = link.heard_at + self.link_timing(*node).timeout + ONE_MICROSECOND;
            if self.sends_keepalives(*node, link) {
                silent_at.min(link.next_keepalive_at)
            } else {
                silent_at
            }
        });
        let dials = self.links.dials.values().map(|since| *since + LINK_CONNECT_TIMEOUT);
        up.chain(dials).min().unwrap_or(Instant::MAX)
    }
}
