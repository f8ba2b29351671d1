//! How slow each upstream is expected to be, learnt from its answers.
use super::*;

/// Weight of an answer, after a few, in the usual and its kind's speed; in its zone's crowding and its
/// upstream's own part it goes by the time since the last over the third: most where answers are rare.
pub(super) const LEARN_USUAL: f64 = 0.01;
const LEARN_KIND: f64 = 0.02;
const LEARN_ZONE: (f64, f64, f64) = (0.05, 0.15, 4e6);
const LEARN_OWN: (f64, f64, f64) = (0.05, 0.5, 5e6);
const SURPRISE_CAP: f64 = 4.0;
/// An error counts like an answer so many times as slow as usual: passed over softly, never excluded.
const ERROR_SLOW: f64 = 12.0;
/// Crowding fades like this without answers.
pub(super) const FADE: f64 = 2e6;

impl Balancer {
    /// How slow this upstream is against the usual: the speed of its kind, times the crowding of its zone and
    /// what sets it apart, which fade without answers, so that nothing rests on old evidence alone.
    pub(super) fn slowness(&self, u: &Upstream) -> f64 {
        let crowd = self.zones[u.entry.zone as usize].faded(self.now, FADE);
        self.kinds[u.entry.kind as usize].slow * crowd * u.seen.faded(self.now, self.hold)
    }

    pub(super) fn learn(&mut self, class: usize, unit: f64, i: usize, elapsed: Micros, served: bool) {
        let (now, u) = (self.now, &self.upstreams[i]);
        let (kind, zone) = (u.entry.kind as usize, u.entry.zone as usize);
        let (crowd, own) = (self.zones[zone].faded(now, FADE), u.seen.faded(now, self.hold));
        let part = |s: Seen, w: (f64, f64, f64)| ((now - s.fed).max(0) as f64 / w.2).clamp(w.0, w.1);
        let (of_zone, of_own) = (part(self.zones[zone], LEARN_ZONE), part(u.seen, LEARN_OWN));
        if !served {
            self.upstreams[i].seen = Seen { slow: own + (ERROR_SLOW - own) * of_own, fed: now };
            return;
        }
        let (k, kind, zone) = (&mut self.usual[class], &mut self.kinds[kind], &mut self.zones[zone]);
        // Light requests wait as long as heavy ones: unweighted, they make every upstream look slow.
        let weight = (unit / k.unit.max(1e-9)).clamp(0.05, 2.0);
        let off = |work: f64| ((elapsed as f64 / work.max(1.0)).min(SURPRISE_CAP) - 1.0) * weight;
        let first = off(k.per_unit * unit * kind.slow * crowd * own);
        k.seen += 1.0;
        k.per_unit *= 1.0 + first * (1.0 / (k.seen + 4.0)).max(LEARN_USUAL);
        kind.seen += 1.0;
        kind.slow *= 1.0 + first * (1.0 / (kind.seen + 3.0)).max(LEARN_KIND);
        *zone = Seen { slow: crowd * (1.0 + first * of_zone), fed: now };
        let rest = off(k.per_unit * unit * kind.slow * zone.slow * own); // what its like do not explain
        self.upstreams[i].seen = Seen { slow: own * (1.0 + rest * of_own), fed: now };
    }
}
