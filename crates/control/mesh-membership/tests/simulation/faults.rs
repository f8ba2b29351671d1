//! Faults of machines and of the network.
use super::world::{Event, Pair, Route, World};
use silvercross_mesh_membership::Node;
use silvercross_time::Duration;

impl World {
    /// Ends the process; its peers see their connections close.
    pub fn kill(&mut self, node: Node) {
        self.stop(node, true);
    }

    /// The machine loses power; its peers are not notified.
    pub fn power_off(&mut self, node: Node) {
        self.stop(node, false);
    }

    fn stop(&mut self, node: Node, powered: bool) {
        let machine = self.machine_mut(node);
        machine.membership = None;
        machine.powered = powered;
        self.events.retain(|_, (at, _)| *at != node);
        self.dials.retain(|route, _| route.from != node);
        let pairs: Vec<Pair> = self.connections.keys().filter(|pair| pair.has(node)).copied().collect();
        for pair in pairs {
            let connection = self.connections.remove(&pair).expect("listed").id;
            let peer = pair.other(node);
            if powered && !self.is_cut_from(node, peer) {
                let at = self.now + self.delay(node, peer);
                self.push(at, peer, Event::LinkDown { peer: node, connection });
            }
        }
    }

    pub fn freeze(&mut self, node: Node, span: Duration) {
        let until = self.now + span;
        self.machine_mut(node).frozen_until = until;
    }

    /// Drops everything in this direction.
    pub fn cut(&mut self, from: Node, to: Node) {
        self.cuts.insert(Route { from, to });
    }

    /// Drops everything between a node and others, in both directions.
    pub fn cut_off(&mut self, node: Node, others: &[Node]) {
        for other in others.iter().filter(|other| **other != node) {
            self.cut(node, *other);
            self.cut(*other, node);
        }
    }

    pub fn is_cut_from(&self, from: Node, to: Node) -> bool {
        self.cuts.contains(&Route { from, to })
    }

    /// Whether anything is lost between the two nodes, in either direction.
    pub fn is_cut(&self, a: Node, b: Node) -> bool {
        self.is_cut_from(a, b) || self.is_cut_from(b, a)
    }

    /// Ends all cuts; connections that lost something are closed.
    pub fn heal(&mut self) {
        self.cuts.clear();
        let lost = self.connections.iter().filter(|(_, connection)| connection.lost);
        let lost: Vec<Pair> = lost.map(|(pair, _)| *pair).collect();
        for pair in lost {
            let connection = self.connections.remove(&pair).expect("listed").id;
            let at = self.now + self.delay(pair.low, pair.high);
            self.push(at, pair.low, Event::LinkDown { peer: pair.high, connection });
            self.push(at, pair.high, Event::LinkDown { peer: pair.low, connection });
        }
    }
}
