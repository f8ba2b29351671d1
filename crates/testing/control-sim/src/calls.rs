//! Operators' calls, from their sending to their answer: sent again after no answer, given up after a time.
//!
//! Who sends which call is drawn in `operators`; what a control node does with one is in `node_events`.

use crate::content::{Change, Item, Items};
use crate::convert::observed;
use crate::error::ScheduleError;
use crate::event::Event;
use crate::history::{Answer, Operation, RejectionReason, RequestedItem};
use crate::operator_state::{Call, CallToken, OpenCall};
use crate::world::World;
use silvercross_control_store::{CallOutcome, Epoch};
use silvercross_time::Duration;

/// How often a call is sent again until its operator gives it up.
const MAX_RETRIES: u32 = 5;
/// An operator waits so long for an answer, mostly.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Or so long.
const LONG_CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// The way from an operator to a control node takes so long.
const MIN_CALL_DELAY: Duration = Duration::from_micros(100);
/// Or less than this.
const MAX_CALL_DELAY: Duration = Duration::from_millis(2);
/// A control node that runs all the time answers within this: the control store's limit for a call, 0.8 s, the way there, and
/// the clock's step.
const MAX_ANSWER_DELAY: Duration = Duration::from_millis(810);
/// An order that lies on a link, or in a socket, comes within this.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(4);
/// An operator that goes on elsewhere may keep the silent connection for so long.
const KEPT_FOR_LATE_ANSWER: Duration = Duration::from_secs(5);
/// So many of the last sendings are searched for an earlier acknowledgement of the same call.
const MAX_SENDINGS_SEARCHED: usize = 400;

/// A call to be sent: by whom, to which node, and how many sendings came before.
pub(crate) struct Sending {
    /// The drawn operator; none for a directed schedule's own calls.
    pub(crate) operator: Option<usize>,
    /// The node, by its index.
    pub(crate) node: usize,
    /// The call.
    pub(crate) call: Call,
    /// Sendings before this one.
    pub(crate) retries: u32,
}

impl World {
    /// Whether a call waits for its answer.
    pub fn has_open_calls(&self) -> bool {
        !self.operators.open.is_empty()
    }

    /// A new call of one item, with a content of its own.
    pub fn new_call(&mut self, key: usize, name: u8, version: u64) -> Call {
        let content = self.operators.next_content();
        self.new_call_of(key, vec![Item { name, version, content, needs: 0 }])
    }

    /// A new call.
    pub fn new_call_of(&mut self, key: usize, change: Change) -> Call {
        self.operators.next_call(key, change)
    }

    /// Sends a call, or a read, to a node, and doesn't send it again.
    pub fn send_call(&mut self, node: usize, call: Call) -> CallToken {
        self.begin_call(Sending { operator: None, node, call, retries: MAX_RETRIES })
    }

    /// Sends a call and notes it in the history.
    pub(crate) fn begin_call(&mut self, sending: Sending) -> CallToken {
        let Sending { operator, node, call, retries } = sending;
        let token = CallToken(self.history.operations.len() as u64);
        self.report.calls += 1;
        self.report.repeats += u64::from(retries > 0 && operator.is_some());
        let requested = |item: &Item| RequestedItem {
            name: item.name,
            version: item.version,
            content: item.content,
            needs: item.needs,
        };
        self.history.operations.push(Operation {
            call_id: call.id,
            key: call.key,
            node,
            invoked_at: self.now,
            answered_at: None,
            ended_at: None,
            items: call.change.iter().map(requested).collect(),
            answer: Answer::Missing,
        });
        let delay = self.draw_call_delay(token);
        let (sent_at, arrives_at) = (self.now, self.now + delay);
        let open = OpenCall { operator, node, call, retries, sent_at, arrives_at, taken_at: None };
        self.operators.open.insert(token, open);
        let timeout = if self.rng.one_in(4) { LONG_CALL_TIMEOUT } else { CALL_TIMEOUT };
        self.after(timeout, Event::CallTimeout(token));
        let generation = self.nodes[node].generation;
        self.at(arrives_at, Event::CallArrived { node, generation, token, under: None });
        token
    }

    /// An order may lie on a link that is cut and heals, or in the node's socket. Its connection was opened before.
    fn draw_call_delay(&mut self, token: CallToken) -> Duration {
        if self.is_order(token) && self.rng.one_in(8) {
            return self.rng.duration(MIN_CALL_DELAY, MAX_ORDER_DELAY);
        }
        self.rng.duration(MIN_CALL_DELAY, MAX_CALL_DELAY)
    }

    /// A control node asks the operator of an order again. One that still waits sends it again at once.
    pub(crate) fn ask_again(&mut self, node: usize, token: CallToken, epoch: Epoch) {
        self.report.orders_asked_again += 1;
        let (now, generation) = (self.now, self.nodes[node].generation);
        let arrives_at = now + self.draw_call_delay(token);
        let Some(open) = self.operators.open.get_mut(&token) else { return };
        (open.sent_at, open.arrives_at, open.taken_at) = (now, arrives_at, None);
        self.at(arrives_at, Event::CallArrived { node, generation, token, under: Some(epoch) });
    }

    /// A control node answers.
    pub(crate) fn answer_call(&mut self, node: usize, token: CallToken, outcome: CallOutcome<Items>) {
        let Some(open) = self.operators.open.get(&token) else { return };
        let invoked_at = open.sent_at;
        let taken_at = open.taken_at.unwrap_or(invoked_at);
        if open.node != node {
            return self.fail(ScheduleError::AnsweredByAnotherNode { node, token });
        }
        let after = self.now - taken_at;
        if self.nodes[node].resumed_at < invoked_at && after > MAX_ANSWER_DELAY {
            return self.fail(ScheduleError::AnsweredLate { token, after });
        }
        let answer = match outcome {
            CallOutcome::Committed { revision, changed } => {
                Answer::Committed { revision: observed(revision), changed }
            }
            CallOutcome::Rejected(rejection) if rejection.conflict => {
                Answer::Rejected(RejectionReason::Conflict)
            }
            CallOutcome::Rejected(_) => Answer::Rejected(RejectionReason::Invalid),
            CallOutcome::Value { value, .. } => Answer::Value(value.0),
            CallOutcome::Unknown => Answer::OutcomeUnknown,
        };
        self.end_call(token, answer);
    }

    /// A sending is over; its operator sends the call again if it may not be in force.
    pub(crate) fn end_call(&mut self, token: CallToken, answer: Answer) {
        let Some(open) = self.operators.open.remove(&token) else { return };
        let report = &mut self.report;
        match answer {
            Answer::Committed { .. } => report.committed += 1,
            Answer::Rejected(RejectionReason::Conflict) => report.conflicts += 1,
            Answer::Rejected(RejectionReason::Invalid) => report.invalid += 1,
            Answer::Value(_) => report.reads += 1,
            Answer::OutcomeUnknown => report.outcome_unknown += 1,
            Answer::Missing => report.unanswered += 1,
        }
        let may_be_lost = matches!(answer, Answer::OutcomeUnknown | Answer::Missing);
        if matches!(answer, Answer::Committed { .. }) {
            self.count_commit(&open.call);
        }
        let is_answered = answer != Answer::Missing;
        let operation = &mut self.history.operations[token.index()];
        operation.answer = answer;
        operation.answered_at = is_answered.then_some(self.now);
        operation.ended_at = Some(self.now);
        let (node, now) = (open.node, self.now);
        if !is_answered && self.plan.has_orders && self.nodes[node].is_running() {
            // The close of the connection follows what was sent on it. The operator may keep it for a late answer.
            let generation = self.nodes[node].generation;
            let kept_for = if self.rng.one_in(2) { KEPT_FOR_LATE_ANSWER } else { MAX_CALL_DELAY };
            let closed_at = (now + kept_for).max(open.arrives_at);
            self.at(closed_at, Event::CallerLeft { node, generation, token });
        }
        let is_retried = may_be_lost
            && open.retries < MAX_RETRIES
            && self.now < self.stop_at
            && !open.call.change.is_empty();
        if let Some(operator) = open.operator.filter(|_| is_retried) {
            let node = self.draw_entry_node();
            let retries = open.retries + 1;
            self.begin_call(Sending { operator: Some(operator), node, call: open.call, retries });
        }
    }

    /// Counts what was acknowledged past a node that is partitioned, and what was acknowledged before.
    fn count_commit(&mut self, call: &Call) {
        let minority = self.plan.replicas / 2;
        let is_cut_off = |node: usize| {
            let unheard = (0..self.control_node_count())
                .filter(|peer| *peer != node && self.blocked[*peer][node])
                .count();
            self.nodes[node].is_running() && unheard > minority
        };
        if (0..self.control_node_count()).any(is_cut_off) {
            self.report.acknowledged_past_a_cut += 1;
        }
        let is_same = |operation: &Operation| operation.call_id == call.id && operation.is_committed();
        let mut last_sendings = self.history.operations.iter().rev().take(MAX_SENDINGS_SEARCHED);
        self.report.repeats_after_commit += u64::from(last_sendings.any(is_same));
    }

    /// A process has ended, and with it its connections to operators.
    pub(crate) fn end_calls_at(&mut self, node: usize) {
        let is_there = |open: &(&CallToken, &OpenCall)| open.1.node == node;
        let lost: Vec<CallToken> =
            self.operators.open.iter().filter(is_there).map(|(token, _)| *token).collect();
        lost.into_iter().for_each(|token| self.end_call(token, Answer::Missing));
    }

    /// Draws the node that an operator turns to: one that is no replica, or doesn't run, seldom.
    pub(crate) fn draw_entry_node(&mut self) -> usize {
        let node = self.rng.index(self.control_node_count());
        let serves = self.nodes[node].store.as_ref().is_some_and(|store| !store.is_outside());
        if serves || self.rng.one_in(4) {
            node
        } else {
            self.rng.index(self.control_node_count())
        }
    }
}
