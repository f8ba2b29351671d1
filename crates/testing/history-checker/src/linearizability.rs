//! Linearizability (Herlihy and Wing 1990): whether operations of several clients on one object, each with its invocation and
//! its answer, can be put into one order that respects both time and what the object is.
//!
//! The search is Wing and Gong's (1993) with Lowe's (2017) memory of what was tried, for histories of some hundred operations
//! on one key. An operation without an answer may have happened at any time since it was invoked, or never. What the object
//! does is for its [`Object`] to know.

use silvercross_time::Instant;
use std::collections::HashSet;
use std::hash::Hash;

/// What an object does.
pub trait Object {
    /// Its state.
    type State: Clone + Eq + Hash;
    /// What is asked of it.
    type Invocation;
    /// What it answers.
    type Answer;
    /// Its state at first.
    fn first(&self) -> Self::State;
    /// The state after an invocation that was answered so; `None`: it can't have been. Without an answer: the state if it
    /// happened.
    fn after(
        &self,
        state: &Self::State,
        invocation: &Self::Invocation,
        answer: Option<&Self::Answer>,
    ) -> Option<Self::State>;
}

/// One operation on the object.
#[derive(Clone, Debug)]
pub struct Operation<I, A> {
    /// When it was invoked.
    pub began: Instant,
    /// When it was answered.
    pub ended: Option<Instant>,
    /// What was asked.
    pub invocation: I,
    /// The answer.
    pub answer: Option<A>,
}

/// States tried, at most; beyond it the result is [`Linearizability::SearchLimitReached`].
pub const MAX_SEARCH_STATES: usize = 4_000_000;

/// The result of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Linearizability {
    /// There is such an order.
    Linearizable,
    /// There is none.
    NotLinearizable {
        /// The most answered operations that could be put in order from the beginning.
        ordered: usize,
    },
    /// It was not found out.
    SearchLimitReached,
}

/// Which operations are in order already, a bit each.
#[derive(Clone, PartialEq, Eq, Hash)]
struct OperationSet(Vec<u64>);

impl OperationSet {
    fn empty(operations: usize) -> OperationSet {
        OperationSet(vec![0; operations / 64 + 1])
    }

    fn has(&self, operation: usize) -> bool {
        self.0[operation / 64] >> (operation % 64) & 1 == 1
    }

    fn with(&self, operation: usize) -> OperationSet {
        let mut larger = self.clone();
        larger.0[operation / 64] |= 1 << (operation % 64);
        larger
    }
}

/// A beginning of an order.
struct Candidate<S> {
    done: OperationSet,
    state: S,
    answered: usize,
}

/// Whether the operations on one object can be put in order.
pub fn check<O: Object>(object: &O, operations: &[Operation<O::Invocation, O::Answer>]) -> Linearizability {
    let mut operations: Vec<&Operation<O::Invocation, O::Answer>> = operations.iter().collect();
    operations.sort_by_key(|operation| operation.began);
    let answered = operations.iter().filter(|operation| operation.ended.is_some()).count();
    let mut tried: HashSet<(OperationSet, O::State)> = HashSet::new();
    let done = OperationSet::empty(operations.len());
    let mut stack = vec![Candidate { done, state: object.first(), answered: 0 }];
    let mut most_ordered = 0;
    while let Some(candidate) = stack.pop() {
        if candidate.answered == answered {
            return Linearizability::Linearizable;
        }
        most_ordered = most_ordered.max(candidate.answered);
        if tried.len() > MAX_SEARCH_STATES {
            return Linearizability::SearchLimitReached;
        }
        if tried.insert((candidate.done.clone(), candidate.state.clone())) {
            push_successors(object, &operations, &candidate, &mut stack);
        }
    }
    Linearizability::NotLinearizable { ordered: most_ordered }
}

/// Adds each order that is longer by one operation.
fn push_successors<O: Object>(
    object: &O,
    operations: &[&Operation<O::Invocation, O::Answer>],
    candidate: &Candidate<O::State>,
    stack: &mut Vec<Candidate<O::State>>,
) {
    // Nothing can come after what was answered before it was invoked: up to the first end of those not yet in order.
    let is_open = |index: &usize| !candidate.done.has(*index);
    let open = || (0..operations.len()).filter(is_open);
    let first_end = open().filter_map(|index| operations[index].ended).min().unwrap_or(Instant::MAX);
    for index in open().take_while(|index| operations[*index].began <= first_end) {
        let operation = operations[index];
        let next = object.after(&candidate.state, &operation.invocation, operation.answer.as_ref());
        let Some(state) = next else { continue };
        let is_answered = operation.ended.is_some();
        // One that nobody heard of and that changes nothing need not be put anywhere.
        if is_answered || state != candidate.state {
            let done = candidate.done.with(index);
            stack.push(Candidate { done, state, answered: candidate.answered + usize::from(is_answered) });
        }
    }
}
