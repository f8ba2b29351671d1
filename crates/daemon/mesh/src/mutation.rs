//! The data path's rules broken on purpose, so that the judge of its tests can be judged. Without the feature `mutants` nothing
//! heeds them.

/// One rule that is not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// A gate forgets a ticket as soon as its attempt has ended.
    ReplayEntryForgotten,
    /// A connection on which something came behind an answer is used again.
    SurplusBytesKept,
    /// What another life of a gate's process does not know counts as not begun.
    AnyIncarnation,
    /// What was asked for before it came may still begin.
    LateStartAllowed,
    /// What broke after it was written counts as not begun, also where it may run once.
    NonIdempotentRetried,
}

#[cfg(all(test, feature = "mutants"))]
thread_local! {
    static BROKEN: std::cell::Cell<Option<Mutation>> = const { std::cell::Cell::new(None) };
}

/// Breaks one rule on this thread, or none.
#[cfg(all(test, feature = "mutants"))]
pub fn set_mutation(broken: Option<Mutation>) {
    BROKEN.set(broken);
}

#[cfg(all(test, feature = "mutants"))]
pub fn is_active(broken: Mutation) -> bool {
    BROKEN.get() == Some(broken)
}

#[cfg(not(all(test, feature = "mutants")))]
#[inline(always)]
pub fn is_active(_: Mutation) -> bool {
    false
}
