//! Rules broken on purpose, so that the judge can be judged. Without the feature `mutants` nothing heeds them.

/// One rule that is not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broken {
    /// What a lost part may still be used for is given to others.
    PartNotFenced,
    /// Each try of an order is charged.
    ChargeByTry,
    /// What may have run is given back.
    GivesBackUnknown,
    /// A node begins a window by its own clock.
    WindowByOwnClock,
    /// A part that was settled is counted again when it is told again.
    CountedTwice,
}

#[cfg(feature = "mutants")]
thread_local! {
    static BROKEN: std::cell::Cell<Option<Broken>> = const { std::cell::Cell::new(None) };
}

/// Breaks one rule on this thread, or none.
#[cfg(feature = "mutants")]
pub fn set(broken: Option<Broken>) {
    BROKEN.set(broken);
}

#[cfg(feature = "mutants")]
pub(crate) fn is(broken: Broken) -> bool {
    BROKEN.get() == Some(broken)
}

#[cfg(not(feature = "mutants"))]
pub(crate) fn is(_: Broken) -> bool {
    false
}
