//! Connections, messages and datagrams in flight, and their traffic counters.
use super::secs;
use super::world::{Body, Connection, Event, Pair, Route, World};
use silvercross_mesh_membership::{Datagram, MembershipMessage, Node};
use silvercross_time::{Duration, Instant};
use std::collections::BTreeMap;

/// Overhead counted for each message or datagram.
const HEADER_BYTES: u64 = 40;
/// Delay between machines of the same zone.
const LOCAL_DELAY: Duration = Duration::from_micros(200);

impl World {
    pub(super) fn delay(&self, a: Node, b: Node) -> Duration {
        if self.machines[&a].zone == self.machines[&b].zone {
            LOCAL_DELAY
        } else {
            self.zone_delay
        }
    }

    /// The delay to a machine, or 1 s if it doesn't exist.
    fn delay_or_default(&self, a: Node, b: Node) -> Duration {
        if self.machines.contains_key(&b) {
            self.delay(a, b)
        } else {
            secs(1)
        }
    }

    pub(super) fn open_link(&mut self, node: Node, to: Node) {
        self.last_id += 1;
        let id = self.last_id;
        self.dials.insert(Route { from: node, to }, id);
        let at = self.now + self.delay_or_default(node, to) * 2;
        self.push(at, node, Event::Dial { to, id });
    }

    pub(super) fn close_link(&mut self, node: Node, to: Node) {
        self.dials.remove(&Route { from: node, to });
        let Some(connection) = self.connections.remove(&Pair::of(node, to)) else { return };
        if !self.is_cut_from(node, to) {
            let at = self.now + self.delay(node, to);
            self.push(at, to, Event::LinkDown { peer: node, connection: connection.id });
        }
    }

    /// A dial succeeds, is refused, or is retried while the machine doesn't answer.
    pub(super) fn finish_dial(&mut self, node: Node, to: Node, id: u64) {
        let route = Route { from: node, to };
        if self.dials.get(&route) != Some(&id) {
            return;
        }
        let Some(target) = self.machines.get(&to) else { return };
        let (powered, runs) = (target.powered, target.membership.is_some());
        if !powered || self.is_cut(node, to) {
            let again = self.now + secs(1);
            return self.push(again, node, Event::Dial { to, id });
        }
        self.dials.remove(&route);
        let now = self.now;
        if !runs {
            return self.with(node, |membership| membership.link_down(now, to));
        }
        self.last_id += 1;
        let connection = self.last_id;
        let pair = Pair::of(node, to);
        self.connections.insert(
            pair,
            Connection {
                id: connection,
                lost: false,
                last_arrival: BTreeMap::new(),
                sent_until: BTreeMap::new(),
            },
        );
        self.push(now, node, Event::LinkUp { peer: to, connection });
        self.push(now, to, Event::LinkUp { peer: node, connection });
    }

    /// Time to send this many bytes on one connection of a machine.
    fn transfer_time(&self, from: Node, bytes: u64) -> Duration {
        match self.link_bytes_per_second {
            Some(rate) if !self.machines[&from].is_control => {
                Duration::from_micros((bytes * 1_000_000 / rate) as i64)
            }
            _ => Duration::ZERO,
        }
    }

    pub(super) fn send_message(&mut self, node: Node, to: Node, message: MembershipMessage<Body>) {
        let (now, delay) = (self.now, self.delay(node, to));
        let cut = self.is_cut_from(node, to);
        self.traffic.messages += 1;
        let bytes = bitcode::encode(&message).len() as u64;
        let transfer = self.transfer_time(node, bytes);
        self.count_bytes(node, to, bytes, matches!(message, MembershipMessage::Update { .. }));
        let Some(connection) = self.connections.get_mut(&Pair::of(node, to)) else {
            if !cut {
                self.push(now + delay * 2, node, Event::LinkDown { peer: to, connection: 0 });
            }
            return;
        };
        if cut || connection.lost {
            connection.lost = true;
            return;
        }
        let sent_until = connection.sent_until.entry(to).or_insert(Instant::ZERO);
        *sent_until = (*sent_until).max(now) + transfer;
        let arrival = connection.last_arrival.entry(to).or_insert(Instant::ZERO);
        *arrival = (*arrival).max(*sent_until + delay);
        let (at, connection) = (*arrival, connection.id);
        self.push(at, to, Event::Message { from: node, connection, message });
    }

    /// When the operating system has accepted the last message to a node, that is when all but the size of
    /// its buffer has been sent. Immediately, if there is no connection.
    pub(super) fn accepted_at(&self, node: Node, to: Node) -> Instant {
        let connection = self.connections.get(&Pair::of(node, to));
        let sent_until = connection.and_then(|connection| connection.sent_until.get(&to).copied());
        let buffered = self.transfer_time(node, self.send_buffer_bytes);
        sent_until.map_or(self.now, |sent_until| sent_until - buffered).max(self.now)
    }

    pub(super) fn send_datagram(&mut self, node: Node, to: Node, datagram: Datagram) {
        let bytes = bitcode::encode(&datagram).len() as u64;
        self.traffic.datagrams += 1;
        self.count_bytes(node, to, bytes, false);
        let lost = self.random_below(1_000) < self.loss;
        let runs = self.machines.get(&to).is_some_and(|machine| machine.membership.is_some());
        if runs && !lost && !self.is_cut_from(node, to) {
            let at = self.now + self.delay(node, to);
            self.push(at, to, Event::Datagram { from: node, datagram });
        }
    }

    fn count_bytes(&mut self, from: Node, to: Node, bytes: u64, is_update: bool) {
        let bytes = bytes + HEADER_BYTES;
        self.traffic.bytes += bytes;
        self.traffic.updates += u64::from(is_update);
        if self.machines[&from].zone != self.machines[&to].zone {
            self.traffic.cross_zone_messages += 1;
            self.traffic.cross_zone_bytes += bytes;
            self.traffic.cross_zone_updates += u64::from(is_update);
        }
    }
}
