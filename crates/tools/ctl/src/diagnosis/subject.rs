//! What all checks look at: the nodes' answers, and the newest record of each node.
use crate::mesh_client::{newest_records, MeshView, NodeAnswer};
use crate::wire::{NodeMetrics, NodeRecord, NodeState};
use std::collections::BTreeMap;

/// A node that did not answer.
pub(crate) struct SilentNode<'v> {
    /// Its address.
    pub(crate) address: String,
    /// What its call brought.
    pub(crate) answer: &'v NodeAnswer,
}

/// A node that is not gone, by its newest record.
#[derive(Clone, Copy)]
pub(crate) struct PresentNode<'s, 'v> {
    /// Its address.
    pub(crate) address: &'s str,
    /// Its newest record.
    pub(crate) record: NodeRecord<'v>,
}

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

    /// Nodes that did not answer.
    pub(crate) fn silent_nodes(&self) -> impl Iterator<Item = SilentNode<'v>> {
        let silent = self.view.iter().filter(|(_, answer)| answer.state.is_none());
        silent.map(|(address, answer)| SilentNode { address: address.to_string(), answer })
    }

    /// Nodes that are not gone.
    pub(crate) fn present_nodes(&self) -> impl Iterator<Item = PresentNode<'_, 'v>> {
        let present = self.records.iter().filter(|(_, record)| !record.is_gone());
        present.map(|(address, record)| PresentNode { address, record: *record })
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
