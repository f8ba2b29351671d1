//! The one count of a member, under its key of the ledger.

use std::collections::BTreeMap;

use bitcode::{Decode, Encode};
use sha2::{Digest, Sha256};
use silvercross_control_store::{Micros, Rejection, State};

use crate::broken::{is, Broken};
use crate::items::{Allowance, Kind};

/// Orders remembered of one window at most, those that open parts may still bring included; those of the window before
/// are kept as well. A further order is refused as [`Why::Full`], never charged unremembered.
pub const ORDERS: usize = 16_384;
/// Tries remembered of one order at most. With a further one the order stays charged whatever is given back.
pub const CLAIMS: usize = 8;
/// Parts at most, lost ones included; a further one is refused as [`Why::Full`].
pub const PARTS: usize = 4_096;
/// Nodes known at a member at most; parts for a further one are refused as [`Why::Full`].
pub const HOLDERS: usize = 2_048;
/// A part is at most what is free, divided by this and by the number of nodes known.
pub const SHARE: u64 = 8;
/// At least so many nodes are reckoned with.
pub const FEW: u64 = 4;
/// A part smaller than this is not given: then each request is asked for.
pub const FLOOR: u64 = 4;
/// A part is at most this.
pub const MAX_PART: u64 = 4_096;
/// Orders that one part may take at most.
pub const SLOTS: u64 = 256;

/// An order's number, as 128 bits of SHA-256 over its text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Order(pub u128);

impl Order {
    /// The order of a number as a client sent it.
    pub fn of(text: &[u8]) -> Order {
        let hash: [u8; 32] = Sha256::digest(text).into();
        Order(hash.iter().take(16).fold(0, |all, byte| all << 8 | u128::from(*byte)))
    }
}

/// A node's own name for a part or a try. Never used twice: lives of a node rise with its starts, numbers within a life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Mark {
    /// The node.
    pub node: u32,
    /// Its life.
    pub life: u64,
    /// Its number in the life.
    pub number: u64,
}

/// Units set aside for one node. Nobody else gets them before the node has settled, or the window has ended: that, and
/// no clock, keeps the bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Part {
    /// What it is for.
    pub kind: Kind,
    /// In which window.
    pub window: u64,
    /// How many units.
    pub amount: u64,
    /// How many orders it may take.
    pub slots: u64,
    /// Which change of the count gave it: an owner counts its time anew, but the part is the same.
    pub fence: u64,
    /// Whether its time is over and nothing was told of it. Its units count as used until the node tells.
    pub lost: bool,
}

/// One order that a part took.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Slip {
    /// The order.
    pub order: Order,
    /// The try.
    pub claim: Mark,
    /// Its units.
    pub units: u64,
}

/// A call's change.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Change {
    /// The allowance that holds.
    Allow(Allowance),
    /// The allowance holds no more: nothing is counted.
    Withdraw {
        /// The item's version.
        edition: u64,
    },
    /// A node asks for a part. The same part asked for twice is one.
    Grant {
        /// Its name.
        part: Mark,
        /// What it is for.
        kind: Kind,
        /// How many units at most.
        want: u64,
        /// How many it must be, if near the end no more are given; 0 if such a part is not wanted.
        least: u64,
    },
    /// A node is done with a part.
    Settle {
        /// Which.
        part: Mark,
        /// Units used, those of the orders included.
        used: u64,
        /// The orders among them.
        orders: Vec<Slip>,
    },
    /// One try of an order, counted directly.
    Charge {
        /// The order.
        order: Order,
        /// The try.
        claim: Mark,
        /// Its kind.
        kind: Kind,
        /// Its units.
        units: u64,
    },
    /// A try of an order certainly did not run.
    GiveBack {
        /// The order.
        order: Order,
        /// The try.
        claim: Mark,
    },
    /// So much of the window has gone by.
    Elapsed {
        /// Of which window.
        window: u64,
        /// How much.
        us: Micros,
    },
    /// The window ends and the next begins.
    Turn {
        /// The one that ends.
        window: u64,
    },
    /// A part's time is over.
    Reclaim {
        /// Which.
        part: Mark,
    },
}

/// Why units are not given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Why {
    /// The window's units are used up. The plain counter would refuse as well.
    Spent,
    /// What is left is in parts of other nodes: they are to be called in.
    Busy,
    /// Too little is left for a part: each request is to be asked for.
    Near,
    /// A bound is reached.
    Full,
    /// Nothing is allowed for this kind, or no allowance stands.
    Unset,
    /// The node has asked for something later, or has a later life.
    Stale,
    /// It can't be read as a change of this count.
    Invalid,
    /// The owner could not be reached.
    Away,
    /// This node waits for too many answers, or holds too much.
    Crowded,
}

const WORDS: [(Why, &str); 9] = [
    (Why::Spent, "spent"),
    (Why::Busy, "busy"),
    (Why::Near, "near"),
    (Why::Full, "full"),
    (Why::Unset, "unset"),
    (Why::Stale, "stale"),
    (Why::Invalid, "invalid"),
    (Why::Away, "away"),
    (Why::Crowded, "crowded"),
];

impl Why {
    /// The word for it, which is also a refusal's reason.
    pub fn word(self) -> &'static str {
        WORDS.iter().find(|(why, _)| *why == self).map_or("invalid", |(_, word)| word)
    }

    /// Why a change of a count was refused.
    pub fn of(refusal: &Rejection) -> Why {
        WORDS.iter().find(|(_, word)| *word == refusal.reason).map_or(Why::Invalid, |(why, _)| *why)
    }

    fn refusal(self) -> Rejection {
        Rejection { conflict: matches!(self, Why::Busy | Why::Stale), reason: self.word().to_string() }
    }
}

/// What the owner tells the node that asked.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Answer {
    /// The part is the node's.
    Granted {
        /// It.
        part: Part,
        /// Units free beside it.
        left: u64,
    },
    /// The order is charged.
    Charged {
        /// Another try of it was charged before.
        repeat: bool,
        /// In which window it was charged.
        window: u64,
        /// Units free.
        left: u64,
    },
    /// It is done, or stood already.
    Done,
    /// It is refused.
    No {
        /// Why.
        why: Why,
        /// The window.
        window: u64,
        /// How long it goes on at most, by what was told of it.
        ends_in: Micros,
        /// Units free.
        left: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
struct Entry {
    window: u64,
    kind: Kind,
    units: u64,
    /// Tries, and whether each still holds. At most `CLAIMS`.
    claims: Vec<(Mark, bool)>,
    /// There were more.
    pinned: bool,
}

impl Entry {
    fn charged(&self) -> bool {
        self.pinned || self.claims.iter().any(|(_, holds)| *holds)
    }

    fn knows(&self, claim: Mark) -> bool {
        self.claims.iter().any(|(known, _)| *known == claim)
    }

    fn add(&mut self, claim: Mark) {
        if self.claims.len() < CLAIMS {
            self.claims.push((claim, true));
        } else {
            self.pinned = true;
        }
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
struct Tally {
    charged: [u64; 3],
    /// Entries of orders.
    orders: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
struct Holder {
    life: u64,
    /// Its last part's number.
    last: u64,
    /// In which window it asked last; it is forgotten two windows later.
    window: u64,
}

/// One member's count: this window and the one before it. Bounds: [`ORDERS`] a window, [`PARTS`], [`HOLDERS`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Count {
    allowance: Option<Allowance>,
    /// The highest edition that set or withdrew it.
    edition: u64,
    window: u64,
    elapsed: Micros,
    changes: u64,
    now: Tally,
    before: Tally,
    parts: BTreeMap<Mark, Part>,
    orders: BTreeMap<Order, Entry>,
    holders: BTreeMap<u32, Holder>,
}

impl State for Count {
    type Change = Change;

    fn apply(&mut self, change: &Change) -> Result<bool, Rejection> {
        let changed = match change {
            Change::Allow(allowance) => self.allow(allowance),
            Change::Withdraw { edition } => Ok(self.withdraw(*edition)),
            Change::Grant { part, kind, want, least } => self.grant(*part, *kind, *want, *least),
            Change::Settle { part, used, orders } => self.settle(*part, *used, orders),
            Change::Charge { order, claim, kind, units } => self.charge(*order, *claim, *kind, *units),
            Change::GiveBack { order, claim } => Ok(self.give_back(*order, *claim)),
            Change::Elapsed { window, us } => {
                let later = *window == self.window && *us > self.elapsed;
                if later {
                    self.elapsed = *us;
                }
                Ok(later)
            }
            Change::Turn { window } => self.turn(*window),
            Change::Reclaim { part } => Ok(self.reclaim(*part)),
        }
        .map_err(Why::refusal)?;
        self.changes += u64::from(changed);
        Ok(changed)
    }
}

impl Count {
    /// The allowance that holds.
    pub fn allowance(&self) -> Option<&Allowance> {
        self.allowance.as_ref()
    }

    /// The window that runs.
    pub fn window(&self) -> u64 {
        self.window
    }

    /// How much of it has gone by, as last told.
    pub fn elapsed(&self) -> Micros {
        self.elapsed
    }

    /// Units charged in a window: this one or the one before. An order is charged once among all its tries.
    pub fn charged(&self, window: u64, kind: Kind) -> u64 {
        self.tally(window).map_or(0, |tally| tally.charged[kind.at()])
    }

    /// Units in parts whose holders may still use them.
    pub fn open(&self, window: u64, kind: Kind) -> u64 {
        self.aside(window, kind, false)
    }

    /// Units in parts whose holders were not heard in time. They count as used until told.
    pub fn lost(&self, window: u64, kind: Kind) -> u64 {
        self.aside(window, kind, true)
    }

    /// Units that can still be given in this window.
    pub fn left(&self, kind: Kind) -> u64 {
        let amount = self.allowance.as_ref().and_then(|a| a.share(kind)).map_or(0, |share| share.amount);
        let gone = self.now.charged[kind.at()]
            .saturating_add(self.open(self.window, kind))
            .saturating_add(self.lost(self.window, kind));
        amount.saturating_sub(gone)
    }

    /// Parts that are out or lost, with their names.
    pub fn parts(&self) -> impl Iterator<Item = (Mark, &Part)> {
        self.parts.iter().map(|(mark, part)| (*mark, part))
    }

    /// Who holds open parts of a kind: whom to call in when a change was refused as [`Why::Busy`].
    pub fn holders(&self, kind: Kind) -> Vec<(u32, u64)> {
        let of = |(mark, part): (&Mark, &Part)| {
            (part.kind == kind && !part.lost).then_some((mark.node, mark.life))
        };
        let mut all: Vec<_> = self.parts.iter().filter_map(of).collect();
        all.dedup();
        all
    }

    /// Whether the order is charged, and in which window.
    pub fn charged_order(&self, order: Order) -> Option<u64> {
        self.orders.get(&order).filter(|entry| entry.charged()).map(|entry| entry.window)
    }

    /// Whether anything stands in this window: a window that nobody uses need not end.
    pub fn used(&self) -> bool {
        self.elapsed > 0
            || self.now != Tally::default()
            || self.parts.values().any(|p| p.window == self.window)
    }

    /// What to tell the node that asked for a change, by this count, which is committed and has the change in it if it
    /// was taken.
    pub fn answer(&self, change: &Change, outcome: &Result<bool, Rejection>) -> Answer {
        let kind = match change {
            Change::Grant { kind, .. } | Change::Charge { kind, .. } => Some(*kind),
            _ => None,
        };
        let left = kind.map_or(0, |kind| self.left(kind));
        let no = |why| {
            let window_us = self.allowance.as_ref().map_or(0, |a| a.window_us);
            Answer::No { why, window: self.window, ends_in: (window_us - self.elapsed).max(0), left }
        };
        match (change, outcome) {
            (_, Err(refusal)) => no(Why::of(refusal)),
            (Change::Grant { part, .. }, Ok(_)) => match self.parts.get(part) {
                Some(part) => Answer::Granted { part: *part, left },
                None => no(Why::Stale),
            },
            (Change::Charge { order, claim, .. }, Ok(_)) => match self.orders.get(order) {
                Some(entry) => {
                    let first = entry.claims.iter().find(|(_, holds)| *holds).map(|(mark, _)| *mark);
                    Answer::Charged { repeat: first != Some(*claim), window: entry.window, left }
                }
                None => no(Why::Stale),
            },
            _ => Answer::Done,
        }
    }

    fn tally(&self, window: u64) -> Option<&Tally> {
        if window == self.window {
            Some(&self.now)
        } else if window.checked_add(1) == Some(self.window) {
            Some(&self.before)
        } else {
            None
        }
    }

    fn tally_mut(&mut self, window: u64) -> Option<&mut Tally> {
        if window == self.window {
            Some(&mut self.now)
        } else if window.checked_add(1) == Some(self.window) {
            Some(&mut self.before)
        } else {
            None
        }
    }

    fn aside(&self, window: u64, kind: Kind, lost: bool) -> u64 {
        let of = |p: &&Part| p.window == window && p.kind == kind && p.lost == lost;
        self.parts.values().filter(of).map(|p| p.amount).sum()
    }

    /// Orders that this window can still take, beside those that open parts may bring.
    fn room(&self) -> u64 {
        let kept: u64 = self.parts.values().filter(|p| p.window == self.window).map(|p| p.slots).sum();
        (ORDERS as u64).saturating_sub(self.now.orders + kept)
    }

    fn allow(&mut self, new: &Allowance) -> Result<bool, Why> {
        match &self.allowance {
            Some(old) if old == new => Ok(false),
            _ if new.edition < self.edition => Ok(false),
            Some(old) if new.edition == old.edition => Err(Why::Stale),
            None if new.edition == self.edition && self.edition > 0 => Err(Why::Stale),
            _ => {
                self.edition = new.edition;
                self.allowance = Some(new.clone());
                Ok(true)
            }
        }
    }

    fn withdraw(&mut self, edition: u64) -> bool {
        let later = edition > self.edition;
        if later {
            (self.edition, self.allowance) = (edition, None);
        }
        later
    }

    /// Why `units` more can't be given.
    fn short(&self, kind: Kind, units: u64) -> Option<Why> {
        if self.allowance.as_ref().and_then(|a| a.share(kind)).is_none() {
            return Some(Why::Unset);
        }
        let left = self.left(kind);
        if units <= left {
            None
        } else if units <= left.saturating_add(self.open(self.window, kind)) {
            Some(Why::Busy)
        } else {
            Some(Why::Spent)
        }
    }

    fn grant(&mut self, mark: Mark, kind: Kind, want: u64, least: u64) -> Result<bool, Why> {
        if self.parts.contains_key(&mark) {
            return Ok(false);
        }
        if let Some(why) = self.short(kind, least) {
            return Err(why);
        }
        self.meet(mark)?;
        if self.parts.len() >= PARTS {
            return Err(Why::Full);
        }
        let others = self.holders.len() as u64 + u64::from(!self.holders.contains_key(&mark.node));
        let left = self.left(kind);
        let fair = want.min(left / (SHARE * others.max(FEW))).min(MAX_PART);
        let amount = if fair >= FLOOR.min(want).max(1) { fair.max(least) } else { least };
        if amount == 0 {
            return Err(if left == 0 { self.short(kind, 1).unwrap_or(Why::Near) } else { Why::Near });
        }
        let ordered = kind != Kind::Read && self.allowance.as_ref().is_some_and(|a| a.order_header.is_some());
        let slots = if ordered { amount.min(SLOTS).min(self.room()) } else { 0 };
        let (window, fence) = (self.window, self.changes + 1);
        self.parts.insert(mark, Part { kind, window, amount, slots, fence, lost: false });
        self.holders.insert(mark.node, Holder { life: mark.life, last: mark.number, window });
        Ok(true)
    }

    /// Whether the node may ask for this part: not if it or a later life has asked for a later one, or given this one
    /// up unseen. So a call that was held up on its way makes no part that nobody knows.
    fn meet(&self, mark: Mark) -> Result<(), Why> {
        match self.holders.get(&mark.node) {
            Some(known) if (mark.life, mark.number) <= (known.life, known.last) => Err(Why::Stale),
            None if self.holders.len() >= HOLDERS => Err(Why::Full),
            _ => Ok(()),
        }
    }

    fn settle(&mut self, mark: Mark, used: u64, slips: &[Slip]) -> Result<bool, Why> {
        let Some(part) = self.parts.get(&mark).copied() else {
            if is(Broken::CountedTwice) {
                self.now.charged[slips.first().map_or(Kind::Read, |_| Kind::Confirmation).at()] += used;
                return Ok(used > 0);
            }
            let news = self.meet(mark).is_ok();
            if news {
                let holder = Holder { life: mark.life, last: mark.number, window: self.window };
                self.holders.insert(mark.node, holder);
            }
            return Ok(news);
        };
        let sum = slips.iter().fold(0u64, |sum, slip| sum.saturating_add(slip.units));
        if used > part.amount || sum > used || slips.len() as u64 > part.slots {
            return Err(Why::Invalid);
        }
        self.parts.remove(&mark);
        let mut net = used;
        let mut added = 0;
        for slip in slips {
            let order = if is(Broken::ChargeByTry) { by_try(slip.claim) } else { slip.order };
            match self.orders.get_mut(&order) {
                Some(entry) if entry.knows(slip.claim) => net -= slip.units,
                Some(entry) => {
                    if entry.charged() {
                        net -= slip.units;
                    } else {
                        (entry.kind, entry.units) = (part.kind, slip.units);
                        let old = std::mem::replace(&mut entry.window, part.window);
                        if old != part.window {
                            added += 1;
                            if let Some(tally) = self.tally_mut(old) {
                                tally.orders = tally.orders.saturating_sub(1);
                            }
                        }
                    }
                    if let Some(entry) = self.orders.get_mut(&order) {
                        entry.add(slip.claim);
                    }
                }
                None => {
                    added += 1;
                    let (window, kind, units) = (part.window, part.kind, slip.units);
                    let claims = vec![(slip.claim, true)];
                    self.orders.insert(order, Entry { window, kind, units, claims, pinned: false });
                }
            }
        }
        if let Some(tally) = self.tally_mut(part.window) {
            tally.charged[part.kind.at()] += net;
            tally.orders += added;
        }
        Ok(true)
    }

    fn charge(&mut self, order: Order, claim: Mark, kind: Kind, units: u64) -> Result<bool, Why> {
        let order = if is(Broken::ChargeByTry) { by_try(claim) } else { order };
        if let Some(entry) = self.orders.get_mut(&order) {
            if entry.knows(claim) {
                return Ok(false);
            }
            if entry.charged() {
                entry.add(claim);
                return Ok(true);
            }
        }
        if units == 0 {
            return Err(Why::Invalid);
        }
        if let Some(why) = self.short(kind, units) {
            return Err(why);
        }
        let window = self.window;
        let old = self.orders.get(&order).map(|entry| entry.window);
        if old != Some(window) {
            if self.room() == 0 {
                return Err(Why::Full);
            }
            if let Some(tally) = old.and_then(|old| self.tally_mut(old)) {
                tally.orders = tally.orders.saturating_sub(1);
            }
            self.now.orders += 1;
        }
        let blank = Entry { window, kind, units, claims: Vec::new(), pinned: false };
        let entry = self.orders.entry(order).or_insert(blank);
        (entry.window, entry.kind, entry.units) = (window, kind, units);
        entry.add(claim);
        if !entry.charged() {
            entry.pinned = true;
        }
        self.now.charged[kind.at()] += units;
        Ok(true)
    }

    fn give_back(&mut self, order: Order, claim: Mark) -> bool {
        let order = if is(Broken::ChargeByTry) { by_try(claim) } else { order };
        let Some(entry) = self.orders.get_mut(&order) else {
            // The charge may still come: it must find that it was given back.
            let room = self.room() > 0;
            if room {
                self.now.orders += 1;
                let (window, claims) = (self.window, vec![(claim, false)]);
                self.orders
                    .insert(order, Entry { window, kind: Kind::Read, units: 0, claims, pinned: false });
            }
            return room;
        };
        let charged = entry.charged();
        let count = entry.claims.len();
        match entry.claims.iter_mut().find(|(known, _)| *known == claim) {
            Some((_, holds)) if *holds => *holds = false,
            None if count < CLAIMS => entry.claims.push((claim, false)),
            _ => return false,
        }
        if charged && !entry.charged() {
            let (window, kind, units) = (entry.window, entry.kind, entry.units);
            if let Some(tally) = self.tally_mut(window) {
                tally.charged[kind.at()] = tally.charged[kind.at()].saturating_sub(units);
            }
        }
        true
    }

    /// Ends a window. What is older than the one that ended is forgotten: parts of it, its orders, its holders.
    fn turn(&mut self, window: u64) -> Result<bool, Why> {
        if window < self.window {
            return Ok(false);
        }
        if window > self.window || window == u64::MAX {
            return Err(Why::Invalid);
        }
        self.window += 1;
        self.elapsed = 0;
        self.before = std::mem::take(&mut self.now);
        self.parts.retain(|_, part| part.window >= window);
        self.orders.retain(|_, entry| entry.window >= window);
        self.holders.retain(|_, holder| holder.window >= window);
        Ok(true)
    }

    fn reclaim(&mut self, mark: Mark) -> bool {
        if is(Broken::PartNotFenced) {
            return self.parts.remove(&mark).is_some();
        }
        match self.parts.get_mut(&mark) {
            Some(part) if !part.lost => {
                part.lost = true;
                true
            }
            _ => false,
        }
    }
}

fn by_try(claim: Mark) -> Order {
    Order(u128::from(claim.node) << 96 ^ u128::from(claim.life) << 48 ^ u128::from(claim.number))
}
