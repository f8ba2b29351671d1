//! Gives leases back because the owner recalls them, the window has ended, the member is no longer counted, or the
//! node stops.

use super::quota_leases::QuotaLeases;
use crate::allowance::RequestKind;
use silvercross_time::Instant;

impl QuotaLeases {
    /// Stops counting a member and settles its leases.
    pub fn remove_allowance(&mut self, now: Instant, member: &str) {
        self.recall(now, member);
        self.members.remove(member);
        self.active.remove(member);
    }

    /// Notes that a member's window has started, however the node learned of it, and settles the leases of older
    /// windows.
    pub fn begin_window(&mut self, now: Instant, member: &str, window: u64) {
        let Some(leases) = self.members.get_mut(member) else { return };
        let mut holds_older = false;
        for kind in &mut leases.kinds {
            if window > kind.window {
                kind.update_from_owner(window, 0);
                kind.free = None;
                holds_older |= !kind.held.is_empty();
            }
        }
        if holds_older {
            self.recall(now, member);
        }
    }

    /// Settles all leases of a member because the owner recalls them.
    pub fn recall(&mut self, now: Instant, member: &str) {
        for kind in RequestKind::ALL {
            let Some(leases) = self.kind_leases(member, kind) else { return };
            let numbers: Vec<u64> = leases.held.keys().copied().collect();
            for number in numbers {
                self.settle(now, member, kind, number);
            }
        }
    }

    /// Settles all leases because this node is stopping.
    pub fn stop_gracefully(&mut self, now: Instant) {
        for member in self.active.clone() {
            self.recall(now, &member);
        }
    }
}
