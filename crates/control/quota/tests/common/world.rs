//! Nodes, an owner that changes, and everything between them that can go wrong, in simulated time from a seed.

use super::plain::PlainCounter;
use super::{allowance, at, MEMBER, SECOND};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use silvercross_control_store::{Rejection, State};
use silvercross_quota::*;
use silvercross_time::{Duration, Instant};
use std::collections::{BTreeMap, BTreeSet};

const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// After the end nothing is lost any more, and for so long all comes to rest.
const QUIET_SPAN: Duration = Duration::from_secs(45);

/// A process of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Process {
    node: usize,
    incarnation: u64,
}

/// A request that a node accepted, as the client's side knows it.
pub(super) struct Accepted {
    by: Process,
    attempt: u64,
    pub(super) order: Option<OrderId>,
    pub(super) kind: RequestKind,
    pub(super) window: u64,
    /// `None` until it ended, or for good if its node died.
    pub(super) outcome: Option<RequestOutcome>,
}

enum Event {
    RequestArrives { node: usize, kind: RequestKind, order: Option<OrderId> },
    CallArrives { from: Process, copy: u64, call: OwnerCall },
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
    /// Of 1,000: how fast its clock goes.
    clock_rate: i64,
    frozen_until: Instant,
    cut_until: Instant,
}

/// What a schedule came to.
#[derive(Default, Clone, Copy, Debug)]
pub struct Totals {
    pub accepted: u64,
    pub rejected: u64,
    pub repeats: u64,
    pub owners: u64,
    pub faults: u64,
    pub lost_leases: u64,
    pub exact: u64,
}

pub struct World {
    rng: Pcg64Mcg,
    now: Instant,
    pub(super) end: Instant,
    last_number: u64,
    queue: BTreeMap<(Instant, u64), Event>,
    pub(super) nodes: Vec<Node>,
    pub(super) state: QuotaState,
    pub(super) plain: PlainCounter,
    timer: WindowTimer,
    config: QuotaConfig,
    pub(super) allowance: Allowance,
    epoch: u64,
    /// Nobody owns the key before this.
    owned_from: Instant,
    pub(super) owner_frozen_until: Instant,
    pub(super) is_any_killed: bool,
    pub(super) waiting: BTreeMap<(Process, u64), (RequestKind, Option<OrderId>)>,
    last_request: u64,
    pub(super) accepted: Vec<Accepted>,
    /// How often each order arrived.
    pub(super) attempts: BTreeMap<OrderId, usize>,
    /// Copies of calls that an owner has served.
    served: BTreeSet<u64>,
    pub(super) totals: Totals,
}

/// Draws an amount: some, a few dozen, or some hundred units.
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
        let is_rejected = rng.next_u32() % 4 == 0;
        let when_unreachable =
            if is_rejected { WhenUnreachable::Reject } else { WhenUnreachable::ServeFromLeases };
        let allowance = allowance(amounts, strict, when_unreachable);
        let min_lease = u64::from(rng.next_u32() % 4 == 0) * 2;
        let config = QuotaConfig { min_lease, ..QuotaConfig::default() };
        let mut state = QuotaState::default();
        state.apply(&Change::SetAllowance(allowance.clone())).expect("a first allowance");
        let mut world = World {
            rng,
            now: Instant::ZERO,
            end: Instant::ZERO,
            last_number: 0,
            queue: BTreeMap::new(),
            nodes: Vec::new(),
            state,
            plain: PlainCounter::new(amounts),
            timer: WindowTimer::new(Instant::ZERO, config),
            config,
            allowance,
            epoch: 1,
            owned_from: Instant::ZERO,
            owner_frozen_until: Instant::ZERO,
            is_any_killed: false,
            waiting: BTreeMap::new(),
            last_request: 0,
            accepted: Vec::new(),
            attempts: BTreeMap::new(),
            served: BTreeSet::new(),
            totals: Totals::default(),
        };
        world.timer.observe(Instant::ZERO, MEMBER, &world.state);
        world.draw_nodes();
        world.at(Instant::ZERO + TICK_INTERVAL, Event::OwnerTick { epoch: 1 });
        let seconds = [20, 50, 90, 140][world.draw(4) as usize];
        world.end = Instant::ZERO + SECOND * seconds;
        world.draw_requests();
        for _ in 0..world.draw(6) {
            let when = world.draw_moment();
            world.at(when, Event::Fault);
        }
        world
    }

    fn draw_nodes(&mut self) {
        for node in 0..2 + self.draw(3) as usize {
            let clock_offset = self.draw_span(1_000_000_000);
            let clock_rate = 990 + self.draw(21) as i64;
            let leases = QuotaLeases::new(Instant::ZERO, node as u32, 1, self.config);
            let (frozen_until, cut_until) = (Instant::ZERO, Instant::ZERO);
            let new = Node { leases, incarnation: 1, clock_offset, clock_rate, frozen_until, cut_until };
            self.nodes.push(new);
            self.start(Process { node, incarnation: 1 });
        }
    }

    fn draw_requests(&mut self) {
        let most = if self.draw(4) == 0 { 500 } else { 80 };
        let requests = 10 + self.draw(most);
        let pool = 1 + self.draw(requests);
        for _ in 0..requests {
            let mut when = self.draw_moment();
            // Half of them come together with others.
            if self.draw(2) != 0 {
                let micros = when.as_micros() / 5_000_000 * 5_000_000;
                when = at(micros) + self.draw_span(200_000);
            }
            let node = self.draw(self.nodes.len() as u64) as usize;
            let kind = RequestKind::ALL[self.draw(3) as usize];
            let number = self.draw(pool) * 2 + kind as u64 % 2;
            let has_order = kind != RequestKind::Read && self.draw(5) > 0;
            let order = has_order.then_some(OrderId(number.into()));
            self.at(when, Event::RequestArrives { node, kind, order });
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

    fn at(&mut self, when: Instant, event: Event) {
        self.last_number += 1;
        self.queue.insert((when, self.last_number), event);
    }

    fn after(&mut self, wait: Duration, event: Event) {
        self.at(self.now + wait, event);
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
        self.after(TICK_INTERVAL, Event::NodeTick { process });
    }

    fn is_running(&self, process: Process) -> bool {
        self.nodes[process.node].incarnation == process.incarnation
    }

    /// Plays the schedule to its end, or to the first thing that is wrong.
    pub fn run(mut self) -> Result<Totals, String> {
        let quiet_until = self.end + QUIET_SPAN;
        while let Some(((when, _), event)) = self.queue.pop_first() {
            if when > quiet_until {
                break;
            }
            self.now = when;
            self.step(event).map_err(|why| format!("at {}: {why}", self.now.as_micros()))?;
        }
        self.check()
    }

    fn is_healed(&self) -> bool {
        self.now > self.end
    }

    /// The node whose process has to be running, not frozen, for an event.
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
            self.at(until, event);
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
            // The control store serves a call once, however often it comes; one that is sent again is another.
            Event::CallArrives { from, copy, call } => {
                let is_owned = self.now >= self.owned_from && self.now >= self.owner_frozen_until;
                if is_owned && self.served.insert(copy) {
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
        self.decided(node, vec![LateDecision { request: id, decision }]);
        self.send(node);
    }

    fn node_tick(&mut self, process: Process) {
        if !self.is_running(process) {
            return;
        }
        let now = self.clock(process.node);
        let decisions = self.nodes[process.node].leases.tick(now);
        self.decided(process.node, decisions);
        self.send(process.node);
        self.after(TICK_INTERVAL, Event::NodeTick { process });
    }

    fn answer_arrives(&mut self, to: Process, number: u64, answer: &OwnerAnswer) {
        let is_reached = self.nodes[to.node].cut_until <= self.now || self.is_healed();
        if self.is_running(to) && is_reached {
            let now = self.clock(to.node);
            let decisions = self.nodes[to.node].leases.handle_answer(now, number, answer);
            self.decided(to.node, decisions);
            self.send(to.node);
        }
    }

    fn request_ends(&mut self, accepted: usize, outcome: RequestOutcome) {
        let Accepted { by, attempt, .. } = self.accepted[accepted];
        if self.is_running(by) {
            self.accepted[accepted].outcome = Some(outcome);
            let now = self.clock(by.node);
            self.nodes[by.node].leases.finish(now, attempt, outcome);
            self.send(by.node);
        }
    }

    fn owner_tick(&mut self, epoch: u64) {
        if self.owner_frozen_until > self.now {
            let until = self.owner_frozen_until;
            return self.at(until, Event::OwnerTick { epoch });
        }
        if epoch != self.epoch {
            return;
        }
        for Proposal { change, .. } in self.timer.tick(self.now) {
            let wait = self.draw_span(50_000);
            self.after(wait, Event::ProposalArrives { epoch, change });
        }
        self.after(TICK_INTERVAL, Event::OwnerTick { epoch });
    }

    /// What the owner does with a call that came to it. What it commits stays, whatever becomes of it and the answer.
    fn serve(&mut self, from: Process, call: OwnerCall) -> Result<(), String> {
        let outcome = self.commit(&call.change)?;
        let answer = self.state.answer(&call.change, &outcome);
        let is_leased_elsewhere =
            matches!(answer, OwnerAnswer::Rejected { reason: RejectionReason::LeasedElsewhere, .. });
        if is_leased_elsewhere && self.draw(2) == 0 {
            for kind in RequestKind::ALL {
                for LeaseNode { node, .. } in self.state.lease_nodes(kind) {
                    let wait = self.draw_span(20_000);
                    self.after(wait, Event::Recall { node: node as usize });
                }
            }
        }
        if self.draw(12) == 0 && !self.is_healed() {
            return Ok(());
        }
        let wait = self.draw_span(40_000);
        self.after(wait, Event::AnswerArrives { to: from, number: call.number, answer });
        Ok(())
    }

    fn commit(&mut self, change: &Change) -> Result<Result<bool, Rejection>, String> {
        if let Change::RefundOrder { attempt, .. } = change {
            let may_have_run = |accepted: &&Accepted| {
                let Process { node, incarnation } = accepted.by;
                (node as u32, incarnation, accepted.attempt)
                    == (attempt.node, attempt.incarnation, attempt.number)
                    && matches!(accepted.outcome, Some(RequestOutcome::Ran | RequestOutcome::MayHaveRun))
            };
            if let Some(accepted) = self.accepted.iter().find(may_have_run) {
                return Err(format!("given back what may have run: {:?} {attempt:?}", accepted.order));
            }
        }
        let before = self.state.clone();
        let outcome = self.state.apply(change);
        if outcome.is_err() && self.state != before {
            return Err(format!("rejected and in force: {change:?}"));
        }
        if outcome == Ok(false) && self.state != before {
            return Err(format!("nothing changed and yet it did: {change:?}"));
        }
        self.plain.observe(change, &outcome, &self.state)?;
        if matches!((change, &outcome), (Change::ExpireLease { .. }, Ok(true))) {
            self.totals.lost_leases += 1;
        }
        self.timer.observe(self.now, MEMBER, &self.state);
        Ok(outcome)
    }

    fn send(&mut self, node: usize) {
        let from = Process { node, incarnation: self.nodes[node].incarnation };
        for call in self.nodes[node].leases.take_calls() {
            let is_lossy = !self.is_healed();
            self.last_number += 1;
            let copy = self.last_number;
            if is_lossy && self.draw(15) == 0 {
                let late = self.draw_span(20_000_000);
                self.after(late, Event::CallArrives { from, copy, call: call.clone() });
            }
            if is_lossy && (self.nodes[node].cut_until > self.now || self.draw(12) == 0) {
                continue;
            }
            let wait = self.draw_span(40_000);
            self.after(wait, Event::CallArrives { from, copy, call });
        }
    }

    fn decided(&mut self, node: usize, decisions: Vec<LateDecision>) {
        let by = Process { node, incarnation: self.nodes[node].incarnation };
        for LateDecision { request, decision } in decisions {
            if decision == Decision::AwaitOwner {
                continue;
            }
            let Some((kind, order)) = self.waiting.remove(&(by, request)) else {
                panic!("a decision on nothing: {decision:?}");
            };
            match decision {
                Decision::Accepted { attempt, is_repeat, window, .. } => {
                    self.totals.accepted += 1;
                    self.totals.repeats += u64::from(is_repeat);
                    self.accepted.push(Accepted { by, attempt, order, kind, window, outcome: None });
                    let outcome = match self.draw(6) {
                        0 => RequestOutcome::NotRun,
                        1 => RequestOutcome::MayHaveRun,
                        _ => RequestOutcome::Ran,
                    };
                    let spread = if self.draw(4) == 0 { 8_000_000 } else { 50_000 };
                    let wait = self.draw_span(spread);
                    let accepted = self.accepted.len() - 1;
                    self.after(wait, Event::RequestEnds { accepted, outcome });
                }
                Decision::Rejected { .. } => self.totals.rejected += 1,
                other => panic!("not expected here: {other:?}"),
            }
        }
    }

    fn fault(&mut self) {
        self.totals.faults += 1;
        let node = self.draw(self.nodes.len() as u64) as usize;
        let span = Duration::from_millis(200) + self.draw_span(15_000_000);
        match self.draw(5) {
            0 => self.nodes[node].cut_until = self.now + span,
            1 => self.nodes[node].frozen_until = self.now + span,
            2 => {
                self.is_any_killed = true;
                let killed = Process { node, incarnation: self.nodes[node].incarnation };
                self.waiting.retain(|(process, _), _| *process != killed);
                self.start(Process { node, incarnation: killed.incarnation + 1 });
            }
            3 => self.owner_frozen_until = self.now + span,
            // What was on its way to the old owner and not committed is lost with it.
            _ => {
                self.totals.owners += 1;
                self.epoch += 1;
                self.owner_frozen_until = Instant::ZERO;
                self.owned_from = self.now + Duration::from_millis(400) + self.draw_span(3_000_000);
                self.timer = WindowTimer::new(self.owned_from, self.config);
                self.timer.observe(self.owned_from, MEMBER, &self.state);
                let epoch = self.epoch;
                self.at(self.owned_from + TICK_INTERVAL, Event::OwnerTick { epoch });
            }
        }
    }
}
