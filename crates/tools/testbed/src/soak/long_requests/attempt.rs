//! Long requests and what came of them.
use super::super::departures::SentRequest;
use crate::client::RequestKind;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::time::Instant;

/// A client waits so long, in milliseconds. The route allows a second more.
pub(super) const DEADLINE_MS: u64 = 9_000;

/// How a long request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum LongOutcome {
    /// With a whole response that is right.
    Served,
    /// With a whole response of this status, of the sidecar itself.
    Status(u16),
    /// With a response that is not the upstream's.
    Wrong(String),
    /// Its connection ended without a whole response.
    Cut {
        /// Bytes received until then.
        received: u64,
    },
    /// No connection: not sent.
    NotSent,
    /// Its client has given up at its deadline.
    GivenUp,
}

/// A long request and what came of it.
#[derive(Clone, Debug)]
pub(super) struct LongAttempt {
    pub(super) machine: usize,
    pub(super) id: String,
    pub(super) kind: RequestKind,
    pub(super) is_slow_reader: bool,
    pub(super) sent_at: Instant,
    pub(super) ended_at: Instant,
    pub(super) outcome: LongOutcome,
}

/// All long requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct LongLog {
    attempts: Arc<Mutex<Vec<LongAttempt>>>,
}

impl LongLog {
    /// Add one.
    pub(super) fn add(&self, attempt: LongAttempt) {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner).push(attempt);
    }

    /// The requests so far.
    pub(crate) fn requests(&self) -> Vec<SentRequest> {
        let sent = |attempt: &LongAttempt| SentRequest {
            id: attempt.id.clone(),
            machine: attempt.machine,
            sent_at: attempt.sent_at,
        };
        self.get().iter().map(sent).collect()
    }

    /// All so far.
    pub(super) fn get(&self) -> Vec<LongAttempt> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
