//! Which replicas can be reached, what is sent to one whose link came up, and whose earlier answers still count.

use crate::message::{Effect, Incarnation, Incarnations, Message};
use crate::mutation::Mutation;
use crate::replica_set::LINKS;
use crate::state::{Ownership, Phase};
use crate::store::{mix, ControlStore};
use crate::{Epoch, Micros, Node, State};

impl<P: State> ControlStore<P> {
    /// Whether there is a link to this node. Until told, there is none.
    pub fn set_reachable(&mut self, now: Micros, node: Node, up: bool) {
        let room = self.up.len() < LINKS || self.replica_set.contains(node);
        if node == self.me || !(if up { room && self.up.insert(node) } else { self.up.remove(&node) }) {
            return;
        }
        if up {
            self.gone.remove(&node);
            let asks = self.replica_set.version == 0 && self.candidates.contains(&node);
            if self.replica_set.contains(node) || asks {
                self.greet(now, node);
                self.resume_pulls(now, node);
            }
        } else {
            if self.replica_set.contains(node) {
                self.gone.insert(node, now);
            }
            self.forwards_failed(now, |to| to == node);
            self.go_on_with_claims(now);
            self.pull_from_others(now, node);
        }
        self.tick(now);
    }

    /// A link came up: claims and copies that it missed.
    pub(crate) fn greet(&mut self, now: Micros, to: Node) {
        if !self.is_voter() {
            if self.replica_set.version == 0 {
                self.send(to, Message::ReplicaSetRequest);
            } else if self.phase == Phase::Repairing {
                self.repair.sent = now;
                self.send(to, Message::RepairRequest { incarnation: self.incarnation });
            }
            return;
        }
        let mut claims = Vec::new();
        let mut copies = Vec::new();
        let mut had: Vec<(String, Epoch, u64)> = Vec::new();
        let mut with = Incarnation::default();
        for (key, slot) in &self.keys {
            match &slot.ownership {
                Ownership::Claiming(claim) if claim.promises.contains_key(&self.me) => {
                    claims.push((key.clone(), claim.epoch));
                }
                Ownership::Owner(owner) => {
                    let kept = owner.kept.get(&to).filter(|k| self.current(to, k.0));
                    if let Some((incarnation, sequence)) = kept {
                        with = with.max(*incarnation);
                        had.push((key.clone(), owner.epoch, *sequence));
                    }
                    if kept.is_none_or(|k| k.1 < owner.sequence) {
                        copies.push(key.clone());
                    }
                }
                _ => {}
            }
        }
        if !had.is_empty() {
            self.send(to, Message::AcknowledgedPositions { incarnation: with, keys: had });
        }
        for (key, epoch) in claims {
            self.send(to, Message::Claim { key, epoch });
        }
        for key in copies {
            self.send_last(now, to, &key);
        }
    }

    /// The other replicas that can be reached.
    pub(crate) fn others(&self) -> Vec<Node> {
        self.replica_set.nodes().filter(|n| *n != self.me && self.up.contains(n)).collect()
    }

    /// The replicas that can be reached, this one included, in the order in which they would own the key: those that
    /// leave last.
    pub(crate) fn order(&self, key: &str) -> Vec<Node> {
        let name = key
            .bytes()
            .fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
        let mut nodes: Vec<Node> =
            self.replica_set.nodes().filter(|n| *n == self.me || self.up.contains(n)).collect();
        nodes.sort_by_key(|n| (self.leavers.contains_key(n), mix(name ^ mix(u64::from(n.0))), *n));
        nodes
    }

    /// Sends it, under the version of the replica set that is in force here.
    pub(crate) fn send(&mut self, to: Node, message: Message<P, P::Change>) {
        self.effects.push(Effect::Send { to, version: self.replica_set.version, message });
    }

    /// Has the caller do it.
    pub(crate) fn effect(&mut self, effect: Effect<P>) {
        self.effects.push(effect);
    }

    /// Whether no later incarnation of the replica's disk is known than this one.
    pub(crate) fn current(&self, node: Node, incarnation: Incarnation) -> bool {
        node == self.me
            || self.is(Mutation::CountsEarlierIncarnations)
            || incarnation >= self.incarnations.get(&node).copied().unwrap_or_default()
    }

    /// Whether it was said with a disk that the replica still has; else it is told so.
    pub(crate) fn alive(&mut self, from: Node, incarnation: Incarnation) -> bool {
        let current = self.current(from, incarnation);
        if !current {
            self.figures.outlived += 1;
            let known = self.incarnations.get(&from).copied().unwrap_or_default();
            self.send(from, Message::StaleIncarnation { incarnation: known });
        }
        current
    }

    /// The incarnations of all disks, as far as they are known here.
    pub(crate) fn incarnations(&self) -> Incarnations {
        Incarnations {
            mine: self.incarnation,
            others: self.incarnations.iter().map(|(n, l)| (*n, *l)).collect(),
        }
    }
}
