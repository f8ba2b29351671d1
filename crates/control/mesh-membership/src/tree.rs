//! The tree: whom a node has links to.
use crate::membership::Membership;
use crate::{Effect, Micros, Node, TreePosition};
use crate::{
    CONTROL_KEEPALIVE_INTERVAL, CONTROL_LINK_TIMEOUT, KEEPALIVE_INTERVAL, LINK_CONNECT_TIMEOUT,
    LINK_RETRY_DELAY, LINK_TIMEOUT, NEXT_DIAL_DELAY, PARENT_RETRY_DELAY, UNROOTED_PARENT_TIMEOUT,
};
use std::fmt::Debug;

/// Nodes in a path, and peers told of: longer lists are cut.
const LONGEST_PATH: usize = 32;
const MOST_PEERS: usize = 64;
/// Links of a side node that are being made at the same time.
const MOST_DIALS: usize = 3;
/// After so many tries in vain a node is tried less often.
const MANY_TRIES: u32 = 8;
/// A node is new for so long, and moves to its proper parent at once.
const NEW: Micros = 5_000_000;
const NEW_SETTLE: Micros = 300_000;

/// A link that is up.
pub(crate) struct Link {
    pub heard: Micros,
    /// Made from this side.
    pub mine: bool,
    pub pulse_at: Micros,
    pub greeted: bool,
    position: TreePosition,
}

impl Link {
    /// Where the other side stands; tells whether that is different.
    pub fn position(&mut self, mut position: TreePosition) -> bool {
        position.path.truncate(LONGEST_PATH);
        position.peers.truncate(MOST_PEERS);
        let changed = position != self.position;
        self.position = position;
        changed
    }

    /// Whether it has a way to the core that doesn't lead through `local_node`.
    fn rooted(&self, local_node: Node) -> bool {
        !self.position.path.is_empty() && !self.position.path.contains(&local_node)
    }

    /// Whether the other side, a core node, tells `to` itself.
    pub fn tells(&self, to: Node) -> bool {
        self.position.peers.contains(&to)
    }
}

/// A node that no link came about to.
pub(crate) struct Bad {
    pub until: Micros,
    tries: u32,
}

impl<T: Clone + PartialEq + Debug> Membership<T> {
    fn is_core(&self, node: Node) -> bool {
        self.places.control_nodes.contains_key(&node)
    }

    /// Where this node stands, as its neighbours are told.
    pub(crate) fn position(&self) -> TreePosition {
        let local_node = self.start.local_node;
        if self.start.is_control {
            let peers = self.links.iter().filter(|(node, link)| link.greeted && self.is_core(**node));
            let peers: Vec<Node> = peers.map(|(node, _)| *node).take(MOST_PEERS).collect();
            // One that reaches no more than half of the core hears no news: its children go elsewhere.
            let most = 2 * (peers.len() + 1) > self.core_known().len() + 1;
            return TreePosition {
                path: if most { vec![local_node] } else { Vec::new() },
                peers,
                full: false,
            };
        }
        let mut path = Vec::new();
        if let Some(link) = self.parent.and_then(|parent| self.links.get(&parent)) {
            if link.rooted(local_node) {
                path.push(local_node);
                path.extend(link.position.path.iter().take(LONGEST_PATH - 1));
            }
        }
        let children = self.links.len().saturating_sub(1);
        TreePosition { path, peers: Vec::new(), full: children > 2 * crate::TREE_FANOUT }
    }

    /// Core nodes that say of themselves that they reach most of the core, as far as is known here: the one at the end of
    /// this node's own way, or of a core node those that it is linked with.
    pub fn reachable_control_nodes(&self) -> Vec<Node> {
        if self.start.is_control {
            let local_node = self.start.local_node;
            let linked =
                self.links.iter().filter(|(node, link)| self.is_core(**node) && link.rooted(local_node));
            return linked.map(|(node, _)| *node).collect();
        }
        self.position().path.last().copied().into_iter().collect()
    }

    /// Tells its neighbours at once when its way to the core is lost or found again.
    pub(crate) fn tell_standing(&mut self) {
        let rooted = match self.start.is_control {
            true => !self.position().path.is_empty(),
            false => self.parent.is_some_and(|parent| self.rooted(parent)),
        };
        if rooted != self.told_rooted {
            self.told_rooted = rooted;
            let others: Vec<Node> = self.links.iter().filter(|l| l.1.greeted).map(|l| *l.0).collect();
            others.into_iter().for_each(|node| self.send_pulse(node, false));
        }
    }

    /// All other core nodes that it ever knew, those that are gone too.
    fn core_known(&self) -> Vec<Node> {
        let side = |node: &Node| self.record(*node).is_some_and(|record| !record.is_control && !record.gone);
        let mut known: Vec<Node> = self.places.control_nodes.keys().copied().collect();
        known.extend(self.further.iter());
        if known.iter().all(|node| *node == self.start.local_node) {
            // Nobody is known yet: those that the operator named.
            known.extend(self.start.seeds.iter());
        }
        known.sort_unstable();
        known.dedup();
        known.retain(|node| *node != self.start.local_node && !side(node));
        known
    }

    /// How often, and for how long at most, a link is silent.
    fn times(&self, node: Node) -> (Micros, Micros) {
        match self.start.is_control && self.is_core(node) {
            true => (CONTROL_KEEPALIVE_INTERVAL, CONTROL_LINK_TIMEOUT),
            false => (KEEPALIVE_INTERVAL, LINK_TIMEOUT),
        }
    }

    pub(crate) fn tree_link_up(&mut self, now: Micros, node: Node) {
        let dialled = self.dials.remove(&node).is_some();
        self.bad.remove(&node);
        let pulse = self.times(node).0;
        let link = self.links.entry(node).or_insert(Link {
            heard: now,
            mine: false,
            pulse_at: now + pulse,
            greeted: false,
            position: TreePosition::default(),
        });
        link.heard = now;
        link.mine |= dialled;
    }

    pub(crate) fn lose(&mut self, now: Micros, node: Node) {
        let link = self.links.remove(&node);
        let dialled = self.dials.remove(&node).is_some();
        self.check.lost(node);
        if link.is_none() && !dialled {
            return;
        }
        if self.parent == Some(node) {
            self.parent = None;
        }
        if dialled || link.is_some_and(|link| link.mine) {
            self.spurn(now, node, false);
        }
        self.steer(now);
    }

    /// Leaves a node alone for a while.
    fn spurn(&mut self, now: Micros, node: Node, useless: bool) {
        let tries = self.bad.get(&node).map_or(0, |bad| bad.tries);
        let wait = match (self.start.is_control, self.parent) {
            (false, Some(_)) => PARENT_RETRY_DELAY,
            _ if useless => PARENT_RETRY_DELAY,
            _ if tries < MANY_TRIES => LINK_RETRY_DELAY,
            _ => 2 * LINK_RETRY_DELAY,
        };
        self.bad.insert(node, Bad { until: now + wait, tries: tries.saturating_add(1) });
    }

    fn dial(&mut self, now: Micros, node: Node) {
        self.dials.insert(node, now);
        self.last_dial = now;
        self.out.push(Effect::OpenLink { to: node });
    }

    fn drop_link(&mut self, node: Node) {
        self.links.remove(&node);
        self.dials.remove(&node);
        self.check.lost(node);
        self.out.push(Effect::CloseLink { to: node });
    }

    /// Gives up links that are silent or don't come up, and sends pulses.
    pub(crate) fn tend_links(&mut self, now: Micros) {
        let silent = self.links.iter().filter(|(node, link)| now - link.heard > self.times(**node).1);
        let late = self.dials.iter().filter(|(_, since)| now - **since >= LINK_CONNECT_TIMEOUT);
        let lost: Vec<Node> = silent.map(|(node, _)| *node).chain(late.map(|(node, _)| *node)).collect();
        for node in lost {
            self.out.push(Effect::CloseLink { to: node });
            self.lose(now, node);
        }
        let due: Vec<Node> = self
            .links
            .iter()
            .filter(|(node, link)| now >= link.pulse_at && self.pulses(**node, link))
            .map(|(node, _)| *node)
            .collect();
        for node in due {
            let pulse = self.times(node).0;
            if let Some(link) = self.links.get_mut(&node) {
                link.pulse_at = now + pulse;
            }
            self.send_pulse(node, true);
        }
    }

    /// Whether this side keeps the link alive.
    fn pulses(&self, node: Node, link: &Link) -> bool {
        if self.start.is_control && self.is_core(node) {
            self.start.local_node < node
        } else {
            link.mine || self.parent == Some(node)
        }
    }

    pub(crate) fn links_due(&self) -> Micros {
        let links = self.links.iter().map(|(node, link)| {
            let silent = link.heard + self.times(*node).1 + 1;
            if self.pulses(*node, link) {
                silent.min(link.pulse_at)
            } else {
                silent
            }
        });
        let dials = self.dials.values().map(|since| since + LINK_CONNECT_TIMEOUT);
        links.chain(dials).min().unwrap_or(Micros::MAX)
    }

    /// Sees to it that the links are those that should be.
    pub(crate) fn steer(&mut self, now: Micros) {
        let moved = std::mem::take(&mut self.moved);
        self.steer_at = Micros::MAX;
        if self.own().is_none_or(|own| own.gone) {
            return;
        }
        if self.start.is_control {
            self.steer_core(now);
            return;
        }
        if moved {
            let mut further = self.further.clone();
            further.extend(self.start.seeds.iter());
            let side =
                |node: &Node| self.record(*node).is_some_and(|record| !record.is_control && !record.gone);
            further.retain(|node| !side(node));
            self.candidates = self.places.candidates(self.start.local_node, &self.start.zone, &further);
        }
        self.choose(now);
        self.search(now);
    }

    fn rooted(&self, node: Node) -> bool {
        self.links.get(&node).is_some_and(|link| link.greeted && link.rooted(self.start.local_node))
    }

    fn fits(&self, parent: Node) -> bool {
        let full = self.links.get(&parent).is_some_and(|link| link.position.full);
        let proper = self.candidates.nodes.first() == Some(&parent);
        proper || (!full && self.places.fits(self.start.local_node, &self.start.zone, parent))
    }

    /// Takes the best of the links that are up for the parent's.
    fn choose(&mut self, now: Micros) {
        let greeted = |node: &Node| self.links.get(node).is_some_and(|link| link.greeted);
        let ranked = self.candidates.nodes.iter().enumerate().filter(|(_, node)| greeted(node));
        let ranked: Vec<(usize, Node)> = ranked.map(|(place, node)| (place, *node)).collect();
        let rooted = ranked.iter().find(|(_, node)| self.rooted(*node));
        let unrooted = ranked.iter().find(|(place, _)| *place < self.candidates.lower);
        let place =
            |node| self.candidates.nodes.iter().position(|other| *other == node).unwrap_or(usize::MAX);
        let chosen = match self.parent {
            Some(parent) if self.rooted(parent) && self.fits(parent) => Some(parent),
            Some(parent) if self.rooted(parent) => match rooted {
                Some((at, node)) if *at < place(parent) => Some(*node),
                _ => Some(parent),
            },
            parent => {
                let kept = parent.filter(|parent| place(*parent) < self.candidates.lower);
                rooted.map(|found| found.1).or(kept).or(unrooted.map(|found| found.1))
            }
        };
        if chosen != self.parent {
            self.parent = chosen;
            self.metrics.parent_changes += u64::from(chosen.is_some());
            self.unfit_since = None;
            self.unrooted_since = None;
            if let Some(link) = chosen.and_then(|chosen| self.links.get_mut(&chosen)) {
                link.pulse_at = link.pulse_at.min(now + KEEPALIVE_INTERVAL);
            }
        }
    }

    /// Makes links to better parents, and drops those that are of no use.
    fn search(&mut self, now: Micros) {
        let Some(parent) = self.parent else {
            self.search_further(now);
            return;
        };
        if !self.rooted(parent) {
            let since = *self.unrooted_since.get_or_insert(now);
            if now < since + UNROOTED_PARENT_TIMEOUT {
                self.steer_at = since + UNROOTED_PARENT_TIMEOUT;
            } else {
                self.search_further(now);
            }
            return;
        }
        self.unrooted_since = None;
        let proper = self.candidates.nodes.first().copied();
        let fits = self.fits(parent);
        let keep = |node: Node| Some(node) == self.parent || (!fits && Some(node) == proper);
        let mine = self.links.iter().filter(|(_, link)| link.mine).map(|(node, _)| *node);
        let idle: Vec<Node> = mine.chain(self.dials.keys().copied()).filter(|node| !keep(*node)).collect();
        idle.into_iter().for_each(|node| self.drop_link(node));
        let Some(proper) = proper.filter(|_| !fits) else {
            self.unfit_since = None;
            return;
        };
        let since = *self.unfit_since.get_or_insert(now);
        let settle = if now - self.began < NEW { NEW_SETTLE } else { PARENT_RETRY_DELAY };
        let not_before = self.bad.get(&proper).map_or(0, |bad| bad.until).max(since + settle);
        if self.dials.contains_key(&proper) {
            // Its outcome, or the end of its time, leads back here.
        } else if now < not_before {
            self.steer_at = not_before;
        } else if self.links.contains_key(&proper) {
            self.spurn_unrooted(now, proper);
            self.steer_at = now + PARENT_RETRY_DELAY;
        } else {
            self.dial(now, proper);
        }
    }

    fn spurn_unrooted(&mut self, now: Micros, node: Node) {
        if self.links.get(&node).is_some_and(|link| link.greeted) {
            self.spurn(now, node, true);
            if self.links.get(&node).is_some_and(|link| link.mine) {
                self.drop_link(node);
            }
        }
    }

    /// There is no way to the core: goes through all that could have one, a few at a time.
    fn search_further(&mut self, now: Micros) {
        let useless: Vec<Node> = self
            .links
            .iter()
            .filter(|(node, link)| link.mine && link.greeted && Some(**node) != self.parent)
            .map(|(node, _)| *node)
            .filter(|node| !self.rooted(*node))
            .collect();
        useless.into_iter().for_each(|node| self.spurn_unrooted(now, node));
        let mut soonest = Micros::MAX;
        let mut next = None;
        for node in &self.candidates.nodes {
            if self.links.contains_key(node) || self.dials.contains_key(node) {
                continue;
            }
            match self.bad.get(node).filter(|bad| bad.until > now) {
                Some(bad) => soonest = soonest.min(bad.until),
                None => {
                    next = Some(*node);
                    break;
                }
            }
        }
        if self.dials.len() >= MOST_DIALS {
            return;
        }
        if let Some(node) = next {
            if self.dials.is_empty() || now >= self.last_dial + NEXT_DIAL_DELAY {
                self.dial(now, node);
            }
            soonest = self.last_dial + NEXT_DIAL_DELAY;
        }
        self.steer_at = soonest.max(now + 1);
    }

    /// A core node has links to all others that it ever knew.
    fn steer_core(&mut self, now: Micros) {
        let local_node = self.start.local_node;
        let side = |node: &Node| self.record(*node).is_some_and(|record| !record.is_control && !record.gone);
        let mut targets = self.core_known();
        targets.extend(self.start.seeds.iter().filter(|node| **node != local_node && !side(node)));
        targets.sort_unstable();
        targets.dedup();
        let useless: Vec<Node> =
            self.links.iter().filter(|(node, link)| link.mine && side(node)).map(|(node, _)| *node).collect();
        useless.into_iter().for_each(|node| self.drop_link(node));
        for node in targets {
            if self.links.contains_key(&node) || self.dials.contains_key(&node) {
                continue;
            }
            // The higher one waits a moment for the other's link.
            let wait = if node < local_node { NEXT_DIAL_DELAY } else { 0 };
            let until = self.bad.entry(node).or_insert(Bad { until: now + wait, tries: 0 }).until;
            if now >= until {
                self.dial(now, node);
            } else {
                self.steer_at = self.steer_at.min(until);
            }
        }
    }
}
