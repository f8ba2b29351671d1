//! A slow reference model of the quota state: it sees every change in the owner's order and recomputes all sums from
//! lists.

use silvercross_control_store::Rejection;
use silvercross_quota::{
    Change, OperationId, OrderId, QuotaState, RejectionReason, RequestKind, MAX_ATTEMPTS_PER_ORDER,
};

#[derive(Clone, Debug)]
pub struct Attempt {
    order: OrderId,
    attempt: OperationId,
    is_charged: bool,
    /// Whether the order was uncharged before this attempt.
    is_first: bool,
    window: u64,
    kind: RequestKind,
    units: u64,
}

struct ModelLease {
    id: OperationId,
    window: u64,
    kind: RequestKind,
    amount: u64,
    is_lost: bool,
    is_settled: bool,
}

/// The reference model of one member's quota state.
pub struct QuotaModel {
    amounts: [u64; 3],
    window: u64,
    attempts: Vec<Attempt>,
    orderless_charges: Vec<(u64, RequestKind, u64)>,
    leases: Vec<ModelLease>,
}

impl QuotaModel {
    pub fn new(amounts: [u64; 3]) -> QuotaModel {
        QuotaModel {
            amounts,
            window: 0,
            attempts: Vec::new(),
            orderless_charges: Vec::new(),
            leases: Vec::new(),
        }
    }

    pub fn attempts_of(&self, order: Option<&OrderId>) -> Vec<Attempt> {
        self.attempts.iter().filter(|attempt| Some(&attempt.order) == order).cloned().collect()
    }

    fn order_charge(&self, order: OrderId) -> Option<(u64, RequestKind, u64)> {
        let is_selected = |a: &&Attempt| a.order == order;
        if !self.attempts.iter().filter(is_selected).any(|a| a.is_charged) {
            return None;
        }
        self.attempts.iter().filter(is_selected).rfind(|a| a.is_first).map(|a| (a.window, a.kind, a.units))
    }

    pub fn charged(&self, window: u64, kind: RequestKind) -> u64 {
        let mut orders: Vec<OrderId> = self.attempts.iter().map(|a| a.order).collect();
        orders.sort();
        orders.dedup();
        let by_order = orders.into_iter().filter_map(|order| self.order_charge(order));
        let all = by_order.chain(self.orderless_charges.iter().copied());
        all.filter(|(w, k, _)| (*w, *k) == (window, kind)).map(|(_, _, units)| units).sum()
    }

    fn units_in_leases(&self, window: u64, kind: RequestKind, is_lost: bool) -> u64 {
        let is_selected =
            |l: &&ModelLease| !l.is_settled && l.is_lost == is_lost && (l.window, l.kind) == (window, kind);
        self.leases.iter().filter(is_selected).map(|l| l.amount).sum()
    }

    fn expected_rejection(&self, kind: RequestKind, units: u64) -> Option<RejectionReason> {
        let used_units =
            self.charged(self.window, kind) + self.units_in_leases(self.window, kind, true) + units;
        let open = self.units_in_leases(self.window, kind, false);
        match self.amounts[kind as usize] {
            amount if used_units + open <= amount => None,
            amount if used_units <= amount => Some(RejectionReason::LeasedElsewhere),
            _ => Some(RejectionReason::Exhausted),
        }
    }

    /// Applies a change that the owner has decided on, and compares the outcome and the resulting state with the model.
    pub fn observe(
        &mut self,
        change: &Change,
        outcome: &Result<bool, Rejection>,
        state: &QuotaState,
    ) -> Result<(), String> {
        match change {
            Change::GrantLease { lease: id, kind, minimum, .. } => {
                let granted = state.leases().find(|(known, _)| known == id).map(|(_, l)| *l);
                match (outcome, granted) {
                    (Ok(true), Some(granted)) => {
                        if granted.amount < *minimum
                            || self.expected_rejection(*kind, granted.amount).is_some()
                        {
                            return Err(format!("exceeds the allowance: {change:?} granted {granted:?}"));
                        }
                        self.leases.push(ModelLease {
                            id: *id,
                            window: self.window,
                            kind: *kind,
                            amount: granted.amount,
                            is_lost: false,
                            is_settled: false,
                        });
                    }
                    (Err(rejection), None)
                        if RejectionReason::of(rejection) == RejectionReason::Exhausted =>
                    {
                        if self.expected_rejection(*kind, (*minimum).max(1))
                            != Some(RejectionReason::Exhausted)
                        {
                            return Err(format!("rejected as exhausted while units were left: {change:?}"));
                        }
                    }
                    (Ok(false), Some(_)) | (Err(_), None) => {}
                    other => return Err(format!("{change:?}: {other:?}")),
                }
            }
            Change::ChargeOrder { order, attempt, kind, units } => {
                let known = self.attempts.iter().any(|a| a.attempt == *attempt);
                let before = self.order_charge(*order);
                let expected =
                    if known || before.is_some() { None } else { self.expected_rejection(*kind, *units) };
                // When an order has more attempts than are remembered, a refunded attempt may be unknown and charged
                // anew.
                let attempts_of_order = self.attempts.iter().filter(|a| a.order == *order);
                if known && before.is_none() && attempts_of_order.count() > MAX_ATTEMPTS_PER_ORDER {
                    let attempt = *attempt;
                    let restarted = Attempt {
                        order: *order,
                        attempt,
                        is_charged: true,
                        is_first: true,
                        window: self.window,
                        kind: *kind,
                        units: *units,
                    };
                    if outcome == &Ok(true) {
                        self.attempts.retain(|a| a.attempt != attempt);
                        self.attempts.push(restarted);
                    }
                } else if outcome.as_ref().err().map(RejectionReason::of) != expected {
                    return Err(format!("{change:?}: {outcome:?}, the model expects {expected:?}"));
                }
                if expected.is_none() && !known && outcome.is_ok() {
                    let (window, is_first) = (self.window, before.is_none());
                    let (order, attempt, kind, units) = (*order, *attempt, *kind, *units);
                    self.attempts.push(Attempt {
                        order,
                        attempt,
                        is_charged: true,
                        is_first,
                        window,
                        kind,
                        units,
                    });
                }
            }
            Change::RefundOrder { order, attempt } => {
                match self.attempts.iter_mut().find(|a| a.attempt == *attempt) {
                    Some(a) => a.is_charged = false,
                    None => {
                        let (order, attempt, window) = (*order, *attempt, self.window);
                        let kind = RequestKind::Confirmation;
                        self.attempts.push(Attempt {
                            order,
                            attempt,
                            is_charged: false,
                            is_first: false,
                            window,
                            kind,
                            units: 0,
                        });
                    }
                }
            }
            Change::SettleLease { lease: id, used, orders } => {
                let live = |l: &&mut ModelLease| l.id == *id && !l.is_settled && l.window + 1 >= self.window;
                if let Some(lease) = self.leases.iter_mut().find(live) {
                    lease.is_settled = true;
                    let (window, kind) = (lease.window, lease.kind);
                    let mut remaining = *used;
                    for leased in orders {
                        remaining -= leased.units;
                        if self.attempts.iter().any(|a| a.attempt == leased.attempt) {
                            continue;
                        }
                        let is_first = self.order_charge(leased.order).is_none();
                        let (order, attempt, units) = (leased.order, leased.attempt, leased.units);
                        self.attempts.push(Attempt {
                            order,
                            attempt,
                            is_charged: true,
                            is_first,
                            window,
                            kind,
                            units,
                        });
                    }
                    self.orderless_charges.push((window, kind, remaining));
                }
            }
            Change::ExpireLease { lease: id } => {
                if let Some(lease) = self.leases.iter_mut().find(|l| l.id == *id) {
                    lease.is_lost = true;
                }
            }
            Change::EndWindow { window } if outcome == &Ok(true) => {
                self.window = window + 1;
                let mut orders: Vec<OrderId> = self.attempts.iter().map(|a| a.order).collect();
                orders.sort();
                orders.dedup();
                for order in orders {
                    let is_selected = |a: &&Attempt| a.order == order;
                    let first = self.attempts.iter().filter(is_selected).rfind(|a| a.is_first);
                    let first_window =
                        first.or(self.attempts.iter().find(is_selected)).map_or(0, |a| a.window);
                    if first_window < *window {
                        self.attempts.retain(|a| a.order != order);
                    }
                }
            }
            _ => {}
        }
        if state.window() != self.window {
            return Err(format!("window {} started without an EndWindow change", state.window()));
        }
        for kind in RequestKind::ALL {
            for window in [self.window, self.window.saturating_sub(1)] {
                let (real, modelled) = (state.charged_units(window, kind), self.charged(window, kind));
                if real != modelled {
                    return Err(format!(
                        "charged {real} {} in window {window}, the model expects {modelled}, after {change:?}",
                        kind.as_str()
                    ));
                }
                let all = modelled
                    + self.units_in_leases(window, kind, false)
                    + self.units_in_leases(window, kind, true);
                if all > self.amounts[kind as usize] {
                    return Err(format!("exceeds the allowance: {all} {}", kind.as_str()));
                }
            }
        }
        Ok(())
    }
}
