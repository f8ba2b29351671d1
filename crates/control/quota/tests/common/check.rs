//! What the clients know at the end of a schedule, held against what was allowed and charged.

use super::world::{Totals, World};
use silvercross_quota::{OrderId, RequestKind, RequestOutcome, MAX_ATTEMPTS_PER_ORDER};
use std::collections::{BTreeMap, BTreeSet};

impl World {
    /// What the clients know against what was allowed and charged.
    pub(super) fn check(mut self) -> Result<Totals, String> {
        if let Some(left) = self.waiting.keys().next() {
            return Err(format!("a request without a decision: {left:?}"));
        }
        let mut orders: BTreeMap<OrderId, (RequestKind, BTreeSet<u64>)> = BTreeMap::new();
        let mut units: BTreeMap<(u64, RequestKind), u64> = BTreeMap::new();
        let mut total = 0;
        let may_have_run = self.accepted.iter().filter(|one| one.outcome != Some(RequestOutcome::NotRun));
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
                let word = kind.as_str();
                return Err(format!("beyond the allowance: {accepted} {word} of {amount} in {window}"));
            }
        }
        if self.state.leases().any(|(_, lease)| !lease.is_lost) && self.owner_frozen_until < self.end {
            let open: Vec<_> = self.state.leases().collect();
            return Err(format!("leases still open in quiet: {open:?}"));
        }
        let has_lost = self.state.leases().count() > 0;
        if self.state.window() <= 1 && !self.is_any_killed && !has_lost {
            self.check_exact(&orders, total)?;
        }
        Ok(self.totals)
    }

    /// Where no process died and no lease was lost: exactly what may have run is charged.
    fn check_exact(
        &mut self,
        orders: &BTreeMap<OrderId, (RequestKind, BTreeSet<u64>)>,
        accepted: u64,
    ) -> Result<(), String> {
        let in_window = |window| RequestKind::ALL.map(|kind| self.state.charged_units(window, kind));
        let charged: u64 = (0..=1).flat_map(in_window).sum();
        let forfeited: u64 = self.nodes.iter().map(|node| node.leases.metrics().forfeited).sum();
        // Beyond so many attempts an order stays charged whatever is refunded.
        let is_crowded = self.attempts.values().any(|attempts| *attempts > MAX_ATTEMPTS_PER_ORDER);
        if charged != accepted + forfeited && !(is_crowded && charged > accepted + forfeited) {
            let charged_orders =
                self.attempts.keys().filter(|order| self.state.order_window(**order).is_some());
            let more: Vec<&OrderId> = charged_orders.filter(|order| !orders.contains_key(order)).collect();
            let why = format!("charged {charged}, accepted {accepted}, forfeited {forfeited}, {more:?}");
            return Err(format!("{why} {:?}", self.plain.attempts_of(more.first().copied())));
        }
        self.totals.exact += u64::from(!is_crowded);
        Ok(())
    }
}
