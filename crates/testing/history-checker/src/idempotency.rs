//! What is promised of the idempotency store, held against a history.
//!
//! | property | in words | broken by |
//! | --- | --- | --- |
//! | `not_linear` | operations on one key can be put into one order that respects time and answers | stale reads, forks of the log, what is applied twice or lost |
//! | `twice` | a keyed request has its effect once | a claim that two have, a claim that was lost |
//! | `mark_lost` | an answer that was marked is the answer to that key ever after | an answer before its commit, before its sync, a lost or forgotten log |
//! | `unanswered` | a settle time after the heal, whatever is asked is answered | no way back to a leader |

use crate::history::{EventKind, History};
use crate::keyed_entry::KeyedEntry;
use crate::linearizability::{self, Linearizability, Operation};
use crate::operation::{Answer, Invocation};
use crate::violation::{Property, ViolationLog};
use silvercross_time::{Duration, Instant};
use std::collections::BTreeMap;

/// Operations of a history that is not linearizable that are shown with the violation.
const MAX_OPERATIONS_SHOWN: usize = 5;

/// The result of a check.
#[derive(Clone, Debug, Default)]
pub struct IdempotencyReport {
    /// Promises broken.
    pub violations: ViolationLog,
    /// Operations.
    pub operations: usize,
    /// Of these, answered ones.
    pub answered_operations: usize,
    /// Keys with a marked answer.
    pub marked_answers: usize,
    /// Marked answers that were asked for again, and were the same.
    pub repeated_marked_answers: usize,
    /// Keys whose order was not found out: their history is too long for the search.
    pub undecided_keys: usize,
    /// Effects counted.
    pub effects: usize,
    /// The longest time between two marked answers, one after the other.
    pub longest_gap: Duration,
    /// From the last heal to the first answer after it.
    pub answered_after: Option<Duration>,
}

/// An answer that was marked for a key.
#[derive(Clone, Copy)]
struct Marked<'h> {
    at: Instant,
    answer: &'h str,
}

/// An effect of a keyed request, shown in a violation as a pair of its microseconds and its place.
struct Effect<'h> {
    at: Instant,
    by: &'h str,
}

/// What a history says, by key.
#[derive(Default)]
struct Check<'h> {
    report: IdempotencyReport,
    operations: BTreeMap<&'h str, Vec<Operation<Invocation, Answer>>>,
    effects: BTreeMap<&'h str, Vec<Effect<'h>>>,
    marked: BTreeMap<&'h str, Marked<'h>>,
    healed_at: Option<Instant>,
}

/// Holds a history against what is promised. `settle`: so long after the heal everything that is asked is answered;
/// `exactly_once`: requests are rejected, not served unmarked, while most replicas can't be asked, so that effects come once.
pub fn check(history: &History, settle: Duration, exactly_once: bool) -> IdempotencyReport {
    let mut check = Check::default();
    check.collect(history);
    check.report.longest_gap = longest_gap(history);
    if exactly_once {
        check.check_unmarked(history);
    }
    check.check_linearizable();
    if exactly_once {
        check.check_effects();
    }
    check.check_answered(history, settle);
    check.report
}

/// The longest time between the ends of two marked answers since the clock began, one after the other.
fn longest_gap(history: &History) -> Duration {
    let is_counted = |kind: &EventKind| matches!(kind, EventKind::MarkedAnswer { .. });
    let events = history.events.iter();
    let counted = events.filter(|event| is_counted(&event.kind) && event.began > Instant::ZERO);
    let mut ends: Vec<Instant> = counted.map(|event| event.ended).collect();
    ends.sort_unstable();
    ends.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(Duration::ZERO)
}

fn mark_lost_text(key: &str, before: Marked<'_>, answer: &str, what: &str) -> String {
    format!("{key}: {:?} was marked at {}, and {what}{answer:?} later", before.answer, before.at.as_micros())
}

impl<'h> Check<'h> {
    fn collect(&mut self, history: &'h History) {
        for event in &history.events {
            match &event.kind {
                EventKind::Healed => self.healed_at = Some(event.began),
                EventKind::Partitioned { .. } | EventKind::Impaired { .. } | EventKind::Ended { .. } => {
                    self.healed_at = None;
                }
                EventKind::Operation { key, invocation, answer, .. } => {
                    self.report.operations += 1;
                    self.report.answered_operations += usize::from(answer.is_some());
                    let ended = answer.is_some().then_some(event.ended);
                    let (began, invocation, answer) = (event.began, *invocation, *answer);
                    let operation = Operation { began, ended, invocation, answer };
                    self.operations.entry(key).or_default().push(operation);
                }
                EventKind::Effect { key, by } => {
                    self.report.effects += 1;
                    self.effects.entry(key).or_default().push(Effect { at: event.began, by });
                }
                EventKind::MarkedAnswer { key, answer } => {
                    self.mark(event.began, key, Marked { at: event.ended, answer });
                }
                _ => {}
            }
        }
    }

    /// A marked answer comes: the first of its key stays.
    fn mark(&mut self, began: Instant, key: &'h str, marked: Marked<'h>) {
        match self.marked.get(key).copied() {
            None => {
                self.report.marked_answers += 1;
                self.marked.insert(key, marked);
            }
            Some(before) if before.answer == marked.answer => self.report.repeated_marked_answers += 1,
            Some(before) => {
                let text = mark_lost_text(key, before, marked.answer, "");
                self.report.violations.push(Property::MarkLost, began, text);
            }
        }
    }

    /// Whatever answered without a mark something else to a key that was marked before.
    fn check_unmarked(&mut self, history: &History) {
        for event in &history.events {
            let EventKind::UnmarkedAnswer { key, answer } = &event.kind else { continue };
            let before = self.marked.get(key.as_str()).filter(|marked| marked.at < event.began);
            if let Some(before) = before.filter(|before| before.answer != answer) {
                let text = mark_lost_text(key, *before, answer, "the answer is ");
                self.report.violations.push(Property::MarkLost, event.began, text);
            }
        }
    }

    fn check_linearizable(&mut self) {
        for (key, operations) in &mut self.operations {
            match linearizability::check(&KeyedEntry, operations) {
                Linearizability::Linearizable => {}
                Linearizability::SearchLimitReached => self.report.undecided_keys += 1,
                Linearizability::NotLinearizable { ordered } => {
                    operations.sort_by_key(|operation| operation.ended.unwrap_or(Instant::MAX));
                    let at = operations.get(ordered).map_or(Instant::ZERO, |operation| operation.began);
                    let near = operations.iter().skip(ordered.saturating_sub(2)).take(MAX_OPERATIONS_SHOWN);
                    let shown: Vec<String> = near.map(show).collect();
                    let text = format!("{key}: {}", shown.join("; "));
                    self.report.violations.push(Property::NotLinear, at, text);
                }
            }
        }
    }

    fn check_effects(&mut self) {
        for (key, effects) in self.effects.iter().filter(|(_, effects)| effects.len() > 1) {
            let shown: Vec<(i64, &str)> =
                effects.iter().map(|effect| (effect.at.as_micros(), effect.by)).collect();
            let text = format!("{key} had its effect {} times: {shown:?}", effects.len());
            self.report.violations.push(Property::Twice, effects[1].at, text);
        }
    }

    /// After the last heal and the settle time all is answered, but what was still open at the end.
    fn check_answered(&mut self, history: &History, settle: Duration) {
        let Some(healed_at) = self.healed_at else { return };
        let last = history.events.iter().map(|event| event.ended).max().unwrap_or(Instant::ZERO);
        for event in history.events.iter().filter(|event| event.began > healed_at) {
            let EventKind::Operation { answer, key, .. } = &event.kind else { continue };
            let took = event.ended - healed_at;
            if answer.is_some() && self.report.answered_after.is_none_or(|after| took < after) {
                self.report.answered_after = Some(took);
            }
            if answer.is_none() && event.began > healed_at + settle && event.ended < last {
                let after = (event.began - healed_at).as_micros();
                let text = format!("{key}: asked {after} after the heal");
                self.report.violations.push(Property::Unanswered, event.began, text);
            }
        }
    }
}

/// An operation as a violation shows it: its microseconds, what was asked, and the answer.
fn show(operation: &Operation<Invocation, Answer>) -> String {
    let ended = operation.ended.map(Instant::as_micros);
    let (began, invocation, answer) = (operation.began.as_micros(), operation.invocation, operation.answer);
    format!("{began}..{ended:?} {invocation:?} {answer:?}")
}
