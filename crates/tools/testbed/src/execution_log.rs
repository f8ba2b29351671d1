//! Which requests ran, and at which upstreams: what the checker goes by.
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Mutex, PoisonError};
use tokio::time::Instant;

/// Which requests ran, and where. Bounded by the length of a run only: it is the checker's memory.
#[derive(Debug, Default)]
pub struct ExecutionLog {
    upstreams_by_attempt: Mutex<BTreeMap<String, Vec<String>>>,
    count_by_upstream: Mutex<BTreeMap<String, u64>>,
    runs: Mutex<Vec<Run>>,
    arrivals: Mutex<BTreeMap<String, Vec<String>>>,
    in_flight: AtomicUsize,
    unrecorded: AtomicU64,
}

/// One run of an attempt at an upstream.
#[derive(Clone, Debug)]
pub struct Run {
    /// The attempt.
    pub attempt: String,
    /// The upstream.
    pub upstream: String,
    /// When it began.
    pub began: Instant,
    /// When it ended, by itself or with its connection; `None` while it is at work.
    pub ended: Option<Instant>,
}

/// A run that is at work; it ends when this is dropped.
pub(crate) struct RunGuard<'a> {
    log: &'a ExecutionLog,
    index: usize,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        let mut runs = self.log.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs[self.index].ended = Some(Instant::now());
    }
}

impl ExecutionLog {
    /// An attempt begins to run at an upstream.
    pub fn record(&self, attempt: &str, upstream: &str) {
        let mut attempts = self.upstreams_by_attempt.lock().unwrap_or_else(PoisonError::into_inner);
        attempts.entry(attempt.into()).or_default().push(upstream.into());
        drop(attempts);
        let mut counts = self.count_by_upstream.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(upstream.into()).or_default() += 1;
    }

    /// The same of one that is at work for as long as the guard lives.
    pub(crate) fn begin(&self, attempt: &str, upstream: &str) -> RunGuard<'_> {
        self.record(attempt, upstream);
        let run =
            Run { attempt: attempt.into(), upstream: upstream.into(), began: Instant::now(), ended: None };
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.push(run);
        RunGuard { log: self, index: runs.len() - 1 }
    }

    /// An attempt has run at a moment, for tests of checkers.
    #[cfg(test)]
    pub(crate) fn record_run_at(&self, attempt: &str, upstream: &str, began: Instant) {
        let run = Run { attempt: attempt.into(), upstream: upstream.into(), began, ended: Some(began) };
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).push(run);
    }

    /// The head of an attempt has arrived at an upstream; it runs once its body has as well.
    pub(crate) fn record_arrival(&self, attempt: &str, upstream: &str) {
        let mut arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        arrivals.entry(attempt.into()).or_default().push(upstream.into());
    }

    /// The upstreams at which the head of an attempt has arrived, in order.
    pub(crate) fn arrivals_of(&self, attempt: &str) -> Vec<String> {
        let arrivals = self.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
        arrivals.get(attempt).cloned().unwrap_or_default()
    }

    /// All runs, in the order in which they began.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// An attempt runs of which only the number is kept.
    pub(crate) fn count_unrecorded(&self) {
        self.unrecorded.fetch_add(1, Relaxed);
    }

    /// The counter of attempts at work now.
    pub(crate) fn in_flight_counter(&self) -> &AtomicUsize {
        &self.in_flight
    }

    /// The upstreams at which an attempt ran, in order.
    pub fn upstreams_of(&self, attempt: &str) -> Vec<String> {
        let attempts = self.upstreams_by_attempt.lock().unwrap_or_else(PoisonError::into_inner);
        attempts.get(attempt).cloned().unwrap_or_default()
    }

    /// How many attempts an upstream ran.
    pub fn count_at(&self, upstream: &str) -> u64 {
        let counts = self.count_by_upstream.lock().unwrap_or_else(PoisonError::into_inner);
        counts.get(upstream).copied().unwrap_or(0)
    }

    /// How many attempts are at work now.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Relaxed)
    }
}
