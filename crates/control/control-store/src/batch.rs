//! One round of an owner's queue: which calls go into the next copy, wait for the next question, or stay in the queue.

use crate::calls::{Job, Who};
use crate::limits::BATCH;
use crate::message::{CallOutcome, Request};
use crate::mutation::{active, Mutation};
use crate::state::{Asked, Outcome};
use crate::{Revision, State};
use std::collections::VecDeque;

/// What becomes of the calls that wait at a key.
pub(crate) struct Batch<P: State> {
    /// Where the committed value is.
    revision: Revision,
    /// Bytes of changes at most in the copy, but for the last change.
    piece: usize,
    /// Whether a copy is under way: changes wait for it.
    busy: bool,
    broken: Option<Mutation>,
    /// What the changes make of the committed value; `None` as long as nothing changes it.
    pub value: Option<P>,
    /// The changes that do. At most `BATCH`.
    pub changes: Vec<P::Change>,
    bytes: usize,
    /// Calls to be answered with the copy.
    pub jobs: Vec<(Job<P::Change>, Outcome)>,
    /// Calls to be answered with the next question.
    pub asked: Vec<Asked<P::Change>>,
    /// Calls that stay in the queue.
    pub waiting: VecDeque<Job<P::Change>>,
    /// Answers given at once: only by a control store that is broken on purpose.
    pub answers: Vec<(Who, CallOutcome<P>)>,
}

impl<P: State> Batch<P> {
    /// An empty one, over a value committed at `revision`.
    pub(crate) fn new(revision: Revision, piece: usize, busy: bool, broken: Option<Mutation>) -> Self {
        Batch {
            revision,
            piece,
            busy,
            broken,
            value: None,
            changes: Vec::new(),
            bytes: 0,
            jobs: Vec::new(),
            asked: Vec::new(),
            waiting: VecDeque::new(),
            answers: Vec::new(),
        }
    }

    /// Whether it is broken so.
    fn is(&self, broken: Mutation) -> bool {
        active(self.broken, broken)
    }

    /// Takes the next open call of the queue.
    pub(crate) fn add(&mut self, job: Job<P::Change>, committed: &P) {
        if !matches!(job.ask, Request::Change(_)) {
            if self.is(Mutation::ReadsWithoutConfirmation) {
                let verdict = CallOutcome::Value { revision: self.revision, value: committed.clone() };
                self.answers.push((job.who, verdict));
            } else {
                self.asked.push((job, None));
            }
        } else if self.busy || self.changes.len() >= BATCH || self.bytes >= self.piece {
            self.waiting.push_back(job);
        } else {
            self.apply(job, committed);
        }
    }

    /// Tries a change on what those before it make of the value.
    fn apply(&mut self, job: Job<P::Change>, committed: &P) {
        let Request::Change(change) = &job.ask else { return };
        // A value is tried on a copy: what is refused may leave nothing behind.
        let mut tried = self.value.as_ref().unwrap_or(committed).clone();
        match (tried.apply(change), self.value.is_some()) {
            (Ok(true), _) => self.change(tried, job, Ok(true)),
            (Ok(false), false) => self.asked.push((job, None)),
            (Err(refusal), _) if self.is(Mutation::KeepsPartialChange) && tried != *committed => {
                self.change(tried, job, Err(refusal));
            }
            (Err(refusal), false) if self.is(Mutation::RejectsWithoutConfirmation) => {
                self.answers.push((job.who, CallOutcome::Rejected(refusal)));
            }
            (Err(refusal), false) => self.asked.push((job, Some(refusal))),
            (Err(refusal), true) if self.is(Mutation::AnswersFromUncommitted) => {
                self.answers.push((job.who, CallOutcome::Rejected(refusal)));
            }
            (Ok(false), true) if self.is(Mutation::AnswersFromUncommitted) => {
                self.answers
                    .push((job.who, CallOutcome::Committed { revision: self.revision, changed: false }));
            }
            // Rests on a change that is not yet committed: told when that is.
            (outcome, true) => self.jobs.push((job, outcome)),
        }
    }

    /// The change goes into the copy, which makes `value` of it.
    fn change(&mut self, value: P, job: Job<P::Change>, outcome: Outcome) {
        if let Request::Change(change) = &job.ask {
            self.bytes += bitcode::encode(change).len();
            self.changes.push(change.clone());
        }
        self.value = Some(value);
        self.jobs.push((job, outcome));
    }
}
