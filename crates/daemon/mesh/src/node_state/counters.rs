//! Counters of what this process does, and the connections it turned away.
use super::NodeState;
use slog::warn;
use std::cell::Cell;
use std::rc::Rc;

/// Plain counters; what each means is told in `docs/operators/mesh.md`.
#[derive(Default)]
pub struct Counts {
    /// Connections of clients now.
    pub clients: Cell<u64>,
    /// Connections of clients turned away for want of descriptors.
    pub shut_out: Cell<u64>,
    /// Connections of other sidecars' hops now.
    pub hops: Cell<u64>,
    /// Of these, those on which no request is.
    pub hops_idle: Cell<u64>,
    /// Those turned away beyond the bound.
    pub hops_shut_out: Cell<u64>,
    /// Links on which nobody has said who they are.
    pub greeting: Cell<u64>,
    /// Links turned away beyond the bounds.
    pub links_shut_out: Cell<u64>,
    /// Connections for calls turned away beyond the bound.
    pub calls_shut_out: Cell<u64>,
    /// Requests read.
    pub requests: Cell<u64>,
    /// Hops that broke after the request was written, and whose gate was asked what became of it.
    pub asked: Cell<u64>,
    /// Of these, those whose answer came after all, and those that were not begun for certain.
    pub recovered: Cell<u64>,
    /// Requests that went on here after their origin's connection had broken.
    pub orphans: Cell<u64>,
    /// Requests told to come back for want of room for their bodies.
    pub no_room: Cell<u64>,
    /// Requests told to come back.
    pub refused: Cell<u64>,
    /// Requests that failed here after they may have run.
    pub failed: Cell<u64>,
    /// Requests written to the upstream on this machine.
    pub delivered: Cell<u64>,
    /// Requests that the gate turned away.
    pub turned: Cell<u64>,
    /// Beats taken.
    pub beats: Cell<u64>,
    /// Operators' calls taken.
    pub calls: Cell<u64>,
    /// Of these, those that are not answered yet.
    pub calls_open: Cell<u64>,
    /// Parcels sent on links.
    pub letters: Cell<u64>,
    /// Datagrams sent.
    pub datagrams: Cell<u64>,
    /// Parcels and datagrams that are none of ours.
    pub strangers: Cell<u64>,
}

/// Where connections are bounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Door {
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
pub struct Counted {
    node_state: Rc<NodeState>,
    of: fn(&Counts) -> &Cell<u64>,
}

impl Counted {
    /// Count it.
    pub fn new(node_state: &Rc<NodeState>, of: fn(&Counts) -> &Cell<u64>) -> Self {
        let cell = of(&node_state.counts);
        cell.set(cell.get() + 1);
        Counted { node_state: node_state.clone(), of }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let cell = (self.of)(&self.node_state.counts);
        cell.set(cell.get().saturating_sub(1));
    }
}

impl NodeState {
    /// A connection was turned away: counted, and told now and then.
    pub fn shut_out(&self, door: Door) {
        let c = &self.counts;
        let (count, name) = match door {
            Door::Outbound => (&c.shut_out, "outbound"),
            Door::Inbound => (&c.hops_shut_out, "inbound"),
            Door::Link => (&c.links_shut_out, "links"),
            Door::Call => (&c.calls_shut_out, "calls"),
        };
        count.set(count.get() + 1);
        if let Some(n) = self.paces[door as usize].due(self.now()) {
            warn!(self.log, "connections shut out"; "at" => name, "count" => n);
        }
    }
}
