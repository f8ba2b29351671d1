//! Pacing of requests while the upstream warms up: a token bucket spaces them, and a sliding window enforces the limit per
//! second exactly.
use crate::settings::{AdmissionSettings, UpstreamLimits};
use silvercross_time::{Duration, Instant};
use std::collections::VecDeque;

/// The length of the sliding window.
const WINDOW: Duration = Duration::from_secs(1);
/// The most sends remembered; the oldest is forgotten first. The sends allowed in a window are always fewer.
const MAX_SENDS: usize = 16_384;
/// The part of the allowed rate that is used.
const SAFETY_FACTOR: f64 = 0.8;
/// The target rate as a multiple of the service's warm-up rate; the allowed rate limits it further.
const TARGET_RATE_FACTOR: f64 = 1.2;
/// The burst size, as a part of the sends of one second.
const BURST_FRACTION: f64 = 0.25;

/// A sliding window over the send times, and a token bucket.
#[derive(Debug)]
pub(crate) struct WarmupPacer {
    /// The times of the sends in the last window, in ascending order; at most [`MAX_SENDS`].
    sends: VecDeque<Instant>,
    /// When the token bucket is full again.
    bucket_full_at: Instant,
    pacing: Option<PacingLimits>,
}

/// Limits derived from the service's warm-up rate.
#[derive(Clone, Copy, Debug)]
struct PacingLimits {
    /// The most sends in any window.
    max_sends: usize,
    /// The interval between sends.
    interval: Duration,
    /// How far a burst may run ahead of the interval.
    burst: Duration,
}

impl WarmupPacer {
    /// A pacer without sends and without a known rate.
    pub(crate) fn new() -> Self {
        WarmupPacer { sends: VecDeque::new(), bucket_full_at: Instant::ZERO, pacing: None }
    }

    /// Sets the service's warm-up rate; a rate that isn't above 0 is unknown and limits nothing.
    pub(crate) fn set_rate(&mut self, settings: &AdmissionSettings, limits: &UpstreamLimits) {
        let rate = limits.warmup_rate;
        if !(rate.is_finite() && rate > 0.0) {
            self.pacing = None;
            return;
        }
        let finite_or_zero = |x: f64| if x.is_finite() { x.max(0.0) } else { 0.0 };
        let max_rate = rate * finite_or_zero(settings.warmup_overrun) + finite_or_zero(settings.warmup_slack);
        let target_rate = (rate * TARGET_RATE_FACTOR).max(1.0).min(max_rate * SAFETY_FACTOR);
        // At least one send per window where the allowed rate permits it.
        let target_rate =
            if max_rate >= 1.0 { target_rate.max(1.0) } else { target_rate }.min((MAX_SENDS - 1) as f64);
        let window_us = WINDOW.as_micros();
        let interval =
            if target_rate >= 1.0 { (window_us as f64 / target_rate).ceil() as i64 } else { window_us };
        let burst = ((rate * BURST_FRACTION).max(1.0) - 1.0).min(MAX_SENDS as f64) * interval as f64;
        self.pacing = Some(PacingLimits {
            max_sends: target_rate as usize,
            interval: Duration::from_micros(interval),
            burst: Duration::from_micros(burst as i64),
        });
    }

    /// Forgets all sends, for a new incarnation.
    pub(crate) fn reset(&mut self, now: Instant) {
        self.sends.clear();
        self.bucket_full_at = now;
    }

    /// When a request with `ahead` others before it may be sent; `None`: never.
    pub(crate) fn ready_at(&self, now: Instant, ahead: usize) -> Option<Instant> {
        let Some(pacing) = self.pacing else { return Some(now) };
        if pacing.max_sends == 0 {
            return None;
        }
        let bucket_ready_at = self.bucket_full_at.saturating_add(-pacing.burst).max(now);
        let window_ready_at = if self.sends.len() < pacing.max_sends {
            now
        } else {
            // A window includes both of its ends.
            self.sends[self.sends.len() - pacing.max_sends] + WINDOW + Duration::from_micros(1)
        };
        Some(
            bucket_ready_at
                .max(window_ready_at)
                .max(now)
                .saturating_add(pacing.interval.saturating_mul(ahead as i64)),
        )
    }

    /// Records the admission of a request, which counts as its send until [`WarmupPacer::record_write`].
    pub(crate) fn record_send(&mut self, now: Instant, is_warming_up: bool) {
        while self.sends.front().is_some_and(|at| *at < now - WINDOW) || self.sends.len() >= MAX_SENDS {
            self.sends.pop_front();
        }
        self.sends.push_back(now);
        if let (true, Some(pacing)) = (is_warming_up, self.pacing) {
            self.bucket_full_at = self.bucket_full_at.max(now) + pacing.interval;
        }
    }

    /// A request that was admitted at `admitted_at` is written only now: moves its send to now.
    pub(crate) fn record_write(&mut self, admitted_at: Instant, now: Instant) {
        if admitted_at < now {
            if let Ok(at) = self.sends.binary_search(&admitted_at) {
                self.sends.remove(at);
                self.sends.push_back(now);
            }
        }
    }
}
