//! Counters of what this process does, and the connections it turned away.
use super::NodeState;
use slog::warn;
use std::cell::Cell;
use std::rc::Rc;

/// Plain counters; what each means is told in `docs/operators/mesh.md`.
#[derive(Default)]
pub struct Counters {
    /// Connections of clients now.
    pub client_connections: Cell<u64>,
    /// Connections of clients turned away for want of descriptors.
    pub rejected_clients: Cell<u64>,
    /// Connections of other sidecars' hops now.
    pub hop_connections: Cell<u64>,
    /// Of these, those on which no request is.
    pub idle_hop_connections: Cell<u64>,
    /// Those turned away beyond the bound.
    pub rejected_hops: Cell<u64>,
    /// Links on which nobody has said who they are.
    pub unidentified_links: Cell<u64>,
    /// Links turned away beyond the bounds.
    pub rejected_links: Cell<u64>,
    /// Connections for calls turned away beyond the bound.
    pub rejected_calls: Cell<u64>,
    /// Requests read.
    pub requests: Cell<u64>,
    /// Hops that broke after the request was written, and whose gate was asked what became of it.
    pub outcome_queries: Cell<u64>,
    /// Of these, those whose answer came after all, and those that were not begun for certain.
    pub recovered_requests: Cell<u64>,
    /// Requests that went on here after their origin's connection had broken.
    pub orphaned_requests: Cell<u64>,
    /// Requests told to come back for want of room for their bodies.
    pub rejected_for_memory: Cell<u64>,
    /// Requests told to come back.
    pub refused_requests: Cell<u64>,
    /// Requests that failed here after they may have run.
    pub failed_requests: Cell<u64>,
    /// Requests written to the upstream on this machine.
    pub delivered_requests: Cell<u64>,
    /// Requests that the gate turned away.
    pub rejected_by_gate: Cell<u64>,
    /// Beats taken.
    pub heartbeats: Cell<u64>,
    /// Operators' calls taken.
    pub control_calls: Cell<u64>,
    /// Of these, those that are not answered yet.
    pub open_control_calls: Cell<u64>,
    /// Parcels sent on links.
    pub frames_sent: Cell<u64>,
    /// Datagrams sent.
    pub datagrams_sent: Cell<u64>,
    /// Parcels and datagrams that are none of ours.
    pub foreign_messages: Cell<u64>,
}

/// Where connections are bounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionKind {
    /// Clients.
    Outbound,
    /// Hops of other sidecars.
    Inbound,
    /// Links of other sidecars.
    Link,
    /// Upstreams, operators, the platform.
    Call,
}

/// One more of something for as long as it lives.
pub struct GaugeGuard {
    node_state: Rc<NodeState>,
    of: fn(&Counters) -> &Cell<u64>,
}

impl GaugeGuard {
    /// Count it.
    pub fn new(node_state: &Rc<NodeState>, of: fn(&Counters) -> &Cell<u64>) -> Self {
        let cell = of(&node_state.counters);
        cell.set(cell.get() + 1);
        GaugeGuard { node_state: node_state.clone(), of }
    }
}

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        let cell = (self.of)(&self.node_state.counters);
        cell.set(cell.get().saturating_sub(1));
    }
}

impl NodeState {
    /// A connection was turned away: counted, and told now and then.
    pub fn reject_connection(&self, door: ConnectionKind) {
        let c = &self.counters;
        let (count, name) = match door {
            ConnectionKind::Outbound => (&c.rejected_clients, "outbound"),
            ConnectionKind::Inbound => (&c.rejected_hops, "inbound"),
            ConnectionKind::Link => (&c.rejected_links, "links"),
            ConnectionKind::Call => (&c.rejected_calls, "calls"),
        };
        count.set(count.get() + 1);
        if let Some(n) = self.paces[door as usize].due(self.now().as_micros()) {
            warn!(self.log, "connections shut out"; "at" => name, "count" => n);
        }
    }
}
