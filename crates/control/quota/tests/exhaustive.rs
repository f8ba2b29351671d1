//! Every order of events at a tiny size: two nodes, one member, an allowance of two, one change of the owner, one span in
//! which a lease's time runs out.

mod common;

use common::{allowance, MEMBER};
use silvercross_control_store::State as _;
use silvercross_quota::*;
use silvercross_time::Instant;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::hash::{Hash, Hasher};

const AMOUNT: u64 = 2;
/// Who brings which order.
type Requests = &'static [(usize, u128)];

#[derive(Clone, Hash)]
struct State {
    requests: Requests,
    now: Instant,
    nodes: [QuotaLeases; 2],
    quota: QuotaState,
    /// Messages to the owner and from it, by node and number.
    calls: BTreeMap<(usize, u64), Change>,
    answers: BTreeMap<(usize, u64), OwnerAnswer>,
    /// Requests not made yet, waiting, and accepted: order, node, attempt, whether it ended, whether it may have run.
    unsent: BTreeSet<usize>,
    waiting: BTreeSet<usize>,
    accepted: Vec<(u128, usize, u64, bool, bool)>,
    changed: bool,
    passed: bool,
    ticked: [bool; 2],
    expired: BTreeSet<OperationId>,
}

impl State {
    fn new(requests: Requests, changes: bool, passes: bool) -> State {
        let mut quota = QuotaState::default();
        quota
            .apply(&Change::SetAllowance(allowance([0, AMOUNT, 0], false, WhenUnreachable::ServeFromLeases)))
            .expect("a first allowance");
        // Leases near the end too: there are no others at this size.
        let config = QuotaConfig { min_lease: 1, ..QuotaConfig::default() };
        let leases = |node| {
            let mut leases = QuotaLeases::new(Instant::ZERO, node, 1, config);
            leases.set_allowance(&allowance([0, AMOUNT, 0], false, WhenUnreachable::ServeFromLeases));
            leases
        };
        State {
            requests,
            now: Instant::ZERO,
            nodes: [leases(0), leases(1)],
            quota,
            calls: BTreeMap::new(),
            answers: BTreeMap::new(),
            unsent: (0..requests.len()).collect(),
            waiting: BTreeSet::new(),
            accepted: Vec::new(),
            changed: !changes,
            passed: !passes,
            ticked: [!passes; 2],
            expired: BTreeSet::new(),
        }
    }

    fn send(&mut self, node: usize) {
        for call in self.nodes[node].take_calls() {
            self.calls.insert((node, call.number), call.change);
        }
    }

    fn decided(&mut self, node: usize, decisions: Vec<LateDecision>) {
        for LateDecision { request, decision } in decisions {
            let request = request as usize;
            self.waiting.remove(&request);
            match decision {
                Decision::AwaitOwner => {
                    self.waiting.insert(request);
                }
                Decision::Accepted { attempt, .. } => {
                    self.accepted.push((self.requests[request].1, node, attempt, false, true));
                    self.accepted.sort();
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
        for request in &self.unsent {
            add(&|s| {
                s.unsent.remove(request);
                let (node, order) = s.requests[*request];
                let (id, kind, order) = (*request as u64, RequestKind::Confirmation, Some(OrderId(order)));
                let asked = Request { id, member: MEMBER, kind, order, body_bytes: 0 };
                let decision = s.nodes[node].decide(s.now, asked);
                s.decided(node, vec![LateDecision { request: id, decision }]);
                s.send(node);
            });
        }
        for key in first_of_each(&self.calls) {
            add(&|s| {
                if let Some(change) = s.calls.remove(&key) {
                    let outcome = s.quota.apply(&change);
                    s.answers.insert(key, s.quota.answer(&change, &outcome));
                }
            });
        }
        for key in first_of_each(&self.answers) {
            add(&|s| {
                if let Some(answer) = s.answers.remove(&key) {
                    let decisions = s.nodes[key.0].handle_answer(s.now, key.1, &answer);
                    s.decided(key.0, decisions);
                    s.send(key.0);
                }
            });
        }
        for (at, (order, node, attempt, ended, _)) in self.accepted.iter().enumerate() {
            // The first order's attempts certainly did not run; of the others nothing is ever known.
            if *order == 1 && !ended {
                add(&|s| {
                    (s.accepted[at].3, s.accepted[at].4) = (true, false);
                    s.nodes[*node].finish(s.now, *attempt, RequestOutcome::NotRun);
                    s.send(*node);
                });
            }
        }
        if !self.changed {
            // The old owner's messages are gone, those committed stay; the nodes send again.
            add(&|s| {
                s.changed = true;
                s.calls.clear();
                s.answers.clear();
                s.now += QuotaConfig::default().retry_interval;
                for node in 0..2 {
                    let decisions = s.nodes[node].tick(s.now);
                    s.decided(node, decisions);
                    s.send(node);
                }
            });
        }
        if !self.passed {
            // Both nodes were frozen for longer than a lease lasts; the owner did not.
            add(&|s| {
                s.passed = true;
                s.now += QuotaConfig::default().lease_duration + QuotaConfig::default().expiry_margin;
                s.expired = s.quota.leases().map(|(operation, _)| operation).collect();
            });
        }
        for operation in &self.expired {
            add(&|s| {
                s.expired.remove(operation);
                let _ = s.quota.apply(&Change::ExpireLease { lease: *operation });
            });
        }
        for node in 0..2 {
            if self.passed && !self.ticked[node] {
                add(&|s| {
                    s.ticked[node] = true;
                    let decisions = s.nodes[node].tick(s.now);
                    s.decided(node, decisions);
                    s.send(node);
                });
            }
        }
        all
    }

    fn check(&self) {
        let may_run: BTreeSet<u128> = self.accepted.iter().filter(|t| t.4).map(|t| t.0).collect();
        assert!(may_run.len() as u64 <= AMOUNT, "beyond the allowance: {may_run:?}");
        let kind = RequestKind::Confirmation;
        let charged = self.quota.charged_units(0, kind);
        let aside = self.quota.leased_units(0, kind) + self.quota.lost_units(0, kind);
        assert!(charged + aside <= AMOUNT);
        // Nothing under way: what is charged is what may have run, each order once.
        let settled =
            self.quota.leases().next().is_none() && self.calls.is_empty() && self.answers.is_empty();
        let held: u64 = self.nodes.iter().map(|p| p.held_units(MEMBER, kind)).sum();
        if settled && held == 0 && self.unsent.is_empty() && self.waiting.is_empty() {
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
fn first_of_each<T>(messages: &BTreeMap<(usize, u64), T>) -> Vec<(usize, u64)> {
    (0..2).filter_map(|node| messages.range((node, 0)..(node + 1, 0)).next().map(|(key, _)| *key)).collect()
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

/// The owner changes, and nodes are frozen past their leases' time.
#[test]
fn every_order_of_a_lost_lease_and_an_owners_change() {
    search(&[(0, 1), (1, 2)], true, true);
}
