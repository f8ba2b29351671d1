//! ALL decisions of silvercross; its types, events and actions are in `interface.rs`.
//! The mechanism is the design page's (docs/design.md): an upstream is excluded for a growing cooldown after
//! transport failures, readmitted by the next real request, dead only when successes elsewhere corroborate.
use crate::interface::*;
pub use crate::state::Balancer;
use crate::state::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

// --- constants, with reasons ---
const MS: Micros = 1_000;
const S: Micros = 1_000_000;
/// Cooldowns double from the time of so many own requests, within the bounds: a scout is one request in them.
const COOLDOWN_REQUESTS: f64 = 40.0;
const COOLDOWN: (Micros, Micros) = (2 * S, 20 * S);
/// Dead: so many counted failures over this long, no further apart than the gap, and a success elsewhere.
const DEAD_FAILURES: u32 = 5;
const DEAD_STREAK: Micros = 10 * S;
const STREAK_GAP: Micros = 30 * S;
const DEAD_COOLDOWN: Micros = 30 * S;
const CORROBORATION: Micros = 5 * S;
/// So soon after an answer, so many failures in a row are not counted.
const AMID: (Micros, u32) = (S / 2, 2);
/// All failed for this long, at two upstreams or more: the fault is here. Nothing counts; grace after it.
const BLAME_SPAN: Micros = 2 * S;
const BLAME_GRACE: Micros = 5 * S;
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
/// First-answer limit: this many usual latencies, but between these shares of the aim.
const LIMIT_USUAL: f64 = 8.0;
const LIMIT_AIM: (f64, f64) = (0.4, 1.0);
/// Weight of an answer, after a few, in the usual and its kind's speed; in its zone's crowding and its
/// upstream's own part it goes by the time since the last over the third: most where answers are rare.
const LEARN_USUAL: f64 = 0.01;
const LEARN_KIND: f64 = 0.02;
const LEARN_ZONE: (f64, f64, f64) = (0.05, 0.15, 4e6);
const LEARN_OWN: (f64, f64, f64) = (0.05, 0.5, 5e6);
const SURPRISE_CAP: f64 = 4.0;
/// An error counts like an answer so many times as slow as usual: passed over softly, never excluded.
const ERROR_SLOW: f64 = 12.0;
/// Crowding fades like this without answers; an own part over so many own requests, within these bounds.
const FADE: f64 = 2e6;
const HOLD_REQUESTS: f64 = 60.0;
const HOLD: (f64, f64) = (4e6, 10e6);
/// Second tries: this share of first ones, saved up to the cap: more turns overload into collapse.
const RETRY_SHARE: f64 = 0.02;
const RETRY_CAP: f64 = 5.0;
/// Rates are counted over about this time.
const RATE_OVER: f64 = 6e6;
/// Part of the cold budget used, and of a span's worth saved up: in any span no more than all of it.
const COLD_CARE: f64 = 0.8;
const COLD_SAVED: f64 = 0.125;
/// A request heavier than so many usual ones goes to no cold upstream: alone it could spend all there is.
const COLD_HEAVY: f64 = 5.0;
/// Refuse what would meet its aim more seldom than this, by how far answers are seen to overrun what was
/// expected, within these bounds: blind placement among many scatters them.
const IN_TIME_LEAST: f64 = 0.7;
const SPREAD: (f64, f64) = (0.4, 3.0);
const SPREAD_STEP: f64 = 0.1;
/// The bar moves so far with the worth of work against the mean; it is higher where nothing is out to tell.
const RANK_POWER: f64 = 0.5;
const RANK: (f64, f64) = (0.6, 1.5);
const IDLE_BAR: f64 = 2.0;
/// A queue clears in about this time: a client turned away need not come back sooner.
const RETURN: Micros = S;
const LIST_TOKEN: u64 = 1 << 60;

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

/// What is taken of a class before its answers tell.
fn guess(c: &Class) -> Usual {
    Usual { per_unit: c.aim as f64 * 0.12, unit: 1.0, seen: 0.0, budget: 0, votes: 0 }
}

impl Balancer {
    /// A new instance, at its start; its first event should be the stale copy of the list.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut zone_order: Vec<u32> = (0..settings.zones).filter(|z| *z != settings.my_zone).collect();
        for i in (1..zone_order.len()).rev() {
            zone_order.swap(i, (rng.next_u64() % (i as u64 + 1)) as usize);
        }
        let usual = settings.classes.iter().map(guess).collect();
        let (spread, retry_tokens) = (1.5, RETRY_CAP / 2.0);
        Balancer { zone_order, usual, spread, retry_tokens, ..Balancer::blank(settings, rng, now) }
    }

    /// Take one event and append what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        self.now = now;
        match event {
            Event::List { kind, entries } => self.on_list(kind, entries, out),
            Event::Settings { settings, from } => {
                let known = |f: &Option<u32>| f.and_then(|f| self.usual.get(f as usize).copied());
                let usual = settings.classes.iter().zip(from).map(|(c, f)| known(f).unwrap_or(guess(c)));
                (self.usual, self.set) = (usual.collect(), settings.clone());
            }
            Event::Request(r) => self.on_request(r, out),
            Event::AttemptEnded(e) => self.on_ended(e, out),
            Event::StreamStarted { request, attempt } => {
                let Some(mut p) = self.pending.remove(&request) else { return };
                p.streaming = true;
                p.attempts.get(attempt as usize).map(|a| a.upstream).into_iter().for_each(|u| self.life(u));
                // The client has one answer begun: other copies are of no use.
                self.call_off(request, &mut p, Some(attempt), out);
                self.pending.insert(request, p);
            }
            Event::RequestGone { request } => self.close(request, out),
            Event::Timer { token: LIST_TOKEN } if !self.subscribed && !self.asked => {
                self.asked = true;
                out.push(Action::Subscribe(true));
            }
            Event::Timer { token } => self.review(RequestId(token), out),
            Event::ProbeEnded { .. } => {}
        }
    }

    // --- list ---
    fn on_list(&mut self, kind: ListKind, entries: &[Entry], out: &mut Vec<Action>) {
        match kind {
            ListKind::Broken => {
                // The list service is small: back off, spread by chance, so that no storm keeps it down.
                let failures = (self.list_failures + 1).min(4);
                (self.subscribed, self.asked, self.list_failures) = (false, false, failures);
                let (wait, few) = ((S << self.list_failures) / 2, Micros::from(self.set.instances));
                return self.ask_in(wait.min(S * few), out);
            }
            // What the last service did tells nothing of this one, and its news may be due at once.
            ListKind::Moved => {
                (self.subscribed, self.asked, self.list_failures) = (false, true, 0);
                return out.push(Action::Subscribe(true));
            }
            // All may start at once: spread the first calls too.
            ListKind::StaleCopy if self.set.list_on_request => self.ask_in(S / 2, out),
            ListKind::StaleCopy => {}
            ListKind::Patch | ListKind::Whole => {
                (self.subscribed, self.list_failures) = (self.subscribed || self.asked, 0)
            }
        }
        if kind != ListKind::Patch {
            self.upstreams.iter_mut().for_each(|u| u.listed = false);
        }
        let most = self.usual_most();
        for e in entries {
            let i = e.upstream.0 as usize;
            let (first_turn, known) = (self.random(), self.upstreams.len());
            let blank = |id| Upstream::new(Entry { upstream: UpstreamId(id as u32), ..*e });
            self.upstreams.extend((known..=i).map(blank));
            for j in known..=i {
                let at = (self.rng.next_u64() % (j as u64 + 1)) as usize;
                self.ring.insert(at, j);
            }
            let u = &mut self.upstreams[i];
            if i >= known || e.last_start > u.entry.last_start || u.entry.lifecycle == Lifecycle::Gone {
                // A new process, cold again, or another one under a number that is free: no history. Hundreds
                // start at different points of rotation and cold budget.
                *u = Upstream { out: u.out, work_out: u.work_out, ..Upstream::new(*e) };
                (u.turns, u.saved, u.saved_at) = (first_turn, -first_turn * most, self.now);
            }
            u.entry = *e;
            u.listed = e.lifecycle == Lifecycle::Running;
            let (kinds, zones) = (self.kinds.len().max(e.kind as usize + 1), e.zone as usize + 1);
            self.kinds.resize(kinds, Kind::new(self.now));
            self.zones.resize(self.zones.len().max(zones), Seen { slow: 1.0, fed: LONG_AGO });
        }
    }

    fn ask_in(&mut self, span: Micros, out: &mut Vec<Action>) {
        let after = (span as f64 * (0.5 + self.random())) as Micros;
        out.push(Action::Timer { after, token: LIST_TOKEN });
    }

    // --- liveness ---
    fn eligible(&self, u: &Upstream) -> bool {
        match u.state {
            State::Unknown | State::Online => true,
            // After expiry: the next real request, one at a time until a success.
            State::Offline { until, .. } | State::Dead { until, .. } => self.now >= until && u.scouts == 0,
        }
    }

    /// Whether an upstream would not be picked now, for its failures or its drain.
    pub fn avoids(&self, now: Micros, u: UpstreamId) -> bool {
        self.upstreams.get(u.0 as usize).is_none_or(|u| !u.listed || now < u.until())
    }

    fn life(&mut self, i: usize) {
        self.last_life = self.now;
        if self.blamed {
            (self.blamed, self.grace_until) = (false, self.now + BLAME_GRACE);
            for u in self.upstreams.iter_mut().filter(|u| u.excluded()) {
                (u.state, u.failures) = (State::Unknown, 0);
            }
        }
        let u = &mut self.upstreams[i];
        (u.state, u.failures, u.broken, u.last_life) = (State::Online, 0, 0, self.now);
    }

    /// A transport failure of an attempt sent at `sent`.
    fn failure(&mut self, i: usize, sent: Micros) {
        let now = self.now;
        self.fails.push_back((now, i));
        self.fails.retain(|f| f.0 >= now - BLAME_SPAN);
        if self.last_life < now - BLAME_SPAN && self.fails.iter().any(|f| f.1 != i) {
            self.blamed = true;
        }
        if self.blamed || now < self.grace_until {
            return;
        }
        let u = &self.upstreams[i];
        // A sign of life since the send outweighs it; what was sent before a cooldown or fails in it is old.
        let old = matches!(u.state, State::Offline { since, until } | State::Dead { since, until }
            if sent < since || now < until);
        if old || u.last_life >= sent {
            return;
        }
        // Failures amid answers tell of connections: only some in a row, with no answer between, count.
        if u.last_life > now - AMID.0 && u.broken < AMID.1 {
            return self.upstreams[i].broken += 1;
        }
        let since = u.last_failure.max(now - CORROBORATION - 1);
        let corroborated = self.upstreams.iter().enumerate().any(|(j, o)| j != i && o.last_life > since);
        let u = &mut self.upstreams[i];
        if u.failures == 0 || now - u.last_failure > STREAK_GAP {
            (u.failures, u.streak_start) = (0, now);
        }
        (u.failures, u.last_failure) = (u.failures + 1, now);
        let asked = self.asked_rate.now(now, RATE_OVER).max(1e-9);
        let long = now - u.streak_start >= DEAD_STREAK;
        u.state = if u.failures >= DEAD_FAILURES && long && corroborated {
            State::Dead { since: now, until: now + DEAD_COOLDOWN }
        } else {
            // Hundreds of scouts hold a server down: a balancer of little traffic sends them more seldom.
            let base = ((COOLDOWN_REQUESTS / asked) as Micros).clamp(COOLDOWN.0, COOLDOWN.1);
            let wait = (base << (u.failures - 1).min(8)).min(COOLDOWN.1);
            State::Offline { since: now, until: now + wait }
        };
    }

    // --- estimates ---
    /// How slow this upstream is against the usual: the speed of its kind, times the crowding of its zone and
    /// what sets it apart, which fade without answers, so that nothing rests on old evidence alone.
    fn slowness(&self, u: &Upstream) -> f64 {
        let crowd = self.zones[u.entry.zone as usize].faded(self.now, FADE);
        self.kinds[u.entry.kind as usize].slow * crowd * u.seen.faded(self.now, self.hold)
    }

    fn learn(&mut self, class: usize, unit: f64, i: usize, elapsed: Micros, served: bool) {
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

    // --- pick ---
    /// Where the effect rules let this request go now: everywhere, a group, or (`None`) nowhere.
    fn allowed(&self, p: &Pending) -> Option<Option<(DedupGroup, usize)>> {
        let risky =
            |a: &&Attempt| !matches!(a.ended, Some(Outcome::Full | Outcome::ConnectFailed | Outcome::Moot));
        let Some(first) = p.attempts.iter().find(risky) else { return Some(None) };
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
    fn pick(&mut self, p: &Pending) -> Option<(usize, f64)> {
        let group = self.allowed(p)?;
        let (c, ours, work) = (self.set.classes[p.class], self.set.my_zone, p.work);
        // Work that an upstream of full capacity serves this balancer in a microsecond; counted anew below.
        let served: f64 = self.kinds.iter().map(|k| k.served.now(self.now, RATE_OVER)).sum();
        let warm_rate = served / self.whole.max(1.0);
        self.whole = 0.0;
        let mut wholes = vec![0.0; self.kinds.len()];
        let usual = self.usual[p.class].per_unit * self.usual[p.class].unit;
        let slack = TURN_SLACK * c.aim as f64;
        // A window of the ring: so many can be kept an eye on, in each zone; those doing badly hardly count.
        let watch = (self.asked_rate.now(self.now, RATE_OVER) * WATCH_SPAN).max(WATCH_LEAST);
        let mut watched = vec![0.0; self.zones.len()];
        let crowds: Vec<f64> = self.zones.iter().map(|z| z.faded(self.now, FADE)).collect();
        let (mut pool, mut away): (Vec<Choice>, Vec<Choice>) = Default::default();
        // Where upstreams keep subjects warm, each subject has a home.
        let home = p.key.filter(|_| self.set.warm_keys);
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
            let toll = self.set.prices.cross_zone * c.aim as f64 + CROSS_WAY;
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

    // --- attempts ---
    fn send(&mut self, id: RequestId, p: &mut Pending, i: usize, out: &mut Vec<Action>) {
        let (now, work, limit) = (self.now, p.work, self.first_answer(p.class, p.work));
        let own_limit = limit < p.deadline - now;
        // Where no second copy may go out, a late first answer has to be given up before another is tried.
        let retry = self.set.classes[p.class].effect != Effect::Once && !self.set.second_copies;
        let more = p.attempts.len() + 1 < p.cap;
        let cut = own_limit && retry && more && now + limit < p.aim_at;
        let expected = self.slowness(&self.upstreams[i]) * (work + self.upstreams[i].work_out);
        let u = &mut self.upstreams[i];
        (u.saved, u.out, u.work_out) = (u.saved - work, u.out + 1, u.work_out + work);
        let scout = u.excluded();
        u.scouts += scout as u32;
        p.attempts.push(Attempt { expected, ..Attempt::new(i, now, scout, cut) });
        p.out += 1;
        out.push(Action::Send { request: id, upstream: u.entry.upstream, limit: cut.then_some(limit) });
        if own_limit && !cut {
            out.push(Action::Timer { after: limit, token: id.0 });
        }
    }

    /// Our own first-answer limit: well above the usual latency of such a request.
    fn first_answer(&self, class: usize, work: f64) -> Micros {
        let aim = self.set.classes[class].aim as f64;
        (work * LIMIT_USUAL).clamp(aim * LIMIT_AIM.0, aim * LIMIT_AIM.1) as Micros
    }

    /// A first-answer limit has passed: it counts, and a second copy goes out where one may.
    fn review(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(mut p) = self.pending.remove(&id) else { return };
        let limit = self.first_answer(p.class, p.work);
        let due = |a: &&mut Attempt| a.ended.is_none() && !a.suspected && self.now >= a.sent + limit - MS;
        let due: Vec<_> = p.attempts.iter_mut().filter(due).collect();
        let late = !due.is_empty();
        for a in due {
            a.suspected = true;
            self.failure(a.upstream, a.sent);
        }
        if late && !p.over && !p.streaming && self.set.second_copies {
            self.again(id, &mut p, 1.0, out);
        }
        self.pending.insert(id, p);
    }

    /// One more attempt, if rules, time and the retry budget allow.
    fn again(&mut self, id: RequestId, p: &mut Pending, cost: f64, out: &mut Vec<Action>) -> bool {
        let c = &self.set.classes[p.class];
        let end = if c.late_worth > 0.0 { p.deadline } else { p.deadline.min(p.aim_at) };
        if p.attempts.len() >= p.cap
            || (p.out > 0 && !self.set.second_copies)
            || (self.now as f64 + p.work * 0.5 > end as f64)
            || self.retry_tokens < cost
        {
            return false;
        }
        let Some((i, _)) = self.pick(p) else { return false };
        self.retry_tokens -= cost;
        self.send(id, p, i, out);
        true
    }

    fn on_ended(&mut self, e: Ended, out: &mut Vec<Action>) {
        let (id, outcome) = (e.request, e.outcome);
        let Some(mut p) = self.pending.remove(&id) else { return };
        let Some(a) = p.attempts.get_mut(e.attempt as usize).filter(|a| a.ended.is_none()) else {
            return drop(self.pending.insert(id, p));
        };
        a.ended = Some(outcome);
        let a = *a;
        p.out -= 1;
        let (work, u) = (p.work, &mut self.upstreams[a.upstream]);
        u.out = u.out.saturating_sub(1);
        u.work_out = if u.out == 0 { 0.0 } else { (u.work_out - work).max(0.0) };
        u.scouts -= (a.scout && u.scouts > 0) as u32;
        if matches!(outcome, Outcome::Served | Outcome::TimedOut) {
            let over = f64::from(e.elapsed as f64 > a.expected * self.spread) - 1.0 + IN_TIME_LEAST;
            self.spread = (self.spread * (1.0 + SPREAD_STEP * over)).clamp(SPREAD.0, SPREAD.1);
        }
        match outcome {
            // Signs of life. A full queue would have taken the aim at least: it tells of crowding.
            Outcome::Served | Outcome::Error | Outcome::Full => {
                self.life(a.upstream);
                let served = outcome == Outcome::Served;
                let of_kind = &mut self.kinds[self.upstreams[a.upstream].entry.kind as usize].served;
                of_kind.add(self.now, RATE_OVER, if served { work } else { 0.0 });
                let took = if served { e.elapsed } else { self.set.classes[p.class].aim };
                self.learn(p.class, p.unit, a.upstream, took, outcome != Outcome::Error);
            }
            Outcome::TimedOut if a.own_limit && !a.suspected => self.failure(a.upstream, a.sent),
            Outcome::ConnectFailed | Outcome::Reset => self.failure(a.upstream, a.sent),
            // The client's time was up: no fault of the upstream's is proven, but that long it took at least.
            Outcome::TimedOut => self.learn(p.class, p.unit, a.upstream, e.elapsed, true),
            Outcome::Cancelled | Outcome::Moot => {}
        }
        if e.over || outcome == Outcome::Served {
            p.over = true;
            self.call_off(id, &mut p, None, out);
        }
        let cost = f64::from(!matches!(outcome, Outcome::Full | Outcome::ConnectFailed));
        if !p.over && !p.streaming && !self.again(id, &mut p, cost, out) && p.out == 0 {
            self.give_up(id, &mut p, out);
        }
        if !p.over || p.out > 0 {
            self.pending.insert(id, p);
        }
    }

    fn call_off(&mut self, id: RequestId, p: &mut Pending, keep: Option<u32>, out: &mut Vec<Action>) {
        if !self.set.may_cancel {
            return;
        }
        let still = |a: &(usize, &mut Attempt)| a.1.ended.is_none() && !a.1.ordered_off;
        let other = |a: &(usize, &mut Attempt)| keep != Some(a.0 as u32);
        for (k, a) in p.attempts.iter_mut().enumerate().filter(still).filter(other) {
            a.ordered_off = true;
            out.push(Action::Cancel { request: id, attempt: k as u32 });
        }
    }

    fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(mut p) = self.pending.remove(&id) else { return };
        p.over = true;
        self.call_off(id, &mut p, None, out);
        if p.out > 0 {
            self.pending.insert(id, p);
        }
    }

    /// The final answer of a request given up on: at once, and a refusal only where a new try does no harm.
    fn give_up(&mut self, request: RequestId, p: &mut Pending, out: &mut Vec<Action>) {
        p.over = true;
        let harmless = matches!(self.allowed(p), Some(None | Some((DedupGroup::All, _))));
        // Coming back pays only while the aim can still be met; else stay away longest.
        let slack = p.aim_at - self.now - 2 * p.work as Micros;
        let soon = if slack > RETURN { RETURN } else { slack / 2 };
        let retry_after = self.set.max_retry_after.map(|m| if slack > 0 { soon.min(m) } else { m });
        out.push(if harmless { Action::Refuse { request, retry_after } } else { Action::Fail { request } });
    }

    // --- admission ---
    fn on_request(&mut self, r: NewRequest, out: &mut Vec<Action>) {
        let class = r.class as usize;
        let Some(&c) = self.set.classes.get(class) else { return out.push(Action::Fail { request: r.id }) };
        let unit = r.cost_hint.map_or(1.0, |h| h.max(1) as f64);
        let began = self.now - self.spent(&r, c.deadline);
        let k = &mut self.usual[class];
        if r.cost_hint.is_some() && k.seen == 0.0 && k.per_unit > 100.0 {
            k.per_unit = 1.5; // a hint is work on a standard core; until answers tell, assume somewhat slower
        }
        k.unit = if k.seen == 0.0 { unit } else { k.unit + (unit - k.unit) * 0.02 };
        let (work, usual) = (k.per_unit * unit, k.per_unit * k.unit);
        let aim_at = began + (c.aim + (c.aim_stretch * work) as Micros).min(c.deadline);
        // Settings may change while it is open: it ends under those it was taken with.
        let cap = self.set.attempts_cap as usize;
        let mut p = Pending::new(class, r.key, aim_at, self.now + r.budget, unit, work, cap);
        self.retry_tokens = (self.retry_tokens + RETRY_SHARE).min(RETRY_CAP);
        self.asked_rate.add(self.now, RATE_OVER, 1.0);
        self.hold = (HOLD_REQUESTS / self.asked_rate.now(self.now, RATE_OVER)).clamp(HOLD.0, HOLD.1);
        let density = c.worth / if self.set.worth_by_work { 1.0 } else { usual.max(1.0) };
        self.worth_seen = self.worth_seen * 0.99 + density * usual;
        self.work_seen = self.work_seen * 0.99 + usual;
        let Some((i, expected)) = self.pick(&p) else { return self.give_up(r.id, &mut p, out) };
        // Refuse early what cannot meet its aim, least worth per work first; none for its own weight.
        let left = (aim_at.min(p.deadline) - self.now) as f64;
        // The bar goes by worth so far as the result does: the worst-served class counts by itself.
        let rank = (density * self.work_seen / self.worth_seen.max(1e-9)).powf(RANK_POWER * self.set.whole);
        let rank = rank.clamp(RANK.0, RANK.1);
        let bar = if self.pending.is_empty() { IDLE_BAR } else { 1.0 };
        if c.late_worth == 0.0 && expected * self.spread > left * rank * bar {
            // Unfed, the usual of a class fades while nothing is out: none is barred for good.
            self.usual[class].per_unit *= if self.pending.is_empty() { 1.0 - LEARN_USUAL } else { 1.0 };
            return self.give_up(r.id, &mut p, out);
        }
        self.send(r.id, &mut p, i, out);
        self.pending.insert(r.id, p);
    }

    /// How long the client has been at it. First tries bring the same budget; another one, where most are
    /// equal, or a marked repeat, tells what is left of the deadline, and so that the aim may have passed.
    fn spent(&mut self, r: &NewRequest, deadline: Micros) -> Micros {
        let k = &mut self.usual[r.class as usize];
        let same = |k: &Usual| (r.budget - k.budget).abs() <= 10 * MS;
        match same(k) {
            _ if r.repeat => {}
            true => k.votes = (k.votes + 1).min(50),
            false if k.votes > 0 => k.votes -= 1,
            false => (k.budget, k.votes) = (r.budget, 1),
        }
        let later = if self.set.marks_repeats { r.repeat } else { k.votes >= 5 };
        Micros::from(later && !same(k)) * (deadline - r.budget).max(0)
    }

    // --- cold budget ---
    /// The least share of its capacity a started upstream has now; `None` once warm.
    fn cold_share(&self, u: &Upstream) -> Option<f64> {
        let age = self.now - u.entry.last_start?;
        let grown = age as f64 / self.set.warm_within.max(1) as f64;
        (grown < 1.0).then(|| self.set.cold_from + (1.0 - self.set.cold_from) * grown.max(0.0))
    }

    /// What this balancer may send a cold upstream: the multiple of the cold share of what a warm one of its
    /// kind serves it, in debt from a random start: a request goes when the last one's work is paid off, so
    /// hundreds whose part is under one request come one by one, heavy and light alike. One request a span
    /// for all balancers together is always safe, and needed where all is cold.
    fn cold_room(&mut self, i: usize, work: f64, warm_rate: f64) -> bool {
        let (now, span) = (self.now, self.set.fall_span as f64);
        let Some(share) = self.cold_share(&self.upstreams[i]) else { return true };
        let kind = &self.kinds[self.upstreams[i].entry.kind as usize];
        let like = if kind.whole >= 1.0 { kind.served.now(now, RATE_OVER) / kind.whole } else { warm_rate };
        let rate = self.set.fall_multiple * share * like * COLD_CARE;
        let usual = self.usual_most();
        let rate = rate.max(usual / (span * self.set.instances.max(1) as f64));
        // Where all is cold a heavy request has nowhere else to go, and pays for it by a longer debt.
        let heaviest = if self.any_warm { COLD_HEAVY * usual } else { f64::MAX };
        let u = &mut self.upstreams[i];
        // A budget that had to be saved up whole, and was cut to the little that so small a part may save,
        // was lost to each light request.
        u.saved = (u.saved + rate * (now - u.saved_at).max(0) as f64).min(rate * span * COLD_SAVED);
        u.saved_at = now;
        u.saved >= 0.0 && work <= heaviest
    }

    /// The work of a usual request of the heaviest class.
    fn usual_most(&self) -> f64 {
        self.usual.iter().map(|k| k.per_unit * k.unit).fold(0.0, f64::max)
    }
}
