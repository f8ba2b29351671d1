//! All decisions of the balancer, one concern per file; settings, events and actions are in `interface.rs`.
//! Transport failures exclude an upstream for a growing cooldown, the next real request readmits it, and it
//! is dead only when responses elsewhere corroborate that (docs/design.md).

mod admission;
mod attempts;
mod cold;
mod estimates;
mod list;
mod liveness;
mod pick;

use crate::interface::*;
pub use crate::state::Balancer;
use crate::state::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// Time constant of rates, in microseconds.
const RATE_SPAN: f64 = 6e6;
const LIST_TOKEN: u64 = 1 << 60;

/// Estimates for a class without samples.
fn prior(c: &Class) -> ClassStats {
    ClassStats { per_unit: c.latency_target as f64 * 0.12, units: 1.0, samples: 0.0, budget: 0, votes: 0 }
}

impl Balancer {
    /// A new instance; its first event should be the stale copy of the list.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut zone_order: Vec<u32> = (0..settings.zones).filter(|z| *z != settings.own_zone).collect();
        for i in (1..zone_order.len()).rev() {
            zone_order.swap(i, (rng.next_u64() % (i as u64 + 1)) as usize);
        }
        let class_stats = settings.classes.iter().map(prior).collect();
        let (margin, retry_tokens) = (1.5, settings.max_saved_retries.unwrap_or(admission::MAX_SAVED) / 2.0);
        Balancer { zone_order, class_stats, margin, retry_tokens, ..Balancer::empty(settings, rng, now) }
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::List { kind, entries } => self.on_list(kind, entries, out),
            Event::Settings { settings, previous } => {
                let known = |f: &Option<u32>| f.and_then(|f| self.class_stats.get(f as usize).copied());
                let stats = settings.classes.iter().zip(previous).map(|(c, f)| known(f).unwrap_or(prior(c)));
                (self.class_stats, self.cfg) = (stats.collect(), settings.clone());
            }
            Event::Request(r) => self.on_request(r, out),
            Event::AttemptEnded(e) => self.on_attempt_ended(e, out),
            Event::StreamStarted { request, attempt } => self.on_stream_started(request, attempt, out),
            Event::RequestGone { request } => self.on_request_gone(request, out),
            Event::Timer { token: LIST_TOKEN } if !self.subscribed && !self.subscribe_sent => {
                self.subscribe_sent = true;
                out.push(Action::Subscribe(true));
            }
            Event::Timer { token } => self.on_limit_passed(RequestId(token), out),
            Event::ProbeEnded { .. } => {}
        }
    }
}
