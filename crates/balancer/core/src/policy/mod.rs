//! ALL decisions of silvercross, one concern a file; its types, events and actions are in `interface.rs`.
//! The mechanism is the design page's (docs/design.md): an upstream is excluded for a growing cooldown after
//! transport failures, readmitted by the next real request, dead only when successes elsewhere corroborate.

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
/// Rates are counted over about this time.
const RATE_OVER: f64 = 6e6;
const LIST_TOKEN: u64 = 1 << 60;

/// What is taken of a class before its answers tell.
fn guess(c: &Class) -> Usual {
    Usual { per_unit: c.latency_target as f64 * 0.12, unit: 1.0, seen: 0.0, budget: 0, votes: 0 }
}

impl Balancer {
    /// A new instance, at its start; its first event should be the stale copy of the list.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut zone_order: Vec<u32> = (0..settings.zones).filter(|z| *z != settings.own_zone).collect();
        for i in (1..zone_order.len()).rev() {
            zone_order.swap(i, (rng.next_u64() % (i as u64 + 1)) as usize);
        }
        let usual = settings.classes.iter().map(guess).collect();
        let (spread, retry_tokens) = (1.5, settings.max_saved_retries.unwrap_or(admission::RETRY_CAP) / 2.0);
        Balancer { zone_order, usual, spread, retry_tokens, ..Balancer::blank(settings, rng, now) }
    }

    /// Take one event and append what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::List { kind, entries } => self.on_list(kind, entries, out),
            Event::Settings { settings, previous } => {
                let known = |f: &Option<u32>| f.and_then(|f| self.usual.get(f as usize).copied());
                let usual = settings.classes.iter().zip(previous).map(|(c, f)| known(f).unwrap_or(guess(c)));
                (self.usual, self.set) = (usual.collect(), settings.clone());
            }
            Event::Request(r) => self.on_request(r, out),
            Event::AttemptEnded(e) => self.on_ended(e, out),
            Event::StreamStarted { request, attempt } => self.on_stream(request, attempt, out),
            Event::RequestGone { request } => self.close(request, out),
            Event::Timer { token: LIST_TOKEN } if !self.subscribed && !self.asked => {
                self.asked = true;
                out.push(Action::Subscribe(true));
            }
            Event::Timer { token } => self.review(RequestId(token), out),
            Event::ProbeEnded { .. } => {}
        }
    }
}
