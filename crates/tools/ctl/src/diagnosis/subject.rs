//! What all checks look at: the nodes' answers, and the newest record of each node.
use crate::mesh_client::{newest_records, MeshView, NodeAnswer};
use crate::wire::{NodeMetrics, NodeRecord, NodeState};
use std::collections::BTreeMap;

/// The mesh as its nodes see it.
pub(crate) struct Subject<'v> {
    view: &'v MeshView,
    /// The states of the nodes that answered, by their addresses.
    pub(crate) states: BTreeMap<String, &'v NodeState>,
    /// The newest record of each node, by its address.
    pub(crate) records: BTreeMap<String, NodeRecord<'v>>,
}

impl<'v> Subject<'v> {
    /// What these answers say.
    pub(crate) fn new(view: &'v MeshView) -> Self {
        let state = |answer: &'v NodeAnswer| answer.state.as_ref();
        let states =
            view.iter().filter_map(|(address, answer)| Some((address.to_string(), state(answer)?))).collect();
        Subject { view, states, records: newest_records(view) }
    }

    /// Nodes that did not answer, by their addresses.
    pub(crate) fn silent_nodes(&self) -> impl Iterator<Item = (String, &'v NodeAnswer)> {
        let silent = self.view.iter().filter(|(_, answer)| answer.state.is_none());
        silent.map(|(address, answer)| (address.to_string(), answer))
    }

    /// Records of nodes that are not gone, by their addresses.
    pub(crate) fn present_records(&self) -> impl Iterator<Item = (&String, NodeRecord<'v>)> {
        self.records.iter().map(|(address, record)| (address, *record)).filter(|(_, r)| !r.is_gone())
    }

    /// A node's metrics, if it answered.
    pub(crate) fn metrics(&self, address: &str) -> Option<&'v NodeMetrics> {
        self.view.get(&address.parse().ok()?)?.metrics.as_ref()
    }

    /// A node as operators know it: its address, and its name if it answered.
    pub(crate) fn name(&self, address: &str) -> String {
        match self.states.get(address) {
            Some(state) => format!("{address} ({})", state.name()),
            None => address.to_string(),
        }
    }
}
