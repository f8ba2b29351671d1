//! Decisions on requests: immediate ones, and later ones for pending requests.
use crate::rejection::Rejection;
use silvercross_time::Duration;

/// The immediate decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may be sent now.
    Admitted,
    /// It is pending: an [`Effect`] with its number follows, unless the caller abandons it.
    Pending,
    /// It is rejected.
    Rejected {
        /// Why.
        reason: Rejection,
        /// How long to wait before a retry here, if that is known.
        retry_after: Option<Duration>,
    },
}

/// The decision on a request that was pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The request with this number may be sent now.
    Admitted(u64),
    /// It is rejected.
    Rejected {
        /// The request's number.
        number: u64,
        /// Why.
        reason: Rejection,
        /// How long to wait before a retry here, if that is known.
        retry_after: Option<Duration>,
    },
}
