//! The slow plain counter: it sees every change in the owner's order and works everything out anew from lists.

use silvercross_control_store::Rejection;
use silvercross_quota::{Change, Count, Kind, Mark, Order, Why, CLAIMS};

struct Try {
    order: Order,
    claim: Mark,
    holds: bool,
    /// Whether it began the order's charge.
    first: bool,
    window: u64,
    kind: Kind,
    units: u64,
}

struct Piece {
    mark: Mark,
    window: u64,
    kind: Kind,
    amount: u64,
    lost: bool,
    settled: bool,
}

/// One counter.
pub struct Plain {
    amounts: [u64; 3],
    window: u64,
    tries: Vec<Try>,
    plain: Vec<(u64, Kind, u64)>,
    pieces: Vec<Piece>,
}

impl Plain {
    pub fn new(amounts: [u64; 3]) -> Plain {
        Plain { amounts, window: 0, tries: Vec::new(), plain: Vec::new(), pieces: Vec::new() }
    }

    pub fn tries_of(&self, order: Option<&Order>) -> Vec<(Mark, bool, bool, u64)> {
        let of = self.tries.iter().filter(|t| Some(&t.order) == order);
        of.map(|t| (t.claim, t.holds, t.first, t.window)).collect()
    }

    fn charged_by(&self, order: Order) -> Option<(u64, Kind, u64)> {
        let of = |t: &&Try| t.order == order;
        if !self.tries.iter().filter(of).any(|t| t.holds) {
            return None;
        }
        self.tries.iter().filter(of).rfind(|t| t.first).map(|t| (t.window, t.kind, t.units))
    }

    pub fn charged(&self, window: u64, kind: Kind) -> u64 {
        let mut orders: Vec<Order> = self.tries.iter().map(|t| t.order).collect();
        orders.sort();
        orders.dedup();
        let by_order = orders.into_iter().filter_map(|order| self.charged_by(order));
        let all = by_order.chain(self.plain.iter().copied());
        all.filter(|(w, k, _)| (*w, *k) == (window, kind)).map(|(_, _, units)| units).sum()
    }

    fn aside(&self, window: u64, kind: Kind, lost: bool) -> u64 {
        let of = |p: &&Piece| !p.settled && p.lost == lost && (p.window, p.kind) == (window, kind);
        self.pieces.iter().filter(of).map(|p| p.amount).sum()
    }

    fn verdict(&self, kind: Kind, units: u64) -> Option<Why> {
        let certain = self.charged(self.window, kind) + self.aside(self.window, kind, true) + units;
        let open = self.aside(self.window, kind, false);
        match self.amounts[kind as usize] {
            amount if certain + open <= amount => None,
            amount if certain <= amount => Some(Why::Busy),
            _ => Some(Why::Spent),
        }
    }

    /// Sees a change that the owner decided on, with its outcome, and the count after it.
    pub fn see(
        &mut self,
        change: &Change,
        outcome: &Result<bool, Rejection>,
        count: &Count,
    ) -> Result<(), String> {
        match change {
            Change::Grant { part, kind, least, .. } => {
                let given = count.parts().find(|(mark, _)| mark == part).map(|(_, p)| *p);
                match (outcome, given) {
                    (Ok(true), Some(given)) => {
                        if given.amount < *least || self.verdict(*kind, given.amount).is_some() {
                            return Err(format!("beyond the allowance: {change:?} gave {given:?}"));
                        }
                        self.pieces.push(Piece {
                            mark: *part,
                            window: self.window,
                            kind: *kind,
                            amount: given.amount,
                            lost: false,
                            settled: false,
                        });
                    }
                    (Err(refusal), None) if Why::of(refusal) == Why::Spent => {
                        if self.verdict(*kind, (*least).max(1)) != Some(Why::Spent) {
                            return Err(format!("refused while something was left: {change:?}"));
                        }
                    }
                    (Ok(false), Some(_)) | (Err(_), None) => {}
                    other => return Err(format!("{change:?}: {other:?}")),
                }
            }
            Change::Charge { order, claim, kind, units } => {
                let known = self.tries.iter().any(|t| t.claim == *claim);
                let before = self.charged_by(*order);
                let expected = if known || before.is_some() { None } else { self.verdict(*kind, *units) };
                // Of an order with more tries than are remembered, one that was given back is not known again.
                let all = self.tries.iter().filter(|t| t.order == *order);
                if known && before.is_none() && all.count() > CLAIMS {
                    let claim = *claim;
                    let begun = Try {
                        order: *order,
                        claim,
                        holds: true,
                        first: true,
                        window: self.window,
                        kind: *kind,
                        units: *units,
                    };
                    if outcome == &Ok(true) {
                        self.tries.retain(|t| t.claim != claim);
                        self.tries.push(begun);
                    }
                } else if outcome.as_ref().err().map(Why::of) != expected {
                    return Err(format!("{change:?}: {outcome:?}, the plain counter says {expected:?}"));
                }
                if expected.is_none() && !known && outcome.is_ok() {
                    let (window, first) = (self.window, before.is_none());
                    let (order, claim, kind, units) = (*order, *claim, *kind, *units);
                    self.tries.push(Try { order, claim, holds: true, first, window, kind, units });
                }
            }
            Change::GiveBack { order, claim } => match self.tries.iter_mut().find(|t| t.claim == *claim) {
                Some(t) => t.holds = false,
                None => {
                    let (order, claim, window) = (*order, *claim, self.window);
                    let kind = Kind::Confirmation;
                    self.tries.push(Try { order, claim, holds: false, first: false, window, kind, units: 0 });
                }
            },
            Change::Settle { part, used, orders } => {
                let live = |p: &&mut Piece| p.mark == *part && !p.settled && p.window + 1 >= self.window;
                if let Some(piece) = self.pieces.iter_mut().find(live) {
                    piece.settled = true;
                    let (window, kind) = (piece.window, piece.kind);
                    let mut rest = *used;
                    for slip in orders {
                        rest -= slip.units;
                        if self.tries.iter().any(|t| t.claim == slip.claim) {
                            continue;
                        }
                        let first = self.charged_by(slip.order).is_none();
                        let (order, claim, units) = (slip.order, slip.claim, slip.units);
                        self.tries.push(Try { order, claim, holds: true, first, window, kind, units });
                    }
                    self.plain.push((window, kind, rest));
                }
            }
            Change::Reclaim { part } => {
                if let Some(piece) = self.pieces.iter_mut().find(|p| p.mark == *part) {
                    piece.lost = true;
                }
            }
            Change::Turn { window } if outcome == &Ok(true) => {
                self.window = window + 1;
                let mut orders: Vec<Order> = self.tries.iter().map(|t| t.order).collect();
                orders.sort();
                orders.dedup();
                for order in orders {
                    let of = |t: &&Try| t.order == order;
                    let first = self.tries.iter().filter(of).rfind(|t| t.first);
                    let begun = first.or(self.tries.iter().find(of)).map_or(0, |t| t.window);
                    if begun < *window {
                        self.tries.retain(|t| t.order != order);
                    }
                }
            }
            _ => {}
        }
        if count.window() != self.window {
            return Err(format!("window {} begun unasked", count.window()));
        }
        for kind in Kind::ALL {
            for window in [self.window, self.window.saturating_sub(1)] {
                let (real, plain) = (count.charged(window, kind), self.charged(window, kind));
                if real != plain {
                    return Err(format!(
                        "charged {real} {} in window {window}, the plain counter says {plain}, after {change:?}",
                        kind.word()
                    ));
                }
                let all = plain + self.aside(window, kind, false) + self.aside(window, kind, true);
                if all > self.amounts[kind as usize] {
                    return Err(format!("beyond the allowance: {all} {}", kind.word()));
                }
            }
        }
        Ok(())
    }
}
