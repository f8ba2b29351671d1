//! Concurrency limits, expected waits and reasons to admit nothing. Nothing here changes the controller.
use crate::controller::AdmissionController;
use crate::limits::{MAX_RETRY_AFTER, MAX_SLOTS, MIN_RETRY_AFTER, UPSTREAM_QUEUE_SLOTS};
use crate::rejection::Rejection;
use crate::upstream::UpstreamState;
use silvercross_time::{Duration, Instant};

/// The service time assumed for `retry_after` while none is known.
const UNKNOWN_SERVICE_TIME: Duration = Duration::from_millis(100);
/// Pending requests for each slot.
const PENDING_PER_SLOT: usize = 4;
/// The least capacity for pending requests, whatever the slots.
const MIN_PENDING_CAPACITY: usize = 16;

impl AdmissionController {
    pub(crate) fn is_warming_up(&self, now: Instant) -> bool {
        now < self.warmup_ends.latest()
    }

    /// How many requests the upstream processes concurrently, within 1 and [`MAX_SLOTS`].
    pub(crate) fn slots(&self) -> u32 {
        self.report.as_ref().map_or(1, |report| report.slots.clamp(1, MAX_SLOTS))
    }

    /// How many requests may be pending.
    pub(crate) fn pending_capacity(&self) -> usize {
        (self.slots() as usize * PENDING_PER_SLOT).max(MIN_PENDING_CAPACITY)
    }

    /// The limit on concurrent requests in flight of an upstream that is not warming up.
    fn warm_concurrency_limit(&self) -> u32 {
        let mut limit = self.slots() + UPSTREAM_QUEUE_SLOTS;
        if let Some(lowered) = self.lowered_limit {
            limit = limit.min(lowered.limit.max(self.slots()));
        }
        match self.limits.max_connections {
            0 => limit,
            // Leaves one of the upstream's connections unused.
            max_connections => limit.min(max_connections - 1).max(1),
        }
    }

    /// The limit on concurrent requests in flight.
    pub(crate) fn concurrency_limit(&self, now: Instant) -> u32 {
        match self.is_warming_up(now) {
            true => self.warm_concurrency_limit().min((self.slots() / 2).max(1)),
            false => self.warm_concurrency_limit(),
        }
    }

    /// Why nothing is admitted, whatever the load; `None`: admission is open.
    pub(crate) fn closed_reason(&self, now: Instant) -> Option<Rejection> {
        match self.state {
            _ if self.report.is_none() => Some(Rejection::NoUpstream),
            UpstreamState::Silent | UpstreamState::SignedOff => Some(Rejection::NoUpstream),
            UpstreamState::Draining(until) if now >= until => Some(Rejection::Draining),
            _ if self.is_evacuated => Some(Rejection::Evacuated),
            _ => None,
        }
    }

    /// Whether the concurrency limit and the warm-up rate allow a request now.
    pub(crate) fn has_capacity(&self, now: Instant) -> bool {
        self.in_flight.current_count() < self.concurrency_limit(now)
            && (!self.is_warming_up(now) || self.pacer.ready_at(now, 0).is_some_and(|at| at <= now))
    }

    /// Which limit delays the pending requests.
    pub(crate) fn bottleneck(&self, now: Instant) -> Rejection {
        match self.is_warming_up(now) && self.in_flight.current_count() < self.warm_concurrency_limit() {
            true => Rejection::WarmingUp,
            false => Rejection::AtCapacity,
        }
    }

    /// How long a request is in flight, 0 if unknown: the smoothed service time, or half the mean age of the requests in
    /// flight if that is longer.
    pub(crate) fn expected_service_time(&self, now: Instant) -> Duration {
        self.service_time.unwrap_or(Duration::ZERO).max(self.in_flight.mean_age(now) / 2)
    }

    /// An estimate of how long a request with `ahead` others before it waits.
    pub(crate) fn expected_wait(&self, now: Instant, ahead: usize, service_time: Duration) -> Duration {
        let limit = i64::from(self.concurrency_limit(now).max(1));
        let excess = i64::from(self.in_flight.current_count()) + ahead as i64 + 1 - limit;
        let mut wait = if excess > 0 { service_time.saturating_mul(excess) / limit } else { Duration::ZERO };
        if self.is_warming_up(now) {
            let warmup_end = self.warmup_ends.latest();
            wait =
                wait.max(self.pacer.ready_at(now, ahead).map_or(warmup_end, |at| at.min(warmup_end)) - now);
        }
        wait
    }

    /// The `retry_after` of a request with `ahead` others before it.
    pub(crate) fn retry_after_behind(&self, now: Instant, ahead: usize) -> Option<Duration> {
        let service_time = match self.service_time {
            Some(_) => self.expected_service_time(now),
            None => UNKNOWN_SERVICE_TIME,
        };
        Some(self.expected_wait(now, ahead, service_time).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
    }

    /// The `retry_after` of a pending request that is rejected for this reason.
    pub(crate) fn retry_after(&self, now: Instant, reason: Rejection) -> Option<Duration> {
        match reason {
            Rejection::WarmingUp | Rejection::AtCapacity => self.retry_after_behind(now, self.pending.len()),
            _ => None,
        }
    }
}
