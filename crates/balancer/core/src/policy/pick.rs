//! Where a request goes: candidates, other zones, key affinity and weighted rotation.
use super::*;

/// Other zones join when fewer than this share of the own zone's upstreams are eligible.
const SPILL_SHARE: f64 = 0.5;
/// Rotation weight: (best expected time + slack) / own expected time, to the power SKEW.0, at least SKEW.1.
const SKEW: (i32, f64) = (9, 0.02);
const SLACK: f64 = 0.05; // share of the latency target: smaller differences leave the weight at 1
/// Per zone, the rotation uses as many upstreams as requests arrive in this time, but at least the minimum:
/// each is sampled before other instances' load outdates its last sample, and few connections are needed.
const WINDOW_SPAN: f64 = 0.25e6;
const WINDOW_MIN: f64 = 2.0;
/// Key affinity skips an upstream that is this many times slower than the rotation's mean.
const KEY_LATE: f64 = 1.5;
/// Probability of crossing to another zone per relative gain; round trip that it adds, in microseconds.
const CROSS_GAIN: f64 = 8.0;
const ZONE_RTT: f64 = 20e3;

/// Rotation weights of a pool, and the weighted means of its expected and typical times.
fn weigh(pool: &[Candidate], slack: f64) -> (Vec<f64>, f64, f64) {
    let min = pool.iter().map(|c| c.expected).fold(f64::MAX, f64::min).max(1.0) + slack;
    let weights: Vec<f64> = pool.iter().map(|c| (min / c.expected).powi(SKEW.0).clamp(SKEW.1, 1.0)).collect();
    let mean = |f: fn(&Candidate) -> f64| {
        pool.iter().zip(&weights).map(|(c, e)| f(c) * e).sum::<f64>() / weights.iter().sum::<f64>().max(1e-9)
    };
    let (expected, typical) = (mean(|c| c.expected), mean(|c| c.typical));
    (weights, expected, typical)
}

/// Rendezvous hash (splitmix64): a key's upstream is the one with the lowest, the same at every instance.
fn rendezvous_hash(key: u64, digest: u64) -> u64 {
    let z = (key ^ digest.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

impl Balancer {
    /// Where repeatability lets this request go now: anywhere, a group, or (`None`) nowhere.
    pub(super) fn allowed_scope(&self, p: &Pending) -> Option<Option<(DedupGroup, usize)>> {
        let Some(first) = p.attempts.iter().find(|a| a.may_be_received()) else { return Some(None) };
        match self.cfg.classes[p.class].repeatability {
            Repeatability::Repeatable => Some(None),
            Repeatability::Once => None,
            // Each attempt that may have run starts a window; the earliest ends first.
            Repeatability::Keyed { group, window } => {
                (self.now < first.sent + window - MS).then_some(Some((group, first.upstream)))
            }
        }
    }

    /// The upstream to send to, and the time that a typical request of the class can expect in its pool.
    pub(super) fn pick(&mut self, p: &Pending) -> Option<(usize, f64)> {
        let group = self.allowed_scope(p)?;
        let (c, own_zone, work) = (self.cfg.classes[p.class], self.cfg.own_zone, p.work);
        // Work per microsecond that a warm upstream serves this instance. The loop recounts the capacity.
        let served: f64 = self.kinds.iter().map(|k| k.work_rate.now(self.now, RATE_SPAN)).sum();
        let warm_rate = served / self.capacity.max(1.0);
        self.capacity = 0.0;
        let mut capacities = vec![0.0; self.kinds.len()];
        let typical = self.class_stats[p.class].per_unit * self.class_stats[p.class].units;
        let slack = SLACK * c.latency_target as f64;
        // A window of the ring in each zone; slow upstreams take up little of it.
        let window = (self.request_rate.now(self.now, RATE_SPAN) * WINDOW_SPAN).max(WINDOW_MIN);
        let mut window_used = vec![0.0; self.zones.len()];
        let zones: Vec<f64> = self.zones.iter().map(|z| z.decayed(self.now, estimates::ZONE_SPAN)).collect();
        let (mut pool, mut remote): (Vec<Candidate>, Vec<Candidate>) = Default::default();
        let key = p.key.filter(|_| self.cfg.key_affinity);
        let (mut local_listed, mut local_open, mut next_expiry, mut any_warm) = (0, 0, None::<usize>, false);
        for slot in 0..self.ring.len() {
            let i = self.ring[slot];
            let admitted = self.cold_admits(i, work, warm_rate);
            let u = &self.upstreams[i];
            let local = u.entry.zone == own_zone;
            local_listed += u32::from(local && u.in_service);
            let cold = self.cold_share(u);
            any_warm |= u.in_service && cold.is_none();
            let share = if u.in_service { cold.unwrap_or(1.0) } else { 0.0 };
            self.capacity += share;
            capacities[u.entry.kind as usize] += if u.state == State::Unknown { 0.0 } else { share };
            let in_group = group.is_none_or(|(g, f)| u.in_group(g, &self.upstreams[f].entry));
            if !u.in_service || !in_group || !admitted || p.attempts.iter().any(|a| a.upstream == i) {
                continue;
            }
            if !self.eligible(u) {
                next_expiry = next_expiry.filter(|j| self.upstreams[*j].expiry() <= u.expiry()).or(Some(i));
                continue;
            }
            local_open += u32::from(local);
            if key.is_some() || window_used[u.entry.zone as usize] < window {
                let (own, zone) = (u.slowdown.decayed(self.now, self.decay), u.entry.zone as usize);
                window_used[zone] += if key.is_none() { own.max(1.0).powi(-SKEW.0) } else { 0.0 };
                let slowdown = self.kinds[u.entry.kind as usize].factor * zones[zone] * own;
                let to = if local { &mut pool } else { &mut remote };
                let (expected, typical) = (slowdown * (work + u.load), slowdown * (typical + 0.5 * u.load));
                to.push(Candidate { slot, i, zone: u.entry.zone, excluded: u.excluded(), expected, typical });
            }
        }
        self.any_warm = any_warm;
        self.kinds.iter_mut().zip(capacities).for_each(|(k, capacity)| k.capacity = capacity);
        let too_few = |open: f64| open < f64::from(local_listed) * SPILL_SHARE;
        if too_few(f64::from(local_open)) || pool.is_empty() {
            // Spill: adds other zones, in this instance's order, until the pool is no longer too small.
            for z in &self.zone_order {
                pool.extend(remote.iter().filter(|c| c.zone == *z));
                if !pool.is_empty() && !too_few(pool.len() as f64) {
                    break;
                }
            }
        } else {
            // Lasting imbalance: the own zone's mean time exceeds another's by more than a crossing costs.
            // At random in proportion to the gain: otherwise hundreds of instances would swing together.
            let (own, chance) = (weigh(&pool, slack).1, self.random());
            let cost = self.cfg.prices.cross_zone.max(c.cross_zone_cost) * c.latency_target as f64 + ZONE_RTT;
            for z in &self.zone_order {
                let others: Vec<_> = remote.iter().copied().filter(|c| c.zone == *z).collect();
                if !others.is_empty() && chance < (own - weigh(&others, slack).1 - cost) / own * CROSS_GAIN {
                    pool = others;
                    break;
                }
            }
        }
        if c.repeatability == Repeatability::Once && pool.iter().any(|c| !c.excluded) {
            // A request that can't be sent again is not used as a trial.
            pool.retain(|c| !c.excluded);
        }
        if pool.is_empty() {
            let i = next_expiry.filter(|_| p.attempts.is_empty())?;
            return Some((i, self.expected_slowdown(&self.upstreams[i]) * typical));
        }
        let (weights, mean, typical) = weigh(&pool, slack);
        let hash = |c: &&Candidate| rendezvous_hash(key.unwrap_or(0), self.upstreams[c.i].entry.digest);
        let best = pool.iter().filter(|c| key.is_some() && c.expected <= mean * KEY_LATE).min_by_key(hash);
        if let Some(c) = best {
            return Some((c.i, typical));
        }
        // Weighted rotation: each pass adds the weight to an upstream's credit, and a request costs one.
        let from = pool.iter().position(|c| c.slot > self.ring_cursor).unwrap_or(0);
        for k in from..from + 2 * pool.len() {
            let (c, weight) = (pool[k % pool.len()], weights[k % pool.len()]);
            let u = &mut self.upstreams[c.i];
            u.turn_credit += weight;
            if u.turn_credit >= 1.0 {
                (u.turn_credit, self.ring_cursor) = (u.turn_credit - 1.0, c.slot);
                return Some((c.i, typical));
            }
        }
        None
    }
}
