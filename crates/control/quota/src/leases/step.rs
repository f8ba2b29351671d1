//! The node's clock. A node that was not stepped for too long cannot know the state of its leases.

use super::quota_leases::QuotaLeases;
use crate::mutation::{is_active, Mutation};
use silvercross_time::Instant;

impl QuotaLeases {
    /// Advances the clock. After a gap longer than `max_step`, nothing more is taken from the held leases.
    pub(super) fn step(&mut self, now: Instant) {
        let passed = now - self.last_step;
        if is_active(Mutation::EndsWindowByOwnClock) {
            self.end_windows_by_own_clock(now);
        }
        self.last_step = self.last_step.max(now);
        if passed <= self.config.max_step {
            return;
        }
        self.metrics.missed_steps += 1;
        for member in &self.active {
            let Some(leases) = self.members.get_mut(member) else { continue };
            for held in leases.kinds.iter_mut().flat_map(|kind| kind.held.values_mut()) {
                held.is_closed = true;
            }
        }
    }

    /// Implements [`Mutation::EndsWindowByOwnClock`]: starts a new window by the node's own clock.
    fn end_windows_by_own_clock(&mut self, now: Instant) {
        let last_step = self.last_step;
        for leases in self.members.values_mut() {
            let length = leases.allowance.window_length.as_micros();
            if now.as_micros() / length == last_step.as_micros() / length {
                continue;
            }
            for held in leases.kinds.iter_mut().flat_map(|kind| kind.held.values_mut()) {
                (held.used, held.requested_at) = (0, now);
                held.orders.clear();
            }
        }
    }
}
