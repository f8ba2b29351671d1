//! Applies changes to a quota state and builds the owner's answers.

use super::quota_state::QuotaState;
use crate::allowance::Allowance;
use crate::protocol::{Change, OwnerAnswer, RejectionReason};
use silvercross_control_store::{Rejection, State};
use silvercross_time::Duration;

impl State for QuotaState {
    type Change = Change;

    fn apply(&mut self, change: &Change) -> Result<bool, Rejection> {
        let changed = match change {
            Change::SetAllowance(allowance) => self.set_allowance(allowance),
            Change::RemoveAllowance { version } => Ok(self.remove_allowance(*version)),
            Change::GrantLease { lease, kind, wanted, minimum } => {
                self.grant(*lease, *kind, *wanted, *minimum)
            }
            Change::SettleLease { lease, used, orders } => self.settle(*lease, *used, orders),
            Change::ChargeOrder { order, attempt, kind, units } => {
                self.charge(*order, *attempt, *kind, *units)
            }
            Change::RefundOrder { order, attempt } => Ok(self.refund(*order, *attempt)),
            Change::RecordElapsed { window, elapsed } => Ok(self.record_elapsed(*window, *elapsed)),
            Change::EndWindow { window } => self.end_window(*window),
            Change::ExpireLease { lease } => Ok(self.expire(*lease)),
        }
        .map_err(RejectionReason::into_rejection)?;
        self.change_count += u64::from(changed);
        Ok(changed)
    }
}

impl QuotaState {
    /// The answer to the node that asked for a change. `self` is the committed state, with the change applied if it
    /// was accepted.
    pub fn answer(&self, change: &Change, outcome: &Result<bool, Rejection>) -> OwnerAnswer {
        let kind = match change {
            Change::GrantLease { kind, .. } | Change::ChargeOrder { kind, .. } => Some(*kind),
            _ => None,
        };
        let free = kind.map_or(0, |kind| self.free_units(kind));
        let rejected = |reason| {
            let length = self.allowance.as_ref().map_or(Duration::ZERO, |allowance| allowance.window_length);
            let ends_in = (length - self.elapsed).max(Duration::ZERO);
            OwnerAnswer::Rejected { reason, window: self.window, ends_in, free }
        };
        match (change, outcome) {
            (_, Err(rejection)) => rejected(RejectionReason::of(rejection)),
            (Change::GrantLease { lease, .. }, Ok(_)) => match self.leases.get(lease) {
                Some(lease) => OwnerAnswer::Granted { lease: *lease, free },
                None => rejected(RejectionReason::Superseded),
            },
            (Change::ChargeOrder { order, attempt, .. }, Ok(_)) => match self.orders.get(order) {
                Some(entry) => {
                    let is_repeat = entry.first_charged() != Some(*attempt);
                    OwnerAnswer::Charged { is_repeat, window: entry.window, free }
                }
                None => rejected(RejectionReason::Superseded),
            },
            _ => OwnerAnswer::Done,
        }
    }

    fn set_allowance(&mut self, new: &Allowance) -> Result<bool, RejectionReason> {
        match &self.allowance {
            Some(old) if old == new => Ok(false),
            _ if new.version < self.version => Ok(false),
            Some(old) if new.version == old.version => Err(RejectionReason::Superseded),
            None if new.version == self.version && self.version > 0 => Err(RejectionReason::Superseded),
            _ => {
                self.version = new.version;
                self.allowance = Some(new.clone());
                Ok(true)
            }
        }
    }

    fn remove_allowance(&mut self, version: u64) -> bool {
        let is_newer = version > self.version;
        if is_newer {
            (self.version, self.allowance) = (version, None);
        }
        is_newer
    }

    fn record_elapsed(&mut self, window: u64, elapsed: Duration) -> bool {
        let is_later = window == self.window && elapsed > self.elapsed;
        if is_later {
            self.elapsed = elapsed;
        }
        is_later
    }

    /// Ends a window. Leases, orders and nodes of windows before the one that ended are removed.
    fn end_window(&mut self, window: u64) -> Result<bool, RejectionReason> {
        if window < self.window {
            return Ok(false);
        }
        if window > self.window || window == u64::MAX {
            return Err(RejectionReason::Invalid);
        }
        self.window += 1;
        self.elapsed = Duration::ZERO;
        self.previous = std::mem::take(&mut self.current);
        self.leases.retain(|_, lease| lease.window >= window);
        self.orders.retain(|_, entry| entry.window >= window);
        self.nodes.retain(|_, node| node.window >= window);
        Ok(true)
    }
}
