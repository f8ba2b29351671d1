//! Requests that wait.

use std::collections::BTreeMap;

use silvercross_control_store::Micros;

/// Names a request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DelayTicket {
    until: Micros,
    number: u64,
}

/// Requests that wait until their time: at most so many, and at most so many bytes held for them. At the bound the newest
/// goes on at once; none is refused for it.
#[derive(Clone, Debug)]
pub struct DelayQueue<T> {
    waiting: BTreeMap<DelayTicket, (usize, T)>,
    bytes: usize,
    most: usize,
    most_bytes: usize,
    next: u64,
    closed: bool,
    bypassed: u64,
}

impl<T> DelayQueue<T> {
    /// Nothing waits yet.
    pub fn new(most: usize, most_bytes: usize) -> DelayQueue<T> {
        DelayQueue {
            waiting: BTreeMap::new(),
            bytes: 0,
            most,
            most_bytes,
            next: 0,
            closed: false,
            bypassed: 0,
        }
    }

    /// Let a request wait, for which `bytes` are held. It is handed back where it is to go on at once: the bounds are
    /// reached, or the node drains or stops.
    pub fn push(&mut self, now: Micros, wait: Micros, bytes: usize, request: T) -> Result<DelayTicket, T> {
        let full = self.waiting.len() >= self.most || bytes > self.most_bytes.saturating_sub(self.bytes);
        if self.closed || full {
            self.bypassed += 1;
            return Err(request);
        }
        let ticket = DelayTicket { until: now.saturating_add(wait.max(0)), number: self.next };
        self.next += 1;
        self.bytes += bytes;
        self.waiting.insert(ticket, (bytes, request));
        Ok(ticket)
    }

    /// The next request whose time has come, the longest due first.
    pub fn pop(&mut self, now: Micros) -> Option<T> {
        let first = self.waiting.first_entry().filter(|first| first.key().until <= now)?;
        let (bytes, request) = first.remove();
        self.bytes -= bytes;
        Some(request)
    }

    /// When [`DelayQueue::pop`] next has something.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.waiting.first_key_value().map(|(ticket, _)| ticket.until)
    }

    /// Take a request out whose client is gone.
    pub fn cancel(&mut self, ticket: DelayTicket) -> Option<T> {
        let (bytes, request) = self.waiting.remove(&ticket)?;
        self.bytes -= bytes;
        Some(request)
    }

    /// The node drains or stops: all that wait go on at once, in the order of their times, and so does all that comes
    /// after.
    pub fn release_all(&mut self) -> Vec<T> {
        self.closed = true;
        self.bytes = 0;
        std::mem::take(&mut self.waiting).into_values().map(|(_, request)| request).collect()
    }

    /// The node serves on after a drain that was taken back.
    pub fn reopen(&mut self) {
        self.closed = false;
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Bytes held for them.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// How many went on at once so far because they could not wait.
    pub fn bypassed(&self) -> u64 {
        self.bypassed
    }
}
