//! What happens at one node whose process runs: a connection, a frame, a synced write, a call, its timer.

use crate::effects::STATUS_INTERVAL;
use crate::event::Event;
use crate::history::Answer;
use crate::link::{ConnectionId, Frame};
use crate::operator_state::CallToken;
use crate::plan::key_name;
use crate::world::World;
use silvercross_control_store as control;
use silvercross_mesh_membership::Node;
use silvercross_time::Instant;

impl World {
    /// Handles an event of a node that is not frozen. One that was for a process which has ended changes nothing.
    pub(crate) fn handle_node_event(&mut self, event: Event) {
        match event {
            Event::ConnectFailed { node, generation, peer } => {
                let is_linked = self.nodes[node].connections.contains_key(&peer);
                if self.nodes[node].generation == generation && !is_linked {
                    self.report_link_down(node, peer);
                    self.run_effects(node);
                }
            }
            Event::Connected { node, generation, peer, connection } => {
                if self.nodes[node].generation == generation {
                    self.report_link_up(node, peer, connection);
                    self.run_effects(node);
                } else if self.nodes[node].is_powered {
                    self.send_on(connection, node, Frame::Closed);
                }
            }
            Event::FrameArrived { from, to, connection, frame } => {
                self.handle_frame(from, to, connection, *frame);
            }
            Event::DatagramArrived { from, to, datagram } => {
                let (now, from) = (self.local_now(to), Node(self.nodes[from].id));
                if let Some(membership) = &mut self.nodes[to].membership {
                    membership.receive_datagram(now, from, datagram);
                    self.run_effects(to);
                }
            }
            Event::EntriesLeft { node, generation, to } => {
                let (now, to) = (self.local_now(node), Node(self.nodes[to].id));
                let is_current = self.nodes[node].generation == generation;
                if let Some(membership) = self.nodes[node].membership.as_mut().filter(|_| is_current) {
                    membership.entries_sent(now, to);
                    self.run_effects(node);
                }
            }
            Event::ProbeEnded { node, generation, about, is_reachable } => {
                let (now, about) = (self.local_now(node), Node(self.nodes[about].id));
                let is_current = self.nodes[node].generation == generation;
                if let Some(membership) = self.nodes[node].membership.as_mut().filter(|_| is_current) {
                    membership.probe_finished(now, about, is_reachable);
                    self.run_effects(node);
                }
            }
            Event::WriteSynced { node, generation, write } if self.nodes[node].generation == generation => {
                self.handle_synced(node, write);
            }
            Event::Wakeup { node, generation }
                if self.nodes[node].generation == generation && self.nodes[node].next_wakeup <= self.now =>
            {
                self.tick(node);
            }
            event => self.handle_call_event(event),
        }
    }

    /// Handles an event of an operator's call at a node.
    fn handle_call_event(&mut self, event: Event) {
        match event {
            Event::CallArrived { node, generation, token, under }
                if self.nodes[node].generation == generation =>
            {
                match self.is_order(token) {
                    true => self.handle_order(node, token, under),
                    false => self.handle_call(node, token),
                }
            }
            Event::CallerLeft { node, generation, token } if self.nodes[node].generation == generation => {
                self.handle_caller_left(node, token);
            }
            _ => {}
        }
    }

    /// A node's timer, or it goes on after it was frozen.
    pub(crate) fn tick(&mut self, node: usize) {
        let now = self.local_now(node);
        let machine = &mut self.nodes[node];
        machine.next_wakeup = Instant::MAX;
        if let Some(membership) = &mut machine.membership {
            membership.tick(now);
        }
        if let Some(store) = &mut machine.store {
            store.tick(now);
        }
        if now - machine.announced_at >= STATUS_INTERVAL {
            machine.announced_at = now;
            self.announce_status(node);
        }
        self.run_effects(node);
    }

    fn handle_frame(&mut self, from: usize, to: usize, connection: ConnectionId, frame: Frame) {
        let is_known = self.nodes[to].connections.get(&from).is_some_and(|all| all.contains(&connection));
        if !is_known {
            if self.nodes[to].is_powered && !matches!(frame, Frame::Closed) {
                self.send_on(connection, to, Frame::Closed);
            }
            return;
        }
        let (now, from_id) = (self.local_now(to), self.nodes[from].id);
        let machine = &mut self.nodes[to];
        match frame {
            Frame::Membership(message) => {
                if let Some(membership) = &mut machine.membership {
                    membership.receive(now, Node(from_id), message);
                }
            }
            Frame::Store { version, message } => {
                if let Some(store) = &mut machine.store {
                    store.receive(now, control::Node(from_id), version, message);
                }
            }
            Frame::Closed => self.close_connection(to, from, connection),
        }
        self.run_effects(to);
    }

    fn handle_synced(&mut self, node: usize, write: u64) {
        let now = self.local_now(node);
        let machine = &mut self.nodes[node];
        let Some(store) = &mut machine.store else { return };
        if machine.storage.is_full {
            store.set_disk_has_space(now, false);
        } else {
            machine.storage.sync_up_to(write);
            store.write_completed(now, write);
        }
        self.run_effects(node);
    }

    /// A call has reached the node it was sent to.
    fn handle_call(&mut self, node: usize, token: CallToken) {
        let now = self.local_now(node);
        let Some(open) = self.operators.open.get(&token) else { return };
        let (key, change) = (key_name(open.call.key), open.call.change.clone());
        let Some(store) = self.nodes[node].store.as_mut().filter(|store| !store.is_outside()) else {
            return self.end_call(token, Answer::OutcomeUnknown);
        };
        if change.is_empty() {
            store.read(now, token.0, &key);
        } else {
            store.call(now, token.0, &key, change);
        }
        self.run_effects(node);
    }
}
