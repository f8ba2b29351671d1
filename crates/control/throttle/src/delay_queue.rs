//! Queue of delayed requests.

use std::collections::BTreeMap;

use silvercross_time::{Duration, Instant};

/// Identifies a delayed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DelayTicket {
    until: Instant,
    number: u64,
}

#[derive(Clone, Debug)]
struct Waiting<T> {
    bytes: usize,
    request: T,
}

/// Delayed requests, bounded by their number and by the bytes reserved for them. At a limit a new request is not
/// delayed but forwarded at once; none is rejected.
#[derive(Clone, Debug)]
pub struct DelayQueue<T> {
    waiting: BTreeMap<DelayTicket, Waiting<T>>,
    bytes: usize,
    max_requests: usize,
    max_bytes: usize,
    next_number: u64,
    is_closed: bool,
    bypassed: u64,
}

impl<T> DelayQueue<T> {
    /// Creates an empty queue.
    pub fn new(max_requests: usize, max_bytes: usize) -> DelayQueue<T> {
        DelayQueue {
            waiting: BTreeMap::new(),
            bytes: 0,
            max_requests,
            max_bytes,
            next_number: 0,
            is_closed: false,
            bypassed: 0,
        }
    }

    /// Delays a request by `wait` and reserves `bytes` for it.
    ///
    /// # Errors
    /// Returns the request if it is to be forwarded at once: a limit is reached, or the node drains or stops.
    pub fn push(&mut self, now: Instant, wait: Duration, bytes: usize, request: T) -> Result<DelayTicket, T> {
        let is_full =
            self.waiting.len() >= self.max_requests || bytes > self.max_bytes.saturating_sub(self.bytes);
        if self.is_closed || is_full {
            self.bypassed += 1;
            return Err(request);
        }
        let until = now.saturating_add(wait.max(Duration::ZERO));
        let ticket = DelayTicket { until, number: self.next_number };
        self.next_number += 1;
        self.bytes += bytes;
        self.waiting.insert(ticket, Waiting { bytes, request });
        Ok(ticket)
    }

    /// Removes the next request whose delay is over, earliest deadline first.
    pub fn pop(&mut self, now: Instant) -> Option<T> {
        let first = self.waiting.first_entry().filter(|first| first.key().until <= now)?;
        let Waiting { bytes, request } = first.remove();
        self.bytes -= bytes;
        Some(request)
    }

    /// When [`DelayQueue::pop`] next returns a request.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.waiting.first_key_value().map(|(ticket, _)| ticket.until)
    }

    /// Removes a request, for example because its client disconnected.
    pub fn cancel(&mut self, ticket: DelayTicket) -> Option<T> {
        let Waiting { bytes, request } = self.waiting.remove(&ticket)?;
        self.bytes -= bytes;
        Some(request)
    }

    /// Closes the queue because the node drains or stops. Returns all delayed requests in order of their deadlines;
    /// later ones are not delayed.
    pub fn release_all(&mut self) -> Vec<T> {
        self.is_closed = true;
        self.bytes = 0;
        std::mem::take(&mut self.waiting).into_values().map(|waiting| waiting.request).collect()
    }

    /// Reopens the queue after a cancelled drain.
    pub fn reopen(&mut self) {
        self.is_closed = false;
    }

    /// Number of delayed requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request is delayed.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Bytes reserved for the delayed requests.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of requests so far that were not delayed because of a limit or because the queue was closed.
    pub fn bypassed(&self) -> u64 {
        self.bypassed
    }
}
