//! What is heard of the nodes that this one watches. Data with the questions that it alone answers; the protocol of the
//! watchers stands in `watching`.
use crate::node::Node;
use crate::timing::HEARTBEAT_TIMEOUT;
use silvercross_time::{Duration, Instant};
use std::collections::BTreeMap;

/// What is heard of a watched node.
pub(crate) struct Watch {
    since: Instant,
    pub(crate) heard_at: Option<Instant>,
    pub(crate) suspicion: Option<Suspicion>,
}

/// The other watchers were asked about a silent node.
pub(crate) struct Suspicion {
    /// When the watchers' time, or that of the probe, is over.
    pub(crate) until: Instant,
    /// Watchers asked.
    pub(crate) asked: usize,
    /// Watchers that confirmed.
    pub(crate) confirmed: usize,
    /// A probe is under way.
    pub(crate) probing: bool,
}

impl Watch {
    pub(crate) fn new(now: Instant) -> Self {
        Watch { since: now, heard_at: None, suspicion: None }
    }

    /// When it was heard last, or the watch began.
    pub(crate) fn last_sign(&self) -> Instant {
        self.heard_at.map_or(self.since, |heard_at| heard_at.max(self.since))
    }

    pub(crate) fn is_silent(&self, now: Instant) -> bool {
        now - self.last_sign() > HEARTBEAT_TIMEOUT
    }

    /// Whether a probe of it is under way.
    pub(crate) fn is_probed(&self) -> bool {
        self.suspicion.as_ref().is_some_and(|suspicion| suspicion.probing)
    }

    /// When it has to be looked at.
    pub(crate) fn deadline(&self) -> Instant {
        match &self.suspicion {
            Some(suspicion) => suspicion.until,
            None => self.last_sign() + HEARTBEAT_TIMEOUT + Duration::from_micros(1),
        }
    }
}

/// This node's place on the ring.
pub(crate) struct Watches {
    /// Whom it watches.
    pub(crate) watched: BTreeMap<Node, Watch>,
    /// Who watches it.
    pub(crate) watchers: Vec<Node>,
    /// Nodes came or went since these were listed.
    pub(crate) ring_changed: bool,
    pub(crate) next_heartbeat_at: Instant,
}

impl Watches {
    pub(crate) fn new(next_heartbeat_at: Instant) -> Self {
        Watches { watched: BTreeMap::new(), watchers: Vec::new(), ring_changed: true, next_heartbeat_at }
    }

    /// A watched node was last heard at this moment, here or by another watcher.
    pub(crate) fn heard(&mut self, at: Instant, node: Node) {
        if let Some(watch) = self.watched.get_mut(&node) {
            watch.heard_at = watch.heard_at.max(Some(at));
            watch.suspicion = None;
        }
    }
}
