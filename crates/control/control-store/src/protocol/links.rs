//! Which nodes are reachable, and what is sent to a node when its link comes up.

use crate::key_slot::Ownership;
use crate::limits::MAX_LINKS;
use crate::message::Message;
use crate::store::{mix, ControlStore, Phase};
use crate::types::{Incarnation, KeyPosition, Node};
use crate::value::State;
use silvercross_time::Instant;

/// Offset basis and prime of 64-bit FNV-1a.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x100_0000_01b3;

impl<V: State> ControlStore<V> {
    /// Reports whether there is a link to this node. Initially there is none.
    pub fn set_reachable(&mut self, now: Instant, node: Node, is_reachable: bool) {
        if node == self.node {
            return;
        }
        let has_room = self.reachable.len() < MAX_LINKS || self.replica_set.contains(node);
        let changed =
            if is_reachable { has_room && self.reachable.insert(node) } else { self.reachable.remove(&node) };
        if !changed {
            return;
        }
        if is_reachable {
            self.unreachable_since.remove(&node);
            let may_know_replica_set = self.replica_set.version == 0 && self.candidates.contains(&node);
            if self.replica_set.contains(node) || may_know_replica_set {
                self.on_link_up(now, node);
                self.resume_snapshots_from(now, node);
            }
        } else {
            if self.replica_set.contains(node) {
                self.unreachable_since.insert(node, now);
            }
            self.reroute_calls_forwarded_to(now, node);
            self.retry_claims(now);
            self.request_snapshots_elsewhere(now, node);
        }
        self.tick(now);
    }

    /// Sends what the other node may have missed while the link was down: claims, appends, and the positions
    /// that it has confirmed. If this node is no voter, it asks for the replica set or for its repair instead.
    fn on_link_up(&mut self, now: Instant, to: Node) {
        if !self.is_voter() {
            if self.replica_set.version == 0 {
                self.send(to, Message::ReplicaSetRequest);
            } else if self.phase == Phase::Repairing {
                self.repair.last_sent = now;
                self.send(to, Message::RepairRequest { incarnation: self.incarnation });
            }
            return;
        }
        let mut claims = Vec::new();
        let mut lagging = Vec::new();
        let mut confirmed: Vec<KeyPosition> = Vec::new();
        let mut confirmed_with = Incarnation::default();
        for (key, slot) in &self.keys {
            match &slot.ownership {
                Ownership::Claiming(claim) if claim.promises.contains_key(&self.node) => {
                    claims.push(Message::Claim { key: key.clone(), epoch: claim.epoch });
                }
                Ownership::Owner(owner) => {
                    let known = owner.confirmed.get(&to).filter(|c| self.is_current(to, c.incarnation));
                    if let Some(append) = known {
                        confirmed_with = confirmed_with.max(append.incarnation);
                        let (key, epoch, sequence) = (key.clone(), owner.epoch, append.sequence);
                        confirmed.push(KeyPosition { key, epoch, sequence });
                    }
                    if known.is_none_or(|append| append.sequence < owner.sequence) {
                        lagging.push(key.clone());
                    }
                }
                _ => {}
            }
        }
        if !confirmed.is_empty() {
            self.send(to, Message::ConfirmedPositions { incarnation: confirmed_with, keys: confirmed });
        }
        for claim in claims {
            self.send(to, claim);
        }
        for key in lagging {
            self.send_last_append(now, to, &key);
        }
    }

    /// Whether the node is reachable or this one.
    pub(crate) fn is_present(&self, node: Node) -> bool {
        node == self.node || self.reachable.contains(&node)
    }

    /// The other replicas that are reachable.
    pub(crate) fn reachable_replicas(&self) -> Vec<Node> {
        self.replica_set.nodes().filter(|n| *n != self.node && self.reachable.contains(n)).collect()
    }

    /// Sends a message to all other reachable replicas.
    pub(crate) fn broadcast(&mut self, message: &Message<V, V::Change>) {
        for to in self.reachable_replicas() {
            self.send(to, message.clone());
        }
    }

    /// The reachable replicas, this one included, in the order in which they may claim the key: by rendezvous
    /// hashing, so that ownership spreads over them, with stopping nodes last.
    pub(crate) fn claim_order(&self, key: &str) -> Vec<Node> {
        let hash =
            key.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME));
        let mut nodes: Vec<Node> = self.replica_set.nodes().filter(|node| self.is_present(*node)).collect();
        nodes.sort_by_key(|node| {
            (self.stopping.contains_key(node), mix(hash ^ mix(u64::from(node.0))), *node)
        });
        nodes
    }
}
