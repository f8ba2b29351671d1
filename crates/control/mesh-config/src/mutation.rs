//! Rules broken on purpose, so that tests can show that the checkers detect each. Without the feature `mutants` they
//! have no effect.

use std::cell::Cell;

/// A rule to break.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Two calls with the same version and different content are both accepted.
    SameVersionTwice,
    /// Superseded versions are forgotten: two calls with the same superseded version are both accepted.
    SupersededForgotten,
    /// A repeat of an accepted call is rejected once a later version is in force.
    RepeatRejected,
    /// An item whose tombstone was removed comes back.
    TombstonesForgotten,
    /// New versions superseded by a rejected call are recorded.
    RejectedCallRemembered,
}

thread_local! {
    static ACTIVE: Cell<Option<Mutation>> = const { Cell::new(None) };
}

/// Breaks one rule on this thread, or none.
#[cfg(feature = "mutants")]
#[doc(hidden)]
pub fn set_mutation(mutation: Option<Mutation>) {
    ACTIVE.set(mutation);
}

pub(crate) fn is_active(mutation: Mutation) -> bool {
    cfg!(feature = "mutants") && ACTIVE.get() == Some(mutation)
}
