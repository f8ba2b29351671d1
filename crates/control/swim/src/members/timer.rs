//! Timed work: the protocol period, gossip rounds, contacting seeds, resending drains, removing members, and detecting pauses of
//! this process. Probes are in `probes.rs`.
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
    /// Does all work that is due. It may be called at any time.
    pub fn tick(&mut self, now: Micros) {
        // A member that is leaving has no deadline to be late for.
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
                // Jitter, so that members started together don't contact seeds together.
                let jitter = (self.rng.next_u64() % (after * self.config.period / 4).max(1) as u64) as Micros;
                self.next_seeds = now + after * self.config.period + jitter;
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

    /// This process was stopped or starved of CPU. It could not receive anything meanwhile, so the pause does not count against
    /// other members: the probe is dropped and suspicions are extended.
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

    /// The protocol period scaled by the local health multiplier (Lifeguard, 3.1).
    pub(super) fn probe_interval(&self) -> Micros {
        self.config.period * Micros::from(1 + self.local_health_multiplier)
    }

    /// Removes departed and failed members after [`crate::Config::forget_after`]; failed ones only if this member sees a majority
    /// of the fleet.
    pub(super) fn forget_members(&mut self, now: Micros) {
        let sees_majority = View::may_forget(self.table.live() + 1, self.table.failed());
        let expired = |m: &Member| match m.state {
            State::Left => m.since + self.config.forget_after <= now,
            State::Failed => sees_majority && m.since + self.config.forget_after <= now,
            _ => false,
        };
        let removed: Vec<Identity> = self
            .table
            .not_alive()
            .iter()
            .copied()
            .filter(|id| self.table.get(*id).is_some_and(expired))
            .collect();
        for id in removed {
            self.table.remove(id);
            self.probe_order.retain(|other| *other != id);
            self.updates.drop_about(id);
        }
    }

    /// Leaves the fleet: the leave is gossiped to some members at once, which pass it on.
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
