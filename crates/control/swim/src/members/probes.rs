//! Direct and indirect probes: one member in each period, round-robin over a shuffled order (SWIM, 4.3). Without a direct ack,
//! ping-reqs are sent to other members; missing nacks indicate a fault of this member's own links (Lifeguard, 3.1).
use super::reports::Subject;
use super::state::{Members, Probe};
use crate::config::Mutant;
use crate::identity::{Identity, Incarnation};
use crate::limits::{INDIRECT_PROBES, MAX_LOCAL_HEALTH_MULTIPLIER};
use crate::table::State;
use crate::time::Micros;
use crate::wire::Message;
use rand_core::RngCore;
use std::net::SocketAddr;

impl Members {
    /// Checks the pending probe: it is answered, its direct ack is overdue, or it has failed.
    pub(super) fn check_probe(&mut self, now: Micros) {
        if self.config.has_mutant(Mutant::NoLocalHealth) {
            self.local_health_multiplier = 0;
        }
        let Some(p) = &self.probe else { return };
        let (number, target) = (p.number, p.target);
        if p.answered {
            self.probe = None;
            return;
        }
        let known = self.table.get(target).map(|s| (s.record.at, s.record.incarnation, s.state));
        let Some((target_at, incarnation, state)) = known.filter(|k| k.2.is_live()) else {
            self.probe = None;
            return;
        };
        if p.asked == 0 && now >= p.indirect_at {
            return self.request_indirect_probes(number, target, target_at);
        }
        if now < p.until {
            return;
        }
        // Without a nack from some helper the fault may be in this member's own links (Lifeguard, 3.1).
        let missed = p.asked.saturating_sub(p.nacks);
        self.probe = None;
        self.local_health_multiplier =
            (self.local_health_multiplier + 1 + missed.min(1)).min(MAX_LOCAL_HEALTH_MULTIPLIER);
        if state == State::Alive {
            self.metrics.suspected += 1;
            let me = self.me.id;
            self.report(now, Subject::Known { id: target, incarnation }, State::Suspect, me, false);
        } else {
            let me = self.me.id;
            self.confirm(target, me);
        }
    }

    /// Sends ping-reqs for the probed member, whose direct ack is overdue.
    fn request_indirect_probes(&mut self, number: u64, target: Identity, target_at: SocketAddr) {
        self.metrics.late_probes += 1;
        let asked = if self.config.has_mutant(Mutant::NoIndirectProbes) { 0 } else { INDIRECT_PROBES };
        let mut helpers = self.random_live_members(asked, Some(target));
        // Always include the sender of the last accepted message: it may be the only reachable member.
        let last =
            self.last_heard.filter(|id| asked > 0 && *id != target && !helpers.iter().any(|h| h.0 == *id));
        let last = last.and_then(|id| self.table.get(id)).filter(|s| s.state.is_live());
        if let Some(last) = last.map(|s| (s.record.id, s.record.at)) {
            helpers.truncate(INDIRECT_PROBES - 1);
            helpers.push(last);
        }
        let ask = Message::PingReq {
            probe: number,
            target,
            target_at,
            at: self.me.at,
            held: self.held_state(target),
        };
        if let Some(p) = self.probe.as_mut() {
            p.asked = helpers.len().max(1) as u32;
            // Without helpers no nack is missed.
            p.nacks = if helpers.is_empty() { 1 } else { 0 };
        }
        for (_, at) in helpers {
            self.send(at, ask.clone(), None);
        }
    }

    /// Sends nacks for overdue indirect probes and drops expired ones.
    pub(super) fn check_relayed_probes(&mut self, now: Micros) {
        let mut nacks = Vec::new();
        self.relayed_probes.retain_mut(|r| {
            if !r.nacked && now >= r.nack_at {
                r.nacked = true;
                nacks.push((r.at, r.origin_number));
            }
            now < r.until
        });
        for (at, probe) in nacks {
            self.send(at, Message::Nack { probe }, None);
        }
    }

    pub(super) fn begin_probe(&mut self, now: Micros) {
        if self.probe.is_some() {
            return;
        }
        for _ in 0..self.probe_order.len() {
            if self.next_in_order >= self.probe_order.len() {
                self.next_in_order = 0;
                self.shuffle();
            }
            let target = self.probe_order[self.next_in_order];
            self.next_in_order += 1;
            let Some(at) = self.table.get(target).filter(|s| s.state.is_live()).map(|s| s.record.at) else {
                continue;
            };
            let number = self.next_probe_number();
            self.metrics.probes += 1;
            let (direct, probe_interval) = (
                self.config.ping_timeout() * Micros::from(1 + self.local_health_multiplier),
                self.probe_interval(),
            );
            self.probe = Some(Probe {
                number,
                target,
                indirect_at: now + direct,
                until: now + probe_interval,
                asked: 0,
                nacks: 0,
                answered: false,
            });
            let ping = self.ping(number, target, self.held_state(target));
            return self.send(at, ping, Some(target));
        }
    }

    /// Pings a random failed member in each period, so that both sides of a healed partition find each other again.
    pub(super) fn ping_failed_member(&mut self) {
        let failed: Vec<Identity> = self
            .table
            .not_alive()
            .iter()
            .copied()
            .filter(|id| self.table.get(*id).is_some_and(|s| s.state == State::Failed))
            .collect();
        if failed.is_empty() {
            return;
        }
        let id = failed[self.rng.next_u32() as usize % failed.len()];
        if let Some(at) = self.table.get(id).map(|s| s.record.at) {
            let number = self.next_probe_number();
            let ping = self.ping(number, id, self.held_state(id));
            self.send(at, ping, Some(id));
        }
    }

    pub(super) fn shuffle(&mut self) {
        for i in (1..self.probe_order.len()).rev() {
            let j = self.rng.next_u32() as usize % (i + 1);
            self.probe_order.swap(i, j);
        }
    }

    pub(super) fn next_probe_number(&mut self) -> u64 {
        self.last_probe_number += 1;
        self.last_probe_number
    }

    pub(super) fn held_state(&self, id: Identity) -> Option<(State, Incarnation)> {
        let member = self.table.get(id)?;
        (member.state != State::Alive).then_some((member.state, member.record.incarnation))
    }

    pub(super) fn ping(&self, probe: u64, to: Identity, held: Option<(State, Incarnation)>) -> Message {
        Message::Ping { probe, to, at: self.me.at, held, digest: self.digest() }
    }
}
