//! What a node holds of allowances, and what it does with a request at its head.

use std::collections::{BTreeMap, BTreeSet};

use crate::broken::{is, Broken};
use crate::count::{Answer, Change, Mark, Order, Part, Slip, Why, FEW, FLOOR, MAX_PART, SHARE};
use crate::items::{Allowance, Away, Kind, Spent};
use crate::{Micros, Terms};

/// Members with an allowance at most; further ones are not counted here, which [`Purse::set`] says.
pub const MEMBERS: usize = 131_072;
/// Calls to owners under way at most. At the bound what would need one is refused as [`Why::Crowded`]; settling and
/// giving back go on.
pub const CALLS: usize = 8_192;
/// Accepted requests whose end was not told at most; beyond it they are refused as [`Why::Crowded`].
pub const CLAIMS_OPEN: usize = 65_536;
/// Parts held of one member's kind at most; a further request waits for the owner's word on its order, or is refused as
/// [`Why::Crowded`].
pub const HELD: usize = 64;
/// Requests that wait for one part at most; further ones ask for their own.
const JOIN: usize = 64;
/// A first part asked for.
const WANT: u64 = 16;

/// A request at its head.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The caller's name for it, told back with a later verdict.
    pub id: u64,
    /// The member.
    pub member: &'a str,
    /// Its kind.
    pub kind: Kind,
    /// Its order's number, if it came with one.
    pub order: Option<Order>,
    /// The length of its body, as the head tells it.
    pub bytes: u64,
}

/// What is to be done with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Charge {
    /// Nothing is counted: it goes on.
    Free,
    /// It goes on, and its end is to be told to [`Purse::done`].
    Accepted {
        /// What its end is told by.
        claim: u64,
        /// Another try of its order was accepted before, as far as is known here.
        repeat: bool,
        /// In which window it is counted.
        window: u64,
        /// Units left, by the owner's last word.
        left: u64,
    },
    /// Nothing is left, and by the operator's word it goes on uncounted, slowed as for a lapsed trial.
    Slow {
        /// The window.
        window: u64,
    },
    /// It waits, its body untouched, until [`Purse::answer`] or [`Purse::tick`] decides.
    AskOwner,
    /// It is answered 429 (503 where the owner is out of reach), before its body is taken.
    Refused {
        /// Why.
        why: Why,
        /// When to come back at most.
        retry_after: Micros,
        /// Units left, by the owner's last word.
        left: u64,
        /// The window, by the owner's last word.
        window: u64,
    },
}

/// How an accepted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ran.
    Ran,
    /// It may have run.
    MayHaveRun,
    /// It certainly did not run.
    NotRun,
}

/// A change for the owner of a member's count. Its outcome goes to [`Purse::answer`] by its number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Its number.
    pub number: u64,
    /// Whose count.
    pub member: String,
    /// What to change.
    pub change: Change,
}

/// Plain counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Requests accepted from a part, without an exchange.
    pub local: u64,
    /// Requests accepted after an exchange.
    pub asked: u64,
    /// Requests refused.
    pub refused: u64,
    /// Requests that went on uncounted because nothing was left.
    pub slowed: u64,
    /// Calls sent, those sent again included.
    pub calls: u64,
    /// Calls given up without an answer.
    pub given_up: u64,
    /// Units that were not used and could no more be given back.
    pub forfeited: u64,
    /// Times that this node stood still and put its parts away.
    pub stood_still: u64,
}

impl std::hash::Hash for Figures {
    /// States that differ in counters only are searched once.
    fn hash<H: std::hash::Hasher>(&self, _: &mut H) {}
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Hold {
    part: Part,
    asked: Micros,
    used: u64,
    /// Orders taken: the ticket, the units, whether it may have run. At most the part's slots.
    slips: BTreeMap<Order, (u64, u64, bool)>,
    /// Tickets on it.
    open: u64,
    /// No more is taken from it; it is settled once its tickets are done.
    shut: bool,
}

/// What is open of one member's kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Pocket {
    /// At most `HELD`.
    holds: BTreeMap<u64, Hold>,
    /// The call for the next part.
    asking: Option<u64>,
    want: u64,
    window: u64,
    left: Option<u64>,
    /// Below this no parts are asked for.
    near_below: u64,
    /// Refused unasked until then.
    hush: Option<(Micros, Micros)>,
}

impl Pocket {
    fn near(&self, least: u64) -> bool {
        least == 0 && self.left.is_some_and(|left| left < self.near_below.max(SHARE * FEW * FLOOR))
    }

    fn told(&mut self, window: u64, left: u64) {
        if window > self.window {
            self.window = window;
            self.hush = None;
            self.near_below = 0;
        }
        if window == self.window {
            self.left = Some(left);
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Wallet {
    allowance: Allowance,
    pockets: [Pocket; 3],
    away: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Ticket {
    member: String,
    kind: Kind,
    order: Option<Order>,
    units: u64,
    /// The part it was taken from, settled by now or not.
    hold: Option<u64>,
    /// Requests whose end was not told.
    live: u64,
    ran: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Wait {
    id: u64,
    kind: Kind,
    units: u64,
    since: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Pending {
    member: String,
    change: Change,
    since: Micros,
    sent: Micros,
    /// It was sent more than once: a refusal is the answer to one of them, and another may still be taken.
    again: bool,
    waits: Vec<Wait>,
}

/// A node's parts of all allowances. Bounds: [`MEMBERS`], [`CALLS`], [`CLAIMS_OPEN`], [`HELD`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Purse {
    node: u32,
    life: u64,
    terms: Terms,
    next: u64,
    last: Micros,
    members: BTreeMap<String, Wallet>,
    /// Members that hold or ask for something.
    busy: BTreeSet<String>,
    tickets: BTreeMap<u64, Ticket>,
    pending: BTreeMap<u64, Pending>,
    out: Vec<u64>,
    figures: Figures,
}

impl Purse {
    /// Empty. `life` is to be above that of every earlier start of this node.
    pub fn new(now: Micros, node: u32, life: u64, terms: Terms) -> Purse {
        Purse {
            node,
            life,
            terms,
            next: 0,
            last: now,
            members: BTreeMap::new(),
            busy: BTreeSet::new(),
            tickets: BTreeMap::new(),
            pending: BTreeMap::new(),
            out: Vec::new(),
            figures: Figures::default(),
        }
    }

    /// A member's allowance as this node knows it; an older edition changes nothing. Returns whether it is counted here.
    pub fn set(&mut self, allowance: &Allowance) -> bool {
        if let Some(wallet) = self.members.get_mut(&allowance.name) {
            if allowance.edition > wallet.allowance.edition {
                wallet.allowance = allowance.clone();
            }
            return true;
        }
        if self.members.len() >= MEMBERS {
            return false;
        }
        let wallet = Wallet { allowance: allowance.clone(), pockets: Default::default(), away: false };
        self.members.insert(allowance.name.clone(), wallet);
        true
    }

    /// A member is no more counted. What is held of it is settled.
    pub fn unset(&mut self, now: Micros, member: &str) {
        self.recall(now, member);
        self.members.remove(member);
        self.busy.remove(member);
    }

    /// The owner's word, by whatever way, that a member's window runs.
    pub fn window(&mut self, now: Micros, member: &str, window: u64) {
        let Some(wallet) = self.members.get_mut(member) else { return };
        let mut old = false;
        for pocket in &mut wallet.pockets {
            if window > pocket.window {
                pocket.left = None;
                pocket.told(window, 0);
                pocket.left = None;
                old |= !pocket.holds.is_empty();
            }
        }
        if old {
            self.recall(now, member);
        }
    }

    /// The owner calls a member's parts in.
    pub fn recall(&mut self, now: Micros, member: &str) {
        for kind in Kind::ALL {
            let Some(pocket) = self.pocket(member, kind) else { return };
            let all: Vec<u64> = pocket.holds.keys().copied().collect();
            for number in all {
                self.settle(now, member, kind, number);
            }
        }
    }

    /// This node stops: all parts are settled.
    pub fn stop(&mut self, now: Micros) {
        for member in self.busy.clone() {
            self.recall(now, &member);
        }
    }

    /// Counters.
    pub fn figures(&self) -> Figures {
        self.figures
    }

    /// Units that this node could still accept of a member's kind without asking.
    pub fn held(&self, member: &str, kind: Kind) -> u64 {
        let holds = self.members.get(member).map(|wallet| &wallet.pockets[kind.at()].holds);
        holds.map_or(0, |holds| holds.values().map(|h| h.part.amount - h.used).sum())
    }

    /// Calls to be sent, first ones and those to be sent again.
    pub fn calls(&mut self) -> Vec<Call> {
        let out = std::mem::take(&mut self.out);
        let call = |number| {
            let pending = self.pending.get(&number)?;
            Some(Call { number, member: pending.member.clone(), change: pending.change.clone() })
        };
        let calls: Vec<Call> = out.into_iter().filter_map(call).collect();
        self.figures.calls += calls.len() as u64;
        calls
    }

    /// Decides on a request at its head, before its body is taken.
    pub fn request(&mut self, now: Micros, request: Request) -> Charge {
        self.step(now);
        let Some(wallet) = self.members.get(request.member) else { return Charge::Free };
        let Some(share) = wallet.allowance.share(request.kind).copied() else { return Charge::Free };
        let counted = request.kind != Kind::Read && wallet.allowance.order_header.is_some();
        let order = request.order.filter(|_| counted);
        let units = share.unit.units(request.bytes);
        if self.tickets.len() >= CLAIMS_OPEN {
            return self.refused(request.member, request.kind, Why::Crowded, self.terms.again);
        }
        let away = wallet.away;
        let within = !away || wallet.allowance.away == Away::Serve;
        if within && !(share.strict && order.is_some()) {
            if let Some(charge) = self.place(now, request.member, request.kind, order, units) {
                self.figures.local += 1;
                return charge;
            }
        }
        if away {
            self.probe(now, request.member, request.kind);
            return self.refused(request.member, request.kind, Why::Away, self.terms.patience);
        }
        self.ask(now, request, order, units, share.strict)
    }

    /// How an accepted request ended. To be told once for each [`Charge::Accepted`].
    pub fn done(&mut self, now: Micros, claim: u64, outcome: Outcome) {
        let back =
            outcome == Outcome::NotRun || (outcome == Outcome::MayHaveRun && is(Broken::GivesBackUnknown));
        let Some(ticket) = self.tickets.get_mut(&claim) else { return };
        ticket.live = ticket.live.saturating_sub(1);
        ticket.ran |= !back;
        if ticket.live > 0 {
            return;
        }
        let Some(ticket) = self.tickets.remove(&claim) else { return };
        let hold = ticket.hold.and_then(|number| {
            let pocket = self.members.get_mut(&ticket.member)?;
            pocket.pockets[ticket.kind.at()].holds.get_mut(&number)
        });
        let Some(hold) = hold else {
            match ticket.order {
                _ if ticket.ran => {}
                Some(order) => {
                    let claim = self.mark(claim);
                    self.call(now, &ticket.member, Change::GiveBack { order, claim }, Vec::new());
                }
                None => self.figures.forfeited += ticket.units,
            }
            return;
        };
        hold.open = hold.open.saturating_sub(1);
        if ticket.ran {
            if let Some(slip) = ticket.order.and_then(|order| hold.slips.get_mut(&order)) {
                slip.2 = true;
            }
        } else {
            hold.used = hold.used.saturating_sub(ticket.units);
            if let Some(order) = ticket.order {
                hold.slips.remove(&order);
            }
        }
        if let Some(number) = ticket.hold {
            self.tidy(now, &ticket.member, ticket.kind, number);
        }
    }

    /// The owner's answer to a call, and the verdicts on requests that waited for it. An answer to a call that was given
    /// up, or answered before, changes nothing.
    pub fn answer(&mut self, now: Micros, number: u64, answer: &Answer) -> Vec<(u64, Charge)> {
        self.step(now);
        let Some(pending) = self.pending.remove(&number) else { return Vec::new() };
        let Pending { member, change, since, waits, again, .. } = pending;
        if again && matches!(answer, Answer::No { .. }) {
            self.call_off(now, &member, &change);
        }
        if let Some(wallet) = self.members.get_mut(&member) {
            wallet.away = false;
        }
        match (change, answer) {
            (Change::Grant { kind, part, .. }, Answer::Granted { part: granted, left }) => {
                self.granted(now, &member, kind, part.number, *granted, *left, since, waits)
            }
            (Change::Grant { kind, part, least, .. }, Answer::No { why, window, ends_in, left }) => {
                if let Some(pocket) = self.pocket(&member, kind) {
                    if pocket.asking == Some(part.number) {
                        pocket.asking = None;
                    }
                }
                self.heard(now, &member, kind, *why, *window, *ends_in, *left);
                let (end, again): (Vec<Wait>, Vec<Wait>) = waits
                    .into_iter()
                    .partition(|w| !matches!(why, Why::Stale | Why::Near) && w.units >= least);
                let mut verdicts = self.turned(&member, *why, *window, *ends_in, *left, end);
                verdicts.extend(self.ask_each(now, &member, again));
                verdicts
            }
            (Change::Charge { kind, order, units, .. }, Answer::Charged { repeat, window, left }) => {
                if let Some(pocket) = self.pocket(&member, kind) {
                    pocket.told(pocket.window.max(*window), *left);
                }
                let Some(wait) = waits.first() else { return Vec::new() };
                let ticket =
                    Ticket { member, kind, order: Some(order), units, hold: None, live: 1, ran: false };
                self.tickets.insert(number, ticket);
                self.figures.asked += 1;
                let charge =
                    Charge::Accepted { claim: number, repeat: *repeat, window: *window, left: *left };
                vec![(wait.id, charge)]
            }
            (Change::Charge { kind, .. }, Answer::No { why, window, ends_in, left }) => {
                self.heard(now, &member, kind, *why, *window, *ends_in, *left);
                self.turned(&member, *why, *window, *ends_in, *left, waits)
            }
            // It does not fit the question.
            (Change::Grant { .. } | Change::Charge { .. }, _) => {
                self.turned(&member, Why::Invalid, 0, self.terms.patience, 0, waits)
            }
            _ => Vec::new(),
        }
    }

    /// To be called more often than the terms' gap while anything is held. Parts near their term are settled, calls
    /// without an answer sent again, and requests that waited too long decided without the owner.
    pub fn tick(&mut self, now: Micros) -> Vec<(u64, Charge)> {
        self.step(now);
        for member in self.busy.clone() {
            let mut idle = true;
            for kind in Kind::ALL {
                let Some(pocket) = self.pocket(&member, kind) else { continue };
                idle &= pocket.holds.is_empty() && pocket.asking.is_none();
                let numbers: Vec<u64> = pocket.holds.keys().copied().collect();
                for number in numbers {
                    self.tidy(now, &member, kind, number);
                }
            }
            if idle {
                self.busy.remove(&member);
            }
        }
        let mut verdicts = Vec::new();
        let late: Vec<u64> = self.pending.keys().copied().collect();
        for number in late {
            let Some(pending) = self.pending.get_mut(&number) else { continue };
            let late = now - pending.since >= self.terms.patience;
            if late {
                if let Some(wallet) = self.members.get_mut(&pending.member) {
                    wallet.away = true;
                }
            }
            if late && !pending.waits.is_empty() {
                verdicts.extend(self.give_up(now, number));
            } else if now - pending.sent >= self.terms.again {
                (pending.sent, pending.again) = (now, true);
                self.out.push(number);
            }
        }
        verdicts
    }

    fn mark(&self, number: u64) -> Mark {
        Mark { node: self.node, life: self.life, number }
    }

    fn pocket(&mut self, member: &str, kind: Kind) -> Option<&mut Pocket> {
        self.members.get_mut(member).map(|wallet| &mut wallet.pockets[kind.at()])
    }

    /// A node that stood still does not know what became of its parts: nothing more is taken from them.
    fn step(&mut self, now: Micros) {
        let gone = now - self.last;
        if is(Broken::WindowByOwnClock) {
            self.turn_by_own_clock(now);
        }
        self.last = self.last.max(now);
        if gone <= self.terms.gap {
            return;
        }
        self.figures.stood_still += 1;
        for member in &self.busy {
            let Some(wallet) = self.members.get_mut(member) else { continue };
            for hold in wallet.pockets.iter_mut().flat_map(|p| p.holds.values_mut()) {
                hold.shut = true;
            }
        }
    }

    fn turn_by_own_clock(&mut self, now: Micros) {
        let last = self.last;
        for wallet in self.members.values_mut() {
            let each = wallet.allowance.window_us;
            if now / each == last / each {
                continue;
            }
            for hold in wallet.pockets.iter_mut().flat_map(|p| p.holds.values_mut()) {
                (hold.used, hold.asked) = (0, now);
                hold.slips.clear();
            }
        }
    }

    /// Takes the units from a part, if one is valid and has them.
    fn place(
        &mut self,
        now: Micros,
        member: &str,
        kind: Kind,
        order: Option<Order>,
        units: u64,
    ) -> Option<Charge> {
        let term = self.terms.term;
        let next = self.next + 1;
        let pocket = self.members.get_mut(member).map(|w| &mut w.pockets[kind.at()])?;
        let left = pocket.left.unwrap_or(0);
        let good = |hold: &Hold| !hold.shut && now - hold.asked < term;
        let known = order.and_then(|order| {
            let mut holds = pocket.holds.iter_mut().filter(|(_, hold)| good(hold));
            holds.find_map(|(number, hold)| Some((*number, *hold.slips.get(&order)?, hold)))
        });
        if let Some((number, (claim, units, ran), hold)) = known {
            let window = hold.part.window;
            let tickets = &mut self.tickets;
            let ticket = tickets.entry(claim).or_insert_with(|| {
                hold.open += 1;
                Ticket { member: member.to_string(), kind, order, units, hold: Some(number), live: 0, ran }
            });
            ticket.live += 1;
            return Some(Charge::Accepted { claim, repeat: true, window, left });
        }
        let fits = |hold: &Hold| {
            hold.part.amount - hold.used >= units
                && (order.is_none() || (hold.slips.len() as u64) < hold.part.slots)
        };
        let (number, hold) = pocket.holds.iter_mut().find(|(_, hold)| good(hold) && fits(hold))?;
        let (number, window) = (*number, hold.part.window);
        hold.used += units;
        hold.open += 1;
        if let Some(order) = order {
            hold.slips.insert(order, (next, units, false));
        }
        self.next = next;
        let ticket = Ticket {
            member: member.to_string(),
            kind,
            order,
            units,
            hold: Some(number),
            live: 1,
            ran: false,
        };
        self.tickets.insert(next, ticket);
        self.refill(now, member, kind);
        Some(Charge::Accepted { claim: next, repeat: false, window, left })
    }

    /// Asks for the next part before the last one is used up or its time is over.
    fn refill(&mut self, now: Micros, member: &str, kind: Kind) {
        let (term, least) = (self.terms.term, self.terms.least);
        let Some(pocket) = self.pocket(member, kind) else { return };
        if pocket.asking.is_some() || pocket.near(least) || pocket.holds.len() >= HELD / 2 {
            return;
        }
        let young = pocket.holds.values().filter(|h| !h.shut && now - h.asked < term / 2);
        let (room, amount) =
            young.fold((0, 0), |(r, a), h| (r + h.part.amount - h.used, a.max(h.part.amount)));
        if room * 2 >= amount.max(1) {
            return;
        }
        // Used up before half its time: more is wanted; its time half over: as much as was used.
        pocket.want = match amount {
            0 => pocket.holds.values().map(|h| h.used).max().unwrap_or(0).max(WANT),
            _ => pocket.want.max(amount).saturating_mul(2).min(MAX_PART),
        };
        let want = pocket.want;
        self.ask_part(now, member, kind, want, least, Vec::new());
    }

    fn ask_part(&mut self, now: Micros, member: &str, kind: Kind, want: u64, least: u64, waits: Vec<Wait>) {
        let part = self.mark(self.next + 1);
        let number = self.call(now, member, Change::Grant { part, kind, want, least }, waits);
        if let Some(pocket) = self.pocket(member, kind) {
            pocket.asking = Some(number);
        }
        self.busy.insert(member.to_string());
    }

    /// While the owner is out of reach and the plan is to refuse: one question under way, so that its return is seen.
    fn probe(&mut self, now: Micros, member: &str, kind: Kind) {
        let asking = self.pocket(member, kind).is_some_and(|pocket| pocket.asking.is_some());
        if !asking && self.pending.len() < CALLS {
            self.ask_part(now, member, kind, WANT, 0, Vec::new());
        }
    }

    /// Puts a call under way. A part's and a try's number is its call's.
    fn call(&mut self, now: Micros, member: &str, change: Change, waits: Vec<Wait>) -> u64 {
        self.next += 1;
        let pending =
            Pending { member: member.to_string(), change, since: now, sent: now, again: false, waits };
        self.pending.insert(self.next, pending);
        self.out.push(self.next);
        self.next
    }

    fn ask(
        &mut self,
        now: Micros,
        request: Request,
        order: Option<Order>,
        units: u64,
        strict: bool,
    ) -> Charge {
        let (member, kind) = (request.member, request.kind);
        let wait = Wait { id: request.id, kind, units, since: now };
        if self.pending.len() >= CALLS {
            return self.refused(member, kind, Why::Crowded, self.terms.again);
        }
        if let Some(order) = order {
            let claim = self.mark(self.next + 1);
            self.call(now, member, Change::Charge { order, claim, kind, units }, vec![wait]);
            if !strict {
                self.refill(now, member, kind);
            }
            return Charge::AskOwner;
        }
        let (terms, slow) = (self.terms, self.slows(member, kind));
        let Some(pocket) = self.pocket(member, kind) else { return Charge::Free };
        if let Some((until, ends)) = pocket.hush {
            if now < until && pocket.left.is_some_and(|left| left < units) {
                let window = pocket.window;
                if slow {
                    self.figures.slowed += 1;
                    return Charge::Slow { window };
                }
                return self.refused(member, kind, Why::Spent, (ends - now).max(terms.again));
            }
        }
        let (near, asking, want) =
            (pocket.near(terms.least), pocket.asking, pocket.want.max(WANT).max(units));
        if pocket.holds.len() >= HELD {
            return self.refused(member, kind, Why::Crowded, terms.again);
        }
        if near {
            self.ask_each(now, member, vec![wait]);
        } else {
            let joined = asking.and_then(|number| self.pending.get_mut(&number));
            match joined.filter(|p| p.waits.len() < JOIN && now - p.since < terms.again) {
                Some(pending) => pending.waits.push(wait),
                None if asking.is_none() => self.ask_part(now, member, kind, want, units, vec![wait]),
                None => {
                    self.ask_each(now, member, vec![wait]);
                }
            }
        }
        Charge::AskOwner
    }

    /// A part of its own for each, if no part held by now has room; those that waited too long are refused.
    fn ask_each(&mut self, now: Micros, member: &str, waits: Vec<Wait>) -> Vec<(u64, Charge)> {
        let mut verdicts = Vec::new();
        for wait in waits {
            if let Some(charge) = self.place(now, member, wait.kind, None, wait.units) {
                self.figures.asked += 1;
                verdicts.push((wait.id, charge));
            } else if self.pending.len() >= CALLS || now - wait.since >= self.terms.patience {
                verdicts.push((wait.id, self.refused(member, wait.kind, Why::Crowded, self.terms.again)));
            } else {
                let part = self.mark(self.next + 1);
                let change = Change::Grant { part, kind: wait.kind, want: wait.units, least: wait.units };
                self.call(now, member, change, vec![wait]);
                self.busy.insert(member.to_string());
            }
        }
        verdicts
    }

    #[allow(clippy::too_many_arguments)]
    fn granted(
        &mut self,
        now: Micros,
        member: &str,
        kind: Kind,
        number: u64,
        part: Part,
        left: u64,
        asked: Micros,
        waits: Vec<Wait>,
    ) -> Vec<(u64, Charge)> {
        let late = now - asked >= self.terms.term;
        let known = match self.pocket(member, kind) {
            Some(pocket) => {
                if pocket.asking == Some(number) {
                    pocket.asking = None;
                }
                pocket.told(part.window, left);
                true
            }
            None => false,
        };
        if late || part.lost || !known || part.kind != kind {
            let change = Change::Settle { part: self.mark(number), used: 0, orders: Vec::new() };
            self.call(now, member, change, Vec::new());
            return self.ask_each(now, member, waits);
        }
        let hold = Hold { part, asked, used: 0, slips: BTreeMap::new(), open: 0, shut: false };
        if let Some(pocket) = self.pocket(member, kind) {
            pocket.holds.insert(number, hold);
        }
        self.busy.insert(member.to_string());
        let verdicts = self.ask_each(now, member, waits);
        self.tidy(now, member, kind, number);
        verdicts
    }

    /// What a refusal tells of the count.
    #[allow(clippy::too_many_arguments)]
    fn heard(
        &mut self,
        now: Micros,
        member: &str,
        kind: Kind,
        why: Why,
        window: u64,
        ends_in: Micros,
        left: u64,
    ) {
        let hush = self.terms.hush;
        let Some(pocket) = self.pocket(member, kind) else { return };
        pocket.told(window, left);
        match why {
            Why::Near | Why::Full => pocket.near_below = left.saturating_add(left / 4 + 1),
            Why::Spent if window == pocket.window => pocket.hush = Some((now + hush, now + ends_in)),
            _ => {}
        }
    }

    /// Requests that the owner refused.
    fn turned(
        &mut self,
        member: &str,
        why: Why,
        window: u64,
        ends_in: Micros,
        left: u64,
        waits: Vec<Wait>,
    ) -> Vec<(u64, Charge)> {
        let retry_after = match why {
            Why::Spent => ends_in,
            Why::Busy => self.terms.term + self.terms.margin,
            _ => self.terms.patience,
        };
        let mut verdicts = Vec::new();
        for wait in waits {
            if why == Why::Spent && self.slows(member, wait.kind) {
                self.figures.slowed += 1;
                verdicts.push((wait.id, Charge::Slow { window }));
            } else if why == Why::Unset {
                verdicts.push((wait.id, Charge::Free));
            } else {
                self.figures.refused += 1;
                verdicts.push((wait.id, Charge::Refused { why, retry_after, left, window }));
            }
        }
        verdicts
    }

    fn slows(&self, member: &str, kind: Kind) -> bool {
        let share = self.members.get(member).and_then(|w| w.allowance.share(kind));
        share.is_some_and(|share| share.spent == Spent::Slow)
    }

    fn refused(&mut self, member: &str, kind: Kind, why: Why, retry_after: Micros) -> Charge {
        self.figures.refused += 1;
        let (window, left) =
            self.pocket(member, kind).map_or((0, 0), |pocket| (pocket.window, pocket.left.unwrap_or(0)));
        Charge::Refused { why, retry_after, left, window }
    }

    /// Tells the owner that nothing comes of a call, wherever its letters are.
    fn call_off(&mut self, now: Micros, member: &str, change: &Change) {
        let off = match change {
            Change::Charge { order, claim, .. } => Change::GiveBack { order: *order, claim: *claim },
            Change::Grant { part, .. } => Change::Settle { part: *part, used: 0, orders: Vec::new() },
            _ => return,
        };
        self.call(now, member, off, Vec::new());
    }

    /// No answer came in time: the requests are refused. Whether the owner took the call is not known: a charge is given
    /// back, a part is asked for on, so that it is known and settled.
    fn give_up(&mut self, now: Micros, number: u64) -> Vec<(u64, Charge)> {
        let Some(mut pending) = self.pending.remove(&number) else { return Vec::new() };
        self.figures.given_up += 1;
        let (member, waits) = (pending.member.clone(), std::mem::take(&mut pending.waits));
        match pending.change {
            Change::Charge { .. } => self.call_off(now, &member, &pending.change),
            _ => {
                (pending.sent, pending.again) = (now, true);
                self.pending.insert(number, pending);
                self.out.push(number);
            }
        }
        let retry = self.terms.patience;
        waits.iter().map(|w| (w.id, self.refused(&member, w.kind, Why::Away, retry))).collect()
    }

    /// Settles a part whose time comes, which is full, or from which nothing more is taken.
    fn tidy(&mut self, now: Micros, member: &str, kind: Kind, number: u64) {
        let (term, least) = (self.terms.term, self.terms.least);
        let Some(pocket) = self.pocket(member, kind) else { return };
        let near = pocket.near(least);
        let Some(hold) = pocket.holds.get_mut(&number) else { return };
        let full = hold.used >= hold.part.amount;
        if now - hold.asked >= term / 4 * 3 || near || ((full || hold.shut) && hold.open == 0) {
            self.settle(now, member, kind, number);
        }
    }

    /// Tells the owner what was used of a part and is done with it. Tickets on it are from now on given back to the owner.
    fn settle(&mut self, now: Micros, member: &str, kind: Kind, number: u64) {
        let Some(hold) = self.pocket(member, kind).and_then(|p| p.holds.remove(&number)) else { return };
        let slip = |(order, (claim, units, _)): (&Order, &(u64, u64, bool))| Slip {
            order: *order,
            claim: self.mark(*claim),
            units: *units,
        };
        let orders = hold.slips.iter().map(slip).collect();
        let change = Change::Settle { part: self.mark(number), used: hold.used, orders };
        self.call(now, member, change, Vec::new());
    }
}
