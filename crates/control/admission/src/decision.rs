//! What is decided on requests: at once, or later for one that was pending.
use crate::rejection::Rejection;
use silvercross_time::Duration;

/// What happens to a request that asks to be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may be sent now.
    Admitted,
    /// It is pending; an [`Effect`] with its number follows, unless the caller abandons it.
    Pending,
    /// It is rejected.
    Rejected {
        /// For what reason.
        reason: Rejection,
        /// When to try here again at the earliest, if that is known.
        retry_after: Option<Duration>,
    },
}

/// What happens to a request that was pending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The request with this number may be sent now.
    Admitted(u64),
    /// It is rejected.
    Rejected {
        /// The caller's handle.
        number: u64,
        /// For what reason.
        reason: Rejection,
        /// When to try here again at the earliest, if that is known.
        retry_after: Option<Duration>,
    },
}
