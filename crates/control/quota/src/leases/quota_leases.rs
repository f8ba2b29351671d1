//! A node's leases of all allowances: the state, and what the operator's configuration and the owner change of it.

use super::held::{KindLeases, MemberLeases, OpenRequest, PendingCall};
use super::request::{Metrics, OwnerCall};
use crate::allowance::{Allowance, RequestKind};
use crate::config::QuotaConfig;
use crate::protocol::OperationId;
use silvercross_time::Instant;
use std::collections::{BTreeMap, BTreeSet};

/// Members with an allowance at most; further ones are not counted here, which [`QuotaLeases::set_allowance`] says.
pub const MAX_MEMBERS: usize = 131_072;
/// Calls to owners under way at most. At the bound what would need one is rejected as [`crate::RejectionReason::Overloaded`];
/// settling and refunding go on.
pub const MAX_PENDING_CALLS: usize = 8_192;
/// Accepted requests whose end was not reported at most; beyond it they are rejected as
/// [`crate::RejectionReason::Overloaded`].
pub const MAX_OPEN_REQUESTS: usize = 65_536;

/// A node's leases of all allowances. Bounds: [`MAX_MEMBERS`], [`MAX_PENDING_CALLS`], [`MAX_OPEN_REQUESTS`],
/// [`crate::MAX_HELD_LEASES`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuotaLeases {
    node: u32,
    incarnation: u64,
    pub(super) config: QuotaConfig,
    pub(super) last_number: u64,
    pub(super) last_step: Instant,
    pub(super) members: BTreeMap<String, MemberLeases>,
    /// Members that hold or ask for something.
    pub(super) busy: BTreeSet<String>,
    pub(super) open_requests: BTreeMap<u64, OpenRequest>,
    pub(super) pending: BTreeMap<u64, PendingCall>,
    /// Numbers of calls to be sent.
    pub(super) to_send: Vec<u64>,
    pub(super) metrics: Metrics,
}

impl QuotaLeases {
    /// Empty. `incarnation` is to be above that of every earlier start of this node.
    pub fn new(now: Instant, node: u32, incarnation: u64, config: QuotaConfig) -> QuotaLeases {
        QuotaLeases {
            node,
            incarnation,
            config,
            last_number: 0,
            last_step: now,
            members: BTreeMap::new(),
            busy: BTreeSet::new(),
            open_requests: BTreeMap::new(),
            pending: BTreeMap::new(),
            to_send: Vec::new(),
            metrics: Metrics::default(),
        }
    }

    /// A member's allowance as this node knows it; an older version changes nothing. Returns whether it is counted here.
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

    /// Counters.
    pub fn metrics(&self) -> Metrics {
        self.metrics
    }

    /// Units that this node could still accept of a member's kind without asking.
    pub fn held_units(&self, member: &str, kind: RequestKind) -> u64 {
        let held = self.members.get(member).map(|leases| &leases.kinds[kind.index()].held);
        held.map_or(0, |held| held.values().map(|lease| lease.free()).sum())
    }

    /// Takes the calls to be sent, first ones and those to be sent again.
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

    /// This node's name for the lease or attempt of a number.
    pub(super) fn operation_id(&self, number: u64) -> OperationId {
        OperationId { node: self.node, incarnation: self.incarnation, number }
    }

    /// What is open of a member's kind.
    pub(super) fn kind_leases(&mut self, member: &str, kind: RequestKind) -> Option<&mut KindLeases> {
        self.members.get_mut(member).map(|leases| &mut leases.kinds[kind.index()])
    }
}
