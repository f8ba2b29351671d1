//! Counters and gauges of one process. Independent of what they count.
use std::cell::Cell;
use std::rc::Rc;

/// Counters since the start, and gauges. Their outward names are described in `docs/operators/mesh.md`.
#[derive(Default)]
pub(crate) struct Counters {
    /// Gauge of client connections.
    pub(crate) client_connections: Cell<u64>,
    /// Gauge of requests of clients, each from its first byte until its connection is closed or free for another.
    pub(crate) open_requests: Cell<u64>,
    /// Client connections rejected because of the limit on file descriptors.
    pub(crate) rejected_clients: Cell<u64>,
    /// Gauge of connections from other sidecars.
    pub(crate) hop_connections: Cell<u64>,
    /// Of these, connections without an open request.
    pub(crate) idle_hop_connections: Cell<u64>,
    /// Gauge of requests of other sidecars, each from its first byte until its response is written.
    pub(crate) open_hop_requests: Cell<u64>,
    /// Connections from other sidecars rejected because of the limit.
    pub(crate) rejected_hops: Cell<u64>,
    /// Gauge of links whose first frame has not been received.
    pub(crate) unidentified_links: Cell<u64>,
    /// Links rejected because of the limits.
    pub(crate) rejected_links: Cell<u64>,
    /// Connections for control calls rejected because of the limit.
    pub(crate) rejected_calls: Cell<u64>,
    /// Requests read.
    pub(crate) requests: Cell<u64>,
    /// Connections to other sidecars that failed after the request was written. The other sidecar was asked
    /// for the outcome.
    pub(crate) outcome_queries: Cell<u64>,
    /// Of these, requests whose response was received after all, and those that certainly had not started.
    pub(crate) recovered_requests: Cell<u64>,
    /// Requests that continued here after the connection from their origin had failed.
    pub(crate) orphaned_requests: Cell<u64>,
    /// Requests rejected because of the memory limit for bodies.
    pub(crate) rejected_for_memory: Cell<u64>,
    /// Requests rejected with a retry time.
    pub(crate) refused_requests: Cell<u64>,
    /// Requests that failed here after they may have run.
    pub(crate) failed_requests: Cell<u64>,
    /// Requests written to the upstream on this machine.
    pub(crate) delivered_requests: Cell<u64>,
    /// Requests that admission at the upstream rejected.
    pub(crate) rejected_by_gate: Cell<u64>,
    /// Heartbeats received from the upstream.
    pub(crate) heartbeats: Cell<u64>,
    /// Heartbeats that arrived after the departure of their upstream and did not report it.
    pub(crate) heartbeats_after_departure: Cell<u64>,
    /// Departures that were not acknowledged because no other node confirmed them in time.
    pub(crate) unconfirmed_departures: Cell<u64>,
    /// Operators' calls that were given up because their caller had left.
    pub(crate) abandoned_calls: Cell<u64>,
    /// Orders that were not carried out because no majority confirmed them, or a newer one may have been acknowledged.
    pub(crate) unsettled_orders: Cell<u64>,
    /// Orders that may have been older than an acknowledged one, so that their callers were asked again.
    pub(crate) orders_asked_again: Cell<u64>,
    /// Operators' calls that request a change.
    pub(crate) control_calls: Cell<u64>,
    /// Gauge of calls of all kinds, each from its first byte until its response is written.
    pub(crate) open_control_calls: Cell<u64>,
    /// Frames sent on links.
    pub(crate) frames_sent: Cell<u64>,
    /// Datagrams sent.
    pub(crate) datagrams_sent: Cell<u64>,
    /// Frames and datagrams that no node of this mesh sends.
    pub(crate) foreign_messages: Cell<u64>,
}

impl Counters {
    /// Counts a message that no node of this mesh sends.
    pub(crate) fn count_foreign_message(&self) {
        self.foreign_messages.set(self.foreign_messages.get() + 1);
    }
}

/// A kind of connections with its own limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionKind {
    /// From clients.
    Outbound,
    /// From other sidecars, for requests.
    Inbound,
    /// Links from other nodes.
    Link,
    /// Control calls from upstreams, operators and the platform.
    Call,
}

impl ConnectionKind {
    /// The number of variants.
    pub(crate) const COUNT: usize = 4;

    /// The name in the log.
    pub(crate) fn name(self) -> &'static str {
        match self {
            ConnectionKind::Outbound => "outbound",
            ConnectionKind::Inbound => "inbound",
            ConnectionKind::Link => "links",
            ConnectionKind::Call => "calls",
        }
    }
}

/// Increments a gauge for as long as it lives.
pub(crate) struct GaugeGuard {
    counters: Rc<Counters>,
    gauge: fn(&Counters) -> &Cell<u64>,
}

impl GaugeGuard {
    /// Increments the gauge.
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
