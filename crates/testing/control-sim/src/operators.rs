//! Two operators and more: calls through any control machine, several under way at a time, sent again after no answer.

use crate::event::Event;
use crate::items::{Change, Item, Items};
use crate::judge::{Op, Said};
use crate::world::{key_name, Micros, World};
use silvercross_control_store::CallOutcome;
use std::collections::BTreeMap;

/// Calls of one operator that are under way at a time.
const UNDER_WAY: usize = 8;
/// Calls that are remembered, to be sent again at some time.
const REMEMBERED: usize = 64;
/// How often a call is sent until its operator lets it be.
const TRIES: u32 = 5;
/// Names of items.
const NAMES: u64 = 5;

/// One call; a read if it changes nothing.
#[derive(Clone, Debug)]
pub struct Order {
    /// The same for each sending.
    pub call: u64,
    /// Of which key.
    pub key: usize,
    /// What.
    pub change: Change,
}

struct Open {
    hand: Option<usize>,
    node: usize,
    order: Order,
    tries: u32,
}

/// What operators know.
#[derive(Default)]
pub struct Operators {
    open: BTreeMap<u64, Open>,
    remembered: Vec<Order>,
    versions: BTreeMap<(usize, u8), u64>,
    contents: u64,
    calls: u64,
}

impl World {
    /// Whether a call is under way.
    pub fn any_open(&self) -> bool {
        !self.operators.open.is_empty()
    }

    /// A new call of one item.
    pub fn order(&mut self, key: usize, name: u8, version: u64) -> Order {
        self.operators.contents += 1;
        let content = self.operators.contents;
        self.order_of(key, vec![Item { name, version, content, needs: 0 }])
    }

    /// A new call.
    pub fn order_of(&mut self, key: usize, change: Change) -> Order {
        self.operators.calls += 1;
        Order { call: self.operators.calls, key, change }
    }

    /// Sends a call, or a read, to a machine; the token names it in the history.
    pub fn send_order(&mut self, node: usize, order: Order) -> u64 {
        self.begin(None, node, order, TRIES)
    }

    fn begin(&mut self, hand: Option<usize>, node: usize, order: Order, tries: u32) -> u64 {
        let token = self.history.ops.len() as u64;
        let (key, asked) = (order.key, self.now);
        self.report.calls += 1;
        self.report.repeats += u64::from(tries > 0 && hand.is_some());
        let items: Vec<_> = order.change.iter().map(|i| (i.name, i.version, i.content, i.needs)).collect();
        let op = Op { call: order.call, key, entry: node, asked, answered: None, items, said: Said::Nothing };
        self.history.ops.push(op);
        self.operators.open.insert(token, Open { hand, node, order, tries });
        let patience = if self.dice.one_in(4) { 5_000_000 } else { 1_200_000 };
        self.at(asked + patience, Event::Patience(token));
        let delay = self.dice.between(100, 2_000);
        let incarnation = self.machines[node].incarnation;
        self.at(asked + delay, Event::Call { node, incarnation, token });
        token
    }

    /// A call has reached the machine it was sent to.
    pub(crate) fn call_arrives(&mut self, node: usize, token: u64) {
        let now = self.local(node);
        let Some(open) = self.operators.open.get(&token) else { return };
        let (key, change) = (key_name(open.order.key), open.order.change.clone());
        let Some(store) = self.machines[node].store.as_mut().filter(|store| !store.is_outside()) else {
            return self.settle_call(token, Said::Unsettled);
        };
        if change.is_empty() {
            store.read(now, token, &key);
        } else {
            store.call(now, token, &key, change);
        }
        self.pump(node);
    }

    /// A control machine answers.
    pub(crate) fn answered(&mut self, node: usize, token: u64, verdict: CallOutcome<Items>) {
        let Some(open) = self.operators.open.get(&token) else { return };
        let asked = self.history.ops[token as usize].asked;
        if open.node != node {
            return self.fail(format!("machine {node} answers call {token} of another"));
        }
        // The call's limit of 0.8 s, its way here, and the clock's step.
        if self.machines[node].woken < asked && self.now > asked + 810_000 {
            let late = self.now - asked;
            return self.fail(format!("call {token} answered after {late} us"));
        }
        let said = match verdict {
            CallOutcome::Committed { revision, changed } => {
                let at = (revision.epoch.round, u64::from(revision.epoch.owner), revision.sequence);
                Said::Done(at, changed)
            }
            CallOutcome::Rejected(refusal) => Said::Refused(refusal.conflict),
            CallOutcome::Value { value, .. } => Said::State(value.0),
            CallOutcome::Unknown => Said::Unsettled,
        };
        self.settle_call(token, said);
    }

    fn settle_call(&mut self, token: u64, said: Said) {
        let Some(open) = self.operators.open.remove(&token) else { return };
        let report = &mut self.report;
        match said {
            Said::Done(..) => report.done += 1,
            Said::Refused(true) => report.conflicts += 1,
            Said::Refused(false) => report.invalid += 1,
            Said::State(_) => report.reads += 1,
            Said::Unsettled => report.unsettled += 1,
            Said::Nothing => report.unanswered += 1,
        }
        let again = matches!(said, Said::Unsettled | Said::Nothing);
        if matches!(said, Said::Done(..)) {
            self.note_done(&open.order);
        }
        let op = &mut self.history.ops[token as usize];
        op.said = said;
        op.answered = (op.said != Said::Nothing).then_some(self.now);
        let goes_on = again && open.tries < TRIES && self.now < self.stop && !open.order.change.is_empty();
        if let Some(hand) = open.hand.filter(|_| goes_on) {
            let other = self.entry();
            self.begin(Some(hand), other, open.order, open.tries + 1);
        }
    }

    /// Counts what was acknowledged past a machine that is cut off.
    fn note_done(&mut self, order: &Order) {
        let most = self.plan.replicas / 2;
        let cut = |node: usize| {
            let from = (0..self.cores()).filter(|peer| *peer != node && self.cut[*peer][node]).count();
            self.machines[node].runs() && from > most
        };
        if (0..self.cores()).any(cut) {
            self.report.acknowledged_past_a_cut += 1;
        }
        let acknowledged = |op: &Op| op.call == order.call && matches!(op.said, Said::Done(..));
        let lately = self.history.ops.iter().rev().take(400);
        self.report.repeats_after_done += u64::from(lately.into_iter().any(acknowledged));
    }

    /// An operator waits no longer.
    pub(crate) fn give_up(&mut self, token: u64) {
        self.settle_call(token, Said::Nothing);
    }

    /// A process has ended, and with it its connections to operators.
    pub(crate) fn operators_lose(&mut self, node: usize) {
        let of = |open: &Open| open.node == node;
        let lost: Vec<u64> =
            self.operators.open.iter().filter(|open| of(open.1)).map(|open| *open.0).collect();
        lost.into_iter().for_each(|token| self.settle_call(token, Said::Nothing));
    }

    /// An operator does something, and will do something again.
    pub(crate) fn operate(&mut self, hand: usize) {
        if self.now >= self.stop {
            return;
        }
        let under_way = self.operators.open.values().filter(|open| open.hand == Some(hand)).count();
        if under_way < UNDER_WAY {
            self.act(hand);
        }
        let most = if self.dice.one_in(3) { 10_000 } else { 400_000 };
        let pause = self.dice.between(1_000, most);
        self.at(self.now + pause, Event::Operator(hand));
    }

    /// Which machine an operator turns to: one that is no replica, or doesn't run, seldom.
    fn entry(&mut self) -> usize {
        let node = self.dice.index(self.cores());
        let good = self.machines[node].store.as_ref().is_some_and(|store| !store.is_outside());
        if good || self.dice.one_in(4) {
            node
        } else {
            self.dice.index(self.cores())
        }
    }

    fn act(&mut self, hand: usize) {
        let node = self.entry();
        let key = self.dice.index(self.plan.keys);
        match self.dice.below(10) {
            0..=2 => {
                let order = self.order_of(key, Change::new());
                self.begin(Some(hand), node, order, 0);
            }
            // Again, as it was.
            3 | 4 if !self.operators.remembered.is_empty() => {
                let which = self.dice.index(self.operators.remembered.len());
                let order = self.operators.remembered[which].clone();
                self.report.repeats += 1;
                self.begin(Some(hand), node, order, 0);
            }
            _ => {
                let order = self.drawn_order(key);
                if self.dice.one_in(3) {
                    let mut rival = self.order_of(key, order.change.clone());
                    self.operators.contents += 1;
                    let content = self.operators.contents;
                    rival.change.iter_mut().for_each(|item| item.content = content);
                    let other = self.entry();
                    self.begin(Some(hand), other, rival, 0);
                }
                self.operators.remembered.push(order.clone());
                if self.operators.remembered.len() > REMEMBERED {
                    self.operators.remembered.remove(0);
                }
                self.begin(Some(hand), node, order, 0);
            }
        }
    }

    fn drawn_order(&mut self, key: usize) -> Order {
        self.operators.contents += 1;
        let content = self.operators.contents;
        let first = 1 + self.dice.below(NAMES) as u8;
        let count = if self.dice.one_in(3) { 2 } else { 1 };
        let mut change = Change::new();
        for name in first..first + count {
            let draw = self.dice.below(12);
            let known = self.operators.versions.entry((key, name)).or_default();
            // One in four races for a version that was tried before.
            let version = if draw.is_multiple_of(4) { (*known).max(1) } else { *known + 1 };
            *known = version.max(*known);
            let content = if draw == 5 { 0 } else { content };
            let needs = if draw == 6 { 1 + self.dice.below(NAMES) as u8 } else { 0 };
            change.push(Item { name, version, content, needs });
        }
        self.order_of(key, change)
    }

    /// Sends it and plays until it is answered or so long has passed.
    pub fn ask(&mut self, node: usize, order: Order, most: Micros) -> Said {
        let token = self.send_order(node, order);
        let until = self.now + most;
        while self.operators.open.contains_key(&token) && self.now < until && self.failure.is_none() {
            self.run(1_000);
        }
        self.history.ops[token as usize].said.clone()
    }

    /// Reads through a machine.
    pub fn read(&mut self, node: usize, key: usize) -> Said {
        let order = self.order_of(key, Change::new());
        self.ask(node, order, 1_000_000)
    }
}
