//! State of failure detection. The protocol is in `watching`.
use crate::node::Node;
use crate::timing::HEARTBEAT_TIMEOUT;
use silvercross_time::{Duration, Instant};
use std::collections::BTreeMap;

/// State of a monitored node.
pub(crate) struct Watch {
    started_at: Instant,
    pub(crate) heard_at: Option<Instant>,
    pub(crate) suspicion: Option<Suspicion>,
}

/// A pending query to the other watchers about a silent node.
pub(crate) struct Suspicion {
    /// End of the time to wait for replies, or for the probe.
    pub(crate) deadline: Instant,
    /// Number of watchers queried.
    pub(crate) queried: usize,
    /// Number of watchers that confirmed the suspicion.
    pub(crate) confirmations: usize,
    /// Whether a probe is running.
    pub(crate) probing: bool,
}

impl Watch {
    pub(crate) fn new(now: Instant) -> Self {
        Watch { started_at: now, heard_at: None, suspicion: None }
    }

    /// When the node was last heard, or else when monitoring started.
    pub(crate) fn last_activity(&self) -> Instant {
        self.heard_at.map_or(self.started_at, |heard_at| heard_at.max(self.started_at))
    }

    pub(crate) fn is_silent(&self, now: Instant) -> bool {
        now - self.last_activity() > HEARTBEAT_TIMEOUT
    }

    /// Whether a probe of the node is running.
    pub(crate) fn is_probed(&self) -> bool {
        self.suspicion.as_ref().is_some_and(|suspicion| suspicion.probing)
    }

    /// When the node next needs attention.
    pub(crate) fn deadline(&self) -> Instant {
        match &self.suspicion {
            Some(suspicion) => suspicion.deadline,
            None => self.last_activity() + HEARTBEAT_TIMEOUT + Duration::from_micros(1),
        }
    }
}

/// This node's neighbours on the ring.
pub(crate) struct Watches {
    /// Nodes monitored by this one.
    pub(crate) watched: BTreeMap<Node, Watch>,
    /// Nodes that monitor this one.
    pub(crate) watchers: Vec<Node>,
    /// Nodes have come or gone since these were listed.
    pub(crate) ring_changed: bool,
    pub(crate) next_heartbeat_at: Instant,
}

impl Watches {
    pub(crate) fn new(next_heartbeat_at: Instant) -> Self {
        Watches { watched: BTreeMap::new(), watchers: Vec::new(), ring_changed: true, next_heartbeat_at }
    }

    /// Records when a monitored node was last heard, here or by another watcher.
    pub(crate) fn heard(&mut self, at: Instant, node: Node) {
        if let Some(watch) = self.watched.get_mut(&node) {
            watch.heard_at = watch.heard_at.max(Some(at));
            watch.suspicion = None;
        }
    }
}
