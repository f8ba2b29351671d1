//! A machine's deciders wired to each other and to the world, as the mesh's program does it (`silvercross-mesh`'s `carriers.rs` and
//! `post.rs`).

use crate::disk::Write;
use crate::event::Event;
use crate::items::Items;
use crate::judge::{At, Took, Why};
use crate::network::Parcel;
use crate::world::{key_name, Body, Micros, World, LOOK};
use silvercross_control_store as control;
use silvercross_control_store::ControlStore;
use silvercross_mesh_membership::{Freshness, Membership};
use std::collections::BTreeMap;

/// Tokens of reads that a control machine makes for a sidecar that started; operators' are below.
const CONFIRMS: u64 = 1 << 40;

/// A read of all keys that is under way.
pub struct Confirm {
    tokens: BTreeMap<u64, usize>,
    revisions: Vec<(String, At)>,
}

impl World {
    /// What a machine says of itself.
    pub(crate) fn tell(&mut self, node: usize) {
        let now = self.local(node);
        let machine = &mut self.machines[node];
        let knows = |store: &ControlStore<Items>| {
            let known = store.is_voter() || (store.is_outside() && store.replica_set().version > 0);
            if known {
                store.replica_nodes()
            } else {
                Vec::new()
            }
        };
        let roster = machine.store.as_ref().map(knows).unwrap_or_default();
        let body = Body { roster: roster.into_iter().map(|n| n.0).collect(), leaving: machine.leaving };
        if let Some(membership) = &mut machine.membership {
            membership.update_body(now, body);
        }
    }

    /// Where a control machine stands, for the trace.
    fn note_store(&mut self, node: usize) {
        if !self.trace {
            return;
        }
        let Some(store) = &self.machines[node].store else { return };
        let set = store.replica_set();
        let ids =
            |nodes: Vec<control::Node>| nodes.iter().map(|n| n.0.to_string()).collect::<Vec<_>>().join(" ");
        let owned: Vec<String> =
            store.owned_keys().iter().map(|s| format!("{} {}", s.0, s.1.round)).collect();
        let accepted: Vec<String> = store
            .key_states()
            .iter()
            .map(|s| {
                format!(
                    "{} {}.{}.{}",
                    s.key, s.accepted.epoch.round, s.accepted.epoch.owner, s.accepted.sequence
                )
            })
            .collect();
        let stands = format!(
            "id {} voter {} set {} [{}] leaving {:?} coming {:?} owns {owned:?}",
            self.machines[node].id,
            store.is_voter(),
            set.version,
            ids(store.replica_nodes()),
            set.leaving.map(|n| n.0),
            set.joining.map(|n| n.0),
        );
        if self.machines[node].stands != stands {
            self.note(|| format!("  {node}: {stands} {accepted:?}"));
            self.machines[node].stands = stands;
        }
    }

    /// Does what a machine's deciders want done, until they want nothing more.
    pub(crate) fn pump(&mut self, node: usize) {
        loop {
            let machine = &mut self.machines[node];
            let membership = machine.membership.as_mut().map(Membership::take_effects).unwrap_or_default();
            let store = machine.store.as_mut().map(ControlStore::take_effects).unwrap_or_default();
            if membership.is_empty() && store.is_empty() {
                break;
            }
            membership.into_iter().for_each(|effect| self.round_effect(node, effect));
            store.into_iter().for_each(|effect| self.store_effect(node, effect));
        }
        self.note_store(node);
        self.readiness(node);
        self.schedule_wake(node);
    }

    fn schedule_wake(&mut self, node: usize) {
        let (now, local) = (self.now, self.local(node));
        let machine = &mut self.machines[node];
        let Some(membership) = &machine.membership else { return };
        let store = machine.store.as_ref().and_then(ControlStore::next_deadline).unwrap_or(Micros::MAX);
        let look = if machine.core { LOOK } else { 1_000_000 };
        let wake = now + (membership.next_deadline().min(store).saturating_sub(local)).clamp(1, look);
        if wake < machine.wake {
            machine.wake = wake;
            let incarnation = machine.incarnation;
            self.at(wake, Event::Wake { node, incarnation });
        }
    }

    fn round_effect(&mut self, node: usize, effect: silvercross_mesh_membership::Effect<Body>) {
        use silvercross_mesh_membership::Effect;
        match effect {
            Effect::OpenLink { to } => {
                if let Some(to) = self.index(to.0) {
                    self.dial(node, to);
                }
            }
            Effect::CloseLink { to } => {
                if let Some(to) = self.index(to.0) {
                    self.unlink(node, to);
                }
            }
            Effect::SendMessage { to, message } => {
                if let Some(to) = self.index(to.0) {
                    self.send(node, to, Parcel::Round(message));
                }
            }
            Effect::SendDatagram { to, datagram } => {
                if let Some(to) = self.index(to.0) {
                    self.datagram(node, to, datagram);
                }
            }
            Effect::Probe { node: about } => {
                if let Some(about) = self.index(about.0) {
                    self.probe(node, about);
                }
            }
            Effect::ConfirmRevisions { request_id } => self.confirm(node, request_id),
            Effect::RecordChanged(record) => {
                let now = self.local(node);
                if let Some(store) = &mut self.machines[node].store {
                    let told = &record.body;
                    let spare = !told.roster.is_empty() && !told.roster.contains(&record.node.0);
                    let up = record.is_control && !record.gone && !told.leaving && spare;
                    store.set_candidate(now, control::Node(record.node.0), up);
                    if record.is_control {
                        store.set_stopping(now, control::Node(record.node.0), told.leaving);
                    }
                }
            }
            Effect::EntryChanged { key, revision, bytes } => {
                if let Ok(items) = bitcode::decode::<Items>(&bytes) {
                    self.take(node, &key, revision, items);
                }
            }
        }
    }

    fn store_effect(&mut self, node: usize, effect: control::Effect<Items>) {
        use control::Effect;
        match effect {
            Effect::Send { to, version, message } => {
                if let Some(to) = self.index(to.0) {
                    self.send(node, to, Parcel::Store(version, message));
                }
            }
            Effect::Store { write, metadata, keys } => {
                let mut delay = self.dice.between(300, 5_300);
                if self.dice.one_in(self.slow) {
                    delay += self.dice.between(0, 300_000);
                }
                let machine = &mut self.machines[node];
                machine.storage.pending.push_back(Write { number: write, metadata, keys });
                let when = self.now.max(machine.storage.free) + delay;
                machine.storage.free = when;
                let incarnation = machine.incarnation;
                self.at(when, Event::Synced { node, incarnation, write });
            }
            Effect::Answer { token, verdict } if token >= CONFIRMS => self.confirmed(node, token, verdict),
            Effect::Answer { token, verdict } => self.answered(node, token, verdict),
            Effect::Committed { key, revision, value } => {
                let at = (revision.epoch.round, u64::from(revision.epoch.owner), revision.sequence);
                let (now, bytes) = (self.local(node), bitcode::encode(&value));
                if let Some(membership) = &mut self.machines[node].membership {
                    membership.publish(now, &key, at, bytes);
                }
                self.take(node, &key, at, value);
            }
        }
    }

    /// News of the control state; older than what is in force changes nothing.
    fn take(&mut self, node: usize, key: &str, at: At, value: Items) {
        let Some(key) = key.strip_prefix("key-").and_then(|number| number.parse().ok()) else { return };
        let machine = &mut self.machines[node];
        if machine.revisions.get(&key).is_some_and(|known| *known >= at) {
            return;
        }
        machine.revisions.insert(key, at);
        self.history.lives[machine.life].took.push(Took { when: self.now, key, at, value: value.0 });
    }

    /// Reads all keys; a machine that is no replica reads at those that are.
    fn confirm(&mut self, node: usize, ticket: u64) {
        let now = self.local(node);
        let mut confirm = Confirm { tokens: BTreeMap::new(), revisions: Vec::new() };
        let machine = &mut self.machines[node];
        let Some(store) = &mut machine.store else { return };
        for key in 0..self.plan.keys {
            self.number += 1;
            confirm.tokens.insert(CONFIRMS + self.number, key);
            store.read(now, CONFIRMS + self.number, &key_name(key));
        }
        machine.confirms.insert(ticket, confirm);
    }

    fn confirmed(&mut self, node: usize, token: u64, verdict: control::CallOutcome<Items>) {
        let now = self.local(node);
        let machine = &mut self.machines[node];
        let found = machine.confirms.iter_mut().find(|confirm| confirm.1.tokens.contains_key(&token));
        let Some((ticket, confirm)) = found else { return };
        let ticket = *ticket;
        let key = confirm.tokens.remove(&token).unwrap_or_default();
        let whole = match verdict {
            control::CallOutcome::Value { revision, value } => {
                let at = (revision.epoch.round, u64::from(revision.epoch.owner), revision.sequence);
                if value != Items::default() {
                    confirm.revisions.push((key_name(key), at));
                }
                true
            }
            _ => false,
        };
        if whole && !confirm.tokens.is_empty() {
            return;
        }
        let Some(confirm) = machine.confirms.remove(&ticket) else { return };
        if let Some(membership) = &mut machine.membership {
            membership.revisions_confirmed(now, ticket, whole.then_some(confirm.revisions));
        }
    }

    /// Whether a process says that it is ready, and why. A control machine has its state from the control store.
    fn readiness(&mut self, node: usize) {
        let machine = &self.machines[node];
        let Some(membership) = &machine.membership else { return };
        let life = &mut self.history.lives[machine.life];
        if life.ready.is_some() || !machine.revisions.contains_key(&0) {
            return;
        }
        let why = match membership.freshness() {
            _ if machine.core => Why::Configured,
            Freshness::Waiting => return,
            Freshness::Current { .. } => Why::Fresh,
            Freshness::TimedOut { .. } => Why::Bound,
        };
        life.ready = Some((self.now, why));
    }
}
