//! Rules broken on purpose, so that tests can show that the checkers detect each. Without the feature `mutants` they
//! have no effect.

/// A rule to break.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// The units of a lost lease are granted to others although its node has not settled it.
    ReusesLostLeases,
    /// Every attempt of an order is charged.
    ChargesEachAttempt,
    /// Requests that may have run are refunded.
    RefundsUnknown,
    /// A node starts a window by its own clock.
    EndsWindowByOwnClock,
    /// Settling a settled lease again counts its units again.
    CountsSettledTwice,
}

#[cfg(feature = "mutants")]
thread_local! {
    static MUTATION: std::cell::Cell<Option<Mutation>> = const { std::cell::Cell::new(None) };
}

/// Breaks one rule on this thread, or none.
#[cfg(feature = "mutants")]
pub fn set_mutation(mutation: Option<Mutation>) {
    MUTATION.set(mutation);
}

#[cfg(feature = "mutants")]
pub(crate) fn is_active(mutation: Mutation) -> bool {
    MUTATION.get() == Some(mutation)
}

#[cfg(not(feature = "mutants"))]
pub(crate) fn is_active(_: Mutation) -> bool {
    false
}
