//! Connections and datagrams between nodes, as the mesh's program makes them: two nodes may have several connections at a
//! time, the last one is used to send, and the link is down when the last one has ended. A partition holds back what is sent
//! on a connection until it heals.
//!
//! What arrives is handled in `node_events`.

use crate::event::Event;
use crate::link::{Connection, ConnectionEnd, ConnectionId, Direction, Frame};
use crate::world::World;
use silvercross_control_store as control;
use silvercross_mesh_membership as membership;
use silvercross_mesh_membership::Datagram;
use silvercross_time::Duration;

/// A connection that nobody accepts fails after this.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// A process that accepts a connection and sends no greeting is given up after this.
const GREETING_TIMEOUT: Duration = Duration::from_millis(800);
/// The way between two nodes of one zone, at least.
const MIN_ZONE_DELAY: Duration = Duration::from_micros(200);
/// The way between two zones, at least.
const MIN_CROSS_ZONE_DELAY: Duration = Duration::from_micros(800);
/// What is drawn on top of either.
const MAX_JITTER: Duration = Duration::from_micros(1_500);
/// What is drawn on top of that where something is late.
const MAX_EXTRA_DELAY: Duration = Duration::from_millis(400);

impl World {
    /// Draws how long a frame or datagram takes.
    pub(crate) fn draw_delay(&mut self, from: usize, to: usize) -> Duration {
        let is_same_zone = self.nodes[from].zone == self.nodes[to].zone;
        let least = if is_same_zone { MIN_ZONE_DELAY } else { MIN_CROSS_ZONE_DELAY };
        let mut delay = least + self.rng.duration(Duration::ZERO, MAX_JITTER);
        if self.rng.one_in(self.one_in_delayed) {
            delay += self.rng.duration(Duration::ZERO, MAX_EXTRA_DELAY);
        }
        delay
    }

    fn is_cut_off(&self, a: usize, b: usize) -> bool {
        self.blocked[a][b] || self.blocked[b][a]
    }

    /// Whether a connection to a node would be accepted.
    fn is_open(&self, from: usize, to: usize) -> bool {
        self.nodes[to].is_running() && !self.is_cut_off(from, to)
    }

    /// A decider wants a link.
    pub(crate) fn dial(&mut self, from: usize, to: usize) {
        let generation = self.nodes[from].generation;
        let round_trip = self.draw_delay(from, to) * 2;
        self.after(round_trip, Event::Dial { from, generation, to });
    }

    /// The attempt has come to its end, one way or the other.
    pub(crate) fn finish_dial(&mut self, from: usize, generation: u64, to: usize) {
        if self.nodes[from].generation != generation {
            return;
        }
        if !self.is_open(from, to) || self.nodes[to].is_frozen {
            let target = &self.nodes[to];
            let is_refused = target.is_powered && !self.is_cut_off(from, to) && !target.is_running();
            let wait = match (is_refused, target.is_frozen) {
                (true, _) => Duration::ZERO,
                (_, true) => GREETING_TIMEOUT,
                _ => CONNECT_TIMEOUT,
            };
            return self.after(wait, Event::ConnectFailed { node: from, generation, peer: to });
        }
        let connection = ConnectionId(self.next_number());
        let first = self.now + self.draw_delay(from, to);
        let second = self.now + self.draw_delay(to, from);
        let just_after = Duration::from_micros(1);
        let end =
            |node, up_at| ConnectionEnd { node, last_arrival: up_at + just_after, held_back: Vec::new() };
        self.connections.insert(connection, Connection { ends: [end(from, first), end(to, second)] });
        let peer_generation = self.nodes[to].generation;
        self.at(first, Event::Connected { node: from, generation, peer: to, connection });
        self.at(second, Event::Connected { node: to, generation: peer_generation, peer: from, connection });
    }

    /// A decider sends something; without a link it is lost.
    pub(crate) fn send(&mut self, from: usize, to: usize, frame: Frame) {
        let last = self.nodes[from].connections.get(&to).and_then(|all| all.last().copied());
        if let Some(connection) = last {
            self.send_on(connection, from, frame);
        }
    }

    /// Puts something on a connection, behind what is there.
    pub(crate) fn send_on(&mut self, id: ConnectionId, from: usize, frame: Frame) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let place = connection.far_end(from);
        let to = connection.ends[place].node;
        if self.blocked[from][to] {
            return connection.ends[place].held_back.push(frame);
        }
        let earliest = self.now + self.draw_delay(from, to);
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let end = &mut connection.ends[place];
        end.last_arrival = end.last_arrival.max(earliest);
        let at = end.last_arrival;
        self.at(at, Event::FrameArrived { from, to, connection: id, frame: Box::new(frame) });
    }

    /// Nothing gets this way any more, or does again.
    pub fn set_blocked(&mut self, direction: Direction, is_blocked: bool) {
        let Direction { from, to } = direction;
        let is_between_control_nodes = from.max(to) < self.control_node_count();
        if is_between_control_nodes && from != to && self.blocked[from][to] != is_blocked {
            self.note(|| format!("{} {from} to {to}", if is_blocked { "cut" } else { "heal" }));
        }
        if from != to && std::mem::replace(&mut self.blocked[from][to], is_blocked) && !is_blocked {
            self.release_held_back(direction);
        }
    }

    /// Nothing gets from any of these to any of those, nor back if `both_ways`; gives the directions that this closes.
    pub fn cut_between(&mut self, these: &[usize], those: &[usize], both_ways: bool) -> Vec<Direction> {
        let mut directions = Vec::new();
        for from in these {
            for to in those.iter().filter(|to| *to != from) {
                let direction = Direction { from: *from, to: *to };
                directions.push(direction);
                if both_ways {
                    directions.push(direction.reversed());
                }
            }
        }
        directions.iter().for_each(|direction| self.set_blocked(*direction, true));
        directions
    }

    /// What a partition held back goes on its way.
    fn release_held_back(&mut self, direction: Direction) {
        let Direction { from, to } = direction;
        let released: Vec<(ConnectionId, Vec<Frame>)> = self
            .connections
            .iter_mut()
            .filter_map(|(id, connection)| {
                let place = connection.ends.iter().position(|end| end.node == to)?;
                let is_theirs = connection.ends[1 - place].node == from;
                let held_back = &mut connection.ends[place].held_back;
                (is_theirs && !held_back.is_empty()).then(|| (*id, std::mem::take(held_back)))
            })
            .collect();
        for (connection, frames) in released {
            frames.into_iter().for_each(|frame| self.send_on(connection, from, frame));
        }
    }

    /// A node's process drops all its connections to another node.
    pub(crate) fn drop_link(&mut self, node: usize, peer: usize) {
        for connection in self.nodes[node].connections.remove(&peer).unwrap_or_default() {
            self.send_on(connection, node, Frame::Closed);
        }
        self.report_link_down(node, peer);
    }

    /// One connection has ended; with the last one the link is down.
    pub(crate) fn close_connection(&mut self, node: usize, peer: usize, connection: ConnectionId) {
        let Some(all) = self.nodes[node].connections.get_mut(&peer) else { return };
        let before = all.len();
        all.retain(|known| *known != connection);
        if all.is_empty() && before > 0 {
            self.nodes[node].connections.remove(&peer);
            self.report_link_down(node, peer);
        }
    }

    /// Both deciders hear that a link is down, or did not come about.
    pub(crate) fn report_link_down(&mut self, node: usize, peer: usize) {
        let (now, peer_id) = (self.local_now(node), self.nodes[peer].id);
        let machine = &mut self.nodes[node];
        if let Some(membership) = &mut machine.membership {
            membership.link_down(now, membership::Node(peer_id));
        }
        if let Some(store) = &mut machine.store {
            store.set_reachable(now, control::Node(peer_id), false);
        }
    }

    /// Both deciders hear that a link is up.
    pub(crate) fn report_link_up(&mut self, node: usize, peer: usize, connection: ConnectionId) {
        let (now, peer_id) = (self.local_now(node), self.nodes[peer].id);
        let machine = &mut self.nodes[node];
        machine.connections.entry(peer).or_default().push(connection);
        if let Some(membership) = &mut machine.membership {
            membership.link_up(now, membership::Node(peer_id));
        }
        if let Some(store) = &mut machine.store {
            store.set_reachable(now, control::Node(peer_id), true);
        }
    }

    /// A decider sends a datagram; it may get lost.
    pub(crate) fn send_datagram(&mut self, from: usize, to: usize, datagram: Datagram) {
        if self.blocked[from][to] {
            return;
        }
        let is_lost = self.rng.below(1000) < self.datagram_loss_per_mille;
        if is_lost || !self.nodes[to].is_running() {
            return;
        }
        let delay = self.draw_delay(from, to);
        self.after(delay, Event::DatagramArrived { from, to, datagram });
    }

    /// A decider wants to know whether a node's machine takes connections.
    pub(crate) fn probe(&mut self, node: usize, about: usize) {
        let generation = self.nodes[node].generation;
        let is_reachable = self.is_open(node, about);
        let is_refused = self.nodes[about].is_powered && !self.is_cut_off(node, about);
        let wait =
            if is_reachable || is_refused { self.draw_delay(node, about) * 2 } else { CONNECT_TIMEOUT };
        self.after(wait, Event::ProbeEnded { node, generation, about, is_reachable });
    }
}
