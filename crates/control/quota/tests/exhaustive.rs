//! Explores every interleaving of events at a small size: two nodes, one member, an allowance of two units, at most
//! one change of the owner and one period in which leases expire.

mod common;

use common::{allowance, MEMBER};
use silvercross_control_store::State as _;
use silvercross_quota::*;
use silvercross_time::Instant;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::hash::{Hash, Hasher};

const AMOUNT: u64 = 2;
/// Requests as (node, order).
type Requests = &'static [(usize, u128)];

#[derive(Clone, Hash)]
struct State {
    requests: Requests,
    now: Instant,
    nodes: [QuotaLeases; 2],
    quota: QuotaState,
    /// Calls to the owner and its answers, by node and number.
    calls: BTreeMap<(usize, u64), Change>,
    answers: BTreeMap<(usize, u64), OwnerAnswer>,
    /// Requests not made yet, waiting, and accepted; the latter as order, node, attempt, whether it ended, whether it
    /// may have run.
    unsent: BTreeSet<usize>,
    waiting: BTreeSet<usize>,
    accepted: Vec<(u128, usize, u64, bool, bool)>,
    owner_changed: bool,
    nodes_frozen: bool,
    ticked: [bool; 2],
    expiring: BTreeSet<OperationId>,
}

impl State {
    fn new(requests: Requests, with_owner_change: bool, with_freeze: bool) -> State {
        let mut quota = QuotaState::default();
        quota
            .apply(&Change::SetAllowance(allowance([0, AMOUNT, 0], false, WhenUnreachable::ServeFromLeases)))
            .expect("the first allowance is accepted");
        // Grants leases although the quota is nearly exhausted, as it always is at this size.
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
            owner_changed: !with_owner_change,
            nodes_frozen: !with_freeze,
            ticked: [!with_freeze; 2],
            expiring: BTreeSet::new(),
        }
    }

    fn send(&mut self, node: usize) {
        for call in self.nodes[node].take_calls() {
            self.calls.insert((node, call.number), call.change);
        }
    }

    fn record_decisions(&mut self, node: usize, decisions: Vec<LateDecision>) {
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

    /// All states reachable in one step.
    fn next(&self) -> Vec<State> {
        let mut all = Vec::new();
        let mut add = |step: &dyn Fn(&mut State)| {
            let mut state = self.clone();
            step(&mut state);
            all.push(state);
        };
        for request in &self.unsent {
            add(&|s| {
                s.unsent.remove(request);
                let (node, order) = s.requests[*request];
                let (id, kind, order) = (*request as u64, RequestKind::Confirmation, Some(OrderId(order)));
                let request_head = Request { id, member: MEMBER, kind, order, body_bytes: 0 };
                let decision = s.nodes[node].decide(s.now, request_head);
                s.record_decisions(node, vec![LateDecision { request: id, decision }]);
                s.send(node);
            });
        }
        for key in oldest_messages(&self.calls) {
            add(&|s| {
                if let Some(change) = s.calls.remove(&key) {
                    let outcome = s.quota.apply(&change);
                    s.answers.insert(key, s.quota.answer(&change, &outcome));
                }
            });
        }
        for key in oldest_messages(&self.answers) {
            add(&|s| {
                if let Some(answer) = s.answers.remove(&key) {
                    let decisions = s.nodes[key.0].handle_answer(s.now, key.1, &answer);
                    s.record_decisions(key.0, decisions);
                    s.send(key.0);
                }
            });
        }
        for (at, (order, node, attempt, ended, _)) in self.accepted.iter().enumerate() {
            // Attempts of order 1 certainly did not run; the outcome of the others stays unknown.
            if *order == 1 && !ended {
                add(&|s| {
                    (s.accepted[at].3, s.accepted[at].4) = (true, false);
                    s.nodes[*node].finish(s.now, *attempt, RequestOutcome::NotRun);
                    s.send(*node);
                });
            }
        }
        if !self.owner_changed {
            // The messages to and from the old owner are lost, and what it committed stays; the nodes send their
            // calls again.
            add(&|s| {
                s.owner_changed = true;
                s.calls.clear();
                s.answers.clear();
                s.now += QuotaConfig::default().retry_interval;
                for node in 0..2 {
                    let decisions = s.nodes[node].tick(s.now);
                    s.record_decisions(node, decisions);
                    s.send(node);
                }
            });
        }
        if !self.nodes_frozen {
            // Both nodes are frozen for longer than a lease lasts, and the owner is not.
            add(&|s| {
                s.nodes_frozen = true;
                s.now += QuotaConfig::default().lease_duration + QuotaConfig::default().expiry_margin;
                s.expiring = s.quota.leases().map(|(operation, _)| operation).collect();
            });
        }
        for operation in &self.expiring {
            add(&|s| {
                s.expiring.remove(operation);
                let _ = s.quota.apply(&Change::ExpireLease { lease: *operation });
            });
        }
        for node in 0..2 {
            if self.nodes_frozen && !self.ticked[node] {
                add(&|s| {
                    s.ticked[node] = true;
                    let decisions = s.nodes[node].tick(s.now);
                    s.record_decisions(node, decisions);
                    s.send(node);
                });
            }
        }
        all
    }

    fn check(&self) {
        let may_have_run: BTreeSet<u128> = self.accepted.iter().filter(|a| a.4).map(|a| a.0).collect();
        assert!(may_have_run.len() as u64 <= AMOUNT, "exceeds the allowance: {may_have_run:?}");
        let kind = RequestKind::Confirmation;
        let charged = self.quota.charged_units(0, kind);
        let in_leases = self.quota.leased_units(0, kind) + self.quota.lost_units(0, kind);
        assert!(charged + in_leases <= AMOUNT);
        // When nothing is pending, exactly the orders that may have run are charged, each once.
        let is_idle =
            self.quota.leases().next().is_none() && self.calls.is_empty() && self.answers.is_empty();
        let held: u64 = self.nodes.iter().map(|leases| leases.held_units(MEMBER, kind)).sum();
        if is_idle && held == 0 && self.unsent.is_empty() && self.waiting.is_empty() {
            assert_eq!(charged, may_have_run.len() as u64, "each order once");
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

/// The oldest message of each node: links preserve order here, and the random schedules reorder messages.
fn oldest_messages<T>(messages: &BTreeMap<(usize, u64), T>) -> Vec<(usize, u64)> {
    (0..2).filter_map(|node| messages.range((node, 0)..(node + 1, 0)).next().map(|(key, _)| *key)).collect()
}

fn search(requests: Requests, with_owner_change: bool, with_freeze: bool) {
    let max_states = if cfg!(debug_assertions) { 20_000 } else { usize::MAX };
    let initial = State::new(requests, with_owner_change, with_freeze);
    let mut visited = HashSet::from([initial.digest()]);
    let mut frontier = vec![initial];
    let mut steps = 0u64;
    while let Some(state) = frontier.pop() {
        for next in state.next() {
            steps += 1;
            if visited.len() < max_states && visited.insert(next.digest()) {
                next.check();
                frontier.push(next);
            }
        }
    }
    println!("{requests:?}: {} states, {steps} steps", visited.len());
    assert!(visited.len() > 1_000);
}

/// A repeat through the other node and another order; the owner changes.
#[test]
fn every_interleaving_of_a_repeat_and_an_owner_change() {
    search(&[(0, 1), (1, 1), (1, 2)], true, false);
}

/// Three orders for an allowance of two; the owner changes.
#[test]
fn every_interleaving_of_an_excess_and_an_owner_change() {
    search(&[(0, 1), (0, 2), (1, 3)], true, false);
}

/// The owner changes, and nodes are frozen until their leases have expired.
#[test]
fn every_interleaving_of_a_lost_lease_and_an_owner_change() {
    search(&[(0, 1), (1, 2)], true, true);
}
