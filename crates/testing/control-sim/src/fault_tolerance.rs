//! Which losses of disks the control state has to bear: fewer than half of the replicas at a time, counted in each replica
//! set that may still decide.

use crate::node::SimulatedNode;
use crate::world::World;
use silvercross_control_store::{Member, Node, ReplicaSet};

impl World {
    /// The newest replica set that anybody knows of.
    pub fn newest_replica_set(&self) -> Option<ReplicaSet> {
        self.known_replica_sets().into_iter().max_by_key(|set| set.version)
    }

    fn known_replica_sets(&self) -> Vec<ReplicaSet> {
        let known = |node: &SimulatedNode| {
            let stored = node.storage.stored.metadata.as_ref().map(|metadata| metadata.replica_set.clone());
            stored.into_iter().chain(node.store.as_ref().map(|store| store.replica_set().clone()))
        };
        self.nodes[..self.control_node_count()].iter().flat_map(known).collect()
    }

    /// Whether a node is a replica for whose loss a spare control node is left.
    pub(crate) fn is_replaceable(&self, node: usize) -> bool {
        let newest = self.newest_replica_set();
        let is_replica =
            |index: usize| newest.as_ref().is_none_or(|set| set.contains(Node(self.nodes[index].id)));
        let control_nodes = 0..self.control_node_count();
        let lost = control_nodes
            .clone()
            .filter(|index| is_replica(*index) && self.nodes[*index].is_destroyed)
            .count();
        let spare =
            control_nodes.filter(|index| !is_replica(*index) && !self.nodes[*index].is_destroyed).count();
        is_replica(node) && spare > lost
    }

    /// Whether a control node's disk has a replica set at least as new as this version.
    fn has_stored_set(&self, id: u32, version: u64) -> bool {
        let node = &self.nodes[id as usize - 1];
        let metadata = node.storage.stored.metadata.as_ref();
        !node.is_destroyed && metadata.is_some_and(|metadata| metadata.replica_set.version >= version)
    }

    /// Whether the loss of this disk is one of those that are to be borne: with those that are lost already and not
    /// repaired or replaced yet it is under half, in the newest replica set that is in force (more than half of its replicas
    /// have it on disk) and in each that anybody knows of beyond it.
    pub(crate) fn is_loss_bearable(&self, node: usize) -> bool {
        let mut known = self.known_replica_sets();
        let is_in_force = |set: &&ReplicaSet| {
            let stored = set.members.iter().filter(|member| self.has_stored_set(member.node.0, set.version));
            stored.count() * 2 > set.members.len()
        };
        let in_force = known.iter().filter(is_in_force).map(|set| set.version).max().unwrap_or(0);
        known.retain(|set| set.version >= in_force.max(1));
        let first_replicas = &self.nodes[..self.plan.replicas];
        let all_began =
            first_replicas.iter().all(|replica| replica.storage.is_formatted || replica.is_destroyed);
        let id = self.nodes[node].id;
        let bears = |set: &ReplicaSet| {
            let is_lost = |member: &&Member| !self.has_stored_set(member.node.0, member.joined_in);
            let lost = set.members.iter().filter(is_lost).count();
            let target = set.members.iter().find(|member| member.node.0 == id);
            lost < (self.plan.replicas - 1) / 2
                && target.is_none_or(|member| self.has_stored_set(id, member.joined_in))
        };
        all_began && !known.is_empty() && known.iter().all(bears)
    }
}
