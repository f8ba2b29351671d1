//! Carries out the effects of the decision modules: sends messages, writes to the disk, answers calls, and
//! applies records and control entries.
use super::frame::Frame;
use super::links::LINK_CONNECT_TIMEOUT;
use super::record::RecordBody;
use super::state::{entry_revision, ip_of, store_node, Peers};
use crate::control_value::ControlValue;
use crate::disk::DiskWrite;
use crate::node_state::NodeState;
use crate::peer_connection;
use silvercross_control_store::{CallOutcome, Effect as StoreEffect};
use silvercross_mesh_membership::{ControlEntry, Datagram, Effect as MembershipEffect, Node, NodeRecord};
use std::rc::Rc;

impl Peers {
    /// Carries out an effect of membership.
    pub(super) fn carry_out_membership_effect(
        &self,
        node_state: &Rc<NodeState>,
        effect: MembershipEffect<RecordBody>,
    ) {
        match effect {
            MembershipEffect::OpenLink { to } => self.open_link(node_state, to),
            MembershipEffect::CloseLink { to } => {
                self.links.borrow_mut().remove(&to);
                self.link_lost(node_state, to);
            }
            MembershipEffect::SendMessage { to, message } => {
                self.send(node_state, to, &Frame::Membership(message))
            }
            MembershipEffect::SendEntries { to, message } => {
                self.send_entries(node_state, to, &Frame::Membership(message))
            }
            MembershipEffect::SendDatagram { to, datagram } => self.send_datagram(node_state, to, &datagram),
            MembershipEffect::Probe { node } => self.probe(node_state, node),
            MembershipEffect::ConfirmRevisions { request_id } => {
                confirm_revisions(node_state.clone(), request_id)
            }
            MembershipEffect::RecordChanged(record) => {
                self.update_replica_candidate(node_state, &record);
                node_state.apply_record(record);
            }
            MembershipEffect::EntryChanged(ControlEntry { key, revision, bytes }) => {
                if let Ok(control_value) = bitcode::decode::<ControlValue>(&bytes) {
                    node_state.apply_control_entry(&key, revision, control_value);
                }
            }
        }
    }

    fn send_datagram(&self, node_state: &NodeState, to: Node, datagram: &Datagram) {
        // Errors are ignored: datagrams may be lost, and membership sends others.
        let _ = self.udp.try_send_to(&bitcode::encode(datagram), self.address_of(to));
        node_state.counters.datagrams_sent.set(node_state.counters.datagrams_sent.get() + 1);
    }

    /// Tests whether a node accepts a connection, and reports the result to membership.
    fn probe(&self, node_state: &Rc<NodeState>, node: Node) {
        let (node_state, to) = (node_state.clone(), self.address_of(node));
        let from = ip_of(self.own_node);
        tokio::task::spawn_local(async move {
            let connected = peer_connection::connect(Some(from), to, LINK_CONNECT_TIMEOUT).await.is_ok();
            let now = node_state.now();
            node_state.peers.membership.borrow_mut().probe_finished(now, node, connected);
            node_state.peers.carry_out_effects(&node_state);
        });
    }

    /// Tells the control store whether a control node is a candidate to replace a lost replica, and whether
    /// it is stopping.
    fn update_replica_candidate(&self, node_state: &NodeState, record: &NodeRecord<RecordBody>) {
        let Some(store) = &self.control_store else { return };
        let body = &record.body;
        // A node that publishes the replica set has a disk. It is a spare if it is not in the set.
        let is_spare = !body.replica_set.is_empty() && !body.replica_set.contains(&record.node.0);
        let is_candidate = record.is_control && !record.gone && !body.stopping && is_spare;
        let (node, now) = (store_node(record.node), node_state.now());
        store.borrow_mut().set_candidate(now, node, is_candidate);
        if record.is_control {
            store.borrow_mut().set_stopping(now, node, body.stopping);
        }
    }

    /// Carries out an effect of the control store.
    pub(super) fn carry_out_store_effect(
        &self,
        node_state: &Rc<NodeState>,
        effect: StoreEffect<ControlValue>,
    ) {
        match effect {
            StoreEffect::Send { to, version, message } => {
                let frame = Frame::ControlStore { replica_set_version: version, message };
                self.send(node_state, Node(to.0), &frame);
            }
            StoreEffect::Store { write, metadata, keys } => {
                if let Some(writes) = &self.disk_writes {
                    // Sending fails only if the disk thread has ended, and then the process ends.
                    let _ = writes.send(DiskWrite { number: write, metadata, keys }.into());
                }
            }
            StoreEffect::Answer { token, outcome } => {
                if let Some(to) = self.pending_calls.borrow_mut().remove(&token) {
                    // The caller may have timed out.
                    let _ = to.send(published(outcome));
                }
            }
            StoreEffect::Committed { key, revision, value } => {
                let revision = entry_revision(revision);
                let value = value.delivered();
                let bytes = bitcode::encode(&value);
                self.membership.borrow_mut().publish(node_state.now(), &key, revision, bytes);
                node_state.apply_control_entry(&key, revision, value);
            }
        }
    }
}

/// Reads the revisions of all keys from a majority and passes them to membership.
fn confirm_revisions(node_state: Rc<NodeState>, request_id: u64) {
    tokio::task::spawn_local(async move {
        let revisions = node_state.peers.confirmed_revisions(&node_state).await;
        let now = node_state.now();
        node_state.peers.membership.borrow_mut().revisions_confirmed(now, request_id, revisions);
        node_state.peers.carry_out_effects(&node_state);
    });
}

/// Removes earlier versions from the value of an outcome, as callers get it.
fn published(outcome: CallOutcome<ControlValue>) -> CallOutcome<ControlValue> {
    match outcome {
        CallOutcome::Value { revision, value } => CallOutcome::Value { revision, value: value.published() },
        other => other,
    }
}
