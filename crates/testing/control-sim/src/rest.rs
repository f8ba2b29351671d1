//! Whether all has come to rest: each key is owned by one node, all replicas have its content, and so has each process.

use crate::content::Items;
use crate::convert::observed;
use crate::error::Unrest;
use crate::node::SimulatedNode;
use crate::plan::key_name;
use crate::world::World;
use silvercross_control_store::{ControlStore, Member, ReplicaSet, Revision};

impl World {
    /// What is not at rest, if anything.
    pub fn unrest(&self) -> Option<Unrest> {
        let Some(set) = self.newest_replica_set().filter(|set| !set.is_joint()) else {
            return Some(Unrest::ReplicaSetChanges);
        };
        for node in set.members.iter().map(|member| member.node.0 as usize - 1) {
            let is_member = |store: &ControlStore<Items>| store.is_voter() && *store.replica_set() == set;
            if !self.nodes[node].store.as_ref().is_some_and(is_member) {
                return Some(Unrest::ReplicaOutsideSet { node, replica_set: set });
            }
        }
        (0..self.plan.keys).find_map(|key| self.unrest_of_key(key, &set))
    }

    fn unrest_of_key(&self, key: usize, set: &ReplicaSet) -> Option<Unrest> {
        let name = key_name(key);
        let owned: Vec<Revision> = self
            .nodes
            .iter()
            .filter_map(|node| node.store.as_ref())
            .flat_map(|store| store.owned_keys())
            .filter(|owned| owned.key == name)
            .map(|owned| owned.revision)
            .collect();
        let [newest] = owned[..] else { return Some(Unrest::OwnerCount { key: name, owners: owned.len() }) };
        let has_newest = |store: &ControlStore<Items>| {
            store.key_states().iter().any(|state| state.key == name && state.accepted == newest)
        };
        for Member { node: member, .. } in &set.members {
            let store = self.nodes[member.0 as usize - 1].store.as_ref();
            if !store.is_some_and(has_newest) {
                return Some(Unrest::ReplicaBehind { node_id: member.0, key: name });
            }
        }
        let newest = observed(newest);
        let is_behind = |node: &&SimulatedNode| {
            node.is_running() && node.revisions.get(&key).is_none_or(|known| *known < newest)
        };
        let node_ids: Vec<u32> = self.nodes.iter().filter(is_behind).map(|node| node.id).collect();
        (!node_ids.is_empty()).then_some(Unrest::NodesBehind { node_ids, key: name })
    }
}
