//! Every order of events at a tiny size: two nodes, one member, an allowance of two, one change of the owner, one span in
//! which a part's time runs out.

mod common;

use common::{allowance, MEMBER};
use silvercross_control_store::State as _;
use silvercross_quota::*;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::hash::{Hash, Hasher};

const AMOUNT: u64 = 2;
/// Who brings which order.
type Requests = &'static [(usize, u128)];

#[derive(Clone, Hash)]
struct State {
    requests: Requests,
    now: Micros,
    purses: [Purse; 2],
    count: Count,
    /// Letters to the owner and from it, by node and number.
    asked: BTreeMap<(usize, u64), Change>,
    told: BTreeMap<(usize, u64), Answer>,
    /// Requests not made yet, waiting, and accepted: order, node, claim, whether it ended, whether it may have run.
    left: BTreeSet<usize>,
    waiting: BTreeSet<usize>,
    taken: Vec<(u128, usize, u64, bool, bool)>,
    changed: bool,
    passed: bool,
    ticked: [bool; 2],
    reclaimed: BTreeSet<Mark>,
}

impl State {
    fn new(requests: Requests, changes: bool, passes: bool) -> State {
        let mut count = Count::default();
        count
            .apply(&Change::Allow(allowance([0, AMOUNT, 0], false, Away::Serve)))
            .expect("a first allowance");
        // Parts near the end too: there are no others at this size.
        let terms = Terms { least: 1, ..Terms::default() };
        let purse = |node| {
            let mut purse = Purse::new(0, node, 1, terms);
            purse.set(&allowance([0, AMOUNT, 0], false, Away::Serve));
            purse
        };
        State {
            requests,
            now: 0,
            purses: [purse(0), purse(1)],
            count,
            asked: BTreeMap::new(),
            told: BTreeMap::new(),
            left: (0..requests.len()).collect(),
            waiting: BTreeSet::new(),
            taken: Vec::new(),
            changed: !changes,
            passed: !passes,
            ticked: [!passes; 2],
            reclaimed: BTreeSet::new(),
        }
    }

    fn send(&mut self, node: usize) {
        for call in self.purses[node].calls() {
            self.asked.insert((node, call.number), call.change);
        }
    }

    fn verdicts(&mut self, node: usize, verdicts: Vec<(u64, Charge)>) {
        for (id, charge) in verdicts {
            let request = id as usize;
            self.waiting.remove(&request);
            match charge {
                Charge::AskOwner => {
                    self.waiting.insert(request);
                }
                Charge::Accepted { claim, .. } => {
                    self.taken.push((self.requests[request].1, node, claim, false, true));
                    self.taken.sort();
                }
                _ => {}
            }
        }
    }

    /// All states one step from here.
    fn next(&self) -> Vec<State> {
        let mut all = Vec::new();
        let mut add = |act: &dyn Fn(&mut State)| {
            let mut state = self.clone();
            act(&mut state);
            all.push(state);
        };
        for request in &self.left {
            add(&|s| {
                s.left.remove(request);
                let (node, order) = s.requests[*request];
                let (id, kind, order) = (*request as u64, Kind::Confirmation, Some(Order(order)));
                let asked = Request { id, member: MEMBER, kind, order, bytes: 0 };
                let charge = s.purses[node].request(s.now, asked);
                s.verdicts(node, vec![(id, charge)]);
                s.send(node);
            });
        }
        for key in first_of_each(&self.asked) {
            add(&|s| {
                if let Some(change) = s.asked.remove(&key) {
                    let outcome = s.count.apply(&change);
                    s.told.insert(key, s.count.answer(&change, &outcome));
                }
            });
        }
        for key in first_of_each(&self.told) {
            add(&|s| {
                if let Some(answer) = s.told.remove(&key) {
                    let verdicts = s.purses[key.0].answer(s.now, key.1, &answer);
                    s.verdicts(key.0, verdicts);
                    s.send(key.0);
                }
            });
        }
        for (at, (order, node, claim, ended, _)) in self.taken.iter().enumerate() {
            // The first order's tries certainly did not run; of the others nothing is ever known.
            if *order == 1 && !ended {
                add(&|s| {
                    (s.taken[at].3, s.taken[at].4) = (true, false);
                    s.purses[*node].done(s.now, *claim, Outcome::NotRun);
                    s.send(*node);
                });
            }
        }
        if !self.changed {
            // The old owner's letters are gone, those committed stay; the nodes send again.
            add(&|s| {
                s.changed = true;
                s.asked.clear();
                s.told.clear();
                s.now += Terms::default().again;
                for node in 0..2 {
                    let verdicts = s.purses[node].tick(s.now);
                    s.verdicts(node, verdicts);
                    s.send(node);
                }
            });
        }
        if !self.passed {
            // Both nodes stood still for longer than a part lasts; the owner did not.
            add(&|s| {
                s.passed = true;
                s.now += Terms::default().term + Terms::default().margin;
                s.reclaimed = s.count.parts().map(|(mark, _)| mark).collect();
            });
        }
        for mark in &self.reclaimed {
            add(&|s| {
                s.reclaimed.remove(mark);
                let _ = s.count.apply(&Change::Reclaim { part: *mark });
            });
        }
        for node in 0..2 {
            if self.passed && !self.ticked[node] {
                add(&|s| {
                    s.ticked[node] = true;
                    let verdicts = s.purses[node].tick(s.now);
                    s.verdicts(node, verdicts);
                    s.send(node);
                });
            }
        }
        all
    }

    fn check(&self) {
        let may_run: BTreeSet<u128> = self.taken.iter().filter(|t| t.4).map(|t| t.0).collect();
        assert!(may_run.len() as u64 <= AMOUNT, "beyond the allowance: {may_run:?}");
        let kind = Kind::Confirmation;
        let charged = self.count.charged(0, kind);
        let aside = self.count.open(0, kind) + self.count.lost(0, kind);
        assert!(charged + aside <= AMOUNT);
        // Nothing under way: what is charged is what may have run, each order once.
        let settled = self.count.parts().next().is_none() && self.asked.is_empty() && self.told.is_empty();
        let held: u64 = self.purses.iter().map(|p| p.held(MEMBER, kind)).sum();
        if settled && held == 0 && self.left.is_empty() && self.waiting.is_empty() {
            assert_eq!(charged, may_run.len() as u64, "each order once");
        }
    }

    fn digest(&self) -> u128 {
        let hash = |salt: u64| {
            let mut hasher = DefaultHasher::new();
            salt.hash(&mut hasher);
            self.hash(&mut hasher);
            u128::from(hasher.finish())
        };
        hash(1) << 64 | hash(2)
    }
}

/// Each link keeps its order; drawn schedules break it.
fn first_of_each<T>(letters: &BTreeMap<(usize, u64), T>) -> Vec<(usize, u64)> {
    (0..2).filter_map(|node| letters.range((node, 0)..(node + 1, 0)).next().map(|(key, _)| *key)).collect()
}

fn search(requests: Requests, changes: bool, passes: bool) {
    let most = if cfg!(debug_assertions) { 20_000 } else { usize::MAX };
    let first = State::new(requests, changes, passes);
    let mut seen = HashSet::from([first.digest()]);
    let mut open = vec![first];
    let mut steps = 0u64;
    while let Some(state) = open.pop() {
        for next in state.next() {
            steps += 1;
            if seen.len() < most && seen.insert(next.digest()) {
                next.check();
                open.push(next);
            }
        }
    }
    println!("{requests:?}: {} states, {steps} steps", seen.len());
    assert!(seen.len() > 1_000);
}

/// A repeat through the other node beside another order; the owner changes.
#[test]
fn every_order_of_a_repeat_and_an_owners_change() {
    search(&[(0, 1), (1, 1), (1, 2)], true, false);
}

/// Three orders for an allowance of two; the owner changes.
#[test]
fn every_order_of_an_excess_and_an_owners_change() {
    search(&[(0, 1), (0, 2), (1, 3)], true, false);
}

/// The owner changes, and nodes stand still past their parts' time.
#[test]
fn every_order_of_a_lost_part_and_an_owners_change() {
    search(&[(0, 1), (1, 2)], true, true);
}
