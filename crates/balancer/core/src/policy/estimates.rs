//! Estimates of response times, learnt from responses.
use super::*;

/// Learning rates. For classes and machine kinds: the rate after the first few samples. For zones and single
/// upstreams: time since the last update over the third number, within the first two: rare ones weigh more.
pub(super) const LEARN_CLASS: f64 = 0.01;
const LEARN_KIND: f64 = 0.02;
const LEARN_ZONE: (f64, f64, f64) = (0.05, 0.15, 4e6);
const LEARN_OWN: (f64, f64, f64) = (0.05, 0.5, 5e6);
const RATIO_CAP: f64 = 4.0; // on actual / expected response time: one outlier changes an estimate little
/// An error counts as a response this many times slower than typical: fewer requests, but no exclusion.
const ERROR_FACTOR: f64 = 12.0;
/// Time constant of a zone's slowdown without responses, in microseconds.
pub(super) const ZONE_SPAN: f64 = 2e6;

impl Balancer {
    /// Response time against the typical one: the factor of the machine kind, times those of the zone and the
    /// upstream, which decay without responses, so that no decision rests on old evidence alone.
    pub(super) fn expected_slowdown(&self, u: &Upstream) -> f64 {
        let shared = self.zones[u.entry.zone as usize].decayed(self.now, ZONE_SPAN);
        self.kinds[u.entry.kind as usize].factor * shared * u.slowdown.decayed(self.now, self.decay)
    }

    pub(super) fn learn(&mut self, class: usize, units: f64, i: usize, elapsed: Micros, use_elapsed: bool) {
        let (now, u) = (self.now, &self.upstreams[i]);
        let (kind, zone) = (u.entry.kind as usize, u.entry.zone as usize);
        let (shared, own) = (self.zones[zone].decayed(now, ZONE_SPAN), u.slowdown.decayed(now, self.decay));
        let rate = |s: Slowdown, w: (f64, f64, f64)| ((now - s.at).max(0) as f64 / w.2).clamp(w.0, w.1);
        let (zone_rate, own_rate) = (rate(self.zones[zone], LEARN_ZONE), rate(u.slowdown, LEARN_OWN));
        if !use_elapsed {
            self.upstreams[i].slowdown = Slowdown { factor: own + (ERROR_FACTOR - own) * own_rate, at: now };
            return;
        }
        let (k, kind, zone) = (&mut self.class_stats[class], &mut self.kinds[kind], &mut self.zones[zone]);
        // Light requests queue as long as heavy ones: unweighted, they make every upstream look slow.
        let weight = (units / k.units.max(1e-9)).clamp(0.05, 2.0);
        let deviation = |work: f64| ((elapsed as f64 / work.max(1.0)).min(RATIO_CAP) - 1.0) * weight;
        let first = deviation(k.per_unit * units * kind.factor * shared * own);
        k.samples += 1.0;
        k.per_unit *= 1.0 + first * (1.0 / (k.samples + 4.0)).max(LEARN_CLASS);
        kind.samples += 1.0;
        kind.factor *= 1.0 + first * (1.0 / (kind.samples + 3.0)).max(LEARN_KIND);
        *zone = Slowdown { factor: shared * (1.0 + first * zone_rate), at: now };
        let residual = deviation(k.per_unit * units * kind.factor * zone.factor * own);
        self.upstreams[i].slowdown = Slowdown { factor: own * (1.0 + residual * own_rate), at: now };
    }
}
