//! Simulates nodes, a changing owner and faults of the processes and messages between them, in simulated time from a
//! seed.

use super::model::QuotaModel;
use super::{allowance, at, MEMBER, SECOND};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use silvercross_control_store::{Rejection, State};
use silvercross_quota::*;
use silvercross_time::{Duration, Instant};
use std::collections::{BTreeMap, BTreeSet};

const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Time without faults after the end of a schedule, in which open leases are settled or expire.
const SETTLE_TIME: Duration = Duration::from_secs(45);

/// One incarnation of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Process {
    node: usize,
    incarnation: u64,
}

/// A request that a node accepted, as its client sees it.
pub(super) struct Accepted {
    process: Process,
    attempt: u64,
    pub(super) order: Option<OrderId>,
    pub(super) kind: RequestKind,
    pub(super) window: u64,
    /// `None` until it ends; it never ends if its node was killed.
    pub(super) outcome: Option<RequestOutcome>,
}

enum Event {
    RequestArrives { node: usize, kind: RequestKind, order: Option<OrderId> },
    CallArrives { from: Process, sending: u64, call: OwnerCall },
    AnswerArrives { to: Process, number: u64, answer: OwnerAnswer },
    RequestEnds { accepted: usize, outcome: RequestOutcome },
    Recall { node: usize },
    ProposalArrives { epoch: u64, change: Change },
    NodeTick { process: Process },
    OwnerTick { epoch: u64 },
    Fault,
}

pub(super) struct Node {
    pub(super) leases: QuotaLeases,
    incarnation: u64,
    clock_offset: Duration,
    /// Rate of its clock, in thousandths.
    clock_rate: i64,
    frozen_until: Instant,
    partitioned_until: Instant,
}

/// Counts of what happened in a schedule.
#[derive(Default, Clone, Copy, Debug)]
pub struct Totals {
    pub accepted: u64,
    pub rejected: u64,
    pub repeats: u64,
    pub owner_changes: u64,
    pub faults: u64,
    pub lost_leases: u64,
    pub checked_exactly: u64,
}

pub struct World {
    rng: Pcg64Mcg,
    now: Instant,
    pub(super) end: Instant,
    last_number: u64,
    queue: BTreeMap<(Instant, u64), Event>,
    pub(super) nodes: Vec<Node>,
    pub(super) state: QuotaState,
    pub(super) model: QuotaModel,
    timer: WindowTimer,
    config: QuotaConfig,
    pub(super) allowance: Allowance,
    epoch: u64,
    /// The key has no owner before this time.
    owned_from: Instant,
    pub(super) owner_frozen_until: Instant,
    pub(super) any_node_killed: bool,
    pub(super) waiting: BTreeMap<(Process, u64), (RequestKind, Option<OrderId>)>,
    last_request: u64,
    pub(super) accepted: Vec<Accepted>,
    /// Number of attempts of each order.
    pub(super) attempts: BTreeMap<OrderId, usize>,
    /// Calls that an owner has served, by the id of their sending.
    served: BTreeSet<u64>,
    pub(super) totals: Totals,
}

/// Draws an amount: a few, dozens or hundreds of units.
fn draw_amount(rng: &mut Pcg64Mcg) -> u64 {
    match rng.next_u32() % 3 {
        0 => 1 + u64::from(rng.next_u32() % 6),
        1 => 10 + u64::from(rng.next_u32() % 60),
        _ => 150 + u64::from(rng.next_u32() % 250),
    }
}

impl World {
    pub fn new(seed: u64) -> World {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let amounts = [draw_amount(&mut rng), draw_amount(&mut rng), draw_amount(&mut rng)];
        let strict = rng.next_u32() % 4 == 0;
        let rejects_when_unreachable = rng.next_u32() % 4 == 0;
        let when_unreachable =
            if rejects_when_unreachable { WhenUnreachable::Reject } else { WhenUnreachable::ServeFromLeases };
        let allowance = allowance(amounts, strict, when_unreachable);
        let min_lease = u64::from(rng.next_u32() % 4 == 0) * 2;
        let config = QuotaConfig { min_lease, ..QuotaConfig::default() };
        let mut state = QuotaState::default();
        state.apply(&Change::SetAllowance(allowance.clone())).expect("the first allowance is accepted");
        let mut world = World {
            rng,
            now: Instant::ZERO,
            end: Instant::ZERO,
            last_number: 0,
            queue: BTreeMap::new(),
            nodes: Vec::new(),
            state,
            model: QuotaModel::new(amounts),
            timer: WindowTimer::new(Instant::ZERO, config),
            config,
            allowance,
            epoch: 1,
            owned_from: Instant::ZERO,
            owner_frozen_until: Instant::ZERO,
            any_node_killed: false,
            waiting: BTreeMap::new(),
            last_request: 0,
            accepted: Vec::new(),
            attempts: BTreeMap::new(),
            served: BTreeSet::new(),
            totals: Totals::default(),
        };
        world.timer.observe(Instant::ZERO, MEMBER, &world.state);
        world.draw_nodes();
        world.schedule_at(Instant::ZERO + TICK_INTERVAL, Event::OwnerTick { epoch: 1 });
        let seconds = [20, 50, 90, 140][world.draw(4) as usize];
        world.end = Instant::ZERO + SECOND * seconds;
        world.draw_requests();
        for _ in 0..world.draw(6) {
            let when = world.draw_moment();
            world.schedule_at(when, Event::Fault);
        }
        world
    }

    fn draw_nodes(&mut self) {
        for node in 0..2 + self.draw(3) as usize {
            let clock_offset = self.draw_span(1_000_000_000);
            let clock_rate = 990 + self.draw(21) as i64;
            let leases = QuotaLeases::new(Instant::ZERO, node as u32, 1, self.config);
            let (frozen_until, partitioned_until) = (Instant::ZERO, Instant::ZERO);
            let new =
                Node { leases, incarnation: 1, clock_offset, clock_rate, frozen_until, partitioned_until };
            self.nodes.push(new);
            self.start(Process { node, incarnation: 1 });
        }
    }

    fn draw_requests(&mut self) {
        let max_requests = if self.draw(4) == 0 { 500 } else { 80 };
        let requests = 10 + self.draw(max_requests);
        let order_pool = 1 + self.draw(requests);
        for _ in 0..requests {
            let mut when = self.draw_moment();
            // Half of the requests arrive in bursts.
            if self.draw(2) != 0 {
                let micros = when.as_micros() / 5_000_000 * 5_000_000;
                when = at(micros) + self.draw_span(200_000);
            }
            let node = self.draw(self.nodes.len() as u64) as usize;
            let kind = RequestKind::ALL[self.draw(3) as usize];
            let number = self.draw(order_pool) * 2 + kind as u64 % 2;
            let has_order = kind != RequestKind::Read && self.draw(5) > 0;
            let order = has_order.then_some(OrderId(number.into()));
            self.schedule_at(when, Event::RequestArrives { node, kind, order });
        }
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.rng.next_u64() % below.max(1)
    }

    fn draw_span(&mut self, below_micros: u64) -> Duration {
        Duration::from_micros(self.draw(below_micros) as i64)
    }

    fn draw_moment(&mut self) -> Instant {
        at(self.draw(self.end.as_micros() as u64) as i64)
    }

    fn schedule_at(&mut self, when: Instant, event: Event) {
        self.last_number += 1;
        self.queue.insert((when, self.last_number), event);
    }

    fn schedule_after(&mut self, wait: Duration, event: Event) {
        self.schedule_at(self.now + wait, event);
    }

    fn clock(&self, node: usize) -> Instant {
        let node = &self.nodes[node];
        at(self.now.as_micros() / 1_000 * node.clock_rate) + node.clock_offset
    }

    fn start(&mut self, process: Process) {
        let Process { node, incarnation } = process;
        let mut leases = QuotaLeases::new(self.clock(node), node as u32, incarnation, self.config);
        leases.set_allowance(&self.allowance);
        self.nodes[node].leases = leases;
        self.nodes[node].incarnation = incarnation;
        self.schedule_after(TICK_INTERVAL, Event::NodeTick { process });
    }

    fn is_running(&self, process: Process) -> bool {
        self.nodes[process.node].incarnation == process.incarnation
    }

    /// Runs the schedule to its end or to the first violation.
    pub fn run(mut self) -> Result<Totals, String> {
        let run_until = self.end + SETTLE_TIME;
        while let Some(((when, _), event)) = self.queue.pop_first() {
            if when > run_until {
                break;
            }
            self.now = when;
            self.step(event).map_err(|error| format!("at {}: {error}", self.now.as_micros()))?;
        }
        self.check()
    }

    fn faults_ended(&self) -> bool {
        self.now > self.end
    }

    /// Until when the node that handles an event is frozen, if it is.
    fn frozen_until(&self, event: &Event) -> Option<Instant> {
        let node = match event {
            Event::RequestArrives { node, .. } | Event::Recall { node } => *node,
            Event::NodeTick { process } | Event::AnswerArrives { to: process, .. } => process.node,
            _ => return None,
        };
        Some(self.nodes[node].frozen_until).filter(|until| *until > self.now)
    }

    fn step(&mut self, event: Event) -> Result<(), String> {
        if let Some(until) = self.frozen_until(&event) {
            self.schedule_at(until, event);
            return Ok(());
        }
        match event {
            Event::RequestArrives { node, kind, order } => self.request_arrives(node, kind, order),
            Event::NodeTick { process } => self.node_tick(process),
            Event::Recall { node } => {
                let now = self.clock(node);
                self.nodes[node].leases.recall(now, MEMBER);
                self.send(node);
            }
            Event::AnswerArrives { to, number, answer } => self.answer_arrives(to, number, &answer),
            Event::RequestEnds { accepted, outcome } => self.request_ends(accepted, outcome),
            // The control store serves each sending of a call once; a call that is sent again is served again.
            Event::CallArrives { from, sending, call } => {
                let is_owned = self.now >= self.owned_from && self.now >= self.owner_frozen_until;
                if is_owned && self.served.insert(sending) {
                    return self.serve(from, call);
                }
            }
            Event::ProposalArrives { epoch, change } => {
                if epoch == self.epoch && self.owned_from <= self.now {
                    return self.commit(&change).map(|_| ());
                }
            }
            Event::OwnerTick { epoch } => self.owner_tick(epoch),
            Event::Fault => self.fault(),
        }
        Ok(())
    }

    fn request_arrives(&mut self, node: usize, kind: RequestKind, order: Option<OrderId>) {
        if let Some(order) = order {
            *self.attempts.entry(order).or_default() += 1;
        }
        self.last_request += 1;
        let (id, now) = (self.last_request, self.clock(node));
        let request = Request { id, member: MEMBER, kind, order, body_bytes: 0 };
        let decision = self.nodes[node].leases.decide(now, request);
        let process = Process { node, incarnation: self.nodes[node].incarnation };
        self.waiting.insert((process, id), (kind, order));
        self.record_decisions(node, vec![LateDecision { request: id, decision }]);
        self.send(node);
    }

    fn node_tick(&mut self, process: Process) {
        if !self.is_running(process) {
            return;
        }
        let now = self.clock(process.node);
        let decisions = self.nodes[process.node].leases.tick(now);
        self.record_decisions(process.node, decisions);
        self.send(process.node);
        self.schedule_after(TICK_INTERVAL, Event::NodeTick { process });
    }

    fn answer_arrives(&mut self, to: Process, number: u64, answer: &OwnerAnswer) {
        let is_reachable = self.nodes[to.node].partitioned_until <= self.now || self.faults_ended();
        if self.is_running(to) && is_reachable {
            let now = self.clock(to.node);
            let decisions = self.nodes[to.node].leases.handle_answer(now, number, answer);
            self.record_decisions(to.node, decisions);
            self.send(to.node);
        }
    }

    fn request_ends(&mut self, accepted: usize, outcome: RequestOutcome) {
        let Accepted { process, attempt, .. } = self.accepted[accepted];
        if self.is_running(process) {
            self.accepted[accepted].outcome = Some(outcome);
            let now = self.clock(process.node);
            self.nodes[process.node].leases.finish(now, attempt, outcome);
            self.send(process.node);
        }
    }

    fn owner_tick(&mut self, epoch: u64) {
        if self.owner_frozen_until > self.now {
            let until = self.owner_frozen_until;
            return self.schedule_at(until, Event::OwnerTick { epoch });
        }
        if epoch != self.epoch {
            return;
        }
        for Proposal { change, .. } in self.timer.tick(self.now) {
            let wait = self.draw_span(50_000);
            self.schedule_after(wait, Event::ProposalArrives { epoch, change });
        }
        self.schedule_after(TICK_INTERVAL, Event::OwnerTick { epoch });
    }

    /// The owner applies a call. What it commits stays, even if the owner changes or the answer is lost.
    fn serve(&mut self, from: Process, call: OwnerCall) -> Result<(), String> {
        let outcome = self.commit(&call.change)?;
        let answer = self.state.answer(&call.change, &outcome);
        let is_leased_elsewhere =
            matches!(answer, OwnerAnswer::Rejected { reason: RejectionReason::LeasedElsewhere, .. });
        if is_leased_elsewhere && self.draw(2) == 0 {
            for kind in RequestKind::ALL {
                for LeaseNode { node, .. } in self.state.lease_nodes(kind) {
                    let wait = self.draw_span(20_000);
                    self.schedule_after(wait, Event::Recall { node: node as usize });
                }
            }
        }
        if self.draw(12) == 0 && !self.faults_ended() {
            return Ok(());
        }
        let wait = self.draw_span(40_000);
        self.schedule_after(wait, Event::AnswerArrives { to: from, number: call.number, answer });
        Ok(())
    }

    fn commit(&mut self, change: &Change) -> Result<Result<bool, Rejection>, String> {
        if let Change::RefundOrder { attempt, .. } = change {
            let may_have_run = |accepted: &&Accepted| {
                let Process { node, incarnation } = accepted.process;
                (node as u32, incarnation, accepted.attempt)
                    == (attempt.node, attempt.incarnation, attempt.number)
                    && matches!(accepted.outcome, Some(RequestOutcome::Ran | RequestOutcome::MayHaveRun))
            };
            if let Some(accepted) = self.accepted.iter().find(may_have_run) {
                return Err(format!("refunded what may have run: {:?} {attempt:?}", accepted.order));
            }
        }
        let before = self.state.clone();
        let outcome = self.state.apply(change);
        if outcome.is_err() && self.state != before {
            return Err(format!("rejected change was applied: {change:?}"));
        }
        if outcome == Ok(false) && self.state != before {
            return Err(format!("state changed by a change reported as having no effect: {change:?}"));
        }
        self.model.observe(change, &outcome, &self.state)?;
        if matches!((change, &outcome), (Change::ExpireLease { .. }, Ok(true))) {
            self.totals.lost_leases += 1;
        }
        self.timer.observe(self.now, MEMBER, &self.state);
        Ok(outcome)
    }

    fn send(&mut self, node: usize) {
        let from = Process { node, incarnation: self.nodes[node].incarnation };
        for call in self.nodes[node].leases.take_calls() {
            let is_lossy = !self.faults_ended();
            self.last_number += 1;
            let sending = self.last_number;
            if is_lossy && self.draw(15) == 0 {
                let delay = self.draw_span(20_000_000);
                self.schedule_after(delay, Event::CallArrives { from, sending, call: call.clone() });
            }
            if is_lossy && (self.nodes[node].partitioned_until > self.now || self.draw(12) == 0) {
                continue;
            }
            let wait = self.draw_span(40_000);
            self.schedule_after(wait, Event::CallArrives { from, sending, call });
        }
    }

    fn record_decisions(&mut self, node: usize, decisions: Vec<LateDecision>) {
        let process = Process { node, incarnation: self.nodes[node].incarnation };
        for LateDecision { request, decision } in decisions {
            if decision == Decision::AwaitOwner {
                continue;
            }
            let Some((kind, order)) = self.waiting.remove(&(process, request)) else {
                panic!("decision on an unknown request: {decision:?}");
            };
            match decision {
                Decision::Accepted { attempt, is_repeat, window, .. } => {
                    self.totals.accepted += 1;
                    self.totals.repeats += u64::from(is_repeat);
                    self.accepted.push(Accepted { process, attempt, order, kind, window, outcome: None });
                    let outcome = match self.draw(6) {
                        0 => RequestOutcome::NotRun,
                        1 => RequestOutcome::MayHaveRun,
                        _ => RequestOutcome::Ran,
                    };
                    let max_delay = if self.draw(4) == 0 { 8_000_000 } else { 50_000 };
                    let wait = self.draw_span(max_delay);
                    let accepted = self.accepted.len() - 1;
                    self.schedule_after(wait, Event::RequestEnds { accepted, outcome });
                }
                Decision::Rejected { .. } => self.totals.rejected += 1,
                other => panic!("unexpected decision: {other:?}"),
            }
        }
    }

    fn fault(&mut self) {
        self.totals.faults += 1;
        let node = self.draw(self.nodes.len() as u64) as usize;
        let span = Duration::from_millis(200) + self.draw_span(15_000_000);
        match self.draw(5) {
            0 => self.nodes[node].partitioned_until = self.now + span,
            1 => self.nodes[node].frozen_until = self.now + span,
            2 => {
                self.any_node_killed = true;
                let killed = Process { node, incarnation: self.nodes[node].incarnation };
                self.waiting.retain(|(process, _), _| *process != killed);
                self.start(Process { node, incarnation: killed.incarnation + 1 });
            }
            3 => self.owner_frozen_until = self.now + span,
            // Calls and proposals that the old owner had not committed are lost.
            _ => {
                self.totals.owner_changes += 1;
                self.epoch += 1;
                self.owner_frozen_until = Instant::ZERO;
                self.owned_from = self.now + Duration::from_millis(400) + self.draw_span(3_000_000);
                self.timer = WindowTimer::new(self.owned_from, self.config);
                self.timer.observe(self.owned_from, MEMBER, &self.state);
                let epoch = self.epoch;
                self.schedule_at(self.owned_from + TICK_INTERVAL, Event::OwnerTick { epoch });
            }
        }
    }
}
