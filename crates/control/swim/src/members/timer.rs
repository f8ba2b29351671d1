//! What is due by time: the protocol period, gossip rounds, seeds, resent drains, forgotten members, and the pause of an own process.
//! The probe itself is in `probes.rs`.
use super::state::Members;
use crate::config::Mutant;
use crate::drains::Drain;
use crate::identity::Identity;
use crate::limits::{
    DRAIN_RESEND_PERIODS, GOSSIP_ROUNDS_PER_PERIOD, MAX_LOCAL_HEALTH_MULTIPLIER, PAUSE_DIVISOR,
    SEED_REFRESH_PERIODS, SEED_RETRY_PERIODS,
};
use crate::table::{Member, State};
use crate::time::Micros;
use crate::updates::MembershipUpdate;
use crate::view::View;
use rand_core::RngCore;

impl Members {
    /// Do what is due. It may be called at any time.
    pub fn tick(&mut self, now: Micros) {
        // One that leaves has no time that it could be late for.
        let late =
            if self.leaving || self.stood_down { 0 } else { now - self.last_tick.max(self.planned_tick) };
        if late > self.config.period / PAUSE_DIVISOR && !self.config.has_mutant(Mutant::NoLocalHealth) {
            self.handle_pause(now, late);
        }
        self.last_tick = now;
        if !self.stood_down && !self.leaving {
            self.check_probe(now);
            self.check_relayed_probes(now);
            self.expire_suspicions(now);
            if now >= self.next_probe {
                self.next_probe = now + self.probe_interval();
                self.forget_members(now);
                self.begin_probe(now);
                self.ping_failed_member();
            }
            if now >= self.next_seeds {
                let alone = self.table.live() == 0;
                let after = if alone { SEED_RETRY_PERIODS } else { SEED_REFRESH_PERIODS };
                // Spread, so that those who started together don't ask together.
                let spread = (self.rng.next_u64() % (after * self.config.period / 4).max(1) as u64) as Micros;
                self.next_seeds = now + after * self.config.period + spread;
                self.ask_seed();
            }
            if now >= self.next_drains {
                if self.config.has_mutant(Mutant::DrainsExpire) {
                    self.drains.clear_reported();
                }
                self.next_drains = now + DRAIN_RESEND_PERIODS * self.config.period;
                let all: Vec<Drain> = self.drains.all().cloned().collect();
                if self.table.live() > 0 && self.updates.is_empty() {
                    all.into_iter().for_each(|d| self.updates.add(MembershipUpdate::Drain(d)));
                }
            }
            if now >= self.next_round {
                self.next_round = now + self.config.period / GOSSIP_ROUNDS_PER_PERIOD;
                self.gossip();
            }
        } else if self.leaving && now >= self.next_round {
            self.next_round = now + self.config.period / GOSSIP_ROUNDS_PER_PERIOD;
            self.gossip();
        }
        self.notify_view_change();
        self.planned_tick = self.next_deadline();
    }

    /// This process was stopped, or had no processor: what did not come meanwhile could not, so no time has passed for others.
    pub(super) fn handle_pause(&mut self, now: Micros, by: Micros) {
        self.metrics.pauses += 1;
        self.local_health_multiplier = (self.local_health_multiplier + 1).min(MAX_LOCAL_HEALTH_MULTIPLIER);
        self.probe = None;
        self.relayed_probes.clear();
        let not_alive = self.table.not_alive().to_vec();
        for id in not_alive {
            let suspicion = self.table.get_mut(id).and_then(|s| s.suspicion.as_mut());
            suspicion.into_iter().for_each(|s| s.postpone(by));
        }
        self.next_probe = self.next_probe.max(now + self.config.period);
    }

    /// A probe's period, longer with the local health multiplier (Lifeguard, 3.1).
    pub(super) fn probe_interval(&self) -> Micros {
        self.config.period * Micros::from(1 + self.local_health_multiplier)
    }

    /// Those that left, and those that failed, are forgotten in time; the latter only by who sees most of the fleet.
    pub(super) fn forget_members(&mut self, now: Micros) {
        let may = View::may_forget(self.table.live() + 1, self.table.failed());
        let old = |s: &Member| match s.state {
            State::Left => s.since + self.config.forget_after <= now,
            State::Failed => may && s.since + self.config.forget_after <= now,
            _ => false,
        };
        let gone: Vec<Identity> = self
            .table
            .not_alive()
            .iter()
            .copied()
            .filter(|id| self.table.get(*id).is_some_and(old))
            .collect();
        for id in gone {
            self.table.remove(id);
            self.probe_order.retain(|o| *o != id);
            self.updates.drop_about(id);
        }
    }

    /// This process ends by its own will: it says so to some at once, and they to the others.
    pub fn leave(&mut self) {
        if !self.stood_down && !self.leaving {
            self.announce_leave();
        }
    }

    pub(super) fn announce_leave(&mut self) {
        self.leaving = true;
        self.updates.add(MembershipUpdate::Left { id: self.me.id, incarnation: self.me.incarnation });
        for _ in 0..3 {
            self.gossip();
        }
    }
}
