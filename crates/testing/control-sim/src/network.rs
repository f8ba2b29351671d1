//! Connections and datagrams between machines, as the mesh's program makes them: two machines may have several connections
//! at a time, the last one is used to send, and the link is down when the last one has ended. A cut holds back what is sent
//! on a connection until it heals.

use crate::event::Event;
use crate::items::{Change, Items};
use crate::world::{Body, World};
use silvercross_control_store as control;
use silvercross_mesh_membership::{Datagram, MembershipMessage};

/// A connection that nobody takes fails after this.
const CONNECT: i64 = 400_000;
/// A process that takes a connection and doesn't greet is given up after this.
const GREET: i64 = 800_000;

/// What goes over a connection.
#[derive(Clone)]
pub enum Parcel {
    /// Of membership.
    Round(MembershipMessage<Body>),
    /// Of the control store, and under which version of the replica set.
    Store(u64, control::Message<Items, Change>),
    /// The other side has closed it, or knows nothing of it.
    End,
}

/// A connection between two machines.
pub struct Connection {
    ends: [usize; 2],
    /// When what was sent last arrives, by end.
    arrival: [i64; 2],
    /// What a cut holds back, by the end that it goes to.
    stash: [Vec<Parcel>; 2],
}

impl World {
    /// How long a parcel or datagram takes.
    pub(crate) fn delay(&mut self, from: usize, to: usize) -> i64 {
        let zone = if self.machines[from].zone == self.machines[to].zone { 200 } else { 800 };
        let mut delay = zone + self.dice.between(0, 1_500);
        if self.dice.one_in(self.slow) {
            delay += self.dice.between(0, 400_000);
        }
        delay
    }

    fn cut_off(&self, a: usize, b: usize) -> bool {
        self.cut[a][b] || self.cut[b][a]
    }

    /// Whether a connection to it is taken.
    fn open(&self, from: usize, to: usize) -> bool {
        self.machines[to].runs() && !self.cut_off(from, to)
    }

    /// A decider wants a link.
    pub(crate) fn dial(&mut self, from: usize, to: usize) {
        let incarnation = self.machines[from].incarnation;
        let at = self.now + 2 * self.delay(from, to);
        self.at(at, Event::Dial { from, incarnation, to });
    }

    /// The attempt has come to its end, one way or the other.
    pub(crate) fn dialled(&mut self, from: usize, incarnation: u64, to: usize) {
        if self.machines[from].incarnation != incarnation {
            return;
        }
        if !self.open(from, to) || self.machines[to].frozen {
            let refused = self.machines[to].on && !self.cut_off(from, to) && !self.machines[to].runs();
            let wait = match (refused, self.machines[to].frozen) {
                (true, _) => 0,
                (_, true) => GREET,
                _ => CONNECT,
            };
            return self.at(self.now + wait, Event::Failed { node: from, incarnation, peer: to });
        }
        self.number += 1;
        let number = self.number;
        let (first, second) = (self.now + self.delay(from, to), self.now + self.delay(to, from));
        let connection = Connection {
            ends: [from, to],
            arrival: [first + 1, second + 1],
            stash: [Vec::new(), Vec::new()],
        };
        self.connections.insert(number, connection);
        let theirs = self.machines[to].incarnation;
        self.at(first, Event::Up { node: from, incarnation, peer: to, connection: number });
        self.at(second, Event::Up { node: to, incarnation: theirs, peer: from, connection: number });
    }

    /// A decider sends something; without a link it is lost.
    pub(crate) fn send(&mut self, from: usize, to: usize, parcel: Parcel) {
        let last = self.machines[from].links.get(&to).and_then(|all| all.last().copied());
        if let Some(connection) = last {
            self.post(connection, from, parcel);
        }
    }

    /// Puts something on a connection, behind what is there.
    pub(crate) fn post(&mut self, number: u64, from: usize, parcel: Parcel) {
        let Some(connection) = self.connections.get(&number) else { return };
        let end = usize::from(connection.ends[0] == from);
        let to = connection.ends[end];
        if self.cut[from][to] {
            if let Some(connection) = self.connections.get_mut(&number) {
                connection.stash[end].push(parcel);
            }
            return;
        }
        let delay = self.delay(from, to);
        let Some(connection) = self.connections.get_mut(&number) else { return };
        let at = connection.arrival[end].max(self.now + delay);
        connection.arrival[end] = at;
        self.at(at, Event::Arrive { from, to, connection: number, parcel: Box::new(parcel) });
    }

    /// What a cut held back goes on its way.
    pub(crate) fn released(&mut self, from: usize, to: usize) {
        let held: Vec<(u64, Vec<Parcel>)> = self
            .connections
            .iter_mut()
            .filter_map(|(number, connection)| {
                let end = connection.ends.iter().position(|end| *end == to)?;
                let theirs = connection.ends[1 - end] == from && !connection.stash[end].is_empty();
                theirs.then(|| (*number, std::mem::take(&mut connection.stash[end])))
            })
            .collect();
        for (number, parcels) in held {
            parcels.into_iter().for_each(|parcel| self.post(number, from, parcel));
        }
    }

    /// This side's process drops all its connections to a machine.
    pub(crate) fn unlink(&mut self, node: usize, peer: usize) {
        for connection in self.machines[node].links.remove(&peer).unwrap_or_default() {
            self.post(connection, node, Parcel::End);
        }
        self.down(node, peer);
    }

    /// One connection has ended; with the last one the link is down.
    pub(crate) fn ended(&mut self, node: usize, peer: usize, connection: u64) {
        let Some(all) = self.machines[node].links.get_mut(&peer) else { return };
        let before = all.len();
        all.retain(|known| *known != connection);
        if all.is_empty() && before > 0 {
            self.machines[node].links.remove(&peer);
            self.down(node, peer);
        }
    }

    /// Both deciders are told that a link is down, or did not come about.
    pub(crate) fn down(&mut self, node: usize, peer: usize) {
        let (now, id) = (self.local(node), self.machines[peer].id);
        let machine = &mut self.machines[node];
        if let Some(membership) = &mut machine.membership {
            membership.link_down(now, silvercross_mesh_membership::Node(id));
        }
        if let Some(store) = &mut machine.store {
            store.set_reachable(now, control::Node(id), false);
        }
    }

    /// Both deciders are told that a link is up.
    pub(crate) fn up(&mut self, node: usize, peer: usize, connection: u64) {
        let (now, id) = (self.local(node), self.machines[peer].id);
        let machine = &mut self.machines[node];
        machine.links.entry(peer).or_default().push(connection);
        if let Some(membership) = &mut machine.membership {
            membership.link_up(now, silvercross_mesh_membership::Node(id));
        }
        if let Some(store) = &mut machine.store {
            store.set_reachable(now, control::Node(id), true);
        }
    }

    /// A datagram is sent; it may get lost.
    pub(crate) fn datagram(&mut self, from: usize, to: usize, datagram: Datagram) {
        if self.cut[from][to] || self.dice.below(1000) < self.loss || !self.machines[to].runs() {
            return;
        }
        let at = self.now + self.delay(from, to);
        self.at(at, Event::Datagram { from, to, datagram });
    }

    /// A decider wants to know whether a machine takes connections.
    pub(crate) fn probe(&mut self, node: usize, about: usize) {
        let incarnation = self.machines[node].incarnation;
        let ok = self.open(node, about);
        let refused = self.machines[about].on && !self.cut_off(node, about);
        let wait = if ok || refused { 2 * self.delay(node, about) } else { CONNECT };
        self.at(self.now + wait, Event::Tried { node, incarnation, about, ok });
    }
}
