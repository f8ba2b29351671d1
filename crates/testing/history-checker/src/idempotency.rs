//! What is promised of records, held against a history.
//!
//! | property | in words | broken by |
//! | --- | --- | --- |
//! | `not_linear` | operations on one key can be put into one order that respects time and answers | stale reads, forks of the log, what is applied twice or lost |
//! | `twice` | a keyed request has its effect once | a take that two hold, a take that was lost |
//! | `mark_lost` | an answer that was marked is the answer to that key ever after | an answer before its commit, before its sync, a lost or forgotten log |
//! | `unanswered` | a settled while after calm, whatever is asked is answered | no way back to a leader |
use crate::history::{EventKind, History, Micros};
use crate::linearizability::{self, Linearizability, Object, Operation};
use crate::membership::{Violation, MAX_VIOLATIONS_IN_WORDS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What is asked of a key. Values are numbers that clients never use twice; 0: none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Invocation {
    /// A document's value is to be this.
    Put(u64),
    /// The same, if it is the first now.
    Cas(u64, u64),
    /// What is it?
    Get,
    /// This client takes a keyed request.
    #[serde(rename = "take")]
    Claim(u64),
    /// And holds its answer.
    #[serde(rename = "hold")]
    Complete(u64, u64),
    /// And gives it back: it never ran.
    #[serde(rename = "give")]
    Release(u64),
}

/// The answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answer {
    /// Done.
    Done,
    /// Not done: it was something else.
    #[serde(rename = "other")]
    Mismatch,
    /// This.
    Value(u64),
    /// Nobody had taken it.
    #[serde(rename = "yours")]
    Claimed,
    /// Somebody has, and there is no answer.
    #[serde(rename = "busy")]
    InProgress,
}

/// A key's state: nothing, taken by whom, or a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum State {
    /// Nothing.
    None,
    /// By this client.
    Taken(u64),
    /// This.
    Value(u64),
}

/// A document, or a keyed request.
pub struct Key;

impl Object for Key {
    type State = State;
    type Invocation = Invocation;
    type Answer = Answer;

    fn first(&self) -> State {
        State::None
    }

    fn after(&self, state: &State, call: &Invocation, answer: Option<&Answer>) -> Option<State> {
        let value = match state {
            State::Value(v) => *v,
            _ => 0,
        };
        let (next, says) = match *call {
            Invocation::Put(v) => (State::Value(v), Answer::Done),
            Invocation::Cas(old, new) if old == value => (State::Value(new), Answer::Done),
            Invocation::Cas(..) => (*state, Answer::Mismatch),
            Invocation::Get => (*state, Answer::Value(value)),
            Invocation::Claim(by) => match state {
                State::None => (State::Taken(by), Answer::Claimed),
                State::Taken(_) => (*state, Answer::InProgress),
                State::Value(v) => (*state, Answer::Value(*v)),
            },
            Invocation::Complete(by, v) if *state == State::Taken(by) => (State::Value(v), Answer::Done),
            Invocation::Complete(..) => (*state, Answer::Mismatch),
            Invocation::Release(by) if *state == State::Taken(by) => (State::None, Answer::Done),
            Invocation::Release(_) => (*state, Answer::Mismatch),
        };
        answer.is_none_or(|a| *a == says).then_some(next)
    }
}

/// What came of a check.
#[derive(Clone, Debug, Default)]
pub struct IdempotencyReport {
    /// Promises broken; [`MAX_VIOLATIONS_IN_WORDS`] of a kind in words.
    pub violations: Vec<Violation>,
    /// How many of each.
    pub violation_counts: BTreeMap<&'static str, usize>,
    /// Operations, and how many of them were answered.
    pub operations: (usize, usize),
    /// Marked answers.
    pub marked: usize,
    /// Marked answers that were asked for again, and were the same.
    pub same: usize,
    /// Keys whose order was not found out: their history is too long for the search.
    pub too_hard: usize,
    /// Effects counted.
    pub effects: usize,
    /// The longest time between two marked answers, both begun and given, one after the other.
    pub longest_dark: Micros,
    /// From the last calm to the first answer behind it.
    pub answered_after: Option<Micros>,
}

impl IdempotencyReport {
    fn breach(&mut self, property: &'static str, at: Micros, text: String) {
        let n = self.violation_counts.entry(property).or_default();
        *n += 1;
        if *n <= MAX_VIOLATIONS_IN_WORDS {
            self.violations.push(Violation { property, at, text });
        }
    }
}

/// Hold a history against what is promised. `settle`: so long after calm everything that is asked is answered; `once`: requests
/// are refused, not served unmarked, while most holders can't be asked, so that effects come once.
pub fn check(history: &History, settle: Micros, once: bool) -> IdempotencyReport {
    let mut v = IdempotencyReport::default();
    let mut keys: BTreeMap<&str, Vec<Operation<Invocation, Answer>>> = BTreeMap::new();
    let mut effects: BTreeMap<&str, Vec<(Micros, &str)>> = BTreeMap::new();
    let mut marks: BTreeMap<&str, (Micros, &str)> = BTreeMap::new();
    let mut calm: Option<Micros> = None;
    for e in &history.events {
        match &e.what {
            EventKind::Calm => calm = Some(e.at),
            EventKind::Cut { .. } | EventKind::Hampered { .. } | EventKind::Ended { .. } => calm = None,
            EventKind::Operation { key, call, answer, .. } => {
                v.operations.0 += 1;
                v.operations.1 += usize::from(answer.is_some());
                let ended = answer.is_some().then_some(e.end);
                keys.entry(key).or_default().push(Operation {
                    began: e.at,
                    ended,
                    call: *call,
                    answer: *answer,
                });
            }
            EventKind::Effect { key, by } => {
                v.effects += 1;
                effects.entry(key).or_default().push((e.at, by));
            }
            EventKind::Marked { key, answer } => match marks.get(key.as_str()) {
                None => {
                    v.marked += 1;
                    marks.insert(key, (e.end, answer));
                }
                Some((_, before)) if *before == answer => v.same += 1,
                Some((at, before)) => {
                    let text = format!("{key}: {before:?} was marked at {at}, and {answer:?} later");
                    v.breach("mark_lost", e.at, text);
                }
            },
            _ => {}
        }
    }
    let mut given: Vec<Micros> = Vec::new();
    for e in &history.events {
        if matches!(e.what, EventKind::Marked { .. }) && e.at > 0 {
            given.push(e.end);
        }
    }
    given.sort_unstable();
    v.longest_dark = given.windows(2).map(|w| w[1] - w[0]).max().unwrap_or(0);
    // Whatever answered without a mark something else to a key that was marked before.
    for e in &history.events {
        if let (EventKind::Unmarked { key, answer }, true) = (&e.what, once) {
            if let Some((at, before)) = marks.get(key.as_str()).filter(|m| m.0 < e.at) {
                if before != answer {
                    let text =
                        format!("{key}: {before:?} was marked at {at}, and the answer is {answer:?} later");
                    v.breach("mark_lost", e.at, text);
                }
            }
        }
    }
    for (key, ops) in &keys {
        match linearizability::check(&Key, ops) {
            Linearizability::Linearizable => {}
            Linearizability::SearchLimitReached => v.too_hard += 1,
            Linearizability::NotLinearizable { ordered } => {
                let mut ops = ops.clone();
                ops.sort_by_key(|o| o.ended.unwrap_or(i64::MAX));
                let near = ops.iter().skip(ordered.saturating_sub(2)).take(5);
                let text: Vec<String> =
                    near.map(|o| format!("{}..{:?} {:?} {:?}", o.began, o.ended, o.call, o.answer)).collect();
                let at = ops.get(ordered).map_or(0, |o| o.began);
                v.breach("not_linear", at, format!("{key}: {}", text.join("; ")));
            }
        }
    }
    for (key, list) in effects.iter().filter(|(_, l)| once && l.len() > 1) {
        let text = format!("{key} had its effect {} times: {list:?}", list.len());
        v.breach("twice", list[1].0, text);
    }
    if let Some(calm) = calm {
        let last = history.events.iter().map(|e| e.end).max().unwrap_or(0);
        let bound = calm + settle;
        for e in history.events.iter().filter(|e| e.at > calm) {
            if let EventKind::Operation { answer, key, .. } = &e.what {
                let took = e.end - calm;
                if answer.is_some() && v.answered_after.is_none_or(|a| took < a) {
                    v.answered_after = Some(took);
                }
                if answer.is_none() && e.at > bound && e.end < last {
                    v.breach("unanswered", e.at, format!("{key}: asked {} after calm", e.at - calm));
                }
            }
        }
    }
    v
}
