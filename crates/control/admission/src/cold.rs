//! The sends to a station, and how many more it bears while cold.

use std::collections::VecDeque;

use crate::{Allowance, Bounds, Micros};

/// The span in which sends are counted.
const SPAN: Micros = 1_000_000;
/// The most sends remembered; the oldest is forgotten first, and no rate allows as many in a span.
const SENDS_MOST: usize = 16_384;
/// The part of the rule's bound that is used.
const SAFE: f64 = 0.8;

/// The exact times of the last sends, and a bucket that spaces them.
#[derive(Debug, Default)]
pub(crate) struct Cold {
    /// The times of the sends in the last span, in order; at most [`SENDS_MOST`].
    sends: VecDeque<Micros>,
    /// When the bucket is full again.
    full_at: Micros,
    rate: Option<Rate>,
}

/// What the rate of the service amounts to.
#[derive(Clone, Copy, Debug)]
struct Rate {
    /// The most sends in any span.
    most: usize,
    /// The time between sends.
    step: Micros,
    /// How far ahead of the steps a burst may run.
    burst: Micros,
}

impl Cold {
    /// Takes the rate of the service; one that isn't above 0 is unknown and limits nothing.
    pub(crate) fn learn(&mut self, bounds: &Bounds, allowance: &Allowance) {
        let rate = allowance.cold_rate;
        if !(rate.is_finite() && rate > 0.0) {
            self.rate = None;
            return;
        }
        let part = |x: f64| if x.is_finite() { x.max(0.0) } else { 0.0 };
        let bound = rate * part(bounds.cold_overrun) + part(bounds.cold_slack);
        let usual = (rate * 1.2).max(1.0).min(bound * SAFE);
        // One is allowed wherever the rule allows one.
        let usual = if bound >= 1.0 { usual.max(1.0) } else { usual }.min((SENDS_MOST - 1) as f64);
        let step = if usual >= 1.0 { (SPAN as f64 / usual).ceil() as Micros } else { SPAN };
        let burst = ((rate * 0.25).max(1.0) - 1.0).min(SENDS_MOST as f64) * step as f64;
        self.rate = Some(Rate { most: usual as usize, step, burst: burst as Micros });
    }

    /// A new life: nothing was sent to it.
    pub(crate) fn reset(&mut self, now: Micros) {
        self.sends.clear();
        self.full_at = now;
    }

    /// When one may be sent with `ahead` before it, by the rate; `None`: never.
    pub(crate) fn ready_at(&self, now: Micros, ahead: usize) -> Option<Micros> {
        let Some(rate) = self.rate else { return Some(now) };
        if rate.most == 0 {
            return None;
        }
        let bucket = self.full_at.saturating_sub(rate.burst).max(now);
        let window = if self.sends.len() < rate.most {
            now
        } else {
            // Both ends of a span belong to it.
            self.sends[self.sends.len() - rate.most] + SPAN + 1
        };
        Some(bucket.max(window).max(now).saturating_add(rate.step.saturating_mul(ahead as Micros)))
    }

    /// One is let through now.
    pub(crate) fn sent(&mut self, now: Micros, cold: bool) {
        while self.sends.front().is_some_and(|&t| t < now - SPAN) || self.sends.len() >= SENDS_MOST {
            self.sends.pop_front();
        }
        self.sends.push_back(now);
        if let (true, Some(rate)) = (cold, self.rate) {
            self.full_at = self.full_at.max(now) + rate.step;
        }
    }

    /// One that was let through at `then` was written only now: it counts from now on.
    pub(crate) fn written(&mut self, then: Micros, now: Micros) {
        if then < now {
            if let Ok(at) = self.sends.binary_search(&then) {
                self.sends.remove(at);
                self.sends.push_back(now);
            }
        }
    }
}
