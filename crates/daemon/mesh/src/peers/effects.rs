//! What membership and the control store want done, done: sent, written, answered, handed on.
use super::frames::Frame;
use super::link::CONNECT;
use super::{ip, told, Peers, RecordBody};
use crate::control_value::ControlValue;
use crate::disk::DiskWrite;
use crate::node_state::NodeState;
use crate::peer_connection;
use silvercross_control_store::{CallOutcome, Effect as StoreEffect};
use silvercross_mesh_membership::{Effect, Node, NodeRecord};
use std::net::SocketAddr;
use std::rc::Rc;

impl Peers {
    /// Do what membership wants done.
    pub(super) fn effect(&self, node_state: &Rc<NodeState>, effect: Effect<RecordBody>) {
        match effect {
            Effect::OpenLink { to } => self.link(node_state, to.0),
            Effect::CloseLink { to } => {
                self.links.borrow_mut().remove(&to.0);
                self.down(node_state, to.0);
            }
            Effect::SendMessage { to, message } => self.send(node_state, to.0, &Frame::Round(message)),
            Effect::SendDatagram { to, datagram } => {
                let bytes = bitcode::encode(&datagram);
                let _ = self.udp.try_send_to(&bytes, SocketAddr::new(ip(to.0), self.port));
                node_state.counters.datagrams_sent.set(node_state.counters.datagrams_sent.get() + 1);
            }
            Effect::Probe { node } => self.try_link(node_state, node),
            Effect::ConfirmRevisions { request_id } => {
                let node_state = node_state.clone();
                tokio::task::spawn_local(async move {
                    let revisions = node_state.peers.confirm(&node_state).await;
                    node_state.peers.membership.borrow_mut().revisions_confirmed(
                        node_state.now().as_micros(),
                        request_id,
                        revisions,
                    );
                    node_state.peers.pump(&node_state);
                });
            }
            Effect::RecordChanged(record) => {
                self.tell_store(node_state, &record);
                node_state.apply_record(record);
            }
            Effect::EntryChanged { key, revision, bytes } => {
                if let Ok(control_value) = bitcode::decode::<ControlValue>(&bytes) {
                    node_state.apply_control_entry(&key, revision, control_value);
                }
            }
        }
    }

    /// Whether a link to this node could be made.
    fn try_link(&self, node_state: &Rc<NodeState>, node: Node) {
        let (node_state, to) = (node_state.clone(), SocketAddr::new(ip(node.0), self.port));
        let from = ip(self.me);
        tokio::task::spawn_local(async move {
            let ok = peer_connection::connect(Some(from), to, CONNECT).await.is_ok();
            node_state.peers.membership.borrow_mut().probe_finished(node_state.now().as_micros(), node, ok);
            node_state.peers.pump(&node_state);
        });
    }

    /// Tell the control store of a machine that may come for a lost replica, or that stops.
    fn tell_store(&self, node_state: &Rc<NodeState>, record: &NodeRecord<RecordBody>) {
        let Some(l) = &self.ledger else { return };
        // It has a disk, knows who the holders are, and is none of them.
        let told = &record.body;
        let spare = !told.roster.is_empty() && !told.roster.contains(&record.node.0);
        let up = record.is_control && !record.gone && !told.leaving && spare;
        let node = silvercross_control_store::Node(record.node.0);
        l.borrow_mut().set_candidate(node_state.now().as_micros(), node, up);
        if record.is_control {
            l.borrow_mut().set_stopping(node_state.now().as_micros(), node, told.leaving);
        }
    }

    /// Do what the control store wants done.
    pub(super) fn deed(&self, node_state: &Rc<NodeState>, deed: StoreEffect<ControlValue>) {
        match deed {
            StoreEffect::Send { to, version, message } => {
                self.send(node_state, to.0, &Frame::Store(version, message))
            }
            StoreEffect::Store { write, metadata, keys } => {
                if let Some(writes) = &self.writes {
                    let _ = writes.send(DiskWrite { number: write, metadata, keys });
                }
            }
            StoreEffect::Answer { token, verdict } => {
                if let Some(to) = self.asked.borrow_mut().remove(&token) {
                    let verdict = match verdict {
                        CallOutcome::Value { revision, value } => {
                            CallOutcome::Value { revision, value: value.published() }
                        }
                        other => other,
                    };
                    let _ = to.send(verdict);
                }
            }
            StoreEffect::Committed { key, revision, value } => {
                let at = told(revision);
                let value = value.published();
                let bytes = bitcode::encode(&value);
                self.membership.borrow_mut().publish(node_state.now().as_micros(), &key, at, bytes);
                node_state.apply_control_entry(&key, at, value);
            }
        }
    }
}
