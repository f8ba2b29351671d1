//! Leases that are to be given back: the owner recalls them, the window has ended, the member is no more counted, the node
//! stops.

use super::quota_leases::QuotaLeases;
use crate::allowance::RequestKind;
use silvercross_time::Instant;

impl QuotaLeases {
    /// A member is no more counted. What is held of it is settled.
    pub fn remove_allowance(&mut self, now: Instant, member: &str) {
        self.recall(now, member);
        self.members.remove(member);
        self.busy.remove(member);
    }

    /// It is heard, by whatever way, that a member's window runs.
    pub fn begin_window(&mut self, now: Instant, member: &str, window: u64) {
        let Some(leases) = self.members.get_mut(member) else { return };
        let mut holds_older = false;
        for kind in &mut leases.kinds {
            if window > kind.window {
                kind.learn(window, 0);
                kind.free = None;
                holds_older |= !kind.held.is_empty();
            }
        }
        if holds_older {
            self.recall(now, member);
        }
    }

    /// The owner recalls a member's leases: all are settled.
    pub fn recall(&mut self, now: Instant, member: &str) {
        for kind in RequestKind::ALL {
            let Some(leases) = self.kind_leases(member, kind) else { return };
            let numbers: Vec<u64> = leases.held.keys().copied().collect();
            for number in numbers {
                self.settle(now, member, kind, number);
            }
        }
    }

    /// This node stops gracefully: all leases are settled.
    pub fn stop_gracefully(&mut self, now: Instant) {
        for member in self.busy.clone() {
            self.recall(now, &member);
        }
    }
}
