//! Rules of the data path changed on purpose, so that tests can see the checkers catch it. Without the feature `mutants` no rule
//! can be changed.

/// One rule that is not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mutation {
    /// A sidecar forgets a request that may run once as soon as its attempt has ended.
    ReplayEntryForgotten,
    /// A connection on which something came behind a response is used again.
    SurplusBytesKept,
    /// What another incarnation of a sidecar does not know counts as not begun.
    AnyIncarnation,
    /// What was asked for before it came may still begin.
    LateStartAllowed,
    /// What broke after it was written counts as not begun, also where it may run once.
    NonIdempotentRetried,
    /// A request is served to its end though its client has left.
    DepartedClientServed,
}

#[cfg(all(test, feature = "mutants"))]
thread_local! {
    static ACTIVE: std::cell::Cell<Option<Mutation>> = const { std::cell::Cell::new(None) };
}

/// Change one rule on this thread, or none.
#[cfg(all(test, feature = "mutants"))]
pub(crate) fn set_mutation(mutation: Option<Mutation>) {
    ACTIVE.set(mutation);
}

/// Whether this rule is changed on this thread.
#[cfg(all(test, feature = "mutants"))]
pub(crate) fn is_active(mutation: Mutation) -> bool {
    ACTIVE.get() == Some(mutation)
}

/// No rule can be changed.
#[cfg(not(all(test, feature = "mutants")))]
#[inline(always)]
pub(crate) fn is_active(_: Mutation) -> bool {
    false
}
