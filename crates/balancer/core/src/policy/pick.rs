//! Where a request goes: pool, spill, turns and homes.
use super::*;

/// Other zones join when fewer than this share of the own zone's upstreams is eligible.
const SPILL_SHARE: f64 = 0.5;
/// Late by twice the best: a turn in two to this power, but this at least; this share of the aim is nothing.
const TURN: (i32, f64) = (9, 0.02);
const TURN_SLACK: f64 = 0.05;
/// As many share the turns as answer once in this time, but so many at least: hundreds of sidecars change
/// an upstream's state within it, and few connections are then kept busy rather than many opened.
const WATCH_SPAN: f64 = 0.25e6;
const WATCH_LEAST: f64 = 2.0;
/// A subject's home is passed over when so many times as late as the turns.
const HOME_LATE: f64 = 1.5;
/// Crossings by chance, as a multiple of the gain's share of the time; the way there and back takes some.
const CROSS_GAIN: f64 = 8.0;
const CROSS_WAY: f64 = 20e3;

/// The part of a turn that each earns against the best of its pool, and the mean times over their turns.
fn turns(pool: &[Choice], slack: f64) -> (Vec<f64>, f64, f64) {
    let best = pool.iter().map(|c| c.time).fold(f64::MAX, f64::min).max(1.0) + slack;
    let parts: Vec<f64> = pool.iter().map(|c| (best / c.time).powi(TURN.0).clamp(TURN.1, 1.0)).collect();
    let mean = |f: fn(&Choice) -> f64| {
        pool.iter().zip(&parts).map(|(c, e)| f(c) * e).sum::<f64>() / parts.iter().sum::<f64>().max(1e-9)
    };
    let (time, usual) = (mean(|c| c.time), mean(|c| c.usual));
    (parts, time, usual)
}

/// An upstream's rank among a subject's homes, the same at every balancer (splitmix64).
fn mixed(key: u64, digest: u64) -> u64 {
    let z = (key ^ digest.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

impl Balancer {
    /// Where the effect rules let this request go now: everywhere, a group, or (`None`) nowhere.
    pub(super) fn allowed(&self, p: &Pending) -> Option<Option<(DedupGroup, usize)>> {
        let Some(first) = p.attempts.iter().find(|a| a.received()) else { return Some(None) };
        match self.set.classes[p.class].effect {
            Effect::Repeatable => Some(None),
            Effect::Once => None,
            // The window runs from each attempt that may have run; the earliest ends first.
            Effect::Keyed { group, window } => {
                (self.now < first.sent + window - MS).then_some(Some((group, first.upstream)))
            }
        }
    }

    /// Where to send, and the time that a usual request of the class can expect there and thereabouts.
    pub(super) fn pick(&mut self, p: &Pending) -> Option<(usize, f64)> {
        let group = self.allowed(p)?;
        let (c, ours, work) = (self.set.classes[p.class], self.set.own_zone, p.work);
        // Work that an upstream of full capacity serves this balancer in a microsecond; counted anew below.
        let served: f64 = self.kinds.iter().map(|k| k.served.now(self.now, RATE_OVER)).sum();
        let warm_rate = served / self.whole.max(1.0);
        self.whole = 0.0;
        let mut wholes = vec![0.0; self.kinds.len()];
        let usual = self.usual[p.class].per_unit * self.usual[p.class].unit;
        let slack = TURN_SLACK * c.latency_target as f64;
        // A window of the ring: so many can be kept an eye on, in each zone; those doing badly hardly count.
        let watch = (self.asked_rate.now(self.now, RATE_OVER) * WATCH_SPAN).max(WATCH_LEAST);
        let mut watched = vec![0.0; self.zones.len()];
        let crowds: Vec<f64> = self.zones.iter().map(|z| z.faded(self.now, estimates::FADE)).collect();
        let (mut pool, mut away): (Vec<Choice>, Vec<Choice>) = Default::default();
        let home = p.key.filter(|_| self.set.key_affinity);
        let (mut listed_here, mut open_here, mut nearest, mut warm) = (0, 0, None::<usize>, false);
        for place in 0..self.ring.len() {
            let i = self.ring[place];
            let roomy = self.cold_room(i, work, warm_rate);
            let u = &self.upstreams[i];
            let here = u.entry.zone == ours;
            listed_here += u32::from(here && u.listed);
            let cold = self.cold_share(u);
            warm |= u.listed && cold.is_none();
            let share = if u.listed { cold.unwrap_or(1.0) } else { 0.0 };
            self.whole += share;
            wholes[u.entry.kind as usize] += if u.state == State::Unknown { 0.0 } else { share };
            let grouped = group.is_none_or(|(g, f)| u.within(g, &self.upstreams[f].entry));
            if !u.listed || !grouped || !roomy || p.attempts.iter().any(|a| a.upstream == i) {
                continue;
            }
            if !self.eligible(u) {
                nearest = nearest.filter(|j| self.upstreams[*j].until() <= u.until()).or(Some(i));
                continue;
            }
            open_here += u32::from(here);
            if home.is_some() || watched[u.entry.zone as usize] < watch {
                let (own, zone) = (u.seen.faded(self.now, self.hold), u.entry.zone as usize);
                watched[zone] += if home.is_none() { own.max(1.0).powi(-TURN.0) } else { 0.0 };
                let slow = self.kinds[u.entry.kind as usize].slow * crowds[zone] * own;
                let to = if here { &mut pool } else { &mut away };
                let (time, usual) = (slow * (work + u.work_out), slow * (usual + 0.5 * u.work_out));
                to.push(Choice { place, i, zone: u.entry.zone, excluded: u.excluded(), time, usual });
            }
        }
        self.any_warm = warm;
        self.kinds.iter_mut().zip(wholes).for_each(|(k, whole)| k.whole = whole);
        let few = |open: f64| open < f64::from(listed_here) * SPILL_SHARE;
        if few(f64::from(open_here)) || pool.is_empty() {
            // The page's spill: other zones in this balancer's own order, until half as many are there again.
            for z in &self.zone_order {
                pool.extend(away.iter().filter(|c| c.zone == *z));
                if !pool.is_empty() && !few(pool.len() as f64) {
                    break;
                }
            }
        } else {
            // Exception, lasting imbalance: the own zone's turns are expected later than another's by over a
            // crossing's price as a share of the aim. By chance and gain, lest hundreds swing together.
            let (own, chance) = (turns(&pool, slack).1, self.random());
            let toll =
                self.set.prices.cross_zone.max(c.cross_zone_cost) * c.latency_target as f64 + CROSS_WAY;
            for z in &self.zone_order {
                let far: Vec<_> = away.iter().copied().filter(|c| c.zone == *z).collect();
                if !far.is_empty() && chance < (own - turns(&far, slack).1 - toll) / own * CROSS_GAIN {
                    pool = far;
                    break;
                }
            }
        }
        if c.effect == Effect::Once && pool.iter().any(|c| !c.excluded) {
            // What cannot be sent again is a poor scout.
            pool.retain(|c| !c.excluded);
        }
        if pool.is_empty() {
            let i = nearest.filter(|_| p.attempts.is_empty())?;
            return Some((i, self.slowness(&self.upstreams[i]) * usual));
        }
        let (parts, late, usual) = turns(&pool, slack);
        let rank = |c: &&Choice| mixed(home.unwrap_or(0), self.upstreams[c.i].entry.digest);
        let at_home = pool.iter().filter(|c| home.is_some() && c.time <= late * HOME_LATE).min_by_key(rank);
        if let Some(c) = at_home {
            return Some((c.i, usual));
        }
        // Each time round an upstream earns its part of a turn, and is passed over until it has a whole one.
        let from = pool.iter().position(|c| c.place > self.turn).unwrap_or(0);
        for k in from..from + 2 * pool.len() {
            let (c, part) = (pool[k % pool.len()], parts[k % pool.len()]);
            let u = &mut self.upstreams[c.i];
            u.turns += part;
            if u.turns >= 1.0 {
                (u.turns, self.turn) = (u.turns - 1.0, c.place);
                return Some((c.i, usual));
            }
        }
        None
    }
}
