//! Passage of time: events are delivered in order to machines that are not frozen.
use super::ms;
use super::world::{Event, EventKey, Pair, World};
use silvercross_mesh_membership::Node;
use silvercross_time::{Duration, Instant};

/// Duration of a read that no majority confirms.
const FAILED_READ_DELAY: Duration = ms(800);

impl World {
    pub(super) fn push(&mut self, at: Instant, node: Node, event: Event) {
        self.last_id += 1;
        self.events.insert(EventKey { at, number: self.last_id }, (node, event));
    }

    pub fn run(&mut self, span: Duration) {
        self.run_to(self.now + span);
    }

    pub fn run_to(&mut self, end: Instant) {
        while let Some(first) = self.events.first_entry() {
            if first.key().at > end {
                break;
            }
            let (key, (node, event)) = first.remove_entry();
            self.now = self.now.max(key.at);
            self.dispatch(node, event);
        }
        self.now = end;
    }

    fn dispatch(&mut self, node: Node, event: Event) {
        let frozen_until = self.machines[&node].frozen_until;
        if self.now < frozen_until && !matches!(event, Event::Dial { .. }) {
            self.push(frozen_until, node, event);
            return;
        }
        if let Some(event) = self.intercept(node, event) {
            self.deliver(node, event);
        }
    }

    /// Handles the simulation's part of an event; returns the event if the node is to receive it.
    fn intercept(&mut self, node: Node, event: Event) -> Option<Event> {
        let now = self.now;
        let connection_to = |world: &World, peer| world.connections.get(&Pair::of(node, peer)).map(|c| c.id);
        match &event {
            Event::Dial { to, id } => {
                self.finish_dial(node, *to, *id);
                return None;
            }
            Event::LinkUp { peer, connection } if connection_to(self, *peer) != Some(*connection) => {
                // The connection was closed in the meantime: this side is also notified of its end.
                let (peer, connection) = (*peer, *connection);
                self.with(node, |membership| membership.link_up(now, peer));
                self.push(now, node, Event::LinkDown { peer, connection });
                return None;
            }
            // Ignored if there is a newer connection.
            Event::LinkDown { peer, connection }
                if connection_to(self, *peer).is_some_and(|current| current != *connection) =>
            {
                return None;
            }
            Event::Message { from, connection, .. } if connection_to(self, *from) != Some(*connection) => {
                return None;
            }
            Event::Confirm { request_id, .. } if !self.has_majority(node) => {
                self.reads.unconfirmed += 1;
                self.push(now + FAILED_READ_DELAY, node, Event::Unconfirmed { request_id: *request_id });
                return None;
            }
            Event::Tick if self.machines[&node].tick_at > now => return None,
            _ => (),
        }
        Some(event)
    }

    fn deliver(&mut self, node: Node, event: Event) {
        let now = self.now;
        self.with(node, |membership| match event {
            Event::Tick => membership.tick(now),
            Event::LinkUp { peer, .. } => membership.link_up(now, peer),
            Event::LinkDown { peer, .. } => membership.link_down(now, peer),
            Event::Message { from, message, .. } => membership.receive(now, from, message),
            Event::EntriesSent { to } => membership.entries_sent(now, to),
            Event::Datagram { from, datagram } => membership.receive_datagram(now, from, datagram),
            Event::ProbeFinished { node, reachable } => membership.probe_finished(now, node, reachable),
            Event::Confirm { request_id, revisions } => {
                membership.revisions_confirmed(now, request_id, Some(revisions));
            }
            Event::Unconfirmed { request_id } => membership.revisions_confirmed(now, request_id, None),
            Event::Dial { .. } => (),
        });
    }
}
