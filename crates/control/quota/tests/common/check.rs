//! Checks at the end of a schedule: the outcomes that clients saw against what was allowed and charged.

use super::world::{Totals, World};
use silvercross_quota::{OrderId, RequestKind, RequestOutcome, MAX_ATTEMPTS_PER_ORDER};
use std::collections::{BTreeMap, BTreeSet};

impl World {
    /// Checks the outcomes that clients saw against what was allowed and charged.
    pub(super) fn check(mut self) -> Result<Totals, String> {
        if let Some(undecided) = self.waiting.keys().next() {
            return Err(format!("a request without a decision: {undecided:?}"));
        }
        let mut orders: BTreeMap<OrderId, (RequestKind, BTreeSet<u64>)> = BTreeMap::new();
        let mut units: BTreeMap<(u64, RequestKind), u64> = BTreeMap::new();
        let mut total = 0;
        let may_have_run =
            self.accepted.iter().filter(|accepted| accepted.outcome != Some(RequestOutcome::NotRun));
        for accepted in may_have_run {
            let (window, kind) = (accepted.window, accepted.kind);
            match accepted.order {
                Some(order) => {
                    orders.entry(order).or_insert((kind, BTreeSet::new())).1.insert(window);
                }
                None => {
                    *units.entry((window, kind)).or_default() += 1;
                    total += 1;
                }
            }
        }
        for (kind, windows) in orders.values() {
            total += 1;
            if let (1, Some(window)) = (windows.len(), windows.first()) {
                *units.entry((*window, *kind)).or_default() += 1;
            }
        }
        for ((window, kind), accepted) in &units {
            let amount = self.allowance.quota(*kind).map_or(0, |quota| quota.amount);
            if *accepted > amount {
                let kind_name = kind.as_str();
                return Err(format!("exceeds the allowance: {accepted} {kind_name} of {amount} in {window}"));
            }
        }
        if self.state.leases().any(|(_, lease)| !lease.is_lost) && self.owner_frozen_until < self.end {
            let open: Vec<_> = self.state.leases().collect();
            return Err(format!("leases still open after the settling time: {open:?}"));
        }
        let has_lost = self.state.leases().count() > 0;
        if self.state.window() <= 1 && !self.any_node_killed && !has_lost {
            self.check_exact(&orders, total)?;
        }
        Ok(self.totals)
    }

    /// When no process was killed and no lease was lost, exactly what may have run is charged.
    fn check_exact(
        &mut self,
        orders: &BTreeMap<OrderId, (RequestKind, BTreeSet<u64>)>,
        accepted: u64,
    ) -> Result<(), String> {
        let in_window = |window| RequestKind::ALL.map(|kind| self.state.charged_units(window, kind));
        let charged: u64 = (0..=1).flat_map(in_window).sum();
        let forfeited: u64 = self.nodes.iter().map(|node| node.leases.metrics().forfeited).sum();
        // With more attempts than are remembered, an order stays charged whatever is refunded.
        let exceeds_attempt_limit = self.attempts.values().any(|attempts| *attempts > MAX_ATTEMPTS_PER_ORDER);
        if charged != accepted + forfeited && !(exceeds_attempt_limit && charged > accepted + forfeited) {
            let charged_orders =
                self.attempts.keys().filter(|order| self.state.order_window(**order).is_some());
            let unexpected: Vec<&OrderId> =
                charged_orders.filter(|order| !orders.contains_key(order)).collect();
            let summary =
                format!("charged {charged}, accepted {accepted}, forfeited {forfeited}, {unexpected:?}");
            return Err(format!("{summary} {:?}", self.model.attempts_of(unexpected.first().copied())));
        }
        self.totals.checked_exactly += u64::from(!exceeds_attempt_limit);
        Ok(())
    }
}
