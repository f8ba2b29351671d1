//! Rules left out on purpose, for the tests' own test.

use std::cell::Cell;

/// How applying a call is broken on purpose; without the feature `mutants` nothing heeds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Of two calls under one version both are done.
    SameVersionTwice,
    /// What was overtaken is not remembered: of two calls under one overtaken version both are done.
    OvertakenForgotten,
    /// A call that was taken is refused once a later version stands.
    RefusesRepeat,
    /// A setting whose drop is no longer remembered by name comes back.
    DropsForgotten,
    /// What a refused call overtakes, and was not known, is remembered all the same.
    NotesRefused,
}

thread_local! {
    static BROKEN: Cell<Option<Mutation>> = const { Cell::new(None) };
}

/// Breaks a rule on this thread until it is called again.
#[cfg(feature = "mutants")]
#[doc(hidden)]
pub fn set_mutation(broken: Option<Mutation>) {
    BROKEN.set(broken);
}

pub(crate) fn is(broken: Mutation) -> bool {
    cfg!(feature = "mutants") && BROKEN.get() == Some(broken)
}
