//! Rules changed on purpose, so that tests of the checkers can see them caught. Without the feature `mutants` nothing heeds
//! them.

/// One rule that is not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// What a lost lease may still be used for is given to others.
    ReusesLostLeases,
    /// Each attempt of an order is charged.
    ChargesEachAttempt,
    /// What may have run is refunded.
    RefundsUnknown,
    /// A node begins a window by its own clock.
    EndsWindowByOwnClock,
    /// A lease that was settled is counted again when it is settled again.
    CountsSettledTwice,
}

#[cfg(feature = "mutants")]
thread_local! {
    static MUTATION: std::cell::Cell<Option<Mutation>> = const { std::cell::Cell::new(None) };
}

/// Changes one rule on this thread, or none.
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
