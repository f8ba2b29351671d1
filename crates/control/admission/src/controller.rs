//! The gate itself.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use crate::cold::Cold;
use crate::seen::Seen;
use crate::{
    Allowance, Arrival, Bounds, Effect, Facts, Figures, Micros, State, Station, Turned, Verdict, SLOTS_MOST,
    STATION_QUEUE, WAIT_MOST,
};

/// How long a station counts as cold after the end of an evacuation, whatever it says.
const CARE: Micros = 1_000_000;
/// How long a lower limit of work at a time holds once the station was full sooner than thought.
const LOWER_SPAN: Micros = 5_000_000;
/// How many ended lives are known again; the oldest is forgotten first.
const LIVES_MOST: usize = 16;
/// The least and the most that one turned away is told to stay away.
const RETRY: (Micros, Micros) = (50_000, 1_000_000);
/// What a place is held for while nothing is known, for `retry_after` alone.
const HELD_UNKNOWN: Micros = 100_000;

/// The place of one that waits: its rank, then its turn.
type Place = (u32, u64);

#[derive(Debug)]
struct Waiting {
    number: u64,
    id: Arc<str>,
    repeatable: bool,
    further: bool,
    /// It is turned away here.
    until: Micros,
    /// Its deadline.
    deadline: Micros,
}

#[derive(Debug)]
struct Out {
    id: Arc<str>,
    repeatable: bool,
    begun: bool,
    since: Micros,
    life: u64,
}

/// The gate before one station.
///
/// Those that wait are at most four times the slots, 16 at least: at that bound the newest of the lowest rank is
/// turned away. Those out are at most the limit of work at a time for each life of the station whose requests the
/// caller has not yet told to be done. Effects are bounded by those that waited, as long as the caller takes them.
#[derive(Debug)]
pub struct AdmissionController {
    bounds: Bounds,
    allowance: Allowance,
    now: Micros,
    facts: Option<Facts>,
    state: State,
    /// Counts the lives seen.
    life: u64,
    /// Ids of lives that ended; at most [`LIVES_MOST`].
    ended: VecDeque<String>,
    /// The bound of the last leaving of this life, and when a beat took it back.
    left: Option<(Micros, Option<Micros>)>,
    evacuated: bool,
    /// Cold until then by its last beat or an evacuation's end; by its last health answer; whatever it says. A beat
    /// may be on its way while a health answer says more, so the latest of them holds.
    beat_cold: Micros,
    health_cold: Micros,
    care_until: Micros,
    cold: Cold,
    waiting: BTreeMap<Place, Waiting>,
    places: BTreeMap<u64, Place>,
    untils: BTreeSet<(Micros, Place)>,
    turn: u64,
    out: BTreeMap<u64, Out>,
    /// Of those out, those of this life, and the sum of when they went.
    out_here: u32,
    since_sum: i128,
    /// A lower limit of work at a time, and until when.
    lower: Option<(u32, Micros)>,
    held: Option<Micros>,
    seen: Seen,
    effects: Vec<Effect>,
    figures: Figures,
}

impl AdmissionController {
    /// A gate before a station that is not there yet.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            allowance: Allowance { line_cap: 0, cold_rate: 0.0, cold_span: 0 },
            now: Micros::MIN / 4,
            facts: None,
            state: State::Silent,
            life: 0,
            ended: VecDeque::new(),
            left: None,
            evacuated: false,
            beat_cold: Micros::MIN,
            health_cold: Micros::MIN,
            care_until: Micros::MIN,
            cold: Cold::default(),
            waiting: BTreeMap::new(),
            places: BTreeMap::new(),
            untils: BTreeSet::new(),
            turn: 0,
            out: BTreeMap::new(),
            out_here: 0,
            since_sum: 0,
            lower: None,
            held: None,
            seen: Seen::default(),
            effects: Vec::new(),
            figures: Figures::default(),
        }
    }

    /// A beat says that the station is alive and ready. A new id is a new life: what waits for the old one is turned
    /// away. A life that signed off or was followed by another does not come back.
    pub fn beat(&mut self, now: Micros, facts: Facts, cold_left: Micros) {
        let now = self.at(now);
        if self.ended.contains(&facts.id) {
            return self.tick(now);
        }
        match self.facts.as_ref() {
            Some(f) if f.id == facts.id => {
                if f.service != facts.service {
                    self.turn_all(Turned::Another);
                }
                if let Some((_, back @ None)) = self.left.as_mut() {
                    *back = Some(now);
                }
            }
            before => {
                let old = before.map(|f| f.id.clone());
                self.turn_all(Turned::Another);
                if let Some(id) = old {
                    self.end_life(id);
                }
                self.life += 1;
                self.out_here = 0;
                self.since_sum = 0;
                self.left = None;
                self.lower = None;
                self.held = None;
                self.cold.reset(now);
                self.health_cold = Micros::MIN;
                // Its own word on how cold it is holds: one that runs for long is not held down because this process is new.
                self.care_until = Micros::MIN;
            }
        }
        self.facts = Some(facts);
        self.state = State::Ready;
        self.beat_cold = now + cold_left.clamp(0, Micros::MAX / 4);
        self.tick(now);
    }

    /// The station's leaving is acknowledged now: it is open for the bound less a margin, then shut. Told again it
    /// extends nothing, unless it was ready for as long as the bound in between.
    pub fn draining(&mut self, now: Micros, id: &str) {
        let now = self.at(now);
        if self.is(id) && matches!(self.state, State::Ready | State::Silent) {
            let drain = self.bounds.drain.clamp(0, Micros::MAX / 4);
            let fresh = now + drain - (drain / 10).min(250_000);
            let until = match self.left {
                Some((until, None)) => until,
                Some((until, Some(back))) if now - back < drain => until,
                _ => fresh,
            };
            self.left = Some((until, None));
            self.state = State::Draining(until);
        }
        self.tick(now);
    }

    /// The station has signed off: shut at once, for good.
    pub fn signed_off(&mut self, now: Micros, id: &str) {
        let now = self.at(now);
        if self.is(id) {
            self.state = State::SignedOff;
            self.end_life(id.to_owned());
        }
        self.tick(now);
    }

    /// Its beats stopped or a connection was refused: shut until the next beat.
    pub fn silent(&mut self, now: Micros) {
        let now = self.at(now);
        if self.state != State::SignedOff {
            self.state = State::Silent;
        }
        self.tick(now);
    }

    /// Other bounds from the settings. A leaving that is acknowledged already keeps its moment.
    pub fn bounds(&mut self, now: Micros, bounds: Bounds) {
        let now = self.at(now);
        self.bounds = bounds;
        self.cold.learn(&self.bounds, &self.allowance);
        self.tick(now);
    }

    /// The operator's item of the service.
    pub fn allowance(&mut self, now: Micros, allowance: Allowance) {
        let now = self.at(now);
        self.allowance = allowance;
        self.cold.learn(&self.bounds, &allowance);
        self.tick(now);
    }

    /// The zone is evacuated, or no longer. The end leaves the station cold for the span of its service, unless it
    /// says otherwise after it.
    pub fn evacuated(&mut self, now: Micros, evacuated: bool) {
        let now = self.at(now);
        if self.evacuated && !evacuated {
            let span = self.allowance.cold_span.clamp(0, Micros::MAX / 4);
            self.beat_cold = self.beat_cold.max(now + span);
            self.care_until = self.care_until.max(now + CARE);
        }
        self.evacuated = evacuated;
        self.tick(now);
    }

    /// A health answer of the station tells how long it is still cold.
    pub fn cold(&mut self, now: Micros, left: Micros) {
        let now = self.at(now);
        self.health_cold = now + left.clamp(0, Micros::MAX / 4);
        self.tick(now);
    }

    /// A request asks to be let through.
    pub fn arrive(&mut self, now: Micros, a: Arrival) -> Verdict {
        let now = self.at(now);
        self.tick(now);
        self.figures.arrived += 1;
        let verdict = self.decide(now, &a);
        match verdict {
            Verdict::Turn { why, .. } => self.figures.turned[why as usize] += 1,
            Verdict::Wait => self.figures.waited += 1,
            Verdict::Go => {}
        }
        verdict
    }

    /// Whether one that was let through may still be written: to be asked just before its first byte when time has
    /// passed since, as the station may have gone, left or been evacuated.
    pub fn may_begin(&self, now: Micros, number: u64) -> bool {
        let now = now.max(self.now);
        self.out.get(&number).is_some_and(|o| o.life == self.life) && self.shut(now).is_none()
    }

    /// The first byte is written: from now on it may have run.
    pub fn begun(&mut self, now: Micros, number: u64) {
        let now = self.at(now);
        if let Some(out) = self.out.get_mut(&number) {
            if !out.begun {
                out.begun = true;
                if out.life == self.life {
                    self.cold.written(out.since, now);
                }
            }
        }
        self.tick(now);
    }

    /// It ended: answered, broken off, or never begun. Its place is free.
    pub fn done(&mut self, now: Micros, number: u64) {
        let now = self.at(now);
        if let Some(out) = self.end(now, number, true) {
            if out.begun && out.life == self.life {
                let took = now - out.since;
                self.held = Some(self.held.map_or(took, |h| h + (took - h) / 8).max(1));
            }
        }
        self.tick(now);
    }

    /// It ended with the station's word that it did not run, for another reason than being full: its place is free
    /// and its id is not held against it.
    pub fn not_run(&mut self, now: Micros, number: u64) {
        let now = self.at(now);
        self.end(now, number, false);
        self.tick(now);
    }

    /// The caller left while it waited.
    pub fn gone(&mut self, now: Micros, number: u64) {
        let now = self.at(now);
        if let Some(w) = self.places.get(&number).copied().and_then(|p| self.take(p)) {
            self.seen.leave(now, &w.id, false);
            self.figures.gone += 1;
        }
        self.tick(now);
    }

    /// The station itself said that it did not run it, being full sooner than thought. Its place is free, its id is
    /// not held against it, and for a while fewer are let through at a time, though never below the slots.
    pub fn turned_by_station(&mut self, now: Micros, number: u64) {
        let now = self.at(now);
        let out_here = self.out_here;
        if let Some(out) = self.end(now, number, false) {
            self.figures.turned_by_station += 1;
            if out.life == self.life {
                let before = self.lower.map_or(u32::MAX, |(l, _)| l);
                let lower = out_here.saturating_sub(1).min(before).max(self.slots());
                self.lower = Some((lower, now + LOWER_SPAN));
            }
        }
        self.tick(now);
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros) {
        let now = self.at(now);
        self.seen.forget(now);
        if self.lower.is_some_and(|(_, until)| until <= now) {
            self.lower = None;
        }
        if let Some(why) = self.shut(now) {
            self.turn_all(why);
        }
        while let Some(&(until, place)) = self.untils.first() {
            if until > now {
                break;
            }
            let why = match self.waiting.get(&place) {
                Some(w) if w.deadline <= now => Turned::Late,
                _ => self.blocked(now),
            };
            self.turn_one(place, why);
        }
        self.figures.limit = self.limit(now);
        self.figures.held = self.held.unwrap_or(0);
        while !self.waiting.is_empty() && self.free(now) {
            let Some(place) = self.waiting.keys().next().copied() else { break };
            let Some(w) = self.take(place) else { break };
            self.effects.push(Effect::Go(w.number));
            self.go(now, w.number, w.id, w.repeatable, w.further);
        }
    }

    /// When [`AdmissionController::tick`] has something to do, if nothing else happens before.
    pub fn wake(&self) -> Option<Micros> {
        let mut next = self.untils.first().map(|&(until, _)| until)?;
        let now = self.now;
        if let State::Draining(until) = self.state {
            next = next.min(until);
        }
        if self.is_cold(now) {
            next = next.min(self.cold_end());
            if self.out_here < self.limit(now) {
                next = next.min(self.cold.ready_at(now, 0).unwrap_or(Micros::MAX));
            }
        }
        if let Some((_, until)) = self.lower {
            next = next.min(until);
        }
        Some(next)
    }

    /// What happened to those that waited, in order, since the last call.
    pub fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// The station as it is known, if there was a beat.
    pub fn station(&self) -> Option<Station> {
        let facts = self.facts.clone()?;
        let (state, evacuated, cold_until) = (self.state, self.evacuated, self.cold_end());
        Some(Station { facts, state, evacuated, cold_until })
    }

    /// How many are out at the present life of the station, and how many wait.
    pub fn load(&self) -> (usize, usize) {
        (self.out_here as usize, self.waiting.len())
    }

    /// Counts since the start, and what was learned.
    pub fn figures(&self) -> Figures {
        self.figures
    }

    /// Time as it is taken here: it never goes back, and sums with spans don't overflow.
    fn at(&mut self, now: Micros) -> Micros {
        self.now = self.now.max(now.min(Micros::MAX / 4));
        self.now
    }

    fn is(&self, id: &str) -> bool {
        self.facts.as_ref().is_some_and(|f| f.id == id)
    }

    fn end_life(&mut self, id: String) {
        if !self.ended.contains(&id) {
            if self.ended.len() >= LIVES_MOST {
                self.ended.pop_front();
            }
            self.ended.push_back(id);
        }
    }

    fn cold_end(&self) -> Micros {
        self.beat_cold.max(self.health_cold).max(self.care_until)
    }

    fn is_cold(&self, now: Micros) -> bool {
        now < self.cold_end()
    }

    fn slots(&self) -> u32 {
        self.facts.as_ref().map_or(1, |f| f.slots.clamp(1, SLOTS_MOST))
    }

    /// The most at a time, were the station not cold.
    fn limit_warm(&self) -> u32 {
        let mut most = self.slots() + STATION_QUEUE;
        if let Some((lower, _)) = self.lower {
            most = most.min(lower.max(self.slots()));
        }
        match self.allowance.line_cap {
            0 => most,
            cap => most.min(cap - 1).max(1),
        }
    }

    /// The most at the station at a time.
    fn limit(&self, now: Micros) -> u32 {
        match self.is_cold(now) {
            true => self.limit_warm().min((self.slots() / 2).max(1)),
            false => self.limit_warm(),
        }
    }

    /// Why nothing goes through, if it is shut.
    fn shut(&self, now: Micros) -> Option<Turned> {
        match self.state {
            _ if self.facts.is_none() => Some(Turned::NoStation),
            State::Silent | State::SignedOff => Some(Turned::NoStation),
            State::Draining(until) if now >= until => Some(Turned::Draining),
            _ if self.evacuated => Some(Turned::Evacuated),
            _ => None,
        }
    }

    /// Whether one may go now by place and rate.
    fn free(&self, now: Micros) -> bool {
        self.out_here < self.limit(now)
            && (!self.is_cold(now) || self.cold.ready_at(now, 0).is_some_and(|t| t <= now))
    }

    /// What holds up those that wait.
    fn blocked(&self, now: Micros) -> Turned {
        match self.is_cold(now) && self.out_here < self.limit_warm() {
            true => Turned::Cold,
            false => Turned::Full,
        }
    }

    /// How long a place is held, 0 if unknown: as learned, or longer if those out have been for much longer.
    fn held(&self, now: Micros) -> Micros {
        let age = match self.out_here {
            0 => 0,
            n => (i128::from(now) - self.since_sum / i128::from(n)).clamp(0, i128::from(WAIT_MOST)) as Micros,
        };
        self.held.unwrap_or(0).max(age / 2)
    }

    /// How long one with `ahead` before it waits, as far as it can be told.
    fn expected(&self, now: Micros, ahead: usize, held: Micros) -> Micros {
        let limit = Micros::from(self.limit(now).max(1));
        let over = Micros::from(self.out_here) + ahead as Micros + 1 - limit;
        let mut wait = if over > 0 { held.saturating_mul(over) / limit } else { 0 };
        if self.is_cold(now) {
            let end = self.cold_end();
            wait = wait.max(self.cold.ready_at(now, ahead).map_or(end, |t| t.min(end)) - now);
        }
        wait
    }

    fn retry_after(&self, now: Micros, ahead: usize) -> Option<Micros> {
        let held = if self.held.is_some() { self.held(now) } else { HELD_UNKNOWN };
        Some(self.expected(now, ahead, held).clamp(RETRY.0, RETRY.1))
    }

    fn retry(&self, now: Micros, why: Turned) -> Option<Micros> {
        match why {
            Turned::Cold | Turned::Full => self.retry_after(now, self.waiting.len()),
            _ => None,
        }
    }

    fn decide(&mut self, now: Micros, a: &Arrival) -> Verdict {
        let turn = |why| Verdict::Turn { why, retry_after: None };
        // First of all: every other refusal promises that it was not begun here.
        if self.seen.knows(&a.id, a.repeatable) || self.here(a.number) {
            return turn(Turned::Twice);
        }
        if a.deadline <= 0 {
            return turn(Turned::Late);
        }
        let Some(facts) = self.facts.as_ref() else { return turn(Turned::NoStation) };
        if facts.service != a.service || a.expects.as_ref().is_some_and(|id| *id != facts.id) {
            return turn(Turned::Another);
        }
        if let Some(why) = self.shut(now) {
            return turn(why);
        }
        if !a.repeatable && !self.seen.room(self.out.len() + self.waiting.len()) {
            let retry = self.seen.forgets_at().map_or(RETRY.1, |t| (t - now).clamp(RETRY.0, RETRY.1));
            return Verdict::Turn { why: Turned::Full, retry_after: Some(retry) };
        }
        if self.waiting.is_empty() && self.free(now) {
            let id = self.seen.enter(&a.id, a.repeatable);
            self.go(now, a.number, id, a.repeatable, a.further);
            return Verdict::Go;
        }
        self.queue(now, a)
    }

    /// It can't go now: it waits, or is turned away if that would be in vain.
    fn queue(&mut self, now: Micros, a: &Arrival) -> Verdict {
        let why = self.blocked(now);
        let ahead = self.waiting.range(..=(a.priority, u64::MAX)).count();
        let held = self.held(now);
        let mut patience = a.patience.min(WAIT_MOST).min(a.deadline);
        if a.patience <= a.aim {
            // It is to be served inside its aim: it is given back while that can still be had.
            patience = patience.min(a.aim.saturating_sub(held));
        }
        if patience <= 0 || self.expected(now, ahead, held) > patience {
            return Verdict::Turn { why, retry_after: self.retry_after(now, ahead) };
        }
        if self.waiting.len() >= (self.slots() as usize * 4).max(16) {
            match self.waiting.keys().next_back().copied() {
                Some(worst) if worst.0 > a.priority => self.turn_one(worst, Turned::Full),
                _ => return Verdict::Turn { why: Turned::Full, retry_after: self.retry_after(now, ahead) },
            }
        }
        let place = (a.priority, self.turn);
        self.turn += 1;
        let (until, deadline) = (now + patience, now + a.deadline.min(Micros::MAX / 4));
        let id = self.seen.enter(&a.id, a.repeatable);
        self.places.insert(a.number, place);
        self.untils.insert((until, place));
        let (number, repeatable, further) = (a.number, a.repeatable, a.further);
        self.waiting.insert(place, Waiting { number, id, repeatable, further, until, deadline });
        Verdict::Wait
    }

    fn here(&self, number: u64) -> bool {
        self.out.contains_key(&number) || self.places.contains_key(&number)
    }

    fn go(&mut self, now: Micros, number: u64, id: Arc<str>, repeatable: bool, further: bool) {
        let cold = self.is_cold(now);
        self.cold.sent(now, cold);
        self.out_here += 1;
        self.since_sum += i128::from(now);
        self.out.insert(number, Out { id, repeatable, begun: false, since: now, life: self.life });
        self.figures.went += 1;
        self.figures.went_further += u64::from(further);
        self.figures.went_cold += u64::from(cold);
    }

    /// Takes one that is out off the books; `ran`: if begun it may have run.
    fn end(&mut self, now: Micros, number: u64, ran: bool) -> Option<Out> {
        let out = self.out.remove(&number)?;
        if out.life == self.life {
            self.out_here = self.out_here.saturating_sub(1);
            self.since_sum -= i128::from(out.since);
        }
        self.seen.leave(now, &out.id, ran && out.begun && !out.repeatable);
        Some(out)
    }

    fn take(&mut self, place: Place) -> Option<Waiting> {
        let w = self.waiting.remove(&place)?;
        self.places.remove(&w.number);
        self.untils.remove(&(w.until, place));
        Some(w)
    }

    fn turn_one(&mut self, place: Place, why: Turned) {
        let Some(w) = self.take(place) else { return };
        self.seen.leave(self.now, &w.id, false);
        let retry_after = self.retry(self.now, why);
        self.figures.turned[why as usize] += 1;
        self.effects.push(Effect::Turn { number: w.number, why, retry_after });
    }

    fn turn_all(&mut self, why: Turned) {
        while let Some(place) = self.waiting.keys().next().copied() {
            self.turn_one(place, why);
        }
    }
}
