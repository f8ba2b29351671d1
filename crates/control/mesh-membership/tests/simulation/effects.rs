//! What a node wants done is done.
use super::ms;
use super::world::{Body, Event, GoneReport, World, START_TIME};
use silvercross_mesh_membership::{Effect, EntryRevision, Node};
use silvercross_time::Duration;

/// A probe that nothing answers takes so long.
const PROBE_TIMEOUT: Duration = ms(500);
/// A tick comes late by less than so many microseconds.
const TICK_DELAY_MICROS: u64 = 200;

impl World {
    pub(super) fn carry_out_effects(&mut self, node: Node) {
        let now = self.now;
        let Some(membership) = self.machine_mut(node).membership.as_mut() else { return };
        let effects = membership.take_effects();
        let deadline = membership.next_deadline().max(now + Duration::from_micros(1));
        let tick_at = self.machines[&node].tick_at;
        if tick_at <= now || deadline < tick_at {
            self.machine_mut(node).tick_at = deadline;
            let late = Duration::from_micros(self.below(TICK_DELAY_MICROS) as i64);
            self.push(deadline + late, node, Event::Tick);
        }
        for effect in effects {
            if self.trace {
                println!("{:>9.3} {:>4} {:?}", (now - START_TIME).as_secs_f64(), node.0, effect);
            }
            self.carry_out(node, effect);
        }
        self.check_freshness(node);
    }

    fn carry_out(&mut self, node: Node, effect: Effect<Body>) {
        let now = self.now;
        match effect {
            Effect::OpenLink { to } => self.open_link(node, to),
            Effect::CloseLink { to } => self.close_link(node, to),
            Effect::SendMessage { to, message } => self.send_message(node, to, message),
            Effect::SendEntries { to, message } => {
                self.send_message(node, to, message);
                let taken_at = self.taken_at(node, to);
                self.push(taken_at, node, Event::EntriesLeft { to });
            }
            Effect::SendDatagram { to, datagram } => self.send_datagram(node, to, datagram),
            Effect::Probe { node: probed } => self.probe(node, probed),
            Effect::RecordChanged(record) if record.gone => {
                self.gone.push(GoneReport { at: now, by: node, node: record.node });
            }
            // Nothing later than what it began with may be counted on.
            Effect::ConfirmRevisions { request_id } => {
                self.reads.begun += 1;
                let acknowledged = self.acknowledged.iter();
                let revisions = acknowledged
                    .map(|(key, revision)| EntryRevision { key: key.clone(), revision: *revision })
                    .collect();
                self.push(now + self.read_delay, node, Event::Confirm { request_id, revisions });
            }
            Effect::RecordChanged(_) | Effect::EntryChanged(_) => (),
        }
    }

    fn probe(&mut self, node: Node, probed: Node) {
        let machine = &self.machines[&probed];
        let cut = self.is_cut(node, probed);
        let reachable = machine.membership.is_some() && !cut;
        let answers = machine.powered && !cut;
        let delay = if answers { self.delay(node, probed) * 2 } else { PROBE_TIMEOUT };
        self.push(self.now + delay, node, Event::Probed { node: probed, reachable });
    }
}
