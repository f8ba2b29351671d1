//! Requests that wait to be admitted, ordered by priority and then by arrival.
use silvercross_time::Instant;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The position of a pending request: by priority, then by arrival.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) struct QueuePosition {
    pub(crate) priority: u32,
    sequence: u64,
}

/// A request that waits to be admitted.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub(crate) number: u64,
    pub(crate) attempt_id: Arc<str>,
    pub(crate) is_idempotent: bool,
    pub(crate) is_retry: bool,
    /// When it is rejected unless it is admitted before.
    pub(crate) until: Instant,
    pub(crate) deadline: Instant,
}

/// When a pending request is rejected.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(crate) struct Expiry {
    pub(crate) at: Instant,
    pub(crate) position: QueuePosition,
}

/// All pending requests. Invariant: `positions` and `expiries` have exactly one entry for each of `requests`.
#[derive(Debug, Default)]
pub(crate) struct PendingQueue {
    requests: BTreeMap<QueuePosition, PendingRequest>,
    positions: BTreeMap<u64, QueuePosition>,
    expiries: BTreeSet<Expiry>,
    next_sequence: u64,
}

impl PendingQueue {
    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    pub(crate) fn contains(&self, number: u64) -> bool {
        self.positions.contains_key(&number)
    }

    pub(crate) fn get(&self, position: QueuePosition) -> Option<&PendingRequest> {
        self.requests.get(&position)
    }

    /// The request that is admitted next.
    pub(crate) fn first(&self) -> Option<QueuePosition> {
        self.requests.keys().next().copied()
    }

    /// The newest request of the lowest priority.
    pub(crate) fn last(&self) -> Option<QueuePosition> {
        self.requests.keys().next_back().copied()
    }

    /// The request whose pending time ends first, and when.
    pub(crate) fn next_expiry(&self) -> Option<Expiry> {
        self.expiries.first().copied()
    }

    /// How many requests would be ahead of a new one of this priority.
    pub(crate) fn count_ahead_of(&self, priority: u32) -> usize {
        self.requests.range(..=QueuePosition { priority, sequence: u64::MAX }).count()
    }

    /// Adds a request behind those of its priority.
    pub(crate) fn push(&mut self, priority: u32, request: PendingRequest) {
        let position = QueuePosition { priority, sequence: self.next_sequence };
        self.next_sequence += 1;
        self.positions.insert(request.number, position);
        self.expiries.insert(Expiry { at: request.until, position });
        self.requests.insert(position, request);
    }

    /// Removes the request at a position.
    pub(crate) fn take(&mut self, position: QueuePosition) -> Option<PendingRequest> {
        let request = self.requests.remove(&position)?;
        self.positions.remove(&request.number);
        self.expiries.remove(&Expiry { at: request.until, position });
        Some(request)
    }

    /// Removes the request with this number.
    pub(crate) fn take_number(&mut self, number: u64) -> Option<PendingRequest> {
        let position = self.positions.get(&number).copied()?;
        self.take(position)
    }
}
