//! A node's leases of all members, its configuration and its calls to send.

use super::held::{KindLeases, MemberLeases, OpenRequest, PendingCall};
use super::request::{Metrics, OwnerCall};
use crate::allowance::{Allowance, RequestKind};
use crate::config::QuotaConfig;
use crate::protocol::OperationId;
use silvercross_time::Instant;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of members with an allowance. [`QuotaLeases::set_allowance`] returns `false` for a further one,
/// which is not counted on this node.
pub const MAX_MEMBERS: usize = 131_072;
/// Maximum number of pending calls to owners. At the limit, what needs another call is rejected as
/// [`crate::RejectionReason::Overloaded`]; calls that settle or refund are still sent.
pub const MAX_PENDING_CALLS: usize = 8_192;
/// Maximum number of accepted requests whose outcome was not reported; further ones are rejected as
/// [`crate::RejectionReason::Overloaded`].
pub const MAX_OPEN_REQUESTS: usize = 65_536;

/// A node's leases of all members. Bounds: [`MAX_MEMBERS`], [`MAX_PENDING_CALLS`], [`MAX_OPEN_REQUESTS`],
/// [`crate::MAX_HELD_LEASES`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuotaLeases {
    node: u32,
    incarnation: u64,
    pub(super) config: QuotaConfig,
    pub(super) last_number: u64,
    pub(super) last_step: Instant,
    pub(super) members: BTreeMap<String, MemberLeases>,
    /// Members for which a lease is held or requested.
    pub(super) active: BTreeSet<String>,
    pub(super) open_requests: BTreeMap<u64, OpenRequest>,
    pub(super) pending: BTreeMap<u64, PendingCall>,
    /// Numbers of the calls to send.
    pub(super) to_send: Vec<u64>,
    pub(super) metrics: Metrics,
}

impl QuotaLeases {
    /// A node without leases. `incarnation` must be above that of every earlier start of this node.
    pub fn new(now: Instant, node: u32, incarnation: u64, config: QuotaConfig) -> QuotaLeases {
        QuotaLeases {
            node,
            incarnation,
            config,
            last_number: 0,
            last_step: now,
            members: BTreeMap::new(),
            active: BTreeSet::new(),
            open_requests: BTreeMap::new(),
            pending: BTreeMap::new(),
            to_send: Vec::new(),
            metrics: Metrics::default(),
        }
    }

    /// Sets a member's allowance if its version is newer. Returns whether the member is counted on this node.
    pub fn set_allowance(&mut self, allowance: &Allowance) -> bool {
        if let Some(member) = self.members.get_mut(&allowance.name) {
            if allowance.version > member.allowance.version {
                member.allowance = allowance.clone();
            }
            return true;
        }
        if self.members.len() >= MAX_MEMBERS {
            return false;
        }
        let (allowance, kinds) = (allowance.clone(), Default::default());
        let name = allowance.name.clone();
        self.members.insert(name, MemberLeases { allowance, kinds, is_owner_unreachable: false });
        true
    }

    /// The counters.
    pub fn metrics(&self) -> Metrics {
        self.metrics
    }

    /// Units of a member's kind left in the leases that this node holds.
    pub fn held_units(&self, member: &str, kind: RequestKind) -> u64 {
        let held = self.members.get(member).map(|leases| &leases.kinds[kind.index()].held);
        held.map_or(0, |held| held.values().map(|lease| lease.free()).sum())
    }

    /// Takes the calls to send, including those to send again.
    pub fn take_calls(&mut self) -> Vec<OwnerCall> {
        let numbers = std::mem::take(&mut self.to_send);
        let call = |number| {
            let pending = self.pending.get(&number)?;
            Some(OwnerCall { number, member: pending.member.clone(), change: pending.change.clone() })
        };
        let calls: Vec<OwnerCall> = numbers.into_iter().filter_map(call).collect();
        self.metrics.calls += calls.len() as u64;
        calls
    }

    /// The id of the lease or attempt with this number.
    pub(super) fn operation_id(&self, number: u64) -> OperationId {
        OperationId { node: self.node, incarnation: self.incarnation, number }
    }

    /// The leases of a kind of a member.
    pub(super) fn kind_leases(&mut self, member: &str, kind: RequestKind) -> Option<&mut KindLeases> {
        self.members.get_mut(member).map(|leases| &mut leases.kinds[kind.index()])
    }
}
