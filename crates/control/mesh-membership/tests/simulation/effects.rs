//! Executes the effects returned by a node.
use super::ms;
use super::world::{Body, Event, GoneReport, World, START_TIME};
use silvercross_mesh_membership::{Effect, EntryRevision, Node};
use silvercross_time::Duration;

/// Time until a probe fails that gets no answer.
const PROBE_TIMEOUT: Duration = ms(500);
/// Upper bound of the delay of a tick.
const TICK_DELAY_MICROS: u64 = 200;

impl World {
    pub(super) fn apply_effects(&mut self, node: Node) {
        let now = self.now;
        let Some(membership) = self.machine_mut(node).membership.as_mut() else { return };
        let effects = membership.take_effects();
        let deadline = membership.next_deadline().max(now + Duration::from_micros(1));
        let tick_at = self.machines[&node].tick_at;
        if tick_at <= now || deadline < tick_at {
            self.machine_mut(node).tick_at = deadline;
            let late = Duration::from_micros(self.random_below(TICK_DELAY_MICROS) as i64);
            self.push(deadline + late, node, Event::Tick);
        }
        for effect in effects {
            if self.trace {
                println!("{:>9.3} {:>4} {:?}", (now - START_TIME).as_secs_f64(), node.0, effect);
            }
            self.apply_effect(node, effect);
        }
        self.check_freshness(node);
    }

    fn apply_effect(&mut self, node: Node, effect: Effect<Body>) {
        let now = self.now;
        match effect {
            Effect::OpenLink { to } => self.open_link(node, to),
            Effect::CloseLink { to } => self.close_link(node, to),
            Effect::SendMessage { to, message } => self.send_message(node, to, message),
            Effect::SendEntries { to, message } => {
                self.send_message(node, to, message);
                let accepted_at = self.accepted_at(node, to);
                self.push(accepted_at, node, Event::EntriesSent { to });
            }
            Effect::SendDatagram { to, datagram } => self.send_datagram(node, to, datagram),
            Effect::Probe { node: probed } => self.probe(node, probed),
            Effect::RecordChanged(record) if record.gone => {
                self.gone_reports.push(GoneReport { at: now, by: node, node: record.node });
            }
            // Only revisions acknowledged before the read began are guaranteed.
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
        self.push(self.now + delay, node, Event::ProbeFinished { node: probed, reachable });
    }
}
