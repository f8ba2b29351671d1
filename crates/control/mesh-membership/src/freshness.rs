//! Freshness of a node's control entries, as determined by `freshness_check` and `freshness_requests`.
use silvercross_time::Duration;

/// Whether a node's control entries include everything that a majority had acknowledged before it started.
/// Durations are measured from its start.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Freshness {
    /// Not yet known.
    Waiting,
    /// The entries include it.
    Current {
        /// How long it took.
        after: Duration,
    },
    /// Not determined within [`READINESS_TIMEOUT`](crate::READINESS_TIMEOUT) of the start and
    /// [`READINESS_GRACE`](crate::READINESS_GRACE) of the first control entry.
    TimedOut {
        /// How long it took.
        after: Duration,
    },
}

/// A deliberate protocol bug, used to test that the checkers detect it. Has no effect without the feature
/// `mutants`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// A control node answers from its own control entries without asking a majority.
    AnswersWithoutMajority,
    /// A request joins the read that is already in flight.
    JoinsReadInFlight,
    /// A control entry is sent at once and without a request, whatever is in flight on the link.
    SendsEveryVersion,
    /// A control entry is requested at once, even if an earlier request is unanswered.
    AsksForEveryVersion,
    /// Counts a majority over all control nodes that were ever known, replaced ones included.
    CountsFormerControlNodes,
}
