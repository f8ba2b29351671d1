//! Mutations that break rules of the data path, so that tests can verify that the checkers detect them. Without the feature
//! `mutants` no mutation can be active.

/// A rule that is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mutation {
    /// A sidecar forgets a request that may run only once as soon as its attempt has ended.
    ReplayEntryForgotten,
    /// A connection on which surplus bytes followed a response is reused.
    SurplusBytesKept,
    /// An attempt that another incarnation of a sidecar does not know counts as not started.
    AnyIncarnation,
    /// An attempt whose outcome was queried before it arrived may still start.
    LateStartAllowed,
    /// An attempt that failed after it was written counts as not started, even if the request may run only once.
    NonIdempotentRetried,
    /// A request is served to its end though its client has disconnected.
    DepartedClientServed,
}

#[cfg(all(test, feature = "mutants"))]
thread_local! {
    static ACTIVE: std::cell::Cell<Option<Mutation>> = const { std::cell::Cell::new(None) };
}

/// Activates one mutation on this thread, or none.
#[cfg(all(test, feature = "mutants"))]
pub(crate) fn set_mutation(mutation: Option<Mutation>) {
    ACTIVE.set(mutation);
}

/// Whether the mutation is active on this thread.
#[cfg(all(test, feature = "mutants"))]
pub(crate) fn is_active(mutation: Mutation) -> bool {
    ACTIVE.get() == Some(mutation)
}

/// No mutation can be active.
#[cfg(not(all(test, feature = "mutants")))]
#[inline(always)]
pub(crate) fn is_active(_: Mutation) -> bool {
    false
}
