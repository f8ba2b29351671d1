//! Nodes, an owner that changes, and everything between them that can go wrong, in simulated time from a seed.
#![allow(dead_code)]

pub mod plain;

use plain::Plain;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use silvercross_control_store::State;
use silvercross_quota::*;
use std::collections::{BTreeMap, BTreeSet};

pub const MEMBER: &str = "workshop-7";
const S: Micros = 1_000_000;
const TICK: Micros = 250_000;

pub fn allowance(amounts: [u64; 3], strict: bool, away: Away) -> Allowance {
    let share = |amount| Some(Share { amount, unit: Unit::Request, spent: Spent::Refuse, strict });
    Allowance {
        name: MEMBER.to_string(),
        edition: 1,
        window_us: 60 * S,
        order_header: Some("x-order".to_string()),
        away,
        shares: amounts.map(share),
    }
}

/// A request that a node accepted, as the client's side knows it.
struct Taken {
    node: usize,
    life: u64,
    claim: u64,
    order: Option<Order>,
    kind: Kind,
    window: u64,
    /// `None` until it ended, or for good if its node died.
    outcome: Option<Outcome>,
}

enum Event {
    Arrives { node: usize, kind: Kind, order: Option<Order> },
    Call { node: usize, life: u64, copy: u64, call: Call },
    Answer { node: usize, life: u64, number: u64, answer: Answer },
    Ends { taken: usize, outcome: Outcome },
    Recall { node: usize },
    Propose { epoch: u64, change: Change },
    Tick { node: usize, life: u64 },
    Clerk { epoch: u64 },
    Fault,
}

struct Machine {
    purse: Purse,
    life: u64,
    offset: Micros,
    rate: i64,
    frozen: Micros,
    cut: Micros,
}

/// What a schedule came to.
#[derive(Default, Clone, Copy, Debug)]
pub struct Told {
    pub accepted: u64,
    pub refused: u64,
    pub repeats: u64,
    pub owners: u64,
    pub faults: u64,
    pub lost_parts: u64,
    pub exact: u64,
}

pub struct World {
    rng: Pcg64Mcg,
    now: Micros,
    end: Micros,
    seq: u64,
    queue: BTreeMap<(Micros, u64), Event>,
    machines: Vec<Machine>,
    count: Count,
    plain: Plain,
    clerk: Clerk,
    terms: Terms,
    allowance: Allowance,
    epoch: u64,
    /// Nobody owns the key before this.
    owner_from: Micros,
    owner_frozen: Micros,
    killed: bool,
    waiting: BTreeMap<(usize, u64, u64), (Kind, Option<Order>)>,
    next_id: u64,
    taken: Vec<Taken>,
    /// How often each order arrived.
    tries: BTreeMap<Order, usize>,
    /// Letters that an owner has served.
    served: BTreeSet<u64>,
    told: Told,
}

impl World {
    pub fn new(seed: u64) -> World {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let small = |rng: &mut Pcg64Mcg| match rng.next_u32() % 3 {
            0 => 1 + u64::from(rng.next_u32() % 6),
            1 => 10 + u64::from(rng.next_u32() % 60),
            _ => 150 + u64::from(rng.next_u32() % 250),
        };
        let amounts = [small(&mut rng), small(&mut rng), small(&mut rng)];
        let strict = rng.next_u32() % 4 == 0;
        let away = if rng.next_u32() % 4 == 0 { Away::Refuse } else { Away::Serve };
        let allowance = allowance(amounts, strict, away);
        let terms = Terms { least: u64::from(rng.next_u32() % 4 == 0) * 2, ..Terms::default() };
        let mut count = Count::default();
        count.apply(&Change::Allow(allowance.clone())).expect("a first allowance");
        let mut world = World {
            rng,
            now: 0,
            end: 0,
            seq: 0,
            queue: BTreeMap::new(),
            machines: Vec::new(),
            count,
            plain: Plain::new(amounts),
            clerk: Clerk::new(0, terms),
            terms,
            allowance,
            epoch: 1,
            owner_from: 0,
            owner_frozen: 0,
            killed: false,
            waiting: BTreeMap::new(),
            next_id: 0,
            taken: Vec::new(),
            tries: BTreeMap::new(),
            served: BTreeSet::new(),
            told: Told::default(),
        };
        world.clerk.seen(0, MEMBER, &world.count);
        for node in 0..2 + world.draw(3) as usize {
            let (offset, rate) = (world.draw(1_000_000_000) as i64, 990 + world.draw(21) as i64);
            let purse = Purse::new(0, node as u32, 1, terms);
            world.machines.push(Machine { purse, life: 1, offset, rate, frozen: 0, cut: 0 });
            world.start(node, 1);
        }
        world.at(TICK, Event::Clerk { epoch: 1 });
        world.end = [20 * S, 50 * S, 90 * S, 140 * S][world.draw(4) as usize];
        let most = if world.draw(4) == 0 { 500 } else { 80 };
        let requests = 10 + world.draw(most);
        let pool = 1 + world.draw(requests);
        for _ in 0..requests {
            let at = world.draw(world.end as u64) as i64;
            let at = if world.draw(2) == 0 { at } else { at / (5 * S) * 5 * S + world.draw(200_000) as i64 };
            let node = world.draw(world.machines.len() as u64) as usize;
            let kind = Kind::ALL[world.draw(3) as usize];
            let number = world.draw(pool) * 2 + kind as u64 % 2;
            let order = (kind != Kind::Read && world.draw(5) > 0).then_some(Order(number.into()));
            world.at(at, Event::Arrives { node, kind, order });
        }
        let faults = world.draw(6);
        for _ in 0..faults {
            let at = world.draw(world.end as u64) as i64;
            world.at(at, Event::Fault);
        }
        world
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.seq += 1;
        self.queue.insert((at, self.seq), event);
    }

    fn after(&mut self, wait: Micros, event: Event) {
        self.at(self.now + wait, event);
    }

    fn clock(&self, node: usize) -> Micros {
        let machine = &self.machines[node];
        machine.offset + self.now / 1000 * machine.rate
    }

    fn start(&mut self, node: usize, life: u64) {
        let mut purse = Purse::new(self.clock(node), node as u32, life, self.terms);
        purse.set(&self.allowance);
        self.machines[node].purse = purse;
        self.machines[node].life = life;
        self.after(TICK, Event::Tick { node, life });
    }

    /// Plays the schedule to its end, or to the first thing that is wrong.
    pub fn run(mut self) -> Result<Told, String> {
        let quiet = self.end + 45 * S;
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > quiet {
                break;
            }
            self.now = at;
            self.step(event).map_err(|why| format!("at {}: {why}", self.now))?;
        }
        self.judge()
    }

    fn healed(&self) -> bool {
        self.now > self.end
    }

    fn step(&mut self, event: Event) -> Result<(), String> {
        match event {
            Event::Arrives { node, .. } | Event::Recall { node } | Event::Tick { node, .. }
                if self.machines[node].frozen > self.now =>
            {
                let until = self.machines[node].frozen;
                self.at(until, event);
            }
            Event::Answer { node, .. } if self.machines[node].frozen > self.now => {
                let until = self.machines[node].frozen;
                self.at(until, event);
            }
            Event::Arrives { node, kind, order } => {
                if let Some(order) = order {
                    *self.tries.entry(order).or_default() += 1;
                }
                self.next_id += 1;
                let (id, now, life) = (self.next_id, self.clock(node), self.machines[node].life);
                let request = Request { id, member: MEMBER, kind, order, bytes: 0 };
                let charge = self.machines[node].purse.request(now, request);
                self.waiting.insert((node, life, id), (kind, order));
                self.verdicts(node, vec![(id, charge)]);
                self.send(node);
            }
            Event::Tick { node, life } => {
                if life != self.machines[node].life {
                    return Ok(());
                }
                let now = self.clock(node);
                let verdicts = self.machines[node].purse.tick(now);
                self.verdicts(node, verdicts);
                self.send(node);
                self.after(TICK, Event::Tick { node, life });
            }
            Event::Recall { node } => {
                let now = self.clock(node);
                self.machines[node].purse.recall(now, MEMBER);
                self.send(node);
            }
            Event::Answer { node, life, number, answer } => {
                if life == self.machines[node].life && (self.machines[node].cut <= self.now || self.healed())
                {
                    let now = self.clock(node);
                    let verdicts = self.machines[node].purse.answer(now, number, &answer);
                    self.verdicts(node, verdicts);
                    self.send(node);
                }
            }
            Event::Ends { taken, outcome } => {
                let Taken { node, life, claim, .. } = self.taken[taken];
                if self.machines[node].life == life {
                    self.taken[taken].outcome = Some(outcome);
                    let now = self.clock(node);
                    self.machines[node].purse.done(now, claim, outcome);
                    self.send(node);
                }
            }
            // The ledger serves a letter once, however often it comes; one that is sent again is another.
            Event::Call { node, life, copy, call } => {
                if self.now >= self.owner_from && self.now >= self.owner_frozen && self.served.insert(copy) {
                    return self.owner(node, life, call);
                }
            }
            Event::Propose { epoch, change } => {
                if epoch == self.epoch && self.owner_from <= self.now {
                    return self.commit(&change).map(|_| ());
                }
            }
            Event::Clerk { epoch } => {
                if self.owner_frozen > self.now {
                    let until = self.owner_frozen;
                    self.at(until, event);
                } else if epoch == self.epoch {
                    for (_, change) in self.clerk.tick(self.now) {
                        let wait = self.draw(50_000) as i64;
                        self.after(wait, Event::Propose { epoch, change });
                    }
                    self.after(TICK, Event::Clerk { epoch });
                }
            }
            Event::Fault => self.fault(),
        }
        Ok(())
    }

    /// What the owner does with a call that came to it. What it commits stays, whatever becomes of it and the answer.
    fn owner(&mut self, node: usize, life: u64, call: Call) -> Result<(), String> {
        let outcome = self.commit(&call.change)?;
        let answer = self.count.answer(&call.change, &outcome);
        if matches!(answer, Answer::No { why: Why::Busy, .. }) && self.draw(2) == 0 {
            for kind in Kind::ALL {
                for (holder, _) in self.count.holders(kind) {
                    let wait = self.draw(20_000) as i64;
                    self.after(wait, Event::Recall { node: holder as usize });
                }
            }
        }
        if self.draw(12) == 0 && !self.healed() {
            return Ok(());
        }
        let wait = self.draw(40_000) as i64;
        self.after(wait, Event::Answer { node, life, number: call.number, answer });
        Ok(())
    }

    fn commit(
        &mut self,
        change: &Change,
    ) -> Result<Result<bool, silvercross_control_store::Rejection>, String> {
        if let Change::GiveBack { claim, .. } = change {
            let may = |t: &&Taken| {
                (t.node as u32, t.life, t.claim) == (claim.node, claim.life, claim.number)
                    && matches!(t.outcome, Some(Outcome::Ran | Outcome::MayHaveRun))
            };
            if let Some(t) = self.taken.iter().find(may) {
                return Err(format!("given back what may have run: {:?} {claim:?}", t.order));
            }
        }
        let before = self.count.clone();
        let outcome = self.count.apply(change);
        if outcome.is_err() && self.count != before {
            return Err(format!("refused and in force: {change:?}"));
        }
        if outcome == Ok(false) && self.count != before {
            return Err(format!("nothing changed and yet it did: {change:?}"));
        }
        self.plain.see(change, &outcome, &self.count)?;
        if matches!((change, &outcome), (Change::Reclaim { .. }, Ok(true))) {
            self.told.lost_parts += 1;
        }
        self.clerk.seen(self.now, MEMBER, &self.count);
        Ok(outcome)
    }

    fn send(&mut self, node: usize) {
        let life = self.machines[node].life;
        for call in self.machines[node].purse.calls() {
            let rough = !self.healed();
            self.seq += 1;
            let copy = self.seq;
            if rough && self.draw(15) == 0 {
                let late = self.draw(20_000_000) as i64;
                self.after(late, Event::Call { node, life, copy, call: call.clone() });
            }
            if rough && (self.machines[node].cut > self.now || self.draw(12) == 0) {
                continue;
            }
            let wait = self.draw(40_000) as i64;
            self.after(wait, Event::Call { node, life, copy, call });
        }
    }

    fn verdicts(&mut self, node: usize, verdicts: Vec<(u64, Charge)>) {
        let life = self.machines[node].life;
        for (id, charge) in verdicts {
            if charge == Charge::AskOwner {
                continue;
            }
            let Some((kind, order)) = self.waiting.remove(&(node, life, id)) else {
                panic!("a verdict on nothing: {charge:?}");
            };
            match charge {
                Charge::Accepted { claim, repeat, window, .. } => {
                    self.told.accepted += 1;
                    self.told.repeats += u64::from(repeat);
                    self.taken.push(Taken { node, life, claim, order, kind, window, outcome: None });
                    let outcome = match self.draw(6) {
                        0 => Outcome::NotRun,
                        1 => Outcome::MayHaveRun,
                        _ => Outcome::Ran,
                    };
                    let spread = if self.draw(4) == 0 { 8_000_000 } else { 50_000 };
                    let wait = self.draw(spread) as i64;
                    let taken = self.taken.len() - 1;
                    self.after(wait, Event::Ends { taken, outcome });
                }
                Charge::Refused { .. } => self.told.refused += 1,
                other => panic!("not expected here: {other:?}"),
            }
        }
    }

    fn fault(&mut self) {
        self.told.faults += 1;
        let node = self.draw(self.machines.len() as u64) as usize;
        let long = 200_000 + self.draw(15_000_000) as i64;
        match self.draw(5) {
            0 => self.machines[node].cut = self.now + long,
            1 => self.machines[node].frozen = self.now + long,
            2 => {
                self.killed = true;
                let life = self.machines[node].life + 1;
                self.waiting.retain(|(n, l, _), _| (*n, *l) != (node, life - 1));
                self.start(node, life);
            }
            3 => self.owner_frozen = self.now + long,
            // What was on its way to the old owner and not committed is lost with it.
            _ => {
                self.told.owners += 1;
                self.epoch += 1;
                self.owner_frozen = 0;
                self.owner_from = self.now + 400_000 + self.draw(3_000_000) as i64;
                self.clerk = Clerk::new(self.owner_from, self.terms);
                self.clerk.seen(self.owner_from, MEMBER, &self.count);
                let epoch = self.epoch;
                self.at(self.owner_from + TICK, Event::Clerk { epoch });
            }
        }
    }

    /// What the clients know against what was allowed and charged.
    fn judge(mut self) -> Result<Told, String> {
        if let Some(left) = self.waiting.keys().next() {
            return Err(format!("a request without a verdict: {left:?}"));
        }
        let mut orders: BTreeMap<Order, (Kind, BTreeSet<u64>)> = BTreeMap::new();
        let mut units: BTreeMap<(u64, Kind), u64> = BTreeMap::new();
        let mut total: BTreeMap<Kind, u64> = BTreeMap::new();
        for t in self.taken.iter().filter(|t| t.outcome != Some(Outcome::NotRun)) {
            match t.order {
                Some(order) => {
                    orders.entry(order).or_insert((t.kind, BTreeSet::new())).1.insert(t.window);
                }
                None => {
                    *units.entry((t.window, t.kind)).or_default() += 1;
                    *total.entry(t.kind).or_default() += 1;
                }
            }
        }
        for (kind, windows) in orders.values() {
            *total.entry(*kind).or_default() += 1;
            if let (1, Some(window)) = (windows.len(), windows.first()) {
                *units.entry((*window, *kind)).or_default() += 1;
            }
        }
        for ((window, kind), accepted) in &units {
            let amount = self.allowance.share(*kind).map_or(0, |share| share.amount);
            if *accepted > amount {
                return Err(format!(
                    "beyond the allowance: {accepted} {} of {amount} in {window}",
                    kind.word()
                ));
            }
        }
        if self.count.parts().any(|(_, part)| !part.lost) && self.owner_frozen < self.end {
            return Err(format!("parts still out in quiet: {:?}", self.count.parts().collect::<Vec<_>>()));
        }
        let lost = self.count.parts().count() > 0;
        if self.count.window() <= 1 && !self.killed && !lost {
            let charged: u64 = (0..=1).flat_map(|w| Kind::ALL.map(|k| self.count.charged(w, k))).sum();
            let forfeited: u64 = self.machines.iter().map(|m| m.purse.figures().forfeited).sum();
            let accepted: u64 = total.values().sum();
            // Beyond so many tries an order stays charged whatever is given back.
            let crowded = self.tries.values().any(|tries| *tries > CLAIMS);
            if charged != accepted + forfeited && !(crowded && charged > accepted + forfeited) {
                let more = self.tries.keys().filter(|o| self.count.charged_order(**o).is_some());
                let more: Vec<&Order> = more.filter(|o| !orders.contains_key(o)).collect();
                let why = format!("charged {charged}, accepted {accepted}, forfeited {forfeited}, {more:?}");
                return Err(format!("{why} {:?}", self.plain.tries_of(more.first().copied())));
            }
            self.told.exact += u64::from(!crowded);
        }
        Ok(self.told)
    }
}
