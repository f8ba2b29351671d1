//! What is known of a node's control entries against those that a majority had. How it is found out stands in
//! `freshness_check` and `freshness_requests`.
use silvercross_time::Duration;

/// What is known of a node's control entries against those that a majority had acknowledged before it started. Durations
/// are counted from its start.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Freshness {
    /// Not yet known.
    Waiting,
    /// It has them, since then.
    Current {
        /// How long it took.
        after: Duration,
    },
    /// It could not be found out within [`READINESS_TIMEOUT`](crate::READINESS_TIMEOUT), or
    /// [`READINESS_GRACE`](crate::READINESS_GRACE) after the first control entry.
    TimedOut {
        /// How long it took.
        after: Duration,
    },
}

/// A rule of this package that is changed on purpose, so that tests see their checkers catch it. Without the feature `mutants`
/// nothing heeds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// A control node answers from its own control entries, and asks no majority.
    AnswersWithoutMajority,
    /// A request joins the one that is in flight already.
    JoinsReadInFlight,
    /// A control entry goes at once and unasked, whatever is on its way on the link.
    SendsEveryVersion,
    /// A control entry is asked for at once, whatever was asked for before and has not arrived.
    AsksForEveryVersion,
}
