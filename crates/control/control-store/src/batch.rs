//! One pass over an owner's queue: which calls go into the next append, wait for the next confirmation of the
//! epoch, or stay in the queue.
//!
//! It sends nothing; `protocol::replicate` acts on the result.

use crate::call::{ApplyResult, Caller, QueuedCall, UncommittedCall, UnconfirmedCall};
use crate::key_slot::CommittedValue;
use crate::limits::MAX_BATCH_CHANGES;
use crate::message::{CallOutcome, Request};
use crate::mutation::{is_active, Mutation};
use crate::value::State;
use std::collections::VecDeque;

/// An answer that doesn't depend on other nodes.
pub(crate) struct ImmediateAnswer<V> {
    pub(crate) caller: Caller,
    pub(crate) outcome: CallOutcome<V>,
}

/// The result of a pass over the calls queued at a key.
pub(crate) struct Batch<V: State> {
    /// Limit for the size of an append's changes, which only the last change may exceed.
    max_bytes: usize,
    /// Whether an append is in flight, so that changes have to wait.
    is_append_in_flight: bool,
    mutation: Option<Mutation>,
    /// The committed value with the changes applied; `None` if nothing has changed it.
    pub(crate) value: Option<V>,
    /// The changes in the append. At most `MAX_BATCH_CHANGES`.
    pub(crate) changes: Vec<V::Change>,
    bytes: usize,
    /// Whether the change in the append is unversioned: it is the only one.
    is_unversioned: bool,
    /// Calls to be answered with the append.
    pub(crate) uncommitted: Vec<UncommittedCall<V::Change>>,
    /// Calls to be answered with the next confirmation.
    pub(crate) unconfirmed: Vec<UnconfirmedCall<V::Change>>,
    /// Calls that stay in the queue.
    pub(crate) queue: VecDeque<QueuedCall<V::Change>>,
    /// Calls to be answered at once: only under a mutation.
    pub(crate) answers: Vec<ImmediateAnswer<V>>,
}

/// Whether a request is a change without a version.
pub(crate) fn is_unversioned<V: State>(request: &Request<V::Change>) -> bool {
    matches!(request, Request::Change(change) if V::is_unversioned(change))
}

impl<V: State> Batch<V> {
    /// An empty batch.
    pub(crate) fn new(max_bytes: usize, is_append_in_flight: bool, mutation: Option<Mutation>) -> Self {
        Batch {
            max_bytes,
            is_append_in_flight,
            mutation,
            value: None,
            changes: Vec::new(),
            bytes: 0,
            is_unversioned: false,
            uncommitted: Vec::new(),
            unconfirmed: Vec::new(),
            queue: VecDeque::new(),
            answers: Vec::new(),
        }
    }

    fn has_mutation(&self, mutation: Mutation) -> bool {
        is_active(self.mutation, mutation)
    }

    /// Adds the next call of the queue.
    pub(crate) fn add(&mut self, call: QueuedCall<V::Change>, committed: &CommittedValue<V>) {
        if !matches!(call.request, Request::Change(_)) {
            if self.has_mutation(Mutation::ReadsWithoutConfirmation) {
                let (revision, value) = (committed.revision, committed.value.clone());
                self.answer(&call, CallOutcome::Value { revision, value });
            } else {
                self.unconfirmed.push(UnconfirmedCall { call, rejection: None });
            }
        } else if self.is_append_in_flight
            || self.is_unversioned
            || (!self.changes.is_empty() && is_unversioned::<V>(&call.request))
            || self.changes.len() >= MAX_BATCH_CHANGES
            || self.bytes >= self.max_bytes
        {
            self.queue.push_back(call);
        } else {
            self.apply(call, committed);
        }
    }

    /// Applies a change to the value as the previous changes left it.
    fn apply(&mut self, call: QueuedCall<V::Change>, committed: &CommittedValue<V>) {
        let Request::Change(change) = &call.request else { return };
        // On a clone, so that a rejected change leaves nothing behind.
        let mut updated = self.value.as_ref().unwrap_or(&committed.value).clone();
        match (updated.apply(change), self.value.is_some()) {
            (Ok(true), _) => self.push_change(updated, call, Ok(true)),
            // Committed even if nothing changes, as it ends the epoch.
            (Ok(false), false) if is_unversioned::<V>(&call.request) => {
                self.push_change(updated, call, Ok(false));
            }
            (Ok(false), false) => self.unconfirmed.push(UnconfirmedCall { call, rejection: None }),
            (Err(rejection), _)
                if self.has_mutation(Mutation::KeepsPartialChange) && updated != committed.value =>
            {
                self.push_change(updated, call, Err(rejection));
            }
            (Err(rejection), false) if self.has_mutation(Mutation::RejectsWithoutConfirmation) => {
                self.answer(&call, CallOutcome::Rejected(rejection));
            }
            (Err(rejection), false) => {
                self.unconfirmed.push(UnconfirmedCall { call, rejection: Some(rejection) });
            }
            (Err(rejection), true) if self.has_mutation(Mutation::AnswersFromUncommitted) => {
                self.answer(&call, CallOutcome::Rejected(rejection));
            }
            (Ok(false), true) if self.has_mutation(Mutation::AnswersFromUncommitted) => {
                self.answer(&call, CallOutcome::Committed { revision: committed.revision, changed: false });
            }
            // The result depends on a change that is not committed yet, so it is answered with the append.
            (applied, true) => self.uncommitted.push(UncommittedCall { call, applied }),
        }
    }

    /// Adds a change to the append, which leads to `value`.
    fn push_change(&mut self, value: V, call: QueuedCall<V::Change>, applied: ApplyResult) {
        self.is_unversioned = is_unversioned::<V>(&call.request);
        if let Request::Change(change) = &call.request {
            self.bytes += bitcode::encode(change).len();
            self.changes.push(change.clone());
        }
        self.value = Some(value);
        self.uncommitted.push(UncommittedCall { call, applied });
    }

    fn answer(&mut self, call: &QueuedCall<V::Change>, outcome: CallOutcome<V>) {
        self.answers.push(ImmediateAnswer { caller: call.caller, outcome });
    }
}
