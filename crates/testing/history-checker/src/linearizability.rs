//! Linearizability (Herlihy and Wing 1990): whether operations of several clients on one object, each with its invocation and
//! its answer, can be put into one order that respects both time and what the object is. The search is Wing and Gong's (1993)
//! with Lowe's (2017) memory of what was tried, for histories of some hundred operations on one key. An operation without an
//! answer may have happened at any time since it was invoked, or never.
use std::collections::HashSet;
use std::hash::Hash;

/// What an object is.
pub trait Object {
    /// Its state.
    type State: Clone + Eq + Hash;
    /// What is asked of it.
    type Invocation;
    /// What it answers.
    type Answer;
    /// Its state at first.
    fn first(&self) -> Self::State;
    /// The state behind a call that was answered so; `None`: it can't have been. Without an answer: the state if it happened.
    fn after(
        &self,
        state: &Self::State,
        call: &Self::Invocation,
        answer: Option<&Self::Answer>,
    ) -> Option<Self::State>;
}

/// One operation.
#[derive(Clone, Debug)]
pub struct Operation<C, A> {
    /// When it was invoked.
    pub began: i64,
    /// When it was answered.
    pub ended: Option<i64>,
    /// What was asked.
    pub call: C,
    /// The answer.
    pub answer: Option<A>,
}

/// States looked at, at most; beyond it the verdict is [`Linearizability::SearchLimitReached`].
pub const MAX_SEARCH_STATES: usize = 4_000_000;

/// What came of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Linearizability {
    /// There is such an order.
    Linearizable,
    /// There is none; so many operations could be put in order, the answered ones by their end.
    NotLinearizable {
        /// The longest beginning that could be.
        ordered: usize,
    },
    /// It was not found out.
    SearchLimitReached,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Done(Vec<u64>);

impl Done {
    fn has(&self, i: usize) -> bool {
        self.0[i / 64] >> (i % 64) & 1 == 1
    }
    fn with(&self, i: usize) -> Self {
        let mut new = self.clone();
        new.0[i / 64] |= 1 << (i % 64);
        new
    }
}

/// Whether the operations on one object can be put in order.
pub fn check<O: Object>(object: &O, operations: &[Operation<O::Invocation, O::Answer>]) -> Linearizability {
    let mut order: Vec<usize> = (0..operations.len()).collect();
    order.sort_by_key(|i| operations[*i].began);
    let ops: Vec<&Operation<O::Invocation, O::Answer>> = order.iter().map(|i| &operations[*i]).collect();
    let answered = ops.iter().filter(|o| o.ended.is_some()).count();
    let mut tried: HashSet<(Done, O::State)> = HashSet::new();
    let mut stack = vec![(Done(vec![0; ops.len() / 64 + 1]), object.first(), 0)];
    let mut best = 0;
    while let Some((done, state, count)) = stack.pop() {
        if count == answered {
            return Linearizability::Linearizable;
        }
        best = best.max(count);
        if tried.len() > MAX_SEARCH_STATES {
            return Linearizability::SearchLimitReached;
        }
        if !tried.insert((done.clone(), state.clone())) {
            continue;
        }
        // Nothing can come after what was answered before it was invoked: up to the first end of those not yet in order.
        let open = |i: &usize| !done.has(*i);
        let first_end = (0..ops.len()).filter(open).filter_map(|i| ops[i].ended).min().unwrap_or(i64::MAX);
        for i in (0..ops.len()).filter(open) {
            if ops[i].began > first_end {
                break;
            }
            if let Some(next) = object.after(&state, &ops[i].call, ops[i].answer.as_ref()) {
                let unanswered = ops[i].ended.is_none();
                // One that nobody heard of and that changes nothing need not be put anywhere.
                if unanswered && next == state {
                    continue;
                }
                stack.push((done.with(i), next, count + usize::from(!unanswered)));
            }
        }
    }
    Linearizability::NotLinearizable { ordered: best }
}
