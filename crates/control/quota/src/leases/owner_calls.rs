//! Calls to owners: for leases ahead of their use, and to undo what may have been done.

use super::held::{PendingCall, WaitingRequest, MAX_HELD_LEASES};
use super::quota_leases::{QuotaLeases, MAX_PENDING_CALLS};
use crate::allowance::RequestKind;
use crate::protocol::Change;
use crate::state::MAX_LEASE_UNITS;
use silvercross_time::Instant;

/// Units of a first lease that is asked for.
pub(super) const FIRST_LEASE_UNITS: u64 = 16;

/// A lease to be asked for.
pub(super) struct LeaseRequest<'a> {
    pub(super) member: &'a str,
    pub(super) kind: RequestKind,
    /// Units at most.
    pub(super) wanted: u64,
    /// Units at least, or 0.
    pub(super) minimum: u64,
}

impl QuotaLeases {
    /// Puts a call under way and gives its number, which is also that of the lease or attempt it is about.
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

    /// Asks for the next lease of a kind.
    pub(super) fn ask_for_lease(
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
            leases.asking = Some(number);
        }
        self.busy.insert(member.to_string());
    }

    /// Asks for the next lease before the last one is used up or its time is over.
    pub(super) fn refill(&mut self, now: Instant, member: &str, kind: RequestKind) {
        let (lease_duration, minimum) = (self.config.lease_duration, self.config.min_lease);
        let Some(leases) = self.kind_leases(member, kind) else { return };
        let is_enough = leases.held.len() >= MAX_HELD_LEASES / 2;
        if leases.asking.is_some() || leases.is_nearly_exhausted(minimum) || is_enough {
            return;
        }
        let young = leases.held.values().filter(|held| held.is_usable(now, lease_duration / 2));
        let (free, largest) =
            young.fold((0, 0), |(free, largest), held| (free + held.free(), held.lease.amount.max(largest)));
        if free * 2 >= largest.max(1) {
            return;
        }
        // Used up before half its time: more is wanted; its time half over: as much as was used.
        leases.wanted = match largest {
            0 => leases.held.values().map(|held| held.used).max().unwrap_or(0).max(FIRST_LEASE_UNITS),
            _ => leases.wanted.max(largest).saturating_mul(2).min(MAX_LEASE_UNITS),
        };
        let wanted = leases.wanted;
        self.ask_for_lease(now, LeaseRequest { member, kind, wanted, minimum }, Vec::new());
    }

    /// While the owner is out of reach and requests are rejected for it: one question under way, so that its return is seen.
    pub(super) fn probe_owner(&mut self, now: Instant, member: &str, kind: RequestKind) {
        let is_asking = self.kind_leases(member, kind).is_some_and(|leases| leases.asking.is_some());
        if !is_asking && self.pending.len() < MAX_PENDING_CALLS {
            let request = LeaseRequest { member, kind, wanted: FIRST_LEASE_UNITS, minimum: 0 };
            self.ask_for_lease(now, request, Vec::new());
        }
    }

    /// Tells the owner that nothing comes of a call, wherever its messages are.
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
