//! Requests that wait.

use std::collections::BTreeMap;

use silvercross_time::{Duration, Instant};

/// Names a request that waits.
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

/// Requests that wait until their time: at most so many, and at most so many bytes reserved for them. At the limit the
/// newest goes on at once; none is rejected for it.
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
    /// Nothing waits yet.
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

    /// Let a request wait, for which `bytes` are reserved.
    ///
    /// # Errors
    /// The request, where it is to go on at once: the limits are reached, or the node drains or stops.
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

    /// The next request whose time has come, the longest due first.
    pub fn pop(&mut self, now: Instant) -> Option<T> {
        let first = self.waiting.first_entry().filter(|first| first.key().until <= now)?;
        let Waiting { bytes, request } = first.remove();
        self.bytes -= bytes;
        Some(request)
    }

    /// When [`DelayQueue::pop`] next has something.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.waiting.first_key_value().map(|(ticket, _)| ticket.until)
    }

    /// Take a request out whose client is gone.
    pub fn cancel(&mut self, ticket: DelayTicket) -> Option<T> {
        let Waiting { bytes, request } = self.waiting.remove(&ticket)?;
        self.bytes -= bytes;
        Some(request)
    }

    /// The node drains or stops: all that wait go on at once, in the order of their times, and so does all that comes
    /// after.
    pub fn release_all(&mut self) -> Vec<T> {
        self.is_closed = true;
        self.bytes = 0;
        std::mem::take(&mut self.waiting).into_values().map(|waiting| waiting.request).collect()
    }

    /// The node serves on after a drain that was taken back.
    pub fn reopen(&mut self) {
        self.is_closed = false;
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Bytes reserved for them.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// How many went on at once so far because they could not wait.
    pub fn bypassed(&self) -> u64 {
        self.bypassed
    }
}
