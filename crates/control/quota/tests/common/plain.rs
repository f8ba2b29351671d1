//! The slow plain counter: it sees every change in the owner's order and works everything out anew from lists.

use silvercross_control_store::Rejection;
use silvercross_quota::{
    Change, OperationId, OrderId, QuotaState, RejectionReason, RequestKind, MAX_ATTEMPTS_PER_ORDER,
};

#[derive(Clone, Debug)]
pub struct Attempt {
    order: OrderId,
    attempt: OperationId,
    is_charged: bool,
    /// Whether it began the order's charge.
    is_first: bool,
    window: u64,
    kind: RequestKind,
    units: u64,
}

struct PlainLease {
    id: OperationId,
    window: u64,
    kind: RequestKind,
    amount: u64,
    is_lost: bool,
    is_settled: bool,
}

/// One counter.
pub struct PlainCounter {
    amounts: [u64; 3],
    window: u64,
    attempts: Vec<Attempt>,
    plain: Vec<(u64, RequestKind, u64)>,
    leases: Vec<PlainLease>,
}

impl PlainCounter {
    pub fn new(amounts: [u64; 3]) -> PlainCounter {
        PlainCounter { amounts, window: 0, attempts: Vec::new(), plain: Vec::new(), leases: Vec::new() }
    }

    pub fn attempts_of(&self, order: Option<&OrderId>) -> Vec<Attempt> {
        self.attempts.iter().filter(|attempt| Some(&attempt.order) == order).cloned().collect()
    }

    fn charged_by(&self, order: OrderId) -> Option<(u64, RequestKind, u64)> {
        let of = |t: &&Attempt| t.order == order;
        if !self.attempts.iter().filter(of).any(|t| t.is_charged) {
            return None;
        }
        self.attempts.iter().filter(of).rfind(|t| t.is_first).map(|t| (t.window, t.kind, t.units))
    }

    pub fn charged(&self, window: u64, kind: RequestKind) -> u64 {
        let mut orders: Vec<OrderId> = self.attempts.iter().map(|t| t.order).collect();
        orders.sort();
        orders.dedup();
        let by_order = orders.into_iter().filter_map(|order| self.charged_by(order));
        let all = by_order.chain(self.plain.iter().copied());
        all.filter(|(w, k, _)| (*w, *k) == (window, kind)).map(|(_, _, units)| units).sum()
    }

    fn units_aside(&self, window: u64, kind: RequestKind, is_lost: bool) -> u64 {
        let of =
            |p: &&PlainLease| !p.is_settled && p.is_lost == is_lost && (p.window, p.kind) == (window, kind);
        self.leases.iter().filter(of).map(|p| p.amount).sum()
    }

    fn verdict(&self, kind: RequestKind, units: u64) -> Option<RejectionReason> {
        let certain = self.charged(self.window, kind) + self.units_aside(self.window, kind, true) + units;
        let open = self.units_aside(self.window, kind, false);
        match self.amounts[kind as usize] {
            amount if certain + open <= amount => None,
            amount if certain <= amount => Some(RejectionReason::LeasedElsewhere),
            _ => Some(RejectionReason::Exhausted),
        }
    }

    /// Takes in a change that the owner decided on, with its outcome, and the count after it.
    pub fn observe(
        &mut self,
        change: &Change,
        outcome: &Result<bool, Rejection>,
        state: &QuotaState,
    ) -> Result<(), String> {
        match change {
            Change::GrantLease { lease: id, kind, minimum, .. } => {
                let given = state.leases().find(|(known, _)| known == id).map(|(_, p)| *p);
                match (outcome, given) {
                    (Ok(true), Some(given)) => {
                        if given.amount < *minimum || self.verdict(*kind, given.amount).is_some() {
                            return Err(format!("beyond the allowance: {change:?} gave {given:?}"));
                        }
                        self.leases.push(PlainLease {
                            id: *id,
                            window: self.window,
                            kind: *kind,
                            amount: given.amount,
                            is_lost: false,
                            is_settled: false,
                        });
                    }
                    (Err(rejection), None)
                        if RejectionReason::of(rejection) == RejectionReason::Exhausted =>
                    {
                        if self.verdict(*kind, (*minimum).max(1)) != Some(RejectionReason::Exhausted) {
                            return Err(format!("rejected while something was left: {change:?}"));
                        }
                    }
                    (Ok(false), Some(_)) | (Err(_), None) => {}
                    other => return Err(format!("{change:?}: {other:?}")),
                }
            }
            Change::ChargeOrder { order, attempt, kind, units } => {
                let known = self.attempts.iter().any(|t| t.attempt == *attempt);
                let before = self.charged_by(*order);
                let expected = if known || before.is_some() { None } else { self.verdict(*kind, *units) };
                // Of an order with more attempts than are remembered, one that was given back is not known again.
                let all = self.attempts.iter().filter(|t| t.order == *order);
                if known && before.is_none() && all.count() > MAX_ATTEMPTS_PER_ORDER {
                    let attempt = *attempt;
                    let begun = Attempt {
                        order: *order,
                        attempt,
                        is_charged: true,
                        is_first: true,
                        window: self.window,
                        kind: *kind,
                        units: *units,
                    };
                    if outcome == &Ok(true) {
                        self.attempts.retain(|t| t.attempt != attempt);
                        self.attempts.push(begun);
                    }
                } else if outcome.as_ref().err().map(RejectionReason::of) != expected {
                    return Err(format!("{change:?}: {outcome:?}, the plain counter says {expected:?}"));
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
                match self.attempts.iter_mut().find(|t| t.attempt == *attempt) {
                    Some(t) => t.is_charged = false,
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
                let live = |p: &&mut PlainLease| p.id == *id && !p.is_settled && p.window + 1 >= self.window;
                if let Some(lease) = self.leases.iter_mut().find(live) {
                    lease.is_settled = true;
                    let (window, kind) = (lease.window, lease.kind);
                    let mut rest = *used;
                    for leased in orders {
                        rest -= leased.units;
                        if self.attempts.iter().any(|t| t.attempt == leased.attempt) {
                            continue;
                        }
                        let is_first = self.charged_by(leased.order).is_none();
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
                    self.plain.push((window, kind, rest));
                }
            }
            Change::ExpireLease { lease: id } => {
                if let Some(lease) = self.leases.iter_mut().find(|p| p.id == *id) {
                    lease.is_lost = true;
                }
            }
            Change::EndWindow { window } if outcome == &Ok(true) => {
                self.window = window + 1;
                let mut orders: Vec<OrderId> = self.attempts.iter().map(|t| t.order).collect();
                orders.sort();
                orders.dedup();
                for order in orders {
                    let of = |t: &&Attempt| t.order == order;
                    let first = self.attempts.iter().filter(of).rfind(|t| t.is_first);
                    let begun = first.or(self.attempts.iter().find(of)).map_or(0, |t| t.window);
                    if begun < *window {
                        self.attempts.retain(|t| t.order != order);
                    }
                }
            }
            _ => {}
        }
        if state.window() != self.window {
            return Err(format!("window {} begun unasked", state.window()));
        }
        for kind in RequestKind::ALL {
            for window in [self.window, self.window.saturating_sub(1)] {
                let (real, plain) = (state.charged_units(window, kind), self.charged(window, kind));
                if real != plain {
                    return Err(format!(
                        "charged {real} {} in window {window}, the plain counter says {plain}, after {change:?}",
                        kind.as_str()
                    ));
                }
                let all =
                    plain + self.units_aside(window, kind, false) + self.units_aside(window, kind, true);
                if all > self.amounts[kind as usize] {
                    return Err(format!("beyond the allowance: {all} {}", kind.as_str()));
                }
            }
        }
        Ok(())
    }
}
