//! Rules changed on purpose, so that tests of the model can see them caught.

use std::cell::Cell;

/// A rule of applying a call that is changed; without the feature `mutants` nothing heeds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Of two calls under one version both are applied.
    SameVersionTwice,
    /// What was superseded is not remembered: of two calls under one superseded version both are applied.
    SupersededForgotten,
    /// A call that was taken is rejected once a later version stands.
    RepeatRejected,
    /// An item whose withdrawal is no longer remembered by name comes back.
    TombstonesForgotten,
    /// What a rejected call supersedes, and was not known, is remembered all the same.
    RejectedCallRemembered,
}

thread_local! {
    static ACTIVE: Cell<Option<Mutation>> = const { Cell::new(None) };
}

/// Changes a rule on this thread until it is called again.
#[cfg(feature = "mutants")]
#[doc(hidden)]
pub fn set_mutation(mutation: Option<Mutation>) {
    ACTIVE.set(mutation);
}

pub(crate) fn is_active(mutation: Mutation) -> bool {
    cfg!(feature = "mutants") && ACTIVE.get() == Some(mutation)
}
