//! Counters and gauges of one process. Knows nothing of what it counts.
use std::cell::Cell;
use std::rc::Rc;

/// Counters since the start, and gauges. How operators see each is in `docs/operators/mesh.md`.
#[derive(Default)]
pub(crate) struct Counters {
    /// Connections of clients now.
    pub(crate) client_connections: Cell<u64>,
    /// Connections of clients rejected for want of descriptors.
    pub(crate) rejected_clients: Cell<u64>,
    /// Connections of other sidecars now.
    pub(crate) hop_connections: Cell<u64>,
    /// Of these, those on which no request is.
    pub(crate) idle_hop_connections: Cell<u64>,
    /// Those rejected beyond the limit.
    pub(crate) rejected_hops: Cell<u64>,
    /// Links without a first frame.
    pub(crate) unidentified_links: Cell<u64>,
    /// Links rejected beyond the limits.
    pub(crate) rejected_links: Cell<u64>,
    /// Connections for control calls rejected beyond the limit.
    pub(crate) rejected_calls: Cell<u64>,
    /// Requests read.
    pub(crate) requests: Cell<u64>,
    /// Connections to other sidecars that broke after the request was written; the other sidecar was asked what became of it.
    pub(crate) outcome_queries: Cell<u64>,
    /// Of these, those whose response came after all, and those that were not begun for certain.
    pub(crate) recovered_requests: Cell<u64>,
    /// Requests that went on here after their origin's connection had broken.
    pub(crate) orphaned_requests: Cell<u64>,
    /// Requests rejected for want of memory for their bodies.
    pub(crate) rejected_for_memory: Cell<u64>,
    /// Requests rejected with a time to retry.
    pub(crate) refused_requests: Cell<u64>,
    /// Requests that failed here after they may have run.
    pub(crate) failed_requests: Cell<u64>,
    /// Requests written to the upstream on this machine.
    pub(crate) delivered_requests: Cell<u64>,
    /// Requests that admission at the upstream rejected.
    pub(crate) rejected_by_gate: Cell<u64>,
    /// Heartbeats of the upstream taken.
    pub(crate) heartbeats: Cell<u64>,
    /// Operators' calls taken.
    pub(crate) control_calls: Cell<u64>,
    /// Of these, those that are not answered yet.
    pub(crate) open_control_calls: Cell<u64>,
    /// Frames sent on links.
    pub(crate) frames_sent: Cell<u64>,
    /// Datagrams sent.
    pub(crate) datagrams_sent: Cell<u64>,
    /// Frames and datagrams that no node of this mesh sends.
    pub(crate) foreign_messages: Cell<u64>,
}

impl Counters {
    /// Something came that no node of this mesh sends.
    pub(crate) fn count_foreign_message(&self) {
        self.foreign_messages.set(self.foreign_messages.get() + 1);
    }
}

/// Where connections are limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionKind {
    /// Clients.
    Outbound,
    /// Requests of other sidecars.
    Inbound,
    /// Links of other nodes.
    Link,
    /// Upstreams, operators, the platform.
    Call,
}

impl ConnectionKind {
    /// How many kinds there are.
    pub(crate) const COUNT: usize = 4;

    /// Its name in the log.
    pub(crate) fn name(self) -> &'static str {
        match self {
            ConnectionKind::Outbound => "outbound",
            ConnectionKind::Inbound => "inbound",
            ConnectionKind::Link => "links",
            ConnectionKind::Call => "calls",
        }
    }
}

/// One more of something for as long as this lives.
pub(crate) struct GaugeGuard {
    counters: Rc<Counters>,
    gauge: fn(&Counters) -> &Cell<u64>,
}

impl GaugeGuard {
    /// Count it.
    pub(crate) fn new(counters: &Rc<Counters>, gauge: fn(&Counters) -> &Cell<u64>) -> Self {
        let cell = gauge(counters);
        cell.set(cell.get() + 1);
        GaugeGuard { counters: counters.clone(), gauge }
    }
}

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        let cell = (self.gauge)(&self.counters);
        cell.set(cell.get().saturating_sub(1));
    }
}
