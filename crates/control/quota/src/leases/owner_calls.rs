//! Calls to owners: requests for leases ahead of use, and cancellations of calls.

use super::held::{PendingCall, WaitingRequest, MAX_HELD_LEASES};
use super::quota_leases::{QuotaLeases, MAX_PENDING_CALLS};
use crate::allowance::RequestKind;
use crate::protocol::Change;
use crate::state::MAX_LEASE_UNITS;
use silvercross_time::Instant;

/// Units requested with a first lease.
pub(super) const FIRST_LEASE_UNITS: u64 = 16;

/// A lease to request.
pub(super) struct LeaseRequest<'a> {
    pub(super) member: &'a str,
    pub(super) kind: RequestKind,
    /// Maximum number of units.
    pub(super) wanted: u64,
    /// Minimum number of units, or 0.
    pub(super) minimum: u64,
}

impl QuotaLeases {
    /// Queues a call and returns its number, which is also the number of the lease or attempt that it is about.
    pub(super) fn send_call(
        &mut self,
        now: Instant,
        member: &str,
        change: Change,
        waiting: Vec<WaitingRequest>,
    ) -> u64 {
        self.last_number += 1;
        let (member, is_resent) = (member.to_string(), false);
        let call = PendingCall { member, change, since: now, sent_at: now, is_resent, waiting };
        self.pending.insert(self.last_number, call);
        self.to_send.push(self.last_number);
        self.last_number
    }

    /// Requests the next lease of a kind.
    pub(super) fn request_lease(
        &mut self,
        now: Instant,
        request: LeaseRequest<'_>,
        waiting: Vec<WaitingRequest>,
    ) {
        let LeaseRequest { member, kind, wanted, minimum } = request;
        let lease = self.operation_id(self.last_number + 1);
        let number =
            self.send_call(now, member, Change::GrantLease { lease, kind, wanted, minimum }, waiting);
        if let Some(leases) = self.kind_leases(member, kind) {
            leases.pending_lease = Some(number);
        }
        self.active.insert(member.to_string());
    }

    /// Requests the next lease before the current one is used up or expires.
    pub(super) fn refill(&mut self, now: Instant, member: &str, kind: RequestKind) {
        let (lease_duration, minimum) = (self.config.lease_duration, self.config.min_lease);
        let Some(leases) = self.kind_leases(member, kind) else { return };
        let has_enough_leases = leases.held.len() >= MAX_HELD_LEASES / 2;
        if leases.pending_lease.is_some() || leases.is_nearly_exhausted(minimum) || has_enough_leases {
            return;
        }
        let recent = leases.held.values().filter(|held| held.is_usable(now, lease_duration / 2));
        let (free, largest) =
            recent.fold((0, 0), |(free, largest), held| (free + held.free(), held.lease.amount.max(largest)));
        if free * 2 >= largest.max(1) {
            return;
        }
        // More than half used within half its lifetime: request twice as much. No lease that recent: request as much
        // as was used.
        leases.wanted = match largest {
            0 => leases.held.values().map(|held| held.used).max().unwrap_or(0).max(FIRST_LEASE_UNITS),
            _ => leases.wanted.max(largest).saturating_mul(2).min(MAX_LEASE_UNITS),
        };
        let wanted = leases.wanted;
        self.request_lease(now, LeaseRequest { member, kind, wanted, minimum }, Vec::new());
    }

    /// Keeps one lease request pending while requests are rejected because the owner is unreachable, to detect when
    /// it is reachable again.
    pub(super) fn probe_owner(&mut self, now: Instant, member: &str, kind: RequestKind) {
        let is_requesting =
            self.kind_leases(member, kind).is_some_and(|leases| leases.pending_lease.is_some());
        if !is_requesting && self.pending.len() < MAX_PENDING_CALLS {
            let request = LeaseRequest { member, kind, wanted: FIRST_LEASE_UNITS, minimum: 0 };
            self.request_lease(now, request, Vec::new());
        }
    }

    /// Cancels a call at the owner, whether or not the call has arrived there.
    pub(super) fn cancel_call(&mut self, now: Instant, member: &str, change: &Change) {
        let undo = match change {
            Change::ChargeOrder { order, attempt, .. } => {
                Change::RefundOrder { order: *order, attempt: *attempt }
            }
            Change::GrantLease { lease, .. } => {
                Change::SettleLease { lease: *lease, used: 0, orders: Vec::new() }
            }
            _ => return,
        };
        self.send_call(now, member, undo, Vec::new());
    }
}
