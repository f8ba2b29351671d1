//! The sends to an upstream, and how many more it bears while it warms up: a token bucket that spaces them, and a sliding
//! window that keeps the rule exactly.
use crate::settings::{AdmissionSettings, UpstreamLimits};
use silvercross_time::{Duration, Instant};
use std::collections::VecDeque;

/// The span in which sends are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// The most sends remembered; the oldest is forgotten first, and no rate allows as many in a window.
const MAX_SENDS: usize = 16_384;
/// The part of the rule's bound that is used.
const SAFE_PART: f64 = 0.8;
/// The usual rate over the service's own, within the rule's bound.
const USUAL_OVERRUN: f64 = 1.2;
/// The part of a second's sends that may come at once.
const BURST_PART: f64 = 0.25;

/// The exact times of the last sends, and a bucket that spaces them.
#[derive(Debug)]
pub(crate) struct WarmupPacer {
    /// The times of the sends in the last window, in order; at most [`MAX_SENDS`].
    sends: VecDeque<Instant>,
    /// When the bucket is full again.
    full_at: Instant,
    rate: Option<Rate>,
}

/// What the rate of the service amounts to.
#[derive(Clone, Copy, Debug)]
struct Rate {
    /// The most sends in any window.
    max_sends: usize,
    /// The time between sends.
    interval: Duration,
    /// How far ahead of the intervals a burst may run.
    burst: Duration,
}

impl WarmupPacer {
    /// Nothing was sent, and no rate is known.
    pub(crate) fn new() -> Self {
        WarmupPacer { sends: VecDeque::new(), full_at: Instant::ZERO, rate: None }
    }

    /// Takes the rate of the service; one that isn't above 0 is unknown and limits nothing.
    pub(crate) fn set_rate(&mut self, settings: &AdmissionSettings, limits: &UpstreamLimits) {
        let rate = limits.warmup_rate;
        if !(rate.is_finite() && rate > 0.0) {
            self.rate = None;
            return;
        }
        let part = |x: f64| if x.is_finite() { x.max(0.0) } else { 0.0 };
        let bound = rate * part(settings.warmup_overrun) + part(settings.warmup_slack);
        let usual = (rate * USUAL_OVERRUN).max(1.0).min(bound * SAFE_PART);
        // One is allowed wherever the rule allows one.
        let usual = if bound >= 1.0 { usual.max(1.0) } else { usual }.min((MAX_SENDS - 1) as f64);
        let window = WINDOW.as_micros();
        let interval = if usual >= 1.0 { (window as f64 / usual).ceil() as i64 } else { window };
        let burst = ((rate * BURST_PART).max(1.0) - 1.0).min(MAX_SENDS as f64) * interval as f64;
        self.rate = Some(Rate {
            max_sends: usual as usize,
            interval: Duration::from_micros(interval),
            burst: Duration::from_micros(burst as i64),
        });
    }

    /// A new incarnation: nothing was sent to it.
    pub(crate) fn reset(&mut self, now: Instant) {
        self.sends.clear();
        self.full_at = now;
    }

    /// When a request may be sent with `ahead` before it, by the rate; `None`: never.
    pub(crate) fn ready_at(&self, now: Instant, ahead: usize) -> Option<Instant> {
        let Some(rate) = self.rate else { return Some(now) };
        if rate.max_sends == 0 {
            return None;
        }
        let bucket = self.full_at.saturating_add(-rate.burst).max(now);
        let window = if self.sends.len() < rate.max_sends {
            now
        } else {
            // Both ends of a window belong to it.
            self.sends[self.sends.len() - rate.max_sends] + WINDOW + Duration::from_micros(1)
        };
        Some(bucket.max(window).max(now).saturating_add(rate.interval.saturating_mul(ahead as i64)))
    }

    /// A request is admitted now.
    pub(crate) fn sent(&mut self, now: Instant, is_warming_up: bool) {
        while self.sends.front().is_some_and(|at| *at < now - WINDOW) || self.sends.len() >= MAX_SENDS {
            self.sends.pop_front();
        }
        self.sends.push_back(now);
        if let (true, Some(rate)) = (is_warming_up, self.rate) {
            self.full_at = self.full_at.max(now) + rate.interval;
        }
    }

    /// A request that was admitted at `then` is written only now: it counts from now on.
    pub(crate) fn written(&mut self, then: Instant, now: Instant) {
        if then < now {
            if let Ok(at) = self.sends.binary_search(&then) {
                self.sends.remove(at);
                self.sends.push_back(now);
            }
        }
    }
}
